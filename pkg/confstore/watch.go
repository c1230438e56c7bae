package confstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"limpetspan/core/config"
	"limpetspan/pkg/store"
)

// Reasons for which a watch is begun anew.
var (
	errWatchEnded  = errors.New("confstore: the watch ended")
	errWatchSilent = errors.New("confstore: the watch missed a change")
	errNoWatcher   = errors.New("confstore: this daemon is to watch no more")
)

// watchLoop watches the store while ShouldWatch says so.
func (f *Follower) watchLoop(ctx context.Context) error {
	pause := f.timing.RetryMin
	for {
		if !f.watches() {
			if err := sleep(ctx, f.timing.Recheck); err != nil {
				return err
			}
			continue
		}
		began := time.Now()
		err := f.watch(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, errNoWatcher) {
			continue
		}
		f.logger.Debug("watch of the configuration ended", "error", err)
		if time.Since(began) > f.timing.RetryMax {
			pause = f.timing.RetryMin
		}
		if err := sleep(ctx, jitter(pause)); err != nil {
			return err
		}
		pause = min(2*pause, f.timing.RetryMax)
	}
}

// watch follows the history in the store until the watch fails. It begins at
// the store revision at which head was read, so that nothing falls between.
func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	at, err := f.startingPoint(ctx)
	if err != nil {
		return err
	}
	f.reader.calls.Watches.Add(1)
	events, err := f.reader.store.Watch(ctx, f.reader.keys.changes(), at)
	if err != nil {
		return err
	}
	recheck := time.NewTicker(f.timing.Recheck)
	defer recheck.Stop()
	poll := time.NewTimer(jitter(f.timing.WatcherPoll))
	defer poll.Stop()
	heard := false
	for {
		select {
		case event, ok := <-events:
			if !ok {
				return errWatchEnded
			}
			heard = true
			if err := f.heard(ctx, event); err != nil {
				return err
			}
		case <-recheck.C:
			if !f.watches() {
				return errNoWatcher
			}
		case <-poll.C:
			if err := f.proveWatch(ctx, heard); err != nil {
				return err
			}
			heard = false
			poll.Reset(jitter(f.timing.WatcherPoll))
		}
	}
}

// startingPoint catches up with head and returns the store revision of that.
func (f *Follower) startingPoint(ctx context.Context) (store.Revision, error) {
	call, cancel := context.WithTimeout(ctx, f.timing.CallTimeout)
	defer cancel()
	kvs, at, err := f.reader.list(call, f.reader.keys.head())
	if err != nil {
		return 0, err
	}
	var h head
	if len(kvs) > 0 {
		if err := config.Decode(kvs[0].Value, maxValueSize, &h); err != nil {
			return 0, fmt.Errorf("confstore: head: %w", err)
		}
	}
	return at, f.followHead(call, h)
}

// heard takes up one change from the watch.
func (f *Follower) heard(ctx context.Context, event store.Event) error {
	if event.Deleted {
		return nil
	}
	record, err := f.reader.decodeRecord(&event.KeyValue)
	if err == nil && f.take([]config.Change{record.Change}, "store watch") {
		return nil
	}
	return f.readHead(ctx)
}

// proveWatch reads head by a call of its own. A watch's connection can go
// silent for good without an error while new connections work; the daemon
// would then miss every change and so would all that learn from it. A head
// that is newer, with nothing heard since the last look, shows it.
func (f *Follower) proveWatch(ctx context.Context, heard bool) error {
	before := f.Current().Revision
	if err := f.readHead(ctx); err != nil {
		return err
	}
	if f.Current().Revision > before && !heard {
		return errWatchSilent
	}
	return nil
}
