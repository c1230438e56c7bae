package direct

import (
	"time"

	"limpetspan/core"
)

// FleetShrinksAfter is for how long every count has to be lower before a fleet is taken
// to have become smaller. A list is short for as long as half of the daemons are cut from
// the store, or until all have registered anew after a loss of power: seconds, with the
// registration's life on top. Operators who take hosts away for good lose nothing by a
// fleet that goes on as a large one for half a minute.
const FleetShrinksAfter = 30 * time.Second

// FleetSize is how many daemons a fleet has, for what a small and a large one do
// differently. It grows with one count and shrinks slowly. Without that, a daemon that
// has read a short list takes the fleet for a small one, in which each daemon reaches all
// members: some hundred daemons then open connections that the homes need, the members
// refuse, and what is refused comes again, so that it does not end with its cause.
type FleetSize struct {
	size int
	// lower is the largest of the lower counts since lowerAt.
	lower   int
	lowerAt core.Time
}

// Counted takes a count and returns the size.
func (s *FleetSize) Counted(now core.Time, n int) int {
	switch {
	case n >= s.size:
		s.size, s.lowerAt = n, 0
	case s.lowerAt == 0:
		s.lower, s.lowerAt = n, now
	case now.Sub(s.lowerAt) >= FleetShrinksAfter:
		s.size, s.lower, s.lowerAt = max(n, s.lower), n, now
	default:
		s.lower = max(s.lower, n)
	}
	return s.size
}
