package group

import "time"

// Guard is a bit set of the checks that protect a guarantee. Only the explorer
// disables guards, to verify that it detects a violated guarantee.
type Guard uint32

// The guards that the explorer can disable.
const (
	// GuardLeaseAtArrival: requests run only while the term lease holds.
	GuardLeaseAtArrival Guard = 1 << iota
	// GuardLeaseAtAck: writes are acknowledged only while the term lease holds.
	GuardLeaseAtAck
	// GuardSessionFloor: a replica serves a read only after it has reached the
	// session's position.
	GuardSessionFloor
	// GuardClaimWait: a new home waits until the lease of the old one has expired.
	GuardClaimWait
	// GuardDurableConfirm: durable writes wait until a majority has reached their
	// position.
	GuardDurableConfirm
	// GuardTermStart: a session is notified if a promotion lost data that it has
	// seen.
	GuardTermStart
	// GuardPinned: requests in a transaction run only on the caller's pinned
	// connection.
	GuardPinned
	// GuardBudget: the open connections stay within the group's budget.
	GuardBudget
	// GuardMajority: a claim needs a majority of fenced members.
	GuardMajority
	// GuardFurthest: a claim promotes the member with the furthest position.
	GuardFurthest
	// GuardRetryProof: only reads and requests that are proved not to have run are
	// retried.
	GuardRetryProof
)

// Tuning holds the reducer's parameters. A zero field takes its default.
type Tuning struct {
	// LeaseDuration is how long the home may serve after it sent the probes in
	// which a majority reported its term. It must be the same at all daemons.
	// Default 600 ms.
	LeaseDuration time.Duration
	// LeaseMargin is added to the wait of a new home, for clocks that run at
	// different rates. Default 20 ms.
	LeaseMargin time.Duration
	// ProbeInterval is the interval of probes while no request waits for a
	// report. Default 200 ms.
	ProbeInterval time.Duration
	// FastProbeInterval is the interval of probes while a request waits for a
	// position. Default 3 ms.
	FastProbeInterval time.Duration
	// ProbeTimeout bounds a probe on the open control connection. If round trips
	// are short the bound is lower, but at least 40 ms. Default 100 ms.
	ProbeTimeout time.Duration
	// FreshTimeout bounds a probe on a new connection. Default 200 ms.
	FreshTimeout time.Duration
	// OpinionTimeout bounds the wait for other candidates' opinions. Default 200 ms.
	OpinionTimeout time.Duration
	// BeatInterval is the interval of the home's heartbeats to the other
	// candidates. Default 250 ms.
	BeatInterval time.Duration
	// ClaimDelay is how long the first candidate waits without a heartbeat before
	// it claims the group. After the first heartbeat of a home it is at least
	// twice BeatInterval. Default 600 ms.
	ClaimDelay time.Duration
	// ClaimStep is added to ClaimDelay for each candidate that is preferred to
	// this daemon. Default 400 ms.
	ClaimStep time.Duration
	// ClaimJitter bounds the random part of the claim delay. Default 50 ms.
	ClaimJitter time.Duration
	// ClaimBackoff is the first backoff after a refused claim. It doubles up to
	// ClaimBackoffMax. Defaults 50 ms and 1 s.
	ClaimBackoff    time.Duration
	ClaimBackoffMax time.Duration
	// FenceTimeout and PromoteTimeout bound one call. Defaults 250 ms and 500 ms.
	FenceTimeout   time.Duration
	PromoteTimeout time.Duration
	// ActivityWait is how long a claim checks whether the primary's log advances
	// when a home without heartbeats has connections open there. Default 100 ms.
	ActivityWait time.Duration
	// GatherWait is how long a claim waits for the answers of the other members
	// after a majority has answered a probe or a fence. Default 40 ms.
	GatherWait time.Duration
	// ContestWait is how long a home whose primary or majority reports a higher
	// term waits for the announcement of a new home before it claims the group
	// again. Default 300 ms.
	ContestWait time.Duration
	// IsolationTimeout is how long durable writes wait without progress of any
	// replica before the primary is replaced. IsolationWaitLimit applies instead
	// while a replacement would lose acknowledged writes of kinds that are not
	// durable. Both double with each replacement that did not lead to a confirmed
	// write. Defaults 1.5 s and 5 s.
	IsolationTimeout   time.Duration
	IsolationWaitLimit time.Duration
	// RepairWait is how long a member may stay fenced at a higher term before the
	// home raises its own term above it, so that the member can follow again. It is
	// also the minimum time between two planned promotions. Default 3 s.
	RepairWait time.Duration
	// HandoverInterval is the minimum time between two handovers because of an
	// unreachable primary. Default 5 s.
	HandoverInterval time.Duration
	// PlannedWait bounds the wait for writes to end and a replica to catch up
	// before a planned promotion. Default 2 s.
	PlannedWait time.Duration
	// DrainWaitLimit is how long a draining home continues to serve while
	// transactions are open. Default 2 s.
	DrainWaitLimit time.Duration
	// SlotOverlap is the number of statements that a member is given beyond its
	// slots, so that it never waits for the next one. Default 1; negative: none.
	SlotOverlap int
	// ConnectCost is the expected time to open a connection. Default 12 ms.
	ConnectCost time.Duration
	// CloseGrace is how long a closing connection counts against the budget if
	// its end is not confirmed. Default 1 s.
	CloseGrace time.Duration
	// PinnedIdle is how long an open transaction may be idle while other requests
	// wait for a connection. Default 30 s.
	PinnedIdle time.Duration
	// MaxQueue bounds the number of waiting requests. Default 4096.
	MaxQueue int
	// DefaultTimeout is the timeout of a request without a deadline. Default 30 s.
	DefaultTimeout time.Duration
	// FairPenalty moves a request back in the queue for each other outstanding
	// request of its session. Default 20 ms.
	FairPenalty time.Duration
	// MaxReadWait bounds how long a read waits for a replica to reach the required
	// position. Default 25 ms.
	MaxReadWait time.Duration
	// PrimaryCost is the extra cost of a read on the primary: only the primary
	// accepts writes, and later reads of the session require the position seen
	// there. Default 20 ms.
	PrimaryCost time.Duration
	// ZoneCost is the round-trip time to another availability zone. Default 2 ms.
	ZoneCost time.Duration
	// ServingLag is the lag beyond which session positions are no longer kept in
	// memory for a replica. Default 10 s.
	ServingLag time.Duration
	// MaxSessions bounds the number of session positions in memory. Default 100000.
	MaxSessions int
	// RetryRatio is the fraction of requests that may be retried. Default 0.1.
	RetryRatio float64
	// RetryBurst is the maximum number of accumulated retries. Default 20.
	RetryBurst float64
	// RetryBackoff is the first backoff before a retry. It doubles up to
	// RetryBackoffMax. Defaults 2 ms and 50 ms.
	RetryBackoff    time.Duration
	RetryBackoffMax time.Duration
	// DisabledGuards disables guards. It is used only by the explorer.
	DisabledGuards Guard
}

