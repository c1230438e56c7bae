package metadata

import "time"

// Times of the copy.
const (
	// storeTimeout bounds a call to the store.
	storeTimeout = 800 * time.Millisecond
	// loadTimeout bounds the read of a whole copy. It is longer than storeTimeout because an
	// abandoned answer costs as much as one that is used.
	loadTimeout = 3 * time.Second
	// dialTimeout bounds opening a link to another daemon.
	dialTimeout = 300 * time.Millisecond
	// catchUpTimeout bounds fetching a newer configuration from the other end of a link,
	// within which the entry waits for the home's welcome; catchUpRetry is the pause
	// after one that brought none.
	catchUpTimeout = dialTimeout / 2
	catchUpRetry   = 250 * time.Millisecond
	// refreshInterval is the least pause between questions for a newer configuration on account of
	// unknown keys.
	refreshInterval = 250 * time.Millisecond
	// idleLinkTimeout is how long a link stays open that is idle or not read. It is longer than any
	// follower waits.
	idleLinkTimeout = 10 * time.Second
)
