package direct

import (
	"time"

	"limpetspan/core/spread"
)

// Joining is how a daemon that starts takes part in a fleet.
type Joining int

// The ways of taking part.
const (
	// JoinAsHome registers the daemon: others may choose it.
	JoinAsHome Joining = iota
	// JoinAsEntry leaves it out of the list: no choice would take it.
	JoinAsEntry
	// JoinUndecided says that the list lacks daemons that the fleet is known to have.
	JoinUndecided
)

// Join says how a daemon takes part in a fleet of that size, as the list names it. Daemons
// on hosts that are much weaker than others of their zone are never chosen in a large
// fleet. Were they listed, each daemon would keep, compare and be told of all of them.
func Join(self Daemon, listed []Daemon, size int) Joining {
	if size <= mostDirect {
		return JoinAsHome
	}
	var neighbours []Daemon
	for _, d := range listed {
		if d.Zone == self.Zone && d.ID != self.ID {
			neighbours = append(neighbours, d)
		}
	}
	fit := strong(append([]Daemon{self}, neighbours...))
	switch {
	case len(fit) > 0 && fit[0].ID != self.ID && len(fit) >= mostHomesPerZone:
		return JoinAsEntry
	case len(neighbours) < mostHomesPerZone:
		return JoinUndecided
	}
	return JoinAsHome
}

// JoinDelay is how long a daemon waits before it looks at the list while the list may be
// empty: strong hosts come first, so that weak ones find them. scale is the wait of a host
// with a whole processor.
func JoinDelay(self Daemon, scale time.Duration) time.Duration {
	wait := time.Duration(float64(scale) / max(self.Weight, leastJoinWeight))
	return wait + time.Duration(spread.Unit("/join", string(self.ID))*float64(wait)/2)
}

// leastJoinWeight bounds the wait of very weak hosts.
const leastJoinWeight = 0.1

// SmallFleet says whether a fleet of that size is one in which all daemons may reach all
// members, report to each other and watch the store.
func SmallFleet(size int) bool { return size <= mostDirect }
