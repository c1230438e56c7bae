package mirror

import (
	"bytes"
	"errors"
	"maps"
	"slices"
)

// Item is the state of one key of the store, or its deletion.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    uint64
	// Deleted is set in a change that deletes the key.
	Deleted bool
}

// equal reports whether two items are the same state of a key.
func (i Item) equal(o Item) bool {
	return i.Revision == o.Revision && i.Lease == o.Lease && bytes.Equal(i.Value, o.Value)
}

// maxChanges is the number of latest changes that are kept for followers; at times up to twice as
// many are. A follower that is further behind gets the whole copy.
const maxChanges = 4096

// Errors of Replace and Apply.
var (
	// ErrBehind is returned for data of an older position than the copy's.
	ErrBehind = errors.New("mirror: the source is behind the copy")
	// ErrOtherEra is returned for events of another era than the copy's.
	ErrOtherEra = errors.New("mirror: the events are of another era than the copy")
)

// Mirror is a copy of a part of the store. It is not safe for concurrent use.
type Mirror struct {
	position Position
	items    map[string]Item
	// changes are the latest changes. They are numbered, starting at firstChange.
	changes     []Item
	firstChange uint64
}

// New returns an empty copy.
func New() *Mirror { return &Mirror{items: make(map[string]Item)} }

// Position returns the position up to which the copy holds every change. It is zero before the
// first Replace.
func (m *Mirror) Position() Position { return m.position }

// Get returns the item of a key. It returns false if the key does not exist.
func (m *Mirror) Get(key string) (Item, bool) {
	item, ok := m.items[key]
	return item, ok
}

// All returns all items, sorted by key.
func (m *Mirror) All() []Item {
	list := make([]Item, 0, len(m.items))
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		list = append(list, m.items[key])
	}
	return list
}

// Replace replaces the copy by all keys as of the position, and returns what has changed.
func (m *Mirror) Replace(at Position, items []Item) ([]Item, error) {
	if at.Before(m.position) {
		return nil, ErrBehind
	}
	listed := make(map[string]bool, len(items))
	var changed []Item
	for _, item := range items {
		listed[item.Key] = true
		known, ok := m.items[item.Key]
		if ok && (known.equal(item) || at.Era == m.position.Era && item.Revision < known.Revision) {
			continue
		}
		changed = append(changed, item)
	}
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		if !listed[key] {
			changed = append(changed, Item{Key: key, Revision: at.Revision, Deleted: true})
		}
	}
	m.commit(at, changed)
	return changed, nil
}

// Apply applies the events up to the position, in their order, and returns those that were new.
func (m *Mirror) Apply(at Position, events []Item) ([]Item, error) {
	switch {
	case at.Era != m.position.Era:
		return nil, ErrOtherEra
	case at.Before(m.position):
		return nil, ErrBehind
	}
	var changed []Item
	// latest holds the revision of the last new event of each key.
	latest := make(map[string]Revision)
	for _, e := range events {
		known, ok := m.items[e.Key]
		newest := max(known.Revision, latest[e.Key])
		// Skip events that change nothing. The pages of a list are not one snapshot, so the copy may
		// already hold changes after its position, which the watch returns again. An event changes
		// nothing if it is not newer than the key's item in the copy or an earlier event of the key
		// in this batch, or if it deletes a key that is neither in the copy nor in an earlier event.
		if ok && e.Revision <= newest || e.Revision <= latest[e.Key] || !ok && e.Deleted && latest[e.Key] == 0 {
			continue
		}
		latest[e.Key] = e.Revision
		changed = append(changed, e)
	}
	m.commit(at, changed)
	return changed, nil
}

// commit applies the changes and keeps them for followers.
func (m *Mirror) commit(at Position, changed []Item) {
	m.position = at
	for _, c := range changed {
		if c.Deleted {
			delete(m.items, c.Key)
		} else {
			m.items[c.Key] = c
		}
	}
	m.changes = append(m.changes, changed...)
	if excess := len(m.changes) - maxChanges; excess > maxChanges {
		m.changes = slices.Clone(m.changes[excess:])
		m.firstChange += uint64(excess)
	}
}

// NextChange returns the number of the next change, from which a later call of Changes continues.
func (m *Mirror) NextChange() uint64 { return m.firstChange + uint64(len(m.changes)) }

// Changes returns the changes since a number that NextChange has returned. It returns false if they
// are no longer kept, so that the follower needs the whole copy.
func (m *Mirror) Changes(since uint64) ([]Item, bool) {
	if since < m.firstChange || since > m.NextChange() {
		return nil, false
	}
	return m.changes[since-m.firstChange:], true
}
