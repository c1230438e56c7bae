package confstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"limpetspan/core/config"
	"limpetspan/pkg/store"
)

// restoreStuck is how long a write-back may stand still before another daemon
// begins it anew.
const restoreStuck = 10 * time.Second

// errRestoreLost: another daemon's write-back or an editor was faster.
var errRestoreLost = errors.New("confstore: the write-back lost its guard")

// writeBack writes the document in force back to a store that lost it, as
// after a restore from a backup. Without it operators would go on from the
// store's old revision, and daemons, which never go back, would ignore every
// change until its revision had passed the one in force: accepted, and in
// force nowhere.
//
// The document may need more operations than one transaction takes. Head is
// therefore marked first, so that editors and loading daemons wait, and is
// cleared with the last batch. Every batch swaps head, so of several daemons
// only one gets on.
func (r *reader) writeBack(ctx context.Context, doc *config.Document, guard store.Revision) error {
	marked := headOf(doc)
	marked.Restoring = true
	guard, err := r.swapWithHead(ctx, marked, guard, nil)
	if err != nil {
		return err
	}
	swaps, err := r.missing(ctx, doc)
	if err != nil {
		return err
	}
	for batch := range slices.Chunk(swaps, MaxEntries) {
		if guard, err = r.swapWithHead(ctx, marked, guard, batch); err != nil {
			return err
		}
	}
	_, err = r.swapWithHead(ctx, headOf(doc), guard, nil)
	return err
}

// swapWithHead swaps a batch together with head and returns head's new guard.
func (r *reader) swapWithHead(ctx context.Context, h head, guard store.Revision, batch []store.Swap) (store.Revision, error) {
	value, err := config.Encode(h)
	if err != nil {
		return 0, err
	}
	r.calls.Writes.Add(1)
	swaps := append([]store.Swap{{Key: r.keys.head(), Expect: guard, Value: value}}, batch...)
	result, err := r.store.CompareAndSwap(ctx, swaps...)
	if err != nil {
		return 0, fmt.Errorf("confstore: write back: %w", err)
	}
	if !result.Swapped {
		return 0, errRestoreLost
	}
	return result.Revision, nil
}

// missing returns the swaps that make the store's entries those of doc.
func (r *reader) missing(ctx context.Context, doc *config.Document) ([]store.Swap, error) {
	wanted := make(map[string][]byte)
	for id, group := range doc.Groups {
		if err := encodeInto(wanted, r.keys.group(string(id)), group); err != nil {
			return nil, err
		}
	}
	for name, kind := range doc.Kinds {
		if err := encodeInto(wanted, r.keys.kind(name), kind); err != nil {
			return nil, err
		}
	}
	for name, takeover := range doc.Takeovers {
		if err := encodeInto(wanted, r.keys.takeover(name), takeover); err != nil {
			return nil, err
		}
	}
	var swaps []store.Swap
	for _, prefix := range []string{r.keys.groups(), r.keys.kinds(), r.keys.takeovers()} {
		kvs, _, err := r.list(ctx, prefix)
		if err != nil {
			return nil, err
		}
		for _, kv := range kvs {
			value, ok := wanted[kv.Key]
			delete(wanted, kv.Key)
			if !ok || !bytes.Equal(value, kv.Value) {
				swaps = append(swaps, store.Swap{Key: kv.Key, Expect: kv.ModRevision, Value: value, Delete: !ok})
			}
		}
	}
	for key, value := range wanted {
		swaps = append(swaps, store.Swap{Key: key, Value: value})
	}
	return swaps, nil
}

// restore writes the document in force back when this daemon watches and
// nobody else is at it.
func (f *Follower) restore(ctx context.Context, current *config.Document) error {
	h, guard, err := f.reader.head(ctx)
	switch {
	case err != nil:
		return err
	case h.Revision > current.Revision, h.Revision == current.Revision && !h.Restoring:
		return nil
	case h.Restoring && !f.stuck(guard):
		return nil
	}
	if err := f.reader.writeBack(ctx, current, guard); err != nil {
		return err
	}
	f.logger.Warn("configuration in force written back to the store", "revision", current.Revision, "store_had", h.Revision)
	return nil
}

// stuck reports whether head has stood still during a write-back.
func (f *Follower) stuck(guard store.Revision) bool {
	f.behindMu.Lock()
	defer f.behindMu.Unlock()
	if f.stuckGuard != guard {
		f.stuckGuard, f.stuckSince = guard, time.Now()
		return false
	}
	return time.Since(f.stuckSince) > restoreStuck
}
