package metadata

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/mirror"
	"limpetspan/core/relay"
	"limpetspan/pkg/proxy/reportpb"
	"limpetspan/platform"
)

// Store is the part of the platform's store that a copy uses. platform.Client implements it.
type Store interface {
	List(ctx context.Context, prefix string) ([]platform.Item, mirror.Position, error)
	ListStale(ctx context.Context, prefix string) ([]platform.Item, error)
	Watch(ctx context.Context, prefix string, after mirror.Position, wait time.Duration) ([]platform.Item, mirror.Position, error)
	Position(ctx context.Context) (mirror.Position, error)
}

// Owner is the daemon that uses the copy. The goroutine of Copy.Run calls its methods, with these
// exceptions: Addr and ReportDependency are called from any goroutine, and so is InstallCatalog
// for a configuration that CatchUp, Fetch or RefreshConfiguration has fetched.
type Owner interface {
	// Addr returns the address at which another daemon answers questions, false if it is unknown.
	Addr(id core.DaemonID) (string, bool)
	// DaemonsListed handles the first list of daemons, which may be stale. It is called before
	// all other methods that pass data of the store.
	DaemonsListed(daemons []platform.Item)
	// InstallDocument puts a configuration from the store in force, if its version is higher than
	// that of the one in force.
	InstallDocument(value []byte)
	// InstallCatalog does the same with a configuration from another daemon.
	InstallCatalog(catalog *direct.Catalog)
	// Changed handles a change of the copy. The configuration is not part of it.
	Changed(change Change)
	// ProofAdvanced handles a new proof: everything that was reported is complete as of that time.
	ProofAdvanced(at core.Time)
	// WatchUnusable records that the store's answer to a watch cannot be used, so that the copy is
	// loaded.
	WatchUnusable(reason error)
	// ReportDependency records the outcome of a call to a dependency, nil if it succeeded.
	ReportDependency(name string, err error)
}

// Change is a change of the copy.
type Change struct {
	Items []platform.Item
	// Full is set if the whole copy was loaded. Items are the differences from the previous copy
	// in this case, too.
	Full bool
	// HasMembers is set if the copy holds the members of groups and the promotion locks.
	HasMembers bool
	// AsOf is the time as of which the copy is complete.
	AsOf core.Time
}

// Options are the options of a copy.
type Options struct {
	Self  core.DaemonID
	Store Store
	Owner Owner
	// Now reads the clock that dates proofs.
	Now func() core.Time
	// MaxProofAge bounds the age of the proof: a change of the configuration has to take effect within
	// this time.
	MaxProofAge time.Duration
	// ShortWatches is set if callers are refused without a proof younger than MaxProofAge. Proofs
	// are then renewed more often, and a watch that returned changes is none.
	ShortWatches bool
	// ListAt is the earliest time of the first call to the store, which lists the daemons.
	ListAt core.Time
}

// Copy is a daemon's copy of the store. Its methods are safe for concurrent use, except that Run
// is called once and that calls of SetCatalog must not overlap.
type Copy struct {
	Options
	ctx context.Context
	// catalogs holds the configuration in force and its predecessors, newest first.
	catalogs atomic.Pointer[[]*direct.Catalog]
	// changed interrupts a pause when the fleet or the scope has changed.
	changed chan struct{}
	// source is the link to the relay that was asked last. Only the goroutine of Run uses it.
	source *source

	// catchingUp is held while a session fetches a newer configuration. If that brings none, no
	// other session tries before nextCatchUp.
	catchingUp  sync.Mutex
	nextCatchUp core.Time
	// refreshes merges concurrent calls of RefreshConfiguration into one question. nextRefresh is
	// the earliest time of the next one.
	refreshes   singleflight.Group
	nextRefresh atomic.Int64

	mu       sync.Mutex
	follower *relay.Follower
	mirror   *mirror.Mirror
	// scope is the scope of the items in the mirror, requestedScope the one that it is to have.
	scope, requestedScope reportpb.Scope
	// awaitedConn is the connection on which a relay's answer is pending, nil if there is none.
	awaitedConn net.Conn
	// proofAdvanced is closed and replaced when there is a younger proof, or when the copy has changed.
	proofAdvanced chan struct{}
}

