package direct_test

import (
	"fmt"
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/policy"
)

// sharedScript returns the script of a group whose primary has no free slot and whose replica b is
// in this daemon's zone.
func sharedScript() *script {
	s := newScript()
	s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{
		{ID: "a", Group: "g", Addr: "a", Zone: "zone-2", Slots: 3},
		{ID: "b", Group: "g", Addr: "b", Zone: "zone-1", Slots: 3},
		{ID: "c", Group: "g", Addr: "c", Zone: "zone-3", Slots: 3},
	}))
	s.setPrimaryLoad(4)
	s.g.SetSharedLoad(true)
	return s
}

// peerRuns makes another home report what it has running on the members.
func (s *script) peerRuns(id core.DaemonID, a, b, c float64) {
	s.record(s.g.PeerReported(s.at, s.at, id, direct.Report{Group: "g", Primary: "a", Term: 1, SharesLoad: true, Members: []direct.MemberReport{
		{Member: "a", OpenConns: 4, Running: a}, {Member: "b", OpenConns: 4, Running: b}, {Member: "c", OpenConns: 4, Running: c}}}))
}

// loadOf returns the view of the member's load.
func (s *script) loadOf(id core.MemberID) *direct.LoadView { return s.g.View(s.at).Members[id].Load }

var _ = Describe("a read where load is shared", func() {
	// Guards against a member that all homes send statements to although each sees only its own: the
	// replica in this zone has none of this daemon's, and all its slots are in use.
	It("leaves its zone when other homes use the slots there", func() {
		s := sharedScript()
		s.peerRuns("d2", 3, 1, 0)
		Expect(s.placeRead()).To(Equal(core.MemberID("b")), "there are free slots")
		s.peerRuns("d3", 3, 3, 0)
		Expect(s.placeRead()).To(Equal(core.MemberID("c")))
	})

	// Guards against traffic between zones that gains less than it costs.
	It("stays in its zone when the other zone's member is a little less busy", func() {
		s := sharedScript()
		s.peerRuns("d2", 3, 0.8, 0)
		Expect(s.placeRead()).To(Equal(core.MemberID("b")))
	})

	// Guards against a primary that fills up with reads of homes that each have none there.
	It("runs on the primary only while all homes together leave it free slots", func() {
		s := newScript()
		s.placeInZones()
		s.setPrimaryLoad(1)
		s.g.SetSharedLoad(true)
		s.peerRuns("d2", 0.2, 0.5, 0.5)
		Expect(s.placeRead()).To(Equal(core.MemberID("a")))
		s.peerRuns("d2", 1.3, 0.2, 0.2)
		Expect(s.placeRead()).NotTo(Equal(core.MemberID("a")))
	})

	// Guards against filling the primary during an upgrade, when homes of the earlier version do not
	// report their load. The primary's status counts their statements.
	It("does not run on a full primary while some home does not share its load", func() {
		s := newScript()
		s.placeInZones()
		s.setPrimaryLoad(4)
		s.g.SetSharedLoad(true)
		s.g.SetHomes(2, true)
		s.peerRuns("d2", 0, 0, 0)
		Expect(s.placeRead()).To(Equal(core.MemberID("a")))
		s.g.SetHomes(3, true)
		s.record(s.g.PeerReported(s.at, s.at, "d3", direct.Report{Group: "g", Primary: "a", Term: 1, Members: []direct.MemberReport{{Member: "a", OpenConns: 3}}}))
		Expect(s.placeRead()).NotTo(Equal(core.MemberID("a")))
	})

	// Guards against filling the primary while homes are partitioned from each other and all reach it:
	// the load of the silent home is missing in the sum, but not in the primary's status.
	It("does not run on a full primary while a home is silent", func() {
		s := newScript()
		s.g.SetHomes(3, true)
		s.placeInZones()
		s.g.SetSharedLoad(true)
		s.peerRuns("d3", 3, 0, 0)
		s.tick(direct.PeerReportTTL+100*ms, map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica})
		s.peerRuns("d2", 0, 0, 0)
		Expect(s.placeRead()).NotTo(Equal(core.MemberID("a")))
	})

	// Guards against reads on a primary whose load is not known.
	It("does not run on the primary without a recent status", func() {
		s := newScript()
		s.placeInZones()
		s.setPrimaryLoad(1)
		s.g.SetSharedLoad(true)
		s.g.SetHomes(2, true)
		s.peerRuns("d2", 0, 0, 0)
		Expect(s.placeRead()).To(Equal(core.MemberID("a")))
		s.advance(3*direct.RoleProbeInterval + ms)
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{}))
		s.peerRuns("d2", 0, 0, 0)
		Expect(s.g.HasLease(s.at)).To(BeTrue())
		Expect(s.placeRead()).NotTo(Equal(core.MemberID("a")))
	})

	// Guards against reports of a lost home that keep reads away from a member.
	It("ignores a home that reports no more", func() {
		s := sharedScript()
		s.peerRuns("d2", 3, 4, 0)
		s.tick(direct.PeerReportTTL+100*ms, map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica})
		s.peerRuns("d3", 3, 0, 0)
		Expect(s.placeRead()).To(Equal(core.MemberID("b")))
	})

	// Guards against herding on a member that has just restarted or joined: every home finds it idle,
	// and would send it reads until the next reports.
	DescribeTable("expects other homes to use a member as this one does after it",
		func(id core.MemberID, started int64) {
			s := sharedScript()
			s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{{ID: "b", Group: "g", Addr: "b", Zone: "zone-1", Slots: 3, Started: 1}}))
			for _, peer := range []core.DaemonID{"d2", "d3", "d4"} {
				s.peerRuns(peer, 3, 0, 0)
			}
			s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{{ID: id, Group: "g", Addr: "b2", Zone: "zone-1", Slots: 3, Started: started}}))
			s.record(s.g.Tick(s.at))
			s.g.ConnOpened(id)
			s.advance(900 * ms)
			s.record(s.g.Tick(s.at))
			Expect(s.loadOf(id).Others).To(BeNumerically("~", 3*s.loadOf(id).Own, 0.01))
			Expect(s.loadOf(id).Own).To(BeNumerically(">", 0.4))
		},
		Entry("restarts", core.MemberID("b"), int64(2)),
		Entry("joins", core.MemberID("new"), int64(1)),
	)

	// Guards against counting statements that ended with a member's earlier incarnation.
	It("ignores what ran on another incarnation of a member", func() {
		s := sharedScript()
		report := func(started int64) {
			s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, SharesLoad: true,
				Members: []direct.MemberReport{{Member: "b", Started: started, OpenConns: 4, Running: 4}}}))
		}
		s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{{ID: "b", Group: "g", Addr: "b", Zone: "zone-1", Slots: 3, Started: 2}}))
		report(1)
		Expect(s.loadOf("b").Others).To(BeZero())
		report(2)
		Expect(s.loadOf("b").Others).To(BeNumerically("~", 4))
	})

	// Guards against a wrong report that makes a member look idle or busy beyond what its sender can run.
	It("counts no more statements of another home than it has connections", func() {
		s := sharedScript()
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, SharesLoad: true,
			Members: []direct.MemberReport{{Member: "b", OpenConns: 2, Running: 400}}}))
		Expect(s.loadOf("b").Others).To(BeNumerically("~", 2))
	})

	// Guards against service times that are divided by a wait that was reported only after the statement
	// had run.
	It("learns the service time with the wait that was expected when the read was placed", func() {
		s := sharedScript()
		s.peerRuns("d2", 3, 0, 0)
		p, ok := s.g.Place(s.at, s.read(10_000*ms))
		Expect(ok).To(BeTrue())
		Expect(p.Member).To(Equal(core.MemberID("b")))
		for _, peer := range []core.DaemonID{"d3", "d4", "d5"} {
			s.peerRuns(peer, 3, 4, 0)
		}
		s.g.RecordService(s.at, &p, "read", 40*ms)
		Expect(s.loadOf("c").ServiceMS["read"]).To(BeNumerically("~", 40, 0.5))
	})

	// Guards against reads that each wait for the answer timeout of a member that hangs on part of its
	// work and answers the rest fast.
	It("avoids a member that leaves statements unanswered more than one that fails them", func() {
		staysAfter := func(outcome func(s *script)) bool {
			s := sharedScript()
			s.answerAt("b", 10)
			outcome(s)
			for range 6 {
				s.answerAt("b", 10)
			}
			s.peerRuns("d2", 3, 0, 2.5)
			return s.placeRead() == "b"
		}
		Expect(staysAfter(func(s *script) {
			s.record(s.g.StatementAnswered(s.at, s.at, "b", core.Position{Term: 1, LSN: 10}, direct.Failed))
		})).To(BeTrue())
		Expect(staysAfter(func(s *script) { s.record(s.g.StatementUnanswered(s.at, s.at, "b", true)) })).To(BeTrue(), "it closed the connection")
		Expect(staysAfter(func(s *script) { s.record(s.g.StatementUnanswered(s.at, s.at, "b", false)) })).To(BeFalse())
	})

	It("reports the mean number of its statements", func() {
		s := sharedScript()
		s.g.ConnOpened("b")
		for range 100 {
			s.advance(30 * ms)
			s.record(s.g.Tick(s.at))
		}
		r := s.g.Report(s.at)
		Expect(r.SharesLoad).To(BeTrue())
		Expect(r.Members[len(r.Members)-1].Running).To(BeNumerically("~", 1, 0.1))
	})

	// Guards against assuming that daemons which are no homes send reads to the members.
	It("shares no load from a daemon that is no home and has no connection", func() {
		s := sharedScript()
		Expect(s.g.Report(s.at).SharesLoad).To(BeTrue())
		s.g.SetHomes(6, false)
		Expect(s.g.Report(s.at).SharesLoad).To(BeFalse())
		s.g.ConnOpened("b")
		Expect(s.g.Report(s.at).SharesLoad).To(BeTrue())
	})

	DescribeTable("is placed as before, and shares nothing,",
		func(off func(s *script)) {
			s := sharedScript()
			off(s)
			s.peerRuns("d2", 3, 4, 0)
			Expect(s.placeRead()).To(Equal(core.MemberID("b")))
			Expect(s.g.Report(s.at).SharesLoad).To(BeFalse())
		},
		Entry("where the condition is not met", func(s *script) { s.g.SetSharedLoad(false) }),
		Entry("with the mechanism switched off", func(s *script) {
			set, err := policy.All.Without("shared-load")
			Expect(err).NotTo(HaveOccurred())
			s.g.SetPolicy(set)
			s.g.SetSharedLoad(true)
		}),
	)
})

