package direct_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/policy"
)

// setPrimaryLoad makes primary a report n running statements, including the status request.
func (s *script) setPrimaryLoad(n int) {
	for range 12 {
		s.advance(20 * ms)
		st := primary
		st.RunningStatements = n
		s.status("a", st)
	}
}

// placeInZones puts the primary into this daemon's zone and the replicas into others.
func (s *script) placeInZones() {
	s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{
		{ID: "a", Group: "g", Addr: "a", Zone: "zone-1", Slots: 3},
		{ID: "b", Group: "g", Addr: "b", Zone: "zone-2", Slots: 3},
		{ID: "c", Group: "g", Addr: "c", Zone: "zone-3", Slots: 3},
	}))
}

// placeRead returns the member on which a read with a large maximum age runs.
func (s *script) placeRead() core.MemberID {
	p, ok := s.g.Place(s.at, s.read(10_000*ms))
	Expect(ok).To(BeTrue())
	return p.Member
}

var _ = Describe("a read in the primary's own zone", func() {
	// Guards against unnecessary traffic between zones. Callers read in the zone of a nearly idle
	// primary, but each read ran in another zone. These reads made up a third of the bytes between
	// zones.
	It("runs on the primary while the primary has free slots", func() {
		s := newScript()
		s.placeInZones()
		s.setPrimaryLoad(1)
		Expect(s.placeRead()).To(Equal(core.MemberID("a")))
	})

	// The primary runs all writes and all reads that must see every commit. Additional reads would
	// delay these, which cannot run on any other member.
	It("does not run on a primary without a free slot", func() {
		s := newScript()
		s.placeInZones()
		s.setPrimaryLoad(4)
		Expect(s.placeRead()).NotTo(Equal(core.MemberID("a")))
	})

	It("does not run on a primary whose load is unknown", func() {
		s := newScript()
		s.placeInZones()
		s.setPrimaryLoad(1)
		s.tick(3*direct.RoleProbeInterval, map[core.MemberID]direct.Status{"b": replica, "c": replica})
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, PrimarySeen: true, LeaseRemaining: 500 * ms}))
		Expect(s.placeRead()).NotTo(Equal(core.MemberID("a")))
	})

	It("uses the primary's load from another daemon's report", func() {
		s := newScript()
		s.placeInZones()
		s.setPrimaryLoad(1)
		s.advance(100 * ms)
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, Load: 3, LoadAge: 10 * ms}))
		Expect(s.placeRead()).NotTo(Equal(core.MemberID("a")))
	})

	It("does not run on the primary if place-by-load is switched off", func() {
		s := newScript()
		s.placeInZones()
		s.setPrimaryLoad(1)
		set, err := policy.All.Without("place-by-load")
		Expect(err).NotTo(HaveOccurred())
		s.g.SetPolicy(set)
		Expect(s.placeRead()).NotTo(Equal(core.MemberID("a")))
	})
})

var _ = Describe("a read while the replica in its zone runs another statement", func() {
	// Guards against treating a free slot as a queue. The replica has three slots, one of which is
	// in use, and reads went to another zone as if they had to wait.
	It("runs on that replica until its slots are in use, then elsewhere", func() {
		s := newScript()
		s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{
			{ID: "a", Group: "g", Addr: "a", Zone: "zone-2", Slots: 3},
			{ID: "b", Group: "g", Addr: "b", Zone: "zone-1", Slots: 3},
			{ID: "c", Group: "g", Addr: "c", Zone: "zone-3", Slots: 3},
		}))
		s.setPrimaryLoad(4)
		s.g.ConnOpened("b")
		Expect(s.placeRead()).To(Equal(core.MemberID("b")))
		s.g.ConnOpened("b")
		Expect(s.placeRead()).To(Equal(core.MemberID("b")))
		s.g.ConnOpened("b")
		Expect(s.placeRead()).To(Equal(core.MemberID("c")))
	})
})

var _ = Describe("the duration of an outage", func() {
	write := direct.Requirement{Primary: true}

	// The primary is cut off from this daemon and the store is unavailable, so the end of the
	// outage cannot be predicted. A replica still serves reads with a large maximum age.
	It("counts while a statement cannot be served, unless the primary is being changed", func() {
		s := newScript()
		s.setPrimaryLoad(4)
		Expect(s.g.OutageDuration(s.at, write)).To(BeZero())
		s.tick(3*direct.LeaseDuration, map[core.MemberID]direct.Status{"b": replica})
		Expect(s.g.OutageDuration(s.at, write)).To(BeNumerically(">", direct.LeaseDuration))
		Expect(s.g.OutageDuration(s.at, s.read(10_000*ms))).To(BeZero(), "b serves it")
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, Claiming: true}))
		Expect(s.g.OutageDuration(s.at, write)).To(BeZero(), "d2 is changing the primary")
	})

	It("ends with the read of the promotion lock that makes the primary usable", func() {
		s := newScript()
		s.tick(2*direct.LeaseDuration, map[core.MemberID]direct.Status{"a": primary})
		Expect(s.g.OutageDuration(s.at, write)).NotTo(BeZero())
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{}))
		Expect(s.g.OutageDuration(s.at, write)).To(BeZero(), "before the next tick")
	})
})

var _ = Describe("a steady group", func() {
	write := direct.Requirement{Primary: true}

	// The primary is replaced while statements wait. Guards against refusals of statements that only the
	// change delays.
	It("has had a usable primary that is not being changed for some time", func() {
		s := newScript()
		s.setPrimaryLoad(4)
		Expect(s.g.IsSteady(s.at, write)).To(BeTrue())
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, Claiming: true}))
		Expect(s.g.IsSteady(s.at, write)).To(BeFalse(), "d2 is changing the primary")
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1}))
		Expect(s.g.IsSteady(s.at, write)).To(BeFalse(), "it has just ended")
		all := map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica}
		s.tick(direct.SteadyDelay, all)
		Expect(s.g.IsSteady(s.at, write)).To(BeTrue())
		s.tick(3*direct.LeaseDuration, map[core.MemberID]direct.Status{"b": replica})
		Expect(s.g.IsSteady(s.at, s.read(10_000*ms))).To(BeFalse(), "the primary is unusable")
	})

	// A member refuses statements although few run there. Guards against refusals by a forecast from waits
	// that say nothing about the load.
	It("has had no member for the statement that refused others because of load", func() {
		s := newScript()
		s.setPrimaryLoad(4)
		s.record(s.g.StatementAnswered(s.at, s.at, "b", core.Position{}, direct.Busy))
		Expect(s.g.IsSteady(s.at, write)).To(BeTrue())
		Expect(s.g.IsSteady(s.at, s.read(10_000*ms))).To(BeFalse())
		s.record(s.g.StatementAnswered(s.at, s.at, "a", core.Position{}, direct.Busy))
		s.tick(direct.BusyBackoff, nil)
		Expect(s.g.IsSteady(s.at, write)).To(BeFalse())
	})
})
