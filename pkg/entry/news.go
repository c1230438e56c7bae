package entry

import "sync/atomic"

// news wakes all who wait when something changed. A waiter takes the channel
// before it looks at what it waits for, so that no change is missed.
type news struct {
	ch atomic.Pointer[chan struct{}]
}

func newNews() *news {
	n := &news{}
	n.announce()
	return n
}

// next returns a channel that is closed at the next change.
func (n *news) next() <-chan struct{} { return *n.ch.Load() }

func (n *news) announce() {
	ch := make(chan struct{})
	if old := n.ch.Swap(&ch); old != nil {
		close(*old)
	}
}
