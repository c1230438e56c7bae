package direct

import "time"

// Intervals, timeouts and limits of a Group.
const (
	// ProbeInterval is the time between probes that confirm the lease. Two fit into LeaseDuration,
	// so that one may be lost.
	ProbeInterval = 300 * time.Millisecond
	// ProbeStagger is the delay between daemons that probe the same unconfirmed replica.
	ProbeStagger = 60 * time.Millisecond
	// IdleProbeInterval is the time between probes of a primary on which this daemon has no
	// statement.
	IdleProbeInterval = time.Second
	// RoleProbeInterval is the time between probes of a primary that answers statements; two fit
	// into RoleTTL.
	RoleProbeInterval = 800 * time.Millisecond
	// RoleTTL bounds how long a lease can be extended after the primary was last seen to lead. If a
	// change of the primary cannot fence enough replicas, the promotion takes effect only that long
	// after the old primary was demoted.
	RoleTTL = 1600 * time.Millisecond
	// UnlistedGrace is how long a member that has disappeared from the host list still gets new
	// work while it answers: the store may have lost its entry.
	UnlistedGrace = 3500 * time.Millisecond
	// ListSettleTime is how long a daemon must follow the host list before it relies on knowing all
	// members: the store may have lost entries, which their members write again.
	ListSettleTime = 2500 * time.Millisecond
	// MaxFollowGap is the longest time between ticks for which the host list still counts as
	// followed.
	MaxFollowGap = time.Second
	// SuspectProbeInterval is the time between probes of a silent member.
	SuspectProbeInterval = 400 * time.Millisecond
	// WrongMemberProbeInterval is the time between probes of a member at whose address another one
	// has answered; nothing else is sent to it.
	WrongMemberProbeInterval = 5 * time.Second
	// SuccessorTimeout is how long a member that was ordered to take over may be silent before it
	// counts as lost.
	SuccessorTimeout = 2 * ProbeTimeout
	// LeaseDuration is how long a confirmation of the primary's term extends a lease.
	LeaseDuration = 700 * time.Millisecond
	// ProbeTimeout is how long a probe may be unanswered before the member becomes suspect, if
	// nothing else was received from it. A probe may wait behind statements.
	ProbeTimeout = 350 * time.Millisecond
	// LockReadMargin is how long before the lease expires the promotion lock is read,
	// LockReadInterval the time between such reads.
	LockReadMargin   = 280 * time.Millisecond
	LockReadInterval = 250 * time.Millisecond
	// LoneLockReadMargin is the largest LockReadMargin in a group of one. Two reads fit into
	// LeaseDuration, so that one may be lost.
	LoneLockReadMargin = LeaseDuration - ProbeInterval
	// MinPromoteDuration is a lower bound of the time between the order to promote and its effect.
	// Leases may still expire during that time.
	MinPromoteDuration = 300 * time.Millisecond
	// MaxPromoteDuration is an upper bound of the same time, counted from the arrival of the order at
	// the platform.
	MaxPromoteDuration = time.Second
	// PromoteTimeout bounds the wait for an ordered promotion to take effect.
	PromoteTimeout = 2500 * time.Millisecond
	// PromotePollInterval is the time between probes of a member that is being promoted.
	PromotePollInterval = 60 * time.Millisecond
	// CatchUpTimeout bounds how long a planned change waits for a replica to receive the rest of
	// the log.
	CatchUpTimeout = 400 * time.Millisecond
	// FenceTimeout is the time after which an unconfirmed fence is ordered again.
	FenceTimeout = 400 * time.Millisecond
	// CutOffDelay is how long this daemon must have been unable to use the primary, while another
	// daemon uses it, before statements for the primary are forwarded to that daemon.
	CutOffDelay = 600 * time.Millisecond
	// ClaimTimeout ends a change of the primary that makes no progress.
	ClaimTimeout = 6 * time.Second
	// ClaimRetryDelay is the time before a refused claim is retried.
	ClaimRetryDelay = 500 * time.Millisecond
	// ClaimStagger delays the daemons that see the same failure relative to each other, so that
	// they do not claim at once.
	ClaimStagger = 120 * time.Millisecond
	// LockSendWindow is how long after its claim the holder of a promotion lock may order a
	// promotion.
	LockSendWindow = 2500 * time.Millisecond
	// LockTTL is how long an unchanged promotion lock counts as held. It exceeds LockSendWindow by
	// more than the time in which an order can be delivered.
	LockTTL = 4 * time.Second
	// OrphanedFenceAge is the age at which a fence counts as abandoned by a daemon that has ended.
	OrphanedFenceAge = LockTTL + time.Second
	// LostLockSpread is the time over which the groups of a fleet write lost promotion locks again;
	// it bounds the rate of these writes.
	LostLockSpread = 20 * time.Second
	// PeerReportTTL is how long another daemon's report is used; one full report may be lost.
	PeerReportTTL = 2000 * time.Millisecond
	// LagMargin is added to a replica's measured lag to estimate which positions its log covers by
	// now.
	LagMargin = 5 * time.Millisecond
	// BusyBackoff is how long a member that refused a statement because of load gets no new one.
	BusyBackoff = 40 * time.Millisecond
	// SteadyDelay is how long the primary must have been usable, and members must not have refused
	// statements because of load, until waits are forecast: the time over which arrival rates are averaged.
	SteadyDelay = time.Second
	// ConnLimitBackoff is how long no additional connection is opened to a member that refused one
	// at its connection limit.
	ConnLimitBackoff = 150 * time.Millisecond
	// DialBackoff is how long no connection is opened to a member after an attempt failed.
	DialBackoff = 200 * time.Millisecond
	// SampleInterval is the minimum time between kept samples of the primary's position.
	SampleInterval = 50 * time.Millisecond
	// MaxSamples is the number of samples kept. They cover the largest maximum age of reads.
	MaxSamples = 60
	// UnlistedRetention is how long a member that has left the host list is remembered, so that it
	// can be demoted if it still believes that it is the primary.
	UnlistedRetention = 10 * time.Second
	// UnlistedContactTTL is how long a member that has left the host list counts as alive after its
	// last answer.
	UnlistedContactTTL = 2 * time.Second
)

