package quota

import (
	"time"

	"limpetspan/core"
)

// Limit is how much a team may ask.
type Limit struct {
	// Rate is in operations a second, Burst in operations.
	Rate, Burst float64
}

// Bucket counts one team's operations where they run.
type Bucket struct {
	limit  Limit
	tokens float64
	at     core.Time
}

// NewBucket returns the bucket of a daemon that begins to count now, with some tokens to
// begin with: a team that asks seldom would otherwise wait for its first one.
func NewBucket(now core.Time, l Limit, start float64) *Bucket {
	return &Bucket{limit: l, tokens: min(start, l.Burst), at: now}
}

// SetLimit changes the limit from now on.
func (b *Bucket) SetLimit(now core.Time, l Limit) {
	b.fill(now)
	b.limit = l
	b.tokens = min(b.tokens, l.Burst)
}

// Take pays for an operation; false: the team is at its limit.
func (b *Bucket) Take(now core.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Until is how long it takes until there are so many tokens; false: they never come.
func (b *Bucket) Until(now core.Time, tokens float64) (time.Duration, bool) {
	b.fill(now)
	switch {
	case b.tokens >= tokens:
		return 0, true
	case b.limit.Rate <= 0 || b.limit.Burst < 1:
		return 0, false
	}
	return time.Duration((min(tokens, b.limit.Burst) - b.tokens) / b.limit.Rate * float64(time.Second)), true
}

// fill adds what has come since the bucket was last looked at.
func (b *Bucket) fill(now core.Time) {
	if now <= b.at {
		return
	}
	b.tokens = min(b.limit.Burst, b.tokens+b.limit.Rate*now.Sub(b.at).Seconds())
	b.at = now
}
