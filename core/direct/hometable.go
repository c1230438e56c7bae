package direct

import (
	"cmp"
	"slices"

	"limpetspan/core"
)

// Limits of the choice of homes.
const (
	// homeConnShare of a member's connections is divided among the homes. Each home needs
	// connsPerHome to have reads, writes and transactions in progress at once.
	homeConnShare = 0.6
	connsPerHome  = 4
	// connsPerDaemon is the number of connections that each daemon needs if all of them connect to
	// the members themselves, which saves callers a hop. Up to directConnShare of a member's
	// connections may be used for that. The share is large so that a fleet does not switch its mode
	// during a replacement, in which hosts are added before others are removed.
	connsPerDaemon  = 2
	directConnShare = 0.95
	// maxDirectDaemons is the largest fleet in which all daemons connect to all members: each
	// reports to all others of the group several times a second, and these reports grow with the
	// square of their number.
	maxDirectDaemons = 16
	// maxHomesPerZone bounds how far a group's load is spread. More homes send more probes and
	// reports and have fewer connections each.
	maxHomesPerZone = 2
	// groupsPerHome bounds the average number of groups of one home, and with it the cost of
	// probes, reports and idle connections.
	groupsPerHome = 32
	// minHomes is the minimum number of homes of a group; the second one is a spare.
	minHomes = 2
	// eligibleWeightShare is the share of the weight of its zone's strongest host that a host needs
	// to be eligible as a home.
	eligibleWeightShare = 0.5
)

// Fleet is the input of the choice of homes, apart from the group itself.
type Fleet struct {
	// Daemons are the daemons that may be homes.
	Daemons []Daemon
	// Size is the size of the fleet, including daemons that are missing from Daemons at the moment.
	Size int
	// Groups is the number of database groups that the fleet serves.
	Groups int
}

// HomeTable holds the homes of the groups that it was asked for. A change of the fleet costs work
// only for the groups whose homes are added or removed, not for all pairs of groups and daemons. It
// is not safe for concurrent use.
type HomeTable struct {
	fleet Fleet
	zones map[core.Zone][]Daemon
	// daemons holds the ids of the whole fleet, sorted.
	daemons []core.DaemonID
	groups  map[core.GroupID]*groupHomes
	// scored counts the scores that were computed.
	scored int
}

// homePlan is the number of homes of a group.
type homePlan struct {
	// direct is set if all daemons are homes.
	direct bool
	// total is the number of homes, perZone the maximum in each zone, while no home is overloaded.
	total, perZone int
	// mayExtend is set if the members' connections suffice for one more home in each zone.
	mayExtend bool
}

// groupHomes are the homes of one group.
type groupHomes struct {
	maxConns int
	plan     homePlan
	// best holds the daemons of each zone with the highest scores, in descending order, and one more
	// than are homes unless some are overloaded.
	best  map[core.Zone][]scoredDaemon
	homes []core.DaemonID
}

// scoredDaemon is a daemon with its score for a group.
type scoredDaemon struct {
	id     core.DaemonID
	score  float64
	burden Burden
}

func (r scoredDaemon) compare(o scoredDaemon) int {
	return cmp.Or(cmp.Compare(o.score, r.score), cmp.Compare(r.id, o.id))
}

// NewHomeTable returns a table of a fleet without daemons.
func NewHomeTable() *HomeTable {
	return &HomeTable{groups: make(map[core.GroupID]*groupHomes)}
}

// Homes returns the group's homes, sorted by id.
func (t *HomeTable) Homes(group core.GroupID, maxConns int) []core.DaemonID {
	g := t.groups[group]
	if g == nil {
		g = &groupHomes{}
		t.groups[group] = g
	}
	if g.homes == nil || g.maxConns != maxConns {
		g.maxConns = maxConns
		t.recompute(group, g)
	}
	return g.homes
}

// Forget removes a group that is no longer asked for.
func (t *HomeTable) Forget(group core.GroupID) { delete(t.groups, group) }

// IsDirect reports whether every daemon is a home of every group whose members accept maxConns
// connections.
func (t *HomeTable) IsDirect(maxConns int) bool { return t.plan(maxConns).direct }

// IsEligible reports whether the daemon may be a home. Hosts that are much weaker than others of
// their zone are not eligible, unless all daemons of the fleet are homes.
func (t *HomeTable) IsEligible(id core.DaemonID) bool {
	if t.isSmallFleet() {
		return true
	}
	for _, list := range t.zones {
		if slices.ContainsFunc(list, func(d Daemon) bool { return d.ID == id }) {
			return true
		}
	}
	return false
}

// isSmallFleet reports whether every daemon may be a home, provided that the members accept enough
// connections.
func (t *HomeTable) isSmallFleet() bool {
	return t.fleet.Size <= maxDirectDaemons && t.fleet.Groups <= groupsPerHome
}

