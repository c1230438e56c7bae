// Package target is a stand-in for the database groups: a Group of Members,
// each a TCP server on loopback that speaks the PostgreSQL protocol in front
// of an in-memory SQL engine, with terms, log positions, asynchronous
// replication and injectable faults. It is for tests and benchmarks only.
//
// # Data
//
// A member holds a committed database, which is a function of its log alone,
// and, while it is primary, a working database in which one write transaction
// at a time runs. A commit appends the transaction's statements with their
// parameters as one Record to the log and runs them on the committed database;
// replicas do the same later. Statements whose result depends on anything else
// (random(), the time of day) therefore differ between members.
//
// # Terms
//
// Fence and Promote are refused unless the term is above the member's own. A
// primary feeds every reachable member whose term is not above its own and
// which is not fenced or primary in that same term. Such a member adopts the
// term, becomes replica and drops what the primary's log does not hold. A
// primary steps down when it is fenced or a primary of a higher term reaches it.
//
// # Locks
//
// Locks are taken in this order: Group.network, Member.writer, Member.mu,
// then the leaf locks (sessions, journal, link state).
package target
