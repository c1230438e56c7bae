package group

import "limpetspan/core"

// probeForClaim probes all members for their terms. A claim sends fences only if
// a majority answers, because a claim that cannot succeed must not disturb the
// serving home.
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

// claimProbeAnswered continues the claim once all probes have ended. Once a
// majority has answered, the others get at most GatherWait; see runBallot.
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

// finishProbing fences the members if a majority answered and no other home
// seems to be active. Otherwise it delays or abandons the claim.
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

// deferToActiveHome reports whether the claim must wait or stop because a home
// may be active although its heartbeats do not arrive here: it has connections
// open at the primary.
//
// Guard: otherwise two candidates that reach the members but not each other
// would replace each other indefinitely, and callers would see repeated
// failovers. If the primary's log advances within ActivityWait, the home is
// active and the claim is abandoned. If it does not, replacing the home
// interrupts no writes.
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

// reportedPrimary returns the primary of the highest term according to the
// claim's probes, or nil.
func (g *Group) reportedPrimary() *member {
	var best *member
	for _, m := range g.members {
		if !m.removed && m.reported && m.role == core.RolePrimary && (best == nil || best.term < m.term) {
			best = m
		}
	}
	return best
}
