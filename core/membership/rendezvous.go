package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"limpetspan/core"
)

// score returns the rank of a daemon for a key by highest random weight. It is
// the same in every process. A daemon of weight w takes the maximum of w hashes,
// which gives it w times the share.
func score(key, daemon uint64, weight uint32) uint64 {
	best := mix(key ^ daemon)
	for i := uint32(1); i < weight; i++ {
		best = max(best, mix(key^mix(daemon+uint64(i))))
	}
	return best
}

// mix is the final avalanche of xxhash64.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xC2B2AE3D27D4EB4F
	x ^= x >> 29
	x *= 0x165667B19E3779F9
	return x ^ x>>32
}

func hashName(s string) uint64 { return xxhash.Sum64String(s) }

// rankedNode is a daemon with its score for one key.
type rankedNode struct {
	*node
	score uint64
	// isRemote marks a daemon outside the preferred regions.
	isRemote bool
}

// node is a daemon that may be chosen.
type node struct {
	id core.DaemonID
	// zone and region are numbered by the Assignment.
	zone   int32
	region int32
	hash   uint64
	weight uint32
	// index is the position in Assignment.nodes of the region.
	index int
	// isRemoved marks a removed daemon that lists may still contain.
	isRemoved bool
}

func (r rankedNode) ranksBefore(o rankedNode) bool {
	if r.isRemote != o.isRemote {
		return o.isRemote
	}
	if r.score != o.score {
		return r.score > o.score
	}
	return r.id < o.id
}

// insert adds r to list, the selection among all daemons inserted before, and
// returns the new selection of at most n daemons: the best daemon of each zone
// first and, if there are fewer zones than n, the best of the rest. The result
// depends only on the previous selection and r, so adding a daemon needs no scan
// of the others.
func insert(list []rankedNode, r rankedNode, n int) []rankedNode {
	if len(list) == n && !r.canEnter(list) {
		return list
	}
	list = append(list, r)
	slices.SortFunc(list, func(a, b rankedNode) int {
		if a.ranksBefore(b) {
			return -1
		}
		return 1
	})
	if len(list) <= n {
		return zonesFirst(list)
	}
	list = zonesFirst(list)
	return list[:n]
}

// canEnter reports whether r can enter a full list. It is cheap, because nearly
// all daemons cannot. A list of distinct zones is sorted by rank.
func (r rankedNode) canEnter(list []rankedNode) bool {
	if distinctZones(list) {
		return r.ranksBefore(list[len(list)-1])
	}
	for _, l := range list {
		if r.ranksBefore(l) {
			return true
		}
	}
	// A daemon of another zone displaces one of two that share a zone, even if it
	// ranks below all of them.
	return !containsZone(list, r.zone)
}

func distinctZones(list []rankedNode) bool {
	for i, a := range list {
		for _, b := range list[:i] {
			if a.zone == b.zone {
				return false
			}
		}
	}
	return true
}

// zonesFirst stably moves the best daemon of each zone to the front.
func zonesFirst(list []rankedNode) []rankedNode {
	front := 0
	for i := range list {
		if containsZone(list[:front], list[i].zone) {
			continue
		}
		r := list[i]
		copy(list[front+1:i+1], list[front:i])
		list[front] = r
		front++
	}
	return list
}

func containsZone(list []rankedNode, zone int32) bool {
	for _, r := range list {
		if r.zone == zone {
			return true
		}
	}
	return false
}
