package direct_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var (
	replicasAnswer = map[core.MemberID]direct.Status{"b": replica, "c": replica}
	fencedAnswer   = map[core.MemberID]direct.Status{"b": fenced, "c": fenced}
)

// silence lets the primary be silent until this daemon and another suspect it
// and this one claims the group.
func (s *script) silencePrimary() {
	s.tick(800*ms, replicasAnswer)
	s.peerSuspects("d2")
	s.tick(100*ms, replicasAnswer)
}

// fence answers the promotion lock and both fences.
func (s *script) claimAndFence(token uint64) (claimed core.Time) {
	claimed = s.at
	s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: token, Term: 2}))
	s.status("b", fenced)
	s.status("c", fenced)
	return claimed
}

var _ = Describe("a change of the primary", func() {
	// One daemon's path to the primary is cut. The others reach it; a promotion
	// would interrupt them all for over a second.
	It("does not begin while only one daemon of six gets no answer", func() {
		s := newScript()
		s.tick(1500*ms, replicasAnswer)
		Expect(s.take(direct.EffectClaim)).To(BeEmpty())
	})

	// Guards against a failover because one of two homes is cut from a primary that the other
	// one uses.
	It("takes both of two homes, or one that hears nothing of the other", func() {
		s := newScript()
		s.g.SetHomes(2, true)
		other := func(suspect bool) {
			s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, Suspect: suspect}))
		}
		for range 4 {
			other(false)
			s.tick(500*ms, replicasAnswer)
		}
		Expect(s.take(direct.EffectClaim)).To(BeEmpty())
		other(true)
		s.tick(100*ms, replicasAnswer)
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1))
	})

	It("begins by one of two homes when the other says nothing", func() {
		s := newScript()
		s.g.SetHomes(2, true)
		s.tick(1500*ms, replicasAnswer)
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1))
	})

	// Guards against a failure that is found out late: the other home asks seldom while it has
	// no statement for the primary.
	It("has the other of two homes ask at once", func() {
		s := newScript()
		s.g.SetHomes(2, true)
		s.tick(direct.ProbeInterval/2, map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica})
		s.take(direct.EffectProbe)
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, Suspect: true}))
		s.record(s.g.Tick(s.at))
		Expect(s.take(direct.EffectProbe)).To(ContainElement(HaveField("Member", core.MemberID("a"))))
	})

	It("begins when a third of the daemons gets no answer", func() {
		s := newScript()
		s.silencePrimary()
		claims := s.take(direct.EffectClaim)
		Expect(claims).To(HaveLen(1))
		Expect(claims[0].Term).To(Equal(core.Term(2)))
	})

	// All hosts lost power while the store was away, which has lost the members' entries.
	// A daemon that starts sees only b, would fence it alone and have it promoted, while a
	// serves callers through daemons that know c, which confirms a to them.
	It("does not begin before the host list is surely whole", func() {
		s := &script{g: direct.NewGroup("g", "d1", "zone-1"), at: startTime}
		s.g.SetHomes(1, true)
		s.listMembers("b")
		s.tick(direct.ListSettleTime-40*ms, map[core.MemberID]direct.Status{"b": replica})
		Expect(s.take(direct.EffectClaim)).To(BeEmpty())
		s.listMembers("a", "b", "c")
		s.tick(2*time.Second, map[core.MemberID]direct.Status{"b": replica, "c": replica})
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1))
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 2, Highest: 2}))
		s.status("b", fenced)
		s.tick(time.Second, map[core.MemberID]direct.Status{"b": fenced})
		Expect(s.take(direct.EffectPromote)).To(BeEmpty(), "c is not fenced")
	})

	// The store has lost the entry of c, which lives and confirms a to other daemons.
	It("counts a member that has just vanished from the host list", func() {
		s := newScript()
		s.listMembers("a", "b")
		s.tick(1300*ms, map[core.MemberID]direct.Status{"a": primary, "b": replica})
		s.tick(800*ms, map[core.MemberID]direct.Status{"b": replica})
		s.peerSuspects("d2")
		s.tick(100*ms, map[core.MemberID]direct.Status{"b": replica})
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1))
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 2, Highest: 2}))
		s.status("b", fenced)
		s.tick(600*ms, map[core.MemberID]direct.Status{"b": fenced})
		Expect(s.take(direct.EffectPromote)).To(BeEmpty(), "one fence of two")
	})

	// Another daemon got its lease from b just before the fence. If b led before
	// that lease ran out, a write on the old primary would still be acknowledged.
	It("orders the promotion only when leases from before the fences have run out", func() {
		s := newScript()
		s.silencePrimary()
		s.claimAndFence(7)
		s.effects = nil
		s.tick(direct.LeaseDuration-direct.MinPromoteDuration-20*ms, fencedAnswer)
		Expect(s.take(direct.EffectPromote)).To(BeEmpty())
		s.tick(40*ms, fencedAnswer)
		orders := s.take(direct.EffectPromote)
		Expect(orders).To(HaveLen(1))
		Expect(orders[0].Token).To(Equal(uint64(7)))
	})

	// One of the two replicas does not answer. A daemon that reaches it and the old
	// primary still has a lease, so nobody may be promoted.
	It("does not go on with one fence of two", func() {
		s := newScript()
		s.silencePrimary()
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 2, Highest: 2}))
		s.status("b", fenced)
		s.tick(2000*ms, map[core.MemberID]direct.Status{"b": fenced})
		Expect(s.take(direct.EffectPromote)).To(BeEmpty())
	})

	// The holder was frozen between the promotion lock and its order. Meanwhile another
	// daemon has waited for the promotion lock to end and ordered under a higher token; an
	// order with the lower one must not follow it.
	It("orders nothing once the promotion lock has run out", func() {
		s := newScript()
		s.silencePrimary()
		s.claimAndFence(7)
		s.effects = nil
		s.advance(direct.LockSendWindow)
		s.tick(100*ms, fencedAnswer)
		Expect(s.take(direct.EffectPromote)).To(BeEmpty())
	})

	// A primary fails soon after another one did. Were the first promotion lock waited out,
	// callers would stand for four seconds more.
	It("gives its promotion lock back when the promotion has taken effect", func() {
		s := newScript()
		s.silencePrimary()
		s.claimAndFence(7)
		s.tick(direct.LeaseDuration, fencedAnswer)
		s.effects = nil
		s.status("b", direct.Status{Role: core.RolePrimary, Term: 2, Position: core.Position{Term: 1, LSN: 10}})
		s.tick(20*ms, nil)
		Expect(s.take(direct.EffectReleaseLock)).To(ConsistOf(And(HaveField("Token", uint64(7)), HaveField("Term", core.Term(2)))))
	})

	It("chooses the replica that has received most", func() {
		s := newScript()
		s.silencePrimary()
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 2, Highest: 2}))
		ahead := fenced
		ahead.Position.LSN = 11
		s.status("b", fenced)
		s.status("c", ahead)
		s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"b": fenced, "c": ahead})
		Expect(s.take(direct.EffectPromote)).To(ConsistOf(HaveField("Member", core.MemberID("c"))))
	})

	// The primary was only slow. Its replicas are fenced and receive nothing until
	// someone removes the fences.
	It("ends and removes the fences when the primary answers again", func() {
		s := newScript()
		s.silencePrimary()
		s.claimAndFence(7)
		s.tick(100*ms, fencedAnswer)
		s.effects = nil
		s.status("a", primary)
		s.tick(40*ms, nil)
		ended := s.effects
		Expect(s.take(direct.EffectUnfence)).To(HaveLen(2))
		Expect(ended).To(ContainElement(And(HaveField("Kind", direct.EffectReleaseLock), HaveField("Token", uint64(7)))))
		s.tick(direct.LeaseDuration, nil)
		Expect(s.take(direct.EffectPromote)).To(BeEmpty())
	})

	// The primary reports that it will stop. It is demoted first and the replica
	// receives the rest of its log, so no acknowledged commit is lost.
	It("that is planned waits for the rest of the log before it fences", func() {
		s := newScript()
		s.g.UpdateMembers(s.at, s.at, []direct.Member{
			{ID: "a", Group: "g", Leaving: true}, {ID: "b", Group: "g"}, {ID: "c", Group: "g"},
		})
		s.tick(40*ms, replicasAnswer)
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1))
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 2, Highest: 2}))
		Expect(s.take(direct.EffectDemote)).To(HaveLen(1))
		s.status("a", direct.Status{Role: core.RoleReplica, Term: 1, Position: core.Position{Term: 1, LSN: 12}})
		s.tick(40*ms, nil)
		Expect(s.take(direct.EffectFence)).To(BeEmpty(), "b and c are at 10")
		s.status("c", direct.Status{Role: core.RoleReplica, Term: 1, Position: core.Position{Term: 1, LSN: 12}})
		s.tick(20*ms, nil)
		Expect(s.take(direct.EffectFence)).To(HaveLen(2))
	})

	// A daemon fenced both replicas and was killed. Nobody has a lease, and nothing
	// is wrong with the primary.
	It("that somebody left behind is repaired after its promotion lock's life", func() {
		s := newScript()
		s.status("b", fenced)
		s.status("c", fenced)
		answering := map[core.MemberID]direct.Status{"a": primary, "b": fenced, "c": fenced}
		s.tick(direct.OrphanedFenceAge-200*ms, answering)
		Expect(s.take(direct.EffectClaim)).To(BeEmpty())
		s.tick(400*ms, answering)
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1))
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 8, Term: 2}))
		Expect(s.take(direct.EffectUnfence)).To(HaveLen(2))
	})

	// The member that was promoted went dark before it took over, for good. The old
	// primary answers but may not be used; another replica has to be promoted.
	It("begins again when a promotion had no effect", func() {
		s := newScript()
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, OrderedTerm: 2}))
		answering := map[core.MemberID]direct.Status{"a": primary, "c": replica}
		s.tick(direct.PromoteTimeout-200*ms, answering)
		Expect(s.take(direct.EffectClaim)).To(BeEmpty())
		s.tick(800*ms, answering)
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1))
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 9, Term: 3, Unresolved: 2}))
		s.status("a", direct.Status{Role: core.RoleReplica, Term: 1, Position: core.Position{Term: 1, LSN: 10}})
		s.status("c", fenced)
		s.effects = nil
		s.tick(direct.RoleTTL-direct.MinPromoteDuration-40*ms, map[core.MemberID]direct.Status{"a": replica, "c": fenced})
		Expect(s.take(direct.EffectPromote)).To(BeEmpty(), "b is not fenced and may confirm to others that a leads")
		s.tick(80*ms, map[core.MemberID]direct.Status{"a": replica, "c": fenced})
		Expect(s.take(direct.EffectPromote)).To(ConsistOf(HaveField("Member", core.MemberID("c"))))
	})

	// A promotion was ordered, its member went dark when it took over, and the daemon
	// claims the group again. Just before its order the member is back and leads:
	// other daemons use it at once, and no fence of this claim keeps them from it.
	It("orders nothing once a newer leadership has become known", func() {
		s := newScript()
		s.silencePrimary()
		s.claimAndFence(7)
		s.tick(100*ms, fencedAnswer)
		s.effects = nil
		s.status("c", direct.Status{Role: core.RolePrimary, Term: 2, Position: core.Position{Term: 1, LSN: 10}})
		s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"b": fenced})
		Expect(s.take(direct.EffectPromote)).To(BeEmpty())
	})

	// The first order's member went dark when it took over; the second order was
	// given for another member. Then the first one is back and leads in the term
	// that both claims wanted. Daemons that took the second order for the one that
	// made it primary would use it until the second order replaces it.
	It("that follows an unresolved one keeps others from using what that one promoted", func() {
		s := newScript()
		s.silencePrimary()
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 9, Term: 3, Unresolved: 2}))
		s.status("b", fenced)
		s.status("c", fenced)
		s.tick(direct.LeaseDuration, fencedAnswer)
		r := s.g.Report(s.at)
		Expect(s.take(direct.EffectPromote)).To(ConsistOf(HaveField("Term", core.Term(3))))

		other := newScript()
		other.record(other.g.PeerReported(other.at, other.at, "d2", r))
		other.status("a", direct.Status{Role: core.RolePrimary, Term: 2, Position: core.Position{Term: 1, LSN: 10}})
		other.record(other.g.LockRead(other.at, other.at, direct.LockState{Term: 3}))
		Expect(other.g.HasLease(other.at)).To(BeFalse(), "a leads in term 2 and is to be replaced")
		other.advance(ms)
		other.status(r.Successor, direct.Status{Role: core.RolePrimary, Term: 2, Position: core.Position{Term: 1, LSN: 10}})
		other.record(other.g.LockRead(other.at, other.at, direct.LockState{Term: 2}))
		Expect(other.g.HasLease(other.at)).To(BeTrue(), "the first order had no effect, and the second one came to term 2")
	})

	// The store has lost the primary's entry. A daemon that starts sees replicas only
	// and no report yet, while the other homes are served by the primary; commits
	// were rolled back by its promotion.
	It("does not begin because one daemon of four knows of no primary", func() {
		s := &script{g: direct.NewGroup("g", "d4", "zone-1"), at: startTime}
		s.g.SetHomes(4, true)
		s.listMembers("b")
		answering := map[core.MemberID]direct.Status{"b": replica}
		s.tick(3*time.Second, answering)
		Expect(s.take(direct.EffectClaim)).To(BeEmpty())
		for range 6 {
			s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Term: 1}))
			s.tick(300*ms, answering)
		}
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1), "two of four know of none")
	})

	// Commits wait for one replica before they are acknowledged. The primary and one
	// replica are silent: that one may have a commit which the other lacks, and its
	// promotion would lose what callers were told is kept.
	It("waits for all replicas that may have a commit which one was waited for", func() {
		s := newScript()
		s.g.Configure(direct.GroupSpec{ID: "g", MaxConns: 22, SyncReplicas: 1})
		s.silencePrimary()
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 2, Highest: 2}))
		s.status("a", direct.Status{Role: core.RoleReplica, Term: 1, Position: core.Position{Term: 1, LSN: 10}})
		s.status("b", fenced)
		s.tick(2*time.Second, map[core.MemberID]direct.Status{"b": fenced})
		Expect(s.take(direct.EffectPromote)).To(BeEmpty())
		s.status("c", fenced)
		s.tick(400*ms, fencedAnswer)
		Expect(s.take(direct.EffectPromote)).To(HaveLen(1))
	})

	// Commits wait for one replica. Two members have left one after the other; the
	// second one was primary, was demoted, and the claim waited in vain for a fence of
	// the first. The group then had no primary, all three stood at the same position,
	// and the leaving member was promoted again, twice: callers' requests reached it
	// 9.3 s after it had said that it leaves.
	It("chooses among equally far replicas one that stays", func() {
		s := newScript()
		s.g.Configure(direct.GroupSpec{ID: "g", MaxConns: 22, SyncReplicas: 1})
		s.g.UpdateMembers(s.at, s.at, []direct.Member{
			{ID: "a", Group: "g"}, {ID: "b", Group: "g", Leaving: true}, {ID: "c", Group: "g"},
		})
		s.silencePrimary()
		s.claimAndFence(7)
		s.effects = nil
		s.tick(direct.LeaseDuration, fencedAnswer)
		Expect(s.take(direct.EffectPromote)).To(ConsistOf(HaveField("Member", core.MemberID("c"))))
	})

	It("that is planned needs no fence of a member that has left before", func() {
		s := newScript()
		s.g.Configure(direct.GroupSpec{ID: "g", MaxConns: 22, SyncReplicas: 1})
		leaving := []direct.Member{{ID: "a", Group: "g", Leaving: true}, {ID: "b", Group: "g"}, {ID: "c", Group: "g"}}
		s.g.UpdateMembers(s.at, s.at, append([]direct.Member{{ID: "gone", Group: "g"}}, leaving...))
		s.g.UpdateMembers(s.at, s.at, leaving)
		s.tick(40*ms, replicasAnswer)
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 2, Highest: 2}))
		demoted := direct.Status{Role: core.RoleReplica, Term: 1, Position: core.Position{Term: 1, LSN: 12}}
		s.status("a", demoted)
		behind, whole := fenced, fenced
		whole.Position.LSN = 12
		s.status("b", behind)
		s.status("c", behind)
		s.tick(direct.CatchUpTimeout+direct.LeaseDuration, map[core.MemberID]direct.Status{"a": demoted, "b": behind, "c": behind})
		Expect(s.take(direct.EffectPromote)).To(BeEmpty(), "neither has 12, which may have been acknowledged")
		s.status("c", whole)
		s.tick(direct.FenceTimeout, map[core.MemberID]direct.Status{"a": demoted, "b": behind, "c": whole})
		Expect(s.take(direct.EffectPromote)).To(ConsistOf(HaveField("Member", core.MemberID("c"))))
	})

	// Two daemons claim the group. One gets the promotion lock and fences the replicas; the
	// other one's claim is refused. If that one removed the fences that it sees, a
	// third daemon would have its lease on the old primary extended.
	It("leaves others' fences alone if it got no promotion lock", func() {
		s := newScript()
		s.silencePrimary()
		s.status("b", fenced)
		s.status("c", fenced)
		s.effects = nil
		s.record(s.g.ClaimRefused(s.at, "another daemon has the promotion lock"))
		Expect(s.take(direct.EffectUnfence)).To(BeEmpty())
	})

	// The holder of a promotion lock was frozen until another daemon may have the next one.
	It("leaves fences alone once its promotion lock has run out", func() {
		s := newScript()
		s.silencePrimary()
		s.claimAndFence(7)
		s.advance(direct.LockTTL + time.Second)
		s.effects = nil
		s.record(s.g.Tick(s.at))
		ended := s.effects
		Expect(s.take(direct.EffectUnfence)).To(BeEmpty())
		Expect(ended).To(ContainElement(HaveField("Reason", ContainSubstring("claim ended"))))
	})

	// Guards against a failover that is under way before anybody looks whether it is needed:
	// the store was out of reach when the primary was silent, and answers once it is back.
	It("ends before its first order if the primary answers again while the store is asked", func() {
		s := newScript()
		s.silencePrimary()
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1))
		s.advance(400 * ms)
		s.status("a", primary)
		s.record(s.g.Claimed(s.at, s.at.Add(-400*ms), direct.PromotionLock{Token: 7, Term: 2, Highest: 2}))
		s.tick(40*ms, replicasAnswer)
		orders := s.effects
		Expect(orders).NotTo(ContainElement(HaveField("Kind", direct.EffectDemote)))
		Expect(orders).NotTo(ContainElement(HaveField("Kind", direct.EffectFence)))
		Expect(s.take(direct.EffectReleaseLock)).To(ConsistOf(HaveField("Token", uint64(7))))
	})

	It("demotes a member that leads an older term", func() {
		s := newScript()
		s.probed("b", core.RolePrimary, 2)
		s.advance(direct.FenceTimeout)
		s.status("a", primary)
		s.tick(20*ms, nil)
		demoted := s.take(direct.EffectDemote)
		Expect(demoted).To(HaveLen(1))
		Expect(demoted[0].Term).To(Equal(core.Term(2)))
	})
})

