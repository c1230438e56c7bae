package quota

import "time"

// Times of a Holder.
const (
	// LeaseTTL is the lease of a daemon's slots. A daemon that is lost for good keeps its teams
	// from running for as long at most; one that starts again does not.
	LeaseTTL = 4 * time.Second
	// RenewInterval is the pause between renewals.
	RenewInterval = 500 * time.Millisecond
	// LeaseMargin is the unused end of the lease, for the time between the check and the
	// member's socket.
	LeaseMargin = 100 * time.Millisecond
	// RetryDelay is the pause after a failed call, and the longest one without a step.
	RetryDelay = 250 * time.Millisecond
	// RelistInterval is the pause between reads of slots that others hold.
	RelistInterval = 600 * time.Millisecond
	// BatchDelay is how long a wish for a slot waits for others, so that one call takes them all.
	BatchDelay = 5 * time.Millisecond
	// ReservationTTL bounds how long a counted operation may wait before it is sent.
	ReservationTTL = 250 * time.Millisecond
	// MaxSlotsPerCall bounds the slots of one call: each is a condition and a change, of which a
	// transaction of the store takes 32 together.
	MaxSlotsPerCall = 16
)

// Parts of what the rule allows beyond rate x window + burst.
const (
	// overageRateShare of the overage goes into the rate. The rest covers operations that are sent up
	// to ReservationTTL after they were counted.
	overageRateShare = 0.5
	// slackStartShare of the slack is what a daemon begins with that takes a slot. Three may do so
	// one after the other in one window.
	slackStartShare = 0.25
)

// Parts of a team's burst.
const (
	// unreportedBurstShare of the burst, and minUnreportedBurst operations at least, are what a holder uses before
	// it has told the store.
	unreportedBurstShare = 0.25
	minUnreportedBurst   = 4.0
)

// Tolerance is how much more than rate x window + burst may run in a window.
type Tolerance struct {
	// Window is the span.
	Window time.Duration
	// Overage is a share of that, Slack a number of operations on top.
	Overage, Slack float64
}

// Limit is the bucket's limit for a team's.
func (r Tolerance) Limit(rate, burst float64) Limit {
	return Limit{Rate: rate * (1 + overageRateShare*r.Overage), Burst: burst}
}

// StartTokens is what a bucket begins with whose team may have used its burst elsewhere.
func (r Tolerance) StartTokens() float64 { return slackStartShare * r.Slack }

// Calm is the part of a limit's burst that a holder uses without telling the store.
func (l Limit) UnreportedBurst() float64 {
	return min(l.Burst, max(minUnreportedBurst, unreportedBurstShare*l.Burst))
}
