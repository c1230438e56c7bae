package quota

import "time"

// Times of a Holder.
const (
	// LeaseFor is the lease of a daemon's slots: as long as callers can be served without
	// the store, whose keys have to be proved. A daemon that dies without another process in
	// its place keeps its teams from running for as long at most; one that starts again does
	// not, which is what nearly all do that die.
	LeaseFor = 4 * time.Second
	// RenewEvery is the pause between renewals. An outage of the store finds the lease as old
	// as that at most.
	RenewEvery = 500 * time.Millisecond
	// LeaseMargin of the lease is not used: what lies between the check and the member's
	// socket.
	LeaseMargin = 100 * time.Millisecond
	// RetryAfter is the pause after a call that failed, and the longest one without a look.
	RetryAfter = 250 * time.Millisecond
	// LookAgain is the pause before slots that others hold are looked at again: a daemon that
	// has died holds its slots for LeaseFor, and each look is paid for.
	LookAgain = 600 * time.Millisecond
	// GatherFor is how long a wish for a slot waits for others: callers of many teams come
	// in one moment when a daemon starts, and one call serves all.
	GatherFor = 5 * time.Millisecond
	// PaidFor is how long an operation that was paid for may wait before it is sent: as long
	// as nearly all wait for a member.
	PaidFor = 250 * time.Millisecond
	// MostPerCall is how many slots one call takes or gives back: each is a condition and a
	// change, of which a transaction of the store has 32 together.
	MostPerCall = 16
)

// Parts of what the rule allows beyond rate x window + burst.
const (
	// rateShare of the overage goes into the rate. The rest pays for operations that come
	// later than they were counted, up to PaidFor.
	rateShare = 0.5
	// startShare of the slack is what a daemon has that takes a slot: three that do so one
	// after the other in one window, and some of the rest.
	startShare = 0.25
)

// Parts of a team's burst.
const (
	// calmShare of the burst, and leastCalm operations at least, are what a holder uses that
	// has not told the store of more. Teams at 0.6 of their rates hardly ever use more.
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
