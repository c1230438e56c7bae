package direct

// Guard is a bit set of the checks that keep a promise. Guards are switched off
// only by model checking, to prove that it notices a broken promise.
type Guard uint32

// The guards that can be switched off.
const (
	// GuardReadLease: the primary is used only under the lease.
	GuardReadLease Guard = 1 << iota
	// GuardUnbrokenLease: replicas only extend a lease that has not run out.
	GuardUnbrokenLease
	// GuardSuperseded: no lease is had once a promotion is known to be ordered.
	GuardSuperseded
	// GuardLockTerm: a read of the promotion lock gives a lease only if it names no newer term.
	GuardLockTerm
	// GuardFences: enough replicas are fenced before a promotion.
	GuardFences
	// GuardLeaseWait: leases from before the fences are waited out.
	GuardLeaseWait
	// GuardSendWindow: nothing is ordered under a promotion lock that may be another's.
	GuardSendWindow
	// GuardNewerTerm: nothing is ordered after a newer leadership has become known.
	GuardNewerTerm
	// GuardSameTerm: a commit is acknowledged only in the leadership that took it.
	GuardSameTerm
	// GuardOwnFences: fences are removed only by the holder of the promotion lock.
	GuardOwnFences
	// GuardPrimaryRole: a lease is extended only while the primary is known to lead.
	GuardPrimaryRole
	// GuardSync: where commits wait for replicas, a promotion knows enough of them.
	GuardSync
	// GuardRestart: a replica that may have lost its fence by starting again extends no
	// lease.
	GuardRestart
	// GuardMemberList: nobody promotes who may not know all members.
	GuardMemberList
	// GuardRecovered: a change that is not needed any more ends before its first order.
	GuardRecovered
	// GuardKnownTerm: no member is promoted that has not heard of the leadership which ends.
	GuardKnownTerm
	// GuardLockEra: a promotion lock that the store has lost gives no lease.
	GuardLockEra
	// GuardSessionPosition: a session's reads cover its own commits.
	GuardSessionPosition
)

// Disable switches guards off.
func (g *Group) DisableGuards(guards Guard) { g.disabled |= guards }

func (g *Group) enforces(by Guard) bool { return g.disabled&by == 0 }
