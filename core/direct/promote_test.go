package direct_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var _ = Describe("a change of the primary", func() {
	// Guards against commits that reappear after a promotion has rolled them back, and against
	// losing everything written since: a primary that was replaced during a partition keeps its old
	// log until it reaches the new primary.
	It("promotes no member that has not seen the current term", func() {
		s := newScript()
		leading := direct.Status{Role: core.RolePrimary, Term: 2, RunningStatements: allSlotsBusy, Position: core.Position{Term: 2, LSN: 90}}
		follows := direct.Status{Role: core.RoleReplica, Term: 2, Position: leading.Position}
		replaced := direct.Status{Role: core.RoleReplica, Term: 1, Position: core.Position{Term: 1, LSN: 19}}
		s.status("a", leading)
		s.status("b", follows)
		s.status("c", replaced)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 2, IsLeadership: true}))
		answers := map[core.MemberID]direct.Status{"b": follows, "c": replaced}
		s.tick(800*ms, answers)
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 2, Suspect: true}))
		s.tick(100*ms, answers)
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1))
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 3, Highest: 3}))
		demoted := leading
		demoted.Role = core.RoleReplica
		s.status("a", demoted)
		replaced.FencedTerm = 3
		s.status("c", replaced)
		s.record(s.g.ProbeRefused(s.at, "b"))
		s.tick(direct.RoleTTL, map[core.MemberID]direct.Status{"a": demoted, "c": replaced})
		Expect(s.take(direct.EffectPromote)).To(BeEmpty(), "b has no connection left for the fence")
		follows.FencedTerm = 3
		s.status("b", follows)
		s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"a": demoted, "b": follows, "c": replaced})
		Expect(s.take(direct.EffectPromote)).To(ConsistOf(HaveField("Member", core.MemberID("b"))))
	})

	// The primary of a term is lost before any other member has seen that term.
	It("promotes a member of an older term if there is no other", func() {
		s := newScript()
		s.status("a", direct.Status{Role: core.RolePrimary, Term: 2, Position: core.Position{Term: 1, LSN: 10}})
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 2, IsLeadership: true}))
		s.tick(800*ms, replicasAnswer)
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 2, Suspect: true}))
		s.tick(100*ms, replicasAnswer)
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 3, Highest: 3}))
		fencedAtThree := fenced
		fencedAtThree.FencedTerm = 3
		s.status("b", fencedAtThree)
		s.status("c", fencedAtThree)
		s.effects = nil
		s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"b": fencedAtThree, "c": fencedAtThree})
		Expect(s.take(direct.EffectPromote)).To(HaveLen(1))
	})

	// Guards against rolled-back commits that reappear: this daemon has learnt of the term late and
	// takes the log of the previous primary for part of the newest one's.
	It("promotes no member that others know to have been rolled back", func() {
		s := newScript()
		s.status("a", direct.Status{Role: core.RolePrimary, Term: 2, Position: core.Position{Term: 2, LSN: 90}})
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 2, IsLeadership: true}))
		rolledBack, short := fenced, fenced
		rolledBack.FencedTerm, rolledBack.Position.LSN = 0, 40
		short.FencedTerm, short.Position.LSN = 0, 20
		answers := map[core.MemberID]direct.Status{"b": rolledBack, "c": short}
		s.tick(800*ms, answers)
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 2, Suspect: true, TermStart: core.Position{Term: 2, LSN: 25}}))
		s.tick(100*ms, answers)
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 3, Highest: 3}))
		rolledBack.FencedTerm, short.FencedTerm = 3, 3
		s.status("b", rolledBack)
		s.status("c", short)
		s.effects = nil
		s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"b": rolledBack, "c": short})
		Expect(s.take(direct.EffectPromote)).To(ConsistOf(HaveField("Member", core.MemberID("c"))))
	})

	// Guards against rolled-back commits that reappear: c has missed two promotions, the first of which
	// rolled its last commits back, and the log of the newest primary is longer than that of c.
	It("promotes no member that an earlier promotion has rolled back", func() {
		s := newScript()
		s.status("b", direct.Status{Role: core.RolePrimary, Term: 2, Position: core.Position{Term: 2, LSN: 26}})
		s.status("a", direct.Status{Role: core.RolePrimary, Term: 3, Position: core.Position{Term: 3, LSN: 60}})
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{Term: 3, IsLeadership: true}))
		follows := direct.Status{Role: core.RoleReplica, Term: 2, Position: core.Position{Term: 2, LSN: 30}}
		rolledBack := direct.Status{Role: core.RoleReplica, Term: 1, Position: core.Position{Term: 1, LSN: 40}}
		s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{{ID: "a", Group: "g"}, {ID: "b", Group: "g", Leaving: true}, {ID: "c", Group: "g"}}))
		s.status("b", follows)
		s.status("c", rolledBack)
		answers := map[core.MemberID]direct.Status{"b": follows, "c": rolledBack}
		s.tick(800*ms, answers)
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 3, Suspect: true}))
		s.tick(100*ms, answers)
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1))
		s.record(s.g.Claimed(s.at, s.at, direct.PromotionLock{Token: 7, Term: 4, Highest: 4}))
		follows.FencedTerm, rolledBack.FencedTerm = 4, 4
		s.status("b", follows)
		s.status("c", rolledBack)
		s.effects = nil
		s.tick(direct.LeaseDuration, map[core.MemberID]direct.Status{"b": follows, "c": rolledBack})
		Expect(s.take(direct.EffectPromote)).To(ConsistOf(HaveField("Member", core.MemberID("b"))))
	})
})

var _ = Describe("a planned change whose replicas have restarted without their logs", func() {
	// Guards against the loss of acknowledged commits: the demoted primary answers and has them all.
	It("does not promote a member without the acknowledged commits where commits wait for a replica", func() {
		s := newScript()
		s.g.Configure(direct.GroupSpec{ID: "g", MaxConns: 22, SyncReplicas: 1})
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
		s.tick(direct.CatchUpTimeout+40*ms, map[core.MemberID]direct.Status{"a": demoted, "b": anew, "c": anew})
		anew.FencedTerm = 2
		s.status("b", anew)
		s.status("c", anew)
		s.effects = nil
		s.tick(2*time.Second, map[core.MemberID]direct.Status{"a": demoted, "b": anew, "c": anew})
		Expect(s.take(direct.EffectPromote)).To(BeEmpty())
	})
})
