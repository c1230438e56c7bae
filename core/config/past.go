package config

import (
	"fmt"
	"slices"

	"limpetspan/core"
)

// Past tells which value an entry has in a document, from the changes that led to the document. Each change names its
// predecessor, so changes of a diverged history do not count.
type Past struct {
	// Revision and ChangeID are those of the document.
	Revision Revision
	ChangeID string
	// Changes are the known changes by their revisions. They may have gaps.
	Changes map[Revision]*Change
	// Known is an earlier document, or nil.
	Known *Document
}

// Group returns the group, or nil if the document does not have it. An error means that the past is not known.
func (p *Past) Group(id core.GroupID) (*Group, error) {
	return lastValue(p, id, func(c *Change) (map[core.GroupID]*Group, []core.GroupID) { return c.SetGroups, c.RemoveGroups },
		func(d *Document) map[core.GroupID]*Group { return d.Groups })
}

// Kind returns the kind as Group does.
func (p *Past) Kind(name string) (*Kind, error) {
	return lastValue(p, name, func(c *Change) (map[string]*Kind, []string) { return c.SetKinds, c.RemoveKinds },
		func(d *Document) map[string]*Kind { return d.Kinds })
}

// Takeover returns the take-over as Group does.
func (p *Past) Takeover(name string) (*Takeover, error) {
	var progress *BucketSets
	t, err := lastValue(p, name, func(c *Change) (map[string]*Takeover, []string) {
		if progress == nil {
			progress = c.SetBuckets[name]
		}
		return c.SetTakeovers, c.RemoveTakeovers
	}, func(d *Document) map[string]*Takeover { return d.Takeovers })
	if t == nil || progress == nil {
		return t, err
	}
	moved := *t
	setProgress(&moved, progress)
	return &moved, nil
}

// lastValue walks the changes back to the one that set or removed the entry, or to the known document.
func lastValue[K ~string, V any](p *Past, key K, touched func(*Change) (set map[K]*V, remove []K), entries func(*Document) map[K]*V) (*V, error) {
	for revision, id := p.Revision, p.ChangeID; revision > 0; revision-- {
		if p.Known != nil && p.Known.Revision == revision && p.Known.ChangeID == id {
			return entries(p.Known)[key], nil
		}
		c := p.Changes[revision]
		if c == nil || c.ChangeID != id {
			return nil, fmt.Errorf("%w: %d", ErrUnknownPast, revision)
		}
		set, remove := touched(c)
		if v := set[key]; v != nil {
			return v, nil
		}
		if slices.Contains(remove, key) {
			return nil, nil
		}
		id = c.Parent
	}
	return nil, nil
}
