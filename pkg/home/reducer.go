package home

import (
	"limpetspan/core"
	"limpetspan/core/group"
)

// Reducer is the part of group.Group that a Shard uses.
type Reducer interface {
	Reduce(now core.Time, ev group.Event, fx *group.Effects)
	Snapshot() group.Snapshot
}

// Recorder keeps the events of a group and their effects as a trace. Record is
// called in the order of the events; what it is given is valid only during the
// call, in which the group's requests wait.
type Recorder interface {
	Record(id core.GroupID, now core.Time, ev group.Event, effects []group.Effect)
}
