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
	// open says that the whole burst may be used, else its calm part.
	open bool
	// busyAt is when more than the calm part of the burst was last in use.
	busyAt core.Time
}

// NewBucket returns the bucket of a daemon that begins to count now, with some tokens to
// begin with: a team that asks seldom would otherwise wait for its first one.
func NewBucket(now core.Time, l Limit, start float64, open bool) *Bucket {
	b := &Bucket{limit: l, at: now, open: open, busyAt: now}
	b.tokens = min(start, b.most())
	return b
}

// SetLimit changes the limit from now on.
func (b *Bucket) SetLimit(now core.Time, l Limit) {
	b.fill(now)
	b.limit = l
	b.tokens = min(b.tokens, b.most())
}

// Open allows the whole burst: the store has been told.
func (b *Bucket) Open(now core.Time) {
	b.fill(now)
	if !b.open {
		b.open, b.busyAt = true, now
		b.tokens += b.limit.Burst - b.limit.Calm()
	}
}

// Shut keeps to the calm part of the burst from now on.
func (b *Bucket) Shut(now core.Time) {
	b.fill(now)
	b.open = false
	b.tokens = min(b.tokens, b.most())
}

// CalmSince is since when no more than the calm part of the burst was in use.
func (b *Bucket) CalmSince(now core.Time) core.Time {
	b.fill(now)
	return b.busyAt
}

// most is how many tokens are kept.
func (b *Bucket) most() float64 {
	if b.open {
		return b.limit.Burst
	}
	return b.limit.Calm()
}

// Take pays for an operation; false: the team is at its limit.
func (b *Bucket) Take(now core.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	if b.open && b.tokens < b.limit.Burst-b.limit.Calm() {
		b.busyAt = now
	}
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
	return time.Duration((min(tokens, b.most()) - b.tokens) / b.limit.Rate * float64(time.Second)), true
}

// fill adds what has come since the bucket was last looked at.
func (b *Bucket) fill(now core.Time) {
	if now <= b.at {
		return
	}
	if missing := b.limit.Burst - b.limit.Calm() - b.tokens; missing > 0 && b.open {
		b.busyAt = now
		if b.limit.Rate > 0 {
			b.busyAt = min(now, b.at.Add(time.Duration(missing/b.limit.Rate*float64(time.Second))))
		}
	}
	b.tokens = min(b.most(), b.tokens+b.limit.Rate*now.Sub(b.at).Seconds())
	b.at = now
}