// Parameters of the choice of a member.
const (
	// crossZoneCost is added to the expected time on a member in another zone, for the latency and
	// the price of the traffic.
	crossZoneCost = 4 * time.Millisecond
	// initialLatency is assumed for a member that has not answered yet.
	initialLatency = 15 * time.Millisecond
	// A new measurement has the weight 1/latencyWeight in a member's mean latency.
	latencyWeight = 8
	// An answer counts as lost after answerTimeoutFactor times the member's mean latency, bounded
	// by minAnswerTimeout and maxAnswerTimeout.
	answerTimeoutFactor = 10
	minAnswerTimeout    = 400 * time.Millisecond
	maxAnswerTimeout    = 600 * time.Millisecond
	// The window is the number of a member's connections that may be in use at once, within
	// minWindow and maxWindow. When the member refuses a statement because of load, the window is
	// cut to windowCutFactor of the connections in use. Each successful answer widens it by
	// windowGrowth divided by its size.
	minWindow       = 1.0
	maxWindow       = 64.0
	windowCutFactor = 0.5
	windowGrowth    = 0.05
	// maxGoalShare is the mean share of their latency goals that statements may take at a member
	// before its window is cut to goalShareCutFactor of the connections in use. The mean then
	// restarts from resetGoalShare. A measurement has the weight 1/goalShareWeight in the mean.
	maxGoalShare       = 0.35
	resetGoalShare     = 0.15
	goalShareCutFactor = 0.8
	goalShareWeight    = 8
	// primaryConnShare and replicaConnShare of a member's connections may be open before each
	// daemon is limited to its fair share. The primary's is larger because open transactions hold
	// its connections.
	primaryConnShare = 0.7
	replicaConnShare = 0.5
)
