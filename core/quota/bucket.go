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
	limit    Limit
	tokens   float64
	filledAt core.Time
	// open says that the whole burst may be used, else its calm part.
	fullBurst bool
	// burstUsedAt is when more than the calm part of the burst was last in use.
	burstUsedAt core.Time
}

// NewBucket returns the bucket of a daemon that begins to count now, with some tokens to
// begin with: a team that asks seldom would otherwise wait for its first one.
func NewBucket(now core.Time, l Limit, start float64, fullBurst bool) *Bucket {
	b := &Bucket{limit: l, filledAt: now, fullBurst: fullBurst, burstUsedAt: now}
	b.tokens = min(start, b.capacity())
	return b
}

// SetLimit changes the limit from now on.
func (b *Bucket) SetLimit(now core.Time, l Limit) {
	b.refill(now)
	b.limit = l
	b.tokens = min(b.tokens, b.capacity())
}

// Open allows the whole burst: the store has been told.
func (b *Bucket) AllowFullBurst(now core.Time) {
	b.refill(now)
	if !b.fullBurst {
		b.fullBurst, b.burstUsedAt = true, now
		b.tokens += b.limit.Burst - b.limit.UnreportedBurst()
	}
}

// Shut keeps to the calm part of the burst from now on.
func (b *Bucket) RestrictBurst(now core.Time) {
	b.refill(now)
	b.fullBurst = false
	b.tokens = min(b.tokens, b.capacity())
}

// BurstUnusedSince is since when no more than the calm part of the burst was in use.
func (b *Bucket) BurstUnusedSince(now core.Time) core.Time {
	b.refill(now)
	return b.burstUsedAt
}

// most is how many tokens are kept.
func (b *Bucket) capacity() float64 {
	if b.fullBurst {
		return b.limit.Burst
	}
	return b.limit.UnreportedBurst()
}

// Take pays for an operation; false: the team is at its limit.
func (b *Bucket) Take(now core.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	if b.fullBurst && b.tokens < b.limit.Burst-b.limit.UnreportedBurst() {
		b.burstUsedAt = now
	}
	return true
}

// Until is how long it takes until there are so many tokens; false: they never come.
func (b *Bucket) WaitTime(now core.Time, tokens float64) (time.Duration, bool) {
	b.refill(now)
	switch {
	case b.tokens >= tokens:
		return 0, true
	case b.limit.Rate <= 0 || b.limit.Burst < 1:
		return 0, false
	}
	return time.Duration((min(tokens, b.capacity()) - b.tokens) / b.limit.Rate * float64(time.Second)), true
}

// fill adds what has come since the bucket was last looked at.
func (b *Bucket) refill(now core.Time) {
	if now <= b.filledAt {
		return
	}
	if missing := b.limit.Burst - b.limit.UnreportedBurst() - b.tokens; missing > 0 && b.fullBurst {
		b.burstUsedAt = now
		if b.limit.Rate > 0 {
			b.burstUsedAt = min(now, b.filledAt.Add(time.Duration(missing/b.limit.Rate*float64(time.Second))))
		}
	}
	b.tokens = min(b.capacity(), b.tokens+b.limit.Rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
}
