// Package admission decides in which order statements that wait for a member of a database group
// are served, and which of them are rejected instead.
//
// It does no I/O and reads no clock. A Queue holds waiters. Its owner calls Serve when capacity has
// become free, assigns a place to each waiter that can have one, and rejects the waiters that Serve
// returns. A statement is in time if its answer arrives before its latency aim (Waiter.Aim).
//
// # Load patterns
//
// A burst: for less than a second, members have more work than slots. Waiting absorbs it, and
// serving short statements first serves most callers in time.
//
// A standing queue: for seconds, a primary has more work than it can do, for example when its
// replicas lag and it serves all reads. Served in order of arrival, every statement would be late.
// So the newest waiters go first, and those that cannot be in time go last. After ShedDelay,
// waiters that can no longer be in time, or have waited for a fifth of their time, are rejected
// while others are served.
//
// An outage: no statement can be served. Waiters stay in the queue, as rejecting them would use up
// their callers' attempts. When the outage ends, those that are already late do not delay newer
// ones. A statement that arrives when an outage has lasted more than three times as long as the
// statement can wait, with no recovery in progress, is rejected at once (OutageExceedsWait) with a
// time to retry after.
//
// Competition for seconds: with overload control (EnableOverloadControl), the queue forecasts on arrival
// when a statement would get a place, and those that would almost certainly get it too late are refused at
// once. Where too little is known, as after a change of the primary, none is refused. Refused callers are
// promised different times to return, as many in an interval as there is capacity for, and go before
// newcomers of their kind if they come then.
//
// # Cost
//
// Forecast, Add and Remove are linear in the length of the queue, and so is Serve for each place that it
// assigns. A daemon's queue holds at most one statement per session; Serve takes 12 us with 1,000
// waiters (BenchmarkServe).
package admission
