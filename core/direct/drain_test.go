package direct_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var _ = Describe("a leaving primary without a successor", func() {
	const drainLimit = 6 * time.Second
	answering := map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica}
	write := direct.Requirement{Primary: true}
	var s *script

	// list gives the three members' entries; the replicas are leaving too, so that none can take over.
	list := func(primaryLeaves bool) {
		s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{
			{ID: "a", Group: "g", Leaving: primaryLeaves}, {ID: "b", Group: "g", Leaving: true}, {ID: "c", Group: "g", Leaving: true},
		}))
	}
	places := func() bool {
		_, ok := s.g.Place(s.at, write)
		return ok
	}
	BeforeEach(func() {
		s = newScript()
		s.g.SetDrainLimit(drainLimit)
		list(true)
		s.tick(drainLimit-100*ms, answering)
		Expect(s.take(direct.EffectClaim)).To(BeEmpty())
		Expect(places()).To(BeTrue())
		Expect(s.g.IsPrimaryDrained(s.at, write)).To(BeFalse())
	})

	// Guards against statements that reach a member which may have ended, for as long as no replica can
	// take over.
	It("gets no new work once the time for its draining has passed", func() {
		s.tick(200*ms, answering)
		Expect(s.g.HasLease(s.at)).To(BeTrue())
		Expect(places()).To(BeFalse())
		Expect(s.g.Explain(s.at, write)).To(ContainSubstring("without a successor"))
	})

	// Guards against callers that wait until their deadline for work that is known not to run.
	It("has its callers rejected at once, but not while it is being changed", func() {
		s.tick(300*ms, answering)
		Expect(s.g.IsPrimaryDrained(s.at, write)).To(BeTrue())
		Expect(s.g.OutageDuration(s.at, write)).To(BeNumerically("~", 200*ms, 20*ms))
		s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{{ID: "a", Group: "g", Leaving: true}, {ID: "b", Group: "g"}, {ID: "c", Group: "g"}}))
		s.tick(40*ms, map[core.MemberID]direct.Status{"b": replica, "c": replica})
		Expect(s.take(direct.EffectClaim)).To(HaveLen(1))
		Expect(s.g.IsPrimaryDrained(s.at, write)).To(BeFalse())
		Expect(places()).To(BeFalse())
	})

	It("gets new work again when its entry takes the leaving back", func() {
		s.tick(200*ms, answering)
		Expect(places()).To(BeFalse())
		list(false)
		Expect(places()).To(BeTrue())
		list(true)
		s.tick(drainLimit-100*ms, answering)
		Expect(places()).To(BeTrue(), "the time starts anew")
	})

	// Guards against work for a member that has been removed from the host list and still answers.
	It("is treated in the same way when its entry is gone", func() {
		list(false)
		s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{{ID: "b", Group: "g", Leaving: true}, {ID: "c", Group: "g", Leaving: true}}))
		s.tick(drainLimit-100*ms, answering)
		Expect(places()).To(BeTrue())
		s.tick(200*ms, answering)
		Expect(places()).To(BeFalse())
	})
})

var _ = Describe("a leaving primary that no member replaces", func() {
	// Guards against work for a member beyond drain_ms (7 s): the daemon was cut off from the store when the entry
	// changed, and counts from when it has read the list again. After 4 s it is in touch.
	It("gets no new work from a daemon that has learnt late that it is leaving", func() {
		s := newScript()
		s.g.SetDrainLimit(6 * time.Second)
		answering := map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica}
		s.tick(100*ms, answering)
		const cut, inTouchAfter = 5 * time.Second, 4 * time.Second
		for end := s.at.Add(cut); s.at < end; {
			s.advance(20 * ms)
			for _, e := range s.g.Tick(s.at) {
				if st, ok := answering[e.Member]; ok && e.Kind == direct.EffectProbe {
					s.status(e.Member, st)
				}
			}
		}
		s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{
			{ID: "a", Group: "g", Leaving: true}, {ID: "b", Group: "g", Leaving: true}, {ID: "c", Group: "g", Leaving: true},
		}))
		s.tick(inTouchAfter+500*ms, answering)
		_, ok := s.g.Place(s.at, direct.Requirement{Primary: true})
		Expect(ok).To(BeFalse(), "the list was last complete without the leaving 9.5 s before")
	})

	// Guards against callers that are turned away although a replica can serve them within its lag.
	It("does not have a read refused that a replica can serve as soon as it has the session's last commit", func() {
		s := newScript()
		s.g.SetDrainLimit(6 * time.Second)
		answering := map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica}
		s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{
			{ID: "a", Group: "g", Leaving: true}, {ID: "b", Group: "g"}, {ID: "c", Group: "g"},
		}))
		// The store is down, and each claim is refused.
		for range 65 {
			s.tick(100*ms, answering)
			if len(s.take(direct.EffectClaim)) > 0 {
				s.record(s.g.ClaimRefused(s.at, "store"))
			}
		}
		s.status("b", replica)
		s.status("c", replica)
		s.advance(ms)
		read := direct.Requirement{MaxAge: 2 * time.Second, Arrived: s.at, Session: core.Position{Term: 1, LSN: 11}, SessionAt: s.at}
		Expect(s.g.IsPrimaryDrained(s.at, read)).To(BeFalse(), "the replicas are at 10, some milliseconds behind")
	})
})