// maxCatalogs is how many configurations are kept. A follower that has one of them receives only
// the changes since that version.
const maxCatalogs = 4

// New returns an empty copy. All its calls end with ctx.
func New(ctx context.Context, o Options) *Copy {
	c := &Copy{
		Options: o, ctx: ctx, changed: make(chan struct{}, 1), proofAdvanced: make(chan struct{}),
		follower: relay.NewFollower(o.Self, o.MaxProofAge, o.ListAt), mirror: mirror.New(), requestedScope: reportpb.Scope_SCOPE_DAEMONS,
	}
	if o.ShortWatches {
		c.follower.UseShortWatches()
	} else {
		c.follower.TrustWatches()
	}
	return c
}

// Version returns the version of the configuration in force, 0 if there is none.
func (c *Copy) Version() uint64 {
	if catalog := c.Catalog(); catalog != nil {
		return catalog.Version
	}
	return 0
}

// Catalog returns the configuration in force, nil if there is none.
func (c *Copy) Catalog() *direct.Catalog {
	if kept := c.catalogs.Load(); kept != nil {
		return (*kept)[0]
	}
	return nil
}

// SetCatalog sets the configuration in force, which is passed on to followers. Calls must not
// overlap.
func (c *Copy) SetCatalog(catalog *direct.Catalog) {
	kept := []*direct.Catalog{catalog}
	if old := c.catalogs.Load(); old != nil {
		kept = append(kept, (*old)[:min(len(*old), maxCatalogs-1)]...)
	}
	c.catalogs.Store(&kept)
}

// catalogSince encodes the configuration in force for a daemon that has the version. It returns
// nil if that daemon has the same version or a newer one.
func (c *Copy) catalogSince(version uint64) *reportpb.Catalog {
	kept := c.catalogs.Load()
	if kept == nil || (*kept)[0].Version <= version {
		return nil
	}
	var base *direct.Catalog
	for _, old := range (*kept)[1:] {
		if old.Version == version {
			base = old
		}
	}
	return encodeCatalog(base, (*kept)[0])
}

// install puts a configuration from another daemon in force; received is nil if the answer had
// none.
func (c *Copy) install(received *reportpb.Catalog) error {
	if received == nil {
		return nil
	}
	catalog, err := decodeCatalog(c.Catalog(), received)
	if err == nil {
		c.Owner.InstallCatalog(catalog)
	}
	return err
}

// Run executes the follower's steps until the copy's context ends.
func (c *Copy) Run() {
	for c.ctx.Err() == nil {
		c.mu.Lock()
		step := c.follower.Next(c.Now())
		c.mu.Unlock()
		switch step.Kind {
		case relay.Pause:
			c.pause(step.Wait)
		case relay.ListDaemons:
			c.storeCallDone(c.listDaemons())
		case relay.Load:
			c.storeCallDone(c.load(step.Timeout))
		case relay.Watch:
			c.storeCallDone(c.watch(step.Wait))
		case relay.Check:
			c.storeCallDone(c.check())
		case relay.Ask:
			c.askRelay(step)
		}
	}
	c.closeSource()
}

func (c *Copy) pause(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
	case <-c.changed:
	case <-timer.C:
	}
}

// SetFleet sets whether this daemon watches the store, and which relays it asks otherwise, best
// first.
func (c *Copy) SetFleet(watches bool, relays []core.DaemonID) {
	c.mu.Lock()
	c.follower.SetFleet(c.Now(), watches, relays)
	c.mu.Unlock()
	c.interrupt()
}

// IncludeMembers extends the copy to the members of groups and the promotion locks, from now on.
func (c *Copy) IncludeMembers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestedScope == reportpb.Scope_SCOPE_MEMBERS {
		return
	}
	c.requestedScope = reportpb.Scope_SCOPE_MEMBERS
	c.follower.RefreshNow()
	if c.awaitedConn != nil {
		_ = c.awaitedConn.SetDeadline(time.Unix(1, 0))
	}
	c.interrupt()
}

