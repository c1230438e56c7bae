package direct_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var _ = Describe("a report with a term far above every known one", func() {
	const tooHigh = core.Term(1 << 40)
	confirmation := func(term core.Term) direct.Report {
		return direct.Report{Group: "g", Primary: "a", Term: 1, Members: []direct.MemberReport{
			{Member: "b", ConfirmedTerm: term}, {Member: "c", ConfirmedTerm: term}}}
	}

	// Guards against a group without a primary: no member ever leads in such a term, and each daemon would pass it on.
	DescribeTable("is ignored", func(report direct.Report) {
		s := newScript()
		s.record(s.g.PeerReported(s.at, s.at, "d2", report))
		Expect(s.g.Report(s.at)).To(And(HaveField("Term", core.Term(1)), HaveField("OrderedTerm", core.Term(0))))
		s.tick(2*direct.PromoteTimeout, map[core.MemberID]direct.Status{"a": primary, "b": replica, "c": replica})
		Expect(s.g.HasLease(s.at)).To(BeTrue())
		id, term := s.g.Primary()
		Expect(id).To(Equal(core.MemberID("a")))
		Expect(term).To(Equal(core.Term(1)))
		Expect(s.take(direct.EffectClaim)).To(BeEmpty())
	},
		Entry("as the newest one", direct.Report{Group: "g", Primary: "b", Term: tooHigh}),
		Entry("as that of an order", direct.Report{Group: "g", Primary: "a", Term: 1, OrderedTerm: tooHigh, Successor: "b"}),
	)

	// Guards against true confirmations that count as older than the false one.
	It("does not hide the confirmations that others report", func() {
		s := newScript()
		s.record(s.g.PeerReported(s.at, s.at, "d2", confirmation(tooHigh)))
		s.advance(100 * ms)
		until := s.g.LeaseExpiry(s.at)
		s.record(s.g.PeerReported(s.at, s.at, "d3", confirmation(1)))
		Expect(s.g.LeaseExpiry(s.at)).To(BeNumerically(">", until))
	})

	// Guards against a daemon that ignores the fleet after the store was restored several times, or that knows no term yet.
	It("is one that promotions cannot have reached meanwhile", func() {
		s := newScript()
		s.record(s.g.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "b", Term: 1000, OrderedTerm: 1001}))
		Expect(s.g.Report(s.at)).To(And(HaveField("Term", core.Term(1000)), HaveField("OrderedTerm", core.Term(1001))))
		fresh := direct.NewGroup("g", "d1", "zone-1")
		fresh.PeerReported(s.at, s.at, "d2", direct.Report{Group: "g", Primary: "b", Term: tooHigh})
		Expect(fresh.Report(s.at).Term).To(Equal(tooHigh))
	})
})