// Update sets the current fleet and returns the stored groups whose homes have changed.
func (t *HomeTable) Update(fleet Fleet) (changed []core.GroupID) {
	zones := byZone(fleet.Daemons)
	added, removed := diffDaemons(t.zones, zones)
	t.fleet, t.zones, t.daemons = fleet, zones, sortedIDs(fleet.Daemons)
	for id, g := range t.groups {
		before := g.homes
		if g.plan != t.plan(g.maxConns) || g.plan.direct {
			t.recompute(id, g)
		} else {
			t.applyChanges(id, g, added, removed)
		}
		if !slices.Equal(before, g.homes) {
			changed = append(changed, id)
		}
	}
	return changed
}

// diffDaemons returns the daemons that were added to a set and those that were removed from it.
func diffDaemons(before, after map[core.Zone][]Daemon) (added, removed []Daemon) {
	known := make(map[Daemon]bool)
	for _, list := range before {
		for _, d := range list {
			known[d] = true
		}
	}
	for _, list := range after {
		for _, d := range list {
			if !known[d] {
				added = append(added, d)
			}
			delete(known, d)
		}
	}
	for d := range known {
		removed = append(removed, d)
	}
	return added, removed
}

// plan returns the number of homes of a group whose members accept maxConns connections.
func (t *HomeTable) plan(maxConns int) homePlan {
	f := &t.fleet
	connsSuffice := float64(connsPerDaemon*len(f.Daemons)) <= directConnShare*float64(maxConns)
	if t.isSmallFleet() && connsSuffice || len(t.zones) == 0 {
		return homePlan{direct: true}
	}
	zones, eligible := len(t.zones), 0
	for _, list := range t.zones {
		eligible += len(list)
	}
	perZone := min(maxHomesPerZone, max(1, int(homeConnShare*float64(maxConns))/connsPerHome/zones))
	total := min(zones*perZone, max(minHomes, groupsPerHome*eligible/max(1, f.Groups)))
	mayExtend := float64((total+zones)*connsPerHome) <= homeConnShare*float64(maxConns)
	return homePlan{total: total, perZone: min(perZone, (total+zones-1)/zones), mayExtend: mayExtend}
}

// recompute scores all daemons for the group.
func (t *HomeTable) recompute(id core.GroupID, g *groupHomes) {
	g.plan = t.plan(g.maxConns)
	if g.plan.direct {
		g.best, g.homes = nil, t.daemons
		return
	}
	g.best = make(map[core.Zone][]scoredDaemon, len(t.zones))
	for zone := range t.zones {
		t.rankZone(id, g, zone)
	}
	g.selectHomes()
}

func (t *HomeTable) rankZone(id core.GroupID, g *groupHomes, zone core.Zone) {
	t.scored += len(t.zones[zone])
	g.best[zone] = topScored(id, t.zones[zone], g.plan.perZone+1)
}

// applyChanges updates the group's homes after daemons were added and removed.
func (t *HomeTable) applyChanges(id core.GroupID, g *groupHomes, added, removed []Daemon) {
	for _, d := range removed {
		if slices.ContainsFunc(g.best[d.Zone], func(r scoredDaemon) bool { return r.id == d.ID }) {
			t.rankZone(id, g, d.Zone)
		}
	}
	for _, d := range added {
		t.scored++
		r, list := scoredDaemon{d.ID, homeScore(id, d), d.Burden}, g.best[d.Zone]
		if i, known := slices.BinarySearchFunc(list, r, scoredDaemon.compare); !known {
			list = slices.Insert(list, i, r)
		}
		g.best[d.Zone] = list[:min(len(list), g.plan.perZone+1)]
	}
	g.selectHomes()
}

// selectHomes chooses the highest scores among the best of the zones, and one more daemon in each
// zone whose homes are all overloaded.
func (g *groupHomes) selectHomes() {
	var all []scoredDaemon
	homes := make([]core.DaemonID, 0, g.plan.total)
	for _, list := range g.best {
		usual := list[:min(len(list), g.plan.perZone)]
		all = append(all, usual...)
		if len(list) > len(usual) && g.plan.mayExtend && !slices.ContainsFunc(usual, func(d scoredDaemon) bool { return d.burden == 0 }) {
			homes = append(homes, list[len(usual)].id)
		}
	}
	slices.SortFunc(all, scoredDaemon.compare)
	for _, r := range all[:min(len(all), g.plan.total)] {
		homes = append(homes, r.id)
	}
	slices.Sort(homes)
	g.homes = homes
}

// topScored returns the n daemons with the highest scores for the group, in descending order.
func topScored(group core.GroupID, daemons []Daemon, n int) []scoredDaemon {
	list := make([]scoredDaemon, 0, len(daemons))
	for _, d := range daemons {
		list = append(list, scoredDaemon{d.ID, homeScore(group, d), d.Burden})
	}
	slices.SortFunc(list, scoredDaemon.compare)
	return list[:min(len(list), n)]
}
