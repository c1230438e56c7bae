package direct

import "time"

// Times of the group's reducer.
const (
	// ProbeInterval is the pause between probes that confirm the lease. Two of them fall into
	// LeaseDuration, so that one may be lost.
	ProbeInterval = 300 * time.Millisecond
	// ProbeStagger is the delay between daemons that probe the same unconfirmed replica.
	ProbeStagger = 60 * time.Millisecond
	// IdleProbeInterval is the pause between probes of a primary on which this daemon has no
	// statement.
	IdleProbeInterval = time.Second
	// RoleProbeInterval is the pause between probes of a primary that answers statements; two of
	// them fall into RoleTTL.
	RoleProbeInterval = 800 * time.Millisecond
	// RoleTTL bounds how long a lease is extended after the primary was last seen to lead. A
	// planned change that reaches a single replica waits that long.
	RoleTTL = 1600 * time.Millisecond
	// UnlistedGrace is how long a member that has gone from the host list still gets new work
	// while it answers: the store may have lost its entry.
	UnlistedGrace = 3500 * time.Millisecond
	// ListSettleTime is how long a daemon has to follow the host list before it relies on knowing
	// all members: the store may have lost entries, which are written again.
	ListSettleTime = 2500 * time.Millisecond
	// MaxFollowGap is the longest pause between ticks after which the host list still counts as
	// followed.
	MaxFollowGap = time.Second
	// SuspectProbeInterval is the pause between probes of a silent member.
	SuspectProbeInterval = 400 * time.Millisecond
	// WrongMemberProbeInterval is the pause between probes of a member at whose address another one has
	// answered; nothing else is sent to it.
	WrongMemberProbeInterval = 5 * time.Second
	// SuccessorTimeout is after how long without an answer a member that was ordered to take
	// over counts as lost.
	SuccessorTimeout = 2 * ProbeTimeout
	// LeaseDuration is how long a confirmation of the primary's term counts.
	LeaseDuration = 700 * time.Millisecond
	// ProbeTimeout is after how long an unanswered probe makes a member suspect if nothing
	// else has come from it. A probe may wait behind statements.
	ProbeTimeout = 350 * time.Millisecond
	// LockReadMargin is how long before the lease expires the promotion lock is read,
	// LockReadInterval the pause between such reads.
	LockReadMargin   = 280 * time.Millisecond
	LockReadInterval = 250 * time.Millisecond
	// MinPromoteDuration is a lower bound of the time that a promotion takes, in which leases may
	// still expire.
	MinPromoteDuration = 300 * time.Millisecond
	// PromoteTimeout bounds the wait for the effect of an order to promote.
	PromoteTimeout = 2500 * time.Millisecond
	// PromotePollInterval is the pause between probes of a member that is being promoted.
	PromotePollInterval = 60 * time.Millisecond
	// CatchUpTimeout bounds how long a planned change waits for the replica to receive the rest of
	// the log.
	CatchUpTimeout = 400 * time.Millisecond
	// FenceTimeout is after how long an unconfirmed fence is ordered again.
	FenceTimeout = 400 * time.Millisecond
	// CutOffDelay is how long a primary is unusable here, while another daemon uses it, before
	// statements for it are forwarded.
	CutOffDelay = 600 * time.Millisecond
	// ClaimTimeout ends a takeover that makes no progress.
	ClaimTimeout = 6 * time.Second
	// ClaimRetryDelay is the pause before a refused claim is tried again.
	ClaimRetryDelay = 500 * time.Millisecond
	// ClaimStagger keeps daemons that see the same failure from claiming at once.
	ClaimStagger = 120 * time.Millisecond
	// LockSendWindow is how long after its claim a holder may order a promotion.
	LockSendWindow = 2500 * time.Millisecond
	// LockTTL is how long an unchanged promotion lock counts as held. It exceeds
	// LockSendWindow by more than an order may be under way.
	LockTTL = 4 * time.Second
	// OrphanedFenceAge is the age at which a fence counts as left behind by a daemon that ended.
	OrphanedFenceAge = LockTTL + time.Second
	// LostLockSpread is the time over which the groups of a fleet write promotion locks again
	// that the store has lost; it bounds the rate of these writes.
	LostLockSpread = 20 * time.Second
	// PeerReportTTL is how long another daemon's report counts; one full report may be lost.
	PeerReportTTL = 2000 * time.Millisecond
	// LagMargin is added to a replica's measured lag before it is asked for a position.
	LagMargin = 5 * time.Millisecond
	// BusyBackoff is how long a member that refused for load gets no new statement.
	BusyBackoff = 40 * time.Millisecond
	// ConnLimitBackoff is how long no new connection is tried after a member refused one.
	ConnLimitBackoff = 150 * time.Millisecond
	// DialBackoff is how long no new connection is tried after one failed.
	DialBackoff = 200 * time.Millisecond
	// SampleInterval is the distance between kept samples of the primary's position.
	SampleInterval = 50 * time.Millisecond
	// MaxSamples is the number of samples kept. They cover the greatest age of reads.
	MaxSamples = 60
	// UnlistedRetention is how long a member that left the host list is remembered, to
	// demote it should it still think that it is primary.
	UnlistedRetention = 10 * time.Second
	// UnlistedContactTTL is how long a member that left the host list counts as alive
	// after its last answer.
	UnlistedContactTTL = 2 * time.Second
)

// Weights of the choice of a member.
const (
	// otherZone is added to the expected time on a member in another zone, for the latency and
	// the price of the traffic.
	crossZoneCost = 4 * time.Millisecond
	// firstLatency is assumed of a member that has not answered yet.
	initialLatency = 15 * time.Millisecond
	// latencyShare is the weight of a new measurement in the mean, 1/8.
	latencyWeight = 8
	// An answer counts as lost after answerTimeoutFactor times the member's mean latency,
	// within the bounds.
	answerTimeoutFactor = 10
	minAnswerTimeout    = 400 * time.Millisecond
	maxAnswerTimeout    = 600 * time.Millisecond
	// The window of connections in use: its bounds, what is left of the present use
	// when the member refuses for load, and by how much some answers widen it.
	minWindow       = 1.0
	maxWindow       = 64.0
	windowCutFactor = 0.5
	windowGrowth    = 0.05
	// The mean share of their latency goals that statements may take at a member before its
	// window is cut to aimShareCut of the use, the share from which it is measured anew then,
	// and the weight of a measurement, 1/8.
	maxGoalShare       = 0.35
	resetGoalShare     = 0.15
	goalShareCutFactor = 0.8
	goalShareWeight    = 8
	// primaryShare and replicaShare of a member's connections may be open before each daemon
	// keeps to its fair share. Open transactions hold connections of the primary.
	primaryConnShare = 0.7
	replicaConnShare = 0.5
)
