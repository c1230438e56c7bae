package takeover

import (
	"sync"
	"time"

	"limpetspan/core/takeover"
)

// Status is what a daemon tells of a take-over that it works.
type Status struct {
	Kind  string    `json:"kind"`
	Claim string    `json:"claim"`
	Since time.Time `json:"since"`
	takeover.Progress
	// TimeLeft is an estimate by the buckets done so far; zero: none yet.
	TimeLeft time.Duration `json:"time_left_ns"`
	// LastError is the latest failure of a step, which may have been repeated
	// with success since.
	LastError string    `json:"last_error,omitempty"`
	LastStep  string    `json:"last_error_step,omitempty"`
	LastAt    time.Time `json:"last_error_at,omitzero"`
}

// status is a Status under a lock.
type status struct {
	mu    sync.Mutex
	value Status
}

func (s *status) note(step string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value.LastStep, s.value.LastError, s.value.LastAt = step, err.Error(), time.Now()
}

func (s *status) progress(p takeover.Progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value.Progress = p
	if p.Done > 0 {
		s.value.TimeLeft = time.Since(s.value.Since) / time.Duration(p.Done) * time.Duration(p.Buckets-p.Done)
	}
}

func (s *status) get() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}
