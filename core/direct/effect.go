package direct

import "limpetspan/core"

// EffectKind is what the caller of a Group has to do.
type EffectKind uint8

// The effects.
const (
	// EffectProbe asks the member for its status.
	EffectProbe EffectKind = iota
	// EffectFence stops a replica from receiving, for the term.
	EffectFence
	// EffectUnfence ends a fence.
	EffectUnfence
	// EffectDemote makes a primary of a lower term a replica.
	EffectDemote
	// EffectClaim asks the store for the group's promotion lock, for Term at least and more
	// than any promotion lock before it has named; for Repair, which orders nothing, the same
	// term will do. See Vouched.
	EffectClaim
	// EffectReadLock reads the group's promotion lock without taking it.
	EffectReadLock
	// EffectReleaseLock gives back the promotion lock Token, under which nothing will be
	// ordered any more. Term is the leadership that it leaves, so that a claim which was
	// given up does not look like a promotion to daemons that start later; but see
	// Pending.
	EffectReleaseLock
	// EffectPromote orders that the member takes over, under Token.
	EffectPromote
	// EffectDropConns closes the idle connections to the member: they lead to a life of
	// it that has ended.
	EffectDropConns
	// EffectReport tells the other daemons at once what this one believes.
	EffectReport
	// EffectDecision is for the log: Reason says what was decided and why.
	EffectDecision
)

// Effect is work for the caller.
type Effect struct {
	Kind   EffectKind
	Group  core.GroupID
	Member core.MemberID
	Term   core.Term
	Token  uint64
	// Until is when an order to promote must be on its way at the latest.
	SendDeadline core.Time
	// Pending goes back with a promotion lock: a promotion for Term was ordered before it, and
	// nobody has seen it take effect.
	Pending bool
	// Highest goes back with a promotion lock: the highest term that one has named.
	Highest core.Term
	Repair  bool
	// Vouched: the earlier eras of the store have made no leadership after Term.
	Attested bool
	Reason   string
}

// Obeyed is what a member of the term makes of the order: whether it leads then, and the
// term for which it is fenced. An order that does not concern it changes nothing.
func (e Effect) Apply(term core.Term, leads bool, fenced core.Term) (stillLeads bool, fencedFor core.Term) {
	switch e.Kind {
	case EffectFence:
		if !leads && e.Term > term {
			return leads, e.Term
		}
	case EffectUnfence:
		return leads, 0
	case EffectDemote:
		if leads && e.Term > term {
			return false, fenced
		}
	}
	return leads, fenced
}
