package explore

import (
	"fmt"
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
)

// operationKind is what a caller does in one request.
type operationKind uint8

const (
	opWrite operationKind = iota
	opRead
	// opRegister is a read that is not declared as one, so that it is served
	// by the primary and takes part in the check of linearizability.
	opRegister
	opBegin
	opTransactionWrite
	opCommit
)

var operationNames = [...]string{"write", "read", "register", "begin", "transaction write", "commit"}

func (k operationKind) String() string { return operationNames[k] }

// operation is one request of a caller and what became of it.
type operation struct {
	caller *caller
	// sender is the caller's connection at the time of sending.
	sender  core.CallerID
	kind    operationKind
	id      int
	durable bool
	began   core.Time
	ended   core.Time
	// acknowledged: the caller got its answer.
	acknowledged bool
	// saw is the log that a read returned.
	saw []entry
	// request, daemon and life of the present try.
	request core.RequestID
	daemon  *daemon
	life    int
	conn    group.ConnID
	// term is the daemon's term when it dispatched the operation.
	term core.Term
	over bool
}

// caller is one session that sends one request at a time, each through any daemon.
type caller struct {
	world *world
	id    core.CallerID
	name  core.SessionID
	// floor is the position its entry knows; roaming loses it.
	floor core.Position
	// owed are the acknowledged writes that every later read has to show.
	owed []int
	// inTransaction: the requests go to home until it ends.
	inTransaction bool
	home          *daemon
	transaction   []int
	current       *operation
}

// next starts the caller's next operation.
func (c *caller) next() {
	w := c.world
	if w.now >= w.until {
		return
	}
	op := &operation{caller: c, sender: c.id, began: w.now, durable: w.rng.IntN(4) > 0}
	switch {
	case c.inTransaction && w.rng.IntN(2) == 0:
		op.kind = opCommit
	case c.inTransaction:
		op.kind = opTransactionWrite
	default:
		op.kind = [...]operationKind{opWrite, opWrite, opRead, opRead, opRead, opRegister, opBegin}[w.rng.IntN(7)]
	}
	if op.kind == opWrite || op.kind == opTransactionWrite {
		w.writes++
		op.id = w.writes
	}
	if !c.inTransaction && w.rng.IntN(3) == 0 && !c.owesUnconfirmed() {
		c.floor = core.Position{}
	}
	c.current = op
	w.after(operationTimeout, func() {
		if !op.over {
			c.giveUp(op)
		}
	})
	c.send(op)
}

// owesUnconfirmed: a roaming session without a position can only be told of a
// lost write by a home that knew it, so sessions with non-durable writes keep
// their entry. See the limits in docs/SESSIONS.md.
func (c *caller) owesUnconfirmed() bool {
	for _, id := range c.owed {
		if !c.world.durable[id] {
			return true
		}
	}
	return false
}

// send tries the operation at a daemon.
func (c *caller) send(op *operation) {
	w := c.world
	if op.over {
		return
	}
	d := c.home
	if !c.inTransaction {
		d = w.pickDaemon()
	}
	op.daemon = d
	if d == nil || !d.up {
		if c.inTransaction {
			c.finish(op, false)
			return
		}
		w.after(retryPause, func() { c.send(op) })
		return
	}
	op.life = d.life
	w.after(w.latency(), func() {
		if !d.up || d.life != op.life || op.over {
			if !op.over && !c.inTransaction {
				w.after(retryPause, func() { c.send(op) })
			}
			return
		}
		d.requests++
		op.request = d.requests
		op.conn = 0
		d.running[op.request] = op
		deadline := d.clock().Add(op.began.Add(operationTimeout).Sub(w.now))
		d.post(&group.Arrived{Request: op.request, Caller: op.sender, Session: c.name, Read: op.kind == opRead,
			Durable: op.durable, InTransaction: c.inTransaction, Deadline: deadline, Floor: c.floor})
	})
}

// giveUp is the caller's own deadline: the outcome stays unknown.
func (c *caller) giveUp(op *operation) {
	if op.daemon != nil && op.daemon.up && op.daemon.life == op.life && op.request != 0 {
		op.daemon.post(&group.Abandoned{Request: op.request})
		if c.inTransaction || op.kind == opBegin {
			op.daemon.post(&group.HungUp{Caller: op.sender})
		}
	}
	c.finish(op, false)
}

// finish ends the operation and starts the next one.
func (c *caller) finish(op *operation, acknowledged bool) {
	if op.over {
		return
	}
	w := c.world
	op.over, op.acknowledged, op.ended = true, acknowledged, w.now
	w.settled(op)
	if !acknowledged && (c.inTransaction || op.kind == opBegin) {
		c.endTransaction()
	}
	w.after(time.Duration(w.rng.Int64N(int64(w.pace))), c.next)
}

func (c *caller) endTransaction() {
	c.inTransaction, c.home, c.transaction = false, nil, nil
	// A new connection of the caller has a new number.
	c.world.callerNumbers++
	c.id.Number = c.world.callerNumbers
}

