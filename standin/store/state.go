package store

import (
	"slices"
	"sort"
)

// KeyValue is one stored key.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	// Version counts the changes since the key was created, beginning with 1.
	Version int64
	Lease   int64
}

// Event is one change of one key.
type Event struct {
	// KeyValue is the key after the change; for a deletion it has only Key and
	// ModRevision.
	KeyValue
	Deleted bool
}

// state is the content of the store at one revision.
type state struct {
	revision int64
	// keys is sorted.
	keys   []string
	values map[string]KeyValue
}

func newState() *state { return &state{revision: 1, values: make(map[string]KeyValue)} }

func (s *state) clone() *state {
	c := &state{revision: s.revision, keys: slices.Clone(s.keys), values: make(map[string]KeyValue, len(s.values))}
	for k, v := range s.values {
		c.values[k] = v
	}
	return c
}

// apply carries out one event of the log.
func (s *state) apply(ev Event) {
	i, found := slices.BinarySearch(s.keys, ev.Key)
	switch {
	case ev.Deleted && found:
		s.keys = slices.Delete(s.keys, i, i+1)
		delete(s.values, ev.Key)
	case !ev.Deleted:
		if !found {
			s.keys = slices.Insert(s.keys, i, ev.Key)
		}
		s.values[ev.Key] = ev.KeyValue
	}
	s.revision = ev.ModRevision
}

// span returns the stored keys of a range, in order.
func (s *state) span(r KeyRange) []string {
	if r.End == "" {
		if _, ok := s.values[r.Key]; ok {
			return []string{r.Key}
		}
		return nil
	}
	from := sort.SearchStrings(s.keys, r.Key)
	to := len(s.keys)
	if r.End != wholeEnd {
		to = sort.SearchStrings(s.keys, r.End)
	}
	if from >= to {
		return nil
	}
	return slices.Clone(s.keys[from:to])
}

// wholeEnd as the end of a range means "every key from Key on".
const wholeEnd = "\x00"

// KeyRange selects keys: Key alone when End is empty, else Key <= k < End; an
// End of one zero byte has no upper bound.
type KeyRange struct {
	Key, End string
}

func (r KeyRange) contains(key string) bool {
	if r.End == "" {
		return key == r.Key
	}
	return key >= r.Key && (r.End == wholeEnd || key < r.End)
}
