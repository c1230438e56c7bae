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
		record, taken := direct.LockRecord{Term: 1, Highest: 1, Released: true, Era: 1}.Claim(claims[0], 2)
		taken.Token = 7
		Expect(taken.Unresolved).To(BeZero())
		s.record(s.g.Claimed(s.at, s.at, taken))
		released := s.take(direct.EffectReleaseLock)
		Expect(released).To(HaveLen(1))
		returned := released[0].ReleasedRecord(2)
		Expect(returned.StateIn(2)).To(Equal(direct.LockState{Term: 1, IsLeadership: true}))
		Expect(returned.Highest).To(BeNumerically(">=", record.Highest))
	})

	// Guards against a group that is without a usable primary for as long as the writes of lost
	// locks are spread over time.
	It("is written again at once if the lease depends on it", func() {
		s := newScript()
		s.record(s.g.LockRead(s.at, s.at, lost))
		s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"a": primary})
		Expect(s.take(direct.EffectClaim)).To(ConsistOf(HaveField("Attested", true)))
	})

	// Guards against a group without a lease that stays so: it was idle, and no lease was left to
	// attest its primary.
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

	// Guards against naming the same term twice, so that the promotion to it would count as seen.
	It("is followed by a higher term than any lost one", func() {
		copied := direct.LockRecord{Term: 1, Highest: 1, Released: true}
		last := core.Term(0)
		for era := range mirror.Era(4) {
			record, taken := copied.Claim(direct.Effect{Term: 2}, era+1)
			Expect(taken.Term).To(BeNumerically(">", last))
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
		_, taken := direct.LockRecord{Term: 5, Highest: 5, Released: true}.Claim(claims[0], 0)
		taken.Token = 7
		s.record(s.g.Claimed(s.at, s.at, taken))
		Expect(s.take(direct.EffectReleaseLock)).To(ConsistOf(HaveField("Term", core.Term(5))))
	})
})
