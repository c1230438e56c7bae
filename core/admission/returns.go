package admission

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/policy"
)

// Parameters of the schedule of returns.
const (
	// returnShare is the part of a kind's capacity that is promised; the rest is left to newcomers.
	returnShare = 0.5
	// minReturn is the shortest retry time under overload: after less, no statement has ended.
	minReturn = MinWait
	// returnTolerance is how much later than promised a session may return and keep its promise:
	// the time of a caller's request and of the timers on its way.
	returnTolerance = 100 * time.Millisecond
	// earlyTolerance is how much earlier it may return. Refusals give whole milliseconds, and the
	// clocks of caller and daemon do not run at exactly the same speed.
	earlyTolerance = 5 * time.Millisecond
)

// Returns is a schedule of promised returns: the times at which refused callers are to retry, no
// more in any interval than there is capacity for. The zero value is an empty schedule.
type Returns struct {
	// next is the first time that has not been promised.
	next core.Time
}

// Promise returns the time at which a caller is to retry: not before earliest, and after all returns
// promised before. rate is the number of returns per second that there is capacity for. It returns
// false if the schedule is full up to the horizon.
func (r *Returns) Promise(earliest, horizon core.Time, rate float64) (core.Time, bool) {
	due := max(earliest, r.next)
	if due > horizon || rate <= 0 {
		return 0, false
	}
	r.next = due.Add(seconds(1 / rate))
	return due, true
}

// Promise is a time at which a refused caller is to retry.
type Promise struct {
	// After is how long the caller is to wait.
	After time.Duration
	// Due is when it goes before newcomers of its kind if it returns then, 0 if the schedule is full.
	Due core.Time
}

// IsKept reports whether a session that returns at the time does so when it was told to, within the
// tolerances.
func IsKept(at, due core.Time) bool {
	return due != 0 && at >= due.Add(-earlyTolerance) && at <= due.Add(returnTolerance)
}

// Promise returns when the caller of a refused waiter is to retry, and records it in the schedule of
// the waiter's kind. horizon is how far ahead returns are promised: callers whose budget is not known
// are not sent away for longer than their statement's timeout. draw is a random number from 0 to 1 that spreads
// the callers that are promised nothing.
func (q *Queue[T]) Promise(at core.Time, w *Waiter[T], f Forecast, places Places, horizon time.Duration, draw float64) Promise {
	k := q.forecaster.kindOf(w.Database)
	if !q.policy.Has(policy.ScheduledReturns) {
		return Promise{After: RetryAfter(0, draw)}
	}
	free := 1 - min(maxOvertaking, places.use(w.Primary, q.arrivingBefore(at, w, true)))
	rate := returnShare * free * places.of(w.Primary) / max(time.Millisecond, w.ServiceTime).Seconds()
	earliest := at.Add(max(minReturn, f.Wait-f.Allowed))
	due, ok := k.returns.Promise(earliest, at.Add(horizon), rate)
	if !ok {
		return Promise{After: seconds(horizon.Seconds() * (1 + draw) / 2)}
	}
	return Promise{After: due.Sub(at), Due: due}
}
