package group

import (
	"time"

	"limpetspan/core"
)

// verdict says what to do with a read.
type verdict uint8

const (
	// verdictStay: the best member is busy, the read keeps its place.
	verdictStay verdict = iota
	// verdictNow: the member serves it now.
	verdictNow
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
	need, known := g.required(r)
	var best *member
	var bestCost, bestWait time.Duration
	for _, m := range g.members {
		if !g.serving(m) {
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
		return choice{verdict: verdictNow, member: best}
	}
	return choice{verdict: verdictStay, member: best}
}

// required is the position a replica must have applied to serve the read: the
// session's own and, for a read of a stated age, what the primary had that
// long ago. A stated age never weakens what the session has seen itself.
func (g *Group) required(r *request) (core.Position, bool) {
	need, known := g.need(r)
	if r.maxStaleness <= 0 {
		return need, known
	}
	old, found := g.history.atLeast(g.now.Add(-r.maxStaleness))
	if !found {
		g.probeStale()
		return need, false
	}
	return need.Max(old), known
}

// probeStale asks the primary for its position because what is known is older
// than a read accepts.
func (g *Group) probeStale() {
	g.reportSoon(g.leadership.primary)
}