// SetProofValidFrom sets the time from which answers of the store give a proof, 0 if they always do.
func (c *Copy) SetProofValidFrom(at core.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follower.SetProofValidFrom(at)
}

// StoreRestored handles the restore of the store from an older copy: the whole copy is loaded
// again.
func (c *Copy) StoreRestored() {
	c.mu.Lock()
	c.follower.HistoryGone()
	c.mu.Unlock()
	c.interrupt()
}

// interrupt ends a pause.
func (c *Copy) interrupt() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Proof returns the time as of which the copy is complete, 0 if there is none yet, and a channel
// that is closed when there is a younger proof.
func (c *Copy) Proof() (core.Time, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Proof(), c.proofAdvanced
}

// NotifyWaiters wakes the followers' questions that wait for a younger proof, so that Serve notices
// that this process is stopping or that the copy has changed.
func (c *Copy) NotifyWaiters() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyWaitersLocked()
}

// notifyWaitersLocked ends the waits for a younger proof. The lock is held.
func (c *Copy) notifyWaitersLocked() {
	close(c.proofAdvanced)
	c.proofAdvanced = make(chan struct{})
}

// updateFollower reports the outcome of a step to the follower. If that yields a younger proof, it
// wakes the questions that wait for one and notifies the owner.
func (c *Copy) updateFollower(report func(f *relay.Follower)) {
	c.mu.Lock()
	before := c.follower.Proof()
	report(c.follower)
	proof := c.follower.Proof()
	if proof > before {
		c.notifyWaitersLocked()
	}
	c.mu.Unlock()
	if proof > before {
		c.Owner.ProofAdvanced(proof)
	}
}

// Names of the copy's dependencies in the log.
const (
	storeDependency = "store"
	relayDependency = "relay"
)

// storeCallDone records the outcome of a call to the store.
func (c *Copy) storeCallDone(err error) {
	if c.ctx.Err() != nil {
		return
	}
	c.Owner.ReportDependency(storeDependency, err)
	if err != nil {
		c.updateFollower(func(f *relay.Follower) { f.StoreFailed(c.Now()) })
	}
}

// listDaemons reads the list of daemons, which may be stale.
func (c *Copy) listDaemons() error {
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	daemons, err := c.Store.ListStale(ctx, platform.FleetPrefix)
	if err != nil {
		return err
	}
	c.updateFollower(func(f *relay.Follower) { f.DaemonsListed() })
	c.Owner.DaemonsListed(daemons)
	return nil
}

// load reads the whole copy within the timeout, at most loadTimeout, which 0 stands for. The next watch
// starts at its position, so it needs no earlier history.
func (c *Copy) load(timeout time.Duration) error {
	if timeout == 0 {
		timeout = loadTimeout
	}
	ctx, cancel := context.WithTimeout(c.ctx, min(timeout, loadTimeout))
	defer cancel()
	sent := c.Now()
	scope := c.scopeToLoad()
	items, position, err := c.list(ctx, scope)
	if err != nil {
		return err
	}
	if err := c.apply(scope, position, items, true, sent); err != nil {
		return err
	}
	c.updateFollower(func(f *relay.Follower) {
		f.Reached(position)
		f.Loaded(sent)
	})
	return nil
}

// scopeToLoad returns the scope of a load from the store. A daemon that watches the store holds
// everything, because others ask it.
func (c *Copy) scopeToLoad() reportpb.Scope {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.follower.IsWatcher() {
		c.requestedScope = reportpb.Scope_SCOPE_MEMBERS
	}
	return c.requestedScope
}

