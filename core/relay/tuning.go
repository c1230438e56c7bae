package relay

import "time"

// Times and bounds of a Follower.
const (
	// OwnReadMargin is the part of the bound that is left for the daemon's own reads: one that
	// times out and one that is answered.
	OwnReadMargin = time.Second
	// minBudget and maxBudget bound the age of a proof at which a daemon reads the store itself.
	minBudget = time.Second
	maxBudget = 5 * time.Second
	// defaultWatchesPerBudget is the number of a relay's watches that fit into the budget of its
	// followers. A proof is up to two watches old; the third part leaves time to ask another
	// relay.
	defaultWatchesPerBudget = 3
	// shortWatchesPerBudget is that number if callers are rejected without a young proof. The age
	// of the proof when an outage begins shortens the time for which callers can be served.
	shortWatchesPerBudget = 5
	// answerSlack is how much later than usual a relay's next proof may arrive.
	answerSlack = 800 * time.Millisecond
	// answerTimeout bounds the round trip to a relay.
	answerTimeout = 400 * time.Millisecond
	// minBatchDelay is the first delay after a watch that ended with changes. It doubles while
	// changes continue, up to budget / maxBatchDelayDivisor.
	minBatchDelay        = 200 * time.Millisecond
	maxBatchDelayDivisor = 6
	// noCopyAskWait bounds how long a daemon that has no copy yet lets a relay wait for one.
	noCopyAskWait = 400 * time.Millisecond
	// relaysOnlyDuration is how long a daemon that starts asks only relays. A random time of up to
	// the same length is added.
	relaysOnlyDuration = 2 * time.Second
	// minAskTime is the least time before the daemon's own read in which it still asks a relay.
	minAskTime = 2 * answerTimeout
	// relayRetryDelay is the backoff from a relay that did not answer or had an old proof.
	relayRetryDelay = 2 * time.Second
	// maxFailedConsults bounds how many relays that do not answer a watcher asks between two calls
	// to the store.
	maxFailedConsults = 2
	// shortWatch is how long a watch waits after a failure or a freeze.
	shortWatch = 50 * time.Millisecond
	// maxWatchesAfterCheck bounds the watches without a pause of a copy that is behind the store.
	maxWatchesAfterCheck = 32
	// minFailuresOfOneCall is the number of failures after which a watcher also tries to load the copy.
	minFailuresOfOneCall = 2
	// trialLoadTimeout bounds the first load of a watcher whose calls fail.
	trialLoadTimeout = 800 * time.Millisecond
	// relayRetryDelayWithoutProof replaces relayRetryDelay for a daemon without a valid proof.
	relayRetryDelayWithoutProof = 500 * time.Millisecond
	// maxRelays bounds the number of relays that are asked, those of the daemon's zone first.
	maxRelays = 8
)

// Delays after a failed read of the store: the first, the longest, and the growth factor.
const (
	// For a daemon without a configuration, which serves no callers. Beyond noCopyRetry, its delay
	// is noCopyRetryShare of the time since the first failure, which bounds by how much the delay
	// prolongs an outage.
	noCopyRetry      = 80 * time.Millisecond
	noCopyRetryMax   = time.Second
	noCopyRetryShare = 0.1
	// For a watcher, on which its followers depend.
	watcherRetry    = 250 * time.Millisecond
	watcherRetryMax = time.Second
	// For a follower. The second read fits into OwnReadMargin. Later ones are far apart, as all
	// followers read while the store is down.
	followerRetry    = 500 * time.Millisecond
	followerRetryMax = 4 * time.Second
	followerGrowth   = 4
	watcherGrowth    = 2
	// retryJitter is the random share of a delay.
	retryJitter = 0.5
)
