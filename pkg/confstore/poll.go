package confstore

import (
	"context"
	"errors"
	"time"

	"limpetspan/core/config"
)

// pollLoop reads head seldom while this daemon does not watch, in case no
// peer told it of a change, and at the start if no peer had a document.
func (f *Follower) pollLoop(ctx context.Context) error {
	pause := jitter(f.timing.Grace) + f.timing.Grace/2
	retry := f.timing.RetryMin
	for {
		if err := sleep(ctx, pause); err != nil {
			return err
		}
		pause = jitter(f.pollInterval())
		if f.watches() {
			continue
		}
		if err := f.readHead(ctx); err != nil {
			f.logger.Warn("configuration not read from the store", "error", err)
		}
		// Without any document the daemon serves nobody: it asks again soon.
		if f.Current().Revision == 0 {
			pause = jitter(retry)
			retry = min(2*retry, f.timing.RetryMax)
		}
	}
}

// pollInterval keeps the reads of the whole fleet at the same rate, whatever
// its size. It prevents that a small fleet misses changes for minutes when its
// few watchers are cut off from the store: any daemon that reads tells the rest,
// but five daemons that read every 110 s find a change after 22 s on average.
func (f *Follower) pollInterval() time.Duration {
	if f.options.Daemons == nil {
		return f.timing.Poll
	}
	scaled := time.Duration(f.options.Daemons()) * f.timing.PollPerDaemon
	return min(max(scaled, f.timing.WatcherPoll), f.timing.Poll)
}

// readHead catches up with the store if its head is newer.
func (f *Follower) readHead(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, f.timing.CallTimeout)
	defer cancel()
	h, _, err := f.reader.head(call)
	if err != nil {
		return err
	}
	return f.followHead(call, h)
}

// followHead catches up with a head that was just read.
func (f *Follower) followHead(ctx context.Context, h head) error {
	current := f.Current()
	if h.Revision <= current.Revision {
		return f.checkBehind(ctx, current, h)
	}
	doc, changes, err := f.reader.advance(ctx, current, h)
	if errors.Is(err, ErrRestoring) {
		return nil
	}
	if err != nil {
		return err
	}
	if changes == nil || !f.take(changes, "store") {
		f.takeDocument(doc, "store")
	}
	return nil
}

// checkBehind notices a store that holds less than what is in force, or
// something else under the same revision. The daemon keeps what it has; one
// that watches writes it back.
func (f *Follower) checkBehind(ctx context.Context, current *config.Document, h head) error {
	if h.is(current) && !h.Restoring {
		f.noteBehind(0)
		return nil
	}
	if f.noteBehind(current.Revision) {
		f.logger.Error("the store is behind the configuration in force, which is kept",
			"in_force", current.Revision, "change_id", current.ChangeID, "store", h.Revision, "store_change_id", h.ChangeID)
	}
	if !f.watches() {
		return nil
	}
	return f.restore(ctx, current)
}

// noteBehind records that the store lacks a revision (0: none) and reports
// whether that differs from the last record.
func (f *Follower) noteBehind(revision config.Revision) bool {
	f.behindMu.Lock()
	defer f.behindMu.Unlock()
	news := f.behind != revision
	f.behind = revision
	return news
}
