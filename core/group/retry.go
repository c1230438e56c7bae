package group

import (
	"time"

	"limpetspan/core"
)

// retryBudget is a token bucket. The first dispatch of each request adds
// RetryRatio tokens, a retry takes one.
//
// Guard: without the budget every failure would be retried while the group is
// already overloaded or failing. That multiplies the load and keeps the group
// overloaded.
type retryBudget struct{ tokens float64 }

func (b *retryBudget) refill(t *Tuning) { b.tokens = min(b.tokens+t.RetryRatio, t.RetryBurst) }

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// finishFailed ends or retries a request whose dispatch failed. onFinished has
// already returned or removed the connection.
//
// Guard: a request is dispatched again only if it is a read or is proved not to
// have run. Otherwise a statement such as a charge might run twice.
func (g *Group) finishFailed(r *request, m *member, result Result) {
	r.conn = nil
	switch result {
	case ResultLeaving:
		m.stopping = true
		g.probeNow(m)
	case ResultReadOnly:
		g.probeNow(m)
	}
	ran := result == ResultLost
	if ran && r.read {
		r.mayHaveRun = true
	}
	repeatable := !ran || r.read || !g.guardEnabled(GuardRetryProof)
	outcome := r.queuedOutcome()
	if ran {
		outcome = core.OutcomeUnknown
	}
	r.state = stateHeld // Neither running nor in a queue.
	switch {
	case g.phase == phaseFollowing:
		g.failRequest(r, failedReason(r, ReasonNotHome, ran), outcome, stepRun, 0)
	case r.inTransaction:
		g.failRequest(r, failedReason(r, ReasonTransactionLost, ran), outcome, stepRun, 0)
	case repeatable && g.retry.take():
		g.scheduleRetry(r)
	default:
		g.failRequest(r, ReasonConnectionLost, outcome, stepRun, g.retryAfter())
	}
}

func failedReason(r *request, otherwise Reason, ran bool) Reason {
	if ran && !r.read {
		return ReasonConnectionLost
	}
	return otherwise
}

// scheduleRetry queues a request again after an exponential backoff with jitter.
func (g *Group) scheduleRetry(r *request) {
	g.counters.Retried++
	backoff := g.tuning.RetryBackoff << min(r.attempts-1, maxRetryShift)
	backoff = min(backoff, g.tuning.RetryBackoffMax)
	r.state = stateDelayed
	r.notBefore = g.now.Add(backoff/2 + g.random.upTo(backoff))
	g.delayed = append(g.delayed, r)
	g.scheduleAt(r.notBefore)
}

// maxRetryShift bounds the doubling of the retry backoff.
const maxRetryShift = 10

// runRetries queues the requests whose backoff has ended.
func (g *Group) runRetries() {
	kept := g.delayed[:0]
	for _, r := range g.delayed {
		if g.now < r.notBefore {
			g.scheduleAt(r.notBefore)
			kept = append(kept, r)
			continue
		}
		g.enqueue(r)
	}
	clear(g.delayed[len(kept):])
	g.delayed = kept
}

// overloadRetryAfter returns the retry-after delay for a request that cannot be
// served before its deadline or does not fit into the queue. It returns zero if
// the request is admitted.
func (g *Group) overloadRetryAfter(ev *Arrived, deadline core.Time) time.Duration {
	if g.writes.len()+g.reads.len()+len(g.delayed) >= g.tuning.MaxQueue {
		return max(g.writeBacklog(), g.tuning.RetryBackoffMax)
	}
	if ev.InTransaction || g.phase != phaseServing {
		return 0
	}
	wait := g.writeBacklog()
	if ev.Read {
		wait = min(wait, g.readBacklog())
	}
	if g.now.Add(wait) <= deadline {
		return 0
	}
	return wait
}

// writeBacklog estimates how long a new write would wait for the primary.
func (g *Group) writeBacklog() time.Duration {
	p := g.leadership.primary
	if p == nil {
		return 0
	}
	return g.backlog(g.writes.len(), p.running, 1, p.serviceTime)
}

// readBacklog estimates how long a new read would wait for a replica.
func (g *Group) readBacklog() time.Duration {
	replicas, running, service := 0, 0, time.Duration(0)
	for _, m := range g.members {
		if g.isServing(m) {
			replicas++
			running += m.running
			service = max(service, m.serviceTime)
		}
	}
	if replicas == 0 {
		return g.writeBacklog()
	}
	return g.backlog(g.reads.len(), running, replicas, service)
}

func (g *Group) backlog(queued, running, members int, service time.Duration) time.Duration {
	slots := max(1, g.slots) * members
	rounds := (queued + max(0, running-slots)) / slots
	return time.Duration(rounds) * service
}
