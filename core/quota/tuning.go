package quota

import "time"

// Times of a Holder.
const (
	// LeaseFor is the lease of a daemon's slots. A daemon that is lost for good keeps its teams
	// from running for as long at most; one that starts again does not.
	LeaseFor = 4 * time.Second
	// RenewEvery is the pause between renewals.
	RenewEvery = 500 * time.Millisecond
	// LeaseMargin is the unused end of the lease, for the time between the check and the
	// member's socket.
	LeaseMargin = 100 * time.Millisecond
	// RetryAfter is the pause after a failed call, and the longest one without a step.
	RetryAfter = 250 * time.Millisecond
	// LookAgain is the pause between reads of slots that others hold.
	LookAgain = 600 * time.Millisecond
	// GatherFor is how long a wish for a slot waits for others, so that one call takes them all.
	GatherFor = 5 * time.Millisecond
	// PaidFor bounds how long a counted operation may wait before it is sent.
	PaidFor = 250 * time.Millisecond
	// MostPerCall bounds the slots of one call: each is a condition and a change, of which a
	// transaction of the store takes 32 together.
	MostPerCall = 16
)

// Parts of what the rule allows beyond rate x window + burst.
const (
	// rateShare of the overage goes into the rate. The rest covers operations that are sent up
	// to PaidFor after they were counted.
	rateShare = 0.5
	// startShare of the slack is what a daemon begins with that takes a slot. Three may do so
	// one after the other in one window.
	startShare = 0.25
)

// Parts of a team's burst.
const (
	// calmShare of the burst, and leastCalm operations at least, are what a holder uses before
	// it has told the store.
	calmShare = 0.25
	leastCalm = 4.0
)

// Rule is how much more than rate x window + burst may run in a window.
type Rule struct {
	// Window is the span.
	Window time.Duration
	// Overage is a share of that, Slack a number of operations on top.
	Overage, Slack float64
}

// Limit is the bucket's limit for a team's.
func (r Rule) Limit(rate, burst float64) Limit {
	return Limit{Rate: rate * (1 + rateShare*r.Overage), Burst: burst}
}

// StartTokens is what a bucket begins with whose team may have used its burst elsewhere.
func (r Rule) StartTokens() float64 { return startShare * r.Slack }

// Calm is the part of a limit's burst that a holder uses without telling the store.
func (l Limit) Calm() float64 { return min(l.Burst, max(leastCalm, calmShare*l.Burst)) }
