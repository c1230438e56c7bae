package group

import (
	"time"

	"limpetspan/core"
)

// The steps named in Fail.
const (
	stepArrive      = "home.arrive"
	stepQueue       = "home.queue"
	stepRun         = "home.run"
	stepAcknowledge = "home.acknowledge"
)

type requestState uint8

const (
	// stateQueued: waits in the heap of writes or of reads.
	stateQueued requestState = iota
	// stateDelayed: waits for the pause before a retry.
	stateDelayed
	// stateRunning: dispatched.
	stateRunning
	// stateHeld: ran, its answer waits to be acknowledged.
	stateHeld
)

// request is one request of a caller from arrival to its last word.
type request struct {
	id      core.RequestID
	caller  core.CallerID
	session uint64
	name    []byte
	state   requestState
	heap    [slotCount]heapSlot

	read, durable, inTransaction bool
	maxStaleness                 time.Duration
	deadline                     core.Time
	floor                        core.Position

	// conn is the connection it runs on, or the one it is pinned to.
	conn *conn
	// term is the reign under which it was dispatched.
	term         core.Term
	dispatchedAt core.Time
	// writesBegun is the group's count at dispatch.
	writesBegun uint64
	// asked: the member's position was asked for.
	asked bool
	// waitUntil bounds a read's wait for a replica's position; zero: none yet.
	waitUntil core.Time
	// mayHaveRun: an earlier dispatch of this read was lost.
	mayHaveRun bool
	attempts   int
	notBefore  core.Time
	// position is the member's after the statement.
	position core.Position
}

// pinnedLead moves requests of open transactions to the front of the queue:
// they hold connections that others wait for.
const pinnedLead = time.Hour

func (g *Group) onArrived(ev *Arrived) {
	g.counters.Arrived++
	if g.requests[ev.Request] != nil {
		return
	}
	if g.phase == phaseFollowing {
		g.refuse(ev)
		return
	}
	pin := g.pins[ev.Caller]
	if g.draining() && pin == nil {
		g.refuse(ev)
		return
	}
	if ev.InTransaction && (pin == nil || pin.request != nil) && g.guarded(GuardPinned) {
		g.failArrival(ev, ReasonTransactionLost, 0)
		return
	}
	if !ev.InTransaction && pin != nil {
		// The caller was told that its transaction failed; it must not go on
		// in the middle of it.
		g.closeConn(pin)
		pin = nil
	}
	deadline := ev.Deadline
	if deadline <= 0 {
		deadline = g.now.Add(g.tuning.DefaultTimeout)
	}
	if deadline <= g.now {
		g.failArrival(ev, ReasonDeadline, 0)
		return
	}
	if after := g.overload(ev, deadline); after > 0 {
		g.counters.Shed++
		g.failArrival(ev, ReasonOverloaded, after)
		return
	}
	r := g.newRequest(ev, deadline)
	if ev.InTransaction {
		r.conn = pin
	}
	g.enqueue(r)
	g.pump()
}

// refuse answers a request that came to the wrong daemon.
func (g *Group) refuse(ev *Arrived) {
	if ev.InTransaction {
		g.failArrival(ev, ReasonTransactionLost, 0)
		return
	}
	g.failArrival(ev, ReasonNotHome, 0)
}

func (g *Group) failArrival(ev *Arrived, reason Reason, after time.Duration) {
	f := Fail{
		Request: ev.Request, Reason: reason, Outcome: core.OutcomeNotRun,
		Step: stepArrive, RetryAfter: after,
	}
	if reason == ReasonNotHome {
		f.Hint = g.hint()
	}
	g.counters.Failed++
	g.fx.fail(f)
}

func (g *Group) newRequest(ev *Arrived, deadline core.Time) *request {
	var r *request
	if n := len(g.spare); n > 0 {
		r, g.spare = g.spare[n-1], g.spare[:n-1]
	} else {
		r = new(request)
	}
	name := append(r.name[:0], ev.Session...)
	*r = request{
		id: ev.Request, caller: ev.Caller, name: name, session: hashSession(ev.Session),
		read: ev.Read, durable: ev.Durable, inTransaction: ev.InTransaction,
		maxStaleness: ev.MaxStaleness, deadline: deadline, floor: ev.Floor,
	}
	g.requests[r.id] = r
	g.shares[r.session]++
	g.deadlines.push(r, deadline)
	g.wakeBy(deadline)
	return r
}

