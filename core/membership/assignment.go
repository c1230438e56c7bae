package membership

import (
	"slices"

	"limpetspan/core"
)

// CandidateCount is the number of candidates for the home of a group.
const CandidateCount = 3

// Assignment holds, for each group, the daemons that may become its home, best
// first. It uses weighted rendezvous hashing over the daemons added. Candidates
// are in different zones where possible, and in the regions of the group's
// members where these are known. The result depends only on the sets of groups
// and daemons, not on the order of changes, so equal views agree on it.
//
// Changes of daemons take effect at the next Flush, so that many changes at
// once, such as the loss of a zone, cost one pass over the groups. Within that
// pass an added daemon costs one hash per group. A removed daemon costs a scan
// of the daemons in the preferred regions for each of the few groups that lose
// a candidate.
type Assignment struct {
	groups    map[core.GroupID]*groupCandidates
	groupList []*groupCandidates
	// byZone lists the groups with a member in the zone.
	byZone map[int32][]*groupCandidates
	byID   map[core.DaemonID]*node
	// nodes holds the daemons by region number.
	nodes [][]*node
	// added and hasRemovals record the changes since the last Flush.
	added       []*node
	hasRemovals bool
	// locationCounts counts the daemons per zone and region. It shows in which
	// regions the zones of a group's members are.
	locationCounts map[location]int
	zones          nameIndex[core.Zone]
	// regions are numbered like zones, because comparing numbers is cheaper
	// than comparing strings.
	regions nameIndex[core.Region]
	changed map[core.GroupID]struct{}
}

// nameIndex assigns consecutive numbers to names in the order of first use.
type nameIndex[T ~string] map[T]int32

func (n nameIndex[T]) indexOf(name T) int32 {
	number, ok := n[name]
	if !ok {
		number = int32(len(n))
		n[name] = number
	}
	return number
}

type location struct{ zone, region int32 }

// NewAssignment returns an Assignment without groups and daemons.
func NewAssignment() *Assignment {
	return &Assignment{
		groups:         map[core.GroupID]*groupCandidates{},
		byZone:         map[int32][]*groupCandidates{},
		zones:          nameIndex[core.Zone]{},
		regions:        nameIndex[core.Region]{},
		byID:           map[core.DaemonID]*node{},
		locationCounts: map[location]int{},
		changed:        map[core.GroupID]struct{}{},
	}
}

// SetGroups flushes pending changes and replaces the groups. Groups that did not
// change are not recomputed.
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
			a.removeGroup(old)
		}
		a.addGroup(g)
	}
	for id, c := range a.groups {
		if _, ok := keep[id]; !ok {
			a.removeGroup(c)
			a.changed[id] = struct{}{}
		}
	}
}

func (a *Assignment) addGroup(g Group) {
	g.Zones = slices.Clone(g.Zones)
	c := &groupCandidates{Group: g, index: len(a.groupList), hash: hashName(string(g.ID))}
	a.groups[g.ID] = c
	a.groupList = append(a.groupList, c)
	for _, z := range g.Zones {
		c.zones = append(c.zones, a.zones.indexOf(z))
	}
	slices.Sort(c.zones)
	c.zones = slices.Compact(c.zones)
	for _, z := range c.zones {
		a.byZone[z] = append(a.byZone[z], c)
	}
	a.recompute(c)
}

func (a *Assignment) removeGroup(c *groupCandidates) {
	delete(a.groups, c.ID)
	last := a.groupList[len(a.groupList)-1]
	a.groupList[c.index], last.index = last, c.index
	a.groupList = a.groupList[:len(a.groupList)-1]
	for _, z := range c.zones {
		a.byZone[z] = slices.DeleteFunc(a.byZone[z], func(o *groupCandidates) bool { return o == c })
		if len(a.byZone[z]) == 0 {
			delete(a.byZone, z)
		}
	}
}

// Add makes a daemon eligible as a candidate, or updates its zone, region and
// weight.
func (a *Assignment) Add(d *Daemon) {
	weight := min(max(d.Weight, 1), MaxWeight)
	zone, region := a.zones.indexOf(d.Zone), a.regions.indexOf(d.Region)
	if old := a.byID[d.ID]; old != nil {
		if old.zone == zone && old.region == region && old.weight == weight {
			return
		}
		a.Remove(d.ID)
	}
	for len(a.nodes) <= int(region) {
		a.nodes = append(a.nodes, nil)
	}
	n := &node{id: d.ID, zone: zone, region: region, hash: hashName(string(d.ID)), weight: weight, index: len(a.nodes[region])}
	a.byID[n.id] = n
	a.nodes[region] = append(a.nodes[region], n)
	a.added = append(a.added, n)
	a.countLocation(n, 1)
}

