package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/policy"
	"limpetspan/pkg/proxy/metadata"
	"limpetspan/pkg/telemetry"
	"limpetspan/platform"
)

// Proxy is a daemon: it accepts callers, runs their statements on members of database groups or
// forwards them to a home, and takes part in the fleet.
type Proxy struct {
	settings  platform.Settings
	client    *platform.Client
	startedAt core.Time
	// configuredAt is when the first configuration took effect, as core.Time, and 0 before that.
	configuredAt atomic.Int64
	log          hclog.Logger
	stats        *stats
	tracer       trace.Tracer
	limiter      decisionLimiter
	// livenessChecks merges concurrent liveness checks of the same home.
	livenessChecks singleflight.Group
	// policy is the set of optional mechanisms that are switched on.
	policy policy.Set
	// access checks callers' keys.
	access access
	// limits counts the operations of teams against their limits.
	limits *limits
	// sessionLimits bounds the state that a session may set.
	sessionLimits SessionLimits
	// boot identifies this run of the process in promotion locks, slots and reports.
	boot    int64
	claims  *claims
	peers   *peers
	homes   *homes
	catalog atomic.Pointer[direct.Catalog]
	// metadata is this daemon's copy of the store, view its decoded content.
	metadata *metadata.Copy
	view     *view
	// eras tracks the store's era.
	eras     *eras
	hostLoad *hostLoad
	// reregister is set if a restore of the store may have removed this daemon's entry.
	reregister atomic.Bool
	// initialDaemons receives the list of daemons as it was before this one joined the fleet.
	initialDaemons chan *daemonList
	// stopping is set when a planned stop begins. The channel closed is closed when the stop no
	// longer accepts work, done when the process ends.
	stopping atomic.Bool
	closed   chan struct{}
	done     chan struct{}
	// ctx ends with the process and bounds all calls to the platform.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	groups   map[core.GroupID]*group
	sessions map[*session]struct{}

	dependencies *dependencies
	// unreadable records the store's items that cannot be decoded.
	unreadable *unreadableItems
}

// Memory settings of the process.
const (
	// memoryLimitShare is the Go runtime's soft memory limit as a share of the platform's limit. The
	// garbage collector runs more often before the platform's limit is reached.
	memoryLimitShare = 0.7
	// gcPercent is the growth of the heap between garbage collections, in per cent. It is high
	// because the heap has only a few megabytes and collections cost processor time.
	gcPercent = 400
)

// New returns a daemon that logs to w.
func New(s platform.Settings, w io.Writer) *Proxy {
	st := newStats()
	p := &Proxy{
		settings: s, client: platform.NewClient(s.StoreAddr, s.PromoteAddr), stats: st, boot: time.Now().UnixNano(),
		closed: make(chan struct{}), done: make(chan struct{}), initialDaemons: make(chan *daemonList, 1), groups: make(map[core.GroupID]*group), sessions: make(map[*session]struct{}),
		sessionLimits: DefaultSessionLimits, policy: policy.All,
		log: telemetry.NewLogger(newAsyncWriter(w, st), "info", string(s.Daemon)),
	}
	p.dependencies = newDependencies(p.log)
	p.unreadable = newUnreadableItems(p)
	p.startedAt = now()
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.homes = newHomes(p)
	p.access = newAccess(p)
	p.limits = newLimits(p)
	p.view = newView(p)
	p.eras = &eras{p: p}
	p.hostLoad = &hostLoad{p: p}
	p.client.OnEra(p.eras.observe)
	p.client.SetMaxValueBytes(s.MaxValueBytes)
	p.metadata = metadata.New(p.ctx, metadata.Options{
		Self: s.Daemon, Store: p.client, Owner: p.view, Now: now, MaxProofAge: s.MaxProofAge(), ShortWatches: s.KeyRevocationBound != 0, ListAt: p.firstListAt(),
	})
	p.claims = &claims{p: p, observed: make(map[core.GroupID]observedLock), promotions: make(map[core.GroupID]*promotionCall)}
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryLimit)))
	}
	debug.SetGCPercent(gcPercent)
	return p
}

