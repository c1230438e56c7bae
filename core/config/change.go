package config

import (
	"errors"
	"fmt"
	"maps"

	"limpetspan/core"
)

// Change is the difference between two consecutive revisions. A document with
// thousands of groups is large and a change is small, so changes are what is
// stored and sent between daemons.
type Change struct {
	// Revision is the revision that the change creates.
	Revision Revision `json:"revision"`
	// ChangeID is unique. Parent is the ChangeID of the previous revision, so that
	// a change of a diverged history is never applied.
	ChangeID string `json:"change_id"`
	Parent   string `json:"parent,omitempty"`
	Author   string `json:"author,omitempty"`
	Reason   string `json:"reason,omitempty"`
	// At is the wall-clock time on the author's machine (RFC 3339), for display.
	At string `json:"at,omitempty"`
	// DefaultGroup is nil if it does not change.
	DefaultGroup    *core.GroupID           `json:"default_group,omitempty"`
	SetGroups       map[core.GroupID]*Group `json:"set_groups,omitempty"`
	RemoveGroups    []core.GroupID          `json:"remove_groups,omitempty"`
	SetKinds        map[string]*Kind        `json:"set_kinds,omitempty"`
	RemoveKinds     []string                `json:"remove_kinds,omitempty"`
	SetTakeovers    map[string]*Takeover    `json:"set_takeovers,omitempty"`
	RemoveTakeovers []string                `json:"remove_takeovers,omitempty"`
	// SetBuckets sets the progress of take-overs that are otherwise unchanged.
	SetBuckets map[string]*BucketSets `json:"set_buckets,omitempty"`
}

// Errors of Apply.
var (
	// ErrGap is returned if the change does not directly follow the document's
	// revision.
	ErrGap = errors.New("config: the change does not follow the revision")
	// ErrDiverged is returned if the change follows another change of the same
	// revision, for example after the store was restored from a backup.
	ErrDiverged = errors.New("config: the change belongs to another history")
	// ErrMissing is returned if the change removes or updates an entry that does
	// not exist.
	ErrMissing = errors.New("config: the change names an entry that does not exist")
	// ErrUnknownPast is returned by Past if a change that led to the document is not known.
	ErrUnknownPast = errors.New("config: the change is not known")
)

// EmptyDocument returns the document before the first change.
func EmptyDocument() *Document { return &Document{} }

// Apply returns the document after the change. It does not modify doc; the result
// shares with doc whatever the change does not touch.
func Apply(doc *Document, change *Change) (*Document, error) {
	if change.Revision != doc.Revision+1 {
		return nil, fmt.Errorf("%w: change %d after revision %d", ErrGap, change.Revision, doc.Revision)
	}
	if change.Parent != doc.ChangeID {
		return nil, fmt.Errorf("%w: change %d follows %q, revision %d is %q",
			ErrDiverged, change.Revision, change.Parent, doc.Revision, doc.ChangeID)
	}
	next := *doc
	next.Revision, next.ChangeID = change.Revision, change.ChangeID
	next.Author, next.Reason = change.Author, change.Reason
	if change.DefaultGroup != nil {
		next.DefaultGroup = *change.DefaultGroup
	}
	var err error
	if next.Groups, err = applyEntries("groups", doc.Groups, change.SetGroups, change.RemoveGroups); err != nil {
		return nil, err
	}
	if next.Kinds, err = applyEntries("kinds", doc.Kinds, change.SetKinds, change.RemoveKinds); err != nil {
		return nil, err
	}
	if next.Takeovers, err = applyEntries("takeovers", doc.Takeovers, change.SetTakeovers, change.RemoveTakeovers); err != nil {
		return nil, err
	}
	if next.Takeovers, err = applyBuckets(next.Takeovers, change.SetBuckets); err != nil {
		return nil, err
	}
	return &next, nil
}

func applyEntries[K ~string, V any](section string, old, set map[K]V, remove []K) (map[K]V, error) {
	if len(set) == 0 && len(remove) == 0 {
		return old, nil
	}
	entries := make(map[K]V, len(old)+len(set))
	maps.Copy(entries, old)
	for _, key := range remove {
		if _, ok := entries[key]; !ok {
			return nil, fmt.Errorf("%w: %s.%s", ErrMissing, section, key)
		}
		delete(entries, key)
	}
	maps.Copy(entries, set)
	return entries, nil
}

func applyBuckets(old map[string]*Takeover, set map[string]*BucketSets) (map[string]*Takeover, error) {
	if len(set) == 0 {
		return old, nil
	}
	takeovers := maps.Clone(old)
	for name, sets := range set {
		takeover, ok := old[name]
		if !ok {
			return nil, fmt.Errorf("%w: takeovers.%s", ErrMissing, name)
		}
		moved := *takeover
		setProgress(&moved, sets)
		takeovers[name] = &moved
	}
	return takeovers, nil
}

// EntryCount returns the number of entries that the change touches.
func (c *Change) EntryCount() int {
	n := len(c.SetGroups) + len(c.RemoveGroups) + len(c.SetKinds) + len(c.RemoveKinds) +
		len(c.SetTakeovers) + len(c.RemoveTakeovers) + len(c.SetBuckets)
	if c.DefaultGroup != nil {
		n++
	}
	return n
}

// IsEmpty reports whether the change touches no entry.
func (c *Change) IsEmpty() bool { return c.EntryCount() == 0 }

// IsProgressOnly reports whether the change contains only progress of take-overs,
// which does not conflict with an operator's change.
func (c *Change) IsProgressOnly() bool {
	return len(c.SetBuckets) > 0 && c.EntryCount() == len(c.SetBuckets)
}

// IsNewer reports whether a daemon that has current in force may switch to
// offered. A daemon never goes back: a restored store, a peer that missed changes
// or a late reply offers a lower revision, and adopting it would undo what
// operators were told is in force.
func IsNewer(current, offered *Document) bool {
	return offered != nil && (current == nil || offered.Revision > current.Revision)
}
