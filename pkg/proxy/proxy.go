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

// Proxy is the daemon.
type Proxy struct {
	settings  platform.Settings
	client    *platform.Client
	startedAt core.Time
	// configuredAt is when the first configuration came.
	configuredAt atomic.Int64
	log          hclog.Logger
	stats        *stats
	tracer       trace.Tracer
	limiter      decisionLimiter
	// livenessChecks are questions under way whether a home lives.
	livenessChecks singleflight.Group
	// policy is the mechanisms in use.
	policy policy.Set
	// access checks callers' keys, limits counts what their teams ask.
	access access
	limits *limits
	// sessionLimits bound what a session may have set.
	sessionLimits SessionLimits
	boot          int64
	claims        *claims
	peers         *peers
	homes         *homes
	catalog       atomic.Pointer[direct.Catalog]
	// metadata is the copy of the store, view what it means.
	metadata *metadata.Copy
	view     *view
	// eras is the store's era; registerAgain is set when a new one may have lost this daemon's
	// entry.
	eras       *eras
	reregister atomic.Bool
	// initialDaemons brings the list of daemons as it was before this one took part.
	initialDaemons chan *daemonList
	// stopping is set when a planned stop has begun; closed is closed once it takes no new
	// work, done at the end of the process.
	stopping atomic.Bool
	closed   chan struct{}
	done     chan struct{}
	// ctx ends with the process, and with it all calls to the platform.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	groups   map[core.GroupID]*group
	sessions map[*session]struct{}

	depMu            sync.Mutex
	lostDependencies map[string]bool
}

// Memory of the process.
const (
	// memoryLimitShare of the platform's limit is the soft limit of the Go heap, so
	// that the collector works harder before the process is killed.
	memoryLimitShare = 0.7
	// gcPercent is how far the heap grows between collections, in per cent: it is
	// a few megabytes, and collections cost processor time.
	gcPercent = 400
)

// New returns a daemon that logs to w.
func New(s platform.Settings, w io.Writer) *Proxy {
	st := newStats()
	p := &Proxy{
		settings: s, client: platform.NewClient(s.StoreAddr, s.PromoteAddr), stats: st, boot: time.Now().UnixNano(),
		closed: make(chan struct{}), done: make(chan struct{}), initialDaemons: make(chan *daemonList, 1), groups: make(map[core.GroupID]*group), sessions: make(map[*session]struct{}),
		lostDependencies: make(map[string]bool), sessionLimits: DefaultSessionLimits, policy: policy.All,
		log: telemetry.NewLogger(newAsyncWriter(w, st), "info", string(s.Daemon)),
	}
	p.startedAt = now()
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.homes = newHomes(p)
	p.access = newAccess(p)
	p.limits = newLimits(p)
	p.view = newView(p)
	p.eras = &eras{p: p}
	p.client.OnEra(p.eras.observe)
	p.metadata = metadata.New(p.ctx, metadata.Options{
		Self: s.Daemon, Store: p.client, Owner: p.view, Now: now, MaxProofAge: s.MaxProofAge(), ShortWatches: s.KeyRevocationBound != 0, ListAt: p.firstListAt(),
	})
	p.claims = &claims{p: p, observed: make(map[core.GroupID]observedLock)}
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryLimit)))
	}
	debug.SetGCPercent(gcPercent)
	return p
}

// firstListAt is when this daemon looks for others. When a fleet starts for the first time, strong
// hosts come first, so that weak ones find them.
func (p *Proxy) firstListAt() core.Time {
	if !p.settings.FirstStart {
		return p.startedAt
	}
	return p.startedAt.Add(direct.JoinDelay(p.asDaemon(), firstStartDelay))
}

// SetPolicy says which mechanisms are in use, for measurements; before Run.
func (p *Proxy) SetPolicy(set policy.Set) { p.policy = set }

// SetSessionLimits sets the limits of what a session may have set; before Run.
func (p *Proxy) SetSessionLimits(l SessionLimits) error {
	if err := l.validate(); err != nil {
		return err
	}
	p.sessionLimits = l
	return nil
}

// Run serves until ctx ends, and then stops as planned.
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

// Reload takes settings that have changed. What a process cannot change while
// it serves, its own addresses, is told and stays.
func (p *Proxy) Reload(s platform.Settings, err error) {
	if err != nil {
		p.log.Error("settings cannot be read, the old ones stay", "error", err.Error())
		return
	}
	if s.CallerAddr != p.settings.CallerAddr || s.ReadyAddr != p.settings.ReadyAddr || s.GossipPort != p.settings.GossipPort {
		p.log.Warn("a change of this process's own addresses takes a restart", "callers", s.CallerAddr)
	}
	p.client.SetAddresses(s.StoreAddr, s.PromoteAddr)
	p.log.Info("settings reloaded", "store", s.StoreAddr, "promote", s.PromoteAddr)
}

func (p *Proxy) running() bool { return !isClosed(p.done) }

