package direct

// Guard is a bit set of the checks that protect a guarantee. Guards are switched off only by model
// checking, to verify that it detects the violation.
type Guard uint32

// The guards that can be switched off.
const (
	// GuardReadLease: the primary is used only under the lease.
	GuardReadLease Guard = 1 << iota
	// GuardUnbrokenLease: replicas only extend an unexpired lease.
	GuardUnbrokenLease
	// GuardSuperseded: a primary has no lease once a promotion is known to be ordered.
	GuardSuperseded
	// GuardLockTerm: a read of the promotion lock gives a lease only if it shows no newer term.
	GuardLockTerm
	// GuardFences: enough replicas are fenced before a promotion.
	GuardFences
	// GuardLeaseWait: a promotion waits for the leases from before the fences to expire.
	GuardLeaseWait
	// GuardSendWindow: nothing is ordered under a promotion lock that another daemon may hold.
	GuardSendWindow
	// GuardNewerTerm: nothing is ordered after a newer term has become known.
	GuardNewerTerm
	// GuardSameTerm: a commit is acknowledged only in the term in which it was executed.
	GuardSameTerm
	// GuardOwnFences: fences are removed only by the holder of the promotion lock.
	GuardOwnFences
	// GuardPrimaryRole: a lease is extended only while the primary is known to lead.
	GuardPrimaryRole
	// GuardSync: where commits wait for replicas, a promotion requires enough fenced members to
	// preserve them.
	GuardSync
	// GuardRestart: a replica that may have lost its fence in a restart extends no lease, and a
	// restarted primary is detected by its missing log.
	GuardRestart
	// GuardMemberList: a daemon that may not know all members orders no promotion.
	GuardMemberList
	// GuardRecovered: a change that is no longer needed ends before its first order.
	GuardRecovered
	// GuardKnownTerm: no member is promoted that has not seen the current term, if another one has.
	GuardKnownTerm
	// GuardLockEra: a promotion lock of an earlier era of the store gives no lease.
	GuardLockEra
	// GuardSessionPosition: a session's reads cover its own commits.
	GuardSessionPosition
	// GuardLoneMember: the answers of the only known member extend no lease.
	GuardLoneMember
)

// DisableGuards switches guards off.
func (g *Group) DisableGuards(guards Guard) { g.disabled |= guards }

func (g *Group) enforces(guard Guard) bool { return g.disabled&guard == 0 }
