package proxy

import (
	"errors"
	"io"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"limpetspan/core"
	"limpetspan/core/admission"
	"limpetspan/core/direct"
	"limpetspan/pkg/memberconn"
	"limpetspan/platform"
)

// group is the runtime state of one database group: its reducer, the idle connections to its
// members, and the statements that wait for a connection. All connections are accounted for in the
// reducer.
type group struct {
	p  *Proxy
	id core.GroupID

	mu           sync.Mutex
	core         *direct.Group
	idle         map[core.MemberID][]*memberConn
	queue        *admission.Queue[*waiter]
	serviceTimes admission.ServiceTimes
	controls     map[core.MemberID]*control
	// lastUsed is when a statement last ran here.
	lastUsed core.Time
	// evicted is closed when the group is removed from the daemon.
	evicted chan struct{}
}

// waiter is a statement that waits for a connection.
type waiter struct {
	admission.Waiter[*waiter]
	requirement direct.Requirement
	session     *session
	prepare     *preparedStatement
	// granted receives the grant. It is closed if the statement is to be refused.
	granted chan grant
}

// newWaiter returns the waiter for a statement of the session.
func newWaiter(s *session, requirement direct.Requirement) *waiter {
	w := &waiter{requirement: requirement, session: s}
	w.Value, w.Primary = w, requirement.Primary
	return w
}

// grant permits a statement to run on a member.
type grant struct {
	placement direct.Placement
	// conn is an idle connection to the member, nil if a connection has to be opened.
	conn *memberConn
	// replaced is a connection that has to be closed before the new one is opened, if any.
	replaced *memberConn
}

func newGroup(p *Proxy, id core.GroupID) *group {
	reducer := direct.NewGroup(id, p.settings.Daemon, p.settings.Zone)
	reducer.SetPolicy(p.policy)
	reducer.SetDrainLimit(p.settings.DrainLimit())
	if catalog := p.catalog.Load(); catalog != nil {
		reducer.Configure(catalog.Groups[id])
	}
	if listed, asOf, ok := p.view.membersOf(id); ok {
		// The effects are dropped here; the next tick returns them again.
		reducer.UpdateMembers(now(), asOf, listed)
	}
	g := &group{
		evicted: make(chan struct{}),
		p:       p, id: id, core: reducer, queue: admission.NewQueue[*waiter](p.policy),
		idle: make(map[core.MemberID][]*memberConn), controls: make(map[core.MemberID]*control), serviceTimes: make(admission.ServiceTimes),
	}
	g.enableOverloadControl()
	return g
}

// update passes an event to the reducer, serves the queue, and executes the event's effects.
func (g *group) update(event func(c *direct.Group, at core.Time) []direct.Effect) {
	at := now()
	g.mu.Lock()
	effects := event(g.core, at)
	g.serveQueue(at)
	g.mu.Unlock()
	g.runEffects(effects)
}

// runEffects executes effects of the reducer.
func (g *group) runEffects(effects []direct.Effect) {
	var unfences []command
	for _, e := range effects {
		switch e.Kind {
		case direct.EffectProbe, direct.EffectFence, direct.EffectDemote:
			g.control(e.Member).enqueue(e)
		case direct.EffectUnfence:
			unfences = append(unfences, g.control(e.Member).enqueue(e))
		case direct.EffectClaim:
			go g.p.claims.claim(g, e)
		case direct.EffectReleaseLock:
			go g.releaseLock(e, slices.Clone(unfences))
		case direct.EffectReadLock:
			go g.p.claims.read(g)
		case direct.EffectPromote:
			go g.p.claims.newPromotionCall(g, e).run()
		case direct.EffectEndPromote:
			g.p.claims.endPromote(g.id, e.Token)
		case direct.EffectDropConns:
			g.closeIdle(e.Member)
		case direct.EffectReport:
			g.p.peers.requestGroupReport(g.id)
		case direct.EffectDecision:
			g.p.log.Info("primary", "group", g.id, "member", e.Member, "term", e.Term, "decision", e.Reason)
		}
	}
}

// control returns the control connection of the member. It is created on first use.
func (g *group) control(id core.MemberID) *control {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.controls[id]
	if c == nil {
		c = newControl(g, id)
		g.controls[id] = c
		go c.run()
	}
	return c
}

