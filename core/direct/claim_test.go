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

// silencePrimary lets the primary be silent until this daemon and another one suspect it and this
// one claims the group.
func (s *script) silencePrimary() {
	s.tick(800*ms, replicasAnswer)
	s.peerSuspects("d2")
	s.tick(100*ms, replicasAnswer)
}

// claimAndFence answers the claim with the promotion lock and confirms both fences.
func (s *script) claimAndFence(token uint64) (claimed core.Time) {
	claimed = s.at
	s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: token, Term: 2}))
	s.status("b", fenced)
	s.status("c", fenced)
	return claimed
}

var _ = Describe("a change of the primary", func() {
	// Guards against a failover because one daemon is cut off from the primary. The other daemons
	// reach it, and a promotion would interrupt them for over a second.
	It("does not begin while only one daemon of six gets no answer", func() {
		s := newScript()
		s.tick(1500*ms, replicasAnswer)
		Expect(s.take(direct.EffectClaim)).To(BeEmpty())
	})

	// Guards against a failover because one of two homes is cut off from a primary that the other
	// one uses.
	It("requires both of two homes, unless one gets no reports from the other", func() {
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

	It("is started by one of two homes when the other sends no report", func() {
		s := newScript()
		s.g.SetHomes(2, true)
		s.tick(1500*ms, replicasAnswer)
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1))
	})

	// Guards against detecting a failure late: the other home probes rarely while it has no
	// statement for the primary.
	It("makes the other of two homes probe at once", func() {
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

	// Guards against a promotion without fencing all replicas. After a power failure of all hosts,
	// during which the store has lost the members' entries, a daemon that starts sees only b. It
	// would fence only b and promote it, while a serves callers through daemons that know c, and c
	// confirms a to them.
	It("does not begin before the host list is known to be complete", func() {
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

	// The store has lost the entry of c, which is running and confirms a to other daemons.
	It("counts a member that has just disappeared from the host list", func() {
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

	// Guards against a promotion during another daemon's lease, which b confirmed just before its
	// fence. If b led before that lease expired, a write on the old primary would still be
	// acknowledged.
	It("orders the promotion only after the leases from before the fences have expired", func() {
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

	// One of the two replicas does not answer. A daemon that reaches it and the old primary still
	// has a lease, so no member may be promoted.
	It("does not continue with one fence of two", func() {
		s := newScript()
		s.silencePrimary()
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 2, Highest: 2}))
		s.status("b", fenced)
		s.tick(2000*ms, map[core.MemberID]direct.Status{"b": fenced})
		Expect(s.take(direct.EffectPromote)).To(BeEmpty())
	})

	// Guards against two promotions. The holder was frozen between acquiring the promotion lock and
	// ordering the promotion. Meanwhile the lock has expired, and another daemon has ordered a
	// promotion under a higher token. An order with the lower token must not follow.
	It("orders nothing after the promotion lock has expired", func() {
		s := newScript()
		s.silencePrimary()
		s.claimAndFence(7)
		s.effects = nil
		s.advance(direct.LockSendWindow)
		s.tick(100*ms, fencedAnswer)
		Expect(s.take(direct.EffectPromote)).To(BeEmpty())
	})

	// Guards against a slow second failover. A primary fails soon after another one did; if the
	// first promotion lock had to expire, callers would wait four seconds longer.
	It("releases its promotion lock when the promotion has taken effect", func() {
		s := newScript()
		s.silencePrimary()
		s.claimAndFence(7)
		s.tick(direct.LeaseDuration, fencedAnswer)
		s.effects = nil
		s.status("b", direct.Status{Role: core.RolePrimary, Term: 2, Position: core.Position{Term: 1, LSN: 10}})
		s.tick(20*ms, nil)
		Expect(s.take(direct.EffectReleaseLock)).To(ConsistOf(And(HaveField("Token", uint64(7)), HaveField("Term", core.Term(2)))))
	})

	It("chooses the replica that has received most of the log", func() {
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

	// The primary was only slow. Its replicas are fenced and receive nothing until the fences are
	// removed.
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

	// Guards against the loss of acknowledged commits in a planned change: the leaving primary is
	// demoted first, and a replica receives the rest of its log.
	It("waits for the rest of the log before it fences if it is planned", func() {
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

	// Guards against a group that stays without a primary: the replicas started again without their logs
	// when the primary had been demoted, and no other daemon claims while this one does.
	It("goes on if no replica knows the term any more after the old primary was demoted", func() {
		s := newScript()
		s.g.UpdateMembers(s.at, s.at, []direct.Member{
			{ID: "a", Group: "g", Leaving: true}, {ID: "b", Group: "g"}, {ID: "c", Group: "g"},
		})
		s.tick(40*ms, replicasAnswer)
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 2, Highest: 2}))
		demoted := direct.Status{Role: core.RoleReplica, Term: 1, Position: core.Position{Term: 1, LSN: 12}}
		s.status("a", demoted)
		s.advance(ms)
		anew := direct.Status{Role: core.RoleReplica}
		s.status("b", anew)
		s.status("c", anew)
		s.effects = nil
		s.tick(direct.CatchUpTimeout+40*ms, map[core.MemberID]direct.Status{"a": demoted, "b": anew, "c": anew})
		Expect(s.take(direct.EffectFence)).To(HaveLen(2))
		anew.FencedTerm = 2
		s.status("b", anew)
		s.status("c", anew)
		s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"a": demoted, "b": anew, "c": anew})
		Expect(s.take(direct.EffectPromote)).To(HaveLen(1))
	})

	// A daemon fenced both replicas and was killed. No daemon has a lease, although the primary
	// works.
	It("repairs fences of another daemon after that daemon's promotion lock has expired", func() {
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

	// The member that was promoted failed permanently before it took over. The old primary answers but
	// may not be used, so another replica must be promoted.
	It("begins again when a promotion did not take effect", func() {
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

	// Guards against replacing a primary that other daemons use. A promotion was ordered, its member
	// became unreachable when it took over, and this daemon claims the group again. Just before the
	// second order the member is back and leads. Other daemons use it at once, and no fence of this
	// claim prevents that.
	It("orders nothing after a newer term has become known", func() {
		s := newScript()
		s.silencePrimary()
		s.claimAndFence(7)
		s.tick(100*ms, fencedAnswer)
		s.effects = nil
		s.status("c", direct.Status{Role: core.RolePrimary, Term: 2, Position: core.Position{Term: 1, LSN: 10}})
		s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"b": fenced})
		Expect(s.take(direct.EffectPromote)).To(BeEmpty())
	})

	// The first promotion was for a member that became unreachable when it took over, and the second
	// one is for another member. Then the first member is back and leads in the term that both
	// claims requested. Daemons that took it for the successor of the second promotion would use it
	// until that promotion replaces it.
	It("keeps other daemons from using the member that an unresolved earlier change promoted", func() {
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
		Expect(other.g.HasLease(other.at)).To(BeFalse(), "a leads in term 2 and will be replaced")
		other.advance(ms)
		other.status(r.Successor, direct.Status{Role: core.RolePrimary, Term: 2, Position: core.Position{Term: 1, LSN: 10}})
		other.record(other.g.LockRead(other.at, other.at, direct.LockState{Term: 2}))
		Expect(other.g.HasLease(other.at)).To(BeTrue(), "the first order did not take effect, and the second one reached term 2")
	})

	// Guards against the loss of commits in an unnecessary promotion. The store has lost the
	// primary's entry. A daemon that starts sees only replicas and has received no report yet,
	// while the primary serves the other homes.
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
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1), "two of four daemons know of none")
	})

	// Commits wait for one replica before they are acknowledged. The primary and one replica are
	// silent. The silent replica may have an acknowledged commit that the other one lacks, so
	// promoting the other one would lose it.
	It("waits for every replica that may have an acknowledged commit", func() {
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

	// Guards against promoting a leaving member. Commits wait for one replica, and two members have
	// left one after the other. The second one was the primary and was demoted, and the claim
	// waited in vain for a fence of the first. The group had no primary, all three members were at
	// the same position, and the leaving member was promoted again, twice. Requests still reached
	// it 9.3 s after it had announced that it leaves.
	It("prefers a replica that stays among equally advanced ones", func() {
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

	It("needs no fence of a member that left earlier if it is planned", func() {
		s := newScript()
		s.g.Configure(direct.GroupSpec{ID: "g", MaxConns: 22, SyncReplicas: 1})
		leaving := []direct.Member{{ID: "a", Group: "g", Leaving: true}, {ID: "b", Group: "g"}, {ID: "c", Group: "g"}}
		s.g.UpdateMembers(s.at, s.at, append([]direct.Member{{ID: "gone", Group: "g"}}, leaving...))
		s.g.UpdateMembers(s.at, s.at, leaving)
		s.tick(40*ms, replicasAnswer)
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 2, Highest: 2}))
		demoted := direct.Status{Role: core.RoleReplica, Term: 1, Position: core.Position{Term: 1, LSN: 12}}
		s.status("a", demoted)
		behind, complete := fenced, fenced
		complete.Position.LSN = 12
		s.status("b", behind)
		s.status("c", behind)
		s.tick(direct.CatchUpTimeout+direct.LeaseDuration, map[core.MemberID]direct.Status{"a": demoted, "b": behind, "c": behind})
		Expect(s.take(direct.EffectPromote)).To(BeEmpty(), "neither has position 12, which may have been acknowledged")
		s.status("c", complete)
		s.tick(direct.FenceTimeout, map[core.MemberID]direct.Status{"a": demoted, "b": behind, "c": complete})
		Expect(s.take(direct.EffectPromote)).To(ConsistOf(HaveField("Member", core.MemberID("c"))))
	})

	// Two daemons claim the group. One acquires the promotion lock and fences the replicas; the
	// claim of the other one is refused. If that one removed the fences that it sees, a third
	// daemon's lease on the old primary would be extended.
	It("does not remove fences of others without a promotion lock", func() {
		s := newScript()
		s.silencePrimary()
		s.status("b", fenced)
		s.status("c", fenced)
		s.effects = nil
		s.record(s.g.ClaimRefused(s.at, "another daemon has the promotion lock"))
		Expect(s.take(direct.EffectUnfence)).To(BeEmpty())
	})

	// The holder of a promotion lock was frozen for so long that another daemon may hold the next
	// one.
	It("does not remove fences after its promotion lock has expired", func() {
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

	// Guards against a failover that is no longer needed: the store was unreachable when the
	// primary became silent, and by the time the store answers the primary is back.
	It("ends without an order if the primary answers again while the promotion lock is being acquired", func() {
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
	// Guards against a failover caused by a statement with a short deadline. It had 2 ms left when
	// it was sent, so the missing answer says nothing about the member.
	It("is not caused by a statement that could wait only briefly", func() {
		s := newScript()
		s.advance(400 * ms)
		s.record(s.g.StatementUnanswered(s.at.Add(2*ms), s.at, "a", false))
		Expect(s.g.Report(s.at).Suspect).To(BeFalse())
		s.record(s.g.StatementUnanswered(s.at.Add(direct.ProbeTimeout), s.at, "a", false))
		Expect(s.g.Report(s.at).Suspect).To(BeTrue())
	})
})

var _ = Describe("Resolve", func() {
	DescribeTable("returns the resolution of an outcome",
		func(kind direct.StatementKind, writes, inTransaction bool, o direct.Outcome, want direct.Resolution) {
			Expect(direct.Resolve(kind, writes, inTransaction, o)).To(Equal(want))
		},
		Entry("a read whose answer was lost runs again", direct.StatementRead, false, false, direct.ConnLost, direct.RetryElsewhere),
		Entry("a write whose answer was lost is reported as unknown", direct.StatementWrite, true, false, direct.ConnLost, direct.ReportUnknown),
		Entry("a prepared write whose answer was lost is reported as unknown", direct.StatementExecute, true, false, direct.ConnLost, direct.ReportUnknown),
		Entry("a commit whose answer was lost is reported as unknown", direct.StatementCommit, false, true, direct.ConnLost, direct.ReportUnknown),
		Entry("a write that was refused because of load runs again", direct.StatementWrite, true, false, direct.Busy, direct.RetryElsewhere),
		Entry("a write that was not sent runs again", direct.StatementWrite, true, false, direct.NotSent, direct.RetryElsewhere),
		Entry("a lost statement inside a transaction aborts it", direct.StatementWrite, true, true, direct.ConnLost, direct.ReportAborted),
		Entry("a failure is reported", direct.StatementWrite, true, false, direct.Failed, direct.ReportAnswer),
	)
})
