package direct_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/policy"
)

// busy has the primary a say how many statements it has under way, the status included.
func (s *script) setPrimaryLoad(n int) {
	for range 12 {
		s.advance(20 * ms)
		st := primary
		st.RunningStatements = n
		s.status("a", st)
	}
}

// zones puts the primary into this daemon's zone and the replicas into others.
func (s *script) placeInZones() {
	s.record(s.g.UpdateMembers(s.at, s.at, []direct.Member{
		{ID: "a", Group: "g", Addr: "a", Zone: "zone-1", Slots: 3},
		{ID: "b", Group: "g", Addr: "b", Zone: "zone-2", Slots: 3},
		{ID: "c", Group: "g", Addr: "c", Zone: "zone-3", Slots: 3},
	}))
}

// placeRead is where a read that may be old runs.
func (s *script) placeRead() core.MemberID {
	p, ok := s.g.Place(s.at, s.read(10_000*ms))
	Expect(ok).To(BeTrue())
	return p.Member
}

var _ = Describe("a read in the primary's own zone", func() {
	// Callers read in the zone of a primary that is nearly idle. Each read crossed to
	// another zone and back, which took a third of the bytes between zones.
	It("runs on the primary while that has slots to spare", func() {
		s := newScript()
		s.placeInZones()
		s.setPrimaryLoad(1)
		Expect(s.placeRead()).To(Equal(core.MemberID("a")))
	})

	// The primary has all writes and the reads of callers that must see every commit.
	// Reads on top of them would make these wait, which have no other member.
	It("leaves a primary alone that has none", func() {
		s := newScript()
		s.placeInZones()
		s.setPrimaryLoad(4)
		Expect(s.placeRead()).NotTo(Equal(core.MemberID("a")))
	})

	It("leaves a primary alone whose load is not known", func() {
		s := newScript()
		s.placeInZones()
		s.setPrimaryLoad(1)
		s.tick(3*direct.RoleProbeInterval, map[core.MemberID]direct.Status{"b": replica, "c": replica})
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, PrimarySeen: true, LeaseRemaining: 500 * ms}))
		Expect(s.placeRead()).NotTo(Equal(core.MemberID("a")))
	})

	It("knows the primary's load from another daemon's status", func() {
		s := newScript()
		s.placeInZones()
		s.setPrimaryLoad(1)
		s.advance(100 * ms)
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, Load: 3, LoadAge: 10 * ms}))
		Expect(s.placeRead()).NotTo(Equal(core.MemberID("a")))
	})

	It("leaves the primary alone if that mechanism is switched off", func() {
		s := newScript()
		s.placeInZones()
		s.setPrimaryLoad(1)
		set, err := policy.All.Without("place-by-load")
		Expect(err).NotTo(HaveOccurred())
		s.g.SetPolicy(set)
		Expect(s.placeRead()).NotTo(Equal(core.MemberID("a")))
	})
})

var _ = Describe("a read whose own zone's replica runs another statement", func() {
	// The replica has three slots, one of which is in use. Reads went to another zone as
	// if they had to wait.
	It("runs there all the same, and elsewhere once its slots are in use", func() {
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

var _ = Describe("the age of an outage", func() {
	write := direct.Requirement{Primary: true}

	// The primary is cut from this daemon and the store is away: nobody can say when it
	// ends. A replica still serves reads that may be old.
	It("counts what nobody serves, and nothing while somebody is at work on it", func() {
		s := newScript()
		s.setPrimaryLoad(4)
		Expect(s.g.OutageDuration(s.at, write)).To(BeZero())
		s.tick(3*direct.LeaseDuration, map[core.MemberID]direct.Status{"b": replica})
		Expect(s.g.OutageDuration(s.at, write)).To(BeNumerically(">", direct.LeaseDuration))
		Expect(s.g.OutageDuration(s.at, s.read(10_000*ms))).To(BeZero(), "b serves it")
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, Claiming: true}))
		Expect(s.g.OutageDuration(s.at, write)).To(BeZero(), "d2 changes the primary")
	})

	It("ends with the read of the promotion lock that makes the primary usable", func() {
		s := newScript()
		s.tick(2*direct.LeaseDuration, map[core.MemberID]direct.Status{"a": primary})
		Expect(s.g.OutageDuration(s.at, write)).NotTo(BeZero())
		s.record(s.g.LockRead(s.at, s.at, direct.LockState{}))
		Expect(s.g.OutageDuration(s.at, write)).To(BeZero(), "before the next tick")
	})
})
