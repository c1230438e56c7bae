package group

import "limpetspan/core"

// maxPromoteAttempts bounds the promote calls to the target of a ballot.
const maxPromoteAttempts = 3

func (g *Group) promote(m *member) {
	b := &g.ballot
	g.phase = phasePromoting
	b.target = m
	b.attempts++
	if b.attempts == 1 {
		b.promoteSentAt = g.now // The lease counts from the first call, whose effect a later answer may report.
	}
	b.stepDeadline = g.now.Add(g.tuning.PromoteTimeout)
	g.scheduleAt(b.stepDeadline)
	g.effects.add(&Promote{Member: m.ID, Term: b.term + 1, Timeout: g.tuning.PromoteTimeout})
}

// onPromoted ends a claim. A refusal by a member that is already primary of this
// term counts as success: the answer to an earlier call was lost, and only the
// holder of this ballot's majority promotes at its term.
func (g *Group) onPromoted(ev *Promoted) {
	b := &g.ballot
	if g.phase != phasePromoting || ev.Term != b.term+1 || ev.Member != b.target.ID {
		return
	}
	alreadyPromoted := ev.Status.Term == ev.Term && ev.Status.Role == core.RolePrimary
	switch {
	case ev.Err == FailureNone, ev.Err == FailureRejected && alreadyPromoted:
		g.becomeHome(&ev.Status)
	case ev.Err == FailureRejected:
		b.highestTerm = max(b.highestTerm, ev.Status.Term)
		g.retryClaim()
	default:
		g.promoteFailed()
	}
}

func (g *Group) promoteFailed() {
	if g.ballot.attempts < maxPromoteAttempts {
		g.promote(g.ballot.target)
		return
	}
	g.retryClaim()
}

// becomeHome begins the leadership after a successful promotion.
func (g *Group) becomeHome(s *core.Status) {
	b := &g.ballot
	wait := g.leaseWait()
	wasHome := g.leadership.term != 0
	history := g.leadership.history
	g.leadership = leadership{
		term: b.term + 1, primary: b.target, start: s.Position(), since: g.now, waitUntil: wait,
	}
	g.leadership.history = append(history[:0], core.TermStart{Term: g.leadership.term, Start: s.LSN})
	g.leadership.updateHistory(s.History)
	g.knownHome.ownTerm = g.leadership.term
	g.beginLeadership(s, wasHome)
	g.logEvent("home of the group", b.target, g.leadership.term, "")
	g.serveIfDue()
}

// leaseWait returns the time by which the leases of all earlier homes have
// expired.
//
// Guard: without the wait an old home that has not noticed its replacement would
// still serve, with stale reads and lost acknowledged writes. The wait can be
// skipped only if this ballot directly follows a leadership that is known to be
// over. No other leadership can then lie between the two: after any other fence,
// the majority that accepted this ballot would have refused it.
func (g *Group) leaseWait() core.Time {
	b := &g.ballot
	if !g.guardEnabled(GuardClaimWait) {
		return 0
	}
	switch {
	case b.term == 1:
		return 0
	case g.leadership.term != 0 && b.term == g.leadership.term+1:
		return g.leadership.waitUntil
	case b.term == g.knownHome.releasedTerm+1:
		return 0
	}
	return b.majorityAt.Add(g.tuning.LeaseDuration + g.tuning.LeaseMargin)
}

// beginLeadership resets the state that belongs to a leadership. wasHome is set
// if this daemon was already home.
func (g *Group) beginLeadership(s *core.Status, wasHome bool) {
	b := &g.ballot
	g.phase = phaseWaiting
	b.retryAt, b.stepDeadline, b.backoff = 0, never, 0
	g.history.reset()
	g.history.add(b.promoteSentAt, s.Position())
	for _, m := range g.members {
		m.position, m.positionAt, m.positionKnown = core.Position{}, 0, false
		m.leaseProbeAt, m.termMismatchSince = 0, 0
		if m.removed {
			continue
		}
		m.lag.clearMarker()
		m.foreignConns = 0
		if m.vote != voteFenced && !wasHome {
			g.assumeForeign(m)
		}
		if m.vote == voteFenced {
			m.leaseProbeAt = b.fencesSentAt
		}
		g.probeNow(m)
	}
	p := b.target
	p.reported, p.term, p.role, p.leaseProbeAt = true, s.Term, core.RolePrimary, b.promoteSentAt
	p.reportedAt, p.failures, p.stopping = b.promoteSentAt, 0, s.Leaving
	g.learnPosition(p, s.Position(), b.promoteSentAt)
	g.computeLease()
	g.sessions.startLeadership(&g.leadership)
	g.sendHeartbeat()
	g.fillPools()
}

// serveIfDue begins to serve once the leases of earlier homes have expired.
func (g *Group) serveIfDue() {
	if g.phase != phaseWaiting {
		return
	}
	if g.now < g.leadership.waitUntil {
		g.scheduleAt(g.leadership.waitUntil)
		return
	}
	g.phase = phaseServing
	g.probeFastUntil(g.now.Add(g.tuning.ProbeTimeout))
	g.dispatchQueued()
}
