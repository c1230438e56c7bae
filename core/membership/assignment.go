package membership

import (
	"slices"

	"limpetspan/core"
)

// CandidateCount is the number of candidates for the home of a group.
const CandidateCount = 3

// Assignment holds for each group the daemons that may be its home, best
// first: weighted rendezvous hashing over the daemons added, in different
// zones where there are enough, and from the regions in which the group has
// members where these are known. It is a function of the sets of groups and of
// daemons alone, not of the order of changes, so equal views agree.
//
// An arrival costs one hash for each group, a departure a scan of the daemons
// for each of the few groups that lose a candidate.
type Assignment struct {
	groups map[core.GroupID]*slot
	slots  []*slot
	// byZone lists the groups with a member in the zone.
	byZone map[int32][]*slot
	byID   map[core.DaemonID]*node
	nodes  []*node
	// places counts the daemons in a zone and region, which tells the region
	// of a group's members.
	places map[place]int
	zones  numbers[core.Zone]
	// regions are numbered, too: ranks compare numbers, not texts.
	regions numbers[core.Region]
	changed map[core.GroupID]struct{}
}

// numbers numbers names in the order in which they appear.
type numbers[T ~string] map[T]int32

func (n numbers[T]) of(name T) int32 {
	number, ok := n[name]
	if !ok {
		number = int32(len(n))
		n[name] = number
	}
	return number
}

type place struct{ zone, region int32 }

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
}

// NewAssignment returns one without groups and daemons.
func NewAssignment() *Assignment {
	return &Assignment{
		groups:  map[core.GroupID]*slot{},
		byZone:  map[int32][]*slot{},
		zones:   numbers[core.Zone]{},
		regions: numbers[core.Region]{},
		byID:    map[core.DaemonID]*node{},
		places:  map[place]int{},
		changed: map[core.GroupID]struct{}{},
	}
}

// SetGroups replaces the groups; those that stay as they are cost nothing.
func (a *Assignment) SetGroups(groups []Group) {
	keep := make(map[core.GroupID]struct{}, len(groups))
	for _, g := range groups {
		keep[g.ID] = struct{}{}
		old := a.groups[g.ID]
		if old != nil && slices.Equal(old.Zones, g.Zones) {
			continue
		}
		if old != nil {
			a.dropGroup(old)
		}
		a.addGroup(g)
	}
	for id, s := range a.groups {
		if _, ok := keep[id]; !ok {
			a.dropGroup(s)
			a.changed[id] = struct{}{}
		}
	}
}

func (a *Assignment) addGroup(g Group) {
	g.Zones = slices.Clone(g.Zones)
	s := &slot{Group: g, at: len(a.slots), hash: hashName(string(g.ID))}
	a.groups[g.ID] = s
	a.slots = append(a.slots, s)
	for _, z := range g.Zones {
		s.zones = append(s.zones, a.zones.of(z))
	}
	slices.Sort(s.zones)
	s.zones = slices.Compact(s.zones)
	for _, z := range s.zones {
		a.byZone[z] = append(a.byZone[z], s)
	}
	a.recompute(s)
}

func (a *Assignment) dropGroup(s *slot) {
	delete(a.groups, s.ID)
	last := a.slots[len(a.slots)-1]
	a.slots[s.at], last.at = last, s.at
	a.slots = a.slots[:len(a.slots)-1]
	for _, z := range s.zones {
		a.byZone[z] = slices.DeleteFunc(a.byZone[z], func(o *slot) bool { return o == s })
		if len(a.byZone[z]) == 0 {
			delete(a.byZone, z)
		}
	}
}

// Add makes a daemon a possible candidate, or replaces what is known of it.
func (a *Assignment) Add(d *Daemon) {
	weight := min(max(d.Weight, 1), MaxWeight)
	zone, region := a.zones.of(d.Zone), a.regions.of(d.Region)
	if old := a.byID[d.ID]; old != nil {
		if old.zone == zone && old.region == region && old.weight == weight {
			return
		}
		a.Remove(d.ID)
	}
	n := &node{id: d.ID, zone: zone, region: region, hash: hashName(string(d.ID)), weight: weight, at: len(a.nodes)}
	a.byID[n.id] = n
	a.nodes = append(a.nodes, n)
	a.countPlace(n, 1)
	for _, s := range a.slots {
		if s.passesOver(n) || s.holds(n) {
			continue // countPlace may just have recomputed this group
		}
		s.insert(n)
		if s.holds(n) {
			a.changed[s.ID] = struct{}{}
		}
	}
}

