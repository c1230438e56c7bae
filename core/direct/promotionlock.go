package direct

import "limpetspan/core"

// LockRecord is what the store keeps of a group's promotion lock, apart from whose it
// is. The zero record is that of a group which has had none.
type LockRecord struct {
	// Term is what the claim counts on, or the leadership that it left if Free.
	Term core.Term `json:"term"`
	// Highest is the highest term that any promotion lock of the group has named.
	Highest core.Term `json:"highest"`
	// Free: the holder has given it back.
	Free bool `json:"free,omitempty"`
	// Pending: it was given back while an earlier order for Term was unresolved.
	Pending bool `json:"pending,omitempty"`
}

// LockSeen is what a read of the group's promotion lock shows; zero: there is none.
type LockSeen struct {
	Term core.Term
	// Leadership: Term is a leadership, as it was given back, rather than what a claim counts on.
	Leadership bool
}

// Seen is what a read of the record shows.
func (r LockRecord) Seen() LockSeen { return LockSeen{Term: r.Term, Leadership: r.Free && !r.Pending} }

// Promotion lock is the right to order a promotion.
type PromotionLock struct {
	// Token is the fencing token, which rises from one promotion lock to the next.
	Token uint64
	// Term is the one that the promotion lock names. It is higher than that of every promotion lock
	// before it, so that daemons do not take it for a promotion which has had its
	// effect.
	Term core.Term
	// Highest is the highest term that any promotion lock so far has named.
	Highest core.Term
	// Unresolved is the term of the promotion lock before it if that was not given back:
	// its holder may have ordered a promotion of which nobody here has heard.
	Unresolved core.Term
}

// Claim is the record that EffectClaim writes over r, and the promotion lock that it makes;
// its token comes with the write.
func (r LockRecord) Claim(e Effect) (LockRecord, PromotionLock) {
	term := max(e.Term, r.Highest+1)
	if e.Repair {
		term = max(e.Term, r.Term)
	}
	t := PromotionLock{Term: term, Highest: max(term, r.Highest)}
	if !r.Free || r.Pending {
		t.Unresolved = r.Term
	}
	return LockRecord{Term: term, Highest: t.Highest}, t
}

// Withdrawn is the record that takes the place of a claim on r which was not answered.
func (r LockRecord) Withdrawn(claim LockRecord) LockRecord {
	r.Free = r.Free || r == LockRecord{}
	r.Highest = claim.Highest
	return r
}

// Returned is the record that EffectReleaseLock writes.
func (e Effect) Returned() LockRecord {
	return LockRecord{Term: e.Term, Highest: e.Highest, Free: true, Pending: e.Pending}
}
