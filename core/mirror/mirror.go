package mirror

import (
	"bytes"
	"errors"
	"maps"
	"slices"
)

// Item is one key of the store, or the end of one.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    uint64
	// Deleted is set in changes of a key that has gone.
	Deleted bool
}

// same says whether two items of one key are the same state of it.
func (i Item) equal(o Item) bool {
	return i.Revision == o.Revision && i.Lease == o.Lease && bytes.Equal(i.Value, o.Value)
}

// maxChanges are kept for followers, twice as many at times. One that is further behind
// gets the whole copy.
const maxChanges = 4096

// Errors of a copy's source.
var (
	// ErrBehind: the source is behind what the copy has.
	ErrBehind = errors.New("mirror: the source is behind")
	// ErrOtherEra: the events are of another era than the copy.
	ErrOtherEra = errors.New("mirror: the events are of another era")
)

// Mirror is the copy. It is not safe for concurrent use.
type Mirror struct {
	position Position
	items    map[string]Item
	// changes are the latest ones, the first of which has the number first.
	changes     []Item
	firstChange uint64
}

// New returns an empty copy.
func New() *Mirror { return &Mirror{items: make(map[string]Item)} }

// Position is up to where the copy holds every change; zero: it has never been filled.
func (m *Mirror) Position() Position { return m.position }

// Get returns a key's item.
func (m *Mirror) Get(key string) (Item, bool) {
	item, ok := m.items[key]
	return item, ok
}

// All are the items, sorted by key.
func (m *Mirror) All() []Item {
	list := make([]Item, 0, len(m.items))
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		list = append(list, m.items[key])
	}
	return list
}

// Replace takes all keys as of the position, and returns what has changed.
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

// Apply takes the events up to the position, in their order, and returns those that were new.
func (m *Mirror) Apply(at Position, events []Item) ([]Item, error) {
	switch {
	case at.Era != m.position.Era:
		return nil, ErrOtherEra
	case at.Before(m.position):
		return nil, ErrBehind
	}
	var changed []Item
	latest := make(map[string]Revision)
	for _, e := range events {
		known, ok := m.items[e.Key]
		newest := max(known.Revision, latest[e.Key])
		if ok && e.Revision <= newest || e.Revision <= latest[e.Key] || !ok && e.Deleted && latest[e.Key] == 0 {
			continue
		}
		latest[e.Key] = e.Revision
		changed = append(changed, e)
	}
	m.commit(at, changed)
	return changed, nil
}

// commit makes the changes and keeps them for followers.
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

// End is the number of the next change, from which Changes goes on.
func (m *Mirror) NextChange() uint64 { return m.firstChange + uint64(len(m.changes)) }

// Changes are those since a number that End has returned; false: they are not kept any
// more, and the follower needs the whole copy.
func (m *Mirror) Changes(since uint64) ([]Item, bool) {
	if since < m.firstChange || since > m.NextChange() {
		return nil, false
	}
	return m.changes[since-m.firstChange:], true
}
