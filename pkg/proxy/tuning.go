package proxy

import "time"

// Times and limits of the shell.
const (
	// tickEvery is how often reducers look at their deadlines.
	tickInterval = 30 * time.Millisecond
	// dialTimeout bounds opening a connection to a member.
	dialTimeout = 400 * time.Millisecond
	// probeTimeout bounds one exchange on a member's control connection.
	probeTimeout = 400 * time.Millisecond
	// answerMargin is the part of a statement's timeout that is kept for the way back.
	answerMargin = 25 * time.Millisecond
	// holdShare is the part of a statement's timeout that it may wait for a member.
	maxWaitShare = 0.85
	// leaseWait bounds how long the answer to a write waits for an expired lease.
	leaseWaitTimeout = 250 * time.Millisecond
	// maxAttempts bounds how often one statement is placed.
	maxAttempts = 6
	// homeDialTimeout bounds opening a link to a home.
	homeDialTimeout = 300 * time.Millisecond
	// homeSilence is after how long without any answer a home counts as unhealthy.
	homeSilenceTimeout = 400 * time.Millisecond
	// blindAfter is how long a daemon waits for its first host list before it forwards sessions.
	hostListTimeout = 500 * time.Millisecond
	// avoidHome is the backoff of an entry from an unhealthy home.
	homeBackoff = 2 * time.Second
	// usedGroupKept is how long a daemon that is no home of a group keeps connections to its
	// members after a statement. It exceeds avoidHome, so that they do not flap.
	groupConnRetention = homeBackoff + time.Second
	// unusedGroupKept is how long the state of an unused group is kept, sweepEvery the pause
	// between evictions.
	groupStateRetention = 10 * time.Second
	evictionInterval    = time.Second
	// joinWait bounds how long a starting daemon waits for a complete list of daemons,
	// joinPause is the pause between its reads.
	joinTimeout      = time.Second
	joinPollInterval = 60 * time.Millisecond
	// startingFor bounds the time from a daemon's first configuration until it knows the others.
	maxStartupDuration = joinTimeout + storeTimeout
	// firstStartDelay is the registration delay of a host with one whole processor when a fleet
	// starts for the first time; weaker hosts wait longer.
	firstStartDelay = 300 * time.Millisecond
	// lookPause is the least pause between a weak host's reads of the list while strong hosts
	// are missing, mostLooks the number of these reads.
	weakHostPollInterval = 150 * time.Millisecond
	maxWeakHostPolls     = 10
	// rosterChange is the relative change of the fleet that has its roster rewritten.
	rosterChangeThreshold = 0.25
	// idleConnKeep is how long an idle connection beyond the fair share stays open.
	idleConnRetention = 3 * time.Second
	// membersCurrent is the greatest age of a host list from which absence may be concluded.
	maxMembersAge = 4 * time.Second
	// fleetTick is the pause between checks of this daemon's registration and role.
	fleetCheckInterval = 250 * time.Millisecond
	// rosterEvery is the pause between checks of the roster.
	rosterCheckInterval = 5 * time.Second
	// neededFor is how long the list has to lack fit hosts before an unlisted daemon registers;
	// a random share of the same length comes on top.
	registrationDelay = time.Second
	// registrationLease is the lease of a daemon's entry, renewalEvery the pause between
	// renewals. Two renewals may fail.
	registrationTTL = 9 * time.Second
	renewalInterval = 3 * time.Second
	// recheckEvery is the pause between checks whether the owner of a slot is back.
	homeRecheckInterval = 200 * time.Millisecond
	// ownerKnownFor is the greatest age of a list of slots that is used for forwarding.
	maxOwnersAge = 3 * time.Second
	// declinedFor is the backoff from a home that has declined to count a team.
	declineBackoff = homeBackoff
	// tidyEvery is the pause between checks for slots to release.
	slotCheckInterval = 300 * time.Millisecond
	// unusedSlot is how long a home keeps an unused slot that belongs to another home,
	// stepInFor how long another daemon keeps one that it took while no home was reachable.
	unusedSlotRetention   = 5 * time.Second
	fallbackSlotRetention = time.Second
	// slotWait bounds how long a statement waits for this daemon to take its team's slot.
	slotWaitTimeout = 600 * time.Millisecond
	// storeTimeout bounds calls to the store that have no bound of their own.
	storeTimeout = 800 * time.Millisecond
	// firstRetry is the pause between reads of the list of daemons before the first success.
	firstListRetryInterval = 80 * time.Millisecond
	// releaseTries bounds attempts to release a promotion lock, releaseRetry is the pause
	// between them.
	maxReleaseAttempts   = 10
	releaseRetryInterval = time.Second
	// promoteTimeout bounds an order to promote.
	promoteTimeout = 700 * time.Millisecond
	// reportEvery is the pause between full reports to other daemons, reportGap the least
	// pause before a report of a change.
	reportInterval    = 900 * time.Millisecond
	minReportInterval = 10 * time.Millisecond
	// peerKept is how long a daemon is remembered after it was last seen.
	peerRetention = 4 * time.Second
	// unlistedKept is how long a daemon counts as listed after its entry has gone, for one that
	// loses the store and registers again.
	unlistedRetention = 6 * time.Second
	// stopIdleAfter is when a planned stop ends idle sessions: after the balancer has noticed.
	stopIdleDelay = 300 * time.Millisecond
	// retryWithin is how soon after a refusal a session's next statement counts as its retry.
	retryWindow = time.Second
)
