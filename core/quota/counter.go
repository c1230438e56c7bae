package quota

import (
	"time"

	"limpetspan/core"
)

// Counter is one team's operations at the holder of its slot.
type Counter struct {
	bucket *Bucket
	limit  Limit
	// since is when the slot was taken; another holding begins with another bucket.
	since core.Time
}

// Take pays for an operation under the limit and the holding; false: the team is at its
// limit, or at the calm part of it: then needsBurst asks to tell the store of its burst.
func (c *Counter) Take(now core.Time, h Holding, l Limit, r Tolerance) (ok, needsBurst bool) {
	c.adjust(now, h, l, r)
	ok = c.bucket.Take(now)
	return ok, !ok && !h.FullBurst && l.UnreportedBurst() < l.Burst
}

// adjust brings the bucket to the limit and the holding.
func (c *Counter) adjust(now core.Time, h Holding, l Limit, r Tolerance) {
	switch {
	case c.bucket == nil || c.since != h.Since:
		c.bucket, c.limit, c.since = NewBucket(now, l, startTokens(now, h, l, r), h.FullBurst), l, h.Since
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

// startTokens is what a holder's bucket begins with. Where the slot's last holder had used
// the calm part of the burst at most, the rest is this one's; where this one has had the slot
// for a window without an operation of the team, nobody has used any.
func startTokens(now core.Time, h Holding, l Limit, r Tolerance) float64 {
	switch {
	case now.Sub(h.Since) >= r.Window:
		return l.Burst
	case h.PreviousBurstUnused:
		return max(r.StartTokens(), l.Burst-l.UnreportedBurst())
	}
	return r.StartTokens()
}

// Until is how long it takes until there are so many tokens; false: they never come.
func (c *Counter) WaitTime(now core.Time, tokens float64) (time.Duration, bool) {
	return c.bucket.WaitTime(now, tokens)
}

// Calm says whether the team has used the calm part of its burst at most for a window.
func (c *Counter) BurstUnused(now core.Time, h Holding, r Tolerance) bool {
	return c.bucket == nil || c.since != h.Since || now.Sub(c.bucket.BurstUnusedSince(now)) >= r.Window+ReservationTTL
}
