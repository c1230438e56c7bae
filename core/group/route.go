package group

import (
	"time"

	"limpetspan/core"
)

// verdict says what to do with a read.
type verdict uint8

const (
	// verdictStay: the best member is busy, the read keeps its place.
	verdictQueue verdict = iota
	// verdictNow: the member serves it now.
	verdictReplica
	// verdictWait: a replica is about to have the position.
	verdictWait
	// verdictPrimary: the primary serves it.
	verdictPrimary
)

type choice struct {
	verdict verdict
	member  *member
}

// route chooses who serves a read: a replica now, a replica after a short wait
// for its position, or the primary. Each factor gives a cost in time; the
// least sum wins.
func (g *Group) route(r *request) choice {
	need, known := g.requiredPosition(r)
	var best *member
	var bestCost, bestWait time.Duration
	for _, m := range g.members {
		if !g.isServing(m) {
			continue
		}
		wait, ok := g.lagCost(m, r, need, known)
		if !ok {
			continue
		}
		cost := wait + g.loadCost(m, g.reads.len()) + g.zoneCost(m) + g.affinityCost(m, r)
		if best == nil || cost < bestCost {
			best, bestCost, bestWait = m, cost, wait
		}
	}
	p := g.leadership.primary
	if best == nil {
		return choice{verdict: verdictPrimary, member: p}
	}
	if g.tuning.PrimaryCost+g.loadCost(p, g.writes.len())+g.zoneCost(p) < bestCost && !p.leaving() {
		return choice{verdict: verdictPrimary, member: p}
	}
	switch {
	case bestWait > 0:
		return choice{verdict: verdictWait, member: best}
	case g.hasSlot(best):
		return choice{verdict: verdictReplica, member: best}
	}
	return choice{verdict: verdictQueue, member: best}
}

// required is the position a replica must have applied to serve the read: the
// session's own and, for a read of a stated age, what the primary had that
// long ago. A stated age never weakens what the session has seen itself.
func (g *Group) requiredPosition(r *request) (core.Position, bool) {
	need, known := g.sessionPosition(r)
	if r.maxStaleness <= 0 {
		return need, known
	}
	old, found := g.history.positionSince(g.now.Add(-r.maxStaleness))
	if !found {
		g.refreshPrimaryPosition()
		return need, false
	}
	return need.Max(old), known
}

// probeStale asks the primary for its position because what is known is older
// than a read accepts.
func (g *Group) refreshPrimaryPosition() {
	g.requestReport(g.leadership.primary)
}
