package group

import "time"

// affinityPenalty is the cost of a replica other than the session's preferred
// one. A session that stays with one replica rarely has to wait for another
// replica to reach the position that it has seen.
const affinityPenalty = 300 * time.Microsecond

// affinityCost makes each session prefer one replica, chosen by its hash.
func (g *Group) affinityCost(m *member, r *request) time.Duration {
	size := uint64(len(g.members))
	preferred := r.sessionHash % size
	if g.members[preferred] == g.leadership.primary {
		preferred = (preferred + 1) % size
	}
	if r.sessionHash == 0 || g.members[preferred] == m {
		return 0
	}
	return affinityPenalty
}
