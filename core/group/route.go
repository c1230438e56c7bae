package group

import (
	"time"

	"limpetspan/core"
)

// verdict is the result of routing a read.
type verdict uint8

const (
	// verdictQueue: the best member has no free slot; the read stays queued.
	verdictQueue verdict = iota
	// verdictReplica: a replica serves the read now.
	verdictReplica
	// verdictWait: a replica is expected to reach the position soon.
	verdictWait
	// verdictPrimary: the primary serves the read.
	verdictPrimary
)

// choice is the routing decision for one read.
type choice struct {
	verdict verdict
	member  *member
}

// route chooses the member that serves a read: a replica now, a replica after a
// short wait for its position, or the primary. Each factor returns a cost as a
// duration; the member with the lowest total is chosen.
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

// requiredPosition returns the position that a replica must have applied to
// serve the read, and whether it is known. It is the position of the session
// and, for a read with a maximum staleness, at least the primary's position that
// long ago. A maximum staleness does not relax read-your-writes.
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

// refreshPrimaryPosition probes the primary, because its last known position is
// older than a read accepts.
func (g *Group) refreshPrimaryPosition() {
	g.requestReport(g.leadership.primary)
}
