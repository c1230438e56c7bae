package confstore

import "sync/atomic"

// Calls counts what a reader, editor or follower asked of the store, which
// charges for each call and for each waiting watch.
type Calls struct {
	Reads   atomic.Int64
	Writes  atomic.Int64
	Watches atomic.Int64
}