var _ = Describe("the condition of shared load", func() {
	daemon := func(id core.DaemonID, weight float64) direct.Daemon {
		return direct.Daemon{ID: id, Zone: "zone-1", Weight: weight}
	}

	It("is that hosts differ, also if the weak ones are only counted", func() {
		even := []direct.Daemon{daemon("d1", 0.8), daemon("d2", 0.8)}
		Expect(direct.NewRoster(even).HasUnevenHosts(even)).To(BeFalse())
		Expect(direct.Roster{Daemons: 17, Eligible: 2}.WithEntry(daemon("weak", 0.2)).HasUnevenHosts(even)).To(BeTrue())
		uneven := append(even, daemon("d3", 0.5))
		Expect(direct.NewRoster(uneven).HasUnevenHosts(uneven)).To(BeTrue())
	})

	// Guards against sharing load in a fleet of equal hosts that has shrunk: its roster counts more
	// daemons than are eligible.
	It("is not met by equal hosts of which some have left", func() {
		var hosts []direct.Daemon
		for i := range 20 {
			hosts = append(hosts, daemon(core.DaemonID(fmt.Sprint("d", i)), 0.8))
		}
		roster := direct.NewRoster(hosts).Updated(hosts[:10])
		Expect(roster.Eligible).To(BeNumerically("<", roster.Daemons))
		Expect(roster.HasUnevenHosts(hosts[:10])).To(BeFalse())
	})

	// Guards against ending it when the weak hosts of a large fleet are no longer listed.
	It("is still met in a large fleet whose weak hosts are no longer listed", func() {
		var hosts []direct.Daemon
		for i := range 20 {
			hosts = append(hosts, daemon(core.DaemonID(fmt.Sprint("d", i)), 0.2+0.6*float64(i%2)))
		}
		roster := direct.NewRoster(hosts).Updated(nil)
		Expect(roster.HasUnevenHosts(nil)).To(BeTrue())
		Expect(direct.NewRoster(hosts[:10]).Updated(nil).HasUnevenHosts(nil)).To(BeFalse(), "a small fleet lists all")
	})

	// Guards against counting daemons that have not reported a weight, or a wrong one, as different.
	It("ignores weights that are not finite and positive", func() {
		hosts := []direct.Daemon{daemon("d1", 0), daemon("d2", 0.8), daemon("d3", math.NaN()), daemon("d4", math.Inf(1)), daemon("d5", -1), daemon("d6", 0.8)}
		Expect(direct.Roster{}.HasUnevenHosts(hosts)).To(BeFalse())
	})

	It("is that members differ in their slots", func() {
		s := newScript()
		Expect(s.g.HasUnevenMembers()).To(BeFalse())
		s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{{ID: "a", Group: "g", Slots: 3}, {ID: "b", Group: "g", Slots: 6}}))
		Expect(s.g.HasUnevenMembers()).To(BeTrue())
	})
})
