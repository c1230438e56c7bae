package direct_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

// commit makes the primary answer a write with the position.
func (s *script) commit(lsn core.LSN) {
	s.record(s.g.StatementAnswered(s.at, s.at, "a", core.Position{Term: 1, LSN: lsn}, direct.Succeeded))
}

// answerAt makes a replica answer with the position.
func (s *script) answerAt(id core.MemberID, lsn core.LSN) {
	s.record(s.g.StatementAnswered(s.at, s.at, id, core.Position{Term: 1, LSN: lsn}, direct.Succeeded))
}

func (s *script) read(age time.Duration) direct.Requirement {
	return direct.Requirement{MaxAge: age, Arrived: s.at}
}

var _ = Describe("the placement of a read", func() {
	It("is a replica with the oldest position that the age allows", func() {
		s := newScript()
		s.tick(400*ms, map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica})
		s.commit(20)
		s.advance(100 * ms)
		s.commit(30)
		p, ok := s.g.Place(s.at, s.read(100*ms))
		Expect(ok).To(BeTrue())
		Expect(p.Primary).To(BeFalse())
		Expect(p.MinPosition).To(Equal(core.Position{Term: 1, LSN: 20}))
	})

	It("covers the session's own commit", func() {
		s := newScript()
		s.commit(20)
		s.answerAt("b", 20)
		need := s.read(500 * ms)
		need.Session, need.SessionAt = core.Position{Term: 1, LSN: 20}, s.at
		p, ok := s.g.Place(s.at, need)
		Expect(ok).To(BeTrue())
		Expect(p.Member).To(Equal(core.MemberID("b")))
		Expect(p.MinPosition).To(Equal(core.Position{Term: 1, LSN: 20}))
	})

	// Guards against a session whose reads fail permanently. The session's last commit, 1.20, was lost
	// with its primary; the new primary's log continues from 1.15 with 2.16. No log ever covers
	// 1.20, and every member would refuse the reads as behind.
	It("requires no position of a lost term", func() {
		s := newScript()
		s.commit(20)
		s.status("b", direct.Status{Role: core.RolePrimary, Term: 2, Position: core.Position{Term: 1, LSN: 15}})
		s.status("c", direct.Status{Role: core.RoleReplica, Term: 2, Position: core.Position{Term: 1, LSN: 15}})
		s.status("b", direct.Status{Role: core.RolePrimary, Term: 2, Position: core.Position{Term: 1, LSN: 15}})
		need := s.read(500 * ms)
		need.Session, need.SessionAt = core.Position{Term: 1, LSN: 20}, s.at
		p, ok := s.g.Place(s.at, need)
		Expect(ok).To(BeTrue())
		Expect(p.MinPosition).To(Equal(core.Position{Term: 1, LSN: 15}))
	})

	// Guards against a session that misses its own commit. It has committed 2.20 under a new
	// primary and moves to a home that still uses the old one. The newest sample there is of the
	// old term, and a replica that covers it may lack the session's commit.
	It("covers the session's commit of a term that this daemon has not seen", func() {
		s := newScript()
		s.commit(20)
		s.answerAt("b", 20)
		need := s.read(500 * ms)
		need.Session, need.SessionAt = core.Position{Term: 2, LSN: 20}, s.at.Add(-100*ms)
		p, ok := s.g.Place(s.at, need)
		Expect(ok).To(BeTrue())
		Expect(p.MinPosition).To(Equal(core.Position{Term: 2, LSN: 20}))
	})

	// Both replicas are 300 ms behind. Reads that were tried there first would be refused twice
	// before they run on the primary.
	It("is not a replica whose measured lag is longer than the position's age", func() {
		s := newScript()
		s.commit(20)
		s.advance(300 * ms)
		s.commit(30)
		s.answerAt("b", 10)
		s.answerAt("c", 10)
		need := s.read(500 * ms)
		need.Session, need.SessionAt = core.Position{Term: 1, LSN: 30}, s.at
		p, ok := s.g.Place(s.at, need)
		Expect(ok).To(BeTrue())
		Expect(p.Primary).To(BeTrue())
	})

	It("is the primary if no sample is recent enough", func() {
		s := newScript()
		s.tick(400*ms, map[core.MemberID]direct.Status{"b": replica, "c": replica})
		p, ok := s.g.Place(s.at, s.read(10*ms))
		Expect(ok).To(BeTrue())
		Expect(p.Primary).To(BeTrue())
	})

	It("is impossible without a sample and a lease", func() {
		s := newScript()
		s.advance(direct.LeaseDuration)
		_, ok := s.g.Place(s.at, s.read(10*ms))
		Expect(ok).To(BeFalse())
	})

	// Guards against running out of connections after a power failure. Three hosts fail, and the
	// members keep their connections for seconds. The remaining daemons must not have used up the
	// rest before.
	It("opens more than the fair share only below the soft limit of all daemons", func() {
		s := newScript()
		write := direct.Requirement{Primary: true, Arrived: s.at}
		for range s.g.GuaranteedConns("a") {
			s.g.ConnOpened("a")
		}
		_, ok := s.g.Place(s.at, write)
		Expect(ok).To(BeTrue(), "below the soft limit")
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1,
			Members: []direct.MemberReport{{Member: "a", OpenConns: 14}}}))
		_, ok = s.g.Place(s.at, write)
		Expect(ok).To(BeFalse(), "at the soft limit")
	})

	// Guards against an overload that outlasts its cause. A replica was slow for a while and its
	// reads went to the primary, whose queue filled up. The primary refuses further statements at
	// once, and callers retry them.
	It("waits until a member that refused because of load has finished half of its work", func() {
		s := newScript()
		write := direct.Requirement{Primary: true, Arrived: s.at}
		for range 6 {
			s.g.ConnOpened("a")
		}
		s.record(s.g.StatementAnswered(s.at, s.at, "a", core.Position{}, direct.Busy))
		s.advance(direct.BusyBackoff)
		s.g.ConnIdle("a", "")
		s.g.ConnIdle("a", "")
		_, ok := s.g.Place(s.at, write)
		Expect(ok).To(BeFalse(), "four of six are still in use")
		s.g.ConnIdle("a", "")
		s.g.ConnIdle("a", "")
		_, ok = s.g.Place(s.at, write)
		Expect(ok).To(BeTrue(), "two are")
	})

	// The host list drops a member that the store cannot reach. The member still answers, and after
	// an outage of the store its entry is back within two seconds.
	It("stays on a member that has just disappeared from the host list, and leaves it later", func() {
		s := newScript()
		s.listMembers("a", "b")
		s.listMembers("b")
		write := direct.Requirement{Primary: true, Arrived: s.at}
		_, ok := s.g.Place(s.at, write)
		Expect(ok).To(BeTrue())
		s.tick(direct.UnlistedGrace+100*ms, map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica})
		claims := s.take(direct.EffectClaim)
		Expect(claims).NotTo(BeEmpty(), "the primary counts as leaving")
	})
})