// firstListAt returns when this daemon first reads the list of daemons. When a fleet starts for the
// first time, strong hosts register first, so that weak ones find them in the list.
func (p *Proxy) firstListAt() core.Time {
	if !p.settings.FirstStart {
		return p.startedAt
	}
	return p.startedAt.Add(direct.JoinDelay(p.asDaemon(), firstStartDelay))
}

// SetPolicy sets which optional mechanisms are switched on, so that a measurement can show the effect
// of each. It must be called before Run.
func (p *Proxy) SetPolicy(set policy.Set) {
	p.policy = set
	p.limits.setSplit()
}

// SetSessionLimits bounds the state that a session may set. It must be called before Run.
func (p *Proxy) SetSessionLimits(l SessionLimits) error {
	if err := l.validate(); err != nil {
		return err
	}
	p.sessionLimits = l
	return nil
}

// Run serves callers until ctx ends, and then performs a planned stop.
func (p *Proxy) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", p.settings.CallerAddr)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", p.settings.ReadyAddr)
	if err != nil {
		return err
	}
	if p.peers, err = newPeers(p); err != nil {
		return err
	}
	metrics, err := net.Listen("tcp", net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.LastPort)))
	if err != nil {
		return err
	}
	links, err := net.Listen("tcp", p.settings.LinkAddr(p.settings.IP))
	if err != nil {
		return err
	}
	p.log.Info("started", "callers", p.settings.CallerAddr, "zone", p.settings.Zone, "switched_off", p.policy.Off())
	var work errgroup.Group
	for _, f := range []func(){p.metadata.Run, p.runRegistration, p.tickLoop, p.peers.run, p.peers.receive, p.limits.run} {
		work.Go(func() error { f(); return nil })
	}
	go p.serveHTTP("readiness", ready, p.handleReadiness)
	go p.serveHTTP("metrics", metrics, p.handleMetrics)
	go p.acceptLoop(callers, func(c net.Conn) { p.newSession(c).run() })
	go p.acceptLoop(links, p.serveLink)
	<-ctx.Done()
	p.stop(callers)
	close(p.done)
	p.cancel()
	_ = p.peers.conn.Close()
	_ = ready.Close()
	_ = metrics.Close()
	_ = links.Close()
	return work.Wait()
}

// Reload applies changed addresses of the store and of the promotion service; err is the failure to
// read the settings, if any. All other settings stay as they are until a restart. A change of the
// process's own addresses is logged.
func (p *Proxy) Reload(s platform.Settings, err error) {
	if err != nil {
		p.log.Error("settings cannot be read; the previous ones stay in force", "error", err.Error())
		return
	}
	if s.CallerAddr != p.settings.CallerAddr || s.ReadyAddr != p.settings.ReadyAddr || s.GossipPort != p.settings.GossipPort {
		p.log.Warn("a change of this process's own addresses takes effect only after a restart", "callers", s.CallerAddr)
	}
	p.client.SetAddresses(s.StoreAddr, s.PromoteAddr)
	p.log.Info("settings reloaded", "store", s.StoreAddr, "promote", s.PromoteAddr)
}

// running reports whether the process has not ended yet. It stays true during a planned stop.
func (p *Proxy) running() bool { return !isClosed(p.done) }

// closing reports whether a planned stop has reached the phase in which it accepts no work.
func (p *Proxy) closing() bool { return isClosed(p.closed) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// sleep waits for d or until the end of the process.
func (p *Proxy) sleep(d time.Duration) { p.sleepInterruptible(d, nil) }

// sleepInterruptible waits for d, until interrupt is readable or closed, or until the end of the
// process.
func (p *Proxy) sleepInterruptible(d time.Duration, interrupt <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-interrupt:
	case <-timer.C:
	}
}

// acceptLoop accepts connections until l is closed, and serves each in a goroutine of its own.
func (p *Proxy) acceptLoop(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			p.log.Warn("accept failed", "error", err.Error())
			time.Sleep(minReportInterval)
			continue
		}
		go serve(c)
	}
}

// newSession creates the session of a connection from a caller or an entry. A planned stop waits
// until removeSession has been called for it.
func (p *Proxy) newSession(c net.Conn) *session {
	s := &session{p: p, c: c, sessionState: newSessionState()}
	p.mu.Lock()
	p.sessions[s] = struct{}{}
	p.mu.Unlock()
	return s
}

