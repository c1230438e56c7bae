package group

import (
	"time"

	"limpetspan/core"
)

type connState uint8

const (
	connOpening connState = iota
	connIdle
	connRunning
	// connPinned: idle inside a caller's open transaction.
	connPinned
)

// conn is one caller-work connection of this home.
type conn struct {
	id     ConnID
	member *member
	state  connState
	// term is the reign it was opened under.
	term    core.Term
	request *request
	// pinned is set while a transaction of caller is open on it.
	pinned bool
	caller core.CallerID
	// doomed: it is closed when the request on it ends.
	doomed bool
	// since is when it entered its state.
	since core.Time
}

// closingConn is a connection that was told to close and may still be open.
type closingConn struct {
	id     ConnID
	member *member
	until  core.Time
}

// controlPerMember counts the control connections to each member against the
// group's budget: one of this home, one kept free for another candidate.
const controlPerMember = 2

// openPauseMin and openPauseMax bound the pause after a failed opening.
const (
	openPauseMin = 20 * time.Millisecond
	openPauseMax = 2 * time.Second
)

// budget is the number of work connections that this home may have open.
//
// Guard: MaxConnections holds for the whole fleet, also while the group
// changes hands. It would show as members that refuse connections. Only a home
// opens work connections, and the fence that made it home ended those of the
// homes before. Connections that a member reports beyond this home's own are
// counted, and mayOpen keeps a home that was replaced from opening new ones.
func (g *Group) budget() int {
	if !g.guarded(GuardBudget) {
		return 1 << 20
	}
	return max(1, g.maxConns-controlPerMember*g.size())
}

func (g *Group) openTotal() int {
	n := len(g.conns) + len(g.closing)
	for _, m := range g.members {
		n += m.foreign
	}
	return n
}

// closingAt counts the connections to a member that are being closed.
func (g *Group) closingAt(m *member) int {
	n := 0
	for _, c := range g.closing {
		if c.member == m {
			n++
		}
	}
	return n
}

// assumeForeign counts, for a member that the fence did not reach, what the
// home before may have open there, until the member reports.
func (g *Group) assumeForeign(m *member) {
	share := g.connLimit(m)
	if m.ID == g.peers.primary {
		share = max(share, g.budget()-share*(g.size()-1))
	}
	m.foreign = share
}

// statementCap is how many statements one member is given at a time.
func (g *Group) statementCap() int { return max(1, g.slots) + g.tuning.SlotOverlap }

func (g *Group) hasSlot(m *member) bool { return m.running < g.statementCap() }

// connLimit divides the budget: replicas get what their slots can use, the
// primary the rest, as open transactions keep connections there.
func (g *Group) connLimit(m *member) int {
	size := max(1, g.size())
	replica := max(1, min(g.statementCap(), g.budget()/size))
	if m != g.reign.primary {
		return replica
	}
	return max(1, g.budget()-replica*(size-1))
}

// avoids reports whether a member is to have no connections: it is leaving.
// A leaving primary keeps them until another is promoted.
func (g *Group) avoids(m *member) bool { return m.gone || (m.leaving() && !g.isPrimary(m)) }

// warm opens connections ahead of need: as many as the member's slots can use,
// besides those that open transactions hold.
func (g *Group) warm(m *member) {
	if g.phase < phaseWaiting || g.avoids(m) || !(g.isPrimary(m) || g.serving(m)) {
		return
	}
	want := min(g.connLimit(m), g.statementCap()+m.pinned)
	if m.conns >= want || !g.mayOpen(m) {
		return
	}
	for m.conns < want && g.openTotal() < g.budget() {
		g.openConn(m)
	}
}

