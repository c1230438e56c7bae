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

// Daemon is a limpetspan process, this one or another, as the store lists it.
type Daemon struct {
	ID   core.DaemonID
	Zone core.Zone
	// Weight is the computing power of the host, in processors.
	Weight float64
	// Burden reduces the weight in the choice of homes. It does not affect which hosts are eligible, nor
	// the homes of teams, because a team is not served while its slot moves.
	Burden Burden
}

// Homes returns the daemons that connect to the members of the group; all others forward their
// callers' sessions to one of these. Daemons that know the same fleet choose the same homes. If a
// daemon's view of the fleet differs, this only costs a few more connections.
func Homes(group core.GroupID, maxConns int, fleet Fleet) []core.DaemonID {
	table := NewHomeTable()
	table.Update(fleet)
	return table.Homes(group, maxConns)
}

// configurationKey is used in place of a group's id when the daemons that watch the configuration
// are chosen.
const configurationKey = core.GroupID("/configuration")

// watchersPerZone is how many daemons of a zone watch the configuration in a large fleet; the
// second one is a spare.
const watchersPerZone = 2

// Watchers returns the daemons that watch the store's configuration; all others learn it from them.
// In a small fleet it returns all daemons.
func Watchers(size int, daemons []Daemon) []core.DaemonID {
	if size <= maxDirectDaemons {
		return sortedIDs(daemons)
	}
	return topPerZone(configurationKey, byZone(daemons), watchersPerZone)
}

// WatcherOrder returns the daemons that a daemon in the zone asks for the configuration, best
// first: watchers of its own zone, other watchers, then all others, which read the store themselves
// if all watchers are cut off from it.
func WatcherOrder(self core.DaemonID, zone core.Zone, watchers []core.DaemonID, daemons []Daemon) []core.DaemonID {
	return HomeOrder(configurationKey, self, zone, watchers, withoutBurden(daemons))
}

// byZone returns the daemons of each zone that are eligible as homes.
func byZone(daemons []Daemon) map[core.Zone][]Daemon {
	zones, roster := make(map[core.Zone][]Daemon), NewRoster(daemons)
	for _, d := range daemons {
		if roster.isEligible(d) {
			zones[d.Zone] = append(zones[d.Zone], d)
		}
	}
	return zones
}

// topPerZone returns the daemons with the highest scores for the group, up to perZone in each zone.
func topPerZone(group core.GroupID, zones map[core.Zone][]Daemon, perZone int) []core.DaemonID {
	var best []core.DaemonID
	for _, list := range zones {
		for _, r := range topScored(group, withoutBurden(list), perZone) {
			best = append(best, r.id)
		}
	}
	slices.Sort(best)
	return best
}

// withoutBurden returns the daemons as if none were overloaded. Watching the store is little work, and
// each change of the watchers costs reads of it.
func withoutBurden(daemons []Daemon) []Daemon {
	list := slices.Clone(daemons)
	for i := range list {
		list[i].Burden = 0
	}
	return list
}

func sortedIDs(daemons []Daemon) []core.DaemonID {
	list := make([]core.DaemonID, 0, len(daemons))
	for _, d := range daemons {
		list = append(list, d.ID)
	}
	slices.Sort(list)
	return list
}

// rankScore returns the daemon's score for the group in weighted rendezvous hashing: a change of the
// list moves only the groups of the daemons that were added or removed.
func rankScore(group core.GroupID, d Daemon) float64 {
	return -max(d.Weight, 0.01) / math.Log(spread.Unit(string(group), string(d.ID)))
}

// The ranks of the daemons that an entry may ask.
const (
	sameZoneHome = iota
	otherZoneHome
	fallbackDaemon
)

// askedDaemon is a daemon with the rank and score that decide its place in an entry's order.
type askedDaemon struct {
	id    core.DaemonID
	rank  int
	score float64
}

// HomeOrder returns the daemons that an entry in the zone asks to serve the group, best first:
// homes of its own zone, other homes, and then fallback daemons for the case that no home answers.
// Each entry has its own order of homes, which spreads the load. The order of fallback daemons is
// the same for all entries of a group, because each one that serves takes connections from the
// homes: when half of a fleet was cut off from the other, 65 entries chose 40 different ones and
// caused members to refuse 50,000 connections in 25 s.
func HomeOrder(group core.GroupID, self core.DaemonID, zone core.Zone, homes []core.DaemonID, daemons []Daemon) []core.DaemonID {
	entry := core.GroupID(string(group) + "/" + string(self))
	list := make([]askedDaemon, 0, len(daemons))
	for _, d := range daemons {
		switch home := slices.Contains(homes, d.ID); {
		case d.ID == self:
		case home && d.Zone == zone:
			list = append(list, askedDaemon{d.ID, sameZoneHome, homeScore(entry, d)})
		case home:
			list = append(list, askedDaemon{d.ID, otherZoneHome, homeScore(entry, d)})
		default:
			list = append(list, askedDaemon{d.ID, fallbackDaemon, rankScore(group, d)})
		}
	}
	return sortByRank(list)
}

// sortByRank returns the daemons by rank, then by score.
func sortByRank(list []askedDaemon) []core.DaemonID {
	slices.SortFunc(list, func(a, b askedDaemon) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.score, a.score))
	})
	order := make([]core.DaemonID, 0, len(list))
	for _, asked := range list {
		order = append(order, asked.id)
	}
	return order
}

// TeamOrder returns the daemons that an entry asks to serve statements of the slot's teams in the
// group, best first and the entry itself included: homes in the slot's order, which is the same for
// all entries and groups, then maxFallback fallback daemons in the group's order. The operations of
// all teams of a slot are counted at one daemon, so these teams share an order.
//
// A member's connection serves only one team. If every home served every team, each would need
// connections for all of them, and there are fewer connections than teams. If one home serves a
// team, the team has few pools, and its operations are counted where they run.
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

// maxFallback is how many fallback daemons are asked for a team while no home answers. When each
// half of a fleet was cut off from the other, entries that asked all daemons opened 10,000 links
// per second, and none of these daemons could serve: the teams' operations are counted at a home.
const maxFallback = 2
