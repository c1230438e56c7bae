package entry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"limpetspan/core"
)

// searchInterval is how often one waiting request of a homeless group asks the
// candidates again.
const searchInterval = 20 * time.Millisecond

// groupState is what the entry keeps of one database group.
type groupState struct {
	// inflight counts the group's requests. It is bounded, so that a group
	// that hangs cannot take all memory of this daemon.
	inflight atomic.Int64
	// nextSearch is zero while the group's home is found. After all
	// candidates refused it is the time of the next search. Only one request
	// searches at a time: thousands that wait would otherwise all ask every
	// candidate, just when these take the group over.
	nextSearch atomic.Int64
	// measured is nil until somebody asks for the group's latency.
	measured atomic.Pointer[latency]
}

// maySearch reports whether a request may look for the home now.
func (g *groupState) maySearch(now core.Time) bool {
	next := g.nextSearch.Load()
	if next == 0 {
		return true
	}
	return int64(now) >= next && g.nextSearch.CompareAndSwap(next, int64(now.Add(searchInterval)))
}

// noteHomeless notes that all candidates refused.
func (g *groupState) noteHomeless(now core.Time) {
	g.nextSearch.CompareAndSwap(0, int64(now.Add(searchInterval)))
}

// noteHome notes that the home is found; it reports whether it was sought.
func (g *groupState) noteHome() bool {
	return g.nextSearch.Load() != 0 && g.nextSearch.Swap(0) != 0
}

// groups holds the groups' states; reading takes no lock.
type groups struct {
	mu      sync.Mutex
	current atomic.Pointer[map[core.GroupID]*groupState]
}

func newGroups() *groups {
	g := &groups{}
	g.current.Store(&map[core.GroupID]*groupState{})
	return g
}

// find returns the group's state, nil if there is none yet.
func (g *groups) find(id core.GroupID) *groupState { return (*g.current.Load())[id] }

// get returns the group's state, a new one if there is none yet.
func (g *groups) get(id core.GroupID) *groupState {
	if s := g.find(id); s != nil {
		return s
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	old := *g.current.Load()
	if s := old[id]; s != nil {
		return s
	}
	next := maps.Clone(old)
	next[id] = &groupState{}
	g.current.Store(&next)
	return next[id]
}

// keep drops the states of groups that are not declared any more.
func (g *groups) keep(declared func(core.GroupID) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := maps.Clone(*g.current.Load())
	maps.DeleteFunc(next, func(id core.GroupID, s *groupState) bool {
		return !declared(id) && s.inflight.Load() == 0
	})
	g.current.Store(&next)
}
