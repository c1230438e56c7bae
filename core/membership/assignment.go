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
// Changes of daemons take effect with the next Flush, so that many at a time,
// as when a zone is lost, cost one pass over the groups. In it an arrival costs
// one hash for each group, a departure a scan of the near daemons for each of
// the few groups that lose a candidate.
type Assignment struct {
	groups map[core.GroupID]*slot
	slots  []*slot
	// byZone lists the groups with a member in the zone.
	byZone map[int32][]*slot
	byID   map[core.DaemonID]*node
	// nodes are the daemons by region.
	nodes [][]*node
	// arrived and departed are the changes since the last Flush.
	arrived  []*node
	departed bool
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

// SetGroups replaces the groups, and flushes; those that stay as they are cost
// nothing.
func (a *Assignment) SetGroups(groups []Group) {
	a.Flush()
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
	for len(a.nodes) <= int(region) {
		a.nodes = append(a.nodes, nil)
	}
	n := &node{id: d.ID, zone: zone, region: region, hash: hashName(string(d.ID)), weight: weight, at: len(a.nodes[region])}
	a.byID[n.id] = n
	a.nodes[region] = append(a.nodes[region], n)
	a.arrived = append(a.arrived, n)
	a.countPlace(n, 1)
}

// Remove takes a daemon away.
func (a *Assignment) Remove(id core.DaemonID) {
	n := a.byID[id]
	if n == nil {
		return
	}
	delete(a.byID, id)
	list := a.nodes[n.region]
	last := list[len(list)-1]
	list[n.at], last.at = last, n.at
	a.nodes[n.region] = list[:len(list)-1]
	n.gone, a.departed = true, true
	a.countPlace(n, -1)
}

// Pending reports whether there are changes for Flush.
func (a *Assignment) Pending() bool { return a.departed || len(a.arrived) > 0 }

// Flush brings the candidates up to date with the daemons.
func (a *Assignment) Flush() {
	if !a.Pending() {
		return
	}
	a.arrived = slices.DeleteFunc(a.arrived, func(n *node) bool { return n.gone })
	for _, s := range a.slots {
		if s.stale || a.departed && s.holdsGone() {
			a.recompute(s)
			continue
		}
		for _, n := range a.arrived {
			a.offer(s, n)
		}
	}
	clear(a.arrived)
	a.arrived, a.departed = a.arrived[:0], false
}

// offer puts a daemon that arrived into the group's list if it belongs there.
func (a *Assignment) offer(s *slot, n *node) {
	if s.passesOver(n) || s.holds(n) {
		return
	}
	s.insert(n)
	if s.holds(n) {
		a.changed[s.ID] = struct{}{}
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
		s.stale = true
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
	s.list, s.tight, s.stale = s.list[:0], false, false
	for _, region := range s.near {
		s.insertAll(a.nodes[region])
	}
	if !s.tight {
		for region, nodes := range a.nodes {
			if !slices.Contains(s.near, int32(region)) {
				s.insertAll(nodes)
			}
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

// Candidates appends, as of the last Flush, the candidates for the group's home to dst, best first.
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
	if int(number) >= len(a.nodes) {
		return nil
	}
	var list []ranked
	for _, n := range a.nodes[number] {
		list = insert(list, ranked{node: n, score: score(key, n.hash, n.weight)}, WatcherCount)
	}
	ids := make([]core.DaemonID, len(list))
	for i, r := range list {
		ids[i] = r.id
	}
	return ids
}