func (p *Proxy) removeSession(s *session) {
	p.mu.Lock()
	delete(p.sessions, s)
	p.mu.Unlock()
}

// group returns the group, and creates it if it does not exist. Groups that are not in use here are
// evicted after a while.
func (p *Proxy) group(id core.GroupID) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groupLocked(id)
}

// groupLocked does the same as group with p.mu held.
func (p *Proxy) groupLocked(id core.GroupID) *group {
	g := p.groups[id]
	if g == nil {
		g = newGroup(p, id)
		p.groups[id] = g
	}
	return g
}

// existingGroup returns the group, nil if it has not been created or has been evicted.
func (p *Proxy) existingGroup(id core.GroupID) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groups[id]
}

// groupForStatement returns the group for a statement that runs here. On a daemon that is not a home
// of the group, the copy of the store may lack members, and is extended to them.
func (p *Proxy) groupForStatement(id core.GroupID) *group {
	at := now()
	g, usedBefore := p.markUsed(id, at)
	if usedBefore {
		return g
	}
	if isHome, _ := p.homes.ownRole(id); !isHome {
		p.metadata.IncludeMembers()
	}
	return g
}

// markUsed records that the group is in use, and returns it and whether it was in use before. It holds
// both locks at the same time, so that evictUnusedGroups cannot evict the group in between.
func (p *Proxy) markUsed(id core.GroupID, at core.Time) (g *group, usedBefore bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g = p.groupLocked(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	usedBefore = at.Sub(g.lastUsed) < groupConnRetention
	g.lastUsed = at
	return g, usedBefore
}

// evictUnusedGroups removes the groups that are not in use here any more.
func (p *Proxy) evictUnusedGroups(at core.Time) {
	for _, g := range p.allGroups() {
		if p.isActive(g, at) {
			continue
		}
		p.mu.Lock()
		if g.isUnused(at) {
			delete(p.groups, g.id)
			close(g.evicted)
		}
		p.mu.Unlock()
	}
}

// isActive reports whether this daemon connects to the group's members, because it is a home of the
// group or because a statement for the group ran here recently.
func (p *Proxy) isActive(g *group, at core.Time) bool {
	isHome, _ := p.homes.ownRole(g.id)
	g.mu.Lock()
	defer g.mu.Unlock()
	return isHome || at.Sub(g.lastUsed) < groupConnRetention
}

// activeGroups returns the groups to whose members this daemon connects.
func (p *Proxy) activeGroups() []*group {
	at := now()
	return slices.DeleteFunc(p.allGroups(), func(g *group) bool { return !p.isActive(g, at) })
}

func (p *Proxy) allGroups() []*group {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*group, 0, len(p.groups))
	for _, g := range p.groups {
		list = append(list, g)
	}
	return list
}

// defaultIdleTransactionTimeout is used while the configuration sets no timeout.
const defaultIdleTransactionTimeout = 3 * time.Second

// idleTransactionTimeout returns how long a transaction may wait for its caller's next statement.
func (p *Proxy) idleTransactionTimeout() time.Duration {
	if c := p.catalog.Load(); c != nil && c.IdleTransaction > 0 {
		return c.IdleTransaction
	}
	return defaultIdleTransactionTimeout
}

// tickLoop ticks active groups, closes the idle connections of all others, and evicts unused groups.
func (p *Proxy) tickLoop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var lastEviction core.Time
	lastTick := now()
	for {
		select {
		case <-p.done:
			return
		case <-t.C:
		}
		at := now()
		p.hostLoad.recordTick(at.Sub(lastTick))
		lastTick = at
		if at.Sub(lastEviction) >= evictionInterval {
			lastEviction = at
			p.evictUnusedGroups(at)
		}
		for _, g := range p.allGroups() {
			if p.isActive(g, at) {
				g.tick()
			} else {
				g.closeAllIdle()
			}
		}
	}
}

// ready reports whether callers may be sent here: the configuration has been read, homes have been
// chosen, members are known if this daemon is a home, and no planned stop has begun. A daemon stays
// ready during a later failure of the store, because otherwise all daemons would become unready at
// once.
func (p *Proxy) ready() bool {
	membersKnown := p.view.membersKnown() || !p.homes.isHomeOfAny()
	return p.catalog.Load() != nil && membersKnown && p.homes.chosen() && !p.stopping.Load()
}

