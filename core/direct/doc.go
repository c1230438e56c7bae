// Package direct decides how one daemon uses the members of a database group
// that it connects to itself, without going through a home of the group.
//
// It does no I/O and reads no clock. A Group handles events (answers, probes,
// reports of other daemons, ticks), each with the time at which it happened,
// and returns effects as data, which the caller carries out.
//
// # Reads
//
// A read runs on a replica and carries the position that the replica's log must
// cover. For reads of bounded age that position is a sample: the primary's
// newest position as of a moment no older than the bound. A sample is dated at
// the time its request was sent, because the answer's position covers every
// commit that was acknowledged before then.
//
// # The primary
//
// The primary is used only under a lease. A daemon obtains a lease from a read
// of the group's promotion lock in the store that shows no newer term, or from
// the lease of another daemon. It extends the lease without a gap while
// floor(n/2) of the group's replicas report the primary's term and no fence.
// Each such confirmation counts for LeaseDuration from the time its probe was
// sent. A daemon that promotes another member first acquires the promotion
// lock. It then fences enough replicas that every set of floor(n/2) replicas
// contains a fenced one, and orders the promotion late enough that all leases
// have expired when the promotion takes effect.
//
// # Promotion
//
// Only the holder of the group's promotion lock may promote. The lock is a key
// of the platform's store that is written conditionally, and the revision of
// that write is the fencing token. The holder may send orders for
// LockSendWindow by its own clock. Other daemons take the lock over only after
// the holder has released it or after they have seen it unchanged for LockTTL.
//
// # Uneven load
//
// Several homes send reads to the same few members, of which some are slow,
// restarted, or have fewer slots. Where load is shared (SetSharedLoad), reads
// are placed by what all homes have running there; see the package placement.
//
// A host serves more sessions as a home than its processor can, or its processor
// is taken by others, for many seconds. BurdenMeter derives the host's Burden,
// which reduces its share of groups and sessions; see docs/design/HOMES.md.
package direct
