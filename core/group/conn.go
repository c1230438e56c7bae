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

// conn is one work connection of this home.
type conn struct {
	id     ConnID
	member *member
	state  connState
	// term is the term of the leadership under which it was opened.
	term    core.Term
	request *request
	// pinned is set while a transaction of caller is open on it.
	pinned bool
	caller core.CallerID
	// closed: it was closed or broke.
	closed bool
	// closeAfterRequest: it is closed when the request on it ends.
	closeAfterRequest bool
	// stateSince is when it entered its state.
	stateSince core.Time
}

// closingConn is a connection whose CloseConn was sent and that may still be
// open.
type closingConn struct {
	id     ConnID
	member *member
	until  core.Time
}

// minOpenBackoff and maxOpenBackoff bound the backoff after a failed attempt to
// open a connection.
const (
	minOpenBackoff = 20 * time.Millisecond
	maxOpenBackoff = 2 * time.Second
)

// recordConnLost handles a connection that broke or was closed by the member.
func (g *Group) recordConnLost(m *member) {
	g.counters.ConnsLost++
	m.connLostAt = g.now
	g.requestReport(m)
}

func (g *Group) openConn(m *member) {
	g.lastConnID++
	c := &conn{id: g.lastConnID, member: m, term: g.leadership.term, stateSince: g.now}
	g.conns = append(g.conns, c)
	m.conns++
	m.opening++
	g.counters.ConnsOpened++
	g.effects.open(OpenConn{Conn: c.id, Member: m.ID})
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
			g.effects.close(CloseConn{Conn: ev.Conn}) // It was dropped while it opened.
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
	m.openBackoff = 0
	c.state = connRunning // Until idleConn has decided to keep it.
	g.idleConn(c)
	g.dispatchQueued()
}

// openFailed sets the backoff before the next attempt and schedules a probe of
// the member, unless it only has no free connection: its answer shows that it is
// alive.
func (g *Group) openFailed(m *member, err Failure) {
	m.openBackoff = min(max(2*m.openBackoff, minOpenBackoff), maxOpenBackoff)
	m.openNotBefore = g.now.Add(m.openBackoff/2 + g.random.upTo(m.openBackoff))
	g.scheduleAt(m.openNotBefore)
	switch err {
	case FailureBusy:
	case FailureLeaving:
		m.stopping = true
		g.probeNow(m)
	default:
		g.requestReport(m)
	}
}

// idleConn returns a reusable connection to the pool, or closes it if the member
// must not have it any more.
func (g *Group) idleConn(c *conn) {
	m := c.member
	c.request, c.stateSince = nil, g.now
	if c.closeAfterRequest || c.term != g.leadership.term || g.phase < phaseWaiting || g.mustDisconnect(m) || m.conns > g.connLimit(m) {
		g.closeConn(c)
		return
	}
	c.state = connIdle
	m.idle = append(m.idle, c)
}

// takeIdle returns the connection that was used last, which is the least likely
// to be broken.
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

// removeConn removes a connection that is closed from the pool.
func (g *Group) removeConn(c *conn) {
	m := c.member
	c.closed = true
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

// closeConn closes a connection. It counts against the budget until the shell
// confirms that it is closed, a fence ends it, or CloseGrace has passed.
func (g *Group) closeConn(c *conn) {
	g.removeConn(c)
	g.trackClosing(c)
	g.effects.close(CloseConn{Conn: c.id})
}

func (g *Group) trackClosing(c *conn) {
	until := g.now.Add(g.tuning.CloseGrace)
	g.closing = append(g.closing, closingConn{id: c.id, member: c.member, until: until})
	g.scheduleAt(until)
}

func (g *Group) forgetClosing(id ConnID) {
	for i, c := range g.closing {
		if c.id == id {
			g.closing = append(g.closing[:i], g.closing[i+1:]...)
			return
		}
	}
}

// forgetClosingAt drops the closing connections of a member, because its fence
// has ended them.
func (g *Group) forgetClosingAt(m *member) {
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
		g.fillPools()
		return
	}
	if c.request != nil {
		return // Finished will report the result of the request.
	}
	m := c.member
	g.removeConn(c)
	g.recordConnLost(m)
}
