package proxy

import (
	"maps"
	"slices"

	"limpetspan/core"
)

// Pool describes the idle connections to one member, for the metrics.
type Pool struct {
	Group  core.GroupID  `json:"group"`
	Member core.MemberID `json:"member"`
	// Idle is the number of idle connections by team.
	Idle map[core.TeamID]int `json:"idle"`
	// Waiting is the number of the group's statements that wait for a connection to any member.
	Waiting int `json:"waiting"`
}

// pools returns the idle connections by member and team.
func (p *Proxy) pools() []Pool {
	list := []Pool{}
	for _, g := range p.activeGroups() {
		g.mu.Lock()
		for _, id := range slices.Sorted(maps.Keys(g.idle)) {
			pool := Pool{Group: g.id, Member: id, Idle: make(map[core.TeamID]int), Waiting: g.queue.Len()}
			for _, conn := range g.idle[id] {
				pool.Idle[conn.team]++
			}
			list = append(list, pool)
		}
		g.mu.Unlock()
	}
	return list
}
