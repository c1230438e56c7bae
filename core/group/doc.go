// Package group is the reducer of one database group at one daemon: who is the
// group's home, which member is primary, where each request runs, which
// connections exist, and when a write may be acknowledged.
//
// # Terms decide everything
//
// A member's term only rises: fence(t) and promote(t) are refused unless t is
// above the member's own. Each attempt to become the group's home takes a pair
// of terms: it fences a majority of the members at the odd term t, picks the
// furthest position among them and promotes that member at t+1. The daemon
// whose promotion succeeded is the home of term t+1, and nobody else is: a
// second daemon must fence a majority at a higher term first, and any two
// majorities share a member. Changing the home and changing the primary are
// therefore one mechanism, the store takes no part in its safety, and a
// failover does not wait for the store.
//
// # The term lease
//
// A home may acknowledge writes and serve reads only while its term lease
// holds: a majority of the members reported the home's own term in probes that
// were sent less than LeaseDuration ago. A new home waits LeaseDuration after
// it fenced its majority before it serves, unless the old home released the
// term. The old home's last majority probe was sent before that fence, so its
// lease has lapsed by then, also when it was paused: the check is made when a
// request arrives and again when its answer is acknowledged, on its own
// monotonic clock. Hence two homes never serve at once, which keeps
// read-your-writes (all positions are at one home), the connection budget and
// the acknowledgments.
//
// A durable write is acknowledged only after a second member reported a
// position at or past the write in the home's term. Every later majority
// fence then includes a member that has the write.
//
// A member that accepted the fence of this home's own ballot and still reports
// that odd term counts towards the lease as well: whoever is to replace the
// home must fence it again.
//
// # Contract
//
// Reduce is called for one event at a time. It neither keeps the event nor
// what it points to, and the effects are valid until the next call. The shell
// carries out the effects in order and reports their results as events. The
// clock is the shell's monotonic clock.
//
// Every Arrived is answered by exactly one Acknowledge or Fail. Events about
// requests and connections that are over, late answers of calls that were
// given up, and answers in another order than the calls are all harmless: the
// reducer compares their terms, ids and sending times with its own state.
//
// # Files
//
// The home: prevote, ballot, promotion (claims), lease, beat, detect, repair,
// plan (planned promotions), drain. The members: member, probe, pace, lag.
// Requests: arrival, request, queue, dispatch, ack, retry, deadline. Routing:
// route and the factor files, session and session_table. Connections: pool,
// conn, pin.
package group