// acquire returns a connection to a member that meets the waiter's requirement. It waits for one
// until the deadline, and returns false if there is none by then.
func (g *group) acquire(w *waiter, deadline core.Time) (*memberConn, direct.Placement, bool) {
	for {
		gr, ok := g.grant(w, deadline)
		if !ok {
			return nil, direct.Placement{}, false
		}
		if gr.conn != nil {
			return gr.conn, gr.placement, true
		}
		if gr.replaced != nil {
			gr.replaced.Close()
		}
		sent := now()
		conn, err := g.open(gr.placement.Member, w.requirement.Team, deadline)
		if err == nil {
			return conn, gr.placement, true
		}
		g.p.stats.dialFailures.Add(1)
		w.session.logDecision("dial", "member", gr.placement.Member, "error", err)
		g.update(func(c *direct.Group, at core.Time) []direct.Effect {
			c.ConnClosed(gr.placement.Member)
			return c.ConnFailed(at, sent, gr.placement.Member, err.Outcome)
		})
	}
}

// grant places the waiter, at once or from the queue. It returns false if the waiter is not placed by
// the deadline or is refused, as when an outage lasts longer than the waiter can wait.
func (g *group) grant(w *waiter, deadline core.Time) (grant, bool) {
	at := now()
	g.mu.Lock()
	if gr, ok := g.tryPlace(at, w); ok {
		g.observeArrival(at, w)
		g.mu.Unlock()
		return gr, true
	}
	if at >= deadline || g.core.IsPrimaryDrained(at, w.requirement) || admission.OutageExceedsWait(g.core.OutageDuration(at, w.requirement), deadline.Sub(at)) {
		g.mu.Unlock()
		return grant{}, false
	}
	w.granted, w.ServiceTime = make(chan grant, 1), g.serviceTimes.Of(w.Database)
	g.observeArrival(at, w)
	g.forecastWait(at, w)
	g.queue.Add(at, &w.Waiter)
	g.mu.Unlock()
	timer := time.NewTimer(deadline.Sub(at))
	defer timer.Stop()
	select {
	case gr, ok := <-w.granted:
		return gr, ok
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case gr, ok := <-w.granted:
		return gr, ok
	default:
	}
	g.queue.Expire(now(), &w.Waiter)
	return grant{}, false
}

// tryPlace places the waiter if that is possible now. The lock is held.
func (g *group) tryPlace(at core.Time, w *waiter) (grant, bool) {
	placement, ok := g.core.Place(at, w.requirement)
	if !ok {
		return grant{}, false
	}
	if !placement.Dial {
		return grant{placement: placement, conn: g.takeIdle(placement.Member, w.requirement.Team)}, true
	}
	var replaced *memberConn
	if placement.Replace {
		replaced = g.takeOldest(placement.Member)
		g.core.ConnClosed(placement.Member)
		g.p.stats.connsReplaced.Add(1)
	}
	g.core.ConnOpened(placement.Member)
	return grant{placement: placement, replaced: replaced}, true
}

// takeAnyIdle takes an idle connection to the member, of any team. It returns nil if there is none.
func (g *group) takeAnyIdle(id core.MemberID) *memberConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.idle[id]
	if len(list) == 0 {
		return nil
	}
	return g.takeAt(id, len(list)-1)
}

// openControl opens a connection for a command to the member. It may exceed this daemon's share of
// the member's connections.
func (g *group) openControl(id core.MemberID) (*memberConn, error) {
	g.mu.Lock()
	g.core.ConnOpened(id)
	g.mu.Unlock()
	conn, err := g.open(id, "", now().Add(dialTimeout))
	if err != nil {
		g.update(func(c *direct.Group, _ core.Time) []direct.Effect {
			c.ConnClosed(id)
			return nil
		})
		return nil, err
	}
	return conn, nil
}

// takeIdle takes the team's most recently used idle connection to the member, which must exist. The
// lock is held.
func (g *group) takeIdle(id core.MemberID, team core.TeamID) *memberConn {
	list := g.idle[id]
	i := len(list) - 1
	for list[i].team != team {
		i--
	}
	return g.takeAt(id, i)
}

