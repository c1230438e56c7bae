package group

import (
	"time"

	"limpetspan/core"
)

// onAbandoned fails a request that the caller cancelled, without waiting for
// the member.
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
		g.failRequest(r, ReasonCancelled, r.queuedOutcome(), stepQueue, 0)
	}
	g.dispatchQueued()
}

// expireDeadlines fails the requests whose deadline has passed.
func (g *Group) expireDeadlines() {
	for g.deadlines.len() > 0 {
		r := g.deadlines.items[0]
		if r.deadline > g.now {
			g.scheduleAt(r.deadline)
			return
		}
		switch r.state {
		case stateRunning:
			g.failRequest(r, ReasonDeadline, core.OutcomeUnknown, stepRun, 0)
		case stateHeld:
			g.expireHeld(r)
		default:
			g.failRequest(r, ReasonDeadline, r.queuedOutcome(), stepQueue, g.retryAfter())
		}
	}
}

// retryAfter estimates after which delay a retry by the caller can succeed.
func (g *Group) retryAfter() time.Duration {
	if g.phase == phaseServing {
		return max(g.writeBacklog(), g.tuning.RetryBackoffMax)
	}
	return g.tuning.LeaseDuration
}
