package group

import "time"

// zoneCost returns the extra round-trip time to a member in another availability
// zone.
func (g *Group) zoneCost(m *member) time.Duration {
	if m.Zone == g.zone {
		return 0
	}
	return g.tuning.ZoneCost
}