// enqueue puts a request into the queue of reads, or of what needs the primary.
//
// Order is by deadline, moved back for each other outstanding request of the
// session, so that one session cannot take all slots while others wait.
func (g *Group) enqueue(r *request) {
	r.state = stateQueued
	if r.conn != nil {
		g.writes.push(r, r.deadline.Add(-pinnedLead))
		return
	}
	others := g.shares[r.session] - 1
	key := r.deadline.Add(time.Duration(others) * g.tuning.FairPenalty)
	if r.read {
		g.reads.push(r, key)
	} else {
		g.writes.push(r, key)
	}
}

// toPrimary moves a read to the queue of what needs the primary.
func (g *Group) toPrimary(r *request) {
	key := r.heap[slotQueue].key
	g.reads.remove(r)
	g.writes.push(r, key)
}

// unqueue takes a request out of whatever it waits in.
func (g *Group) unqueue(r *request) {
	switch r.state {
	case stateQueued:
		if g.reads.holds(r) {
			g.reads.remove(r)
		} else if g.writes.holds(r) {
			g.writes.remove(r)
		}
	case stateDelayed:
		g.delayed = removeRequest(g.delayed, r)
	case stateHeld:
		g.held = removeRequest(g.held, r)
	}
}

func removeRequest(list []*request, r *request) []*request {
	for i, x := range list {
		if x == r {
			copy(list[i:], list[i+1:])
			list[len(list)-1] = nil
			return list[:len(list)-1]
		}
	}
	return list
}

// release forgets a request after its last word.
func (g *Group) release(r *request) {
	delete(g.requests, r.id)
	if n := g.shares[r.session]; n > 1 {
		g.shares[r.session] = n - 1
	} else {
		delete(g.shares, r.session)
	}
	g.deadlines.remove(r)
	r.conn = nil
	g.spare = append(g.spare, r)
	if g.drain.requested {
		g.wakeBy(g.now)
	}
}

// failRequest gives a request its last word. A connection it ran on is gone,
// as the shell drops it.
func (g *Group) failRequest(r *request, reason Reason, outcome core.Outcome, step string, after time.Duration) {
	g.counters.Failed++
	f := Fail{
		Request: r.id, Reason: reason, Outcome: outcome, Step: step, RetryAfter: after,
	}
	if reason == ReasonNotHome {
		f.Hint = g.hint()
	}
	if r.state == stateRunning {
		f.Peer = string(r.conn.member.ID)
		g.fx.fail(f)
		g.dropRunning(r)
	} else {
		g.fx.fail(f)
		g.unqueue(r)
	}
	g.release(r)
}

// unrun is the outcome of a request that does not run now.
func (r *request) unrun() core.Outcome {
	if r.mayHaveRun {
		return core.OutcomeUnknown
	}
	return core.OutcomeNotRun
}

// failQueue fails everything that waits to run.
func (g *Group) failQueue(reason Reason) {
	for _, list := range []*[]*request{&g.writes.items, &g.reads.items, &g.delayed} {
		for len(*list) > 0 {
			r := (*list)[len(*list)-1]
			why := reason
			if r.inTransaction {
				why = ReasonTransactionLost
			}
			g.failRequest(r, why, r.unrun(), stepQueue, 0)
		}
	}
}

// onAbandoned: the caller cancelled; the answer goes out at once.
func (g *Group) onAbandoned(ev *Abandoned) {
	r := g.requests[ev.Request]
	if r == nil {
		return
	}
	switch r.state {
	case stateRunning:
		g.failRequest(r, ReasonCancelled, core.OutcomeUnknown, stepRun, 0)
	case stateHeld:
		g.failRequest(r, ReasonCancelled, core.OutcomeUnknown, stepAcknowledge, 0)
	default:
		g.failRequest(r, ReasonCancelled, r.unrun(), stepQueue, 0)
	}
	g.pump()
}

// expireDeadlines fails what has run out of time.
func (g *Group) expireDeadlines() {
	for g.deadlines.len() > 0 {
		r := g.deadlines.items[0]
		if r.deadline > g.now {
			g.wakeBy(r.deadline)
			return
		}
		switch r.state {
		case stateRunning:
			g.failRequest(r, ReasonDeadline, core.OutcomeUnknown, stepRun, 0)
		case stateHeld:
			g.expireHeld(r)
		default:
			g.failRequest(r, ReasonDeadline, r.unrun(), stepQueue, g.retryAfter())
		}
	}
}

// retryAfter is when a caller might come back with success.
func (g *Group) retryAfter() time.Duration {
	if g.phase == phaseServing {
		return max(g.writeBacklog(), g.tuning.RetryBackoffMax)
	}
	return g.tuning.LeaseDuration
}
