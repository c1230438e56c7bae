package direct_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

// listStarts lists a, b and c with their start times.
func (s *script) listStarts(a, b, c int64) {
	var list []direct.Member
	for i, started := range []int64{a, b, c} {
		id := core.MemberID(string(rune('a' + i)))
		list = append(list, direct.Member{ID: id, Group: "g", Addr: string(id), Zone: "zone-1", Slots: 3, Started: started})
	}
	s.record(s.g.UpdateMembers(s.at, s.at, list))
}

var _ = Describe("a member that restarts under its id", func() {
	// Guards against acknowledging commits on a primary that is being replaced. A replica was
	// fenced for a promotion, crashed and is back under its id without the fence. It receives the
	// log from the old primary and confirms its term to a daemon that reaches both.
	It("extends no lease until the promotion lock shows that no fence can have been lost", func() {
		s := newScript()
		s.tick(300*ms, map[core.MemberID]direct.Status{"a": primary, "b": replica})
		s.g.ConnBroken(s.at, "b")
		for range 40 {
			s.tick(20*ms, map[core.MemberID]direct.Status{"a": primary, "b": replica})
		}
		Expect(s.take(direct.EffectReadLock)).NotTo(BeEmpty(), "the store is read before the lease expires")
		Expect(s.g.HasLease(s.at)).To(BeFalse(), "b's confirmation does not count")
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{}))
		s.tick(direct.LeaseDuration+200*ms, map[core.MemberID]direct.Status{"a": primary, "b": replica})
		Expect(s.g.HasLease(s.at)).To(BeTrue(), "nobody had claimed the group when b was back")
	})

	// Like the previous case, but another daemon has probed the replica before the crash, and its
	// report arrives later.
	It("extends no lease by reports about its previous incarnation", func() {
		s := newScript()
		s.listStarts(5, 5, 5)
		report := direct.Report{Group: "g", Primary: "a", PrimaryStarted: 5, Term: 1,
			Members: []direct.MemberReport{{Member: "b", Started: 5, ConfirmedTerm: 1}}}
		answering := map[core.MemberID]direct.Status{"a": primary}
		s.tick(400*ms, answering)
		s.record(s.g.PeerReported(s.at, s.at, "d2", report))
		s.tick(400*ms, answering)
		Expect(s.g.HasLease(s.at)).To(BeTrue())
		s.listStarts(5, 6, 5)
		for range 3 {
			s.record(s.g.PeerReported(s.at, s.at, "d2", report))
			s.tick(300*ms, answering)
		}
		Expect(s.g.HasLease(s.at)).To(BeFalse())
	})

	It("loses its connections and its fence", func() {
		s := newScript()
		s.listStarts(5, 5, 5)
		s.silencePrimary()
		s.claimAndFence(7)
		s.effects = nil
		s.listStarts(5, 6, 5)
		s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"c": fenced})
		all := s.effects
		Expect(s.take(direct.EffectPromote)).To(BeEmpty(), "one fence of two is left")
		Expect(all).To(ContainElement(And(HaveField("Kind", direct.EffectDropConns), HaveField("Member", core.MemberID("b")))))
		Expect(all).To(ContainElement(And(HaveField("Kind", direct.EffectFence), HaveField("Member", core.MemberID("b")))))
	})

	// The store executes a member's write late, so the entry names the previous start.
	It("is not taken for its previous incarnation when an old entry arrives late", func() {
		s := newScript()
		s.listStarts(5, 5, 5)
		s.listStarts(5, 6, 5)
		s.effects = nil
		s.listStarts(5, 5, 5)
		Expect(s.take(direct.EffectDropConns)).To(BeEmpty())
	})

	// A member's clock was set back between its incarnations. If its entries were ignored permanently,
	// nobody would see that it is leaving.
	It("is accepted with an older start after such entries persist", func() {
		s := newScript()
		s.listStarts(5, 5, 5)
		s.listStarts(5, 3, 5)
		s.advance(direct.UnlistedGrace + ms)
		s.effects = nil
		s.listStarts(5, 3, 5)
		Expect(s.take(direct.EffectDropConns)).To(HaveLen(1))
	})

	// Guards against reads that miss acknowledged writes. The primary crashes and is back within a
	// second under its id, with an empty log. Reads of a daemon that still holds its lease would
	// find no data.
	It("serves no read as primary without its previous log", func() {
		s := newScript()
		s.commit(20)
		place, ok := s.g.Place(s.at, direct.Requirement{Primary: true, Arrived: s.at})
		Expect(ok).To(BeTrue())
		Expect(place.MinPosition).To(Equal(core.Position{Term: 1, LSN: 20}))
		s.advance(ms)
		s.record(s.g.StatementAnswered(s.at, s.at, "a", core.Position{}, direct.Lagging))
		_, ok = s.g.Place(s.at, direct.Requirement{Primary: true, Arrived: s.at})
		Expect(ok).To(BeFalse())
	})

	It("does not lead a term whose log it has lost, whatever others report", func() {
		s := newScript()
		s.commit(20)
		s.advance(50 * ms)
		empty := direct.Status{Role: core.RolePrimary, Term: 1}
		s.status("a", empty)
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, LeaseRemaining: 500 * ms}))
		id, _ := s.g.Primary()
		Expect(id).To(BeEmpty())
		for range 6 {
			s.peerReportsNoPrimary("d2")
			s.tick(300*ms, map[core.MemberID]direct.Status{"a": empty, "b": replica, "c": replica})
		}
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1), "two of six daemons know of no primary")
	})
})

