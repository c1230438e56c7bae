package admission

import "time"

const (
	// meanWeight is the inverse of the weight of a new measurement in the mean service time, 1/8.
	meanWeight = 8
	// defaultServiceTime is assumed for a database without measurements. It only affects the order
	// of a daemon's first statements.
	defaultServiceTime = 15 * time.Millisecond
)

// ServiceTimes is the mean service time of statements, by database.
type ServiceTimes map[string]time.Duration

// Of returns the mean of the database.
func (s ServiceTimes) Of(database string) time.Duration {
	if mean, ok := s[database]; ok {
		return mean
	}
	return defaultServiceTime
}

// Observe adds a measurement to the mean of the database.
func (s ServiceTimes) Observe(database string, took time.Duration) {
	mean := s.Of(database)
	s[database] = mean + (took-mean)/meanWeight
}
