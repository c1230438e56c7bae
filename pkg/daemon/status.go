package daemon

import (
	"context"
	"errors"
	"expvar"
	"slices"
	"strings"
	"sync"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/entry"
	"limpetspan/pkg/fleet"
	"limpetspan/pkg/operator"
)

// Errors of Ready.
var (
	errLeaving      = errors.New("the daemon is stopping")
	errUnconfigured = errors.New("no configuration is in force yet")
	errNotConverged = errors.New("the view of the fleet has not converged yet")
)

var stateNames = map[fleet.State]string{
	fleet.StateAlive: "alive", fleet.StateSuspect: "suspect", fleet.StateLeaving: "leaving", fleet.StateDead: "dead",
}

// Ready implements operator.Daemon.
func (d *Daemon) Ready() error {
	switch {
	case d.leaving.Load():
		return errLeaving
	case d.follower.Current().Revision == 0:
		return errUnconfigured
	case !d.converged.Load():
		return errNotConverged
	}
	return nil
}

// Status implements operator.Daemon.
func (d *Daemon) Status(withFleet bool) *operator.Status {
	doc := d.follower.Current()
	s := &operator.Status{
		ID: d.id, Zone: core.Zone(d.settings.Daemon.Zone), Region: core.Region(d.settings.Daemon.Region),
		State: stateNames[fleet.StateAlive], ConfigRevision: uint64(doc.Revision), ConfigChangeID: doc.ChangeID,
		Callers: d.callers(), InFlight: d.entry.InFlight(),
	}
	if d.leaving.Load() {
		s.State = stateNames[fleet.StateLeaving]
	}
	for _, g := range d.homes.Snapshot() {
		if g.Reducer.Home {
			s.Homes = append(s.Homes, operator.Home{Group: g.Group, Term: g.Reducer.Term, Primary: g.Reducer.Primary})
		}
	}
	slices.SortFunc(s.Homes, func(a, b operator.Home) int { return strings.Compare(string(a.Group), string(b.Group)) })
	for _, u := range d.entry.VersionUses() {
		s.Versions = append(s.Versions, operator.VersionUse{
			Kind: u.Kind, Version: u.Version, Requests: u.Requests, Window: entry.VersionWindow,
		})
	}
	s.Takeovers = d.takeoverWork()
	if withFleet {
		s.Fleet = d.fleet()
	}
	return s
}

func (d *Daemon) fleet() []operator.Peer {
	var list []operator.Peer
	for _, p := range d.gossip.Daemons() {
		list = append(list, operator.Peer{ID: p.ID, Zone: p.Zone, OperatorAddr: p.OperatorAddr, State: stateNames[p.State]})
	}
	return list
}

// callers is the number of open caller connections, by the front's own count.
func (d *Daemon) callers() int {
	vars, ok := d.front.Metrics().(*expvar.Map)
	if !ok {
		return 0
	}
	open, ok := vars.Get("connections").(*expvar.Int)
	if !ok {
		return 0
	}
	return int(open.Value())
}

// AwaitRevision implements operator.Daemon.
func (d *Daemon) AwaitRevision(ctx context.Context, revision uint64) (uint64, error) {
	for {
		changed := d.revisions.next()
		current := d.follower.Current().Revision
		if current >= config.Revision(revision) {
			return uint64(current), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return uint64(current), context.Cause(ctx)
		}
	}
}

// revisionWatch wakes those who wait for a revision.
type revisionWatch struct {
	mu sync.Mutex
	ch chan struct{}
}

func newRevisionWatch() *revisionWatch { return &revisionWatch{ch: make(chan struct{})} }

func (w *revisionWatch) next() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ch
}

func (w *revisionWatch) announce() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.ch)
	w.ch = make(chan struct{})
}