// peerReportsNoPrimary makes another daemon report that it knows of no primary.
func (s *script) peerReportsNoPrimary(id core.DaemonID) {
	s.record(s.g.PeerReported(s.at, s.at, id, direct.Report{Group: "g", Term: 1}))
}

var _ = Describe("an entry that cannot be parsed", func() {
	// An invalid value is written to the host list under the primary's key. A failover would
	// interrupt all callers for a second; a replica can be avoided without that.
	It("keeps the primary in use while it answers, and sends no new reads to a replica", func() {
		s := newScript()
		unreadable := func(id core.MemberID) direct.Member { return direct.Member{ID: id, Group: "g", Unreadable: true} }
		s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{unreadable("a"), unreadable("b"), unreadable("c"), unreadable("nobody")}))
		s.tick(2*direct.UnlistedGrace, map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica})
		Expect(s.take(direct.EffectClaim)).To(BeEmpty())
		place, ok := s.g.Place(s.at, s.read(time.Second))
		Expect(ok).To(BeTrue(), s.g.Explain(s.at, s.read(time.Second)))
		Expect(place.Primary).To(BeTrue())
		_, known := s.g.Addr("nobody")
		Expect(known).To(BeFalse())
	})
})

var _ = Describe("a primary that has restarted without its log before this daemon started", func() {
	// Guards against reads from an empty log: another daemon has not noticed the restart and reports
	// that the member leads.
	It("is not used because of a report about its previous incarnation", func() {
		s := &script{g: direct.NewGroup("g", "d1", "zone-1"), at: startTime}
		s.listMembers("a", "b", "c")
		s.status("a", direct.Status{Role: core.RoleReplica})
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 3, IsLeadership: true}))
		s.advance(100 * ms)
		report := direct.Report{Group: "g", Primary: "a", Term: 3, PrimarySeen: true, PrimarySeenAge: 1500 * ms}
		s.record(s.g.PeerReported(s.at, s.at.Add(-20*ms), "d2", report))
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 3, IsLeadership: true}))
		primary, _ := s.g.Primary()
		Expect(primary).To(BeEmpty())
		_, ok := s.g.Place(s.at, direct.Requirement{Primary: true})
		Expect(ok).To(BeFalse())

		report.PrimarySeenAge = 0
		s.record(s.g.PeerReported(s.at, s.at.Add(-20*ms), "d2", report))
		primary, _ = s.g.Primary()
		Expect(primary).To(Equal(core.MemberID("a")), "it was promoted after the status")
	})
})

var _ = Describe("a member at whose address another one answers", func() {
	// A member is gone and its address was given to another one. All daemons sent it a demotion
	// every 0.4 s, for seconds, and the other member refused each.
	It("gets no orders", func() {
		s := newScript()
		s.tick(time.Second, map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica})
		s.probed("b", core.RolePrimary, 2)
		s.status("a", primary)
		s.record(s.g.ConnFailed(s.at, s.at, "a", direct.WrongMember))
		s.effects = nil
		s.tick(direct.WrongMemberProbeInterval-100*ms, map[core.MemberID]direct.Status{"b": {Role: core.RolePrimary, Term: 2, Position: core.Position{Term: 2, LSN: 1}}})
		for _, e := range s.effects {
			Expect(e).NotTo(And(HaveField("Member", core.MemberID("a")), HaveField("Kind", Or(Equal(direct.EffectDemote), Equal(direct.EffectProbe)))))
		}
	})
})