// takeOldest takes the least recently used idle connection to the member, of any team. The lock is
// held.
func (g *group) takeOldest(id core.MemberID) *memberConn { return g.takeAt(id, 0) }

// takeAt takes the i-th idle connection to the member. The lock is held.
func (g *group) takeAt(id core.MemberID, i int) *memberConn {
	conn := g.idle[id][i]
	g.idle[id] = slices.Delete(g.idle[id], i, i+1)
	g.core.ConnTaken(id, conn.team)
	return conn
}

// serveQueue places waiting statements, and refuses those that the queue rejects. The lock is held.
func (g *group) serveQueue(at core.Time) {
	refused := g.queue.Serve(at, func(o *admission.Waiter[*waiter]) bool {
		w := o.Value
		gr, ok := g.tryPlace(at, w)
		if ok {
			w.granted <- gr
		}
		return ok
	})
	refused = append(refused, g.queue.RejectIf(func(o *admission.Waiter[*waiter]) bool {
		return g.core.IsPrimaryDrained(at, o.Value.requirement)
	})...)
	for _, o := range refused {
		close(o.Value.granted)
	}
}

// open opens a connection to the member. The caller has counted it in the reducer.
func (g *group) open(id core.MemberID, team core.TeamID, deadline core.Time) (*memberConn, *memberconn.DialError) {
	g.mu.Lock()
	addr, ok := g.core.Addr(id)
	g.mu.Unlock()
	if !ok {
		return nil, &memberconn.DialError{Outcome: direct.NotSent, Err: errUnknownMember}
	}
	g.p.stats.dials.Add(1)
	target := memberconn.Target{Addr: addr, Group: g.id, Member: id, Team: team}
	return dialMember(target, connObserver{g.p, g.id, id}, min(dialTimeout, until(deadline, 20*time.Millisecond)))
}

// release returns a healthy connection, on which no transaction is open, to the pool of idle ones. It closes
// one on which another answer may come than that to the next statement.
func (g *group) release(conn *memberConn) {
	if !conn.IsReusable() {
		g.p.stats.connsOutOfStep.Add(1)
		g.discard(conn)
		return
	}
	at := now()
	conn.idleSince = at
	g.mu.Lock()
	g.markResumedLocked(conn)
	g.idle[conn.member] = append(g.idle[conn.member], conn)
	g.core.ConnIdle(conn.member, conn.team)
	g.serveQueue(at)
	g.mu.Unlock()
}

// markIdleInTransaction records that the connection's transaction waits for its caller. Meanwhile the
// connection does not count as in use, and another statement may run on the member.
func (g *group) markIdleInTransaction(conn *memberConn) {
	at := now()
	g.mu.Lock()
	if !conn.idleInTransaction {
		conn.idleInTransaction = true
		g.core.ConnIdleInTransaction(conn.member)
	}
	g.serveQueue(at)
	g.mu.Unlock()
}

// markResumed records that the connection's transaction continues.
func (g *group) markResumed(conn *memberConn) {
	g.mu.Lock()
	g.markResumedLocked(conn)
	g.mu.Unlock()
}

// markResumedLocked is markResumed. The lock is held.
func (g *group) markResumedLocked(conn *memberConn) {
	if conn.idleInTransaction {
		conn.idleInTransaction = false
		g.core.ConnResumedTransaction(conn.member)
	}
}

// discard closes a connection that must not be used again.
func (g *group) discard(conn *memberConn) {
	conn.Close()
	at := now()
	g.mu.Lock()
	g.markResumedLocked(conn)
	g.core.ConnClosed(conn.member)
	g.serveQueue(at)
	g.mu.Unlock()
}

// statementUnanswered closes a connection on which a statement got no complete answer, and reports
// that to the reducer.
func (g *group) statementUnanswered(conn *memberConn, sent core.Time, err error) {
	g.discard(conn)
	if closedByPeer(err) {
		g.connBroken(conn.member)
	}
	// A member that closed the connection, or whose answers do not fit, is not silent.
	silent := !closedByPeer(err) && !errors.Is(err, memberconn.ErrOutOfStep)
	g.update(func(c *direct.Group, at core.Time) []direct.Effect {
		return c.StatementUnanswered(at, sent, conn.member, !silent)
	})
}

