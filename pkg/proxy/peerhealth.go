package proxy

import (
	"errors"
	"io"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/health"
	"limpetspan/core/policy"
	"limpetspan/core/quota"
	"limpetspan/pkg/proxy/reportpb"
)

// errHomeDown ends the wait for a home that has been found lost.
var errHomeDown = errors.New("the home does not answer")

// interruptible is a wait for a peer. interrupt ends it, as the peer has been found lost; suspect
// tells it that the peer may be lost.
type interruptible interface {
	interrupt()
	suspect()
}

// peerHealth carries out the decisions of a health.Table: it runs checks, wakes the sessions that
// wait for a lost peer, and lets sessions wait while all candidates are in backoff.
type peerHealth struct {
	p *Proxy
	// forwards is set while not all daemons are homes of all groups. It caches !homes.allAreHomes, as
	// some callers of enabled hold the lock of homes.
	forwards atomic.Bool
	// shortRoutes caches for a configuration whether shared health applies to it.
	shortRoutes atomic.Pointer[routeLimits]

	mu    sync.Mutex
	table *health.Table
	// waits are the sessions that wait for a peer.
	waits map[core.DaemonID]map[interruptible]struct{}
	// links are the open links to each peer. A peer that stops as planned is removed from the known
	// daemons at once, and still answers on its links and answers echoes.
	links map[core.DaemonID]*peerLinks
	// changed is closed and replaced when a backoff begins or ends.
	changed chan struct{}
}

// peerLinks are the open links to a peer.
type peerLinks struct {
	// ip is the address to which the last one was opened.
	ip   string
	open int
}

// routeLimits says whether a configuration has a route whose statements cannot outlast the loss of a
// home.
type routeLimits struct {
	catalog *direct.Catalog
	short   bool
}

func newPeerHealth(p *Proxy) *peerHealth {
	return &peerHealth{p: p, table: health.NewTable(), waits: make(map[core.DaemonID]map[interruptible]struct{}), links: make(map[core.DaemonID]*peerLinks), changed: make(chan struct{})}
}

// lostHomeCost is what a lost home costs a statement without shared health.
const lostHomeCost = homeDialTimeout + homeSilenceTimeout

// enabled reports whether shared health is in use: it is not switched off, not all daemons are homes of
// all groups, and the configuration has a route whose statement timeout is less than twice
// lostHomeCost. Where teams have limits it is not: only the holder of a team's slot can run the team's
// statements, so sessions that leave it soon reach daemons that decline them or that are no homes, and
// these use up the members' connections.
func (h *peerHealth) enabled() bool {
	if h.p == nil || h.p.settings.LimitsEnabled || !h.forwards.Load() || !h.p.policy.Has(policy.SharedHealth) {
		return false
	}
	catalog := h.p.catalog.Load()
	limits := h.shortRoutes.Load()
	if limits == nil || limits.catalog != catalog {
		limits = &routeLimits{catalog: catalog, short: hasShortRoute(catalog)}
		h.shortRoutes.Store(limits)
	}
	return limits.short
}

func hasShortRoute(catalog *direct.Catalog) bool {
	if catalog == nil {
		return false
	}
	for _, route := range catalog.Routes {
		if route.StatementTimeout > 0 && route.StatementTimeout < 2*lostHomeCost {
			return true
		}
	}
	return false
}

// notify wakes the sessions that wait for a candidate. The lock is held.
func (h *peerHealth) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// choose returns the peers that a session asks, and a channel that is closed once another choice is
// possible.
func (h *peerHealth) choose(order []core.DaemonID, s health.Scope) (health.Choice, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	h.checkEnded(at, order)
	return h.table.Choose(at, order, s), h.changed
}

// isReachable reports whether sessions may keep their links to the peer. It starts a check like
// isUsable.
func (h *peerHealth) isReachable(at core.Time, id core.DaemonID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.AwaitsEcho(at, id) {
		h.startCheck(at, id)
	}
	return h.table.IsReachable(at, id)
}

