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

// Store is what the copy needs of the platform's store; platform.Client is one.
type Store interface {
	List(ctx context.Context, prefix string) ([]platform.Item, mirror.Position, error)
	ListStale(ctx context.Context, prefix string) ([]platform.Item, error)
	Watch(ctx context.Context, prefix string, after mirror.Position, wait time.Duration) ([]platform.Item, mirror.Position, error)
}

// Owner is the daemon whose copy it is. All but Addr are called from one goroutine, or with
// a configuration that was fetched by hand.
type Owner interface {
	// Addr is where another daemon answers questions.
	Addr(id core.DaemonID) (string, bool)
	// DaemonsListed takes the list of daemons as it was some time ago, before anything else.
	DaemonsListed(daemons []platform.Item)
	// InstallDocument puts a configuration in force that the store holds, unless its version is lower
	// than that in force; Install does so for one that another daemon has told.
	InstallDocument(value []byte)
	InstallCatalog(catalog *direct.Catalog)
	// Changed takes what has changed, apart from the configuration.
	Changed(change Change)
	// ProofAdvanced takes that all that was told is complete as of then.
	ProofAdvanced(at core.Time)
	// ReportDependency takes that a use of something outside has failed, or succeeded.
	ReportDependency(name string, err error)
}

// Change is what has changed in the copy.
type Change struct {
	Items []platform.Item
	// Full says that the copy was filled or refilled; Items are what differs from before.
	Full bool
	// HasMembers says that the copy holds the members of groups and the promotion locks.
	HasMembers bool
	// AsOf is the moment as of which the copy is complete.
	AsOf core.Time
}

// Options are those of a copy.
type Options struct {
	Self  core.DaemonID
	Store Store
	Owner Owner
	// Now reads the clock of proofs.
	Now func() core.Time
	// MaxProofAge is within what time a change has to be in force; KeepYoung says that callers are
	// refused without a young proof.
	MaxProofAge  time.Duration
	ShortWatches bool
	// ListAt is when the copy may call the store for the first time.
	ListAt core.Time
}

// Copy is the daemon's copy.
type Copy struct {
	Options
	ctx context.Context
	// catalogs are the configuration in force and those before it, newest first.
	catalogs atomic.Pointer[[]*direct.Catalog]
	// changed interrupts a pause when the fleet or the scope has changed.
	changed chan struct{}
	// source is the link to the daemon that was asked last. Only run uses it.
	source *source

	// catchingUp lets one session at a time fetch a newer configuration; the next try
	// waits until nextCatchUp if the last one brought none.
	catchingUp  sync.Mutex
	nextCatchUp core.Time
	// refreshes lets all sessions that wait for news share one question; nextNews is the
	// earliest moment of the next one.
	refreshes   singleflight.Group
	nextRefresh atomic.Int64

	mu       sync.Mutex
	follower *relay.Follower
	mirror   *mirror.Mirror
	// scope is what the mirror holds, wanted what it is to hold.
	scope, requestedScope reportpb.Scope
	// awaitedConn is the connection on which an answer is waited for; nil: there is none.
	awaitedConn net.Conn
	// proofAdvanced is closed and replaced when there is a younger proof.
	proofAdvanced chan struct{}
}

// maxCatalogs is how many configurations are kept: a follower that has one of them is told
// the changes since.
const maxCatalogs = 4

// New returns an empty copy. ctx ends all its calls.
func New(ctx context.Context, o Options) *Copy {
	c := &Copy{
		Options: o, ctx: ctx, changed: make(chan struct{}, 1), proofAdvanced: make(chan struct{}),
		follower: relay.NewFollower(o.Self, o.MaxProofAge, o.ListAt), mirror: mirror.New(), requestedScope: reportpb.Scope_SCOPE_DAEMONS,
	}
	if o.ShortWatches {
		c.follower.UseShortWatches()
	}
	return c
}

// Version is that of the configuration in force; 0: there is none.
func (c *Copy) Version() uint64 {
	if catalog := c.Catalog(); catalog != nil {
		return catalog.Version
	}
	return 0
}

// Catalog is the configuration in force; nil: there is none.
func (c *Copy) Catalog() *direct.Catalog {
	if kept := c.catalogs.Load(); kept != nil {
		return (*kept)[0]
	}
	return nil
}

// SetCatalog keeps the configuration that was put in force, to pass it on. Calls follow
// each other.
func (c *Copy) SetCatalog(catalog *direct.Catalog) {
	kept := []*direct.Catalog{catalog}
	if old := c.catalogs.Load(); old != nil {
		kept = append(kept, (*old)[:min(len(*old), maxCatalogs-1)]...)
	}
	c.catalogs.Store(&kept)
}

// catalogSince is the configuration in force for a daemon that has the version; nil: it has
// that or a newer one.
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

// install takes a configuration that another daemon has told; nil: it has told none.
func (c *Copy) install(told *reportpb.Catalog) error {
	if told == nil {
		return nil
	}
	catalog, err := decodeCatalog(c.Catalog(), told)
	if err == nil {
		c.Owner.InstallCatalog(catalog)
	}
	return err
}

// Run carries out the follower's steps until the process ends.
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
			c.storeCallDone(c.load())
		case relay.Watch:
			c.storeCallDone(c.watch(step.Wait))
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