// mayOpen reports whether connections to a member may be opened now.
//
// Guard: a home that was replaced and does not know it would open connections
// again after the new home's fence ended them. So the lease must hold, after a
// lost connection the member must first report that it is still in this term,
// and a new home opens only when the lease of the old one is about to lapse.
func (g *Group) mayOpen(m *member) bool {
	if g.now < m.openAfter {
		g.wakeBy(m.openAfter)
		return false
	}
	if g.phase == phaseWaiting {
		ready := g.reign.waitUntil.Add(-2 * g.tuning.ConnectCost)
		if g.now < ready {
			g.wakeBy(ready)
			return false
		}
	}
	if !g.guarded(GuardBudget) {
		return true
	}
	return g.now < g.reign.leaseUntil && m.term == g.reign.term && m.reportedAt >= m.lostAt
}

// lostConn notes that a connection ended without this home's doing.
func (g *Group) lostConn(m *member) {
	g.counters.ConnsLost++
	m.lostAt = g.now
	g.reportSoon(m)
}

func (g *Group) warmAll() {
	if g.phase < phaseWaiting {
		return
	}
	g.warm(g.reign.primary)
	for _, m := range g.members {
		g.warm(m)
	}
}

func (g *Group) openConn(m *member) {
	g.lastConn++
	c := &conn{id: g.lastConn, member: m, term: g.reign.term, since: g.now}
	g.conns = append(g.conns, c)
	m.conns++
	m.opening++
	g.counters.ConnsOpened++
	g.fx.open(OpenConn{Conn: c.id, Member: m.ID})
}

func (g *Group) conn(id ConnID) *conn {
	for _, c := range g.conns {
		if c.id == id {
			return c
		}
	}
	return nil
}

func (g *Group) onConnOpened(ev *ConnOpened) {
	c := g.conn(ev.Conn)
	if c == nil {
		if ev.Err == FailureNone {
			g.fx.close(CloseConn{Conn: ev.Conn}) // It was given up while it opened.
		} else {
			g.forgetClosing(ev.Conn)
		}
		return
	}
	if c.state != connOpening {
		return
	}
	m := c.member
	if ev.Err != FailureNone {
		g.removeConn(c)
		g.openFailed(m, ev.Err)
		return
	}
	m.opening--
	m.openPause = 0
	c.state = connRunning // Until it is known to be wanted.
	g.idleConn(c)
	g.pump()
}

// openFailed pauses before the next attempt. A member that is full or stops
// says so; any other failure is a reason to probe it.
func (g *Group) openFailed(m *member, err Failure) {
	m.openPause = min(max(2*m.openPause, openPauseMin), openPauseMax)
	m.openAfter = g.now.Add(m.openPause/2 + g.random.upTo(m.openPause))
	g.wakeBy(m.openAfter)
	switch err {
	case FailureBusy:
	case FailureLeaving:
		m.stopping = true
		g.probeSoon(m)
	default:
		g.reportSoon(m)
	}
}

// idleConn takes a clean connection back, or closes it when it is not wanted.
func (g *Group) idleConn(c *conn) {
	m := c.member
	c.request, c.since = nil, g.now
	if c.doomed || c.term != g.reign.term || g.phase < phaseWaiting || g.avoids(m) || m.conns > g.connLimit(m) {
		g.closeConn(c)
		return
	}
	c.state = connIdle
	m.idle = append(m.idle, c)
}

// takeIdle hands out the connection that was used last, which is the least
// likely to have gone silent.
func (m *member) takeIdle() *conn {
	n := len(m.idle)
	if n == 0 {
		return nil
	}
	c := m.idle[n-1]
	m.idle[n-1] = nil
	m.idle = m.idle[:n-1]
	return c
}

// removeConn forgets a connection that is known to be gone.
func (g *Group) removeConn(c *conn) {
	m := c.member
	switch c.state {
	case connOpening:
		m.opening--
	case connIdle:
		for i, x := range m.idle {
			if x == c {
				m.idle = append(m.idle[:i], m.idle[i+1:]...)
				break
			}
		}
	}
	if c.request != nil {
		m.running--
		c.request = nil
	}
	g.unpin(c)
	m.conns--
	for i, x := range g.conns {
		if x == c {
			g.conns = append(g.conns[:i], g.conns[i+1:]...)
			break
		}
	}
}