// isUsable reports whether a session would be given the peer. It starts a check of a peer whose
// backoff has ended and which an echo would make usable again.
func (h *peerHealth) isUsable(at core.Time, id core.DaemonID, s health.Scope) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.AwaitsEcho(at, id) {
		h.startCheck(at, id)
	}
	return h.table.IsUsable(at, id, s)
}

// trialEnded releases the claim on a trial, and wakes the sessions that wait for it.
func (h *peerHealth) trialEnded(id core.DaemonID, s health.Scope) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.TrialEnded(id, s)
	h.notify()
}

// isSlowToConnect reports whether nothing is known against the peer but that links opened slowly.
func (h *peerHealth) isSlowToConnect(at core.Time, id core.DaemonID, s health.Scope) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.IsSlowToConnect(at, id, s)
}

// checkEnded starts checks of the peers whose backoff has ended and which an echo would make usable
// again. The lock is held.
func (h *peerHealth) checkEnded(at core.Time, order []core.DaemonID) {
	for _, id := range order {
		if h.table.AwaitsEcho(at, id) {
			h.startCheck(at, id)
		}
	}
}

// startCheck starts a check of the peer unless one is running. The lock is held.
func (h *peerHealth) startCheck(at core.Time, id core.DaemonID) {
	if step, begun := h.table.BeginCheck(at, id); begun {
		h.p.stats.health.Add("checks", 1)
		go h.runCheck(id, step)
	}
}

// checkIfOverdue starts a check of the peer if a statement that was sent at the given time is
// overdue, and returns in how long to look again.
func (h *peerHealth) checkIfOverdue(id core.DaemonID, sent core.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	wait := h.table.OverdueIn(at, id, sent)
	if wait > 0 {
		return wait
	}
	h.startCheck(at, id)
	return health.RecheckInterval
}

