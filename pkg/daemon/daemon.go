package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"limpetspan/core"
	"limpetspan/pkg/confstore"
	"limpetspan/pkg/entry"
	"limpetspan/pkg/front"
	"limpetspan/pkg/gossip"
	"limpetspan/pkg/home"
	"limpetspan/pkg/operator"
	"limpetspan/pkg/peer"
	"limpetspan/pkg/settings"
	"limpetspan/pkg/store"
	"limpetspan/pkg/takeover"
	"limpetspan/pkg/telemetry"
)

// Daemon is one limpetspand.
type Daemon struct {
	id       core.DaemonID
	settings *settings.Settings
	options  Options
	log      hclog.Logger
	started  time.Time

	tracing    *telemetry.Provider
	store      store.Store
	gossip     *gossip.Service
	peerClient *peer.Client
	peers      *peers
	homes      *home.Manager
	follower   *confstore.Follower
	entry      *entry.Entry
	users      *front.Users
	front      *front.Server
	peerServer *peer.Server
	operator   *operator.Server
	recorder   *recorder
	databases  *databases
	gates      *gates
	worker     *takeover.Worker
	cancels    chan struct{}

	listeners listeners
	// groupsChanged asks for another look at the groups this daemon serves.
	groupsChanged chan struct{}
	// drain is closed to begin the planned stop.
	drain     chan struct{}
	drainOnce sync.Once
	// killed is closed to end without the planned stop.
	killed   chan struct{}
	killOnce sync.Once
	leaving  atomic.Bool
	// converged is set once the view of the fleet is complete enough to act on.
	converged atomic.Bool
	revisions *revisionWatch
	closers   []func()
}

// listeners are the TCP sockets; the UDP socket belongs to the gossip service.
type listeners struct{ callers, peers, operator net.Listener }

// New binds the addresses and assembles the daemon; Run starts it. After an
// error nothing is left open.
func New(s *settings.Settings, options Options) (*Daemon, error) {
	d := &Daemon{
		id: core.DaemonID(s.Daemon.ID), settings: s, options: options.withDefaults(), started: time.Now(),
		groupsChanged: make(chan struct{}, 1), drain: make(chan struct{}), killed: make(chan struct{}),
		cancels: make(chan struct{}, maxForwardedCancels), revisions: newRevisionWatch(),
	}
	d.log = options.Logger
	if d.log == nil {
		d.log = telemetry.NewLogger(d.options.Stderr, s.Log.Level, s.Daemon.ID)
	}
	for _, step := range []struct {
		name string
		run  func() error
	}{
		{"trace", d.openTracing}, {"record", d.openRecorder}, {"listen", d.listen}, {"store", d.openStore}, {"gossip", d.openGossip},
		{"peers", d.openPeers}, {"targets", d.openHomes}, {"configuration", d.openConfiguration},
		{"take-overs", d.openTakeovers}, {"callers", d.openFront},
	} {
		if err := step.run(); err != nil {
			d.close()
			return nil, fmt.Errorf("%s: %w", step.name, err)
		}
	}
	d.operator = operator.NewServer(d, d.log.Named("operator"))
	return d, nil
}

// now is the process's monotonic clock.
func (d *Daemon) now() core.Time { return core.Time(time.Since(d.started)) }

// onClose has f called when the daemon ends.
func (d *Daemon) onClose(f func()) { d.closers = append(d.closers, f) }

// close undoes what New opened, last first.
func (d *Daemon) close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
	d.closers = nil
}

// Addrs returns the addresses the daemon is bound to.
func (d *Daemon) Addrs() Addrs {
	return Addrs{
		Callers:  d.listeners.callers.Addr().String(),
		Peers:    d.listeners.peers.Addr().String(),
		Gossip:   d.gossip.Self().GossipAddr,
		Operator: d.listeners.operator.Addr().String(),
	}
}

// Run serves until ctx ends or Drain is called, then stops in a planned way,
// and returns nil; or it returns the failure of a part that cannot go on.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	defer publish(d)()
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	parts, work := errgroup.WithContext(work)
	for name, run := range d.parts() {
		parts.Go(func() error {
			if err := run(work); err != nil && !errors.Is(err, context.Canceled) {
				d.log.Error("part failed", "step", name, "error", err)
				return fmt.Errorf("%s: %w", name, err)
			}
			return nil
		})
	}
	parts.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-d.drain:
		case <-d.killed:
			return nil
		case <-work.Done():
			return nil
		}
		d.stop()
		return nil
	})
	a := d.Addrs()
	d.log.Info("daemon started", "zone", d.settings.Daemon.Zone, "callers", a.Callers, "peers", a.Peers, "gossip", a.Gossip, "operator", a.Operator)
	err := parts.Wait()
	d.homes.Close()
	d.log.Info("daemon ended")
	return err
}

// parts are what runs until its context ends.
func (d *Daemon) parts() map[string]func(context.Context) error {
	parts := map[string]func(context.Context) error{
		"gossip":        d.gossip.Run,
		"peer client":   d.peerClient.Run,
		"peer server":   func(ctx context.Context) error { return d.peerServer.Serve(ctx, d.listeners.peers) },
		"configuration": d.follower.Run,
		"groups":        d.followGroups,
		"host list":     d.followHosts,
		"take-overs":    d.worker.Run,
		"callers":       func(ctx context.Context) error { return d.front.Serve(ctx, d.listeners.callers) },
		"operator":      func(ctx context.Context) error { return d.operator.Serve(ctx, d.listeners.operator) },
		"recorder":      d.recorder.run,
	}
	if d.options.Users == nil {
		parts["users"] = d.followUsers
	}
	return parts
}

// Drain begins the planned stop; Run returns when it is over.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drain) }) }

// Kill ends the daemon as a crash of its process would, for tests that run it
// in their own: sockets close, nobody is told and nothing is handed over. Run
// returns when all parts have ended.
func (d *Daemon) Kill() { d.killOnce.Do(func() { close(d.killed) }) }
