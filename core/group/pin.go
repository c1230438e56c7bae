package group

import "limpetspan/core"

// expirePinned ends a transaction that was idle for PinnedIdle while requests
// wait for the primary.
func (g *Group) expirePinned(c *conn) {
	until := c.stateSince.Add(g.tuning.PinnedIdle)
	if g.now < until {
		g.scheduleAt(until)
		return
	}
	g.counters.PinsExpired++
	g.closeConn(c)
}

// pin reserves a connection for the caller whose transaction is open on it.
//
// Guard: statements of two transactions must never interleave. Until the
// transaction ends or the connection is closed, only requests of this caller are
// dispatched on it.
func (g *Group) pin(c *conn, caller core.CallerID) {
	c.state, c.request, c.stateSince = connPinned, nil, g.now
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

// onHungUp ends the open transaction of a caller that has disconnected, by
// closing its connection.
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
	g.dispatchQueued()
}
