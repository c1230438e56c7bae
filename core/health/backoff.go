package health

import (
	"time"

	"limpetspan/core"
)

// Bounds of a backoff.
const (
	// MinBackoff is the backoff after a first failure. A killed process restarts within a second,
	// and a lost datagram or connection must not cost a home for longer than a statement can wait.
	MinBackoff = 100 * time.Millisecond
	// MaxBackoff bounds the backoff, which doubles with each failed trial.
	MaxBackoff = 2 * time.Second
	// LastTrialInterval is the least time between a failure and a trial before the backoff has
	// ended, which happens only while no other candidate is left.
	LastTrialInterval = 50 * time.Millisecond
	// TrialTimeout is the time after which a trial without an outcome no longer excludes others. Opening
	// a link takes no longer unless links to this peer usually take long.
	TrialTimeout = DialFloor
	// failureMemory is how long after the end of a backoff the next failure still doubles it.
	failureMemory = 4 * time.Second
)

// Phase is the phase of a backoff.
type Phase uint8

// The phases of a backoff.
const (
	// Closed: there is no backoff.
	Closed Phase = iota
	// Open: the backoff has not ended.
	Open
	// HalfOpen: the backoff has ended, and one session may try.
	HalfOpen
	// Trying: a session is trying.
	Trying
)

// backoff is the backoff after one or more failures.
type backoff struct {
	failedAt, until core.Time
	length          time.Duration
	// tryingUntil is the time until which a claimed trial excludes others, 0 if there is none.
	tryingUntil core.Time
	// tried is set once a trial was claimed after the last failure, also if that trial has ended.
	tried bool
}

func (b *backoff) phase(now core.Time) Phase {
	switch {
	case b == nil:
		return Closed
	case now < b.tryingUntil:
		return Trying
	case now < b.until:
		return Open
	}
	return HalfOpen
}

// backoffs are backoffs by key.
type backoffs[K comparable] map[K]*backoff

// fail records a failure. Sessions that fail at the same time count as one failure: only a failed
// trial, or a failure after the end of the backoff, makes the backoff longer.
func (m backoffs[K]) fail(now core.Time, key K) {
	b := m[key]
	switch {
	case b == nil || now.Sub(b.until) >= failureMemory:
		m[key] = &backoff{failedAt: now, until: now.Add(MinBackoff), length: MinBackoff}
		return
	case now >= b.until || b.tryingUntil != 0:
		b.length = min(2*b.length, MaxBackoff)
		b.until = now.Add(b.length)
	}
	b.failedAt, b.tryingUntil, b.tried = now, 0, false
}

// claim records that a session tries.
func (m backoffs[K]) claim(now core.Time, key K) {
	if b := m[key]; b != nil {
		b.tryingUntil, b.tried = now.Add(TrialTimeout), true
	}
}
