package group

import (
	"slices"

	"limpetspan/core"
)

// leadership is the term that this daemon is home of. The zero value means that
// this daemon is not home.
type leadership struct {
	term    core.Term
	primary *member
	// since is when the answer to the promotion arrived.
	since core.Time
	// start is the primary's position at its promotion.
	start core.Position
	// history holds the starts of the latest terms, this one included.
	history []core.TermStart
	// waitUntil is when the lease of the previous leadership is sure to have
	// expired.
	waitUntil core.Time
	// leaseUntil is when the term lease of this home expires.
	leaseUntil core.Time
	// announced is set once the fleet was notified.
	announced bool
}

// updateHistory copies the term starts that the primary reported and adds that
// of this term if it is missing.
func (l *leadership) updateHistory(h []core.TermStart) {
	if len(h) == 0 {
		return
	}
	l.history = append(l.history[:0], h...)
	if h[len(h)-1].Term < l.term {
		l.history = append(l.history, core.TermStart{Term: l.term, Start: l.start.LSN})
	}
}

// leaseHolds reports whether this home's term lease is valid now.
//
// Guard: a home that was cut off or paused does not know that another home has
// taken over. Without the lease two homes would serve, with stale reads and lost
// acknowledged writes. The other home first fences a majority. That majority
// includes a member of each majority that this lease depends on, and it is
// fenced after its last report to this home. The other home then waits for the
// lease duration. By then this lease has expired on this daemon's own clock.
func (g *Group) leaseHolds() bool {
	return g.leadership.term != 0 && g.now >= g.leadership.waitUntil && g.now < g.leadership.leaseUntil
}

// extendLease counts a member's report towards the lease.
//
// A member that accepted the fence of this home's own ballot and still reports
// that odd term counts as well: a daemon that replaces this home must fence the
// member again. The lease therefore holds immediately after a promotion, before
// the other members follow the new primary.
func (g *Group) extendLease(m *member, term core.Term, sentAt core.Time) {
	ownFence := term == g.leadership.term-1 && m.vote == voteFenced && g.phase >= phaseWaiting
	if term != g.leadership.term && !ownFence {
		return
	}
	if sentAt <= m.leaseProbeAt {
		return
	}
	m.leaseProbeAt = sentAt
	g.computeLease()
}

// computeLease sets the end of the lease to LeaseDuration after the time at
// which the probes of a majority had been sent.
func (g *Group) computeLease() {
	var buffer [16]core.Time
	times := buffer[:0]
	for _, m := range g.members {
		if !m.removed && m.leaseProbeAt > 0 {
			times = append(times, m.leaseProbeAt)
		}
	}
	need := g.majority()
	if len(times) < need {
		g.leadership.leaseUntil = 0
		return
	}
	slices.Sort(times)
	g.leadership.leaseUntil = times[len(times)-need].Add(g.tuning.LeaseDuration)
}

// mayServe reports whether requests may be dispatched now.
func (g *Group) mayServe() bool {
	if g.phase != phaseServing || g.detect.contestedSince != 0 {
		return false
	}
	return g.leaseHolds() || !g.guardEnabled(GuardLeaseAtArrival)
}

// mayAcknowledge reports whether an answer of the current leadership may be
// released.
func (g *Group) mayAcknowledge() bool {
	return g.leaseHolds() || !g.guardEnabled(GuardLeaseAtAck)
}
