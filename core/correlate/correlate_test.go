package correlate_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/correlate"
)

func TestCorrelate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "correlate")
}

var (
	receiptExpected = correlate.Expected{Kind: correlate.Receipt}
	begun           = correlate.Expected{Kind: correlate.Acknowledgement, InTransaction: true}
	acknowledged    = correlate.Expected{Kind: correlate.Acknowledgement}
	reportExpected  = correlate.Expected{Kind: correlate.Report}
)

func receipt(text string) correlate.Answer {
	return correlate.Answer{Kind: correlate.Receipt, Content: text}
}

func refusal(code string) correlate.Answer {
	return correlate.Answer{Kind: correlate.Refusal, Content: code}
}

func report(row string) correlate.Answer {
	return correlate.Answer{Kind: correlate.Report, Content: row}
}

func acknowledgement(inTransaction bool) correlate.Answer {
	return correlate.Answer{Kind: correlate.Acknowledgement, InTransaction: inTransaction}
}

var _ = Describe("an answer", func() {
	DescribeTable("is judged by what it names",
		func(e correlate.Expected, a correlate.Answer, verdict correlate.Verdict) {
			var m correlate.Matcher
			Expect(m.Judge(receiptExpected, receipt("r1"))).To(Equal(correlate.Own))
			Expect(m.Judge(e, a)).To(Equal(verdict))
		},
		Entry("a new receipt", receiptExpected, receipt("r2"), correlate.Own),
		Entry("a receipt that was given before", receiptExpected, receipt("r1"), correlate.Surplus),
		Entry("an acknowledgement where a receipt belongs", receiptExpected, acknowledgement(false), correlate.Surplus),
		Entry("a report where a receipt belongs", receiptExpected, report("primary"), correlate.Surplus),
		Entry("a second greeting", receiptExpected, correlate.Answer{Kind: correlate.Greeting}, correlate.Surplus),
		Entry("a refusal", receiptExpected, refusal("BUSY"), correlate.Unproved),
		Entry("a receipt where an acknowledgement belongs", begun, receipt("r2"), correlate.Surplus),
		Entry("the acknowledgement of a transaction's begin", begun, acknowledgement(true), correlate.Own),
		Entry("an acknowledgement outside a transaction where one was begun", begun, acknowledgement(false), correlate.Surplus),
		Entry("an acknowledgement in a transaction where none is open", acknowledged, acknowledgement(true), correlate.Surplus),
		Entry("a report", reportExpected, report("primary"), correlate.Unproved),
		Entry("a new receipt while nothing is expected", correlate.Expected{Kind: correlate.Nothing}, receipt("r2"), correlate.Surplus),
		Entry("a refusal while nothing is expected", correlate.Expected{Kind: correlate.Nothing}, refusal("BUSY"), correlate.Surplus),
		Entry("an acknowledgement where a report belongs", reportExpected, acknowledgement(false), correlate.Surplus),
	)

	// Guards against a new connection for each answer that is repeated.
	It("leaves the connection in step if it can be a repeat", func() {
		var m correlate.Matcher
		m.Judge(receiptExpected, receipt("r1"))
		m.Judge(receiptExpected, receipt("r1"))
		m.Judge(receiptExpected, correlate.Answer{Kind: correlate.Greeting})
		m.Judge(receiptExpected, refusal("BUSY"))
		m.Judge(correlate.Expected{Kind: correlate.Nothing}, refusal("BUSY"))
		Expect(m.InStep()).To(BeTrue())
	})

	DescribeTable("ends the connection if it can be no repeat",
		func(e correlate.Expected, a correlate.Answer) {
			var m correlate.Matcher
			m.Judge(receiptExpected, receipt("r1"))
			m.Judge(e, a)
			Expect(m.InStep()).To(BeFalse())
		},
		Entry("a new receipt while nothing is expected", correlate.Expected{Kind: correlate.Nothing}, receipt("r2")),
		Entry("a new receipt where an acknowledgement belongs", begun, receipt("r2")),
		Entry("an acknowledgement on a connection without any", receiptExpected, acknowledgement(false)),
		Entry("a refusal on a connection without any", correlate.Expected{Kind: correlate.Nothing}, refusal("BUSY")),
	)

	It("is recognized by its receipt among the last ones", func() {
		var m correlate.Matcher
		for i := range 3 * correlate.RememberedReceipts {
			Expect(m.Judge(receiptExpected, receipt(fmt.Sprint(i)))).To(Equal(correlate.Own))
		}
		for i := 2 * correlate.RememberedReceipts; i < 3*correlate.RememberedReceipts; i++ {
			Expect(m.Judge(receiptExpected, receipt(fmt.Sprint(i)))).To(Equal(correlate.Surplus))
		}
	})
})

