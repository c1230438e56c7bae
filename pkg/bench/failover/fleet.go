package failover

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"limpetspan/core"
	"limpetspan/pkg/embedded"
	standinstore "limpetspan/standin/store"
	"limpetspan/standin/target"
)

// fleet is the fleet under test with its one group. The callers see the
// daemons behind a lock, as a balancer would show them.
type fleet struct {
	*embedded.Fleet
	group *target.Group

	mu      sync.Mutex
	daemons []*embedded.Daemon
}

func startFleet(ctx context.Context, o embedded.Options) (*fleet, error) {
	e, err := embedded.Start(ctx, o)
	if err != nil {
		return nil, err
	}
	f := &fleet{Fleet: e, group: e.Group(o.Groups[0].ID), daemons: slices.Clone(e.Daemons())}
	for _, m := range f.group.Members() {
		if err := f.group.Faults().SetLag(m.ID(), lag); err != nil {
			e.Close()
			return nil, err
		}
	}
	return f, nil
}

// lag of the replicas. Without any, a write would be at all members before its
// caller hears of it, and no failover could lose it, guards or not.
var lag = target.Lag{Fixed: 5 * time.Millisecond, Jitter: 5 * time.Millisecond}

// url returns the n-th daemon's URL, counted round.
func (f *fleet) url(n int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.URL(f.daemons[n%len(f.daemons)])
}

func (f *fleet) all() []*embedded.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.daemons)
}

// home returns the daemon that is home of the group.
func (f *fleet) home() (*embedded.Daemon, error) {
	for _, d := range f.all() {
		if len(d.Status(false).Homes) > 0 {
			return d, nil
		}
	}
	return nil, errors.New("no daemon is home")
}

// primary returns the primary of the highest term.
func (f *fleet) primary() *target.Member {
	var found *target.Member
	var term core.Term
	for _, m := range f.group.Members() {
		if s := m.Status(); s.Role == core.RolePrimary && s.Term > term {
			found, term = m, s.Term
		}
	}
	return found
}

// inject lets the fault happen and returns how to end it.
func (f *fleet) inject(fault Fault) (heal func() error, err error) {
	primary := f.primary()
	if primary == nil {
		return nil, errors.New("the group has no primary")
	}
	id, faults := primary.ID(), f.group.Faults()
	switch fault {
	case Crash:
		return func() error { return faults.Restart(id) }, faults.Crash(id)
	case Partition:
		return func() error { return faults.Heal(id) }, faults.Partition(id, target.Partition{Clients: true, Members: true})
	case Isolated:
		return func() error { return faults.Heal(id) }, faults.Partition(id, target.Partition{Members: true})
	case Pause:
		return func() error { return faults.Resume(id) }, faults.Pause(id)
	case StoreDown:
		heal = func() error { return errors.Join(faults.Restart(id), f.Store.SetOutage(standinstore.OutageNone)) }
		return heal, errors.Join(f.Store.SetOutage(standinstore.OutageSilent), faults.Crash(id))
	}
	return f.killHome()
}

// killHome ends the home's process; healing starts a new one in its place.
func (f *fleet) killHome() (heal func() error, err error) {
	home, err := f.home()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.daemons = slices.DeleteFunc(f.daemons, func(d *embedded.Daemon) bool { return d == home })
	f.mu.Unlock()
	heal = func() error {
		d, err := f.StartDaemon(home.Place)
		if err != nil {
			return err
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.daemons = append(f.daemons, d)
		return nil
	}
	return heal, f.Kill(home)
}

// whole reports whether one member is primary and all others follow it closely.
func (f *fleet) whole() bool {
	primary := f.primary()
	if primary == nil {
		return false
	}
	head := primary.Status()
	for _, m := range f.group.Members() {
		s := m.Status()
		if m == primary {
			continue
		}
		if s.Role != core.RoleReplica || s.Term != head.Term || s.LogTerm != head.LogTerm || s.LSN+closeBytes < head.LSN {
			return false
		}
	}
	return true
}

// closeBytes of log is how far a replica that follows may be behind.
const closeBytes = 1 << 16

// poll calls done until it holds or the bound has passed.
func poll(ctx context.Context, bound time.Duration, done func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
	return true
}

const pollInterval = 20 * time.Millisecond