// connBroken reports to the reducer that the member closed a connection.
func (g *group) connBroken(id core.MemberID) {
	g.update(func(c *direct.Group, at core.Time) []direct.Effect {
		c.ConnBroken(at, id)
		return nil
	})
}

// closedByPeer reports whether the error says that the other end closed the connection. A timeout on
// this side does not.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// closeIdle closes the idle connections to the member.
func (g *group) closeIdle(id core.MemberID) {
	g.mu.Lock()
	old := g.idle[id]
	delete(g.idle, id)
	for _, conn := range old {
		g.core.ConnTaken(id, conn.team)
		g.core.ConnClosed(id)
	}
	g.mu.Unlock()
	for _, conn := range old {
		conn.Close()
	}
}

// statementAnswered reports a member's answer to the reducer, and the latency if the statement
// succeeded. read is the placement of a read outside transactions, nil for other statements: their
// times would not tell how long a read takes.
func (g *group) statementAnswered(id core.MemberID, sent core.Time, a *platform.Answer, o direct.Outcome, r *direct.Route, read *direct.Placement) {
	g.update(func(c *direct.Group, at core.Time) []direct.Effect {
		if o == direct.Succeeded {
			took := at.Sub(sent)
			g.serviceTimes.Observe(r.Database, took)
			c.RecordLatency(id, took, r.LatencyGoal)
			if read != nil {
				c.RecordService(at, read, r.Database, took)
			}
		}
		return c.StatementAnswered(at, sent, id, a.Position, o)
	})
}

// inspect returns a value that is read from the reducer. read must not modify the reducer.
func inspect[T any](g *group, read func(c *direct.Group, at core.Time) T) T {
	at := now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return read(g.core, at)
}

// isLeasedPrimary reports whether the member is the primary and this daemon holds a lease on it.
func (g *group) isLeasedPrimary(id core.MemberID) bool {
	return inspect(g, func(c *direct.Group, at core.Time) bool {
		primary, _ := c.Primary()
		return primary == id && c.HasLease(at)
	})
}

// canAcknowledge reports whether a commit at the position may be acknowledged now.
func (g *group) canAcknowledge(id core.MemberID, p core.Position) bool {
	return inspect(g, func(c *direct.Group, at core.Time) bool { return c.CanAcknowledge(at, id, p) })
}

// explain returns why the statement cannot be placed now, for the log.
func (g *group) explain(w *waiter) string {
	return inspect(g, func(c *direct.Group, at core.Time) string { return c.Explain(at, w.requirement) })
}

// tick passes the time to the reducer and closes connections that are not needed any more.
func (g *group) tick() {
	var old []*memberConn
	g.update(func(c *direct.Group, at core.Time) []direct.Effect {
		old = g.takeSurplus(c, at)
		return c.Tick(at)
	})
	for _, conn := range old {
		conn.Close()
	}
}

// isUnused reports whether the group can be evicted: no statement has used it for
// groupStateRetention, none is waiting, and the reducer has neither connections nor a change of the
// primary in progress.
func (g *group) isUnused(at core.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return at.Sub(g.lastUsed) >= groupStateRetention && g.queue.Len() == 0 && g.core.IsIdle()
}

// closeAllIdle closes the idle connections of a group that this daemon does not use any more, so that
// the group's homes can open more.
func (g *group) closeAllIdle() {
	g.mu.Lock()
	members := slices.Collect(maps.Keys(g.idle))
	g.mu.Unlock()
	for _, id := range members {
		g.closeIdle(id)
	}
}

// takeSurplus takes idle connections that have been idle for idleConnRetention and exceed the number
// guaranteed to this daemon, and all idle connections to members that are not known any more. The
// lock is held.
func (g *group) takeSurplus(c *direct.Group, at core.Time) []*memberConn {
	var surplus []*memberConn
	for id, list := range g.idle {
		guaranteed := c.GuaranteedConns(id)
		_, known := c.Addr(id)
		for len(list) > 0 && (!known || len(list) > guaranteed && at.Sub(list[0].idleSince) > idleConnRetention) {
			surplus = append(surplus, list[0])
			c.ConnTaken(id, list[0].team)
			c.ConnClosed(id)
			list = list[1:]
		}
		g.idle[id] = list
	}
	return surplus
}
