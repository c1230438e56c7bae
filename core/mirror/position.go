package mirror

import "fmt"

// Era counts how often the store was restored from an older copy of itself.
type Era uint64

// Revision is a state of the store within an era; it rises with each change.
type Revision uint64

// Position is a state of the store. The revisions of an era are assigned again in the next era, so
// a revision is compared only together with its era.
type Position struct {
	Era      Era
	Revision Revision
}

// Before reports whether p is an older state than q.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}

// String returns the position as log lines show it.
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.Era, p.Revision) }
