package direct

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"limpetspan/core"
	"limpetspan/core/quota"
	"limpetspan/core/spread"
)

// Daemon is another limpetspan process, or this one, as the store lists it.
type Daemon struct {
	ID   core.DaemonID
	Zone core.Zone
	// Weight is the host's processor share.
	Weight float64
}

// Homes returns the daemons that reach the members of the group; all others
// pass their callers' sessions on to one of them. Daemons that know the same fleet
// choose alike; one that does not only uses a few connections more.
func Homes(group core.GroupID, maxConns int, fleet Fleet) []core.DaemonID {
	table := NewHomeTable()
	table.Update(fleet)
	return table.Homes(group, maxConns)
}

// configurationKey stands for the configuration where daemons are ranked for a group.
const configurationKey = core.GroupID("/configuration")

// watchersPerZone is how many daemons of a zone watch the configuration in a large
// fleet, so that one is left when the other goes.
const watchersPerZone = 2

// Watchers returns the daemons that watch the store's configuration; all others learn
// from them. In a small fleet it returns all.
func Watchers(size int, daemons []Daemon) []core.DaemonID {
	if size <= maxDirectDaemons {
		return sortedIDs(daemons)
	}
	return topPerZone(configurationKey, byZone(daemons), watchersPerZone)
}

// WatcherOrder returns the daemons that a daemon in the zone asks for the configuration,
// best first: watchers of its own zone, other watchers, and others, which have read the
// store themselves if all watchers are cut off from it.
func WatcherOrder(self core.DaemonID, zone core.Zone, watchers []core.DaemonID, daemons []Daemon) []core.DaemonID {
	return HomeOrder(configurationKey, self, zone, watchers, daemons)
}

// byZone are the daemons of each zone that are fit to be homes.
func byZone(daemons []Daemon) map[core.Zone][]Daemon {
	zones, roster := make(map[core.Zone][]Daemon), NewRoster(daemons)
	for _, d := range daemons {
		if roster.isEligible(d) {
			zones[d.Zone] = append(zones[d.Zone], d)
		}
	}
	return zones
}

// chosen are the daemons with the highest ranks for the group, some in each zone.
func topPerZone(group core.GroupID, zones map[core.Zone][]Daemon, perZone int) []core.DaemonID {
	var best []core.DaemonID
	for _, list := range zones {
		for _, r := range topScored(group, list, perZone) {
			best = append(best, r.id)
		}
	}
	slices.Sort(best)
	return best
}

func sortedIDs(daemons []Daemon) []core.DaemonID {
	list := make([]core.DaemonID, 0, len(daemons))
	for _, d := range daemons {
		list = append(list, d.ID)
	}
	slices.Sort(list)
	return list
}

// draw is the daemon's rank for the group in weighted rendezvous hashing: a
// change of the list moves only the groups of the daemons that came or went.
func rankScore(group core.GroupID, d Daemon) float64 {
	return -max(d.Weight, 0.01) / math.Log(spread.Unit(string(group), string(d.ID)))
}

// The ranks of daemons that an entry may ask.
const (
	sameZoneHome = iota
	otherZoneHome
	fallbackDaemon
)

// choice is a daemon with what decides its place in an entry's order.
type askedDaemon struct {
	id    core.DaemonID
	rank  int
	score float64
}

// Order returns the daemons that an entry in the zone asks to serve the group,
// best first: homes of its own zone, other homes, and for the case that none of
// them answers further daemons. Among homes each entry has an order of its own, which
// spreads the load. Further daemons come in the group's order for all entries: each one
// that serves takes connections from the homes, and when half of a fleet was cut from
// the other, 65 entries chose 40 different ones and had members refuse 50,000
// connections in 25 s.
func HomeOrder(group core.GroupID, self core.DaemonID, zone core.Zone, homes []core.DaemonID, daemons []Daemon) []core.DaemonID {
	entry := core.GroupID(string(group) + "/" + string(self))
	list := make([]askedDaemon, 0, len(daemons))
	for _, d := range daemons {
		switch home := slices.Contains(homes, d.ID); {
		case d.ID == self:
		case home && d.Zone == zone:
			list = append(list, askedDaemon{d.ID, sameZoneHome, rankScore(entry, d)})
		case home:
			list = append(list, askedDaemon{d.ID, otherZoneHome, rankScore(entry, d)})
		default:
			list = append(list, askedDaemon{d.ID, fallbackDaemon, rankScore(group, d)})
		}
	}
	return sortByRank(list)
}

// ordered are the daemons by rank, then by draw.
func sortByRank(list []askedDaemon) []core.DaemonID {
	slices.SortFunc(list, func(a, b askedDaemon) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.score, a.score))
	})
	order := make([]core.DaemonID, 0, len(list))
	for _, c := range list {
		order = append(order, c.id)
	}
	return order
}

// TeamOrder returns the daemons that an entry asks to serve statements of the slot's teams in
// the group, best first, this daemon's own among them: homes in the slot's order, which is
// the same for all entries and groups, then mostStepIn further daemons in the group's. Teams
// of one slot are counted at one daemon, so they have one order.
//
// A member's connection serves one team alone. Were each home to serve every team, each
// would need connections of its own for all of them, of which there are fewer than teams.
// Gathered at one home a team has few pools, and its statements are counted where they meet.
func TeamOrder(group core.GroupID, slot quota.Slot, homes []core.DaemonID, daemons []Daemon) []core.DaemonID {
	slotName := core.GroupID("/slot/" + strconv.FormatUint(uint64(slot), 10))
	list := make([]askedDaemon, 0, len(daemons))
	for _, d := range daemons {
		if slices.Contains(homes, d.ID) {
			list = append(list, askedDaemon{d.ID, sameZoneHome, rankScore(slotName, d)})
		} else {
			list = append(list, askedDaemon{d.ID, fallbackDaemon, rankScore(group, d)})
		}
	}
	order := sortByRank(list)
	return order[:min(len(order), len(homes)+maxFallback)]
}

// mostStepIn further daemons are asked for a team while no home answers. With each half of a
// fleet cut from the other, entries that asked all of them made 10,000 links a second, and
// none of these daemons could serve: what they count is counted at a home.
const maxFallback = 2
