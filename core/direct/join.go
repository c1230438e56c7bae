package direct

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/spread"
)

// Roster is what daemons remember of their fleet while its list may lack most of them.
type Roster struct {
	// Daemons is how many were listed, Fit how many of these are fit to be homes.
	Daemons  int `json:"daemons"`
	Eligible int `json:"fit"`
	// Strongest is the greatest weight of a host in each zone.
	MaxWeights map[core.Zone]float64 `json:"strongest,omitempty"`
}

// Next is the roster of the daemons that are listed now. A large fleet stays one: its weak
// hosts are not listed any more.
func (r Roster) Updated(listed []Daemon) Roster {
	next := NewRoster(listed)
	next.Daemons = max(next.Daemons, r.MinSize())
	return next
}

// LeastSize is how many daemons the fleet has at least, listed or not.
func (r Roster) MinSize() int { return min(r.Daemons, maxDirectDaemons+1) }

// NewRoster is the roster of the daemons, as far as they tell.
func NewRoster(daemons []Daemon) Roster {
	r := Roster{Daemons: len(daemons), MaxWeights: make(map[core.Zone]float64)}
	for _, d := range daemons {
		r.MaxWeights[d.Zone] = max(r.MaxWeights[d.Zone], d.Weight)
	}
	r.Eligible = r.countEligible(daemons)
	return r
}

// isFit says whether the daemon's host is not much weaker than others of its zone.
func (r Roster) isEligible(d Daemon) bool {
	return d.Weight >= eligibleWeightShare*r.MaxWeights[d.Zone]
}

func (r Roster) countEligible(daemons []Daemon) (n int) {
	for _, d := range daemons {
		if r.isEligible(d) {
			n++
		}
	}
	return n
}

// joinShare of the daemons that the roster has makes a list complete enough.
const completeListShare = 0.7

// Complete says whether the list has nearly all daemons that can be homes.
func (r Roster) IsComplete(listed []Daemon) bool {
	if IsSmallFleet(r.Daemons) {
		return float64(len(listed)) >= completeListShare*float64(r.Daemons)
	}
	return float64(r.countEligible(listed)) >= completeListShare*float64(r.Eligible)
}

// Joining is how a daemon that starts takes part in a fleet.
type JoinMode int

// The ways of taking part.
const (
	// JoinAsHome registers the daemon: others may choose it.
	JoinAsHome JoinMode = iota
	// JoinAsEntry leaves it out of the list: no choice would take it.
	JoinAsEntry
	// JoinUndecided says that the list lacks hosts that the fleet is known to have.
	JoinUndecided
)

// Join says how a daemon takes part in the fleet. Daemons on hosts that are much weaker
// than others of their zone are never chosen in a large fleet. Were they listed, each daemon
// would keep, compare and be told of all of them.
func ChooseJoinMode(self Daemon, listed []Daemon, r Roster) JoinMode {
	known := NewRoster(listed)
	for zone, weight := range r.MaxWeights {
		known.MaxWeights[zone] = max(known.MaxWeights[zone], weight)
	}
	if IsSmallFleet(max(r.Daemons, known.Daemons)) || known.isEligible(self) {
		return JoinAsHome
	}
	fit := 0
	for _, d := range listed {
		if d.Zone == self.Zone && d.ID != self.ID && known.isEligible(d) {
			fit++
		}
	}
	if fit < maxHomesPerZone {
		return JoinUndecided
	}
	return JoinAsEntry
}

// JoinDelay is how long a daemon waits before it looks at the list when a whole fleet starts
// for the first time: strong hosts come first, so that weak ones find them. scale is the
// wait of a host with a whole processor.
func JoinDelay(self Daemon, scale time.Duration) time.Duration {
	wait := time.Duration(float64(scale) / max(self.Weight, minJoinWeight))
	return wait + time.Duration(spread.Unit("/join", string(self.ID))*float64(wait)/2)
}

// leastJoinWeight bounds the wait of very weak hosts.
const minJoinWeight = 0.1

// IsSmallFleet says whether a fleet of that size is one in which all daemons may reach all
// members, report to each other and watch the store.
func IsSmallFleet(size int) bool { return size <= maxDirectDaemons }
