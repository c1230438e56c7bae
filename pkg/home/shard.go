package home

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/core/group"
	"limpetspan/pkg/fleet"
	"limpetspan/pkg/target"
)

// Shard is the shell around the reducer of one group.
type Shard struct {
	manager *Manager
	id      core.GroupID
	dialer  *target.Dialer
	logger  hclog.Logger
	metrics *metrics
	outbox  outbox
	// ctx ends with the shard; dials and calls to members and peers end with it.
	ctx      context.Context
	stop     context.CancelFunc
	opinions singleflight.Group
	dropping atomic.Bool
	// drained is closed when the reducer says that a drain is complete.
	drained   chan struct{}
	drainOnce sync.Once
	// handovers are those under way.
	handovers sync.WaitGroup
	// cancels bounds the connections that cancel requests have open.
	cancels chan struct{}

	mu      sync.Mutex
	reducer Reducer
	fx      group.Effects
	closed  bool
	// seed stays the same for the shard's life.
	seed      uint64
	revision  uint64
	members   map[core.MemberID]config.Member
	configure group.Configure
	others    []group.Candidate
	waiters   map[core.RequestID]*waiter
	conns     map[group.ConnID]*pooledConn
	// pinned has the connections of the callers with an open transaction, those
	// that were closed since included.
	pinned map[core.CallerID]*pooledConn
	// suspects has for each member when a connection to it was last lost.
	suspects map[core.MemberID]core.Time
	controls map[core.MemberID]*target.Control
	beats    map[core.DaemonID]*mailbox[fleet.Home]
	// lastBeat is the last heartbeat sent.
	lastBeat fleet.Home
	// The events of the data path are built in place.
	arrived  group.Arrived
	finished group.Finished

	wake       wakeTimer
	sweepTimer *time.Timer
	// upkeep is set while must-not-repeat keys are being removed, upkeepAt
	// when that is next due.
	upkeep   bool
	upkeepAt core.Time
}

func newShard(m *Manager, id core.GroupID, d *declaration) *Shard {
	dialer := *m.options.Dialer
	if d.group.Database != "" {
		dialer.Database = d.group.Database
	}
	s := &Shard{
		manager:  m,
		id:       id,
		dialer:   &dialer,
		logger:   m.options.Logger.With("group", string(id)),
		metrics:  newMetrics(m.options.Self, id),
		drained:  make(chan struct{}),
		cancels:  make(chan struct{}, maxCancels),
		reducer:  m.options.NewReducer(id),
		seed:     rand.Uint64(),
		members:  make(map[core.MemberID]config.Member),
		waiters:  make(map[core.RequestID]*waiter),
		conns:    make(map[group.ConnID]*pooledConn),
		pinned:   make(map[core.CallerID]*pooledConn),
		suspects: make(map[core.MemberID]core.Time),
		controls: make(map[core.MemberID]*target.Control),
		beats:    make(map[core.DaemonID]*mailbox[fleet.Home]),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.sweepTimer = time.AfterFunc(sweepInterval, s.sweep)
	return s
}

// post applies an event.
func (s *Shard) post(ev group.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reduce(ev)
}

// reduce applies an event and hands its effects out; s.mu is held.
func (s *Shard) reduce(ev group.Event) {
	if s.closed {
		return
	}
	now := s.manager.options.Now()
	s.reducer.Reduce(now, ev, &s.fx)
	if recorder := s.manager.options.Recorder; recorder != nil {
		recorder.Record(s.id, now, ev, s.fx.List)
	}
	for _, effect := range s.fx.List {
		s.carryOut(effect)
	}
}

// declare brings a declaration in force, as far as it changed.
func (s *Shard) declare(d *declaration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.configureEvent(d)
	if !sameConfigure(&s.configure, &next) {
		s.takeMembers(d.group.Members)
		s.configure, s.revision = next, d.revision
		s.reduce(&next)
	}
	if !slices.Equal(s.others, d.candidates) {
		s.others = slices.Clone(d.candidates)
		s.forgetBeats()
		s.reduce(&group.Candidates{List: slices.Clone(d.candidates)})
	}
}

func (s *Shard) configureEvent(d *declaration) group.Configure {
	members := make([]group.Member, 0, len(d.group.Members))
	for _, m := range d.group.Members {
		members = append(members, group.Member{ID: m.ID, Zone: m.Zone, Leaving: m.Leaving})
	}
	return group.Configure{
		Revision: d.revision, Self: s.manager.options.Self, Zone: s.manager.options.Zone,
		Members: members, MaxConnections: d.group.MaxConnections, Slots: d.group.Slots, Seed: s.seed,
	}
}

func sameConfigure(a, b *group.Configure) bool {
	return a.Revision == b.Revision && a.MaxConnections == b.MaxConnections && a.Slots == b.Slots &&
		slices.Equal(a.Members, b.Members)
}

// takeMembers replaces the members. What leads to a member that is gone or has
// moved is closed.
func (s *Shard) takeMembers(list []config.Member) {
	next := make(map[core.MemberID]config.Member, len(list))
	for _, m := range list {
		next[m.ID] = m
	}
	for id, old := range s.members {
		if next[id].Addr == old.Addr {
			continue
		}
		if control := s.controls[id]; control != nil {
			delete(s.controls, id)
			go func() { _ = control.Close() }()
		}
		for _, p := range s.conns {
			if p.member == id && p.conn != nil {
				p.conn.Abort()
			}
		}
	}
	s.members = next
}

func (s *Shard) address(member core.MemberID) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[member]
	return m.Addr, ok
}

func (s *Shard) snapshot() GroupSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return GroupSnapshot{
		Group: s.id, Revision: s.revision, Reducer: s.reducer.Snapshot(),
		Requests: len(s.waiters), Connections: len(s.conns),
	}
}

// drain lets the reducer hand the home over and waits until that is delivered,
// or ctx ends. The reducer's deadline leaves time for the delivery.
func (s *Shard) drain(ctx context.Context) error {
	left := dropGrace
	if at, ok := ctx.Deadline(); ok {
		left = time.Until(at)
	}
	left -= min(handoverTimeout, left/4)
	s.post(&group.Drain{Deadline: s.manager.options.Now().Add(left)})
	select {
	case <-s.drained:
		s.handovers.Wait()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.ctx.Done():
		return nil
	}
}

// close ends the shard: requests fail, connections are closed.
func (s *Shard) close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	for _, w := range s.waiters {
		s.resolve(w, verdict{kind: verdictFail, fail: closedFail(w)})
	}
	var ends []func()
	for _, p := range s.conns {
		ends = append(ends, p.closer())
	}
	controls := s.controls
	s.conns, s.controls = nil, nil
	s.wake.stop()
	s.sweepTimer.Stop()
	s.mu.Unlock()

	s.stop()
	s.metrics.remove()
	for _, end := range ends {
		end()
	}
	for _, c := range controls {
		_ = c.Close()
	}
}

// closedFail is the end of a request that the closing of its shard cut off.
func closedFail(w *waiter) group.Fail {
	outcome := core.OutcomeNotRun
	if w.conn != nil {
		outcome = core.OutcomeUnknown
	}
	return group.Fail{Request: w.id, Reason: group.ReasonShuttingDown, Outcome: outcome, Step: "home.close"}
}