// ip returns the address of the peer, also if it is leaving and links to it are open, "" if it is
// unknown.
func (h *peerHealth) ip(id core.DaemonID) string {
	if ip := h.p.peers.ip(id); ip != "" {
		return ip
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.links[id]; l != nil {
		return l.ip
	}
	return ""
}

// linkOpened records an open link to the peer at the address.
func (h *peerHealth) linkOpened(id core.DaemonID, ip string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.links[id]
	if l == nil {
		l = &peerLinks{}
		h.links[id] = l
	}
	l.ip = ip
	l.open++
}

// linkClosed records that a link to the peer has been closed.
func (h *peerHealth) linkClosed(id core.DaemonID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.links[id]; l != nil {
		if l.open--; l.open == 0 {
			delete(h.links, id)
		}
	}
}

// runCheck carries out the steps of a check.
func (h *peerHealth) runCheck(id core.DaemonID, step health.Step) {
	for step.Wait > 0 {
		if step.Echo && !h.p.peers.sendProbe(h.ip(id)) {
			h.mu.Lock()
			h.table.EchoUnsent(id)
			h.mu.Unlock()
		}
		if step.SelfEcho {
			h.p.peers.sendProbe(h.p.settings.IP)
		}
		h.p.sleep(step.Wait)
		if !h.p.running() {
			return
		}
		h.mu.Lock()
		step = h.table.ContinueCheck(now(), id)
		if step.Lost {
			h.failed(id, health.Silent, "silence_ms", step.Silence.Milliseconds(), "limit_ms", step.Limit.Milliseconds())
		} else if h.table.IsSuspect(now(), id) {
			for w := range h.waits[id] {
				w.suspect()
			}
		}
		h.mu.Unlock()
	}
	if step.AskConfiguration {
		h.askConfiguration(id, step.Silence)
	}
}

// askConfiguration checks a peer that may be of a version that answers no echoes. There is a verdict
// only if the request was sent and not answered in time, or if nothing listens at the peer.
func (h *peerHealth) askConfiguration(id core.DaemonID, silence time.Duration) {
	ip, err := h.ip(id), error(nil)
	if ip != "" {
		_, err, _ = h.p.livenessChecks.Do(string(id), func() (any, error) { return nil, h.p.metadata.Fetch(h.p.settings.LinkAddr(ip)) })
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.EndCheck(now(), id)
	if ip == "" {
		return
	}
	switch inputs := []any{"silence_ms", silence.Milliseconds(), "error", errorText(err)}; {
	case hasAnswered(err):
		if h.table.Alive(now(), id) {
			h.revived(id, "configuration")
		}
	case errors.Is(err, syscall.ECONNREFUSED):
		h.failed(id, health.Unreachable, inputs...)
	case isTimeout(err):
		h.failed(id, health.Silent, inputs...)
	default:
		h.p.log.Info("peer", append([]any{"verdict", "none", "peer", id}, inputs...)...)
	}
}

// hasAnswered reports whether the peer has answered a request that ended with the error. Errors other
// than those of the connection arise from an answer.
func hasAnswered(err error) bool {
	var ofConn net.Error
	return !errors.As(err, &ofConn) && !errors.Is(err, io.EOF)
}

// failed applies the verdict that a peer is not to be used: its waiting sessions go elsewhere. The
// lock is held.
func (h *peerHealth) failed(id core.DaemonID, cause health.Cause, inputs ...any) {
	at := now()
	already := h.table.IsDown(id)
	h.table.Failed(at, id, cause)
	h.p.stats.health.Add("verdicts "+cause.String(), 1)
	if !already {
		waiting := len(h.waits[id])
		h.p.log.Info("peer", append([]any{"verdict", "down", "peer", id, "cause", cause.String(), "waiting", waiting}, inputs...)...)
	}
	if cause == health.Silent {
		for w := range h.waits[id] {
			w.interrupt()
		}
	}
	h.notify()
	if !already {
		// Later, it could forget a slot that another home has named since.
		go h.p.homes.forgetSlots(id)
	}
}

// replaced records that another version may run at the peer from now on.
func (h *peerHealth) replaced(id core.DaemonID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Replaced(id)
}

// revived logs that a backoff of the peer has ended. The lock is held.
func (h *peerHealth) revived(id core.DaemonID, by string) {
	h.p.stats.health.Add("revived", 1)
	h.p.log.Info("peer", "verdict", "up", "peer", id, "by", by, "down_ms", h.table.DownFor(now(), id).Milliseconds())
	h.notify()
}

// echoed handles the answer to an echo that was sent at the given time.
func (h *peerHealth) echoed(id core.DaemonID, sent core.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.Echoed(now(), id, sent) {
		h.revived(id, "echo")
	}
}

// selfEchoed handles an echo that this daemon sent to itself at the given time.
func (h *peerHealth) selfEchoed(sent core.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.SelfEchoed(now(), sent)
}

// connected records that a link to the peer, which was begun at the given time, was opened.
func (h *peerHealth) connected(id core.DaemonID, began core.Time) {
	h.mu.Lock()
	at := now()
	if h.table.Connected(at, id, at.Sub(began)) {
		h.revived(id, "link")
	}
	first := h.table.NeedsFirstEcho(id)
	h.mu.Unlock()
	if first {
		h.p.peers.sendProbe(h.ip(id))
	}
}

// answered records that the peer has answered a statement that was sent at the given time.
func (h *peerHealth) answered(id core.DaemonID, sent core.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	if h.table.Answered(at, id, at.Sub(sent)) {
		h.revived(id, "answer")
	}
}

// beginDial records that a session opens a link to the peer. It returns false if it is not to for the
// moment. If counted is set, endDial is to be called.
func (h *peerHealth) beginDial(id core.DaemonID) (counted, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.BeginDial(now(), id)
}

// endDial records the outcome of a counted attempt to open a link, and wakes the sessions that wait for
// it.
func (h *peerHealth) endDial(id core.DaemonID, opened bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.EndDial(id, opened)
	h.notify()
}

// groupAccepted records that the peer has accepted a session of the group.
func (h *peerHealth) groupAccepted(id core.DaemonID, group core.GroupID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.GroupAccepted(now(), id, group)
}

// teamAccepted records that the peer has run a statement of the team.
func (h *peerHealth) teamAccepted(id core.DaemonID, team core.TeamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.TeamAccepted(now(), id, team) {
		h.notify()
	}
}

// teamDeclined records that the peer has declined a statement of the team.
func (h *peerHealth) teamDeclined(id core.DaemonID, team core.TeamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.TeamDeclined(now(), id, team)
	h.notify()
}

// sessionRefused records a failure to open a link to the peer.
func (h *peerHealth) sessionRefused(id core.DaemonID, group core.GroupID, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var r *linkRefusal
	switch {
	case errors.Is(err, errHomeDown):
	case errors.As(err, &r) && r.kind == reportpb.Refusal_REFUSAL_GROUP:
		h.table.GroupRefused(now(), id, group)
		h.notify()
	case errors.As(err, &r) && r.kind != reportpb.Refusal_REFUSAL_DAEMON:
	case errors.As(err, &r) || errors.Is(err, errNoHome):
		h.failed(id, health.Refused, "error", err.Error())
	case errors.Is(err, syscall.ECONNREFUSED):
		h.failed(id, health.Unreachable, "error", err.Error())
	default:
		// A timeout, a reset or a local error does not tell whether the peer is lost. A check does.
		at := now()
		if h.table.DialTimedOut(at, id) {
			h.failed(id, health.DialSlow, "error", err.Error())
		}
		h.startCheck(at, id)
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// down describes the peers in backoff for the metrics endpoint.
func (h *peerHealth) down() map[core.DaemonID]health.DownPeer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Down(now())
}

// isUnsuspected reports whether no backoff applies to the peer and no check of it has been unanswered
// for long.
func (h *peerHealth) isUnsuspected(id core.DaemonID, s health.Scope) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	return h.table.Phase(at, id, s) == health.Closed && !h.table.IsSuspect(at, id)
}

// dialLimit returns how long opening a link to the peer may take, with its handshake.
func (h *peerHealth) dialLimit(id core.DaemonID, remaining time.Duration, others bool) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.DialLimit(id, remaining, others)
}

// await registers a wait for the peer's answer to something that was sent at the given time. It
// returns false if the peer has been found silent since.
func (h *peerHealth) await(id core.DaemonID, w interruptible, sent core.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.IsLostSince(id, sent) {
		return false
	}
	waits := h.waits[id]
	if waits == nil {
		waits = make(map[interruptible]struct{})
		h.waits[id] = waits
	}
	waits[w] = struct{}{}
	return true
}

// endAwait removes a wait.
func (h *peerHealth) endAwait(id core.DaemonID, w interruptible) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waits[id], w)
}

// retain forgets peers that are no longer known.
func (h *peerHealth) retain(daemons []direct.Daemon) {
	known := make(map[core.DaemonID]bool, len(daemons))
	for _, d := range daemons {
		known[d.ID] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Retain(func(id core.DaemonID) bool { return known[id] || h.links[id] != nil })
	maps.DeleteFunc(h.waits, func(_ core.DaemonID, w map[interruptible]struct{}) bool { return len(w) == 0 })
}

// forgetSlots forgets which slots a daemon owns that cannot be used.
func (h *homes) forgetSlots(id core.DaemonID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.slotOwners, func(_ quota.Slot, owner core.DaemonID) bool { return owner == id })
}

// ownerNamed starts a check of a slot's owner that is in backoff, as no other daemon may run the
// statements that it counts.
func (h *peerHealth) ownerNamed(id core.DaemonID, team core.TeamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	if h.table.OwnerNamed(id, team) {
		h.notify()
	}
	if h.table.IsDown(id) {
		h.startCheck(at, id)
	}
}
