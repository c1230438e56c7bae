package quota

import (
	"time"

	"limpetspan/core"
)

// Count is one team's operations at the holder of its slot.
type Count struct {
	bucket *Bucket
	limit  Limit
	// since is when the slot was taken; another holding begins with another bucket.
	since core.Time
}

// Take pays for an operation under the limit and the holding; false: the team is at its
// limit, or at the calm part of it: then wantOpen asks to tell the store of its burst.
func (c *Count) Take(now core.Time, h Holding, l Limit, r Rule) (ok, wantOpen bool) {
	c.adjust(now, h, l, r)
	ok = c.bucket.Take(now)
	return ok, !ok && !h.Open && l.Calm() < l.Burst
}

// adjust brings the bucket to the limit and the holding.
func (c *Count) adjust(now core.Time, h Holding, l Limit, r Rule) {
	switch {
	case c.bucket == nil || c.since != h.Since:
		c.bucket, c.limit, c.since = NewBucket(now, l, startOf(now, h, l, r), h.Open), l, h.Since
		return
	case c.limit != l:
		c.bucket.SetLimit(now, l)
		c.limit = l
	}
	if h.Open {
		c.bucket.Open(now)
	} else {
		c.bucket.Shut(now)
	}
}

// startOf is what a holder's bucket begins with. Where the slot's last holder had used
// the calm part of the burst at most, the rest is this one's; where this one has had the slot
// for a window without an operation of the team, nobody has used any.
func startOf(now core.Time, h Holding, l Limit, r Rule) float64 {
	switch {
	case now.Sub(h.Since) >= r.Window:
		return l.Burst
	case h.CalmBefore:
		return max(r.StartTokens(), l.Burst-l.Calm())
	}
	return r.StartTokens()
}

// Until is how long it takes until there are so many tokens; false: they never come.
func (c *Count) Until(now core.Time, tokens float64) (time.Duration, bool) {
	return c.bucket.Until(now, tokens)
}

// Calm says whether the team has used the calm part of its burst at most for a window.
func (c *Count) Calm(now core.Time, h Holding, r Rule) bool {
	return c.bucket == nil || c.since != h.Since || now.Sub(c.bucket.CalmSince(now)) >= r.Window+PaidFor
}
