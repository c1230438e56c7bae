package direct

import (
	"cmp"
	"slices"

	"limpetspan/core"
)

// Limits of the choice of homes.
const (
	// homeShare of a member's connections is divided among homes, each of which
	// needs connsPerHome to have reads, writes and transactions under way at once.
	homeConnShare = 0.6
	connsPerHome  = 4
	// connsPerDaemon is what each daemon needs if all of them reach the members
	// themselves, which saves callers a hop; directShare of a member's connections
	// may go there. It leaves room for hosts that are added before others go, so
	// that a fleet does not change its ways in the middle of a replacement.
	connsPerDaemon  = 2
	directConnShare = 0.95
	// mostDirect daemons at most reach all members: each reports to all others of
	// the group several times a second, which grows with their number's square.
	maxDirectDaemons = 16
	// mostHomesPerZone bounds how far a group's load is spread. More homes probe
	// and report more and have fewer connections each.
	maxHomesPerZone = 2
	// groupsPerHome bounds the groups of one home on average, and with them what it
	// spends on probes, reports and idle connections.
	groupsPerHome = 32
	// leastHomes is how many homes a group has at least, so that one is ready when
	// the other goes.
	minHomes = 2
	// strongShare of the strongest host's weight makes a host fit to be a home.
	eligibleWeightShare = 0.5
)

// Fleet is what the choice of homes depends on, apart from the group itself.
type Fleet struct {
	// Daemons are those that may be homes.
	Daemons []Daemon
	// Size is how large the fleet is, whatever Daemons lacks at the moment.
	Size int
	// Groups is how many database groups the fleet serves.
	Groups int
}

// HomeTable keeps the homes of the groups that it was asked for. A change of the fleet
// costs work for the groups whose homes come or go, not for all pairs of groups and
// daemons. It is not safe for concurrent use.
type HomeTable struct {
	fleet Fleet
	zones map[core.Zone][]Daemon
	// daemons are the ids of the whole fleet, sorted.
	daemons []core.DaemonID
	groups  map[core.GroupID]*groupHomes
	// draws counts the ranks that were computed.
	scored int
}

// homePlan is how many homes a group has.
type homePlan struct {
	// direct: all daemons are.
	direct bool
	// total of them, perZone in each zone at most.
	total, perZone int
}

// groupHomes are the homes of one group.
type groupHomes struct {
	maxConns int
	plan     homePlan
	// best are the daemons of each zone with the highest ranks, in descending order.
	best  map[core.Zone][]scoredDaemon
	homes []core.DaemonID
}

// ranked is a daemon with its rank for a group.
type scoredDaemon struct {
	id    core.DaemonID
	score float64
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

// Forget drops what is kept for a group that is not asked for any more.
func (t *HomeTable) Forget(group core.GroupID) { delete(t.groups, group) }

// Direct says whether every daemon is a home of every group whose members take so many
// connections.
func (t *HomeTable) IsDirect(maxConns int) bool { return t.plan(maxConns).direct }

// Fit says whether the daemon may be a home: none is on a host that is much weaker than
// others of its zone, unless all daemons of the fleet are homes.
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

// smallFleet says whether every daemon may be a home, if the members take enough connections.
func (t *HomeTable) isSmallFleet() bool {
	return t.fleet.Size <= maxDirectDaemons && t.fleet.Groups <= groupsPerHome
}

// Update takes the fleet as it is now, and returns the kept groups whose homes have changed.
func (t *HomeTable) Update(fleet Fleet) (changed []core.GroupID) {
	zones := byZone(fleet.Daemons)
	came, gone := diffDaemons(t.zones, zones)
	t.fleet, t.zones, t.daemons = fleet, zones, sortedIDs(fleet.Daemons)
	for id, g := range t.groups {
		before := g.homes
		if g.plan != t.plan(g.maxConns) || g.plan.direct {
			t.recompute(id, g)
		} else {
			t.applyChanges(id, g, came, gone)
		}
		if !slices.Equal(before, g.homes) {
			changed = append(changed, id)
		}
	}
	return changed
}

// difference are the daemons that one choice has and the other lacks.
func diffDaemons(before, after map[core.Zone][]Daemon) (came, gone []Daemon) {
	known := make(map[Daemon]bool)
	for _, list := range before {
		for _, d := range list {
			known[d] = true
		}
	}
	for _, list := range after {
		for _, d := range list {
			if !known[d] {
				came = append(came, d)
			}
			delete(known, d)
		}
	}
	for d := range known {
		gone = append(gone, d)
	}
	return came, gone
}

// plan is how many homes a group has whose members take so many connections.
func (t *HomeTable) plan(maxConns int) homePlan {
	f := &t.fleet
	enough := float64(connsPerDaemon*len(f.Daemons)) <= directConnShare*float64(maxConns)
	if t.isSmallFleet() && enough || len(t.zones) == 0 {
		return homePlan{direct: true}
	}
	zones, fit := len(t.zones), 0
	for _, list := range t.zones {
		fit += len(list)
	}
	perZone := min(maxHomesPerZone, max(1, int(homeConnShare*float64(maxConns))/connsPerHome/zones))
	total := min(zones*perZone, max(minHomes, groupsPerHome*fit/max(1, f.Groups)))
	return homePlan{total: total, perZone: min(perZone, (total+zones-1)/zones)}
}

// choose ranks all daemons for the group.
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
	g.best[zone] = topScored(id, t.zones[zone], g.plan.perZone)
}

// adjust takes that daemons have come and gone.
func (t *HomeTable) applyChanges(id core.GroupID, g *groupHomes, came, gone []Daemon) {
	for _, d := range gone {
		if slices.ContainsFunc(g.best[d.Zone], func(r scoredDaemon) bool { return r.id == d.ID }) {
			t.rankZone(id, g, d.Zone)
		}
	}
	for _, d := range came {
		t.scored++
		r, list := scoredDaemon{d.ID, rankScore(id, d)}, g.best[d.Zone]
		if i, known := slices.BinarySearchFunc(list, r, scoredDaemon.compare); !known {
			list = slices.Insert(list, i, r)
		}
		g.best[d.Zone] = list[:min(len(list), g.plan.perZone)]
	}
	g.selectHomes()
}

// pick takes the highest of the zones' best.
func (g *groupHomes) selectHomes() {
	var all []scoredDaemon
	for _, list := range g.best {
		all = append(all, list...)
	}
	slices.SortFunc(all, scoredDaemon.compare)
	homes := make([]core.DaemonID, 0, g.plan.total)
	for _, r := range all[:min(len(all), g.plan.total)] {
		homes = append(homes, r.id)
	}
	slices.Sort(homes)
	g.homes = homes
}

// highest are the n daemons with the highest ranks for the group, in descending order.
func topScored(group core.GroupID, daemons []Daemon, n int) []scoredDaemon {
	list := make([]scoredDaemon, 0, len(daemons))
	for _, d := range daemons {
		list = append(list, scoredDaemon{d.ID, rankScore(group, d)})
	}
	slices.SortFunc(list, scoredDaemon.compare)
	return list[:min(len(list), n)]
}
