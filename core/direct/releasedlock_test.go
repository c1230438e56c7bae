package direct_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var _ = Describe("a failed claim by a daemon that does not know the newest leadership", func() {
	// Guards against the use of a replaced primary: the released record names the term that the claimant
	// knows, which is lower than the leadership that the record named before.
	It("does not lower the leadership that the promotion lock names", func() {
		// b was promoted in term 3 while this daemon and d2 were cut off.
		before := direct.LockRecord{Term: 3, Highest: 3, Released: true}
		s := newScript()
		s.g.SetHomes(3, true)
		s.tick(direct.ClaimRetryDelay+2*direct.ProbeTimeout+direct.RoleProbeInterval, nil)
		claims := s.take(direct.EffectClaim)
		Expect(claims).To(HaveLen(1))
		record, lock := before.Claim(claims[0], 0)
		lock.Token = 7
		Expect(record.StateIn(0)).To(Equal(direct.LockState{Term: 4}))
		s.record(s.g.Claimed(s.at, s.at, lock))
		s.effects = nil
		s.tick(direct.ClaimTimeout, nil)
		released := s.take(direct.EffectReleaseLock)
		Expect(released).To(HaveLen(1))
		after := released[0].ReleasedRecord(0)

		// d2 reaches the store and a alone, and knows a as the primary of term 1.
		d2 := newScript()
		d2.advance(2 * direct.LeaseDuration)
		d2.probed("a", core.RolePrimary, 1)
		d2.record(d2.g.LockRead(d2.at, d2.at, before.StateIn(0)))
		Expect(d2.g.HasLease(d2.at)).To(BeFalse())
		d2.advance(direct.LockReadInterval)
		d2.probed("a", core.RolePrimary, 1)
		d2.record(d2.g.LockRead(d2.at, d2.at, after.StateIn(0)))
		Expect(d2.g.HasLease(d2.at)).To(BeFalse(), "the lock names %+v after %+v", after, before)
	})
})

var _ = Describe("a promotion lock that is acquired after its claim has ended", func() {
	// Guards against a lock that nobody releases: after OrphanedFenceAge it counts as an order, and a primary that
	// serves is replaced.
	It("is released", func() {
		s := newScript()
		s.silencePrimary()
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1))
		// The answer to the read of the lock shows that the store was restored.
		s.record(s.g.StoreRestored(s.at))
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 401, Highest: 401}))
		Expect(s.take(direct.EffectReleaseLock)).To(HaveLen(1))
	})
})
