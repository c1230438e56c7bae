package cli

import (
	"fmt"
	"maps"
	"slices"

	"limpetspan/core/config"
	"limpetspan/pkg/confstore"
)

// splitSteps returns the documents that lead from base to after, each by a
// change that the store takes in one piece: what is new first, what goes last,
// so that nothing refers to a missing entry in between. Every step is checked
// here, before the first is written.
func splitSteps(base, after *config.Document) ([]*config.Document, error) {
	whole := config.Diff(base, after)
	if whole.EntryCount() <= confstore.MaxEntries {
		return []*config.Document{after}, nil
	}
	var steps []*config.Document
	doc := base
	for edits := range slices.Chunk(entryEdits(&whole), confstore.MaxEntries) {
		next := cloneDocument(doc)
		for _, apply := range edits {
			apply(next)
		}
		if err := config.CheckChange(doc, next); err != nil {
			return nil, fmt.Errorf("step %d of a change of %d entries (at most %d go in one) does not stand by itself: %w",
				len(steps)+1, whole.EntryCount(), confstore.MaxEntries, err)
		}
		steps = append(steps, next)
		doc = next
	}
	return steps, nil
}

// entryEdit sets or removes one entry.
type entryEdit func(*config.Document)

// entryEdits returns one edit for each entry of the change, in a safe order.
func entryEdits(c *config.Change) []entryEdit {
	var edits []entryEdit
	for _, id := range slices.Sorted(maps.Keys(c.SetGroups)) {
		edits = append(edits, func(d *config.Document) { d.Groups[id] = c.SetGroups[id] })
	}
	if c.DefaultGroup != nil {
		edits = append(edits, func(d *config.Document) { d.DefaultGroup = *c.DefaultGroup })
	}
	for _, name := range slices.Sorted(maps.Keys(c.SetKinds)) {
		edits = append(edits, func(d *config.Document) { d.Kinds[name] = c.SetKinds[name] })
	}
	for _, name := range slices.Sorted(maps.Keys(c.SetTakeovers)) {
		edits = append(edits, func(d *config.Document) { d.Takeovers[name] = c.SetTakeovers[name] })
	}
	for _, name := range c.RemoveTakeovers {
		edits = append(edits, func(d *config.Document) { delete(d.Takeovers, name) })
	}
	for _, name := range c.RemoveKinds {
		edits = append(edits, func(d *config.Document) { delete(d.Kinds, name) })
	}
	for _, id := range c.RemoveGroups {
		edits = append(edits, func(d *config.Document) { delete(d.Groups, id) })
	}
	return edits
}

// cloneDocument returns a copy whose maps may be changed; the entries are shared.
func cloneDocument(doc *config.Document) *config.Document {
	clone := *doc
	clone.Groups = cloneMap(doc.Groups)
	clone.Kinds = cloneMap(doc.Kinds)
	clone.Takeovers = cloneMap(doc.Takeovers)
	return &clone
}

// cloneMap returns a copy that is never nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	clone := make(map[K]V, len(m)+1)
	maps.Copy(clone, m)
	return clone
}
