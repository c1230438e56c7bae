package proxy

import "time"

// Times and limits of the shell.
const (
	// tickEvery is how often the reducers look at their deadlines; the shortest of
	// these is 60 ms.
	tickEvery = 30 * time.Millisecond
	// dialTimeout bounds opening a connection to a member: 12 ms of work there and
	// a place in its queue.
	dialTimeout = 400 * time.Millisecond
	// probeTimeout bounds one exchange on a member's control connection.
	probeTimeout = 400 * time.Millisecond
	// answerMargin is kept of a statement's timeout for the way back to the caller.
	answerMargin = 25 * time.Millisecond
	// holdShare of a statement's timeout is spent waiting for a member at most.
	// Callers with a time budget of three timeouts get their third answer in time.
	holdShare = 0.85
	// leaseWait is how long the answer to a write waits for a lease that has run
	// out to be confirmed again.
	leaseWait = 250 * time.Millisecond
	// maxAttempts bounds how often one statement is placed.
	maxAttempts = 6
	// homeDialTimeout bounds opening a link to a home.
	homeDialTimeout = 300 * time.Millisecond
	// homeSilence is after how long a home that answers nobody here is given up: what a
	// member's answer is waited for at least.
	homeSilence = 400 * time.Millisecond
	// blindAfter is how long after its configuration a daemon waits for the host list
	// before it passes its sessions on: a read takes some 10 ms.
	blindAfter = 500 * time.Millisecond
	// avoidHome is how long a home that did not answer is not asked again.
	avoidHome = 2 * time.Second
	// usedGroupKept is how long a daemon that is no home of a group keeps reaching
	// its members after a statement: a little longer than entries leave a home alone that
	// did not answer. Its connections are what the homes lack when they are back.
	usedGroupKept = avoidHome + time.Second
	// unusedGroupKept is how long what is known of a group is kept that is not in use here,
	// and sweepEvery the pause between looks for such groups.
	unusedGroupKept = 10 * time.Second
	sweepEvery      = time.Second
	// joinWait is how long a daemon waits at most, when a whole fleet starts, before
	// it takes the list of daemons for complete, and joinPause the pause between reads.
	joinWait  = time.Second
	joinPause = 60 * time.Millisecond
	// startingFor is how long after its configuration a daemon that starts knows the others
	// at the latest, if the store answers: its entry is written, and the list is complete
	// or was waited for.
	startingFor = joinWait + storeTimeout
	// firstStartDelay is how long a host with a whole processor waits when a whole fleet starts
	// for the first time, weaker ones longer.
	firstStartDelay = 300 * time.Millisecond
	// lookPause is the least pause before a weak host looks again for strong ones that the
	// fleet has had, mostLooks how often it does before it registers.
	lookPause = 150 * time.Millisecond
	mostLooks = 10
	// rosterChange is by what share the fleet has to change for its roster to be written anew.
	rosterChange = 0.25
	// idleConnKeep is how long a connection beyond the fair share stays open unused.
	idleConnKeep = 3 * time.Second
	// membersCurrent is how old the copy of the host list may be for this daemon to count on
	// what it lacks: two watches in which nothing has changed.
	membersCurrent = 4 * time.Second
	// fleetTick is the pause between looks at this daemon's part in the fleet, and rosterEvery
	// that between looks whether the fleet's roster is to be written.
	fleetTick   = 250 * time.Millisecond
	rosterEvery = 5 * time.Second
	// neededFor is how long the list has to lack fit hosts before a daemon that is not on it
	// registers, up to twice as long by its draw.
	neededFor = time.Second
	// registrationLease is the lease of a daemon's own entry, renewalEvery the
	// pause between its renewals: two of them may fail. Entries find out by themselves
	// that a daemon has gone; a store that is away for longer than the lease loses the
	// whole list, and renewals are most of what a calm fleet calls the store for.
	registrationLease = 9 * time.Second
	renewalEvery      = 3 * time.Second
	// recheckEvery is the pause between looks whether a daemon lives again that counts a team.
	recheckEvery = 200 * time.Millisecond
	// ownerKnownFor is how old a list of slots may be by which an entry is sent to a daemon
	// that lives: entries that do not know yet who counts a team come all the time, and each
	// look at the list is paid for.
	ownerKnownFor = 3 * time.Second
	// declinedFor is how long a home is not asked for a team that has told to ask another one:
	// it is cut from the store, or another one holds the team's slot, for seconds.
	declinedFor = avoidHome
	// tidyEvery is the pause between looks at what slots are to be given back or shut. It goes
	// over all teams, and the loop that does it is woken by each statement that finds no slot.
	tidyEvery = 300 * time.Millisecond
	// unusedSlot is how long a home keeps a slot of teams that another one is to hold and
	// nobody asks for here, stepInFor how long another daemon keeps one that it took while no
	// home could be asked.
	unusedSlot = 5 * time.Second
	stepInFor  = time.Second
	// slotWait is how long a statement waits at most for this daemon to take its team's slot:
	// three calls to the store in order, and one that fails.
	slotWait = 600 * time.Millisecond
	// storeTimeout bounds other calls to the store, which answers in 4 ms.
	storeTimeout = 800 * time.Millisecond
	// firstRetry is the pause while a daemon has no list of daemons: it serves nobody,
	// and what calls cost is little beside that.
	firstRetry = 80 * time.Millisecond
	// releaseTries is how often a promotion lock is given back, releaseRetry the pause between
	// tries: longer than the store is usually away.
	releaseTries = 10
	releaseRetry = time.Second
	// promoteTimeout bounds an order to promote.
	promoteTimeout = 700 * time.Millisecond
	// reportEvery is the pause between whole reports to other daemons, which count for
	// direct.PeerFresh; reportGap is the least pause when something has changed.
	reportEvery = 900 * time.Millisecond
	reportGap   = 10 * time.Millisecond
	// peerKept is how long a daemon is remembered after its last sign of life.
	peerKept = 4 * time.Second
	// unlistedKept is how long a daemon counts after the store's list has lost it: one that
	// was cut from the store registers anew within a few seconds. Entries find out by
	// themselves whether it answers.
	unlistedKept = 6 * time.Second
	// stopIdleAfter is after how long a stop ends idle sessions: the balancer needs
	// two questions, a second apart, to send no new ones.
	stopIdleAfter = 300 * time.Millisecond
	// retryWithin is how soon after a refusal a session's next statement is taken to
	// be the refused one again.
	retryWithin = time.Second
)
