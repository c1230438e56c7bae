package group

import "limpetspan/core"

// probeForClaim asks all members for their terms. A claim fences only when a
// majority answers: one that cannot win must not disturb the home that serves.
func (g *Group) probeForClaim() {
	g.phase = phaseProbing
	g.ballot.retryAt = 0
	g.ballot.stepDeadline = g.now.Add(g.tuning.FreshTimeout)
	g.scheduleAt(g.ballot.stepDeadline)
	for _, m := range g.members {
		if !m.removed {
			m.reported = false
			g.sendProbe(m, true)
		}
	}
}

func (g *Group) claimProbeFailed(m *member) {
	m.probe.next = never
	g.claimProbeAnswered()
}

// claimProbeAnswered goes on once all have answered, or a majority has and the
// others had GatherWait; see runBallot.
func (g *Group) claimProbeAnswered() {
	answered, open := 0, 0
	for _, m := range g.members {
		switch {
		case m.removed:
		case m.reported:
			answered++
		case m.probe.inFlight:
			open++
		}
	}
	switch {
	case open == 0:
		g.finishProbing(answered)
	case answered >= g.majority():
		b := &g.ballot
		b.stepDeadline = min(b.stepDeadline, g.now.Add(g.tuning.GatherWait))
		g.scheduleAt(b.stepDeadline)
	}
}

func (g *Group) finishProbing(answered int) {
	if answered < g.majority() && g.guardEnabled(GuardMajority) {
		g.retryClaim()
		return
	}
	if g.leadership.term == 0 && g.deferToActiveHome() {
		return
	}
	g.fence(nextFenceTerm(g.ballot.highestTerm))
}

// unheardHome reports whether the claim is to wait, because a home that is not
// heard here may be at work: its connections are open at the primary.
//
// Guard: two candidates that reach the members but not each other would depose
// each other for ever, and callers would see one gap after the other. If the
// primary's log moves within ActivityWait the home is alive, and the claim is
// given up; if it does not, taking over interrupts nobody.
func (g *Group) deferToActiveHome() bool {
	b := &g.ballot
	p := g.reportedPrimary()
	if p == nil || p.connections == 0 {
		b.watching = false
		return false
	}
	if !b.watching {
		b.watching, b.watchedPosition = true, p.reportedPosition
		b.retryAt, b.stepDeadline = g.now.Add(g.tuning.ActivityWait), never
		g.scheduleAt(b.retryAt)
		return true
	}
	b.watching = false
	if p.reportedPosition == b.watchedPosition {
		return false
	}
	g.logEvent("a home is not heard but at work", p, p.term, "")
	g.phase = phaseFollowing
	g.failQueued(ReasonNotHome)
	g.knownHome.lostLeaderships++
	g.delayClaim(g.tuning.ClaimDelay)
	return true
}

// reportedPrimary is the primary of the highest term by the claim's probes.
func (g *Group) reportedPrimary() *member {
	var best *member
	for _, m := range g.members {
		if !m.removed && m.reported && m.role == core.RolePrimary && (best == nil || best.term < m.term) {
			best = m
		}
	}
	return best
}
