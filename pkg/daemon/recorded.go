package daemon

import (
	"sync"

	"limpetspan/core"
)

// recordedGroup is how far the trace of one group has come.
type recordedGroup struct{ begun, broken bool }

// recordedGroups are the traces being written. A group's own state is touched
// only under its shard's lock.
type recordedGroups struct {
	mu     sync.Mutex
	groups map[core.GroupID]*recordedGroup
}

func newRecordedGroups() *recordedGroups {
	return &recordedGroups{groups: make(map[core.GroupID]*recordedGroup)}
}

func (r *recordedGroups) get(id core.GroupID) *recordedGroup {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[id]
	if g == nil {
		g = &recordedGroup{}
		r.groups[id] = g
	}
	return g
}
