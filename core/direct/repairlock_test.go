package direct_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var _ = Describe("a promotion lock that is claimed for a repair", func() {
	released := direct.LockRecord{Term: 3, Highest: 4, Released: true}
	repair := direct.Effect{Kind: direct.EffectClaim, Term: 3, Repair: true}

	// Guards against the use of a replaced primary. The promotion that was ordered for term 3 led to term
	// 2, the next one, ordered for term 4, to term 3. The daemon was cut off and knows only the first.
	It("gives no lease to a daemon that knows an earlier promotion by the same term", func() {
		s := newScript()
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, OrderedTerm: 3, Successor: "b"}))
		s.advance(ms)
		s.probed("b", core.RolePrimary, 2)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 3}))
		Expect(s.g.HasLease(s.at)).To(BeTrue(), "b leads by the order that the lock names")
		s.advance(direct.LeaseDuration)
		s.probed("b", core.RolePrimary, 2)
		record, _ := released.Claim(repair, 0)
		s.record(s.g.LockRead(s.at, s.at, record.StateIn(0)))
		Expect(s.g.HasLease(s.at)).To(BeFalse())
	})

	It("names a leadership, unless an earlier order is unresolved", func() {
		record, lock := released.Claim(repair, 0)
		Expect(lock.Unresolved).To(BeZero())
		Expect(record.StateIn(0)).To(Equal(direct.LockState{Term: 3, IsLeadership: true}))
		record, lock = record.Claim(repair, 0)
		Expect(lock.Unresolved).To(BeZero())
		Expect(record.StateIn(0)).To(Equal(direct.LockState{Term: 3, IsLeadership: true}), "it was not released in between")
		for _, unresolved := range []direct.LockRecord{{Term: 4, Highest: 4}, {Term: 4, Highest: 4, Released: true, Pending: true}} {
			record, _ = unresolved.Claim(repair, 0)
			Expect(record.StateIn(0)).To(Equal(direct.LockState{Term: 4}))
		}
	})

	It("is followed by a claim that may order a promotion", func() {
		record, _ := released.Claim(repair, 0)
		record, lock := record.Claim(direct.Effect{Kind: direct.EffectClaim, Term: 4}, 0)
		Expect(lock.Term).To(Equal(core.Term(5)))
		Expect(record.StateIn(0)).To(Equal(direct.LockState{Term: 5}))
	})
})
