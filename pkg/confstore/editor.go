package confstore

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"limpetspan/core/config"
	"limpetspan/pkg/store"
)

// MaxEntries is how many entries one change may touch: with head and the
// history it stays within the 128 operations that the published gateway
// takes in one transaction by default.
const MaxEntries = 100

// updateAttempts bounds how often Update begins again after a conflict.
const updateAttempts = 10

// Errors of changing.
var (
	// ErrNoChange: the configuration is already as wished.
	ErrNoChange = errors.New("confstore: nothing changes")
	// ErrTooManyEntries: see MaxEntries.
	ErrTooManyEntries = errors.New("confstore: too many entries in one change")
	// ErrStoreBehind: the store holds a lower revision than the one in force,
	// as after a restore from a backup.
	ErrStoreBehind = errors.New("confstore: the store is behind the revision in force")
)

// Meta says who changes the configuration and why.
type Meta struct{ Author, Reason string }

// Editor makes changes. It may be used by several goroutines.
type Editor struct {
	reader reader
	// Now and NewID may be replaced before the first use.
	Now   func() time.Time
	NewID func() string
	// Retry is the pause before a lost answer is looked into again.
	Retry time.Duration
}

// NewEditor returns an editor of the configuration under the prefix.
func NewEditor(s store.Store, prefix string) *Editor {
	return &Editor{
		reader: reader{store: s, keys: newKeys(prefix)},
		Now:    time.Now,
		NewID:  rand.Text,
		Retry:  200 * time.Millisecond,
	}
}

// Calls counts the editor's calls to the store.
func (e *Editor) Calls() *Calls { return &e.reader.calls }

// Load reads the full document; it is empty before the first change.
func (e *Editor) Load(ctx context.Context) (*config.Document, error) { return e.reader.load(ctx, nil) }

// Latest returns the document in the store, reading only what base lacks.
func (e *Editor) Latest(ctx context.Context, base *config.Document) (*config.Document, error) {
	if base == nil {
		return e.reader.load(ctx, nil)
	}
	h, _, err := e.reader.head(ctx)
	if err != nil {
		return nil, err
	}
	if h.is(base) && !h.Restoring {
		return base, nil
	}
	if h.Revision < base.Revision {
		return nil, fmt.Errorf("%w: %d, in force is %d", ErrStoreBehind, h.Revision, base.Revision)
	}
	doc, _, err := e.reader.advance(ctx, base, h)
	return doc, err
}

// Commit brings the content of after in force, as the change that follows
// base. It returns the document as accepted. Errors are config.Problems,
// *Conflict, *UnsettledError, ErrNoChange, ErrTooManyEntries or the store's.
func (e *Editor) Commit(ctx context.Context, base, after *config.Document, meta Meta) (*config.Document, error) {
	change := config.Diff(base, after)
	if change.IsEmpty() {
		return nil, ErrNoChange
	}
	if n := change.EntryCount(); n > MaxEntries {
		return nil, fmt.Errorf("%w: %d, at most %d", ErrTooManyEntries, n, MaxEntries)
	}
	change.ChangeID = e.NewID()
	change.Author, change.Reason = meta.Author, meta.Reason
	change.At = e.Now().UTC().Format(time.RFC3339)
	next, err := config.Apply(base, &change)
	if err != nil {
		return nil, err
	}
	if err := config.CheckChange(base, next); err != nil {
		return nil, err
	}
	if err := e.put(ctx, base, next, &change); err != nil {
		return nil, err
	}
	return next, nil
}

// Update commits what edit makes of the latest document, and begins again when
// somebody else was faster. base spares the full read; it may be nil. edit
// must not change the document it gets and may be called several times.
func (e *Editor) Update(ctx context.Context, base *config.Document, meta Meta, edit func(*config.Document) (*config.Document, error)) (*config.Document, error) {
	base, err := e.Latest(ctx, base)
	if err != nil {
		return nil, err
	}
	for attempt := 1; ; attempt++ {
		after, err := edit(base)
		if err != nil {
			return nil, err
		}
		next, err := e.Commit(ctx, base, after, meta)
		conflict, lost := errors.AsType[*Conflict](err)
		if !lost || attempt == updateAttempts {
			return next, err
		}
		base = conflict.Current
	}
}
