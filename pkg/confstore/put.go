package confstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"limpetspan/core/config"
	"limpetspan/pkg/store"
)

// maxSingleReads is how many keys are read one by one; above it lists are cheaper.
const maxSingleReads = 8

// put writes the change, guarded on head. Each round begins with head, which
// tells what became of the rounds before: if the answer of a swap was lost,
// the change is found by its own id, in head or, when others have followed
// already, in its slot of the history. Swapping again while head is still at
// base is safe also when the earlier swap is only late: both carry the same
// change and only one can meet its guard.
func (e *Editor) put(ctx context.Context, base, next *config.Document, change *config.Change) error {
	values, err := encodeChange(e.reader.keys, base, next, change)
	if err != nil {
		return err
	}
	var lost error
	for {
		done, err := e.round(ctx, base, change, values)
		switch {
		case done:
			return nil
		case err != nil && isFinal(err, lost):
			return err
		case err != nil && !errors.Is(err, errSwapMissed):
			lost = err
		}
		if err := sleep(ctx, e.Retry); err != nil {
			if lost == nil {
				return err
			}
			return &UnsettledError{ChangeID: change.ChangeID, Revision: change.Revision, Cause: lost}
		}
	}
}

var errSwapMissed = errors.New("confstore: the guard was not met")

// lostError marks an error after which the change may have taken effect.
type lostError struct{ error }

func (e lostError) Unwrap() error { return e.error }

// isFinal reports whether err ends the change. Once an answer was lost only a
// settled state does: a store that cannot be read proves nothing.
func isFinal(err, lost error) bool {
	if _, ok := errors.AsType[*Conflict](err); ok {
		return true
	}
	if _, ok := errors.AsType[lostError](err); ok || errors.Is(err, errSwapMissed) {
		return false
	}
	return lost == nil
}

// round looks at head and, while it is at base, swaps once.
func (e *Editor) round(ctx context.Context, base *config.Document, change *config.Change, values map[string][]byte) (done bool, err error) {
	h, guard, err := e.reader.head(ctx)
	if err != nil {
		return false, err
	}
	if h.Restoring {
		return false, ErrRestoring
	}
	if !h.is(base) {
		return e.settled(ctx, base, change, h)
	}
	swaps, err := e.swaps(ctx, guard, values)
	if err != nil {
		return false, err
	}
	e.reader.calls.Writes.Add(1)
	result, err := e.reader.store.CompareAndSwap(ctx, swaps...)
	switch {
	case errors.Is(err, store.ErrRefused):
		return false, fmt.Errorf("confstore: change refused: %w", err)
	case err != nil:
		return false, lostError{err}
	case !result.Swapped:
		return false, errSwapMissed
	}
	return true, nil
}

// settled decides what became of the change now that head has moved.
func (e *Editor) settled(ctx context.Context, base *config.Document, change *config.Change, h head) (bool, error) {
	if h.ChangeID == change.ChangeID {
		return true, nil
	}
	if h.Revision < base.Revision {
		return false, fmt.Errorf("%w: %d, the change was made from %d", ErrStoreBehind, h.Revision, base.Revision)
	}
	if h.Revision > change.Revision {
		record, err := e.reader.record(ctx, change.Revision)
		if err != nil && !errors.Is(err, ErrNotKept) {
			return false, err
		}
		if err == nil && record.Change.ChangeID == change.ChangeID {
			return true, nil
		}
	}
	current, winners, err := e.reader.advance(ctx, base, h)
	if err != nil {
		return false, err
	}
	return false, &Conflict{Base: base, Current: current, Winners: winners}
}

// swaps adds to each value the store revision its key must have. Keys change
// only together with head, so revisions read after head are right as long as
// head's guard holds.
func (e *Editor) swaps(ctx context.Context, guard store.Revision, values map[string][]byte) ([]store.Swap, error) {
	revisions, err := e.revisions(ctx, slices.Sorted(maps.Keys(values)))
	if err != nil {
		return nil, err
	}
	revisions[e.reader.keys.head()] = guard
	swaps := make([]store.Swap, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		value := values[key]
		if value == nil && revisions[key] == 0 {
			continue
		}
		swaps = append(swaps, store.Swap{Key: key, Expect: revisions[key], Value: value, Delete: value == nil})
	}
	return swaps, nil
}

// revisions returns the store revisions of the keys other than head; absent
// keys are left out.
func (e *Editor) revisions(ctx context.Context, names []string) (map[string]store.Revision, error) {
	revisions := make(map[string]store.Revision, len(names))
	single := len(names) <= maxSingleReads
	for _, key := range names {
		if key == e.reader.keys.head() || (!single && !e.isHistory(key)) {
			continue
		}
		kv, err := e.reader.get(ctx, key)
		if err != nil {
			return nil, err
		}
		if kv != nil {
			revisions[key] = kv.ModRevision
		}
	}
	if single {
		return revisions, nil
	}
	for _, prefix := range []string{e.reader.keys.groups(), e.reader.keys.kinds(), e.reader.keys.takeovers()} {
		kvs, _, err := e.reader.list(ctx, prefix)
		if err != nil {
			return nil, err
		}
		for _, kv := range kvs {
			revisions[kv.Key] = kv.ModRevision
		}
	}
	return revisions, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
