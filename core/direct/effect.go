package direct

import "limpetspan/core"

// EffectKind is the kind of work that a Group requests from its caller.
type EffectKind uint8

// The kinds of effects.
const (
	// EffectProbe requests the member's status.
	EffectProbe EffectKind = iota
	// EffectFence stops a replica from receiving the log, for Term.
	EffectFence
	// EffectUnfence removes a fence.
	EffectUnfence
	// EffectDemote turns a primary of a lower term into a replica.
	EffectDemote
	// EffectClaim requests the group's promotion lock, for a term that is at least Term and higher
	// than that of every earlier lock. A claim with Repair set orders no promotion and may use the
	// same term. See also Attested.
	EffectClaim
	// EffectReadLock reads the group's promotion lock without acquiring it.
	EffectReadLock
	// EffectReleaseLock releases the promotion lock Token, under which no more orders will be sent.
	// It must wait until the removals of fences that precede it have ended, with or without success:
	// after the release, another daemon may fence the same replicas.
	// Term is the term in which the group is left. Daemons that start later therefore do not mistake
	// an abandoned claim for a promotion; see also Pending.
	EffectReleaseLock
	// EffectPromote orders the promotion of the member, under Token.
	EffectPromote
	// EffectEndPromote ends the call of the order Token if it is still in progress. The order has no
	// effect if it has not been received by then.
	EffectEndPromote
	// EffectDropConns closes the idle connections to the member, which belong to an earlier
	// incarnation.
	EffectDropConns
	// EffectReport sends this daemon's report to the other daemons at once.
	EffectReport
	// EffectDecision is written to the log: Reason says what was decided and why.
	EffectDecision
)

// Effect is work that a Group requests from its caller.
type Effect struct {
	Kind   EffectKind
	Group  core.GroupID
	Member core.MemberID
	Term   core.Term
	Token  uint64
	// SendDeadline is the latest time at which an order to promote, fence, unfence or demote may be
	// sent; 0: it may be sent at any time.
	SendDeadline core.Time
	// Pending is stored with a released promotion lock: a promotion to Term was ordered earlier and
	// is not known to have taken effect.
	Pending bool
	// Highest is stored with a released promotion lock: the highest term that a lock has named.
	Highest core.Term
	// Repair is set if the claim is made without a promotion, to remove abandoned fences or to write
	// a lost promotion lock again.
	Repair bool
	// Attested is set if it is certain that no promotion after Term was ordered in an earlier era of
	// the store.
	Attested bool
	Reason   string
}

// Apply returns the state of a member after the order: whether it still leads, and the term for
// which it is fenced. term, leads and fenced are its state before. An order that does not concern
// the member changes nothing.
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
