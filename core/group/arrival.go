package group

import (
	"time"

	"limpetspan/core"
)

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
	if ev.InTransaction && (pin == nil || pin.request != nil) && g.guardEnabled(GuardPinned) {
		g.failArrival(ev, ReasonTransactionLost, 0)
		return
	}
	if !ev.InTransaction && pin != nil {
		// The caller was notified that its transaction failed. This request
		// must not run inside that transaction.
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
	if retryAfter := g.overloadRetryAfter(ev, deadline); retryAfter > 0 {
		g.counters.Shed++
		g.failArrival(ev, ReasonOverloaded, retryAfter)
		return
	}
	r := g.newRequest(ev, deadline)
	if ev.InTransaction {
		r.conn = pin
	}
	g.enqueue(r)
	g.dispatchQueued()
}

// refuse fails a request that this daemon does not serve because it is not the
// home or is draining.
func (g *Group) refuse(ev *Arrived) {
	if ev.InTransaction {
		g.failArrival(ev, ReasonTransactionLost, 0)
		return
	}
	g.failArrival(ev, ReasonNotHome, 0)
}

func (g *Group) failArrival(ev *Arrived, reason Reason, retryAfter time.Duration) {
	f := Fail{
		Request: ev.Request, Reason: reason, Outcome: core.OutcomeNotRun,
		Step: stepArrive, RetryAfter: retryAfter,
	}
	if reason == ReasonNotHome {
		f.Hint = g.redirectHint()
	}
	g.counters.Failed++
	g.effects.fail(f)
}

func (g *Group) newRequest(ev *Arrived, deadline core.Time) *request {
	var r *request
	if n := len(g.freeRequests); n > 0 {
		r, g.freeRequests = g.freeRequests[n-1], g.freeRequests[:n-1]
	} else {
		r = new(request)
	}
	sessionID := append(r.sessionID[:0], ev.Session...)
	*r = request{
		id: ev.Request, caller: ev.Caller, sessionID: sessionID, sessionHash: hashSession(ev.Session),
		read: ev.Read, durable: ev.Durable, inTransaction: ev.InTransaction,
		maxStaleness: ev.MaxStaleness, deadline: deadline, floor: ev.Floor,
	}
	g.requests[r.id] = r
	g.sessionRequests[r.sessionHash]++
	g.deadlines.push(r, deadline)
	g.scheduleAt(deadline)
	return r
}
