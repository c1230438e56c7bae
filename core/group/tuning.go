package group

import "time"

// Guard is a bit set of the checks that keep a promise. Guards are switched
// off only by the explorer, to prove that it notices a broken promise.
type Guard uint32

// The guards that the explorer can switch off.
const (
	// GuardLeaseAtArrival: requests run only while the term lease holds.
	GuardLeaseAtArrival Guard = 1 << iota
	// GuardLeaseAtAck: writes are acknowledged only while the term lease holds.
	GuardLeaseAtAck
	// GuardSessionFloor: a replica serves a read only past the session's position.
	GuardSessionFloor
	// GuardClaimWait: a new home waits out the lease of the old one.
	GuardClaimWait
	// GuardDurableConfirm: durable writes wait for a majority of positions.
	GuardDurableConfirm
	// GuardTermStart: a session is told when a promotion lost what it had seen.
	GuardTermStart
	// GuardPinned: requests in a transaction run on the caller's connection only.
	GuardPinned
	// GuardBudget: open connections stay within the group's budget.
	GuardBudget
	// GuardMajority: a claim needs a majority of fenced members.
	GuardMajority
	// GuardFurthest: a claim promotes the member with the furthest position.
	GuardFurthest
	// GuardRetryProof: only what is proved not to have run, or reads, is retried.
	GuardRetryProof
)

// Tuning holds the reducer's parameters. A zero field takes its default.
type Tuning struct {
	// LeaseDuration is how long a majority's report of the term lets the home
	// serve. Default 600 ms. It must be the same at all daemons.
	LeaseDuration time.Duration
	// LeaseMargin is added to the wait of a new home, for clocks that run at
	// different rates. Default 20 ms.
	LeaseMargin time.Duration
	// ProbeInterval paces the probes of a quiet group. Default 200 ms.
	ProbeInterval time.Duration
	// FastProbeInterval paces the probes while a request waits for a
	// position. Default 3 ms.
	FastProbeInterval time.Duration
	// ProbeTimeout bounds a probe on the kept connection; the bound is less
	// where round trips are short, 40 ms at the least. Default 100 ms.
	ProbeTimeout time.Duration
	// FreshTimeout bounds a probe on a new connection. Default 200 ms.
	FreshTimeout time.Duration
	// OpinionTimeout bounds the wait for other candidates' opinions. Default 200 ms.
	OpinionTimeout time.Duration
	// BeatInterval paces the home's heartbeats to other candidates. Default 250 ms.
	BeatInterval time.Duration
	// ClaimDelay is how long the first candidate goes without a heartbeat
	// before it claims the group. Default 600 ms; once a home was heard, twice
	// BeatInterval at the least.
	ClaimDelay time.Duration
	// ClaimStep is added to ClaimDelay for each better candidate. Default 400 ms.
	ClaimStep time.Duration
	// ClaimJitter bounds the random part of a claim's delay. Default 50 ms.
	ClaimJitter time.Duration
	// ClaimBackoff is the first pause after a refused claim; it doubles up to
	// ClaimBackoffMax. Defaults 50 ms and 1 s.
	ClaimBackoff    time.Duration
	ClaimBackoffMax time.Duration
	// FenceTimeout and PromoteTimeout bound one call. Defaults 250 and 500 ms.
	FenceTimeout   time.Duration
	PromoteTimeout time.Duration
	// ActivityWait is how long a claim watches whether the primary's log moves
	// under connections of a home that is not heard. Default 100 ms.
	ActivityWait time.Duration
	// GatherWait is how long a claim waits, after a majority was fenced, for
	// the positions of the other members. Default 40 ms.
	GatherWait time.Duration
	// ContestWait is how long a home whose primary reports a higher term waits
	// for news of the new home before it claims again. Default 300 ms.
	ContestWait time.Duration
	// IsolationTimeout is how long durable writes wait, with no replica
	// receiving anything, before the primary is replaced. IsolationWaitLimit is
	// the same while that would lose acknowledged writes of kinds that are not
	// durable. Both double after a replacement that confirmed nothing. Defaults
	// 1.5 s and 5 s.
	IsolationTimeout   time.Duration
	IsolationWaitLimit time.Duration
	// RepairWait is how long a member may stay fenced at a higher term before
	// the home raises its own to take the member back. Default 3 s.
	RepairWait time.Duration
	// HandoverInterval is the least time between two handovers because of an
	// unreachable primary. Default 5 s.
	HandoverInterval time.Duration
	// PlannedWait bounds the wait for writes to end and a replica to catch up
	// before a planned promotion. Default 2 s.
	PlannedWait time.Duration
	// DrainWaitLimit is how long a draining home goes on serving for the sake
	// of open transactions. Default 2 s.
	DrainWaitLimit time.Duration
	// SlotOverlap is how many statements beyond its slots a member is given,
	// so that it has the next at hand. Default 1; negative: none.
	SlotOverlap int
	// ConnectCost is what opening a connection is expected to take. Default 12 ms.
	ConnectCost time.Duration
	// CloseGrace is how long a connection that was told to close counts
	// against the budget if nothing confirms it. Default 1 s.
	CloseGrace time.Duration
	// PinnedIdle is how long an open transaction may idle while others wait
	// for a connection. Default 30 s.
	PinnedIdle time.Duration
	// MaxQueue bounds the waiting requests. Default 4096.
	MaxQueue int
	// DefaultTimeout is the deadline of a request that has none. Default 30 s.
	DefaultTimeout time.Duration
	// FairPenalty moves a request's place in the queue back for each other
	// outstanding request of its session. Default 20 ms.
	FairPenalty time.Duration
	// MaxReadWait bounds how long a read waits for a replica's position before
	// it goes to the primary. Default 25 ms.
	MaxReadWait time.Duration
	// PrimaryCost is what a read on the primary is held to cost beyond its
	// time: only the primary takes writes, and the session's next reads need
	// what it has seen there. Default 20 ms.
	PrimaryCost time.Duration
	// ZoneCost is the round trip to another availability zone. Default 2 ms.
	ZoneCost time.Duration
	// ServingLag is the lag beyond which a replica no longer holds session
	// positions in memory. Default 10 s.
	ServingLag time.Duration
	// MaxSessions bounds the session positions held. Default 100000.
	MaxSessions int
	// RetryRatio is the share of requests that may be retried. Default 0.1.
	RetryRatio float64
	// RetryBurst is the number of retries that may be saved up. Default 20.
	RetryBurst float64
	// RetryBackoff is the first pause before a retry; it doubles up to
	// RetryBackoffMax. Defaults 2 ms and 50 ms.
	RetryBackoff    time.Duration
	RetryBackoffMax time.Duration
	// DisabledGuards switches guards off. For the explorer only.
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

// guarded reports whether a guard is in force, as it always is outside the explorer.
func (g *Group) guardEnabled(guard Guard) bool { return g.tuning.DisabledGuards&guard == 0 }
