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

func (s *groupCandidates) contains(n *node) bool {
	for _, r := range s.list {
		if r.node == n {
			return true
		}
	}
	return false
}

// canSkip reports whether the daemon ranks too low to change the list. It runs
// for each daemon and group, so it compares the region first, which is cheaper
// than the score.
func (s *groupCandidates) canSkip(n *node) bool {
	if !s.canPrune {
		return false
	}
	if far := s.isRemote(n); far != s.worst.isRemote {
		return far
	}
	return score(s.hash, n.hash, n.weight) < s.worst.score
}

func (s *groupCandidates) isRemote(n *node) bool {
	return len(s.preferredRegions) > 0 && !slices.Contains(s.preferredRegions, n.region)
}

func (s *groupCandidates) insertAll(nodes []*node) {
	for _, n := range nodes {
		if !s.canSkip(n) {
			s.insert(n)
		}
	}
}

func (s *groupCandidates) containsRemoved() bool {
	for _, r := range s.list {
		if r.isRemoved {
			return true
		}
	}
	return false
}

func (s *groupCandidates) insert(n *node) {
	r := rankedNode{node: n, score: score(s.hash, n.hash, n.weight), isRemote: s.isRemote(n)}
	s.list = insert(s.list, r, CandidateCount)
	s.worst = s.list[len(s.list)-1]
	s.canPrune = len(s.list) == CandidateCount && distinctZones(s.list)
}
