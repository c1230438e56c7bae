package proxy

import "time"

// Times and limits of the proxy.
const (
	// tickInterval is the time between checks of the reducers' deadlines.
	tickInterval = 30 * time.Millisecond
	// dialTimeout bounds opening a connection to a member.
	dialTimeout = 400 * time.Millisecond
	// probeTimeout bounds one exchange on a member's control connection.
	probeTimeout = 400 * time.Millisecond
	// answerMargin is the part of a statement's timeout that is reserved for returning the answer.
	answerMargin = 25 * time.Millisecond
	// maxWaitShare is the share of a statement's timeout that it may wait for a member.
	maxWaitShare = 0.85
	// leaseWaitTimeout bounds how long the answer to a write waits for the renewal of an expired
	// lease.
	leaseWaitTimeout = 250 * time.Millisecond
	// maxAttempts bounds the attempts to run one statement on a member, and those to forward it to a
	// home.
	maxAttempts = 6
	// homeDialTimeout bounds opening a link to a home.
	homeDialTimeout = 300 * time.Millisecond
	// homeSilenceTimeout is the time without any answer after which a home's liveness is checked.
	homeSilenceTimeout = 400 * time.Millisecond
	// hostListTimeout is how long a daemon waits for its first host list before it forwards sessions.
	hostListTimeout = 500 * time.Millisecond
	// homeBackoff is how long an entry does not use an unhealthy home.
	homeBackoff = 2 * time.Second
	// groupConnRetention is how long a daemon that is no home of a group keeps connections to its
	// members after a statement. It exceeds homeBackoff, so that connections are not closed and
	// opened again while entries alternate between a failing home and this daemon.
	groupConnRetention = homeBackoff + time.Second
	// groupStateRetention is how long the state of an unused group is kept, evictionInterval the
	// time between evictions.
	groupStateRetention = 10 * time.Second
	evictionInterval    = time.Second
	// joinTimeout bounds how long a starting daemon waits for a complete list of daemons,
	// joinPollInterval is the time between its reads.
	joinTimeout      = time.Second
	joinPollInterval = 60 * time.Millisecond
	// maxStartupDuration bounds the time from a daemon's first configuration until it knows the
	// others.
	maxStartupDuration = joinTimeout + storeTimeout
	// firstStartDelay is how long a host with one whole processor waits before it reads the list of
	// daemons and registers when a fleet starts for the first time; weaker hosts wait longer.
	firstStartDelay = 300 * time.Millisecond
	// weakHostPollInterval is the least time between a weak host's reads of the list while strong
	// hosts are missing, maxWeakHostPolls the maximum number of these reads.
	weakHostPollInterval = 150 * time.Millisecond
	maxWeakHostPolls     = 10
	// rosterChangeThreshold is the relative change of a number in the fleet's roster above which the
	// roster is written again.
	rosterChangeThreshold = 0.25
	// idleConnRetention is how long an idle connection stays open beyond the number that is guaranteed
	// to this daemon.
	idleConnRetention = 3 * time.Second
	// maxMembersAge is the maximum age of a host list from which the absence of a member may be
	// concluded.
	maxMembersAge = 4 * time.Second
	// fleetCheckInterval is the time between checks of this daemon's registration and role.
	fleetCheckInterval = 250 * time.Millisecond
	// rosterCheckInterval is the time between checks of the roster.
	rosterCheckInterval = 5 * time.Second
	// registrationDelay is how long the list has to lack eligible hosts before an unlisted daemon
	// registers. Up to the same time is added, by a hash of the daemon's ID.
	registrationDelay = time.Second
	// registrationTTL is the lease of a daemon's entry, renewalInterval the time between renewals.
	// Two renewals may fail.
	registrationTTL = 9 * time.Second
	renewalInterval = 3 * time.Second
	// homeRecheckInterval is the least time between checks whether a slot's owner in backoff answers
	// again.
	homeRecheckInterval = 200 * time.Millisecond
	// maxOwnersAge is the maximum age of a list of slot owners that is used for forwarding.
	maxOwnersAge = 3 * time.Second
	// declineBackoff is the backoff from a home that has declined to count a team.
	declineBackoff = homeBackoff
	// slotCheckInterval is the time between checks for slots to release.
	slotCheckInterval = 300 * time.Millisecond
	// unusedSlotRetention is how long a home keeps an unused slot that is assigned to another home,
	// fallbackSlotRetention how long a daemon that is no home keeps one that it took while no home
	// was reachable.
	unusedSlotRetention   = 5 * time.Second
	fallbackSlotRetention = time.Second
	// slotWaitTimeout bounds how long a statement waits for this daemon to take its team's slot.
	slotWaitTimeout = 600 * time.Millisecond
	// storeTimeout bounds calls to the store that have no other bound.
	storeTimeout = 800 * time.Millisecond
	// firstListRetryInterval is the time between reads of the list of daemons until the first one
	// succeeds.
	firstListRetryInterval = 80 * time.Millisecond
	// maxReleaseAttempts bounds attempts to release a promotion lock or to withdraw a claim,
	// releaseRetryInterval is the time between them.
	maxReleaseAttempts   = 10
	releaseRetryInterval = time.Second
	// promoteTimeout bounds a promotion request.
	promoteTimeout = 700 * time.Millisecond
	// reportInterval is the time between full reports to other daemons, minReportInterval the delay
	// of a report of changes, which collects further changes.
	reportInterval    = 900 * time.Millisecond
	minReportInterval = 10 * time.Millisecond
	// peerRetention is how long a daemon counts as present after its last report. In a large fleet,
	// listed daemons count for longer.
	peerRetention = 4 * time.Second
	// unlistedRetention is how long a daemon counts as listed after its entry was removed. It bridges
	// the time in which a daemon whose entry the store has lost registers again.
	unlistedRetention = 6 * time.Second
	// stopIdleDelay is how long a session must have been idle for a planned stop to end it while the
	// balancer still sends callers. A caller that has just connected sends its first statement within
	// this time.
	stopIdleDelay = 300 * time.Millisecond
	// retryWindow is the time after a refusal within which a session's next statement counts as its
	// retry.
	retryWindow = time.Second
)
