package entry

import (
	"sync"

	"limpetspan/core"
)

// callerShards spreads the callers over several locks.
const callerShards = 64

// place is a daemon that serves a request.
type place struct {
	daemon core.DaemonID
	// addr is empty for this daemon.
	addr string
}

func (p place) local() bool { return p.addr == "" }

// pin is where a caller's open transaction lives.
type pin struct {
	place
	group core.GroupID
	// durable is set once a statement of the transaction asked for it: then
	// its commit is to be confirmed.
	durable bool
}

// work is what the entry knows of a caller: only while it waits here, runs at
// another daemon, or has an open transaction.
type work struct {
	pin *pin
	// at is the other daemon where the caller's request runs, in group.
	at    place
	group core.GroupID
	// cancelled is closed to end a wait.
	cancelled chan struct{}
}

func (w *work) empty() bool { return w.pin == nil && w.at.local() && w.cancelled == nil }

// callers holds the work of callers.
type callers struct {
	shards [callerShards]struct {
		mu   sync.Mutex
		work map[core.CallerID]*work
	}
}

func newCallers() *callers {
	c := &callers{}
	for i := range c.shards {
		c.shards[i].work = make(map[core.CallerID]*work)
	}
	return c
}

// update changes the caller's work under its lock and forgets it when it is empty.
func (c *callers) update(id core.CallerID, f func(*work)) {
	shard := &c.shards[id.Number%callerShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	w := shard.work[id]
	if w == nil {
		w = &work{}
		shard.work[id] = w
	}
	f(w)
	if w.empty() {
		delete(shard.work, id)
	}
}

// get returns a copy of the caller's work.
func (c *callers) get(id core.CallerID) work {
	shard := &c.shards[id.Number%callerShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if w := shard.work[id]; w != nil {
		return *w
	}
	return work{}
}

// remove forgets the caller and returns its last work. A wait is ended.
func (c *callers) remove(id core.CallerID) work {
	shard := &c.shards[id.Number%callerShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	w := shard.work[id]
	if w == nil {
		return work{}
	}
	delete(shard.work, id)
	w.endWait()
	return *w
}

// endWait ends the caller's wait, if there is one.
func (w *work) endWait() {
	if w.cancelled != nil {
		close(w.cancelled)
		w.cancelled = nil
	}
}
