package store

import (
	"context"
	"sort"
)

// Watcher is a cursor over the log of changes. It is used by one goroutine.
type Watcher struct {
	engine *Engine
	keys   KeyRange
	// next is the first revision not yet delivered.
	next  int64
	epoch int
}

// Watch begins a watch of the keys at the revision start; zero: from now on.
func (e *Engine) Watch(keys KeyRange, start int64) *Watcher {
	e.mu.Lock()
	defer e.mu.Unlock()
	if start <= 0 {
		start = e.state.revision + 1
	}
	return &Watcher{engine: e, keys: keys, next: start, epoch: e.epoch}
}

// Next waits for changes and returns them, in order, with the revision they
// lead to. All events of one revision come together. It returns no events when
// interrupt is closed first.
func (w *Watcher) Next(ctx context.Context, interrupt <-chan struct{}) ([]Event, int64, error) {
	for {
		events, revision, changed, err := w.poll()
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-interrupt:
			return nil, 0, nil
		case <-changed:
		}
	}
}

func (w *Watcher) poll() ([]Event, int64, <-chan struct{}, error) {
	e := w.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.epoch != e.epoch {
		return nil, 0, nil, ErrRestored
	}
	if w.next <= e.compacted {
		return nil, e.compacted, nil, ErrCompacted
	}
	from := sort.Search(len(e.log), func(i int) bool { return e.log[i].ModRevision >= w.next })
	var events []Event
	for _, ev := range e.log[from:] {
		if w.keys.contains(ev.Key) {
			events = append(events, ev)
		}
	}
	w.next = max(w.next, e.state.revision+1)
	return events, e.state.revision, e.changed, nil
}
