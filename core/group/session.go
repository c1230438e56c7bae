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

// isLost reports whether the record at p is missing from the leadership's log:
// the term of p is not part of the log's history, or a later term began before p.
//
// Guard: a term whose log the leadership did not inherit may lie between two
// terms of the history, with offsets below the start of the later one. By
// offsets alone its writes would count as kept, and the session would continue
// to read without them.
func (l *leadership) isLost(p core.Position) bool {
	if p.Term >= l.term || p.LSN == 0 {
		return false
	}
	inherited := len(l.history) == 0 || p.Term < l.history[0].Term
	for _, h := range l.history {
		if h.Term > p.Term && p.LSN > h.Start {
			return true
		}
		inherited = inherited || h.Term == p.Term
	}
	return !inherited || p.LSN > l.start.LSN
}

// refuseUnknownPosition fails a request whose session has seen a position that
// is not in this home's log. It reports whether the request was failed.
//
// Guard: after a promotion that lost an acknowledged write, its session would
// read older data without notice. Instead, its next request fails once with
// ReasonWriteLost. A position of a higher term means that this daemon is no
// longer the home.
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

// sessionPosition returns the position of the session, which a replica must
// have applied to serve the request. known is false while the position is
// pending; until then only the primary may serve the session.
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

// recordWrite records the position of a session's write.
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

// recordRead records the position that a read has seen, for monotonic reads. In
// a quiescent group all serving members are at the same position and nothing
// needs to be recorded. If a write was dispatched in the meantime, the position
// is taken from the primary's next report.
//
// A read with a maximum staleness records nothing: its caller accepts older
// data, and one such read at the primary would tie the session's next reads to
// the primary.
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

// awaitPrimaryPosition makes only the primary serve the session until the
// primary's next report.
func (g *Group) awaitPrimaryPosition(r *request) {
	if r.sessionHash == 0 {
		return
	}
	g.sessions.markPending(r.sessionHash, r.sessionID, g.now)
	g.scheduleProbes()
}

// isQuiescent reports whether no write runs and every serving replica has
// reached the primary's known position.
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

// evictReplicatedSessions drops the session positions that all serving replicas
// and a majority of the members have reached. Replicas that lag by more than
// ServingLag do not count; such a replica serves a session only after it has
// reached the floor.
func (g *Group) evictReplicatedSessions() {
	if g.leadership.term == 0 || g.phase < phaseWaiting {
		return
	}
	lowest, holders := g.primaryPosition(), 1
	for _, m := range g.members {
		if !g.isServing(m) || m.lag.behind(g.now) > g.tuning.ServingLag {
			continue
		}
		holders++
		if m.position.Less(lowest) {
			lowest = m.position
		}
	}
	if holders >= g.majority() {
		g.sessions.raiseFloor(lowest)
	}
}
