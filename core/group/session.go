package group

import (
	"github.com/cespare/xxhash/v2"

	"limpetspan/core"
)

func hashSession(id core.SessionID) uint64 {
	if id == "" {
		return 0
	}
	return xxhash.Sum64String(string(id))
}

// lost reports whether the record at p is missing from the leadership's log: p's
// term is no part of the log's history, or a later term began before p.
//
// Guard: a term whose log the leadership did not inherit may have begun and ended
// between two starts of the history, with offsets below the later one. Judged
// by offsets alone its writes would count as kept, and the session would read
// on without them.
func (r *leadership) lost(p core.Position) bool {
	if p.Term >= r.term || p.LSN == 0 {
		return false
	}
	inherited := len(r.history) == 0 || p.Term < r.history[0].Term
	for _, h := range r.history {
		if h.Term > p.Term && p.LSN > h.Start {
			return true
		}
		inherited = inherited || h.Term == p.Term
	}
	return !inherited || p.LSN > r.start.LSN
}

// refuseUnseen fails a request whose session has seen what this home's log
// does not hold, and reports whether it did.
//
// Guard: after a promotion that lost a write, its session would read data from
// before it as if it had never been confirmed. It is told once instead. A
// position of a higher term means that this daemon is not the home any more.
func (g *Group) refuseUnseen(r *request) bool {
	if r.floor.Term > g.leadership.term {
		g.failRequest(r, ReasonNotHome, r.unrun(), stepQueue, g.tuning.LeaseDuration)
		return true
	}
	if !g.guarded(GuardTermStart) {
		return false
	}
	e := g.sessions.get(r.session)
	if (e == nil || !e.lost) && !g.leadership.lost(r.floor) {
		return false
	}
	if e != nil {
		g.sessions.remove(e)
	}
	g.counters.WritesLost++
	g.failRequest(r, ReasonWriteLost, r.unrun(), stepQueue, 0)
	return true
}

// need is the position that a replica must have applied to serve the request;
// known is false while only the primary can tell.
func (g *Group) need(r *request) (p core.Position, known bool) {
	if !g.guarded(GuardSessionFloor) {
		return core.Position{}, true
	}
	p = g.sessions.floor.Max(r.floor)
	e := g.sessions.get(r.session)
	if e == nil {
		return p, true
	}
	return p.Max(e.position), !e.pending
}

// noteWrite records what the session has written.
func (g *Group) noteWrite(r *request) {
	if r.position.IsZero() {
		g.awaitPosition(r)
		return
	}
	g.learnPosition(g.leadership.primary, r.position, r.dispatchedAt)
	g.history.add(r.dispatchedAt, r.position)
	g.markLag(r.position)
	if r.session != 0 {
		g.sessions.raise(r.session, r.name, r.position, g.now)
		g.sessions.bound(g.tuning.MaxSessions)
	}
}

// noteRead records what a read has seen, for monotonic reads. In a quiet group
// every serving member is at the same position and nothing need be kept; if a
// write began since, what the read saw is learned from the next report.
//
// A read of a stated age records nothing: its caller accepts older data, and
// one such read at the primary would hold the session's next ones there.
func (g *Group) noteRead(r *request, m *member) {
	if r.position.Term > g.leadership.term {
		g.probeSoon(m)
		return
	}
	if !r.position.IsZero() {
		g.learnPosition(m, r.position, r.dispatchedAt)
	}
	if r.maxStaleness > 0 {
		r.position = core.Position{}
		return
	}
	if !r.position.IsZero() {
		if r.session != 0 && g.sessions.floor.Less(r.position) {
			g.sessions.raise(r.session, r.name, r.position, g.now)
		}
		return
	}
	if r.asked || g.writesBegun != r.writesBegun {
		g.awaitPosition(r)
	}
}

// awaitPosition leaves the session to the primary until it reports again.
func (g *Group) awaitPosition(r *request) {
	if r.session == 0 {
		return
	}
	g.sessions.await(r.session, r.name, g.now)
	g.hurry()
}

// quiet reports whether no write runs and every serving replica has all of the
// primary's known log.
func (g *Group) quiet() bool {
	if g.writesRunning > 0 || g.sessions.pending > 0 {
		return false
	}
	latest := g.latest()
	for _, m := range g.members {
		if g.serving(m) && m.position.Less(latest) {
			return false
		}
	}
	return true
}

// forgetPassed drops the session positions that every serving replica and a
// majority of the members have passed. A replica that is further behind serves
// a session only once it has passed the floor.
func (g *Group) forgetPassed() {
	if g.leadership.term == 0 || g.phase < phaseWaiting {
		return
	}
	low, holders := g.latest(), 1
	for _, m := range g.members {
		if !g.serving(m) || m.lag.behind(g.now) > g.tuning.ServingLag {
			continue
		}
		holders++
		if m.position.Less(low) {
			low = m.position
		}
	}
	if holders >= g.majority() {
		g.sessions.pass(low)
	}
}