var _ = Describe("the explanation of a refusal", func() {
	// The log line must distinguish a silent member from one that is behind and from one without a
	// free connection.
	It("gives the reason for each member", func() {
		s := newScript()
		s.g.ConnOpened("a")
		s.record(s.g.StatementAnswered(s.at, s.at, "a", core.Position{}, direct.Busy))
		s.advance(direct.BusyBackoff / 2)
		s.record(s.g.ProbeFailed(s.at, s.at, "b", true))
		text := s.g.Explain(s.at, direct.Requirement{MaxAge: time.Second, Arrived: s.at, Exclude: []core.MemberID{"c"}})
		Expect(text).To(Equal("a: refused because of load 20 ms ago; b: silent for 20 ms; c: already tried"))
		Expect(s.g.Explain(s.at, direct.Requirement{Primary: true})).To(ContainSubstring("c: is a replica"))
	})
})

var _ = Describe("a member whose own queue grows", func() {
	inUse := func(s *script, id core.MemberID, n int) {
		for range n {
			s.g.ConnOpened(id)
		}
	}

	// All homes together send a primary more than it can run. It refuses nothing yet, but each
	// statement waits there for most of its caller's latency goal.
	It("gets fewer concurrent statements when they take a large share of their latency goals", func() {
		s := newScript()
		inUse(s, "a", 4)
		_, ok := s.g.Place(s.at, direct.Requirement{Primary: true})
		Expect(ok).To(BeTrue())
		for range 10 {
			s.g.RecordLatency("a", 120*ms, 250*ms)
		}
		_, ok = s.g.Place(s.at, direct.Requirement{Primary: true})
		Expect(ok).To(BeFalse(), "4 are in use, and the window is 0.8 of that")
	})

	// Callers begin transactions, write and become silent. Their connections do no work at the
	// member and must not block others.
	It("is not limited by transactions that wait for their callers", func() {
		s := newScript()
		inUse(s, "a", 4)
		for range 10 {
			s.g.RecordLatency("a", 120*ms, 250*ms)
		}
		s.g.ConnIdleInTransaction("a")
		s.g.ConnIdleInTransaction("a")
		_, ok := s.g.Place(s.at, direct.Requirement{Primary: true})
		Expect(ok).To(BeTrue())
		s.g.ConnResumedTransaction("a")
		s.g.ConnResumedTransaction("a")
		_, ok = s.g.Place(s.at, direct.Requirement{Primary: true})
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("a connection for a team", func() {
	need := func(s *script, team core.TeamID) direct.Requirement {
		return direct.Requirement{Primary: true, Arrived: s.at, Team: team}
	}

	It("is an idle one of the team, or a new one within the limits", func() {
		s := newScript()
		s.g.ConnOpened("a")
		s.g.ConnIdle("a", "gates")
		p, ok := s.g.Place(s.at, need(s, "gates"))
		Expect(ok).To(BeTrue())
		Expect(p.Dial).To(BeFalse())
		p, ok = s.g.Place(s.at, need(s, "bays"))
		Expect(ok).To(BeTrue())
		Expect(p.Dial && !p.Replace).To(BeTrue())
	})

	// Guards against refusing whole teams after a power failure. The members count the connections
	// of dead hosts for three more seconds and refuse new ones, while a home has idle connections
	// of other teams. After one refused attempt the home opened none and refused every team without
	// a connection.
	It("replaces one of another team while the member is at its connection limit", func() {
		s := newScript()
		s.g.ConnOpened("a")
		s.g.ConnIdle("a", "gates")
		s.g.ConnFailed(s.at, s.at, "a", direct.ConnectionLimit)
		p, ok := s.g.Place(s.at, need(s, "bays"))
		Expect(ok).To(BeTrue())
		Expect(p.Dial && p.Replace).To(BeTrue())
		s.g.ConnTaken("a", "gates")
		_, ok = s.g.Place(s.at, need(s, "bays"))
		Expect(ok).To(BeFalse(), "none is idle")
	})
})