// DefaultTuning returns the documented defaults.
func DefaultTuning() Tuning { return Tuning{}.withDefaults() }

func (t Tuning) withDefaults() Tuning {
	durations := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&t.LeaseDuration, 600 * time.Millisecond},
		{&t.LeaseMargin, 20 * time.Millisecond},
		{&t.ProbeInterval, 200 * time.Millisecond},
		{&t.FastProbeInterval, 3 * time.Millisecond},
		{&t.ProbeTimeout, 100 * time.Millisecond},
		{&t.FreshTimeout, 200 * time.Millisecond},
		{&t.OpinionTimeout, 200 * time.Millisecond},
		{&t.BeatInterval, 250 * time.Millisecond},
		{&t.ClaimDelay, 600 * time.Millisecond},
		{&t.ClaimStep, 400 * time.Millisecond},
		{&t.ClaimJitter, 50 * time.Millisecond},
		{&t.ClaimBackoff, 50 * time.Millisecond},
		{&t.ClaimBackoffMax, 1 * time.Second},
		{&t.FenceTimeout, 250 * time.Millisecond},
		{&t.PromoteTimeout, 500 * time.Millisecond},
		{&t.ActivityWait, 100 * time.Millisecond},
		{&t.GatherWait, 40 * time.Millisecond},
		{&t.ContestWait, 300 * time.Millisecond},
		{&t.IsolationTimeout, 1500 * time.Millisecond},
		{&t.IsolationWaitLimit, 5 * time.Second},
		{&t.RepairWait, 3 * time.Second},
		{&t.HandoverInterval, 5 * time.Second},
		{&t.PlannedWait, 2 * time.Second},
		{&t.DrainWaitLimit, 2 * time.Second},
		{&t.ConnectCost, 12 * time.Millisecond},
		{&t.CloseGrace, time.Second},
		{&t.PinnedIdle, 30 * time.Second},
		{&t.DefaultTimeout, 30 * time.Second},
		{&t.FairPenalty, 20 * time.Millisecond},
		{&t.MaxReadWait, 25 * time.Millisecond},
		{&t.PrimaryCost, 20 * time.Millisecond},
		{&t.ZoneCost, 2 * time.Millisecond},
		{&t.ServingLag, 10 * time.Second},
		{&t.RetryBackoff, 2 * time.Millisecond},
		{&t.RetryBackoffMax, 50 * time.Millisecond},
	}
	for _, d := range durations {
		setDefault(d.field, d.value)
	}
	setDefault(&t.SlotOverlap, 1)
	setDefault(&t.MaxQueue, 4096)
	setDefault(&t.MaxSessions, 100_000)
	setDefault(&t.RetryRatio, 0.1)
	setDefault(&t.RetryBurst, 20)
	t.SlotOverlap = max(t.SlotOverlap, 0)
	return t
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// guardEnabled reports whether a guard is enabled. Outside the explorer all are.
func (g *Group) guardEnabled(guard Guard) bool { return g.tuning.DisabledGuards&guard == 0 }
