package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/core/group"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
)

// dropGrace bounds how long a group that this daemon is no candidate of any more
// is still served for what runs in it.
const dropGrace = 10 * time.Second

// Manager holds the shards of a daemon. It implements exchange.Handler for
// requests whose Group is set.
type Manager struct {
	options Options
	// shards is replaced as a whole, so that requests read it without a lock.
	shards   atomic.Pointer[map[core.GroupID]*Shard]
	requests atomic.Uint64

	mu sync.Mutex
	// waiting are the groups that are to come back once their old shard, which
	// is being dropped, has ended.
	waiting map[core.GroupID]*declaration
	closed  bool
}

var _ exchange.Handler = (*Manager)(nil)

// declaration is what Ensure was last told of a group.
type declaration struct {
	group      *config.Group
	revision   uint64
	candidates []group.Candidate
}

// New returns a Manager without shards.
func New(options Options) *Manager {
	options.complete()
	m := &Manager{options: options, waiting: make(map[core.GroupID]*declaration)}
	m.shards.Store(&map[core.GroupID]*Shard{})
	return m
}

// Ensure makes the daemon a candidate of the group, or brings a changed
// configuration or list of candidates (best first, this daemon included) in
// force. Calls for one group must not overlap.
func (m *Manager) Ensure(id core.GroupID, declared *config.Group, revision uint64, candidates []group.Candidate) {
	d := &declaration{group: declared, revision: revision, candidates: candidates}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	s := m.shard(id)
	if s != nil && s.dropping.Load() {
		m.waiting[id] = d
		return
	}
	if s == nil {
		s = newShard(m, id, d)
		m.replace(id, s)
	}
	s.declare(d)
}

// Drop ends the daemon's part in the group. What runs may end, for a bounded
// time; a home is handed over.
func (m *Manager) Drop(id core.GroupID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiting, id)
	s := m.shard(id)
	if s == nil || s.dropping.Swap(true) {
		return
	}
	go m.finishDrop(s)
}

func (m *Manager) finishDrop(s *Shard) {
	ctx, cancel := context.WithTimeout(context.Background(), dropGrace)
	defer cancel()
	s.drain(ctx)
	m.mu.Lock()
	m.replace(s.id, nil)
	again := m.waiting[s.id]
	delete(m.waiting, s.id)
	m.mu.Unlock()
	s.close()
	if again != nil {
		m.Ensure(s.id, again.group, again.revision, again.candidates)
	}
}

// Drain hands all homes over and waits until nothing runs here any more, or
// until ctx ends; then everything is closed.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.closed = true
	shards := *m.shards.Load()
	m.mu.Unlock()
	var running errgroup.Group
	for _, s := range shards {
		running.Go(func() error { return s.drain(ctx) })
	}
	err := running.Wait()
	m.Close()
	return err
}

// Close ends all shards at once; requests under way fail.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	shards := *m.shards.Load()
	m.shards.Store(&map[core.GroupID]*Shard{})
	m.mu.Unlock()
	for _, s := range shards {
		s.close()
	}
}

// Do runs a request at the group's shard.
func (m *Manager) Do(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	s := m.shard(req.Group)
	if s == nil {
		return exchange.Result{}, errs.New(errs.NotHome, core.OutcomeNotRun, stepArrive, string(m.options.Self),
			"this daemon is no candidate of group %s", req.Group)
	}
	return s.do(ctx, req, w)
}

// Cancel ends what the caller is running.
func (m *Manager) Cancel(caller core.CallerID) {
	for _, s := range *m.shards.Load() {
		s.cancel(caller)
	}
}

// Hangup says that the caller is gone.
func (m *Manager) Hangup(caller core.CallerID) {
	for _, s := range *m.shards.Load() {
		s.hangup(caller)
	}
}

// GroupSnapshot is the state of one shard.
type GroupSnapshot struct {
	Group    core.GroupID
	Revision uint64
	// Reducer is the reducer's own state.
	Reducer group.Snapshot
	// Requests and Connections count what the shard holds at the moment.
	Requests, Connections int
}

// Snapshot returns the state of all shards, in no order.
func (m *Manager) Snapshot() []GroupSnapshot {
	shards := *m.shards.Load()
	list := make([]GroupSnapshot, 0, len(shards))
	for _, s := range shards {
		list = append(list, s.snapshot())
	}
	return list
}

func (m *Manager) shard(id core.GroupID) *Shard { return (*m.shards.Load())[id] }

// replace puts s in place of the group's shard, or removes it; m.mu is held.
func (m *Manager) replace(id core.GroupID, s *Shard) {
	old := *m.shards.Load()
	shards := make(map[core.GroupID]*Shard, len(old)+1)
	for k, v := range old {
		shards[k] = v
	}
	if s != nil {
		shards[id] = s
	} else {
		delete(shards, id)
	}
	m.shards.Store(&shards)
}
