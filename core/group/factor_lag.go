package group

import (
	"time"

	"limpetspan/core"
)

// lagCost returns how long the read would wait for the replica to report the
// required position. The cost is zero if the replica has already reported it.
// It returns false if the replica would exceed the time that the read may wait.
//
// Guard: a read is served only on a reported position. A predicted position only
// decides whether to wait for the report; with a read served on a prediction, a
// session might not see its own write.
func (g *Group) lagCost(m *member, r *request, need core.Position, known bool) (time.Duration, bool) {
	if known && !m.position.Less(need) {
		return 0, true
	}
	wait := g.tuning.FastProbeInterval
	if known {
		wait = g.expectedWait(m, g.history.reachedAt(need, g.now))
	}
	limit := g.tuning.MaxReadWait
	if r.waitUntil != 0 {
		limit = r.waitUntil.Sub(g.now)
	}
	return wait, limit > 0 && wait <= limit
}
