package direct_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var _ = Describe("the lease on the primary", func() {
	It("lasts for LeaseDuration after the probe that a replica confirmed", func() {
		s := newScript()
		Expect(s.g.HasLease(s.at)).To(BeTrue())
		s.advance(direct.LeaseDuration - ms)
		Expect(s.g.HasLease(s.at)).To(BeTrue())
		s.advance(ms)
		Expect(s.g.HasLease(s.at)).To(BeFalse())
	})

	// Guards against writing to a replaced primary. A daemon that promotes b fences b and c and
	// waits. A confirmation by b, reported by another daemon, arrives after this daemon has seen
	// b's fence. If it counted, this daemon would continue to write to the old primary after b has
	// taken over.
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

	// Guards against a lease on a replaced primary. A replica was promoted, which removed the fence
	// of the other one, and that one has not seen the new term: in a real installation it answered
	// with the old primary's term for seconds. The lease had expired while the fences were in place.
	It("is not given by replicas after it has expired", func() {
		s := newScript()
		s.advance(direct.LeaseDuration)
		s.probed("a", core.RolePrimary, 1)
		s.probed("b", core.RoleReplica, 1)
		s.probed("c", core.RoleReplica, 1)
		Expect(s.g.HasLease(s.at)).To(BeFalse())
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 2}))
		Expect(s.g.HasLease(s.at)).To(BeFalse(), "the promotion lock names term 2")
		s.record(s.g.LockRead(s.at, s.at.Add(ms), direct.LockState{Term: 1, IsLeadership: true}))
		Expect(s.g.HasLease(s.at)).To(BeTrue(), "it was released without an order")
	})

	It("is given by another daemon's lease, for as long as that one lasts", func() {
		s := newScript()
		s.advance(direct.LeaseDuration)
		s.record(s.g.PeerReported(s.at, s.at.Add(-10*ms), "d2", direct.Report{Group: "g", Primary: "a", Term: 1, LeaseRemaining: 300 * ms}))
		Expect(s.g.LeaseExpiry(s.at)).To(Equal(s.at.Add(290 * ms)))
		s.record(s.g.PeerReported(s.at, 0, "d3", direct.Report{Group: "g", Primary: "a", Term: 1, LeaseRemaining: 600 * ms}))
		Expect(s.g.LeaseExpiry(s.at)).To(Equal(s.at.Add(290*ms)), "a report of unknown age is ignored")
	})

	// The old primary was demoted and has refused a write. Another daemon does not know that yet
	// and reports it as the primary of the same term.
	It("is not given for a primary that has refused a write, whatever others report", func() {
		s := newScript()
		s.record(s.g.StatementAnswered(s.at, s.at, "a", core.Position{}, direct.NotPrimary))
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1}))
		Expect(s.g.HasLease(s.at)).To(BeFalse())
		s.probed("a", core.RolePrimary, 1)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{}))
		Expect(s.g.HasLease(s.at)).To(BeTrue(), "it reports itself that it leads")
	})

	// The daemon is cut off from both replicas; another daemon reaches them and reports their
	// confirmation. The report is dated by the echo of a timestamp of this daemon, so the
	// confirmation cannot appear more recent than it is.
	It("is extended by a confirmation that another daemon reports, no longer than its age allows", func() {
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

	// Guards against an outage without a promotion. The primary and five daemons are on one side of
	// a partition, both replicas and a sixth daemon on the other. Callers of the five would get no
	// answers while the partition lasts, although nobody has claimed the group.
	It("is given by a read of the promotion lock that shows no newer term", func() {
		s := newScript()
		s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"a": primary})
		Expect(s.take(direct.EffectReadLock)).NotTo(BeEmpty())
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 1, IsLeadership: true}))
		until := s.g.LeaseExpiry(s.at)
		Expect(until).To(Equal(s.at.Add(direct.LeaseDuration)))
		s.advance(100 * ms)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 2}))
		Expect(s.g.LeaseExpiry(s.at)).To(Equal(until), "another daemon has claimed term 2")
	})

	// Guards against the use of a replaced primary. Its replicas were away for so long that they no longer
	// counted, and have come back on the other side of a partition, where one of them was promoted.
	It("is not extended by the primary's answers after all replicas have gone", func() {
		s := newScript()
		s.listMembers("a")
		s.tick(direct.UnlistedGrace+direct.UnlistedContactTTL, onlyPrimaryAnswers)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 1, IsLeadership: true}))
		until := s.at.Add(direct.LeaseDuration)
		Expect(s.g.LeaseExpiry(s.at)).To(Equal(until))
		s.tick(direct.LeaseDuration-20*ms, onlyPrimaryAnswers)
		Expect(s.g.LeaseExpiry(s.at)).To(Equal(until))
		s.tick(direct.LeaseDuration, onlyPrimaryAnswers)
		Expect(s.g.HasLease(s.at)).To(BeFalse())
	})

	// A group of one is served without a gap while the store answers, also if one read is lost.
	It("rests on reads of the promotion lock in a group of one, of which one may be lost", func() {
		s := &script{g: direct.NewGroup("g", "d1", "zone-1"), at: startTime}
		s.listMembers("a")
		s.probed("a", core.RolePrimary, 1)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{}))
		reads := 0
		for range 250 {
			s.tick(20*ms, onlyPrimaryAnswers)
			Expect(s.g.HasLease(s.at)).To(BeTrue())
			if len(s.take(direct.EffectReadLock)) == 0 {
				continue
			}
			if reads++; reads%2 == 0 {
				sent := s.at
				s.advance(15 * ms)
				s.record(s.g.LockRead(s.at, sent, direct.LockState{}))
			}
		}
		Expect(reads).To(BeNumerically("<=", 20), "in 5 s")
	})

	// Guards against a read of the store by each daemon for what one of them reports to all.
	It("is read from the promotion lock by the first daemon for all in a group of one", func() {
		s := &script{g: direct.NewGroup("g", "d2", "zone-1"), at: startTime}
		s.listMembers("a")
		s.probed("a", core.RolePrimary, 1)
		other := direct.Report{Group: "g", Primary: "a", Term: 1, LeaseRemaining: direct.LeaseDuration}
		for range 20 {
			s.record(s.g.PeerReported(s.at, s.at.Add(-ms), "d1", other))
			s.tick(direct.ProbeInterval, onlyPrimaryAnswers)
			Expect(s.g.HasLease(s.at)).To(BeTrue())
		}
		Expect(s.take(direct.EffectReadLock)).To(BeEmpty())
	})

	It("is had again from the promotion lock once the store answers, unless it shows a newer term", func() {
		s := &script{g: direct.NewGroup("g", "d1", "zone-1"), at: startTime}
		s.listMembers("a")
		s.probed("a", core.RolePrimary, 1)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{}))
		s.tick(2*direct.LeaseDuration, onlyPrimaryAnswers)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 2}))
		Expect(s.g.HasLease(s.at)).To(BeFalse())
		s.advance(direct.LockReadInterval)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{}))
		Expect(s.g.HasLease(s.at)).To(BeTrue())
	})

	// Guards against acknowledging a write that is rolled back. The primary was unreachable; b was
	// promoted, which removed c's fence, and became unreachable itself. The old primary is back,
	// and c, which has not seen the new term, confirms the old one.
	It("is not given for a primary after a promotion was ordered, whichever member confirms it", func() {
		s := newScript()
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, OrderedTerm: 2}))
		s.probed("c", core.RoleReplica, 1)
		Expect(s.g.HasLease(s.at)).To(BeFalse())
		Expect(s.g.Report(s.at).OrderedTerm).To(Equal(core.Term(2)), "it is reported to others")
		s.probed("b", core.RolePrimary, 2)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 2}))
		Expect(s.g.HasLease(s.at)).To(BeTrue(), "b leads in the term that was ordered")
	})

	// All daemons were killed just after one of them had ordered a promotion. Only the promotion
	// lock still shows the order.
	It("is not given after a start before the promotion lock is read, or if the lock shows a newer term", func() {
		s := &script{g: direct.NewGroup("g", "d1", "zone-1"), at: startTime}
		s.listMembers("a", "b", "c")
		s.probed("a", core.RolePrimary, 1)
		s.probed("c", core.RoleReplica, 1)
		Expect(s.g.HasLease(s.at)).To(BeFalse())
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 2}))
		Expect(s.g.HasLease(s.at)).To(BeFalse())
	})

	// Guards against acknowledging a lost write. A daemon froze while a write was in progress.
	// Meanwhile the primary was replaced, lost the write with its old log, and was promoted again.
	// The answer that the daemon then reads belongs to the earlier leadership.
	It("does not allow acknowledging a commit of an earlier leadership of the same member", func() {
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

var _ = Describe("a daemon that is cut off from the primary", func() {
	It("knows that another daemon can use it, for as long as that one reports so", func() {
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
		Expect(s.g.IsCutOff(s.at)).To(BeFalse(), "no daemon reaches it")
		other.Suspect = false
		s.record(s.g.PeerReported(s.at, s.at, "d2", other))
		s.probed("a", core.RolePrimary, 1)
		s.tick(20*ms, nil)
		Expect(s.g.IsCutOff(s.at)).To(BeFalse(), "it answers again")
	})
})
