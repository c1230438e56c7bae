// Package admission decides in which order the statements that wait for a member of a
// database group are served, and which of them are refused instead.
//
// It does no I/O and reads no clock. A Queue holds waiters; whoever owns it asks it to
// serve when something has become free, gives each waiter that can be placed its place,
// and refuses those that Serve returns.
//
// # Load patterns
//
// A burst: members have more work than slots for less than a second. Waiting absorbs
// it; order by work serves most callers in time.
//
// A standing queue: a primary has more work than it can do for seconds, as when its
// replicas apply late and it has all reads. In order of arrival every answer would be
// late. The newest go first, what cannot be in time goes last, and after ShedDelay what
// can no longer be in time, or has waited for a fifth of its time, is refused while
// others are served.
//
// An outage: nobody can be served. Waiters stay; to refuse them would use up their
// callers' attempts. What waits when it ends is late already and does not keep back
// what comes then. What comes when an outage has lasted three times its wait, with
// nobody at work on it, is refused at once (OutageExceedsWait) and told when to come back.
//
// # Cost
//
// Add and Remove are linear in the length of the queue, Serve is linear for each
// grant. A daemon's queue holds at most one statement a session; 1,000 waiters take
// 12 us (BenchmarkServe).
package admission
