package direct

import (
	"math"
	"time"

	"limpetspan/core"
	"limpetspan/core/spread"
)

// Roster is a summary of the fleet. Daemons use it while the store's list lacks most of the fleet.
type Roster struct {
	// Daemons is the number of listed daemons, Eligible the number of those that are eligible as
	// homes.
	Daemons  int `json:"daemons"`
	Eligible int `json:"fit"`
	// MaxWeights holds the largest weight of a host in each zone.
	MaxWeights map[core.Zone]float64 `json:"strongest,omitempty"`
	// Uneven is set if hosts of the fleet, listed or not, are known to differ in their weight.
	Uneven bool `json:"uneven,omitempty"`
}

// Updated returns the roster of the listed daemons. A fleet that was large still counts as large,
// because its weak hosts are no longer listed, and for the same reason it still counts as uneven.
func (r Roster) Updated(listed []Daemon) Roster {
	next := NewRoster(listed)
	next.Daemons = max(next.Daemons, r.MinSize())
	next.Uneven = next.Uneven || r.Uneven && !IsSmallFleet(next.Daemons)
	return next
}

// WithEntry returns the roster of a fleet that the daemon has joined as an entry: its host is weaker
// than listed ones, and the list does not contain it.
func (r Roster) WithEntry(d Daemon) Roster {
	r.Uneven = r.Uneven || IsValidWeight(d.Weight)
	return r
}

// MinSize returns a lower bound of the number of daemons in the fleet, listed or not.
func (r Roster) MinSize() int { return min(r.Daemons, maxDirectDaemons+1) }

// NewRoster returns the roster of the daemons.
func NewRoster(daemons []Daemon) Roster {
	r := Roster{Daemons: len(daemons), MaxWeights: make(map[core.Zone]float64)}
	for _, d := range daemons {
		r.MaxWeights[d.Zone] = max(r.MaxWeights[d.Zone], d.Weight)
	}
	r.Eligible = r.countEligible(daemons)
	r.Uneven = differInWeight(daemons)
	return r
}

// IsValidWeight reports whether the weight of a host is finite and positive.
func IsValidWeight(w float64) bool { return w > 0 && !math.IsInf(w, 1) }

// differInWeight reports whether the daemons' hosts differ in their weight. Invalid weights, which are
// those of daemons that have not reported one, are ignored.
func differInWeight(daemons []Daemon) bool {
	first := 0.0
	for _, d := range daemons {
		switch {
		case !IsValidWeight(d.Weight):
		case first == 0:
			first = d.Weight
		case d.Weight != first:
			return true
		}
	}
	return false
}

// isEligible reports whether the daemon's host is not much weaker than others of its zone.
func (r Roster) isEligible(d Daemon) bool {
	return d.Weight >= eligibleWeightShare*r.MaxWeights[d.Zone]
}

// HasUnevenHosts reports whether the listed hosts differ in their weight, or the fleet's hosts by the
// roster. Most weak hosts of a large fleet are not listed. The roster's counts do not show it: its
// number of daemons may include equal hosts that have left.
func (r Roster) HasUnevenHosts(listed []Daemon) bool { return r.Uneven || differInWeight(listed) }

func (r Roster) countEligible(daemons []Daemon) (n int) {
	for _, d := range daemons {
		if r.isEligible(d) {
			n++
		}
	}
	return n
}

// completeListShare is the share of the roster's daemons that a list must contain to count as
// complete.
const completeListShare = 0.7

// IsComplete reports whether the list has nearly all daemons that can be homes.
func (r Roster) IsComplete(listed []Daemon) bool {
	if IsSmallFleet(r.Daemons) {
		return float64(len(listed)) >= completeListShare*float64(r.Daemons)
	}
	return float64(r.countEligible(listed)) >= completeListShare*float64(r.Eligible)
}

// JoinMode is how a daemon that starts joins the fleet.
type JoinMode int

// The ways of joining a fleet.
const (
	// JoinAsHome registers the daemon, so that others may choose it as a home.
	JoinAsHome JoinMode = iota
	// JoinAsEntry leaves the daemon out of the list, because it would never be chosen.
	JoinAsEntry
	// JoinUndecided: the list lacks hosts that the fleet is known to have.
	JoinUndecided
)

// ChooseJoinMode returns how a daemon joins the fleet. In a large fleet, daemons on hosts that are
// much weaker than others of their zone are never chosen. If they were listed, every daemon would
// have to store, compare and be notified of all of them.
func ChooseJoinMode(self Daemon, listed []Daemon, r Roster) JoinMode {
	known := NewRoster(listed)
	for zone, weight := range r.MaxWeights {
		known.MaxWeights[zone] = max(known.MaxWeights[zone], weight)
	}
	if IsSmallFleet(max(r.Daemons, known.Daemons)) || known.isEligible(self) {
		return JoinAsHome
	}
	eligible := 0
	for _, d := range listed {
		if d.Zone == self.Zone && d.ID != self.ID && known.isEligible(d) {
			eligible++
		}
	}
	if eligible < maxHomesPerZone {
		return JoinUndecided
	}
	return JoinAsEntry
}

// JoinDelay is how long a daemon waits before it reads the list when a whole fleet starts for the
// first time. Strong hosts register first, so that weak ones find them in the list. scale is the
// delay of a host of weight 1, before the random part.
func JoinDelay(self Daemon, scale time.Duration) time.Duration {
	wait := time.Duration(float64(scale) / max(self.Weight, minJoinWeight))
	return wait + time.Duration(spread.Unit("/join", string(self.ID))*float64(wait)/2)
}

// minJoinWeight bounds the delay of very weak hosts.
const minJoinWeight = 0.1

// IsSmallFleet reports whether a fleet of that size is one in which all daemons may connect to all
// members, report to each other and watch the store.
func IsSmallFleet(size int) bool { return size <= maxDirectDaemons }