var _ = Describe("an unproved answer", func() {
	// marker is an empty transaction and a statement that is prepared and dropped.
	marker := []correlate.Expected{begun, acknowledged, acknowledged, acknowledged}
	answered := []correlate.Answer{acknowledgement(true), acknowledgement(false), acknowledgement(false), acknowledgement(false)}
	before := func(a ...correlate.Answer) []correlate.Answer { return append(a, answered...) }

	DescribeTable("is confirmed or refuted by what follows it",
		func(e correlate.Expected, a correlate.Answer, follows []correlate.Answer, end correlate.Progress) {
			var m correlate.Matcher
			Expect(m.Judge(receiptExpected, receipt("r1"))).To(Equal(correlate.Own))
			m.Judge(e, a)
			Expect(m.Judge(e, a)).To(Equal(correlate.Unproved))
			c := m.Confirm(e, a, marker)
			var progress correlate.Progress
			for _, f := range follows {
				if progress = c.Judge(f); progress != correlate.Pending && progress != correlate.Dropped {
					break
				}
			}
			Expect(progress).To(Equal(end))
		},
		Entry("the marker", receiptExpected, refusal("BUSY"), answered, correlate.Confirmed),
		Entry("a part of the marker", receiptExpected, refusal("BUSY"), answered[:3], correlate.Pending),
		Entry("the statement's own answer", receiptExpected, refusal("BUSY"), before(receipt("r2")), correlate.Superseded),
		Entry("a marker of a peer that begins no transaction", receiptExpected, refusal("BUSY"),
			[]correlate.Answer{refusal("BUSY"), acknowledgement(false), acknowledgement(false), acknowledgement(false)}, correlate.Confirmed),
		Entry("a marker of a peer that reports and begins no transaction", reportExpected, report("replica 3.1"),
			[]correlate.Answer{refusal("BUSY"), acknowledgement(false), acknowledgement(false), acknowledgement(false)}, correlate.Confirmed),
		Entry("a time-out in place of the marker's first answer", receiptExpected, refusal("BUSY"),
			[]correlate.Answer{refusal("TIMEOUT"), acknowledgement(false), acknowledgement(false), acknowledgement(false)}, correlate.Refuted),
		Entry("a marker whose transaction is not rolled back", receiptExpected, refusal("BUSY"),
			[]correlate.Answer{acknowledgement(true), refusal("BUSY"), acknowledgement(true), acknowledgement(true)}, correlate.Refuted),
		Entry("its repeat in place of the marker's first answer", receiptExpected, refusal("BUSY"), before(refusal("BUSY")), correlate.Refuted),
		Entry("its repeat and the statement's own answer", receiptExpected, refusal("BUSY"), before(refusal("BUSY"), receipt("r2")), correlate.Superseded),
		Entry("an older receipt and the marker", receiptExpected, refusal("BUSY"), before(receipt("r1")), correlate.Confirmed),
		Entry("a failure and the marker", receiptExpected, refusal("BUSY"), before(refusal("FAILED")), correlate.Refuted),
		Entry("an acknowledgement that is not the marker's", receiptExpected, refusal("BUSY"), before(acknowledgement(false)), correlate.Refuted),
		Entry("a receipt of a statement in a transaction", receiptExpected, refusal("BUSY"),
			before(correlate.Answer{Kind: correlate.Receipt, Content: "r2", InTransaction: true}), correlate.Refuted),
		Entry("a report that is newer", reportExpected, report("primary 3.1"), before(report("primary 3.2")), correlate.Refuted),
		Entry("the same report and the marker", reportExpected, report("primary 3.1"), before(report("primary 3.1")), correlate.Confirmed),
		Entry("a receipt, though none is awaited", begun, refusal("BUSY"), before(receipt("r2")), correlate.Refuted),
	)

	// Guards against a statement that counts as served although a state change before it was refused.
	It("is not replaced if it can be no repeat", func() {
		var m correlate.Matcher
		m.Judge(receiptExpected, refusal("BUSY"))
		Expect(m.Confirm(receiptExpected, refusal("BUSY"), marker).Judge(receipt("r2"))).To(Equal(correlate.Refuted))
	})

	// Guards against a refusal that is given again in place of the lost answer to a request that committed.
	DescribeTable("is no proof that a request did not commit once the log has moved",
		func(earlier, position string, end correlate.Progress) {
			var m correlate.Matcher
			at := func(a correlate.Answer, position string) correlate.Answer {
				a.Position = position
				return a
			}
			commit := correlate.Expected{Kind: correlate.Receipt, Commits: true}
			m.Judge(commit, at(refusal(earlier), "3.1"))
			m.Judge(commit, at(refusal("BUSY"), "3.1"))
			c := m.Confirm(commit, at(refusal("BUSY"), "3.1"), marker[:1])
			Expect(c.Judge(at(answered[0], position))).To(Equal(end))
		},
		Entry("after the same refusal", "BUSY", "3.2", correlate.Refuted),
		Entry("after the same refusal, with an unmoved log", "BUSY", "3.1", correlate.Confirmed),
		Entry("after another refusal", "READONLY", "3.2", correlate.Confirmed),
	)

	It("is replaced by the statement's own answer, after which the marker's come", func() {
		var m correlate.Matcher
		m.Judge(receiptExpected, refusal("BUSY"))
		m.Judge(receiptExpected, refusal("BUSY"))
		c := m.Confirm(receiptExpected, refusal("BUSY"), marker)
		Expect(c.Judge(receipt("r2"))).To(Equal(correlate.Superseded))
		for _, a := range answered[:3] {
			Expect(c.Judge(a)).To(Equal(correlate.Pending))
		}
		Expect(c.Judge(answered[3])).To(Equal(correlate.Confirmed))
		Expect(m.InStep()).To(BeTrue())
	})
})

var _ = Describe("a marker", func() {
	It("leaves the connection as it was, and differs for each number", func() {
		words := map[string]bool{}
		for n := range 1 << correlate.MarkerBits {
			word, prepared, open := "", false, false
			for _, step := range correlate.Marker(n).Steps() {
				switch step {
				case correlate.BeginRead, correlate.Rollback:
					Expect(open).To(Equal(step == correlate.Rollback))
					open = !open
				case correlate.Prepare, correlate.Deallocate:
					Expect(prepared).To(Equal(step == correlate.Deallocate))
					prepared = !prepared
				}
				word += fmt.Sprint(step.Expected().InTransaction)
			}
			Expect(prepared || open).To(BeFalse())
			words[word] = true
		}
		Expect(words).To(HaveLen(1 << correlate.MarkerBits))
	})
})
