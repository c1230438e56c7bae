package relay

import "time"

// Limits of the age of a proof.
const (
	// OwnReadMargin is the part of the bound that is left for the daemon's own read: one that
	// times out and one that is answered.
	OwnReadMargin = time.Second
	// minBudget and maxBudget bound the age of a proof at which a daemon reads the store
	// itself.
	minBudget = time.Second
	maxBudget = 5 * time.Second
	// defaultWatchesPerBudget is how many watches of a relay fit into the budget of its followers. A proof
	// is up to two watches old; the third part is for asking another relay.
	defaultWatchesPerBudget = 3
	// shortWatchesPerBudget is that number where callers are refused without a young proof: the age of a
	// proof shortens the outage that they can be served through.
	shortWatchesPerBudget = 5
	// answerSlack is how much later than usual a relay's next proof may be.
	answerSlack = 800 * time.Millisecond
	// answerTimeout bounds the way to a relay and back.
	answerTimeout = 400 * time.Millisecond
	// minBatchDelay is the first pause after a watch that has ended with changes. It doubles while
	// they go on, up to the budget over maxBatchDelayParts.
	minBatchDelay      = 200 * time.Millisecond
	maxBatchDelayParts = 6
	// noCopyAskWait bounds a question of a daemon that has no copy yet.
	noCopyAskWait = 400 * time.Millisecond
	// relaysOnlyDuration is how long a daemon that starts asks relays only; a random share of the same
	// length comes on top.
	relaysOnlyDuration = 2 * time.Second
	// minAskTime is the least time before the daemon's own read in which it still asks a relay.
	minAskTime = 2 * answerTimeout
	// relayRetryDelay is the backoff from a relay that did not answer or had an old proof.
	relayRetryDelay = 2 * time.Second
	// maxFailedConsults bounds how many silent relays a watcher waits for between two calls to the
	// store.
	maxFailedConsults = 2
	// relayRetryDelayWithoutProof is that backoff for a daemon without a valid proof.
	relayRetryDelayWithoutProof = 500 * time.Millisecond
	// maxRelays bounds how many relays are asked, those of the own zone first.
	maxRelays = 8
)

// Pauses after a failed read of the store, the first one and the longest.
const (
	// For a daemon without a configuration, which serves nobody. Its pauses are up to noCopyRetryShare
	// of the outage, which bounds by how much it prolongs it.
	noCopyRetry      = 80 * time.Millisecond
	noCopyRetryMax   = time.Second
	noCopyRetryShare = 0.1
	// For a watcher, whose followers wait for it.
	watcherRetry    = 250 * time.Millisecond
	watcherRetryMax = time.Second
	// For a follower. The second read fits into OwnReadMargin, later ones are far apart: all
	// followers read while the store is away.
	followerRetry    = 500 * time.Millisecond
	followerRetryMax = 4 * time.Second
	followerGrowth   = 4
	watcherGrowth    = 2
	// retryJitter is the random share of a pause.
	retryJitter = 0.5
)
