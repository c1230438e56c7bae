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
func (r *leadership) isLost(p core.Position) bool {
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
func (g *Group) refuseUnknownPosition(r *request) bool {
	if r.floor.Term > g.leadership.term {
		g.failRequest(r, ReasonNotHome, r.queuedOutcome(), stepQueue, g.tuning.LeaseDuration)
		return true
	}
	if !g.guardEnabled(GuardTermStart) {
		return false
	}
	e := g.sessions.get(r.sessionHash)
	if (e == nil || !e.lost) && !g.leadership.isLost(r.floor) {
		return false
	}
	if e != nil {
		g.sessions.remove(e)
	}
	g.counters.WritesLost++
	g.failRequest(r, ReasonWriteLost, r.queuedOutcome(), stepQueue, 0)
	return true
}

// need is the position that a replica must have applied to serve the request;
// known is false while only the primary can tell.
func (g *Group) sessionPosition(r *request) (p core.Position, known bool) {
	if !g.guardEnabled(GuardSessionFloor) {
		return core.Position{}, true
	}
	p = g.sessions.floor.Max(r.floor)
	e := g.sessions.get(r.sessionHash)
	if e == nil {
		return p, true
	}
	return p.Max(e.position), !e.pending
}

// noteWrite records what the session has written.
func (g *Group) recordWrite(r *request) {
	if r.position.IsZero() {
		g.awaitPrimaryPosition(r)
		return
	}
	g.learnPosition(g.leadership.primary, r.position, r.dispatchedAt)
	g.history.add(r.dispatchedAt, r.position)
	g.followWrite(r.position)
	if r.sessionHash != 0 {
		g.sessions.raise(r.sessionHash, r.sessionID, r.position, g.now)
		g.sessions.evictOver(g.tuning.MaxSessions)
	}
}

// noteRead records what a read has seen, for monotonic reads. In a quiet group
// every serving member is at the same position and nothing need be kept; if a
// write began since, what the read saw is learned from the next report.
//
// A read of a stated age records nothing: its caller accepts older data, and
// one such read at the primary would hold the session's next ones there.
func (g *Group) recordRead(r *request, m *member) {
	if r.position.Term > g.leadership.term {
		g.probeNow(m)
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
		if r.sessionHash != 0 && g.sessions.floor.Less(r.position) {
			g.sessions.raise(r.sessionHash, r.sessionID, r.position, g.now)
		}
		return
	}
	if r.positionRequested || g.writesDispatched != r.writesDispatched {
		g.awaitPrimaryPosition(r)
	}
}

// awaitPosition leaves the session to the primary until it reports again.
func (g *Group) awaitPrimaryPosition(r *request) {
	if r.sessionHash == 0 {
		return
	}
	g.sessions.markPending(r.sessionHash, r.sessionID, g.now)
	g.scheduleProbes()
}

// quiet reports whether no write runs and every serving replica has all of the
// primary's known log.
func (g *Group) isQuiescent() bool {
	if g.writesRunning > 0 || g.sessions.pending > 0 {
		return false
	}
	latest := g.primaryPosition()
	for _, m := range g.members {
		if g.isServing(m) && m.position.Less(latest) {
			return false
		}
	}
	return true
}

// forgetPassed drops the session positions that every serving replica and a
// majority of the members have passed. A replica that is further behind serves
// a session only once it has passed the floor.
func (g *Group) evictReplicatedSessions() {
	if g.leadership.term == 0 || g.phase < phaseWaiting {
		return
	}
	low, holders := g.primaryPosition(), 1
	for _, m := range g.members {
		if !g.isServing(m) || m.lag.behind(g.now) > g.tuning.ServingLag {
			continue
		}
		holders++
		if m.position.Less(low) {
			low = m.position
		}
	}
	if holders >= g.majority() {
		g.sessions.raiseFloor(low)
	}
}
