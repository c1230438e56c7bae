package confstore

import "sync/atomic"

// Calls counts what a reader, editor or follower asked of the store, which
// charges for each call and for each waiting watch.
type Calls struct {
	// Unreadable counts the entries and changes that could not be decoded, each of their store revisions once.
	Unreadable atomic.Int64

	Reads   atomic.Int64
	Writes  atomic.Int64
	Watches atomic.Int64
}
