package quota

import "time"

// Times and bounds of a Holder.
const (
	// LeaseTTL is the TTL of the lease that binds a daemon's slots. When a daemon is lost for
	// good, its teams cannot run for at most this long; a restarted daemon does not wait.
	LeaseTTL = 4 * time.Second
	// RenewInterval is the interval between lease renewals.
	RenewInterval = 500 * time.Millisecond
	// LeaseMargin is the last part of the lease, which is not used. It covers the time between the
	// check and the write to the member's socket.
	LeaseMargin = 100 * time.Millisecond
	// RetryDelay is the delay after a failed call, and the longest pause between two steps.
	RetryDelay = 250 * time.Millisecond
	// RelistInterval is the interval between reads of slots that other daemons hold.
	RelistInterval = 600 * time.Millisecond
	// BatchDelay is how long a request for a slot waits for further requests, so that one call
	// takes all of their slots.
	BatchDelay = 5 * time.Millisecond
	// ReservationTTL bounds how long a counted operation may wait before it is sent.
	ReservationTTL = 250 * time.Millisecond
	// MaxSlotsPerCall bounds the slots of one call. Each slot needs a condition and a change, and
	// a transaction of the store holds at most 32 conditions and changes in total.
	MaxSlotsPerCall = 16
)

// Shares of the Tolerance.
const (
	// overageRateShare is the share of the overage that is added to the rate. The rest covers
	// operations that are sent up to ReservationTTL after they were counted.
	overageRateShare = 0.5
	// slackStartShare is the share of the slack that a daemon starts with when it takes a slot.
	// Each daemon that takes the slot within a window can add this share to the operations of the
	// window. Three daemons that take it one after another add three quarters of the slack.
	slackStartShare = 0.25
)

// The unreported part of a team's burst.
const (
	// unreportedBurstShare is the share of the burst, and minUnreportedBurst the least number of
	// operations, that a holder uses before the slot's key records that the burst is in use.
	unreportedBurstShare = 0.25
	minUnreportedBurst   = 4.0
)

// Tolerance is how many operations beyond rate x window + burst may run in a window.
type Tolerance struct {
	// Window is the length of the window.
	Window time.Duration
	// Overage is a share of rate x window + burst, Slack a number of operations on top.
	Overage, Slack float64
}

// Limit returns the bucket limit for a team's rate and burst.
func (t Tolerance) Limit(rate, burst float64) Limit {
	return Limit{Rate: rate * (1 + overageRateShare*t.Overage), Burst: burst}
}

// StartTokens returns the tokens of a new bucket when the team may have used its burst at
// another daemon.
func (t Tolerance) StartTokens() float64 { return slackStartShare * t.Slack }

// UnreportedBurst returns the part of the burst that a holder uses without recording it in the
// store.
func (l Limit) UnreportedBurst() float64 {
	return min(l.Burst, max(minUnreportedBurst, unreportedBurstShare*l.Burst))
}
