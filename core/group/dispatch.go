package group

import (
	"time"

	"limpetspan/core"
)

// readScan bounds how many waiting reads are looked at in one pass.
const maxReadsScanned = 16

// pump dispatches what can run now.
func (g *Group) dispatchQueued() {
	if g.writes.len() == 0 && g.reads.len() == 0 {
		return
	}
	if !g.mayServe() {
		if g.phase == phaseServing {
			g.scheduleProbes() // The lease has to be renewed first.
		}
		return
	}
	g.dispatchReads()
	g.dispatchWrites()
}

// pumpWrites dispatches what needs the primary, or a connection already
// pinned, in the order of the queue.
func (g *Group) dispatchWrites() {
	for g.writes.len() > 0 {
		r := g.writes.items[0]
		if r.conn != nil {
			g.dispatchPinned(r)
			continue
		}
		if g.writesPaused() {
			return
		}
		if g.refuseUnknownPosition(r) {
			continue
		}
		p := g.leadership.primary
		if !g.hasSlot(p) {
			return
		}
		c := p.takeIdle()
		if c == nil {
			g.fillPool(p)
			return
		}
		g.writes.remove(r)
		g.dispatch(r, c)
	}
}

// dispatchPinned runs a request on the connection of its caller's transaction,
// or fails it if that was closed while the request waited.
func (g *Group) dispatchPinned(r *request) {
	if r.conn.closed {
		g.failRequest(r, ReasonTransactionLost, core.OutcomeNotRun, stepQueue, 0)
		return
	}
	g.writes.remove(r)
	g.dispatch(r, r.conn)
}

// pumpReads finds a place for the waiting reads.
func (g *Group) dispatchReads() {
	for i := 0; i < maxReadsScanned && i < g.reads.len(); {
		r := g.reads.items[i]
		if g.refuseUnknownPosition(r) || g.routeRead(r) {
			continue // It left the heap; another stands at its index.
		}
		i++
	}
}

// placeRead dispatches a read or moves it to the primary's queue, and reports
// whether it left the queue of reads.
func (g *Group) routeRead(r *request) bool {
	choice := g.route(r)
	switch choice.verdict {
	case verdictPrimary:
		g.counters.ReadsPrimary++
		g.probeLaggingReplicas()
		g.moveToPrimary(r)
		return true
	case verdictReplica:
		c := choice.member.takeIdle()
		if c == nil {
			g.fillPool(choice.member)
			return false
		}
		g.counters.ReadsReplica++
		g.reads.remove(r)
		g.dispatch(r, c)
		return true
	case verdictWait:
		if r.waitUntil == 0 {
			r.waitUntil = g.now.Add(g.tuning.MaxReadWait)
			g.counters.ReadsWaited++
		}
		g.scheduleAt(r.waitUntil)
		g.probeFastUntil(r.waitUntil)
	}
	return false
}

// noteDiverted has the replicas asked for a while, as a read went to the primary:
// after a spell of lag the next ones shall find them as soon as they are level.
func (g *Group) probeLaggingReplicas() {
	until := g.now.Add(g.tuning.ProbeInterval)
	if g.lagProbesUntil < g.now {
		g.lagProbesUntil = until
		g.scheduleProbes()
	}
	g.lagProbesUntil = until
}

// dispatch runs a request on a connection.
func (g *Group) dispatch(r *request, c *conn) {
	m := c.member
	r.state, r.conn, r.dispatchedAt, r.term = stateRunning, c, g.now, g.leadership.term
	r.positionRequested = !r.read || g.needsPosition(r, m)
	c.state, c.request, c.stateSince = connRunning, r, g.now
	m.running++
	if m == g.leadership.primary {
		g.scheduleIn(m.stallTimeout())
	}
	if !r.read {
		g.writesDispatched++
		g.writesRunning++
	}
	r.writesDispatched = g.writesDispatched
	if r.attempts == 0 {
		g.retry.refill(&g.tuning)
	}
	r.attempts++
	g.counters.Dispatched++
	g.effects.dispatch(Dispatch{
		Request: r.id, Conn: c.id, Member: m.ID, WantPosition: r.positionRequested, Hold: !r.read,
	})
}

// positionAge is the age beyond which a replica's known position is refreshed
// by asking behind a read that itself needs none.
const maxPositionAge = 10 * time.Millisecond

// asksPosition reports whether a read is to bring the member's position: for
// the session's monotonic reads, or to know the replica better.
func (g *Group) needsPosition(r *request, m *member) bool {
	if g.isQuiescent() {
		return false
	}
	return r.maxStaleness <= 0 || g.now.Sub(m.positionAt) > maxPositionAge
}

// dropRunning closes the connection of a running request that is failed. The
// shell drops it anyway, unless its Finished is already under way; then this
// keeps it from staying open beside the budget.
func (g *Group) closeRunning(r *request) {
	if !r.read {
		g.writesRunning--
	}
	c := r.conn
	g.closeConn(c)
	r.conn = nil
}

// failRunningWrites fails what runs at the end of a leadership and may have
// changed something. Reads may finish: they were right when they began.
func (g *Group) failRunningWrites(reason Reason) {
	for i := len(g.conns) - 1; i >= 0; i-- {
		r := g.conns[i].request
		if r != nil && (!r.read || g.conns[i].pinned) {
			g.failRequest(r, reason, core.OutcomeUnknown, stepRun, 0)
		}
	}
}

// onFinished takes the end of a dispatched request.
func (g *Group) onFinished(ev *Finished) {
	r := g.requests[ev.Request]
	if r == nil || r.state != stateRunning {
		return
	}
	c := r.conn
	m := c.member
	if !r.read {
		g.writesRunning--
	}
	if ev.Result == ResultOK || ev.Result == ResultReadOnly {
		m.observeService(g.now.Sub(r.dispatchedAt))
		g.returnConn(c, r, ev.TxStatus)
	} else {
		g.removeConn(c)
		g.recordConnLost(m)
	}
	if ev.Result == ResultOK {
		g.finishOK(r, m, ev)
	} else {
		g.finishFailed(r, m, ev.Result)
	}
	g.fillPool(m)
	g.dispatchQueued()
}

// takeBack returns a clean connection to the pool or pins it.
func (g *Group) returnConn(c *conn, r *request, txStatus byte) {
	c.member.running--
	c.request = nil
	if txStatus != 'I' && g.guardEnabled(GuardPinned) {
		if c.closeAfterRequest {
			g.closeConn(c)
			return
		}
		g.pin(c, r.caller)
		return
	}
	g.unpin(c)
	g.idleConn(c)
}

func (g *Group) finishOK(r *request, m *member, ev *Finished) {
	if r.read {
		g.finishRead(r, m, ev)
		return
	}
	g.finishWrite(r, ev)
}

// finishRead ends a read. Its answer may already be with the caller.
func (g *Group) finishRead(r *request, m *member, ev *Finished) {
	r.position = ev.Position
	if g.leadership.term == r.term {
		g.recordRead(r, m)
	}
	g.acknowledge(r)
	g.releaseHeld()
}

// observeService smooths the time a statement takes.
func (m *member) observeService(d time.Duration) {
	if m.serviceTime == 0 {
		m.serviceTime = d
		return
	}
	m.serviceTime += (d - m.serviceTime) / 8
}