// orderPlannedPromotion advances a planned change to the order to promote and returns the replica
// that was not chosen.
func (s *script) orderPlannedPromotion() (other core.MemberID) {
	s.g.UpdateMembers(s.at, s.at, []direct.Member{{ID: "a", Group: "g", Leaving: true}, {ID: "b", Group: "g"}, {ID: "c", Group: "g"}})
	answering := map[core.MemberID]direct.Status{"a": replica, "b": replica, "c": replica}
	s.tick(40*ms, answering)
	s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 2, Highest: 2}))
	s.status("a", replica)
	s.tick(40*ms, answering)
	s.status("b", fenced)
	s.status("c", fenced)
	s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"a": replica, "b": fenced, "c": fenced})
	orders := s.take(direct.EffectPromote)
	Expect(orders).To(HaveLen(1))
	if orders[0].Member == "b" {
		return "c"
	}
	return "b"
}

var _ = Describe("a promotion whose successor is lost", func() {
	// Guards against a long outage after a failed planned change. The primary is demoted, and the
	// replica that was ordered to take over becomes silent. Callers had no primary for five
	// seconds, although another replica and the old primary answered all the time.
	It("is followed at once by that of another member, under a higher token", func() {
		s := newScript()
		other := s.orderPlannedPromotion()
		ordered := s.at
		s.tick(direct.SuccessorTimeout+100*ms, map[core.MemberID]direct.Status{"a": replica, other: fenced})
		again := s.take(direct.EffectClaim)
		Expect(again).To(HaveLen(1))
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 9, Term: 3, Highest: 3, Unresolved: 2}))
		Expect(s.take(direct.EffectFence)).To(HaveLen(3), "the old primary is a replica now")
		s.status("a", fenced)
		s.status(other, fenced)
		s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"a": fenced, other: fenced})
		Expect(s.take(direct.EffectPromote)).To(ConsistOf(And(HaveField("Member", other), HaveField("Token", uint64(9)))))
		Expect(s.at.Sub(ordered)).To(BeNumerically("<", 2*time.Second))
	})

	// Guards against a first order that has its effect after the second one, and replaces the second
	// member while leases on it are valid.
	It("ends the call of the first order, and gives the second one so late that the first has its effect before", func() {
		s := newScript()
		other := s.orderPlannedPromotion()
		// tickUntil ticks until the effect is emitted, and returns it.
		tickUntil := func(kind direct.EffectKind, a direct.Status) direct.Effect {
			for end := s.at.Add(direct.ClaimTimeout); s.at < end; {
				s.tick(20*ms, map[core.MemberID]direct.Status{"a": a, other: fenced})
				if found := slices.IndexFunc(s.effects, func(e direct.Effect) bool { return e.Kind == kind }); found >= 0 {
					return s.effects[found]
				}
			}
			Fail("the effect was not emitted")
			return direct.Effect{}
		}
		Expect(tickUntil(direct.EffectEndPromote, replica)).To(HaveField("Token", uint64(7)))
		restarted := s.at
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 9, Term: 3, Highest: 3, Unresolved: 2}))
		s.status("a", fenced)
		s.status(other, fenced)
		s.effects = nil
		Expect(tickUntil(direct.EffectPromote, fenced)).To(HaveField("Token", uint64(9)))
		Expect(s.at.Sub(restarted) + direct.MinPromoteDuration).To(BeNumerically(">=", direct.MaxPromoteDuration))
	})

	// The second candidate's fence alone must not be enough: the old primary would confirm the
	// leadership of the first candidate, which some daemon may be using by then.
	It("is not followed while the old primary is not fenced", func() {
		s := newScript()
		other := s.orderPlannedPromotion()
		s.tick(direct.SuccessorTimeout+100*ms, map[core.MemberID]direct.Status{other: fenced})
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 9, Term: 3, Highest: 3, Unresolved: 2}))
		s.status(other, fenced)
		s.effects = nil
		s.tick(2*time.Second, map[core.MemberID]direct.Status{other: fenced})
		Expect(s.take(direct.EffectPromote)).To(BeEmpty())
	})
})
