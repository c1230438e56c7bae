package direct

import (
	"time"

	"limpetspan/core"
)

// FleetShrinkDelay is for how long every count has to be lower before a fleet is taken
// to have become smaller. A list is short for as long as half of the daemons are cut from
// the store, or until all have registered anew after a loss of power: seconds, with the
// registration's life on top. Operators who take hosts away for good lose nothing by a
// fleet that goes on as a large one for half a minute.
const FleetShrinkDelay = 30 * time.Second

// FleetSize is how many daemons a fleet has, for what a small and a large one do
// differently. It grows with one count and shrinks slowly. Without that, a daemon that
// has read a short list takes the fleet for a small one, in which each daemon reaches all
// members: some hundred daemons then open connections that the homes need, the members
// refuse, and what is refused comes again, so that it does not end with its cause.
type FleetSize struct {
	size int
	// lower is the largest of the lower counts since lowerAt.
	maxLower   int
	lowerSince core.Time
}

// Counted takes a count and returns the size.
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
