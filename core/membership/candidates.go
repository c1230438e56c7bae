package membership

import (
	"slices"
)

// groupCandidates is a group with its candidates.
type groupCandidates struct {
	Group
	// index is the position in Assignment.groupList.
	index int
	hash  uint64
	// preferredRegions are the regions of the members.
	preferredRegions []int32
	// zones are the numbers of Group.Zones.
	zones []int32
	list  []rankedNode
	// canPrune is set when the list is full and its zones are distinct. A daemon
	// that ranks below worst, the last of the list, can then be skipped.
	canPrune bool
	worst    rankedNode
	// stale is set when the preferred regions may have changed.
	stale bool
}

func (c *groupCandidates) contains(n *node) bool {
	for _, r := range c.list {
		if r.node == n {
			return true
		}
	}
	return false
}

// canSkip reports whether the daemon ranks too low to change the list. It runs
// for each daemon and group, so it compares the region first, which is cheaper
// than the score.
func (c *groupCandidates) canSkip(n *node) bool {
	if !c.canPrune {
		return false
	}
	if remote := c.isRemote(n); remote != c.worst.isRemote {
		return remote
	}
	return score(c.hash, n.hash, n.weight) < c.worst.score
}

func (c *groupCandidates) isRemote(n *node) bool {
	return len(c.preferredRegions) > 0 && !slices.Contains(c.preferredRegions, n.region)
}

func (c *groupCandidates) insertAll(nodes []*node) {
	for _, n := range nodes {
		if !c.canSkip(n) {
			c.insert(n)
		}
	}
}

func (c *groupCandidates) containsRemoved() bool {
	for _, r := range c.list {
		if r.isRemoved {
			return true
		}
	}
	return false
}

func (c *groupCandidates) insert(n *node) {
	r := rankedNode{node: n, score: score(c.hash, n.hash, n.weight), isRemote: c.isRemote(n)}
	c.list = insert(c.list, r, CandidateCount)
	c.worst = c.list[len(c.list)-1]
	c.canPrune = len(c.list) == CandidateCount && distinctZones(c.list)
}