// closing says whether a planned stop takes no new work any more.
func (p *Proxy) closing() bool { return isClosed(p.closed) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// sleep waits, but not beyond the end of the process.
func (p *Proxy) sleep(d time.Duration) { p.sleepInterruptible(d, nil) }

// sleepInterruptible is sleep that wake ends.
func (p *Proxy) sleepInterruptible(d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-wake:
	case <-timer.C:
	}
}

// acceptLoop serves each connection in a goroutine of its own until l is closed.
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

// group returns the group, which is made if it is new. Only those exist that are in use here.
func (p *Proxy) group(id core.GroupID) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groupLocked(id)
}

// groupLocked is group; the lock is held.
func (p *Proxy) groupLocked(id core.GroupID) *group {
	g := p.groups[id]
	if g == nil {
		g = newGroup(p, id)
		p.groups[id] = g
	}
	return g
}

func (p *Proxy) existingGroup(id core.GroupID) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groups[id]
}

// groupForStatement returns the group for a statement that runs here.
func (p *Proxy) groupForStatement(id core.GroupID) *group {
	at := now()
	g, fresh := p.markUsed(id, at)
	if fresh {
		return g
	}
	if here, _ := p.homes.ownRole(id); !here {
		p.metadata.IncludeMembers()
	}
	return g
}

// markUsed notes that the group is in use, and says whether it was before. Both locks are held
// together so that forgetUnused cannot drop the group in between.
func (p *Proxy) markUsed(id core.GroupID, at core.Time) (g *group, before bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g = p.groupLocked(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	before = at.Sub(g.lastUsed) < groupConnRetention
	g.lastUsed = at
	return g, before
}

// evictUnusedGroups drops the groups that are not in use here any more.
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

// isActive says whether this daemon reaches the group's members: as its home, or
// because an entry has lately sent statements for it.
func (p *Proxy) isActive(g *group, at core.Time) bool {
	here, _ := p.homes.ownRole(g.id)
	g.mu.Lock()
	defer g.mu.Unlock()
	return here || at.Sub(g.lastUsed) < groupConnRetention
}

// activeGroups are the groups whose members this daemon reaches.
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

// defaultIdleTransactionTimeout holds until the configuration says otherwise.
const defaultIdleTransactionTimeout = 3 * time.Second

func (p *Proxy) idleTransactionTimeout() time.Duration {
	if c := p.catalog.Load(); c != nil && c.IdleTransaction > 0 {
		return c.IdleTransaction
	}
	return defaultIdleTransactionTimeout
}

func (p *Proxy) tickLoop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var swept core.Time
	for {
		select {
		case <-p.done:
			return
		case <-t.C:
		}
		at := now()
		if at.Sub(swept) >= evictionInterval {
			swept = at
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

// ready says whether callers may be sent here: the configuration and the host
// list have been read once. Later trouble with the store does not change it, as
// it would take all daemons out at once.
func (p *Proxy) ready() bool {
	listed := p.view.membersKnown() || !p.homes.isHomeOfAny()
	return p.catalog.Load() != nil && listed && p.homes.chosen() && !p.stopping.Load()
}

func (p *Proxy) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if !p.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// handleMetrics publishes the counters, on the last of the internal ports.
func (p *Proxy) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	groups := make(map[core.GroupID]direct.GroupView)
	for _, g := range p.activeGroups() {
		groups[g.id] = inspect(g, (*direct.Group).View)
	}
	all := map[string]any{"proxy": p.stats.snapshot(), "platform_calls": p.client.Calls(), "ready": p.ready(), "groups": groups,
		"pools": p.pools(), "teams": p.limits.busiestTeams(maxPublishedTeams)}
	if err := json.NewEncoder(w).Encode(all); err != nil {
		p.log.Warn("metrics not sent", "error", err.Error())
	}
}

func (p *Proxy) serveHTTP(what string, l net.Listener, h http.HandlerFunc) {
	server := &http.Server{ReadHeaderTimeout: startupTimeout, Handler: h}
	if err := server.Serve(l); err != nil && p.running() {
		p.log.Error("cannot be served", "what", what, "error", err.Error())
	}
}

// stopPollInterval is how often a planned stop looks whether sessions are left.
const stopPollInterval = 20 * time.Millisecond

// Parts of the grace time: how long new work is taken, and how long work may go
// on. Between them lies more than nearly all statements take, and after them the
// time in which a busy host still ends the process.
const (
	acceptShare = 0.37
	workShare   = 0.92
)

func fractionOf(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// stop ends sessions as they come to rest. In the first part of the grace time
// callers still come: the balancer takes two seconds to see that this daemon is
// not ready, and goes on sending them if no other is left. Then no new work is
// taken, so that what has begun can end before the process is killed.
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

// closeIdleSessions ends sessions that have been idle for so long, until the deadline or
// until done says so.
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

// countOpenTransactions is how many sessions have a transaction open or a statement
// under way: what a stop waits for, beside sessions whose entries have not left yet.
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
