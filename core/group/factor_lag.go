package group

import (
	"time"

	"limpetspan/core"
)

// lagCost is how long the read would wait for the replica to have the position
// it needs: zero if it is known to have it, false if that takes too long.
//
// Guard: only a reported position counts as had. A predicted one serves to
// decide whether to wait for the report; a read served on a prediction would
// show as a session that does not see its own write.
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
