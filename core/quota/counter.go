package quota

import (
	"time"

	"limpetspan/core"
)

// Counter counts one team's operations at the holder of its slot.
type Counter struct {
	bucket *Bucket
	limit  Limit
	// since is when the slot was taken. A new holding starts with a new bucket.
	since core.Time
}

// Take counts an operation under the limit and the holding. ok is false if no token is left.
// needsBurst is set if that is so because only the unreported part of the burst may be used: the
// store has to record the use of the burst first.
func (c *Counter) Take(now core.Time, h Holding, l Limit, t Tolerance) (ok, needsBurst bool) {
	c.adjust(now, h, l, t)
	ok = c.bucket.Take(now)
	return ok, !ok && !h.FullBurst && l.UnreportedBurst() < l.Burst
}

// adjust applies the limit and the holding to the bucket.
func (c *Counter) adjust(now core.Time, h Holding, l Limit, t Tolerance) {
	switch {
	case c.bucket == nil || c.since != h.Since:
		c.bucket, c.limit, c.since = NewBucket(now, l, startTokens(now, h, l, t), h.FullBurst), l, h.Since
		return
	case c.limit != l:
		c.bucket.SetLimit(now, l)
		c.limit = l
	}
	if h.FullBurst {
		c.bucket.AllowFullBurst(now)
	} else {
		c.bucket.RestrictBurst(now)
	}
}

// startTokens returns the tokens of a new holder's bucket. If the previous holder used at most
// the unreported part of the burst, the rest is available. If this daemon has held the slot for a
// window without an operation of the team, no part of the burst has been used.
func startTokens(now core.Time, h Holding, l Limit, t Tolerance) float64 {
	switch {
	case now.Sub(h.Since) >= t.Window:
		return l.Burst
	case h.PreviousBurstUnused:
		return max(t.StartTokens(), l.Burst-l.UnreportedBurst())
	}
	return t.StartTokens()
}

// WaitTime returns the time until the bucket has the given number of tokens, at most its
// capacity. It returns false if the limit allows no operations.
func (c *Counter) WaitTime(now core.Time, tokens float64) (time.Duration, bool) {
	return c.bucket.WaitTime(now, tokens)
}

// BurstUnused reports whether the team has used at most the unreported part of its burst for a
// window.
func (c *Counter) BurstUnused(now core.Time, h Holding, t Tolerance) bool {
	return c.bucket == nil || c.since != h.Since || now.Sub(c.bucket.BurstUnusedSince(now)) >= t.Window+ReservationTTL
}
