package confstore

import (
	"errors"
	"sync"
	"sync/atomic"

	"limpetspan/core/config"
)

// Bounds of the changes a daemon keeps for its peers.
const (
	maxKept = 256
	// maxKeptSize in bytes, encoded; a daemon has 32 MB for all of its control.
	maxKeptSize = 2 << 20
)

// keptChange is a change with its encoded size.
type keptChange struct {
	change config.Change
	size   int
}

// ledger holds the document in force and the changes that led to it. It only
// ever goes to higher revisions.
type ledger struct {
	current atomic.Pointer[config.Document]

	mu sync.Mutex
	// kept is ascending without gaps; its last change made current.
	kept []keptChange
	size int
	// subscribers are called in the order of revisions, under mu.
	subscribers []func(*config.Document)
}

func newLedger() *ledger {
	l := &ledger{}
	l.current.Store(config.EmptyDocument())
	return l
}

// errStale: the change is of a revision that is in force or was.
var errStale = errors.New("confstore: the revision is not newer")

// apply brings one change in force. Changes come from several sources at
// once, late and more than once: one that is not newer is errStale, and one
// that does not follow directly is the error of config.Apply.
func (l *ledger) apply(change *config.Change) error {
	size := encodedSize(change)
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.current.Load()
	if change.Revision <= current.Revision {
		if change.Revision == current.Revision && change.ChangeID != current.ChangeID {
			return config.ErrDiverged
		}
		return errStale
	}
	next, err := config.Apply(current, change)
	if err != nil {
		return err
	}
	l.keep(*change, size)
	l.publish(next)
	return nil
}

// replace brings a full document in force, if it is newer.
func (l *ledger) replace(doc *config.Document) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !config.IsNewer(l.current.Load(), doc) {
		return false
	}
	l.kept, l.size = nil, 0
	l.publish(doc)
	return true
}

func (l *ledger) publish(doc *config.Document) {
	l.current.Store(doc)
	for _, f := range l.subscribers {
		f(doc)
	}
}

func (l *ledger) keep(change config.Change, size int) {
	l.kept = append(l.kept, keptChange{change, size})
	l.size += size
	for len(l.kept) > maxKept || l.size > maxKeptSize {
		l.size -= l.kept[0].size
		l.kept[0] = keptChange{}
		l.kept = l.kept[1:]
	}
}

// subscribe calls f with the present document, if there is one, and with each
// later one.
func (l *ledger) subscribe(f func(*config.Document)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subscribers = append(l.subscribers, f)
	if doc := l.current.Load(); doc.Revision > 0 {
		f(doc)
	}
}

// since returns the changes after a revision, or the full document when they
// are not all kept; neither when there is nothing newer.
func (l *ledger) since(after config.Revision) ([]config.Change, *config.Document) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.current.Load()
	if after >= current.Revision {
		return nil, nil
	}
	missing := int(current.Revision - after)
	if missing > len(l.kept) {
		return nil, current
	}
	changes := make([]config.Change, 0, missing)
	for _, kept := range l.kept[len(l.kept)-missing:] {
		changes = append(changes, kept.change)
	}
	return changes, nil
}

func encodedSize(change *config.Change) int {
	data, err := config.Encode(change)
	if err != nil {
		return 0
	}
	return len(data)
}
