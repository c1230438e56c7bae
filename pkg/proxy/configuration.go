package proxy

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/relay"
	"limpetspan/platform"
)

// configuration keeps the catalog current, as core/relay decides, and tells other
// daemons what this one knows.
type configuration struct {
	p *Proxy
	// document is the configuration in force as the store has it.
	document atomic.Pointer[document]
	// reached is closed once the store has answered a read for the first time.
	reached chan struct{}
	// changed interrupts a pause when the fleet has changed.
	changed chan struct{}
	// after is the revision from which to watch, and source the link to the relay that
	// was asked last. Only run uses them.
	after  platform.Revision
	source *relaySource

	// accepting lets one configuration at a time be put in force.
	accepting sync.Mutex
	// catchingUp lets one session at a time fetch a newer configuration; the next try
	// waits until nextCatchUp if the last one brought none.
	catchingUp  sync.Mutex
	nextCatchUp core.Time

	// newsAsked lets all sessions that wait for news share one question; nextNews is the
	// earliest moment of the next one.
	newsAsked singleflight.Group
	nextNews  atomic.Int64

	mu       sync.Mutex
	follower *relay.Follower
	// advanced is closed and replaced when there is a younger proof.
	advanced chan struct{}
}

// document is a configuration as the store has it.
type document struct {
	version uint64
	value   []byte
}

func newConfiguration(p *Proxy) *configuration {
	c := &configuration{
		p: p, reached: make(chan struct{}), changed: make(chan struct{}, 1), advanced: make(chan struct{}),
		follower: relay.NewFollower(p.settings.Daemon, p.settings.ProofBound()),
	}
	if p.settings.KeyBound != 0 {
		c.follower.KeepYoung()
	}
	return c
}

// version is the version in force; 0: there is none.
func (c *configuration) version() uint64 {
	if d := c.document.Load(); d != nil {
		return d.version
	}
	return 0
}

// run carries out the follower's steps until the process ends.
func (c *configuration) run() {
	for c.p.running() {
		c.mu.Lock()
		step := c.follower.Next(now())
		c.mu.Unlock()
		switch step.Kind {
		case relay.Pause:
			c.p.await(step.Wait, c.changed)
		case relay.Load:
			c.called(c.load())
		case relay.Watch:
			c.called(c.watch(step.Wait))
		case relay.Ask:
			c.ask(step)
		}
	}
	c.leaveSource()
}

// setFleet tells who watches the store.
func (c *configuration) setFleet(watches bool, relays []core.DaemonID) {
	c.mu.Lock()
	c.follower.SetFleet(watches, relays)
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// proof is the follower's proof, and a channel that is closed when there is a younger one.
func (c *configuration) proof() (core.Time, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Proof(), c.advanced
}

// dismiss has those who wait for a younger proof look again: this process stops.
func (c *configuration) dismiss() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake()
}

// wake ends the waits for a younger proof; the lock is held.
func (c *configuration) wake() {
	close(c.advanced)
	c.advanced = make(chan struct{})
}

// learn reports an outcome to the follower, and wakes those who wait for a younger proof.
func (c *configuration) learn(report func(f *relay.Follower)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.follower.Proof()
	report(c.follower)
	if c.follower.Proof() > before {
		c.wake()
	}
}

// called takes the outcome of a call to the store.
func (c *configuration) called(err error) {
	c.p.dependency("configuration", err)
	if err != nil && c.p.running() {
		c.learn(func(f *relay.Follower) { f.StoreFailed(now()) })
	}
}

// load reads the configuration, if there is one yet, and the store's own revision: a
// watch that goes on from it needs no history from before, and waits for a first
// configuration without asking again and again.
func (c *configuration) load() error {
	ctx, cancel := context.WithTimeout(c.p.ctx, storeTimeout)
	defer cancel()
	sent := now()
	items, revision, err := c.p.client.List(ctx, platform.ConfigurationKey)
	if err != nil {
		return err
	}
	c.acceptFrom(items)
	c.after = revision
	c.learn(func(f *relay.Follower) { f.Loaded(sent) })
	if !isClosed(c.reached) {
		close(c.reached)
	}
	return nil
}

// watch waits for the next change.
func (c *configuration) watch(wait time.Duration) error {
	ctx, cancel := context.WithTimeout(c.p.ctx, wait+storeTimeout)
	defer cancel()
	sent := now()
	events, next, err := c.p.client.Watch(ctx, platform.ConfigurationKey, c.after, wait)
	if errors.Is(err, platform.ErrCompacted) {
		c.learn(func(f *relay.Follower) { f.HistoryGone() })
		return nil
	}
	if err != nil {
		return err
	}
	c.acceptFrom(events)
	c.after = max(c.after, next)
	c.learn(func(f *relay.Follower) { f.Watched(sent) })
	return nil
}

// acceptFrom takes the configuration from items of a read or a watch.
func (c *configuration) acceptFrom(items []platform.Item) {
	for _, item := range items {
		if item.Key == platform.ConfigurationKey && !item.Deleted {
			c.accept(item.Value)
		}
	}
}

// accept puts a configuration in force. It is replaced only by one of a higher version,
// whoever tells it and whatever the store answers after a gap.
func (c *configuration) accept(value []byte) {
	catalog, err := platform.ParseConfiguration(value)
	if err == nil {
		value, err = platform.SealConfiguration(value)
	}
	if err != nil {
		c.p.log.Error("configuration cannot be read", "error", err.Error())
		return
	}
	c.accepting.Lock()
	defer c.accepting.Unlock()
	if old := c.p.catalog.Load(); old != nil && old.Version >= catalog.Version {
		return
	}
	for _, problem := range catalog.Problems {
		c.p.log.Error("part of the configuration cannot be used", "version", catalog.Version, "problem", problem)
	}
	c.p.catalog.Store(catalog)
	c.p.configuredAt.CompareAndSwap(0, int64(now()))
	c.p.log.Info("configuration in force", "version", catalog.Version, "routes", len(catalog.Routes))
	for _, g := range c.p.allGroups() {
		spec, ok := catalog.Groups[g.id]
		if !ok {
			continue
		}
		g.update(func(r *direct.Group, _ core.Time) []direct.Effect {
			r.Configure(spec)
			return nil
		})
	}
	c.document.Store(&document{catalog.Version, value})
	c.p.homes.update()
}
