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

	// conn is the connection it runs on, or the one it is pinned to.
	conn *conn
	// term is the leadership under which it was dispatched.
	term         core.Term
	dispatchedAt core.Time
	// writesBegun is the group's count at dispatch.
	writesDispatched uint64
	// asked: the member's position was asked for.
	positionRequested bool
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
const transactionPriority = time.Hour

// enqueue puts a request into the queue of reads, or of what needs the primary.
//
// Order is by deadline, moved back for each other outstanding request of the
// session, so that one session cannot take all slots while others wait.
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

// toPrimary moves a read to the queue of what needs the primary.
func (g *Group) moveToPrimary(r *request) {
	key := r.heap[slotQueue].key
	g.reads.remove(r)
	g.writes.push(r, key)
}

// unqueue takes a request out of whatever it waits in.
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

// release forgets a request after its last word.
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

// failRequest gives a request its last word. A connection it ran on is gone,
// as the shell drops it.
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

// unrun is the outcome of a request that does not run now.
func (r *request) queuedOutcome() core.Outcome {
	if r.mayHaveRun {
		return core.OutcomeUnknown
	}
	return core.OutcomeNotRun
}

// failQueue fails everything that waits to run.
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
