package group

import "limpetspan/core"

// promoteAttempts bounds the calls to the one target of a ballot.
const maxPromoteAttempts = 3

func (g *Group) promote(m *member) {
	b := &g.ballot
	g.phase = phasePromoting
	b.target = m
	b.attempts++
	if b.attempts == 1 {
		b.promoteSentAt = g.now // The lease counts from the first call: it may be the one that is answered.
	}
	b.stepDeadline = g.now.Add(g.tuning.PromoteTimeout)
	g.scheduleAt(b.stepDeadline)
	g.effects.add(&Promote{Member: m.ID, Term: b.term + 1, Timeout: g.tuning.PromoteTimeout})
}

// onPromoted ends a claim. A refusal by a primary of the very term counts as
// success: the answer of an earlier call was lost, and nobody but the holder
// of this ballot's majority promotes at its term.
func (g *Group) onPromoted(ev *Promoted) {
	b := &g.ballot
	if g.phase != phasePromoting || ev.Term != b.term+1 || ev.Member != b.target.ID {
		return
	}
	mine := ev.Status.Term == ev.Term && ev.Status.Role == core.RolePrimary
	switch {
	case ev.Err == FailureNone, ev.Err == FailureRejected && mine:
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

// becomeHome begins the leadership that the promotion made.
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

// leaseWait is when the lease of any earlier home has lapsed.
//
// Guard: without the wait an old home that has not noticed would serve beside
// this one; it would show as a stale read or a lost acknowledged write. There
// is nothing to wait for only if no leadership can lie between this one and a leadership
// that is known to be over: the ballot is the next after it, and the majority
// that accepted this ballot would have refused it after any other fence.
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