// Remove takes a daemon away.
func (a *Assignment) Remove(id core.DaemonID) {
	n := a.byID[id]
	if n == nil {
		return
	}
	delete(a.byID, id)
	last := a.nodes[len(a.nodes)-1]
	a.nodes[n.at], last.at = last, n.at
	a.nodes = a.nodes[:len(a.nodes)-1]
	a.countPlace(n, -1)
	for _, s := range a.slots {
		if s.holds(n) {
			a.recompute(s)
		}
	}
}

// countPlace notes an arrival or departure. When the first daemon of a zone
// and region arrives or the last goes, the regions of the groups with members
// in the zone change.
func (a *Assignment) countPlace(n *node, by int) {
	p := place{n.zone, n.region}
	a.places[p] += by
	first := by > 0 && a.places[p] == 1
	last := a.places[p] == 0
	if last {
		delete(a.places, p)
	}
	if !first && !last {
		return
	}
	for _, s := range a.byZone[n.zone] {
		a.recompute(s)
	}
}

func (a *Assignment) recompute(s *slot) {
	var before [CandidateCount]core.DaemonID
	for i, r := range s.list {
		before[i] = r.id
	}
	s.near = s.near[:0]
	for p := range a.places {
		if slices.Contains(s.zones, p.zone) && !slices.Contains(s.near, p.region) {
			s.near = append(s.near, p.region)
		}
	}
	s.list, s.tight = s.list[:0], false
	for _, n := range a.nodes {
		if !s.passesOver(n) {
			s.insert(n)
		}
	}
	var after [CandidateCount]core.DaemonID
	for i, r := range s.list {
		after[i] = r.id
	}
	if before != after {
		a.changed[s.ID] = struct{}{}
	}
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

func (s *slot) insert(n *node) {
	r := ranked{node: n, score: score(s.hash, n.hash, n.weight), far: s.isFar(n)}
	s.list = insert(s.list, r, CandidateCount)
	s.worst = s.list[len(s.list)-1]
	s.tight = len(s.list) == CandidateCount && distinctZones(s.list)
}

// Candidates appends the candidates for the group's home to dst, best first.
func (a *Assignment) Candidates(dst []core.DaemonID, group core.GroupID) []core.DaemonID {
	s := a.groups[group]
	if s == nil {
		return dst
	}
	for _, r := range s.list {
		dst = append(dst, r.id)
	}
	return dst
}

// Of returns the groups for which the daemon is a candidate, sorted.
func (a *Assignment) Of(id core.DaemonID) []core.GroupID {
	n := a.byID[id]
	var groups []core.GroupID
	for _, s := range a.slots {
		if n != nil && s.holds(n) {
			groups = append(groups, s.ID)
		}
	}
	slices.Sort(groups)
	return groups
}

// takeChanged appends the groups whose candidates changed since the last call.
func (a *Assignment) takeChanged(dst []core.GroupID) []core.GroupID {
	if len(a.changed) == 0 {
		return dst
	}
	start := len(dst)
	for id := range a.changed {
		dst = append(dst, id)
	}
	clear(a.changed)
	slices.Sort(dst[start:])
	return dst
}

// WatcherCount is the number of daemons in each region that watch the store
// for all others.
const WatcherCount = 3

// Watchers returns the daemons of the region that watch the store, best first,
// in different zones where there are enough.
func (a *Assignment) Watchers(region core.Region) []core.DaemonID {
	key := hashName("watch/" + string(region))
	number, ok := a.regions[region]
	if !ok {
		return nil
	}
	var list []ranked
	for _, n := range a.nodes {
		if n.region == number {
			list = insert(list, ranked{node: n, score: score(key, n.hash, n.weight)}, WatcherCount)
		}
	}
	ids := make([]core.DaemonID, len(list))
	for i, r := range list {
		ids[i] = r.id
	}
	return ids
}
