package target

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"limpetspan/core"
)

// Group is one database group.
type Group struct {
	options Options
	members []*Member
	journal Journal
	started time.Time
	// network guards who reaches whom: a replication step holds it for
	// reading, a change of faults for writing, so that once a partition is
	// set nothing crosses it.
	network     sync.RWMutex
	connections budget
	nextPID     atomic.Uint32
	cancel      context.CancelFunc
	tasks       *errgroup.Group
}

// NewGroup returns a group whose members are not yet started.
func NewGroup(options Options) (*Group, error) {
	if err := options.complete(); err != nil {
		return nil, err
	}
	g := &Group{options: options}
	g.connections.limit = int64(options.MaxConnections)
	for i, mo := range options.Members {
		m, err := newMember(g, mo)
		if err != nil {
			return nil, err
		}
		m.term = FirstTerm
		m.history = []core.TermStart{{Term: FirstTerm}}
		m.role = core.RoleReplica
		if i == 0 {
			m.role = core.RolePrimary
		}
		g.members = append(g.members, m)
	}
	return g, nil
}

// Start opens the members' listeners and starts the replication. It returns at
// once; the group runs until Close or the end of ctx.
func (g *Group) Start(ctx context.Context) error {
	if g.cancel != nil {
		return errors.New("target: the group was started before")
	}
	ctx, g.cancel = context.WithCancel(ctx)
	g.tasks, ctx = errgroup.WithContext(ctx)
	g.started = g.options.Clock.Now()
	for _, m := range g.members {
		m.ctx = ctx
		if err := m.listen(); err != nil {
			g.Close()
			return fmt.Errorf("target: member %s: %w", m.options.ID, err)
		}
	}
	for _, m := range g.members {
		g.tasks.Go(func() error { m.follow(ctx); return nil })
	}
	context.AfterFunc(ctx, func() {
		for _, m := range g.members {
			m.stop()
		}
	})
	return nil
}

// Close stops all members and waits for their goroutines.
func (g *Group) Close() {
	if g.cancel == nil {
		return
	}
	g.cancel()
	for _, m := range g.members {
		m.stop()
	}
	_ = g.tasks.Wait()
	for _, m := range g.members {
		m.store.close()
	}
	g.cancel = nil
}

// Members returns the members in the order of the options.
func (g *Group) Members() []*Member { return g.members }

// Member returns the member with the id, nil if there is none.
func (g *Group) Member(id core.MemberID) *Member {
	for _, m := range g.members {
		if m.options.ID == id {
			return m
		}
	}
	return nil
}

// Journal returns the record of all commits.
func (g *Group) Journal() *Journal { return &g.journal }

// Connections returns the open connections of all members, the highest number
// there has been at a time, and how many were refused for want of room.
func (g *Group) Connections() (open, highest, refused int) {
	return int(g.connections.open.Load()), int(g.connections.highest.Load()), int(g.connections.refused.Load())
}

// wake makes every member look for news.
func (g *Group) wake() {
	for _, m := range g.members {
		select {
		case m.news <- struct{}{}:
		default:
		}
	}
}

// budget counts connections up to a limit.
type budget struct {
	limit                  int64
	open, highest, refused atomic.Int64
}

func (b *budget) take() bool {
	n := b.open.Add(1)
	if n > b.limit {
		b.open.Add(-1)
		b.refused.Add(1)
		return false
	}
	for {
		highest := b.highest.Load()
		if n <= highest || b.highest.CompareAndSwap(highest, n) {
			return true
		}
	}
}

func (b *budget) give() { b.open.Add(-1) }
