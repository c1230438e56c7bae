// Package quota enforces a team's operation limit across a fleet of daemons that has no
// coordinator: it decides whether an operation of a team may run now.
//
// It does no I/O, reads no clock and draws no randomness. A Bucket counts operations at the
// daemon that runs them. A Holder decides which daemon that is: the caller asks it for its next
// Step, executes the step and reports the outcome, one step at a time.
//
// # Load pattern
//
// There are tens to thousands of teams, a few of them large. Nearly all stay at about 0.6 of
// their limits, and the limiter must never delay these. Occasionally a team sends many times its
// usual load, or its limit is lowered far below that load, while hosts are partitioned, lose
// power or freeze.
//
// # Slots
//
// Each team belongs to a slot. A slot is a key of the platform's store, bound to a lease of the
// daemon that holds it. In each group one home serves all statements of a team: the first in an
// order that depends on the slot alone. That home requests the slot when it needs it. A daemon
// that does not hold a slot runs no operations of its teams.
//
// The alternative, a fixed share of the limit for each daemon that may run a team's operations,
// needs no messages and is safe. But one daemon carries a team's whole load, and its share would
// be an eighth of the limit.
//
// # Contract
//
// In any span w, all daemons together send at most
//
//	rate x w + burst + StartTokens x (number of daemons that took the slot in the span)
//
// operations of a team, where rate and burst are those of the Bucket. Argument:
//
//   - At most one daemon holds the slot at any moment. The holder measures its lease from when
//     it sent the renewal, the store from when the renewal arrived, and the store deletes the
//     key when the lease ends. A holder releases a slot only after it has stopped using it.
//   - A Bucket starts with StartTokens and gains rate x time. A daemon that holds the slot for
//     time t therefore sends at most StartTokens + rate x t, whatever ran before. Only the daemon
//     that held the slot at the beginning of the span can have more, at most burst.
//
// So no daemon has to know what a daemon that died, froze or was partitioned has run.
//
// After a restart of the whole fleet the callers of all teams return at once, and StartTokens
// are far too few for them. Therefore the key of a slot records whether the bursts of its teams
// may be in use:
//
//   - A holder uses only the unreported part of a burst (Limit.UnreportedBurst) until its key
//     records that the burst is in use.
//   - Once it has used no more than that part for a window (Tolerance.Window), it stops using the
//     rest and then clears the record.
//   - A daemon that takes a slot whose key recorded no burst may use the rest of the burst at
//     once: the unreported part used before and the rest used after add up to one burst. Its own
//     key records the burst as in use from the moment it is taken.
//
// Failures:
//
//   - One or all daemons are killed or lose power: the next holder, which may be the same daemon
//     restarted, starts with a new bucket. A process takes the slots of its own previous
//     incarnation without waiting for their lease, as two processes of one daemon never run at
//     the same time.
//   - A daemon is frozen and resumes: the clock that is read right before sending keeps running
//     during a suspension.
//   - A daemon is partitioned from the store, or the store is down: the daemon stops using its
//     slots when its lease ends, and nothing runs. Partitioned from other daemons only, it
//     continues alone; they cannot take its slots.
//   - A response is lost: a slot that may have been taken is not used until it has been read
//     again.
//   - A limit is lowered: the new limit applies from when the holder has the configuration, and
//     the Bucket then keeps no more tokens than the new burst.
//
// # Split limits
//
// While the holder of a slot is lost, none of its teams could run anything for up to LeaseTTL, and
// callers that cannot reach it could run nothing at all. Where limits are split, a second daemon
// gives out a fixed part of each limit without a call to the store at that moment. A slot then has
// two keys: its own, whose holder gives out the first part of each limit, and that of its second
// slot, whose holder gives out the second part (Limit.Of). Each key is held, renewed, recorded and
// released as described above, with a bucket of its own for each team, and knows nothing of the
// other. In any span w, all daemons together send at most
//
//	  rate1 x w + burst1 + StartTokens1 x (number of daemons that took the slot in the span)
//	+ rate2 x w + burst2 + StartTokens2 x (number of daemons that took the second slot in the span)
//
// operations of a team. Argument:
//
//   - The argument above holds for each key by itself, with the key's part in place of the limit.
//     It does not use who holds the other key, whether the holders reach each other, or on which
//     side of a partition they are. One daemon may hold both keys; it counts each part in its own
//     bucket.
//   - rate1 + rate2 = rate, and burst1 + burst2 <= burst + 1: each part of a burst of at least one
//     operation is at least one operation, as a smaller part could never be used.
//   - StartTokens1 + StartTokens2 = StartTokens. A change of both holders therefore costs the slack
//     no more than a change of the holder of an unsplit limit. If each holder changes three times in
//     a window, three quarters of the slack are used. The rest also covers the operation by which
//     the bursts may exceed the whole burst.
//   - ReservationTTL x rate1 + ReservationTTL x rate2 operations may be sent late, as many as with
//     one key.
//   - Both parts grow with the limit. While the holders have different configurations, each part is
//     at most that of the larger limit, so the sum is at most that of the larger limit.
//   - What a key records of bursts concerns only its own part, and the part of the burst that is
//     unreported is a share of it.
//
// All daemons of a fleet must split limits, or none; limits are therefore split only where the
// command line of each daemon asks for it, and a change of that takes a restart of the whole fleet.
// The contract does not hold in a fleet of both kinds: a daemon that does not split limits, or does
// not know second slots, gives out whole limits, so a team may get rate + rate2 for as long as such a
// daemon holds the slot and another daemon the second slot. As a safeguard only, without a bound on
// that time, the key of a slot records whether its holder splits limits. A second slot is not taken if
// the last list names a holder of the slot that does not, and is released when a later list names one.
// A holder reads no list for this purpose.
//
// The alternative, that an old holder writes a release when it hands a slot over, helps only if the
// old holder reaches the store, and therefore not when it is lost. A second key that gives out the
// whole limit once the first holder is suspected would exceed the limit, as the first may run on.
//
// Clocks of different daemons are not compared, and steps of the wall clock have no effect.
//
// # Operations
//
// An operation is a statement outside a transaction, or a transaction. It is counted once, when
// its first statement is about to be sent. An operation that a member refused without running it
// is not counted again; one that may have run is. An operation that was counted more than
// ReservationTTL ago, because it has been waiting since, is counted again: otherwise it would run
// in a later window than the one it was counted in, on top of that window's operations. Up to
// ReservationTTL x rate operations may thus be sent late, even after a lease has ended; half of
// the tolerated overage is reserved for them.
package quota