// Remove makes a daemon ineligible.
func (a *Assignment) Remove(id core.DaemonID) {
	n := a.byID[id]
	if n == nil {
		return
	}
	delete(a.byID, id)
	list := a.nodes[n.region]
	last := list[len(list)-1]
	list[n.index], last.index = last, n.index
	a.nodes[n.region] = list[:len(list)-1]
	n.isRemoved, a.hasRemovals = true, true
	a.countLocation(n, -1)
}

// HasPendingChanges reports whether daemons changed since the last Flush.
func (a *Assignment) HasPendingChanges() bool { return a.hasRemovals || len(a.added) > 0 }

// Flush applies the pending changes of daemons to the candidates.
func (a *Assignment) Flush() {
	if !a.HasPendingChanges() {
		return
	}
	a.added = slices.DeleteFunc(a.added, func(n *node) bool { return n.isRemoved })
	for _, c := range a.groupList {
		if c.stale || a.hasRemovals && c.containsRemoved() {
			a.recompute(c)
			continue
		}
		for _, n := range a.added {
			a.consider(c, n)
		}
	}
	clear(a.added)
	a.added, a.hasRemovals = a.added[:0], false
}

// consider inserts an added daemon into the group's list if it ranks high enough.
func (a *Assignment) consider(c *groupCandidates, n *node) {
	if c.canSkip(n) || c.contains(n) {
		return
	}
	c.insert(n)
	if c.contains(n) {
		a.changed[c.ID] = struct{}{}
	}
}

// countLocation changes the number of daemons at n's zone and region. When the
// first daemon appears there or the last one disappears, the preferred regions
// of the groups with members in that zone change.
func (a *Assignment) countLocation(n *node, by int) {
	loc := location{n.zone, n.region}
	a.locationCounts[loc] += by
	first := by > 0 && a.locationCounts[loc] == 1
	last := a.locationCounts[loc] == 0
	if last {
		delete(a.locationCounts, loc)
	}
	if !first && !last {
		return
	}
	for _, c := range a.byZone[n.zone] {
		c.stale = true
	}
}

func (a *Assignment) recompute(c *groupCandidates) {
	var before [CandidateCount]core.DaemonID
	for i, r := range c.list {
		before[i] = r.id
	}
	c.preferredRegions = c.preferredRegions[:0]
	for loc := range a.locationCounts {
		if slices.Contains(c.zones, loc.zone) && !slices.Contains(c.preferredRegions, loc.region) {
			c.preferredRegions = append(c.preferredRegions, loc.region)
		}
	}
	c.list, c.canPrune, c.stale = c.list[:0], false, false
	for _, region := range c.preferredRegions {
		c.insertAll(a.nodes[region])
	}
	if !c.canPrune {
		for region, nodes := range a.nodes {
			if !slices.Contains(c.preferredRegions, int32(region)) {
				c.insertAll(nodes)
			}
		}
	}
	var after [CandidateCount]core.DaemonID
	for i, r := range c.list {
		after[i] = r.id
	}
	if before != after {
		a.changed[c.ID] = struct{}{}
	}
}

// Candidates appends the candidates for the group's home to dst, best first, as
// of the last Flush.
func (a *Assignment) Candidates(dst []core.DaemonID, group core.GroupID) []core.DaemonID {
	c := a.groups[group]
	if c == nil {
		return dst
	}
	for _, r := range c.list {
		dst = append(dst, r.id)
	}
	return dst
}

// GroupsOf returns the groups for which the daemon is a candidate, sorted.
func (a *Assignment) GroupsOf(id core.DaemonID) []core.GroupID {
	n := a.byID[id]
	var groups []core.GroupID
	for _, c := range a.groupList {
		if n != nil && c.contains(n) {
			groups = append(groups, c.ID)
		}
	}
	slices.Sort(groups)
	return groups
}

// takeChanged appends to dst the groups whose candidates changed since the last
// call.
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

// WatcherCount is the number of daemons per region that watch the store on
// behalf of all others.
const WatcherCount = 3

// Watchers returns the daemons of the region that watch the store, best first
// and in different zones where possible.
func (a *Assignment) Watchers(region core.Region) []core.DaemonID {
	key := hashName("watch/" + string(region))
	number, ok := a.regions[region]
	if !ok {
		return nil
	}
	if int(number) >= len(a.nodes) {
		return nil
	}
	var list []rankedNode
	for _, n := range a.nodes[number] {
		list = insert(list, rankedNode{node: n, score: score(key, n.hash, n.weight)}, WatcherCount)
	}
	ids := make([]core.DaemonID, len(list))
	for i, r := range list {
		ids[i] = r.id
	}
	return ids
}
