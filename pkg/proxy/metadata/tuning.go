package metadata

import "time"

// Timeouts and intervals.
const (
	// storeTimeout bounds a call to the store.
	storeTimeout = 800 * time.Millisecond
	// loadTimeout bounds a load of the whole copy. It is longer than storeTimeout because an
	// aborted load costs as much as a completed one.
	loadTimeout = 3 * time.Second
	// dialTimeout bounds opening a link to another daemon.
	dialTimeout = 300 * time.Millisecond
	// catchUpTimeout bounds fetching a newer configuration from the other end of a link. The entry
	// waits for the home's welcome meanwhile.
	catchUpTimeout = dialTimeout / 2
	// catchUpRetry is the pause after a fetch that did not bring the wanted version.
	catchUpRetry = 250 * time.Millisecond
	// refreshInterval is the least time between questions for a newer configuration that are asked
	// because of an unknown key.
	refreshInterval = 250 * time.Millisecond
	// idleLinkTimeout is how long a link may be idle, or its answers unread, before it is closed. No
	// follower waits longer for an answer.
	idleLinkTimeout = 10 * time.Second
)