// list reads the items of the scope. Without members, a stale list of daemons suffices: nothing
// fails if the newest daemon is missing.
func (c *Copy) list(ctx context.Context, scope reportpb.Scope) ([]platform.Item, mirror.Position, error) {
	if scope == reportpb.Scope_SCOPE_MEMBERS {
		return c.Store.List(ctx, allKeys)
	}
	items, position, err := c.Store.List(ctx, platform.ConfigurationKey)
	if err != nil {
		return nil, position, err
	}
	daemons, err := c.Store.ListStale(ctx, platform.FleetPrefix)
	return append(items, daemons...), position, err
}

// allKeys is the prefix of all keys. A watch of it costs no more than one of the configuration
// alone.
const allKeys = ""

// watch waits for the next changes.
func (c *Copy) watch(wait time.Duration) error {
	ctx, cancel := context.WithTimeout(c.ctx, wait+storeTimeout)
	defer cancel()
	c.mu.Lock()
	sent := c.Now()
	after, asOf := c.mirror.Position(), c.follower.CompleteAsOf(sent)
	c.mu.Unlock()
	events, position, err := c.Store.Watch(ctx, allKeys, after, wait)
	if err == nil {
		err = c.apply(reportpb.Scope_SCOPE_MEMBERS, position, events, false, asOf)
	}
	if isUnusable(err) {
		c.Owner.WatchUnusable(err)
		c.updateFollower(func(f *relay.Follower) { f.WatchUnusable(c.Now()) })
		return nil
	}
	if err != nil {
		return err
	}
	c.updateFollower(func(f *relay.Follower) {
		f.Reached(position)
		f.Watched(c.Now(), sent, len(events))
	})
	if len(events) > 0 {
		c.NotifyWaiters()
	}
	return nil
}

// check reads the position of the store.
func (c *Copy) check() error {
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	sent := c.Now()
	position, err := c.Store.Position(ctx)
	if err != nil {
		return err
	}
	c.updateFollower(func(f *relay.Follower) { f.Checked(sent, position) })
	return nil
}

// isUnusable reports whether the store answered a watch with something that the same watch would
// bring again.
func isUnusable(err error) bool {
	for _, target := range []error{platform.ErrCompacted, platform.ErrUnusable, mirror.ErrOtherEra, mirror.ErrBehind} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// apply updates the copy and notifies the owner. The items are all items of the scope if full is
// set, else changes. The copy is then complete as of the proof, or a later time.
func (c *Copy) apply(scope reportpb.Scope, position mirror.Position, items []platform.Item, full bool, proof core.Time) error {
	for _, item := range items {
		if item.Key == platform.ConfigurationKey && !item.Deleted {
			c.Owner.InstallDocument(item.Value)
		}
	}
	c.mu.Lock()
	changes, err := c.applyToMirror(scope, position, items, full)
	c.mu.Unlock()
	if err == nil && (full || len(changes) > 0) {
		c.Owner.Changed(Change{Items: changes, Full: full, HasMembers: scope == reportpb.Scope_SCOPE_MEMBERS, AsOf: proof})
	}
	return err
}

// applyToMirror updates the mirror and returns the differences. The lock is held.
func (c *Copy) applyToMirror(scope reportpb.Scope, position mirror.Position, items []platform.Item, full bool) ([]platform.Item, error) {
	kept := make([]platform.Item, 0, len(items))
	for _, item := range items {
		if inScope(scope, item.Key) {
			kept = append(kept, item)
		}
	}
	if !full {
		return c.mirror.Apply(position, kept)
	}
	changes, err := c.mirror.Replace(position, kept)
	if err == nil {
		c.scope = scope
	}
	return changes, err
}

// inScope reports whether the scope contains the key. The configuration is not kept in the mirror.
func inScope(scope reportpb.Scope, key string) bool {
	switch scope {
	case reportpb.Scope_SCOPE_DAEMONS:
		return strings.HasPrefix(key, platform.FleetPrefix)
	case reportpb.Scope_SCOPE_MEMBERS:
		return strings.HasPrefix(key, platform.FleetPrefix) || strings.HasPrefix(key, platform.MembersPrefix) || strings.HasPrefix(key, platform.LocksPrefix)
	}
	return false
}