// dispatch runs the operation at the member.
func (d *daemon) dispatch(e *group.Dispatch) {
	w := d.world
	op := d.running[e.Request]
	if op == nil {
		w.violate("dispatch", "%s dispatched request %d that is over", d.id, e.Request)
		return
	}
	op.conn, op.term = e.Conn, d.reducer.Snapshot().Term
	life, m := d.life, w.member(e.Member)
	key := connKey{d.index, life, e.Conn}
	finish := func(result group.Result, status byte, p core.Position) {
		w.after(w.latency(), func() {
			if d.life == life && d.running[e.Request] == op && op.conn == e.Conn {
				if result == group.ResultLost || result == group.ResultNotSent {
					// The shell closes a broken connection.
					d.closeConn(&group.CloseConn{Conn: e.Conn})
				}
				op.conn = 0
				d.post(&group.Finished{Request: e.Request, Result: result, TxStatus: status, Position: p})
			}
		})
	}
	w.after(w.latency(), func() {
		if w.cut(d, m) {
			w.after(w.latency()+brokenAfter, func() { finish(group.ResultLost, 0, core.Position{}) })
			return
		}
		m.serve(func() {
			conn := m.conns[key]
			if conn != nil && conn.opened < m.silentSince {
				return
			}
			if !m.up || conn == nil {
				finish(group.ResultNotSent, 0, core.Position{})
				return
			}
			result, status := w.execute(m, conn, op)
			p := m.position()
			w.after(w.serviceTime(), func() {
				if w.cut(d, m) || w.loseAnswer() {
					finish(group.ResultLost, 0, core.Position{})
					return
				}
				finish(result, status, p)
			})
		})
	})
}

// execute is the member's part of an operation.
func (w *world) execute(m *member, conn *modelConn, op *operation) (group.Result, byte) {
	c := op.caller
	if conn.owner != (core.CallerID{}) && conn.owner != op.sender {
		w.violate("interleave", "%s of %s ran in the transaction of %d on %s", op.kind, c.name, conn.owner.Number, m.id)
	}
	inside := op.kind == opTransactionWrite || op.kind == opCommit
	if inside && conn.owner != op.sender {
		w.violate("interleave", "%s of %s ran outside its transaction on %s", op.kind, c.name, m.id)
	}
	switch op.kind {
	case opRead, opRegister:
		op.saw = append([]entry(nil), m.log...)
		return group.ResultOK, 'I'
	case opWrite:
		if m.role != core.RolePrimary {
			return group.ResultReadOnly, 'I'
		}
		w.appendWrite(m, op.id)
		return group.ResultOK, 'I'
	case opBegin:
		conn.owner, conn.pending = op.sender, nil
		return group.ResultOK, 'T'
	case opTransactionWrite:
		if m.role != core.RolePrimary {
			return group.ResultReadOnly, 'E'
		}
		conn.pending = append(conn.pending, op.id)
		return group.ResultOK, 'T'
	case opCommit:
		if m.role != core.RolePrimary {
			conn.owner, conn.pending = core.CallerID{}, nil
			return group.ResultReadOnly, 'I'
		}
		for _, id := range conn.pending {
			w.appendWrite(m, id)
		}
		conn.owner, conn.pending = core.CallerID{}, nil
		return group.ResultOK, 'I'
	}
	panic(fmt.Sprintf("explore: operation %v", op.kind))
}

func (w *world) appendWrite(m *member, id int) {
	w.runs[id]++
	if m.has(id) {
		w.violate("doubled", "write %d ran twice on %s", id, m.id)
	}
	m.log = append(m.log, entry{m.term, id})
}

// acknowledge is the effect that completes an answer.
func (d *daemon) acknowledge(e *group.Acknowledge) {
	op := d.running[e.Request]
	if op == nil {
		d.world.violate("acknowledge", "%s acknowledged request %d that is over", d.id, e.Request)
		return
	}
	delete(d.running, e.Request)
	if op.over {
		return
	}
	d.world.acknowledged(d, op)
	c := op.caller
	c.floor = c.floor.Max(e.Position)
	c.finish(op, true)
}

// fail is the effect that ends a request with an error.
func (d *daemon) fail(e *group.Fail) {
	w := d.world
	op := d.running[e.Request]
	if op == nil {
		w.violate("fail", "%s failed request %d that is over", d.id, e.Request)
		return
	}
	delete(d.running, e.Request)
	if op.conn != 0 {
		d.closeConn(&group.CloseConn{Conn: op.conn})
	}
	if op.over {
		return
	}
	c := op.caller
	switch {
	case e.Reason == group.ReasonWriteLost:
		c.owed, c.floor = nil, core.Position{}
		w.told++
		c.finish(op, false)
	case e.Outcome == core.OutcomeNotRun:
		w.checkNotRun(d, op)
		if c.inTransaction || e.Reason == group.ReasonDeadline {
			c.finish(op, false)
			return
		}
		w.after(retryPause, func() { c.send(op) })
	default:
		c.finish(op, false)
	}
}
