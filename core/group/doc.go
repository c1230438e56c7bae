// Package group is the reducer of one database group at one daemon. It decides
// which daemon is the group's home, which member is primary, where each request
// runs, which connections are open, and when a write may be acknowledged.
//
// # Terms
//
// A member's term only rises: fence(t) and promote(t) are refused unless t is
// above the member's current term. Each attempt to become the group's home uses
// a pair of terms: it fences a majority of the members at the odd term t, picks
// the furthest position among them and promotes that member at t+1. The daemon
// whose promotion succeeded is the only home of term t+1: any other daemon must
// first fence a majority at a higher term, and any two majorities share a
// member. Changing the home and changing the primary are therefore the same
// mechanism. Its safety does not depend on the store, and a failover does not
// wait for the store.
//
// # The term lease
//
// A home may acknowledge writes and serve reads only while its term lease
// holds: a majority of the members reported the home's own term in probes that
// were sent less than LeaseDuration ago. A new home waits LeaseDuration after
// it fenced its majority before it serves, unless the old home released the
// term. The old home's last majority probe was sent before that fence, so its
// lease has expired by then, even if the old home was paused: it checks the
// lease when a request arrives and again when the answer is acknowledged, on
// its own monotonic clock. Hence two homes never serve at the same time.
// Read-your-writes (all session positions are at one home), the connection
// budget and the acknowledgments depend on this.
//
// A durable write is acknowledged only after a second member reported a
// position at or past the write in the home's term. Every later majority
// fence then includes a member that has the write.
//
// A member that accepted the fence of this home's own ballot and still reports
// that odd term also counts towards the lease: any daemon that replaces this
// home must fence that member again.
//
// # Contract
//
// The shell is the code that drives a reducer and does its I/O. It calls Reduce
// for one event at a time, carries out the effects in order and reports their
// results as events. Reduce keeps neither the event nor anything it points to,
// and the effects are valid until the next call. Times are readings of the
// shell's monotonic clock.
//
// Every Arrived is answered by exactly one Acknowledge or Fail. The reducer
// compares the terms, ids and send times of events with its own state, so it
// tolerates events about finished requests and closed connections, late answers
// to calls that timed out, and answers that arrive out of order.
//
// A comment that begins with "Guard:" explains which failure a check prevents.
//
// # Files
//
// The home: claim, prevote, ballot, promotion, lease, heartbeat, detect,
// isolation, repair, planned_promotion, drain. The members: configure, member,
// probe, probe_schedule, lag. Requests: arrival, request, queue, dispatch,
// acknowledge, retry, deadline. Routing: route and the factor files, session
// and session_table. Connections: pool, conn, pin.
package group
