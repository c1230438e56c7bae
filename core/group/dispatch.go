package group

import (
	"time"

	"limpetspan/core"
)

// maxReadsScanned bounds the number of waiting reads examined in one pass.
const maxReadsScanned = 16

// dispatchQueued dispatches the queued requests that can run now.
func (g *Group) dispatchQueued() {
	if g.writes.len() == 0 && g.reads.len() == 0 {
		return
	}
	if !g.mayServe() {
		if g.phase == phaseServing {
			g.scheduleProbes() // The lease must be renewed first.
		}
		return
	}
	g.dispatchReads()
	g.dispatchWrites()
}

// dispatchWrites dispatches the requests that need the primary or a pinned
// connection, in queue order.
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
// or fails it if that connection was closed while the request waited.
func (g *Group) dispatchPinned(r *request) {
	if r.conn.closed {
		g.failRequest(r, ReasonTransactionLost, core.OutcomeNotRun, stepQueue, 0)
		return
	}
	g.writes.remove(r)
	g.dispatch(r, r.conn)
}

// dispatchReads routes the waiting reads, up to maxReadsScanned that stay
// queued.
func (g *Group) dispatchReads() {
	for i := 0; i < maxReadsScanned && i < g.reads.len(); {
		r := g.reads.items[i]
		if g.refuseUnknownPosition(r) || g.routeRead(r) {
			continue // The read left the heap; another one is now at index i.
		}
		i++
	}
}

// routeRead dispatches a read or moves it to the queue of the primary. It
// reports whether the read left the queue of reads.
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

// probeLaggingReplicas schedules probes of the replicas for a while after a read
// went to the primary. Reads return to the replicas as soon as these have caught
// up.
func (g *Group) probeLaggingReplicas() {
	until := g.now.Add(g.tuning.ProbeInterval)
	if g.lagProbesUntil < g.now {
		g.lagProbesUntil = until
		g.scheduleProbes()
	}
	g.lagProbesUntil = until
}

func (g *Group) dispatch(r *request, c *conn) {
	m := c.member
	if r.conn == nil && m.running >= g.statementCap() {
		g.counters.PlacesReleased++
	}
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

// maxPositionAge is the age beyond which a replica's known position is refreshed
// by a read that does not need the position itself.
const maxPositionAge = 10 * time.Millisecond

// needsPosition reports whether a read should return the member's position:
// either for monotonic reads of the session or because the known position of
// the replica is too old.
func (g *Group) needsPosition(r *request, m *member) bool {
	if g.isQuiescent() {
		return false
	}
	return r.maxStaleness <= 0 || g.now.Sub(m.positionAt) > maxPositionAge
}

// closeRunning closes the connection of a running request that fails. The shell
// drops the connection itself unless a Finished is already queued. In that case
// the connection would otherwise stay open without counting against the budget.
func (g *Group) closeRunning(r *request) {
	if !r.read {
		g.writesRunning--
	}
	c := r.conn
	g.closeConn(c)
	r.conn = nil
}

// failRunningWrites fails the running writes and the running requests of
// transactions when a leadership ends. Other reads may finish, because the
// leadership was valid when they were dispatched.
func (g *Group) failRunningWrites(reason Reason) {
	for i := len(g.conns) - 1; i >= 0; i-- {
		r := g.conns[i].request
		if r != nil && (!r.read || g.conns[i].pinned) {
			g.failRequest(r, reason, core.OutcomeUnknown, stepRun, 0)
		}
	}
}

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

// returnConn returns a reusable connection to the pool, or pins it while the
// caller's transaction is open.
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

// finishRead ends a read. The caller may already have received the answer.
func (g *Group) finishRead(r *request, m *member, ev *Finished) {
	r.position = ev.Position
	if g.leadership.term == r.term {
		g.recordRead(r, m)
	}
	g.acknowledge(r)
	g.releaseHeld()
}

// observeService updates the smoothed service time of a statement.
func (m *member) observeService(d time.Duration) {
	if m.serviceTime == 0 {
		m.serviceTime = d
		return
	}
	m.serviceTime += (d - m.serviceTime) / 8
}
