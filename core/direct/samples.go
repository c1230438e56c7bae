package direct

import (
	"time"

	"limpetspan/core"
)

// sample is a position of the primary that covers every commit acknowledged before at.
type sample struct {
	at       core.Time
	position core.Position
}

// samples holds the primary's positions in one term, oldest first.
type samples struct {
	list []sample
}

func (s *samples) clear() { s.list = s.list[:0] }

// add adds a sample. One that follows the last kept sample too closely only replaces the newest.
func (s *samples) add(at core.Time, p core.Position) {
	n := len(s.list)
	if n > 0 && at < s.list[n-1].at {
		return
	}
	if n > 1 && at.Sub(s.list[n-2].at) < SampleInterval {
		s.list[n-1] = sample{at, p}
		return
	}
	if n == MaxSamples {
		copy(s.list, s.list[1:])
		s.list = s.list[:n-1]
	}
	s.list = append(s.list, sample{at, p})
}

// since returns the oldest sample that is not older than at, which requires the least of a replica.
func (s *samples) since(at core.Time) (sample, bool) {
	for _, x := range s.list {
		if x.at >= at {
			return x, true
		}
	}
	return sample{}, false
}

// lag returns how long ago the primary had advanced beyond the position.
func (s *samples) lag(now core.Time, p core.Position) time.Duration {
	for _, x := range s.list {
		if p.Less(x.position) {
			return now.Sub(x.at)
		}
	}
	return 0
}

func (s *samples) newest() (sample, bool) {
	if len(s.list) == 0 {
		return sample{}, false
	}
	return s.list[len(s.list)-1], true
}
