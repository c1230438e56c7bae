package daemon

import (
	"context"
	"sync"
	"time"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/fleet"
	"limpetspan/pkg/takeover"
)

const (
	// gateRetry is the pause before the seals are read again after a failure.
	gateRetry = 50 * time.Millisecond
	// gateLoadTimeout bounds one reading of them.
	gateLoadTimeout = 5 * time.Second
)

// gates holds the take-over gate of each group that this daemon serves.
type gates struct {
	self      core.DaemonID
	databases takeover.Databases
	current   func() *config.Document
	// ctx ends with the daemon.
	ctx context.Context

	mu      sync.RWMutex
	byGroup map[core.GroupID]*gate
}

// gate is the gate of one group and the leadership it was opened for.
type gate struct {
	*takeover.Gate
	// home is the latest home record of the group. The gate is open, or is
	// being opened, while that names this daemon.
	home fleet.Home
	stop context.CancelFunc
}

func newGates(ctx context.Context, self core.DaemonID, databases takeover.Databases, current func() *config.Document) *gates {
	return &gates{self: self, databases: databases, current: current, ctx: ctx, byGroup: make(map[core.GroupID]*gate)}
}

// find returns the group's gate, nil if this daemon does not serve the group.
func (g *gates) find(id core.GroupID) *takeover.Gate {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if found := g.byGroup[id]; found != nil {
		return found.Gate
	}
	return nil
}

// ensure makes the group's gate before its shard, so that no statement of the
// shard can pass without it.
func (g *gates) ensure(id core.GroupID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byGroup[id] == nil {
		g.byGroup[id] = &gate{Gate: takeover.NewGate(id, g.databases, g.current)}
	}
}

// homeNews opens the gate when this daemon becomes home and closes it when
// another does.
func (g *gates) homeNews(h fleet.Home) {
	g.mu.Lock()
	defer g.mu.Unlock()
	found := g.byGroup[h.Group]
	if found == nil || h.Term < found.home.Term || h == found.home {
		return
	}
	was, is := g.holds(found.home), g.holds(h)
	found.home = h
	switch {
	case is:
		found.end()
		ctx, cancel := context.WithCancel(g.ctx)
		found.stop = cancel
		go load(ctx, found.Gate)
	case was:
		found.end()
		found.Reset()
	}
}

func (g *gates) holds(h fleet.Home) bool { return h.Daemon == g.self && !h.Released }

// end ends the reading of the seals for an earlier leadership.
func (g *gate) end() {
	if g.stop != nil {
		g.stop()
		g.stop = nil
	}
}

// load reads the seals of the group until that succeeds.
func load(ctx context.Context, g *takeover.Gate) {
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, gateLoadTimeout)
		err := g.Load(bounded)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(gateRetry):
		}
	}
}

// configured tells the gates that another document is in force.
func (g *gates) configured() {
	for _, found := range g.all() {
		found.Changed()
	}
}

// hungUp tells the gates that a caller's transaction is rolled back.
func (g *gates) hungUp(caller core.CallerID) {
	for _, found := range g.all() {
		found.HungUp(caller)
	}
}

func (g *gates) all() []*takeover.Gate {
	g.mu.RLock()
	defer g.mu.RUnlock()
	list := make([]*takeover.Gate, 0, len(g.byGroup))
	for _, found := range g.byGroup {
		list = append(list, found.Gate)
	}
	return list
}
