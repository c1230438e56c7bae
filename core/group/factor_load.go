package group

import "time"

// loadCost estimates how long a read would wait at a member for a slot, and for
// a new connection if none is idle.
func (g *Group) loadCost(m *member, queued int) time.Duration {
	var cost time.Duration
	if len(m.idle) == 0 && m.running < g.statementCap() {
		cost += g.tuning.ConnectCost
	}
	slots := max(1, g.slots)
	if m.running < slots {
		return cost
	}
	ahead := m.running - slots + 1 + queued/max(1, g.size()-1)
	return cost + time.Duration(ahead)*m.serviceTime/time.Duration(slots)
}
