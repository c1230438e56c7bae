package direct_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var _ = Describe("a replica that fails every read while its health checks succeed", func() {
	// failing returns a script in which replica b has failed n reads and c has served as many, each
	// of which took longer.
	failing := func(n int) *script {
		s := newScript()
		s.tick(400*ms, map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica})
		for range n {
			sent := s.at
			s.advance(ms)
			s.record(s.g.StatementAnswered(s.at, sent, "b", core.Position{}, direct.Failed))
			s.advance(20 * ms)
			s.record(s.g.StatementAnswered(s.at, sent, "c", core.Position{}, direct.Succeeded))
		}
		return s
	}
	place := func(s *script) core.MemberID {
		p, ok := s.g.Place(s.at, s.read(500*ms))
		Expect(ok).To(BeTrue())
		return p.Member
	}

	// The replica answers with errors at once, which makes it look like the fastest member and
	// attracts all reads of the group.
	It("gets no reads while another one serves them", func() {
		Expect(place(failing(8))).To(Equal(core.MemberID("c")))
	})

	It("is tried again after some seconds", func() {
		s := failing(8)
		s.tick(20*time.Second, map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica})
		Expect(place(s)).To(Equal(core.MemberID("b")))
	})

	// Invalid statements fail on every member.
	It("is treated like others that fail as often", func() {
		s := failing(0)
		for range 8 {
			sent := s.at
			s.advance(ms)
			s.record(s.g.StatementAnswered(s.at, sent, "b", core.Position{}, direct.Failed))
			s.record(s.g.StatementAnswered(s.at, sent, "c", core.Position{}, direct.Failed))
			s.record(s.g.StatementAnswered(s.at, sent, "b", core.Position{}, direct.Succeeded))
		}
		Expect(place(s)).To(Equal(core.MemberID("b")))
	})
})
