package membership

import (
	"slices"
)

// slot is a group with its candidates.
type slot struct {
	Group
	// at is the position in Assignment.slots.
	at   int
	hash uint64
	// near are the regions with members.
	near []int32
	// zones are those of Group, numbered.
	zones []int32
	list  []ranked
	// tight: the list is full, in distinct zones, and ends with worst, so that
	// a daemon ranked below that can be passed over at once.
	tight bool
	worst ranked
	// stale: the regions of the members changed.
	stale bool
}

func (s *slot) holds(n *node) bool {
	for _, r := range s.list {
		if r.node == n {
			return true
		}
	}
	return false
}

// passesOver reports whether the daemon ranks too low to change the list. It
// is asked for each daemon and group, so it looks at the region first, which
// is cheaper than the score.
func (s *slot) passesOver(n *node) bool {
	if !s.tight {
		return false
	}
	if far := s.isFar(n); far != s.worst.far {
		return far
	}
	return score(s.hash, n.hash, n.weight) < s.worst.score
}

func (s *slot) isFar(n *node) bool {
	return len(s.near) > 0 && !slices.Contains(s.near, n.region)
}

func (s *slot) insertAll(nodes []*node) {
	for _, n := range nodes {
		if !s.passesOver(n) {
			s.insert(n)
		}
	}
}

func (s *slot) holdsGone() bool {
	for _, r := range s.list {
		if r.gone {
			return true
		}
	}
	return false
}

func (s *slot) insert(n *node) {
	r := ranked{node: n, score: score(s.hash, n.hash, n.weight), far: s.isFar(n)}
	s.list = insert(s.list, r, CandidateCount)
	s.worst = s.list[len(s.list)-1]
	s.tight = len(s.list) == CandidateCount && distinctZones(s.list)
}
