package execution_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/direct"
	"limpetspan/core/execution"
)

func TestExecution(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "execution")
}

var _ = Describe("a statement's history", func() {
	// Guards against "not run" for a statement of which one send may have run, whatever the outcomes
	// of the others.
	DescribeTable("proves that the statement did not run only if no send may have run",
		func(proved bool, outcomes ...direct.Outcome) {
			var h execution.History
			for _, o := range outcomes {
				h.End(h.Begin("i-1"), o)
			}
			Expect(h.NotRun().Proved()).To(Equal(proved))
		},
		Entry("never sent", true),
		Entry("refused each time", true, direct.Busy, direct.Lagging, direct.NotPrimary, direct.WrongMember, direct.ConnectionLimit, direct.NotPrepared),
		Entry("never left", true, direct.NotSent, direct.Denied, direct.OverQuota),
		Entry("lost, then refused", false, direct.ConnLost, direct.Busy),
		Entry("refused, then lost", false, direct.Busy, direct.Busy, direct.Busy, direct.ConnLost),
		Entry("lost, then not sent", false, direct.ConnLost, direct.NotSent, direct.OverQuota),
		Entry("failed", false, direct.Failed, direct.Denied),
		Entry("served", false, direct.Succeeded),
		Entry("an outcome that is not known", false, direct.Outcome(200)),
	)

	It("is proved by no zero value", func() {
		Expect(execution.NotRun{}.Proved()).To(BeFalse())
	})

	// Guards against a proof while a send is under way, and against a second outcome of one send that
	// hides the missing outcome of another.
	It("proves nothing while a send has no outcome", func() {
		var h execution.History
		first, second := h.Begin("i-1"), h.Begin("i-2")
		third := h.Begin("edge-3")
		h.End(first, direct.Busy)
		h.End(first, direct.Busy)
		h.End(third, direct.NotSent)
		Expect(h.NotRun().Proved()).To(BeFalse())
		Expect(h.String()).To(Equal("i-1: refused, i-2: no outcome, edge-3: not sent"))
		h.End(second, direct.Busy)
		Expect(h.NotRun().Proved()).To(BeTrue())
	})

	// Guards against a proof from a first outcome that a later one contradicts.
	It("proves nothing once a send turns out to have run", func() {
		var h execution.History
		sent := h.Begin("i-1")
		h.End(sent, direct.Busy)
		h.End(sent, direct.Succeeded)
		Expect(h.NotRun().Proved()).To(BeFalse())
	})
})
