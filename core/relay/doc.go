// Package relay decides how one daemon keeps its copy of the platform's store current: by
// its own watch, or through another daemon that watches. The copy holds the configuration,
// the list of daemons and, where it is needed, members and promotion locks.
//
// It does no I/O, reads no clock and draws no randomness. A Follower is asked for its
// next Step, the caller carries it out and reports the outcome, and so on; there is one
// step at a time.
//
// # Load pattern
//
// A watch is a paid call that has to end within the bound of a change, as only its end
// shows that its connection has gone silent. If each daemon watched, calls would grow with
// the fleet, and bytes with the fleet times its lists; a store that comes back would be
// read by all daemons at once. So a large fleet has two watchers in each zone, and all
// others ask one of those, which answers with the changes since their position.
//
// # Proof
//
// A daemon holds its configuration together with a proof: a moment of its own clock as
// of which the configuration was the store's newest. A read or watch that was sent at s
// proves it as of s. A daemon that is asked answers with its proof relative to the
// arrival of the question; the question was sent before it arrived, so the same distance
// from the sending is a proof on the clock of the one that asked. No clocks are
// compared, and an answer that was delayed, or whose sender was frozen, is dated too old
// and never too young.
//
// # Contract
//
// A daemon whose proof is as old as its budget, the bound less OwnReadMargin, reads the
// store itself, whatever its relays say, and again with growing pauses until a read
// succeeds or a relay has a younger proof. So an accepted configuration is in force
// within the bound at each daemon that reaches the store or a relay that does:
//
//   - A relay that is dead, frozen, cut off or behind delays nobody beyond the budget: its
//     followers ask the next relay, and when none has a young proof the store.
//   - A daemon in touch with the store but with no relay reads the store once per budget.
//   - A daemon in touch with a relay but not with the store goes on by the relay; so does
//     one that watches the store itself, which tries the store again all the while.
//   - Followers that ask each other in a circle hand around proofs that only grow older,
//     and end at the store.
//
// A configuration is replaced only by one of a higher version, so nothing goes back
// whoever tells it. The package keeps no data; the caller accepts what comes before it
// reports the proof.
//
// A daemon's registration, reads of a promotion lock for a lease, and claims stay its own
// calls to the store.
package relay
