package direct_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/mirror"
)

var _ = Describe("a promotion lock of an earlier era of the store", func() {
	lost := direct.LockRecord{Term: 1, Highest: 1, Released: true, Era: 1}.StateIn(2)

	// Guards against a lease on a replaced primary: a daemon reaches only the old primary, and the
	// store has lost the lock under which the new one was promoted.
	It("gives no lease", func() {
		s := newScript()
		s.advance(direct.LeaseDuration)
		s.status("a", primary)
		s.record(s.g.LockRead(s.at, s.at, lost))
		Expect(s.g.HasLease(s.at)).To(BeFalse())
		s.record(s.g.LockRead(s.at, s.at, direct.LockRecord{Term: 1, Highest: 101, Released: true, Era: 2}.StateIn(2)))
		Expect(s.g.HasLease(s.at)).To(BeTrue())
	})

	// Guards against a group that has no lease until its primary has been replaced.
	It("is written again by a daemon that holds a lease, without a promotion", func() {
		s := newScript()
		s.record(s.g.LockRead(s.at, s.at, lost))
		var claims []direct.Effect
		for end := s.at.Add(direct.LostLockSpread + direct.ClaimStagger*6); len(claims) == 0 && s.at < end; claims = s.take(direct.EffectClaim) {
			s.tick(100*ms, map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica})
		}
		Expect(claims).To(ConsistOf(And(HaveField("Repair", true), HaveField("Attested", true))))
		record, lock := direct.LockRecord{Term: 1, Highest: 1, Released: true, Era: 1}.Claim(claims[0], 2)
		lock.Token = 7
		Expect(lock.Unresolved).To(BeZero())
		s.record(s.g.Claimed(s.at, s.at, lock))
		released := s.take(direct.EffectReleaseLock)
		Expect(released).To(HaveLen(1))
		releasedRecord := released[0].ReleasedRecord(2)
		Expect(releasedRecord.StateIn(2)).To(Equal(direct.LockState{Term: 1, IsLeadership: true}))
		Expect(releasedRecord.Highest).To(BeNumerically(">=", record.Highest))
	})

	// Guards against a group that is without a usable primary for as long as the writes of lost
	// locks are spread over time.
	It("is written again at once if the lease depends on it", func() {
		s := newScript()
		s.record(s.g.LockRead(s.at, s.at, lost))
		s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"a": primary})
		Expect(s.take(direct.EffectClaim)).To(ConsistOf(HaveField("Attested", true)))
	})

	// Guards against a group that never gets a lease again: it was idle, so no daemon has a lease
	// that would attest its primary.
	It("is written again by a daemon whose members all answer and know no newer term", func() {
		s := newScript()
		s.advance(direct.LeaseDuration)
		s.record(s.g.LockRead(s.at, s.at, lost))
		answers := map[core.MemberID]direct.Status{"a": primary, "b": replica}
		s.tick(direct.ClaimStagger*6, answers)
		Expect(s.take(direct.EffectClaim)).To(BeEmpty(), "c may have been promoted")
		answers["c"] = replica
		s.tick(3*direct.RoleTTL, answers)
		Expect(s.take(direct.EffectClaim)).To(ContainElement(HaveField("Attested", true)))
	})

	// Guards against two promotion locks that name the same term: daemons would take the second
	// promotion for the first one, whose effect they have already seen.
	It("is followed by one of a higher term than any that was lost", func() {
		restored := direct.LockRecord{Term: 1, Highest: 1, Released: true}
		last := core.Term(0)
		for era := range mirror.Era(4) {
			record, lock := restored.Claim(direct.Effect{Term: 2}, era+1)
			Expect(lock.Term).To(BeNumerically(">", last))
			last = record.Highest
		}
	})

	// Guards against a lease on an old primary: a repair by a daemon that has not seen the newest
	// term would record an older one.
	It("keeps its term when a fence is removed", func() {
		s := newScript()
		s.status("b", fenced)
		s.tick(direct.OrphanedFenceAge+direct.ClaimStagger*6, map[core.MemberID]direct.Status{"a": primary, "b": fenced, "c": replica})
		claims := s.take(direct.EffectClaim)
		Expect(claims).NotTo(BeEmpty())
		_, lock := direct.LockRecord{Term: 5, Highest: 5, Released: true}.Claim(claims[0], 0)
		lock.Token = 7
		s.record(s.g.Claimed(s.at, s.at, lock))
		Expect(s.take(direct.EffectReleaseLock)).To(ConsistOf(HaveField("Term", core.Term(5))))
	})
})
