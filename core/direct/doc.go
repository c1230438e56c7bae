// Package direct decides how one daemon uses the members of a database group
// that it reaches itself, without a home of the group in between.
//
// It does no I/O and reads no clock. A Group takes events (answers, probes,
// reports of other daemons, ticks) with the time at which they happened, and
// returns effects as data, which the caller carries out.
//
// # Reads
//
// A read runs on a replica with the position that the replica's log must
// cover. For reads of a bounded age that is a sample: the primary's newest
// position as of a moment no older than the bound. A sample counts from the
// moment its request was sent, because every commit acknowledged before that is
// in the answer's position.
//
// # The primary
//
// The primary is used only under a lease. A daemon gets one by a read of the
// group's promotion lock in the store that names no newer term, or from the lease of
// another daemon, and extends it without a gap while floor(n/2) of the group's
// replicas report the primary's own term and no fence; each counts for LeaseDuration
// from when it was asked for. A daemon that promotes another member first takes
// the promotion lock, fences so many replicas that each such set holds a fenced one, and
// waits until all leases have run out when the promotion takes effect.
//
// # Promotion
//
// One daemon at a time may promote in a group: the holder of a promotion lock, a key of
// the platform's store that is written under a condition. The revision of that
// write is the fencing token. A promotion lock is good for LockSendWindow on its
// holder's clock, and others take it over only once its holder has given it back
// or they have seen it unchanged for LockTTL.
package direct
