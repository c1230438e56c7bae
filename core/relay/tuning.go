package relay

import "time"

// Limits of the age of a proof.
const (
	// OwnReadMargin of the bound is left for the daemon's own read when its proof has
	// become old: one read that is not answered, 0.8 s, and one that is.
	OwnReadMargin = time.Second
	// leastBudget and mostBudget bound the age at which a daemon reads the store itself.
	// A shorter one would be all calls; a longer one gains little, and leaves a change
	// unnoticed for longer than operators expect, whatever bound they set.
	leastBudget = time.Second
	mostBudget  = 5 * time.Second
	// watchParts is how many watches of a relay fit into the budget of its followers. A
	// proof is up to two watches old when the next one comes; the third part is for
	// asking another relay.
	watchParts = 3
	// youngParts is that number where callers are refused without a young proof: with 0.8 s in
	// place of 1.3 s for a watch a bound of five seconds leaves three of an outage, not two.
	youngParts = 5
	// answerSlack is how much later than usual a relay's next proof may be: the store is
	// slow at times, and answers within this time or not at all.
	answerSlack = 800 * time.Millisecond
	// answerTimeout bounds the way to a relay and back.
	answerTimeout = 400 * time.Millisecond
	// gatherFor is how long a watch waits for more changes after one that has ended with some,
	// twice as long each time while they go on, and at most that part of the budget; a change
	// is known later by as much.
	gatherFor   = 200 * time.Millisecond
	gatherParts = 6
	// emptyAsk is how long a relay may take that has no copy itself yet.
	emptyAsk = 400 * time.Millisecond
	// relaysFirst is for how long a daemon that has just started asks relays alone, and up to
	// as long again by its draw.
	relaysFirst = 2 * time.Second
	// leastAsk is what has to be left until the daemon's own read for a question to a
	// relay: with less, answers that bring nothing new would follow each other at once.
	leastAsk = 2 * answerTimeout
	// avoidFor is how long a relay is left alone that did not answer or had an old proof.
	avoidFor = 2 * time.Second
	// mostSilent relays are waited for between two calls to the store by a daemon that watches
	// it: one that is cut off from all would otherwise miss the store's return for seconds.
	mostSilent = 2
	// avoidWithoutProof is that time for a daemon without a proof that counts. A question costs
	// the relay nothing to speak of, and a store that is away nothing at all.
	avoidWithoutProof = 500 * time.Millisecond
	// mostAsked relays are asked, both of the own zone first. The store may turn several away
	// at once, and a daemon that hears of it by nobody refuses its callers.
	mostAsked = 8
)

// Pauses after a failed read of the store, the first one and the longest.
const (
	// A daemon without a configuration serves nobody, so it asks often; its pauses grow
	// with the outage to emptyShare of it, which is by how much an outage gets longer for
	// callers at most.
	emptyRetry     = 80 * time.Millisecond
	emptyRetryMost = time.Second
	emptyShare     = 0.1
	// The followers of a relay wait for it.
	watcherRetry     = 250 * time.Millisecond
	watcherRetryMost = time.Second
	// Others have a configuration, and come all at once when the store is away: the second
	// read has its place in OwnReadMargin, later ones are far apart.
	followerRetry     = 500 * time.Millisecond
	followerRetryMost = 4 * time.Second
	followerGrowth    = 4
	watcherGrowth     = 2
	// retryJitter is the share of a pause by which daemons differ, so that a fleet does
	// not ask in one moment again and again.
	retryJitter = 0.5
)
