package direct

import (
	"time"

	"limpetspan/core"
)

// FleetShrinkDelay is how long every count must be lower before the fleet counts as smaller. A list
// is short while half of the daemons are cut off from the store, or until all have registered again
// after a power failure: seconds, plus the registration's TTL. Operators who remove hosts permanently
// lose nothing if the fleet is treated as large for another half minute.
const FleetShrinkDelay = 30 * time.Second

// FleetSize is the number of daemons in the fleet, which decides between the behaviour of a small
// and of a large fleet. It grows with a single count and shrinks slowly. Otherwise a daemon that
// has read a short list would take the fleet for a small one, in which every daemon connects to all
// members. Some hundred daemons would then open connections that the homes need; the members refuse
// them and the attempts are repeated, so that the overload outlasts its cause.
type FleetSize struct {
	size int
	// maxLower is the largest of the lower counts since lowerSince.
	maxLower   int
	lowerSince core.Time
}

// Observe records a count and returns the size.
func (s *FleetSize) Observe(now core.Time, n int) int {
	switch {
	case n >= s.size:
		s.size, s.lowerSince = n, 0
	case s.lowerSince == 0:
		s.maxLower, s.lowerSince = n, now
	case now.Sub(s.lowerSince) >= FleetShrinkDelay:
		s.size, s.maxLower, s.lowerSince = max(n, s.maxLower), n, now
	default:
		s.maxLower = max(s.maxLower, n)
	}
	return s.size
}
