// Package profile holds the users' fleets with the latencies of the brief, as
// the benches run them.
package profile

import (
	"fmt"
	"time"

	"limpetspan/pkg/embedded"
)

// Names of the profiles.
const (
	Kitacycle = "kitacycle"
	Auction   = "auction"
)

// Profile is a user's fleet.
type Profile struct {
	Name  string
	Fleet embedded.Options
	// CallerLatency is the one-way latency between callers and daemons, which
	// a bench's callers wait before a request and after its answer. The
	// latency between daemons and members is in Fleet; it counts for members
	// in the daemon's own zone, too, and none is added between daemons.
	CallerLatency time.Duration
}

// Latencies to callers, as the brief gives them.
const (
	kitacycleCallerLatency = 3 * time.Millisecond
	auctionCallerLatency   = time.Millisecond
)

// Named returns the profile of the name.
func Named(name string) (Profile, error) {
	switch name {
	case Kitacycle:
		return Profile{Name: name, Fleet: embedded.Kitacycle(embedded.KitacycleLatency), CallerLatency: kitacycleCallerLatency}, nil
	case Auction:
		return Profile{Name: name, Fleet: embedded.AuctionRing(embedded.AuctionLatency), CallerLatency: auctionCallerLatency}, nil
	}
	return Profile{}, fmt.Errorf("unknown profile %q: %s or %s", name, Kitacycle, Auction)
}
