package direct

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/spread"
)

// Roster is what daemons remember of their fleet while its list may lack most of them.
type Roster struct {
	// Daemons is how many were listed, Fit how many of these are fit to be homes.
	Daemons int `json:"daemons"`
	Fit     int `json:"fit"`
	// Strongest is the greatest weight of a host in each zone.
	Strongest map[core.Zone]float64 `json:"strongest,omitempty"`
}

// Next is the roster of the daemons that are listed now. A large fleet stays one: its weak
// hosts are not listed any more.
func (r Roster) Next(listed []Daemon) Roster {
	next := RosterOf(listed)
	next.Daemons = max(next.Daemons, r.LeastSize())
	return next
}

// LeastSize is how many daemons the fleet has at least, listed or not.
func (r Roster) LeastSize() int { return min(r.Daemons, mostDirect+1) }

// RosterOf is the roster of the daemons, as far as they tell.
func RosterOf(daemons []Daemon) Roster {
	r := Roster{Daemons: len(daemons), Strongest: make(map[core.Zone]float64)}
	for _, d := range daemons {
		r.Strongest[d.Zone] = max(r.Strongest[d.Zone], d.Weight)
	}
	r.Fit = r.fitOf(daemons)
	return r
}

// isFit says whether the daemon's host is not much weaker than others of its zone.
func (r Roster) isFit(d Daemon) bool { return d.Weight >= strongShare*r.Strongest[d.Zone] }

func (r Roster) fitOf(daemons []Daemon) (n int) {
	for _, d := range daemons {
		if r.isFit(d) {
			n++
		}
	}
	return n
}

// joinShare of the daemons that the roster has makes a list complete enough.
const joinShare = 0.7

// Complete says whether the list has nearly all daemons that can be homes.
func (r Roster) Complete(listed []Daemon) bool {
	if SmallFleet(r.Daemons) {
		return float64(len(listed)) >= joinShare*float64(r.Daemons)
	}
	return float64(r.fitOf(listed)) >= joinShare*float64(r.Fit)
}

// Joining is how a daemon that starts takes part in a fleet.
type Joining int

// The ways of taking part.
const (
	// JoinAsHome registers the daemon: others may choose it.
	JoinAsHome Joining = iota
	// JoinAsEntry leaves it out of the list: no choice would take it.
	JoinAsEntry
	// JoinUndecided says that the list lacks hosts that the fleet is known to have.
	JoinUndecided
)

// Join says how a daemon takes part in the fleet. Daemons on hosts that are much weaker
// than others of their zone are never chosen in a large fleet. Were they listed, each daemon
// would keep, compare and be told of all of them.
func Join(self Daemon, listed []Daemon, r Roster) Joining {
	known := RosterOf(listed)
	for zone, weight := range r.Strongest {
		known.Strongest[zone] = max(known.Strongest[zone], weight)
	}
	if SmallFleet(max(r.Daemons, known.Daemons)) || known.isFit(self) {
		return JoinAsHome
	}
	fit := 0
	for _, d := range listed {
		if d.Zone == self.Zone && d.ID != self.ID && known.isFit(d) {
			fit++
		}
	}
	if fit < mostHomesPerZone {
		return JoinUndecided
	}
	return JoinAsEntry
}

// JoinDelay is how long a daemon waits before it looks at the list when a whole fleet starts
// for the first time: strong hosts come first, so that weak ones find them. scale is the
// wait of a host with a whole processor.
func JoinDelay(self Daemon, scale time.Duration) time.Duration {
	wait := time.Duration(float64(scale) / max(self.Weight, leastJoinWeight))
	return wait + time.Duration(spread.Unit("/join", string(self.ID))*float64(wait)/2)
}

// leastJoinWeight bounds the wait of very weak hosts.
const leastJoinWeight = 0.1

// SmallFleet says whether a fleet of that size is one in which all daemons may reach all
// members, report to each other and watch the store.
func SmallFleet(size int) bool { return size <= mostDirect }
