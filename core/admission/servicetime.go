package admission

import "time"

const (
	// meanWeight is the weight of a new measurement in the mean work of a database's
	// statements, 1/8.
	meanWeight = 8
	// defaultServiceTime is assumed of a database that has not been asked yet. It only orders
	// the first statements of a daemon.
	defaultServiceTime = 15 * time.Millisecond
)

// Work is the mean time that a statement takes, by database.
type ServiceTimes map[string]time.Duration

// Of returns the mean of the database.
func (s ServiceTimes) Of(database string) time.Duration {
	if work, ok := s[database]; ok {
		return work
	}
	return defaultServiceTime
}

// Took takes a measurement.
func (s ServiceTimes) Observe(database string, took time.Duration) {
	work := s.Of(database)
	s[database] = work + (took-work)/meanWeight
}