// handleReadiness answers the readiness probe of the load balancer.
func (p *Proxy) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if !p.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// handleMetrics returns the counters as JSON. It is served on the last of the internal ports.
func (p *Proxy) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	groups := make(map[core.GroupID]direct.GroupView)
	for _, g := range p.activeGroups() {
		groups[g.id] = inspect(g, (*direct.Group).View)
	}
	all := map[string]any{"proxy": p.stats.snapshot(), "platform_calls": p.client.Calls(), "ready": p.ready(), "groups": groups,
		"pools": p.pools(), "host_load": p.hostLoad.snapshot(), "teams": p.limits.busiestTeams(maxPublishedTeams),
		"peers_down": p.homes.health.down(), "copy": p.copyState(), "unreadable_items": valuesOf(&p.unreadable.counts)}
	if p.settings.OverloadControl {
		all["overload"], all["queues"] = p.stats.overload.snapshot(), p.queueLengths()
	}
	if err := json.NewEncoder(w).Encode(all); err != nil {
		p.log.Warn("metrics could not be sent", "error", err.Error())
	}
}

// copyState returns the state of this daemon's copy of the store for the metrics.
func (p *Proxy) copyState() map[string]any {
	state := map[string]any{"version": p.metadata.Version(), "failed_calls": p.client.Failures()}
	if proof, _ := p.metadata.Proof(); proof != 0 {
		state["proof_age_ms"] = now().Sub(proof).Milliseconds()
	}
	return state
}

// serveHTTP serves h on l until l is closed.
func (p *Proxy) serveHTTP(what string, l net.Listener, h http.HandlerFunc) {
	server := &http.Server{ReadHeaderTimeout: startupTimeout, Handler: h}
	if err := server.Serve(l); err != nil && p.running() {
		p.log.Error("HTTP server failed", "what", what, "error", err.Error())
	}
}

// stopPollInterval is the interval at which a planned stop checks for remaining sessions.
const stopPollInterval = 20 * time.Millisecond

// Shares of the grace period, both measured from its start.
const (
	// acceptShare is the share in which a planned stop accepts new work.
	acceptShare = 0.37
	// workShare is the share in which statements may run. Nearly all statements take less time than
	// the part between acceptShare and workShare. The part after workShare suffices to end the
	// process, even on a busy host.
	workShare = 0.92
)

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// stop closes sessions as they become idle. In the first part of the grace period callers still
// connect: the load balancer needs two seconds to notice that this daemon is not ready, and continues
// to send callers if no other daemon is left. Then no new work is accepted, so that running statements
// can end before the process is killed.
func (p *Proxy) stop(callers net.Listener) {
	p.stopping.Store(true)
	p.peers.requestFullReport()
	p.metadata.NotifyWaiters()
	began := now()
	p.log.Info("stopping", "sessions", p.countSessions())
	p.closeIdleSessions(began.Add(fractionOf(p.settings.GracePeriod, acceptShare)), stopIdleDelay, func() bool { return false })
	close(p.closed)
	_ = callers.Close()
	p.closeIdleSessions(began.Add(fractionOf(p.settings.GracePeriod, workShare)), 0, func() bool { return p.countSessions() == 0 })
	p.log.Info("stopped", "sessions", p.countSessions(), "in_transaction", p.countOpenTransactions(), "ms", now().Sub(began).Milliseconds(),
		"platform_calls", p.client.Calls())
}

// closeIdleSessions stops sessions that have been idle for at least the given time, until the
// deadline or until done returns true.
func (p *Proxy) closeIdleSessions(deadline core.Time, idle time.Duration, done func() bool) {
	for at := now(); at < deadline && !done(); at = now() {
		p.mu.Lock()
		for s := range p.sessions {
			s.endIfIdle(at, idle)
		}
		p.mu.Unlock()
		time.Sleep(stopPollInterval)
	}
}

// countOpenTransactions returns how many sessions have an open transaction or a running statement. A
// planned stop waits for these, and for sessions that their entries have not moved yet.
func (p *Proxy) countOpenTransactions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for s := range p.sessions {
		if s.idleSince.Load() == 0 {
			n++
		}
	}
	return n
}

func (p *Proxy) countSessions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}
