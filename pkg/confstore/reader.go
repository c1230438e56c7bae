package confstore

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"limpetspan/core/config"
	"limpetspan/pkg/store"
)

// maxAdvance is the longest gap that is closed by reading single changes; one
// more costs a read each, while a full document costs five.
const maxAdvance = 16

// loadAttempts bounds how often a load begins again because of a change.
const loadAttempts = 5

// Errors of reading.
var (
	// ErrRestoring: daemons are writing the configuration back to a store that
	// was restored from a backup; it takes seconds.
	ErrRestoring = errors.New("confstore: the store's configuration is being written back; try again")
	// ErrNotKept: the revision is beyond the history, or was never made.
	ErrNotKept = errors.New("confstore: the revision is not in the history")
	// ErrBusy: changes came faster than the document could be read.
	ErrBusy = errors.New("confstore: the configuration changed too often while it was read")
	// errUnreadable: a change in the history cannot be decoded.
	errUnreadable = errors.New("confstore: the change cannot be decoded")
)

// reader reads the configuration from the store and counts its calls.
type reader struct {
	store store.Store
	keys  keys
	calls Calls
	// unreadable are the values that could not be decoded.
	unreadable unreadableValues
}

// head returns the head and the store revision of its last change; both are
// zero before the first change.
func (r *reader) head(ctx context.Context) (head, store.Revision, error) {
	var h head
	kv, err := r.get(ctx, r.keys.head())
	if err != nil || kv == nil {
		return h, 0, err
	}
	if err := config.Decode(kv.Value, maxValueSize, &h); err != nil {
		return h, 0, fmt.Errorf("confstore: head: %w", err)
	}
	return h, kv.ModRevision, nil
}

func (r *reader) get(ctx context.Context, key string) (*store.KeyValue, error) {
	r.calls.Reads.Add(1)
	kv, err := r.store.Get(ctx, key)
	if err != nil {
		return nil, fmt.Errorf("confstore: read %s: %w", key, err)
	}
	return kv, nil
}

func (r *reader) list(ctx context.Context, prefix string) ([]store.KeyValue, store.Revision, error) {
	r.calls.Reads.Add(1)
	kvs, revision, err := r.store.List(ctx, prefix)
	if err != nil {
		return nil, 0, fmt.Errorf("confstore: list %s: %w", prefix, err)
	}
	return kvs, revision, nil
}

// load reads the full document: five calls. Every change swaps head, so a
// head that is the same before and after proves that the lists between belong
// to one revision. known is an earlier document or nil, see past.
func (r *reader) load(ctx context.Context, known *config.Document) (*config.Document, error) {
	before, at, err := r.head(ctx)
	for range loadAttempts {
		if err != nil {
			return nil, err
		}
		if before.Restoring {
			return nil, ErrRestoring
		}
		doc, err := r.entries(ctx, before, known)
		if err != nil {
			return nil, err
		}
		after, now, err := r.head(ctx)
		if err != nil {
			return nil, err
		}
		if now == at {
			return doc, nil
		}
		before, at = after, now
	}
	return nil, ErrBusy
}

func (r *reader) entries(ctx context.Context, h head, known *config.Document) (*config.Document, error) {
	doc := h.document()
	p := &past{reader: r, head: h, known: known}
	var err error
	if doc.Groups, err = listEntries(ctx, r, r.keys.groups(), p, (*config.Past).Group); err != nil {
		return nil, err
	}
	if doc.Kinds, err = listEntries(ctx, r, r.keys.kinds(), p, (*config.Past).Kind); err != nil {
		return nil, err
	}
	if doc.Takeovers, err = listEntries(ctx, r, r.keys.takeovers(), p, (*config.Past).Takeover); err != nil {
		return nil, err
	}
	return doc, nil
}

// listEntries reads the entries under the prefix. One that cannot be decoded has the value that past returns.
func listEntries[K ~string, V any](ctx context.Context, r *reader, prefix string, p *past, value func(*config.Past, K) (*V, error)) (map[K]*V, error) {
	kvs, _, err := r.list(ctx, prefix)
	if err != nil {
		return nil, err
	}
	entries := make(map[K]*V, len(kvs))
	for _, kv := range kvs {
		name := K(strings.TrimPrefix(kv.Key, prefix))
		entry, err := decodeEntry[V](kv.Value)
		if err != nil {
			r.noteUnreadable(&kv, err)
			if entry, err = pastValue(ctx, p, name, value, err); err != nil {
				return nil, fmt.Errorf("confstore: %s: %w", kv.Key, err)
			}
		}
		if entry != nil {
			entries[name] = entry
		}
	}
	return entries, nil
}

// record returns the change that made the revision, or ErrNotKept.
func (r *reader) record(ctx context.Context, revision config.Revision) (*Record, error) {
	kv, err := r.get(ctx, r.keys.change(revision))
	if err != nil {
		return nil, err
	}
	if kv == nil {
		return nil, fmt.Errorf("%w: %d", ErrNotKept, revision)
	}
	record, err := r.decodeRecord(kv)
	if err != nil {
		return nil, err
	}
	if record.Change.Revision != revision {
		return nil, fmt.Errorf("%w: %d", ErrNotKept, revision)
	}
	return record, nil
}

func (r *reader) decodeRecord(kv *store.KeyValue) (*Record, error) {
	var record Record
	if err := config.Decode(kv.Value, maxRecordSize, &record); err != nil {
		r.noteUnreadable(kv, err)
		return nil, fmt.Errorf("%w: %s: %w", errUnreadable, kv.Key, err)
	}
	return &record, nil
}

// advance returns the document at the head's revision, and the changes that
// led there from doc; no changes when the full document had to be read.
func (r *reader) advance(ctx context.Context, doc *config.Document, to head) (*config.Document, []config.Change, error) {
	if to.Restoring {
		return nil, nil, ErrRestoring
	}
	if to.Revision < doc.Revision || to.Revision-doc.Revision > maxAdvance {
		full, err := r.load(ctx, doc)
		return full, nil, err
	}
	var changes []config.Change
	for next := doc; ; {
		if next.Revision == to.Revision {
			return next, changes, nil
		}
		record, err := r.record(ctx, next.Revision+1)
		if err != nil && !errors.Is(err, ErrNotKept) && !errors.Is(err, errUnreadable) {
			return nil, nil, err
		}
		if err == nil {
			changes = append(changes, record.Change)
			next, err = config.Apply(next, &record.Change)
		}
		if err != nil {
			full, err := r.load(ctx, doc)
			return full, nil, err
		}
	}
}
