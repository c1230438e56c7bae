package direct

import (
	"limpetspan/core"
	"limpetspan/core/mirror"
)

// LockRecord is what the store keeps of a group's promotion lock, apart from whose it
// is. The zero record is that of a group which has had none.
type LockRecord struct {
	// Term is what the claim counts on, or the leadership that it left if Free.
	Term core.Term `json:"term"`
	// Highest is the highest term that any promotion lock of the group has named.
	Highest core.Term `json:"highest"`
	// Free: the holder has given it back.
	Released bool `json:"free,omitempty"`
	// Pending: it was given back while an earlier order for Term was unresolved.
	Pending bool `json:"pending,omitempty"`
	// Era is that of the store in which the record was written.
	Era mirror.Era `json:"era,omitempty"`
}

// LockState is what a read of the group's promotion lock shows; zero: there is none.
type LockState struct {
	Term core.Term
	// Leadership: Term is a leadership, as it was given back, rather than what a claim counts on.
	IsLeadership bool
	// Lost: the record is of an earlier era of the store, which has lost those after it. Term
	// is the highest one that these can have named.
	EarlierEra bool
}

// Seen is what a read of the record in the era shows.
func (r LockRecord) StateIn(era mirror.Era) LockState {
	lost := r.Era != era
	r = r.asOfEra(era)
	return LockState{Term: r.Term, IsLeadership: r.Released && !r.Pending, EarlierEra: lost}
}

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
func (r LockRecord) Claim(e Effect, era mirror.Era) (LockRecord, PromotionLock) {
	if highest := r.asOfEra(era).Highest; e.Attested && r.Era != era {
		r = LockRecord{Term: e.Term, Highest: highest, Released: true}
	} else {
		r = r.asOfEra(era)
	}
	term := max(e.Term, r.Highest+1)
	if e.Repair {
		term = max(e.Term, r.Term)
	}
	t := PromotionLock{Term: term, Highest: max(term, r.Highest)}
	if !r.Released || r.Pending {
		t.Unresolved = r.Term
	}
	return LockRecord{Term: term, Highest: t.Highest, Era: era}, t
}

// lostTerms is more terms than the claims of one era can name that the next one has lost.
const maxLostTerms = 100

// asOf is the record as it may have been when an earlier era of the store ended, which has
// lost the last ones: somebody may have claimed the group and ordered a promotion.
func (r LockRecord) asOfEra(era mirror.Era) LockRecord {
	if r.Era == era {
		return r
	}
	r.Highest = max(r.Highest, r.Term) + core.Term(era-r.Era)*maxLostTerms
	return LockRecord{Term: r.Highest, Highest: r.Highest, Era: era}
}

// Withdrawn is the record that takes the place of a claim on r which was not answered.
func (r LockRecord) RevertClaim(claim LockRecord) LockRecord {
	r.Released = r.Released || r == LockRecord{Era: r.Era}
	r.Highest = claim.Highest
	return r
}

// Returned is the record that EffectReleaseLock writes.
func (e Effect) ReleasedRecord(era mirror.Era) LockRecord {
	return LockRecord{Term: e.Term, Highest: e.Highest, Released: true, Pending: e.Pending, Era: era}
}
