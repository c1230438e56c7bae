package direct

import (
	"limpetspan/core"
	"limpetspan/core/mirror"
)

// LockRecord is the stored state of a group's promotion lock, except for its holder. The zero
// record is that of a group that has never had one.
type LockRecord struct {
	// Term is the term that the claim named or, if Released, the term in which the group was left.
	Term core.Term `json:"term"`
	// Highest is the highest term that any promotion lock of the group has named.
	Highest core.Term `json:"highest"`
	// Released is set once the holder has released the lock.
	Released bool `json:"free,omitempty"`
	// Pending is set if the lock was released while an earlier order for Term was unresolved.
	Pending bool `json:"pending,omitempty"`
	// Repair is set if no promotion is ordered under the lock and Term is the term in which the group was
	// left.
	Repair bool `json:"repair,omitempty"`
	// Era is the era of the store in which the record was written.
	Era mirror.Era `json:"era,omitempty"`
	// Overwritten is set if another writer has replaced the record by something that cannot be decoded.
	// The other fields are then those of the last record that this daemon has seen.
	Overwritten bool `json:"-"`
}

// MaxLockTerm bounds the terms of a promotion lock, far above every term that groups reach and far enough
// below the largest number that claims can name higher ones.
const MaxLockTerm core.Term = 1 << 48

// IsValidIn reports whether a daemon can have written the record by the given era of the store.
func (r LockRecord) IsValidIn(era mirror.Era) bool {
	return r.Term <= MaxLockTerm && r.Highest <= MaxLockTerm && r.Era <= era
}

// LockState is what a read of the group's promotion lock shows; zero if there is no lock.
type LockState struct {
	Term core.Term
	// IsLeadership is set if Term is the term in which the group was left when the lock was
	// released, or claimed for a repair, and not the claimed term of a promotion.
	IsLeadership bool
	// EarlierEra is set if the record was written in an earlier era of the store, which may have
	// lost later records. Term is then the highest term that these can have named.
	EarlierEra bool
	// Overwritten is set in addition if there was no record that could be decoded. Term is then a guess.
	Overwritten bool
}

// StateIn returns what a read of the record shows in the era.
func (r LockRecord) StateIn(era mirror.Era) LockState {
	lost, overwritten := r.isLostIn(era), r.Overwritten
	r = r.asOfEra(era)
	return LockState{Term: r.Term, IsLeadership: r.namesLeadership(), EarlierEra: lost, Overwritten: overwritten}
}

// namesLeadership reports whether Term is the term in which the group was left, and no order under the
// lock or an earlier one is unresolved.
func (r LockRecord) namesLeadership() bool { return (r.Released || r.Repair) && !r.Pending }

// PromotionLock is the right to order a promotion.
type PromotionLock struct {
	// Token is the fencing token, which increases from one promotion lock to the next.
	Token uint64
	// Term is the term that the promotion lock names. It is higher than that of every earlier lock,
	// so that daemons do not take it for the term of a promotion that has taken effect.
	Term core.Term
	// Highest is the highest term that any promotion lock so far has named.
	Highest core.Term
	// Unresolved is the term of the previous promotion lock if that was not released: its holder
	// may have ordered a promotion that is not known here.
	Unresolved core.Term
	// Leadership is the term in which the previous promotion lock left the group; 0 if that is not known.
	Leadership core.Term
}

// Claim returns the record that EffectClaim writes over r, and the promotion lock that results. The
// lock's token is set by the write.
func (r LockRecord) Claim(e Effect, era mirror.Era) (LockRecord, PromotionLock) {
	if r.Overwritten {
		r.Highest = max(r.Highest, e.Term)
	}
	if highest := r.asOfEra(era).Highest; e.Attested && r.isLostIn(era) {
		r = LockRecord{Term: e.Term, Highest: highest, Released: true}
	} else {
		r = r.asOfEra(era)
	}
	term := max(e.Term, r.Highest+1)
	if e.Repair {
		term = max(e.Term, r.Term)
	}
	lock := PromotionLock{Term: term, Highest: max(term, r.Highest)}
	if r.namesLeadership() {
		lock.Leadership = r.Term
	} else {
		lock.Unresolved = r.Term
	}
	return LockRecord{Term: term, Highest: lock.Highest, Repair: e.Repair && lock.Unresolved == 0, Era: era}, lock
}

// maxLostTerms exceeds the number of terms that claims can name in one era and that the restore of
// the store can lose.
const maxLostTerms = 100

// isLostIn reports whether later records may have existed that the store no longer has in the era.
func (r LockRecord) isLostIn(era mirror.Era) bool { return r.Era != era || r.Overwritten }

// asOfEra returns the record as it may have been when its era of the store ended, or when it was
// overwritten. The store may have lost later records: the group may have been claimed and a promotion
// ordered.
func (r LockRecord) asOfEra(era mirror.Era) LockRecord {
	if !r.isLostIn(era) {
		return r
	}
	lostEras := core.Term(era - min(r.Era, era))
	if r.Overwritten {
		lostEras++
	}
	r.Highest = max(r.Highest, r.Term) + lostEras*maxLostTerms
	return LockRecord{Term: r.Highest, Highest: r.Highest, Era: era}
}

// RevertClaim returns the record that replaces claim if the store did not answer the write of claim
// over r. It keeps the highest term that claim has named.
func (r LockRecord) RevertClaim(claim LockRecord) LockRecord {
	if r.Overwritten {
		r = r.asOfEra(claim.Era)
	}
	r.Released = r.Released || r == LockRecord{Era: r.Era}
	r.Highest = claim.Highest
	return r
}

// ReleasedRecord returns the record that EffectReleaseLock writes.
func (e Effect) ReleasedRecord(era mirror.Era) LockRecord {
	return LockRecord{Term: e.Term, Highest: e.Highest, Released: true, Pending: e.Pending, Era: era}
}