var _ = Describe("suspicion", func() {
	// A caller's statement had 2 ms left when it was sent. That it got no answer in
	// that time says nothing about the member, but would have started a take-over.
	It("does not follow from a statement that could wait only for a moment", func() {
		s := newScript()
		s.advance(400 * ms)
		s.record(s.g.StatementUnanswered(s.at.Add(2*ms), s.at, "a"))
		Expect(s.g.Report(s.at).Suspect).To(BeFalse())
		s.record(s.g.StatementUnanswered(s.at.Add(direct.ProbeTimeout), s.at, "a"))
		Expect(s.g.Report(s.at).Suspect).To(BeTrue())
	})
})

var _ = Describe("Settle", func() {
	DescribeTable("says what a caller is told",
		func(kind direct.StatementKind, writes, inTransaction bool, o direct.Outcome, want direct.Resolution) {
			Expect(direct.Resolve(kind, writes, inTransaction, o)).To(Equal(want))
		},
		Entry("a read whose answer was lost runs again", direct.StatementRead, false, false, direct.ConnLost, direct.RetryElsewhere),
		Entry("a write whose answer was lost is unknown", direct.StatementWrite, true, false, direct.ConnLost, direct.ReportUnknown),
		Entry("a prepared write too", direct.StatementExecute, true, false, direct.ConnLost, direct.ReportUnknown),
		Entry("a commit too", direct.StatementCommit, false, true, direct.ConnLost, direct.ReportUnknown),
		Entry("a write that was refused for load runs again", direct.StatementWrite, true, false, direct.Busy, direct.RetryElsewhere),
		Entry("a write that was not sent runs again", direct.StatementWrite, true, false, direct.NotSent, direct.RetryElsewhere),
		Entry("a lost statement inside a transaction aborts it", direct.StatementWrite, true, true, direct.ConnLost, direct.ReportAborted),
		Entry("a failure is told", direct.StatementWrite, true, false, direct.Failed, direct.ReportFailed),
	)
})
