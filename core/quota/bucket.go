package quota

import (
	"time"

	"limpetspan/core"
)

// Limit bounds a team's operations.
type Limit struct {
	// Rate is in operations per second, Burst in operations.
	Rate, Burst float64
}

// Bucket is a token bucket for one team's operations at the daemon that runs them.
type Bucket struct {
	limit    Limit
	tokens   float64
	filledAt core.Time
	// fullBurst is set if the whole burst may be used; otherwise only its unreported part may.
	fullBurst bool
	// burstUsedAt is when more than the unreported part of the burst was last in use.
	burstUsedAt core.Time
}

// NewBucket returns a bucket that starts with some tokens, as the first operation of a team with
// little load would otherwise have to wait.
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

// AllowFullBurst allows the use of the whole burst, which the slot's key now records.
func (b *Bucket) AllowFullBurst(now core.Time) {
	b.refill(now)
	if !b.fullBurst {
		b.fullBurst, b.burstUsedAt = true, now
		b.tokens += b.limit.Burst - b.limit.UnreportedBurst()
	}
}

// RestrictBurst allows only the unreported part of the burst from now on.
func (b *Bucket) RestrictBurst(now core.Time) {
	b.refill(now)
	b.fullBurst = false
	b.tokens = min(b.tokens, b.capacity())
}

// BurstUnusedSince returns the time since which at most the unreported part of the burst has been
// in use.
func (b *Bucket) BurstUnusedSince(now core.Time) core.Time {
	b.refill(now)
	return b.burstUsedAt
}

// capacity returns the largest number of tokens that the bucket keeps.
func (b *Bucket) capacity() float64 {
	if b.fullBurst {
		return b.limit.Burst
	}
	return b.limit.UnreportedBurst()
}

// Take takes a token for an operation. It returns false if none is left.
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

// WaitTime returns the time until the bucket has the given number of tokens, at most its
// capacity. It returns false if the limit allows no operations.
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

// refill adds the tokens gained since the last refill. A clock that stands still or goes back
// adds none.
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
