package mirror

import "fmt"

// Era counts how often the store has come back from an older copy of itself.
type Era uint64

// Revision is a state of the store within an era; it rises with each change.
type Revision uint64

// Position is a state of the store. Revisions of one era are given out again in the next,
// so that they are compared only together with it.
type Position struct {
	Era      Era
	Revision Revision
}

// Before says whether p is an older state than q.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}

// String is for log lines.
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.Era, p.Revision) }
