package direct_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var _ = Describe("a promotion lock that another writer has overwritten", func() {
	last := direct.LockRecord{Term: 5, Highest: 8, Released: true, Era: 2, Overwritten: true}

	// Guards against a claim that names a term of an earlier one, whose promotion may take effect unseen.
	It("is claimed for a term above every one that it may have named", func() {
		record, lock := last.Claim(direct.Effect{Term: 6}, 2)
		Expect(lock.Term).To(BeNumerically(">", 100))
		Expect(record).To(Equal(direct.LockRecord{Term: lock.Term, Highest: lock.Term, Era: 2}))
		Expect(lock.Unresolved).NotTo(BeZero(), "a promotion may have been ordered")
		_, lock = direct.LockRecord{Overwritten: true}.Claim(direct.Effect{Term: 900}, 0)
		Expect(lock.Term).To(BeNumerically(">", 1_000))
	})

	It("is claimed without doubt by a daemon whose lease attests the primary", func() {
		record, lock := last.Claim(direct.Effect{Term: 5, Repair: true, Attested: true}, 2)
		Expect(lock.Unresolved).To(BeZero())
		Expect(lock.Term).To(BeNumerically("==", 5))
		Expect(record.Highest).To(BeNumerically(">", 100))
	})

	It("counts as claimed once a claim over it is withdrawn", func() {
		claim, _ := last.Claim(direct.Effect{Term: 6}, 2)
		record := last.RevertClaim(claim)
		Expect(record.Overwritten).To(BeFalse())
		Expect(record.Released).To(BeFalse())
		Expect(record.Highest).To(Equal(claim.Highest))
	})

	// Guards against a lease on a primary that the overwritten claim replaces.
	It("gives no lease, and lets the group be promoted anew if nobody attests the primary", func() {
		s := newScript()
		s.advance(direct.LeaseDuration)
		s.status("a", primary)
		unknown := direct.LockRecord{Overwritten: true}.StateIn(0)
		s.record(s.g.LockRead(s.at, s.at, unknown))
		Expect(s.g.HasLease(s.at)).To(BeFalse())
		claimed := false
		for range 200 {
			s.tick(100*ms, map[core.MemberID]direct.Status{"a": primary})
			s.record(s.g.LockRead(s.at, s.at, unknown))
			claimed = claimed || len(s.take(direct.EffectClaim)) > 0
		}
		Expect(claimed).To(BeTrue())
	})

	It("is out of range with terms or eras that no daemon writes", func() {
		Expect(direct.LockRecord{Term: direct.MaxLockTerm, Highest: direct.MaxLockTerm, Era: 3}.IsValidIn(3)).To(BeTrue())
		Expect(direct.LockRecord{Term: direct.MaxLockTerm + 1}.IsValidIn(3)).To(BeFalse())
		Expect(direct.LockRecord{Highest: 1<<64 - 1}.IsValidIn(3)).To(BeFalse())
		Expect(direct.LockRecord{Era: 4}.IsValidIn(3)).To(BeFalse())
	})
})
