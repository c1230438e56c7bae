package metadata

import "time"

// Times of the copy.
const (
	// storeTimeout bounds a call to the store, which answers in milliseconds.
	storeTimeout = 800 * time.Millisecond
	// loadTimeout bounds the read of a whole copy of many pages. An answer that is given up
	// has cost the store and the network as much as one that is used.
	loadTimeout = 3 * time.Second
	// dialTimeout bounds opening a link to another daemon.
	dialTimeout = 300 * time.Millisecond
	// catchUpTimeout bounds fetching a newer configuration from the other end of a link,
	// within which the entry waits for the home's welcome; catchUpRetry is the pause
	// after one that brought none.
	catchUpTimeout = dialTimeout / 2
	catchUpRetry   = 250 * time.Millisecond
	// newsEvery is the pause between questions for a newer configuration that callers with
	// unknown keys cause: a key that has just been added works a quarter of a second later at
	// the latest where such callers come all the time.
	newsEvery = 250 * time.Millisecond
	// idleLink is how long a link of a daemon is kept that asks nothing, and one waited for
	// that does not read: longer than any follower waits.
	idleLink = 10 * time.Second
)
