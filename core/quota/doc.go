// Package quota decides whether an operation of a team may run now, so that a fleet
// without a coordinator runs no more for the team than its limit allows.
//
// It does no I/O, reads no clock and draws no randomness. A Bucket counts at the daemon that
// runs a team's operations. A Holder decides which daemon that is: it is asked for its next
// Step, the caller carries it out and reports the outcome, one step at a time.
//
// # Load pattern
//
// Tens to thousands of teams, a few of them large. Nearly all stay at some 0.6 of their
// limits; for these the limiter must never be in the way. Now and then one sends many
// times its usual, or its limit is lowered far below that, while hosts are cut off, lose power
// or freeze.
//
// # Who counts
//
// Teams fall into Slots. A slot is a key of the platform's store, bound to a lease of the
// daemon that holds it. Statements of a team are gathered at one home of each group, the
// first in an order that depends on the slot alone, and that one asks for the slot when it
// needs it. Whoever does not hold a slot runs nothing of its teams.
//
// A share for each daemon that may run a team's operations was weighed: safe without any
// message, but a team's load is on one daemon, whose share would be an eighth.
//
// # Contract
//
// In any span w a team's operations that are sent by all daemons are at most
//
//	rate x w + burst + StartTokens x (number of daemons that took the slot in the span)
//
// with the Bucket's rate and burst. Argument: at each moment at most one daemon holds the
// slot. A holder counts on its lease from when it sent the call that renewed it, the store
// from when that call arrived, and keys go when the lease ends; a holder gives a slot back
// only after it has stopped to use it. A Bucket begins with StartTokens and gains
// rate x time, so a holder of the time t sends at most StartTokens + rate x t, whatever ran
// before it; only the one that held the slot at the beginning of the span has more, burst
// at most. So nobody has to know what a daemon that died, froze or was cut off has run.
//
// Callers of all teams come back at once when a whole fleet has started again, and
// StartTokens are next to nothing for them. So a holder uses the calm part of a burst only,
// until the key of its slot tells of more, and tells of the contrary once it has used no
// more for a window, from before the call that says so. Who takes a slot whose key told of
// no burst has the rest of it at once: the calm part before and the rest after are one
// burst. Its own key tells of the burst from when it is taken.
//
//   - Killed or without power, one or all: the next holder, also the same daemon started
//     again, begins anew. A process that starts takes the slots of its own former life
//     without waiting for their lease: two processes of one daemon do not live at a time.
//   - Frozen and woken: the clock that is looked at right before sending goes on in a
//     suspension.
//   - Cut from the store, or the store away: the holding ends with its lease and nothing
//     runs. Cut from the others: it goes on alone; they cannot take the slot.
//   - An answer lost: a slot that may have been taken is not used; it is read again.
//   - A lower limit counts from when the holder has the configuration; the Bucket then
//     keeps no more than the new burst.
//
// Clocks are not compared, and steps of the time of day do no harm.
//
// # What counts
//
// An operation is a statement outside a transaction, or a transaction. It is paid for
// once, when its first statement is about to be sent. One that a member refused without
// running it is not paid for again; one that may have run is. What was paid for longer than
// ReservationTTL ago, as it waited since, is paid for again: what runs later than it was counted
// would come on top of what is counted then. Up to ReservationTTL of the rate comes late, also after
// a lease has ended; half of the rule's overage is kept for that.
package quota
