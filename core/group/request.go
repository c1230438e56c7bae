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
	// term is the leadership under which it was dispatched.
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
