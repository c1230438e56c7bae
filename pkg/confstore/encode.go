package confstore

import (
	"fmt"
	"strings"

	"limpetspan/core/config"
)

// encodeChange returns the new value of every key the change touches; nil
// removes the key.
func encodeChange(k keys, base, next *config.Document, change *config.Change) (map[string][]byte, error) {
	// Peers refuse larger changes, see config.DecodeChange.
	if data, err := config.Encode(change); err != nil {
		return nil, err
	} else if len(data) > config.MaxChangeSize {
		return nil, fmt.Errorf("%w: a change of %d bytes, at most %d", config.ErrTooLarge, len(data), config.MaxChangeSize)
	}
	values := make(map[string][]byte, change.EntryCount()+2)
	for id, group := range change.SetGroups {
		if err := encodeInto(values, k.group(string(id)), group); err != nil {
			return nil, err
		}
	}
	for name, kind := range change.SetKinds {
		if err := encodeInto(values, k.kind(name), kind); err != nil {
			return nil, err
		}
	}
	for name := range change.SetTakeovers {
		if err := encodeInto(values, k.takeover(name), next.Takeovers[name]); err != nil {
			return nil, err
		}
	}
	for name := range change.SetBuckets {
		if err := encodeInto(values, k.takeover(name), next.Takeovers[name]); err != nil {
			return nil, err
		}
	}
	for _, id := range change.RemoveGroups {
		values[k.group(string(id))] = nil
	}
	for _, name := range change.RemoveKinds {
		values[k.kind(name)] = nil
	}
	for _, name := range change.RemoveTakeovers {
		values[k.takeover(name)] = nil
	}
	record := Record{Change: *change, Undo: config.Diff(next, base)}
	if err := encodeInto(values, k.change(change.Revision), record); err != nil {
		return nil, err
	}
	return values, encodeInto(values, k.head(), headOf(next))
}

func encodeInto(values map[string][]byte, key string, v any) error {
	data, err := config.Encode(v)
	if err != nil {
		return err
	}
	limit := maxValueSize
	if _, ok := v.(Record); ok {
		limit = maxRecordSize
	}
	if len(data) > limit {
		return fmt.Errorf("%w: %s has %d bytes, at most %d", config.ErrTooLarge, key, len(data), limit)
	}
	values[key] = data
	return nil
}

// isHistory reports whether the key is a slot of the history.
func (e *Editor) isHistory(key string) bool {
	return strings.HasPrefix(key, e.reader.keys.changes())
}
