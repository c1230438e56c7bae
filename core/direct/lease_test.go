package direct_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var _ = Describe("the lease on the primary", func() {
	It("holds for LeaseFor after a replica's confirmation was asked for", func() {
		s := newScript()
		Expect(s.g.HasLease(s.at)).To(BeTrue())
		s.advance(direct.LeaseDuration - ms)
		Expect(s.g.HasLease(s.at)).To(BeTrue())
		s.advance(ms)
		Expect(s.g.HasLease(s.at)).To(BeFalse())
	})

	// A daemon promotes b: it fences b and c and waits. Another daemon's confirmation
	// of b is still on its way when this one sees b's fence. Were it counted, this
	// daemon would go on writing to the old primary after b has taken over.
	It("is not extended by a replica's confirmation from before its fence", func() {
		s := newScript()
		until := s.g.LeaseExpiry(s.at)
		s.advance(100 * ms)
		s.status("b", fenced)
		s.status("c", fenced)
		report := direct.Report{Group: "g", Primary: "a", Term: 1, Members: []direct.MemberReport{{Member: "b", ConfirmedTerm: 1, ConfirmationAge: 50 * ms}}}
		s.record(s.g.PeerReported(s.at, s.at, "d2", report))
		Expect(s.g.LeaseExpiry(s.at)).To(Equal(until))
	})

	// A replica was promoted, which ended the other one's fence, and that one has not
	// heard of the new term: on the users' installation its answers gave the old
	// primary's term for seconds. The lease had run out while the fences stood.
	It("is not had from replicas once it has run out", func() {
		s := newScript()
		s.advance(direct.LeaseDuration)
		s.probed("a", core.RolePrimary, 1)
		s.probed("b", core.RoleReplica, 1)
		s.probed("c", core.RoleReplica, 1)
		Expect(s.g.HasLease(s.at)).To(BeFalse())
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 2}))
		Expect(s.g.HasLease(s.at)).To(BeFalse(), "the promotion lock names term 2")
		s.record(s.g.LockRead(s.at, s.at.Add(ms), direct.LockState{Term: 1, IsLeadership: true}))
		Expect(s.g.HasLease(s.at)).To(BeTrue(), "it was given back without an order")
	})

	It("is had from another daemon's lease, for as long as that one lasts", func() {
		s := newScript()
		s.advance(direct.LeaseDuration)
		s.record(s.g.PeerReported(s.at, s.at.Add(-10*ms), "d2", direct.Report{Group: "g", Primary: "a", Term: 1, LeaseRemaining: 300 * ms}))
		Expect(s.g.LeaseExpiry(s.at)).To(Equal(s.at.Add(290 * ms)))
		s.record(s.g.PeerReported(s.at, 0, "d3", direct.Report{Group: "g", Primary: "a", Term: 1, LeaseRemaining: 600 * ms}))
		Expect(s.g.LeaseExpiry(s.at)).To(Equal(s.at.Add(290*ms)), "a report of unknown age counts for nothing")
	})

	// The old primary was demoted and has refused a write. Another daemon does not
	// know that yet and reports it as the primary of the same term.
	It("is not given for a primary that has refused a write, whatever others believe", func() {
		s := newScript()
		s.record(s.g.StatementAnswered(s.at, s.at, "a", core.Position{}, direct.NotPrimary))
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1}))
		Expect(s.g.HasLease(s.at)).To(BeFalse())
		s.probed("a", core.RolePrimary, 1)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{}))
		Expect(s.g.HasLease(s.at)).To(BeTrue(), "it says itself that it leads")
	})

	// The daemon is cut from both replicas; another one reaches them and passes
	// their confirmation on. The report is dated by the echo of a stamp of this
	// daemon, so the confirmation cannot look younger than it is.
	It("is extended by a confirmation that another daemon passes on, no longer than its age allows", func() {
		s := newScript()
		s.advance(500 * ms)
		report := direct.Report{Group: "g", Primary: "a", Term: 1,
			Members: []direct.MemberReport{{Member: "b", ConfirmedTerm: 1, ConfirmationAge: 200 * ms}}}
		s.record(s.g.PeerReported(s.at, s.at.Add(-100*ms), "d2", report))
		Expect(s.g.LeaseExpiry(s.at)).To(Equal(s.at.Add(direct.LeaseDuration - 300*ms)))
	})

	It("is not extended by a report whose time is unknown", func() {
		s := newScript()
		until := s.g.LeaseExpiry(s.at)
		s.advance(500 * ms)
		report := direct.Report{Group: "g", Primary: "a", Term: 1, Members: []direct.MemberReport{{Member: "b", ConfirmedTerm: 1}}}
		s.record(s.g.PeerReported(s.at, 0, "d2", report))
		Expect(s.g.LeaseExpiry(s.at)).To(Equal(until))
	})

	// Primary and five daemons are on one side of a partition, both replicas and a
	// sixth daemon on the other. Callers of the five would get nothing for as long
	// as it lasts, although nobody has claimed the group.
	It("holds by a read of the promotion lock that names no newer term", func() {
		s := newScript()
		s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"a": primary})
		Expect(s.take(direct.EffectReadLock)).NotTo(BeEmpty())
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 1, IsLeadership: true}))
		until := s.g.LeaseExpiry(s.at)
		Expect(until).To(Equal(s.at.Add(direct.LeaseDuration)))
		s.advance(100 * ms)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 2}))
		Expect(s.g.LeaseExpiry(s.at)).To(Equal(until), "another daemon wants to begin term 2")
	})

	// The primary of a group without replicas cannot be replaced by anyone.
	It("needs no confirmation in a group of one", func() {
		s := &script{g: direct.NewGroup("g", "d1", "zone-1"), at: startTime}
		s.listMembers("a")
		s.probed("a", core.RolePrimary, 1)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{}))
		s.advance(direct.LeaseDuration / 2)
		s.probed("a", core.RolePrimary, 1)
		Expect(s.g.LeaseExpiry(s.at)).To(Equal(s.at.Add(direct.LeaseDuration)))
	})

	// The primary was dark; b was promoted, which ended c's fence, and went dark
	// itself. The old primary is back, and c, which never heard of the new term,
	// confirms the old one. A write there would be acknowledged and rolled back.
	It("is not given for a primary after a promotion was ordered, whoever confirms it", func() {
		s := newScript()
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, OrderedTerm: 2}))
		s.probed("c", core.RoleReplica, 1)
		Expect(s.g.HasLease(s.at)).To(BeFalse())
		Expect(s.g.Report(s.at).OrderedTerm).To(Equal(core.Term(2)), "it is passed on")
		s.probed("b", core.RolePrimary, 2)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 2}))
		Expect(s.g.HasLease(s.at)).To(BeTrue(), "b leads in the term that was ordered")
	})

	// All daemons were killed just after one of them had ordered a promotion. Only
	// the promotion lock still tells of it.
	It("is not given after a start before the promotion lock is read, nor if it names a newer term", func() {
		s := &script{g: direct.NewGroup("g", "d1", "zone-1"), at: startTime}
		s.listMembers("a", "b", "c")
		s.probed("a", core.RolePrimary, 1)
		s.probed("c", core.RoleReplica, 1)
		Expect(s.g.HasLease(s.at)).To(BeFalse())
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 2}))
		Expect(s.g.HasLease(s.at)).To(BeFalse())
	})

	// A daemon froze while a write was under way. Meanwhile the primary was replaced,
	// lost the write with its old log, and was promoted again. The answer that then
	// comes up belongs to a leadership that is over; acknowledged, the write would be lost.
	It("does not confirm a commit of an earlier leadership of the same member", func() {
		s := newScript()
		s.probed("b", core.RolePrimary, 2)
		s.probed("a", core.RolePrimary, 3)
		s.advance(ms)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 3}))
		Expect(s.g.CanAcknowledge(s.at, "a", core.Position{Term: 1, LSN: 11})).To(BeFalse())
		Expect(s.g.CanAcknowledge(s.at, "a", core.Position{Term: 3, LSN: 11})).To(BeTrue())
		Expect(s.g.CanAcknowledge(s.at, "b", core.Position{Term: 2, LSN: 11})).To(BeFalse())
	})
})

var _ = Describe("a daemon that is cut from the primary", func() {
	It("knows that another one can use it, and no longer than that one says so", func() {
		s := newScript()
		other := direct.Report{Group: "g", Primary: "a", Term: 1, LeaseRemaining: 500 * ms}
		s.record(s.g.ProbeFailed(s.at, s.at, "a", true))
		for range 5 {
			s.record(s.g.PeerReported(s.at, s.at, "d2", other))
			s.tick(200*ms, replicasAnswer)
		}
		Expect(s.g.IsCutOff(s.at)).To(BeTrue())
		other.Suspect = true
		s.record(s.g.PeerReported(s.at, s.at, "d2", other))
		Expect(s.g.IsCutOff(s.at)).To(BeFalse(), "nobody reaches it")
		other.Suspect = false
		s.record(s.g.PeerReported(s.at, s.at, "d2", other))
		s.probed("a", core.RolePrimary, 1)
		s.tick(20*ms, nil)
		Expect(s.g.IsCutOff(s.at)).To(BeFalse(), "it answers again")
	})
})
