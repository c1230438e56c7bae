package group

import (
	"slices"

	"limpetspan/core"
)

// leadership is the term this daemon is home of; the zero leadership is none.
type leadership struct {
	term    core.Term
	primary *member
	// since is when its promotion was known.
	since core.Time
	// start is the primary's position at its promotion.
	start core.Position
	// history holds the starts of the latest terms, this one included.
	history []core.TermStart
	// waitUntil is when the lease of the leadership before has lapsed for certain.
	waitUntil core.Time
	// leaseUntil is until when a majority's reports let this home serve.
	leaseUntil core.Time
	// announced is set once the fleet was told.
	announced bool
}

// learnHistory copies the term starts that the primary reported.
func (r *leadership) updateHistory(h []core.TermStart) {
	if len(h) == 0 {
		return
	}
	r.history = append(r.history[:0], h...)
	if h[len(h)-1].Term < r.term {
		r.history = append(r.history, core.TermStart{Term: r.term, Start: r.start.LSN})
	}
}

// leaseHolds reports whether this home may serve now.
//
// Guard: a home that was cut off or paused does not know that another took
// over; it would show as two homes serving, and a stale read or a lost
// acknowledged write. Another home first fences a majority, which includes a
// member of each majority that this lease rests on, after that member's last
// report; then it waits out the lease duration. By then this lease has lapsed
// on this daemon's own clock.
func (g *Group) leaseHolds() bool {
	return g.leadership.term != 0 && g.now >= g.leadership.waitUntil && g.now < g.leadership.leaseUntil
}

// extendLease counts a member's report towards the lease.
//
// A member that accepted the fence of this home's own ballot and still reports
// that odd term counts as well: whoever wants to replace this home has yet to
// fence it. So the lease holds at once after a promotion, before the other
// members follow the new primary.
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

// mayAcknowledge reports whether an answer of the present leadership may be released.
func (g *Group) mayAcknowledge() bool {
	return g.leaseHolds() || !g.guardEnabled(GuardLeaseAtAck)
}