// SetFleet tells who watches the store: this daemon, or whom it asks, best first.
func (c *Copy) SetFleet(watches bool, relays []core.DaemonID) {
	c.mu.Lock()
	c.follower.SetFleet(c.Now(), watches, relays)
	c.mu.Unlock()
	c.interrupt()
}

// IncludeMembers has the copy hold the members of groups as well, from now on.
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

// SetProofValidFrom says from when on answers of the store prove what is in force; 0: always.
func (c *Copy) SetProofValidFrom(at core.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follower.SetProofValidFrom(at)
}

// StoreRestored takes that the store has come back from an older copy: what the copy has of it is
// read anew.
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

// Proof is the moment as of which the copy is complete, and a channel that is closed when
// there is a younger one; 0: there is none.
func (c *Copy) Proof() (core.Time, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Proof(), c.proofAdvanced
}

// NotifyWaiters has those who wait for a younger proof look again: this process stops.
func (c *Copy) NotifyWaiters() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyWaitersLocked()
}

// notifyWaitersLocked ends the waits for a younger proof; the lock is held.
func (c *Copy) notifyWaitersLocked() {
	close(c.proofAdvanced)
	c.proofAdvanced = make(chan struct{})
}

// updateFollower reports an outcome to the follower. A younger proof is told to the owner first, and
// then to those who wait for one.
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

// Dependencies of the copy, by their names in the log.
const (
	storeDependency = "store"
	relayDependency = "relay"
)

// storeCallDone takes the outcome of a call to the store.
func (c *Copy) storeCallDone(err error) {
	if c.ctx.Err() != nil {
		return
	}
	c.Owner.ReportDependency(storeDependency, err)
	if err != nil {
		c.updateFollower(func(f *relay.Follower) { f.StoreFailed(c.Now()) })
	}
}

// listDaemons reads the list of daemons, which may be old.
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

// load reads the whole copy. A watch goes on from its position and needs no history from
// before.
func (c *Copy) load() error {
	ctx, cancel := context.WithTimeout(c.ctx, loadTimeout)
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
	c.updateFollower(func(f *relay.Follower) { f.Loaded(sent) })
	return nil
}

// scopeToLoad is the scope that a read of the store is to have. A daemon that watches the store
// has everything, as others ask it.
func (c *Copy) scopeToLoad() reportpb.Scope {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.follower.IsWatcher() {
		c.requestedScope = reportpb.Scope_SCOPE_MEMBERS
	}
	return c.requestedScope
}

// list reads what belongs to the scope. The list of daemons may be old where it is all that
// is kept beside the configuration: a daemon that is not listed yet is not missed.
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

// allKeys is the prefix of all keys. One watch of it costs what a watch of the
// configuration alone would.
const allKeys = ""

// watch waits for the next changes.
func (c *Copy) watch(wait time.Duration) error {
	ctx, cancel := context.WithTimeout(c.ctx, wait+storeTimeout)
	defer cancel()
	c.mu.Lock()
	after := c.mirror.Position()
	c.mu.Unlock()
	sent := c.Now()
	events, position, err := c.Store.Watch(ctx, allKeys, after, wait)
	if err == nil {
		err = c.apply(reportpb.Scope_SCOPE_MEMBERS, position, events, false, sent)
	}
	if errors.Is(err, platform.ErrCompacted) || errors.Is(err, mirror.ErrOtherEra) || errors.Is(err, mirror.ErrBehind) {
		c.updateFollower(func(f *relay.Follower) { f.HistoryGone() })
		return nil
	}
	if err != nil {
		return err
	}
	c.updateFollower(func(f *relay.Follower) { f.Watched(c.Now(), sent, len(events)) })
	return nil
}

// apply brings the copy forward and tells the owner. What comes is complete as of the proof.
func (c *Copy) apply(scope reportpb.Scope, position mirror.Position, items []platform.Item, whole bool, proof core.Time) error {
	for _, item := range items {
		if item.Key == platform.ConfigurationKey && !item.Deleted {
			c.Owner.InstallDocument(item.Value)
		}
	}
	c.mu.Lock()
	changes, err := c.applyToMirror(scope, position, items, whole)
	c.mu.Unlock()
	if err == nil && (whole || len(changes) > 0) {
		c.Owner.Changed(Change{Items: changes, Full: whole, HasMembers: scope == reportpb.Scope_SCOPE_MEMBERS, AsOf: proof})
	}
	return err
}

// applyToMirror changes the mirror; the lock is held.
func (c *Copy) applyToMirror(scope reportpb.Scope, position mirror.Position, items []platform.Item, whole bool) ([]platform.Item, error) {
	kept := make([]platform.Item, 0, len(items))
	for _, item := range items {
		if inScope(scope, item.Key) {
			kept = append(kept, item)
		}
	}
	if !whole {
		return c.mirror.Apply(position, kept)
	}
	changes, err := c.mirror.Replace(position, kept)
	if err == nil {
		c.scope = scope
	}
	return changes, err
}

// inScope says whether a copy of the scope has the key. The configuration is kept apart.
func inScope(scope reportpb.Scope, key string) bool {
	switch scope {
	case reportpb.Scope_SCOPE_DAEMONS:
		return strings.HasPrefix(key, platform.FleetPrefix)
	case reportpb.Scope_SCOPE_MEMBERS:
		return strings.HasPrefix(key, platform.FleetPrefix) || strings.HasPrefix(key, platform.MembersPrefix) || strings.HasPrefix(key, platform.LocksPrefix)
	}
	return false
}
