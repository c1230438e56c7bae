package direct

import "time"

// Times of the group's reducer.
const (
	// ProbeEvery is the pause between probes that confirm the lease. Two of them fall into
	// LeaseFor, so that one may be lost.
	ProbeEvery = 300 * time.Millisecond
	// ProbeStagger is the delay between daemons that probe the same unconfirmed replica.
	ProbeStagger = 60 * time.Millisecond
	// IdleProbeEvery is the pause between probes of a primary on which this daemon has no
	// statement.
	IdleProbeEvery = time.Second
	// RoleProbeEvery is the pause between probes of a primary that answers statements; two of
	// them fall into RoleFor.
	RoleProbeEvery = 800 * time.Millisecond
	// RoleFor bounds how long a lease is extended after the primary was last seen to lead. A
	// planned change that reaches a single replica waits that long.
	RoleFor = 1600 * time.Millisecond
	// VanishedGrace is how long a member that has gone from the host list still gets new work
	// while it answers: the store may have lost its entry.
	VanishedGrace = 3500 * time.Millisecond
	// ListSettles is how long a daemon has to follow the host list before it relies on knowing
	// all members: the store may have lost entries, which are written again.
	ListSettles = 2500 * time.Millisecond
	// FollowGap is the longest pause between ticks after which the host list still counts as
	// followed.
	FollowGap = time.Second
	// SuspectProbeEvery is the pause between probes of a silent member.
	SuspectProbeEvery = 400 * time.Millisecond
	// ElsewhereRetry is the pause between probes of a member at whose address another one has
	// answered; nothing else is sent to it.
	ElsewhereRetry = 5 * time.Second
	// SuccessorSilent is after how long without an answer a member that was ordered to take
	// over counts as lost.
	SuccessorSilent = 2 * ProbeTimeout
	// LeaseFor is how long a confirmation of the primary's term counts.
	LeaseFor = 700 * time.Millisecond
	// ProbeTimeout is after how long an unanswered probe makes a member suspect if nothing
	// else has come from it. A probe may wait behind statements.
	ProbeTimeout = 350 * time.Millisecond
	// LockReadBefore is how long before the lease expires the promotion lock is read,
	// LockReadEvery the pause between such reads.
	LockReadBefore = 280 * time.Millisecond
	LockReadEvery  = 250 * time.Millisecond
	// PromoteAtLeast is a lower bound of the time that a promotion takes, in which leases may
	// still expire.
	PromoteAtLeast = 300 * time.Millisecond
	// PromoteTimeout bounds the wait for the effect of an order to promote.
	PromoteTimeout = 2500 * time.Millisecond
	// PollPromoted is the pause between probes of a member that is being promoted.
	PollPromoted = 60 * time.Millisecond
	// CatchUpFor bounds how long a planned change waits for the replica to receive the rest of
	// the log.
	CatchUpFor = 400 * time.Millisecond
	// FenceTimeout is after how long an unconfirmed fence is ordered again.
	FenceTimeout = 400 * time.Millisecond
	// CutAfter is how long a primary is unusable here, while another daemon uses it, before
	// statements for it are forwarded.
	CutAfter = 600 * time.Millisecond
	// ClaimTimeout ends a takeover that makes no progress.
	ClaimTimeout = 6 * time.Second
	// ClaimRetry is the pause before a refused claim is tried again.
	ClaimRetry = 500 * time.Millisecond
	// ClaimStagger keeps daemons that see the same failure from claiming at once.
	ClaimStagger = 120 * time.Millisecond
	// LockSendWindow is how long after its claim a holder may order a promotion.
	LockSendWindow = 2500 * time.Millisecond
	// LockLife is how long an unchanged promotion lock counts as held. It exceeds
	// LockSendWindow by more than an order may be under way.
	LockLife = 4 * time.Second
	// OrphanedFence is the age at which a fence counts as left behind by a daemon that ended.
	OrphanedFence = LockLife + time.Second
	// LostLockSpread is the time over which the groups of a fleet write promotion locks again
	// that the store has lost; it bounds the rate of these writes.
	LostLockSpread = 20 * time.Second
	// PeerFresh is how long another daemon's report counts; one full report may be lost.
	PeerFresh = 2000 * time.Millisecond
	// LagMargin is added to a replica's measured lag before it is asked for a position.
	LagMargin = 5 * time.Millisecond
	// BusyBackoff is how long a member that refused for load gets no new statement.
	BusyBackoff = 40 * time.Millisecond
	// NoRoomBackoff is how long no new connection is tried after a member refused one.
	NoRoomBackoff = 150 * time.Millisecond
	// DialBackoff is how long no new connection is tried after one failed.
	DialBackoff = 200 * time.Millisecond
	// SampleEvery is the distance between kept samples of the primary's position.
	SampleEvery = 50 * time.Millisecond
	// SampleKeep is the number of samples kept. They cover the greatest age of reads.
	SampleKeep = 60
	// VanishedKeep is how long a member that left the host list is remembered, to
	// demote it should it still think that it is primary.
	VanishedKeep = 10 * time.Second
	// HeardRecently is how long a member that left the host list counts as alive
	// after its last answer.
	HeardRecently = 2 * time.Second
)

// Weights of the choice of a member.
const (
	// otherZone is added to the expected time on a member in another zone, for the latency and
	// the price of the traffic.
	otherZone = 4 * time.Millisecond
	// firstLatency is assumed of a member that has not answered yet.
	firstLatency = 15 * time.Millisecond
	// latencyShare is the weight of a new measurement in the mean, 1/8.
	latencyShare = 8
	// An answer counts as lost after answerTimeoutFactor times the member's mean latency,
	// within the bounds.
	answerTimeoutFactor = 10
	leastAnswerTimeout  = 400 * time.Millisecond
	mostAnswerTimeout   = 600 * time.Millisecond
	// The window of connections in use: its bounds, what is left of the present use
	// when the member refuses for load, and by how much some answers widen it.
	leastWindow  = 1.0
	mostWindow   = 64.0
	windowCut    = 0.5
	windowGrowth = 0.05
	// The mean share of their latency goals that statements may take at a member before its
	// window is cut to aimShareCut of the use, the share from which it is measured anew then,
	// and the weight of a measurement, 1/8.
	mostAimShare   = 0.35
	leastAimShare  = 0.15
	aimShareCut    = 0.8
	aimShareWeight = 8
	// primaryShare and replicaShare of a member's connections may be open before each daemon
	// keeps to its fair share. Open transactions hold connections of the primary.
	primaryShare = 0.7
	replicaShare = 0.5
)
