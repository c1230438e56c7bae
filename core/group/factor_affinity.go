package group

import "time"

// affinityBonus is what staying with one replica is worth to a session: it
// then rarely meets a replica that is behind what it has seen.
const affinityPenalty = 300 * time.Microsecond

// affinityCost prefers one replica for each session.
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
