package config

import (
	"maps"
	"reflect"
	"slices"
)

// Diff returns the change from a to the content of b. Its revision is the one
// after a's; ChangeID and the fields about the author are left empty.
func Diff(a, b *Document) Change {
	change := Change{Revision: a.Revision + 1, Parent: a.ChangeID}
	if a.DefaultGroup != b.DefaultGroup {
		change.DefaultGroup = new(b.DefaultGroup)
	}
	change.SetGroups, change.RemoveGroups = diffEntries(a.Groups, b.Groups, sameGroup)
	change.SetKinds, change.RemoveKinds = diffEntries(a.Kinds, b.Kinds, sameKind)
	change.SetTakeovers, change.RemoveTakeovers = diffEntries(a.Takeovers, b.Takeovers, sameTakeover)
	splitBuckets(a, &change)
	return change
}

// diffEntries compares entries by value, and skips equal pointers.
func diffEntries[K ~string, V any](a, b map[K]*V, same func(a, b *V) bool) (set map[K]*V, remove []K) {
	for key, value := range b {
		if old, ok := a[key]; ok && (old == value || same(old, value)) {
			continue
		}
		if set == nil {
			set = make(map[K]*V)
		}
		set[key] = value
	}
	for _, key := range slices.Sorted(maps.Keys(a)) {
		if _, ok := b[key]; !ok {
			remove = append(remove, key)
		}
	}
	return set, remove
}

// sameGroup and sameKind treat an absent list as an empty one.
func sameGroup(a, b *Group) bool {
	ca, cb := *a, *b
	ca.Members, cb.Members = nil, nil
	return reflect.DeepEqual(ca, cb) && slices.Equal(a.Members, b.Members)
}

func sameKind(a, b *Kind) bool {
	ca, cb := *a, *b
	ca.Versions, cb.Versions = nil, nil
	return reflect.DeepEqual(ca, cb) && slices.Equal(a.Versions, b.Versions)
}

func sameTakeover(a, b *Takeover) bool { return sameDeclaration(a, b) && sameProgress(a, b) }

// splitBuckets moves take-overs of which only the progress changed to SetBuckets,
// which omits their SQL.
func splitBuckets(a *Document, change *Change) {
	for name, takeover := range change.SetTakeovers {
		old, ok := a.Takeovers[name]
		if !ok || !sameDeclaration(old, takeover) {
			continue
		}
		if change.SetBuckets == nil {
			change.SetBuckets = make(map[string]*BucketSets)
		}
		change.SetBuckets[name] = progressOf(takeover)
		delete(change.SetTakeovers, name)
	}
	if len(change.SetTakeovers) == 0 {
		change.SetTakeovers = nil
	}
}

// Overlap returns the paths that both changes touch, sorted.
func Overlap(a, b *Change) []string {
	touched := a.paths()
	var both []string
	for path := range b.paths() {
		if _, ok := touched[path]; ok {
			both = append(both, path)
		}
	}
	slices.Sort(both)
	return both
}

// paths returns the paths of the entries that the change touches.
func (c *Change) paths() map[string]struct{} {
	paths := make(map[string]struct{}, c.EntryCount())
	if c.DefaultGroup != nil {
		paths["default_group"] = struct{}{}
	}
	addPaths(paths, "groups.", c.SetGroups, c.RemoveGroups)
	addPaths(paths, "kinds.", c.SetKinds, c.RemoveKinds)
	addPaths(paths, "takeovers.", c.SetTakeovers, c.RemoveTakeovers)
	addPaths(paths, "takeovers.", c.SetBuckets, nil)
	return paths
}

func addPaths[K ~string, V any](paths map[string]struct{}, prefix string, set map[K]V, remove []K) {
	for key := range set {
		paths[prefix+string(key)] = struct{}{}
	}
	for _, key := range remove {
		paths[prefix+string(key)] = struct{}{}
	}
}
