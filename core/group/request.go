package group

import (
	"time"

	"limpetspan/core"
)

// The values of Fail.Step.
const (
	stepArrive      = "home.arrive"
	stepQueue       = "home.queue"
	stepRun         = "home.run"
	stepAcknowledge = "home.acknowledge"
)

type requestState uint8

const (
	// stateQueued: waits in the heap of writes or the heap of reads.
	stateQueued requestState = iota
	// stateDelayed: waits for the backoff before a retry.
	stateDelayed
	// stateRunning: dispatched.
	stateRunning
	// stateHeld: has run; its answer waits to be acknowledged.
	stateHeld
)

// request is one request of a caller, from its arrival to its Acknowledge or
// Fail.
type request struct {
	id          core.RequestID
	caller      core.CallerID
	sessionHash uint64
	sessionID   []byte
	state       requestState
	heap        [slotCount]heapSlot

	read, durable, inTransaction bool
	maxStaleness                 time.Duration
	deadline                     core.Time
	floor                        core.Position

	// conn is the connection it runs on or is pinned to.
	conn *conn
	// term is the term of the leadership under which it was dispatched.
	term core.Term
	// dispatchedAt is when it was dispatched or, for a held write, when the write
	// finished at the member.
	dispatchedAt core.Time
	// writesDispatched is the group's count of writes at dispatch.
	writesDispatched uint64
	// positionRequested: the dispatch asked for the member's position.
	positionRequested bool
	// waitUntil bounds a read's wait for a replica's position. It is zero until
	// the wait begins.
	waitUntil core.Time
	// mayHaveRun: an earlier dispatch of this read ended with a lost connection.
	mayHaveRun bool
	// attempts counts the dispatches; a retry runs no earlier than notBefore.
	attempts  int
	notBefore core.Time
	// position is the member's position after the statement.
	position core.Position
}

// transactionPriority is subtracted from the queue key of requests in open
// transactions. It moves them to the front, because their transactions hold
// connections that other requests wait for.
const transactionPriority = time.Hour

// enqueue puts a request into the queue of reads or the queue of the primary.
//
// The queues are ordered by deadline plus FairPenalty for each other
// outstanding request of the session, so that one session cannot take all slots
// while others wait.
func (g *Group) enqueue(r *request) {
	r.state = stateQueued
	if r.conn != nil {
		g.writes.push(r, r.deadline.Add(-transactionPriority))
		return
	}
	others := g.sessionRequests[r.sessionHash] - 1
	key := r.deadline.Add(time.Duration(others) * g.tuning.FairPenalty)
	if r.read {
		g.reads.push(r, key)
	} else {
		g.writes.push(r, key)
	}
}

// moveToPrimary moves a read to the queue of the primary.
func (g *Group) moveToPrimary(r *request) {
	key := r.heap[slotQueue].key
	g.reads.remove(r)
	g.writes.push(r, key)
}

// dequeue removes a request from the queue or list that it waits in.
func (g *Group) dequeue(r *request) {
	switch r.state {
	case stateQueued:
		if g.reads.contains(r) {
			g.reads.remove(r)
		} else if g.writes.contains(r) {
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

// release removes an answered request and keeps its memory for reuse.
func (g *Group) release(r *request) {
	delete(g.requests, r.id)
	if n := g.sessionRequests[r.sessionHash]; n > 1 {
		g.sessionRequests[r.sessionHash] = n - 1
	} else {
		delete(g.sessionRequests, r.sessionHash)
	}
	g.deadlines.remove(r)
	r.conn = nil
	g.freeRequests = append(g.freeRequests, r)
	if g.drain.requested {
		g.scheduleAt(g.now)
	}
}

// failRequest ends a request with an error. If the request was running, its
// connection is closed, because the shell drops it.
func (g *Group) failRequest(r *request, reason Reason, outcome core.Outcome, step string, retryAfter time.Duration) {
	g.counters.Failed++
	f := Fail{
		Request: r.id, Reason: reason, Outcome: outcome, Step: step, RetryAfter: retryAfter,
	}
	if reason == ReasonNotHome {
		f.Hint = g.redirectHint()
	}
	if r.state == stateRunning {
		f.Peer = string(r.conn.member.ID)
		g.effects.fail(f)
		g.closeRunning(r)
	} else {
		g.effects.fail(f)
		g.dequeue(r)
	}
	g.release(r)
}

// queuedOutcome returns the outcome of a request that fails while it is not
// running.
func (r *request) queuedOutcome() core.Outcome {
	if r.mayHaveRun {
		return core.OutcomeUnknown
	}
	return core.OutcomeNotRun
}

// failQueued fails all requests that wait to run.
func (g *Group) failQueued(reason Reason) {
	for _, list := range []*[]*request{&g.writes.items, &g.reads.items, &g.delayed} {
		for len(*list) > 0 {
			r := (*list)[len(*list)-1]
			failReason := reason
			if r.inTransaction {
				failReason = ReasonTransactionLost
			}
			g.failRequest(r, failReason, r.queuedOutcome(), stepQueue, 0)
		}
	}
}
