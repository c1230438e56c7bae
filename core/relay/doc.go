// Package relay decides how one daemon keeps its copy of the platform's store up to date: by
// its own watch, or through another daemon that watches (its relay). The copy holds the
// configuration, the list of daemons and, where needed, members and promotion locks.
//
// It does no I/O, reads no clock and draws no randomness. The caller asks a Follower for its
// next Step, executes the step and reports the outcome, one step at a time.
//
// # Load pattern
//
// A watch is a billed call. It has to end within the time in which a change must take effect,
// as a connection that has gone silent is only noticed when the watch should have ended. If each
// daemon watched, calls would grow with the size of the fleet, and bytes with the size of the
// fleet times the size of its lists; after an outage of the store all daemons would read it at
// once. So a large fleet has two watchers in each zone. All other daemons ask one of those, which
// answers with the changes since the position of the daemon that asks.
//
// # Proof
//
// A daemon holds its configuration together with a proof: a time on its own clock as of which
// the configuration was the newest one in the store. These prove it as of the time s of their sending:
//
//   - A read of all that the copy holds.
//   - A watch that ends without a change. It was sent from the copy's position, and nothing came after
//     that.
//   - A check, which reads the store's position alone, once the copy has reached that position in the
//     same era.
//
// A watch that returns changes proves none of this: the store may return a part of the changes, and does
// not say so. The copy is then complete up to the position that the response names, as of an unknown
// time. The next watch is shortened so that it may end without a change before the proof is old. If
// changes go on, a check is sent instead, and the watches after it follow without a pause until the copy
// has reached the store's position. A new configuration takes effect, and is passed on, before it is
// proved.
//
// A relay answers with the age of its proof at the arrival of the question. The
// daemon that asked subtracts this age from the time at which it sent the question, on its own
// clock. The age is negative if the relay waited for a younger proof before it answered. No clocks
// of different daemons are compared. The question was sent before it arrived, so the proof is
// dated too old by the time that the question took, never too young, also if a message was delayed
// or a daemon was frozen.
//
// # Contract
//
// The budget is the bound within which a change must take effect, less OwnReadMargin. A daemon
// whose proof is as old as its budget reads the store itself, whatever its relays answer, and
// retries with growing delays until a read succeeds or a relay has a younger proof. So an accepted
// configuration takes effect within the bound at each daemon that reaches the store or a relay
// that does:
//
//   - A relay that is dead, frozen, partitioned or behind delays no daemon beyond the budget: its
//     followers ask the next relay and, if none has a young proof, the store.
//   - A daemon that reaches the store but no relay reads the store once per budget.
//   - A daemon that reaches a relay but not the store continues through the relay. So does a
//     watcher, which keeps retrying the store meanwhile.
//   - A watch whose answer cannot be used, for example because it holds more changes than a response
//     may, delays a watcher by one load: the same watch would be answered in the same way.
//   - A watcher whose calls get no answer tries watches and loads by turns once its proof is as old as
//     its budget, each with a short timeout, so that no single kind of call keeps it behind.
//   - Followers that ask each other in a circle exchange proofs that only grow older, and finally
//     read the store.
//
// A configuration is replaced only by one of a higher version, so it never reverts, whichever
// daemon it comes from. The package keeps no data: the caller accepts the data before it reports
// the proof.
//
// A daemon makes some calls to the store itself in any case: its registration, reads of a
// promotion lock for a lease, and claims.
package relay
