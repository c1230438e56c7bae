package group

import "limpetspan/core"

// promoteAttempts bounds the calls to the one target of a ballot.
const promoteAttempts = 3

func (g *Group) promote(m *member) {
	b := &g.ballot
	g.phase = phasePromoting
	b.target = m
	b.attempts++
	if b.attempts == 1 {
		b.promotedAt = g.now // The lease counts from the first call: it may be the one that is answered.
	}
	b.until = g.now.Add(g.tuning.PromoteTimeout)
	g.wakeBy(b.until)
	g.fx.add(&Promote{Member: m.ID, Term: b.term + 1, Timeout: g.tuning.PromoteTimeout})
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
		b.seen = max(b.seen, ev.Status.Term)
		g.retryClaim()
	default:
		g.promoteFailed()
	}
}

func (g *Group) promoteFailed() {
	if g.ballot.attempts < promoteAttempts {
		g.promote(g.ballot.target)
		return
	}
	g.retryClaim()
}

// becomeHome begins the leadership that the promotion made.
func (g *Group) becomeHome(s *core.Status) {
	b := &g.ballot
	wait := g.leaseWait()
	sitting := g.leadership.term != 0
	history := g.leadership.history
	g.leadership = leadership{
		term: b.term + 1, primary: b.target, start: s.Position(), since: g.now, waitUntil: wait,
	}
	g.leadership.history = append(history[:0], core.TermStart{Term: g.leadership.term, Start: s.LSN})
	g.leadership.learnHistory(s.History)
	g.peers.own = g.leadership.term
	g.beginLeadership(s, sitting)
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
	if !g.guarded(GuardClaimWait) {
		return 0
	}
	switch {
	case b.term == 1:
		return 0
	case g.leadership.term != 0 && b.term == g.leadership.term+1:
		return g.leadership.waitUntil
	case b.term == g.peers.released+1:
		return 0
	}
	return b.majorityAt.Add(g.tuning.LeaseDuration + g.tuning.LeaseMargin)
}

func (g *Group) beginLeadership(s *core.Status, sitting bool) {
	b := &g.ballot
	g.phase = phaseWaiting
	b.retryAt, b.until, b.backoff = 0, never, 0
	g.history.reset()
	g.history.add(b.promotedAt, s.Position())
	for _, m := range g.members {
		m.position, m.positionAt, m.located = core.Position{}, 0, false
		m.leaseAt, m.oddAt = 0, 0
		if m.gone {
			continue
		}
		m.lag.restart()
		m.foreign = 0
		if m.vote != voteFenced && !sitting {
			g.assumeForeign(m)
		}
		if m.vote == voteFenced {
			m.leaseAt = b.startedAt
		}
		g.probeSoon(m)
	}
	p := b.target
	p.known, p.term, p.role, p.leaseAt = true, s.Term, core.RolePrimary, b.promotedAt
	p.reportedAt, p.failures, p.stopping = b.promotedAt, 0, s.Leaving
	g.learnPosition(p, s.Position(), b.promotedAt)
	g.computeLease()
	g.sessions.newLeadership(&g.leadership)
	g.sendBeat()
	g.warmAll()
}

func (g *Group) serveIfDue() {
	if g.phase != phaseWaiting {
		return
	}
	if g.now < g.leadership.waitUntil {
		g.wakeBy(g.leadership.waitUntil)
		return
	}
	g.phase = phaseServing
	g.hurryProbes(g.now.Add(g.tuning.ProbeTimeout))
	g.pump()
}
