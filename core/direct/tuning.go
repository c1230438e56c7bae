package direct

import "time"

// Times of the group's reducer.
const (
	// ProbeEvery is the pause between probes that confirm the lease, so that two
	// of them fall into LeaseFor and one lost answer does no harm.
	ProbeEvery = 300 * time.Millisecond
	// ProbeStagger is by how much later each further daemon probes a replica that
	// nobody has confirmed: a report takes some milliseconds.
	ProbeStagger = 60 * time.Millisecond
	// IdleProbeEvery is how often a daemon that has no statement on the primary asks
	// whether it lives; one daemon asks at every ProbeEvery.
	IdleProbeEvery = time.Second
	// RoleProbeEvery is how often a primary is asked for its role although its
	// answers to statements show that it lives: twice in RoleFor.
	RoleProbeEvery = 800 * time.Millisecond
	// RoleFor is how long a lease is extended after the primary was seen to lead. A
	// planned change that reaches but one replica waits so long, within the window of
	// its promotion lock.
	RoleFor = 1600 * time.Millisecond
	// VanishedGrace is how long a member that is gone from the host list still gets
	// new work if it answers. Entries that the store lost are back two seconds
	// after it is, and new work has to end within seven.
	VanishedGrace = 3500 * time.Millisecond
	// ListSettles is how long a daemon follows the host list before it counts on knowing
	// all members: entries that the store has lost are back two seconds after it is, and
	// are seen with the next read.
	ListSettles = 2500 * time.Millisecond
	// FollowGap is after what pause in following a group its members may have changed
	// unseen: many times the pause between ticks.
	FollowGap = time.Second
	// SuspectProbeEvery is the pause between probes of a silent member.
	SuspectProbeEvery = 400 * time.Millisecond
	// ElsewhereRetry is the pause between probes of a member at whose address another
	// one has answered, should that answer have been a mistake. Nothing else is sent.
	ElsewhereRetry = 5 * time.Second
	// SuccessorSilent is after how long without an answer a member that was ordered to
	// take over counts as lost. A member under load answers within ProbeTimeout; twice
	// that keeps a slow one from costing a second promotion.
	SuccessorSilent = 2 * ProbeTimeout
	// LeaseFor is how long a confirmation of the primary's term counts.
	LeaseFor = 700 * time.Millisecond
	// ProbeTimeout is after how long an unanswered probe makes a member suspect
	// if nothing else has come from it. A statement takes at most 220 ms on the
	// hosts of the first two users, and a probe waits behind three of them.
	ProbeTimeout = 350 * time.Millisecond
	// LockReadBefore is how long before the lease runs out the store is read, and
	// LockReadEvery the pause between such reads.
	LockReadBefore = 280 * time.Millisecond
	LockReadEvery  = 250 * time.Millisecond
	// PromoteAtLeast is less than any promotion takes: the platform says "some
	// hundred milliseconds", and a lease may run out meanwhile.
	PromoteAtLeast = 300 * time.Millisecond
	// PromoteTimeout is after how long an order without effect is given up.
	PromoteTimeout = 2500 * time.Millisecond
	// PollPromoted is the pause between probes of a member that is being promoted.
	PollPromoted = 60 * time.Millisecond
	// CatchUpFor is how long a planned change of the primary waits for the
	// replica to receive the rest of the log; replicas are some 20 ms behind.
	CatchUpFor = 400 * time.Millisecond
	// FenceTimeout is after how long a fence that is not confirmed is ordered again.
	FenceTimeout = 400 * time.Millisecond
	// CutAfter is how long a primary is unusable here, while another daemon uses it,
	// before statements for it run there. A primary that is silent to all is found out
	// by then.
	CutAfter = 600 * time.Millisecond
	// ClaimTimeout ends a take-over that does not get on.
	ClaimTimeout = 6 * time.Second
	// ClaimRetry is the pause before a refused claim is tried again.
	ClaimRetry = 500 * time.Millisecond
	// ClaimStagger keeps daemons that see the same failure from claiming at once.
	ClaimStagger = 120 * time.Millisecond
	// LockSendWindow is how long after its claim a holder may order a promotion.
	LockSendWindow = 2500 * time.Millisecond
	// LockLife is how long others leave a promotion lock alone that does not change. It
	// exceeds LockSendWindow by more than an order may be under way.
	LockLife = 4 * time.Second
	// OrphanedFence is after how long a fence is taken to be left behind by a
	// daemon that ended.
	OrphanedFence = LockLife + time.Second
	// PeerFresh is how long another daemon's report counts: whole ones come every 0.9 s,
	// and one that is lost does no harm.
	PeerFresh = 2000 * time.Millisecond
	// LagMargin is added to a replica's measured lag before it is asked for a
	// position that it may have by now.
	LagMargin = 5 * time.Millisecond
	// BusyBackoff is how long a member that refused for load gets no new statement.
	BusyBackoff = 40 * time.Millisecond
	// NoRoomBackoff is how long no new connection is tried after a member refused one.
	NoRoomBackoff = 150 * time.Millisecond
	// DialBackoff is how long no new connection is tried after one failed.
	DialBackoff = 200 * time.Millisecond
	// SampleEvery is the distance between kept samples of the primary's position.
	SampleEvery = 50 * time.Millisecond
	// SampleKeep is how many samples are kept: 60 of them cover three seconds,
	// more than the ages that the first two users allow.
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
	// otherZone is added to the expected time on a member in another zone: two
	// crossings of about a millisecond, doubled for the traffic they cost.
	otherZone = 4 * time.Millisecond
	// firstLatency is assumed of a member that has not answered yet.
	firstLatency = 15 * time.Millisecond
	// latencyShare is the weight of a new measurement in the mean, 1/8.
	latencyShare = 8
	// A member that takes longer than answerTimeoutFactor times its mean, within the
	// bounds, is taken to have lost the answer. Lost answers are rarer than slow
	// ones, whose work reaches eight times the mean.
	answerTimeoutFactor = 10
	leastAnswerTimeout  = 400 * time.Millisecond
	mostAnswerTimeout   = 600 * time.Millisecond
	// The window of connections in use: its bounds, what is left of the present use
	// when the member refuses for load, and by how much some answers widen it.
	leastWindow  = 1.0
	mostWindow   = 64.0
	windowCut    = 0.5
	windowGrowth = 0.05
	// The mean share of their aims that statements may take at a member before its
	// window is cut to aimShareCut of the use, the share from which it is measured
	// anew then, and the weight of a measurement, 1/8. Statements of the first two
	// users take 0.04 to 0.07 on a member without a queue.
	mostAimShare   = 0.35
	leastAimShare  = 0.15
	aimShareCut    = 0.8
	aimShareWeight = 8
	// primaryShare and replicaShare of a member's connections may be open before
	// each daemon keeps to its equal part of them. Open transactions keep some
	// eight of a primary's 22 busy at the sizes of today; reads need few.
	primaryShare = 0.7
	replicaShare = 0.5
)