// closeConn closes a connection on which nothing runs. It counts against the
// budget until the shell confirms, a fence ends it, or CloseGrace is over.
func (g *Group) closeConn(c *conn) {
	g.removeConn(c)
	g.countClosing(c)
	g.fx.close(CloseConn{Conn: c.id})
}

func (g *Group) countClosing(c *conn) {
	until := g.now.Add(g.tuning.CloseGrace)
	g.closing = append(g.closing, closingConn{id: c.id, member: c.member, until: until})
	g.wakeBy(until)
}

func (g *Group) forgetClosing(id ConnID) {
	for i, c := range g.closing {
		if c.id == id {
			g.closing = append(g.closing[:i], g.closing[i+1:]...)
			return
		}
	}
}

// fencedOff forgets the closing connections of a member whose fence ended them.
func (g *Group) fencedOff(m *member) {
	kept := g.closing[:0]
	for _, c := range g.closing {
		if c.member != m {
			kept = append(kept, c)
		}
	}
	g.closing = kept
}

func (g *Group) onConnClosed(ev *ConnClosed) {
	c := g.conn(ev.Conn)
	if c == nil {
		g.forgetClosing(ev.Conn)
		g.warmAll()
		return
	}
	if c.request != nil {
		return // Finished will tell how its request ended.
	}
	m := c.member
	g.removeConn(c)
	g.lostConn(m)
}

// closeIdle closes the idle connections of a member.
func (g *Group) closeIdle(m *member) {
	for len(m.idle) > 0 {
		g.closeConn(m.idle[0])
	}
}

// closeAll closes every connection of a reign that ends; those on which a read
// runs close when it ends.
func (g *Group) closeAll() {
	for i := len(g.conns) - 1; i >= 0; i-- {
		c := g.conns[i]
		if c.request != nil {
			c.doomed = true
			continue
		}
		g.closeConn(c)
	}
}

// runPool lets connections go that are not wanted any more and opens those
// that are.
func (g *Group) runPool() {
	kept := g.closing[:0]
	for _, c := range g.closing {
		if g.now < c.until {
			g.wakeBy(c.until)
			kept = append(kept, c)
		}
	}
	g.closing = kept
	for i := len(g.conns) - 1; i >= 0; i-- {
		c := g.conns[i]
		m := c.member
		switch {
		case c.state == connIdle && (g.avoids(m) || m.conns > g.connLimit(m)):
			g.closeConn(c)
		case c.state == connPinned && g.writes.len() > 0:
			g.expirePinned(c)
		}
	}
	g.warmAll()
}

// expirePinned ends a transaction that idles while others wait.
func (g *Group) expirePinned(c *conn) {
	until := c.since.Add(g.tuning.PinnedIdle)
	if g.now < until {
		g.wakeBy(until)
		return
	}
	g.counters.PinsExpired++
	g.closeConn(c)
}

// pin binds a connection to the caller whose transaction is open on it.
//
// Guard: statements of two transactions must never interleave. Nothing else is
// dispatched on the connection until its transaction ends or it is closed.
func (g *Group) pin(c *conn, caller core.CallerID) {
	c.state, c.request, c.since = connPinned, nil, g.now
	if c.pinned {
		return
	}
	if old := g.pins[caller]; old != nil {
		g.closeConn(old)
	}
	c.pinned, c.caller = true, caller
	c.member.pinned++
	g.pins[caller] = c
}

func (g *Group) unpin(c *conn) {
	if !c.pinned {
		return
	}
	c.pinned = false
	c.member.pinned--
	if g.pins[c.caller] == c {
		delete(g.pins, c.caller)
	}
}

// onHungUp: the caller is gone; its open transaction ends with its connection.
func (g *Group) onHungUp(ev *HungUp) {
	c := g.pins[ev.Caller]
	if c == nil {
		return
	}
	if r := c.request; r != nil {
		g.failRequest(r, ReasonCancelled, core.OutcomeUnknown, stepRun, 0)
	} else {
		g.closeConn(c)
	}
	g.pump()
}
