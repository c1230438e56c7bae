package target_test

import (
	"context"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/target"
)

// controlOf returns a control client of a member that follows the script, and the number of its connections that
// ended out of step.
func controlOf(what script) (*target.Control, *atomic.Int32) {
	GinkgoHelper()
	what.state = newScriptedState()
	control := (&target.Dialer{User: "u", Database: "d"}).Control(listenScripted(what))
	DeferCleanup(control.Close)
	outOfStep := &atomic.Int32{}
	control.OnOutOfStep = func(error) { outOfStep.Add(1) }
	return control, outOfStep
}

// controlContext bounds the calls to a member that withholds answers.
func controlContext(ctx SpecContext) context.Context {
	bounded, cancel := context.WithTimeout(ctx, answerTimeout)
	DeferCleanup(cancel)
	return bounded
}

func statusTwice(ctx context.Context, control *target.Control) {
	GinkgoHelper()
	for range 2 {
		status, err := control.Status(ctx, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Term).To(BeEquivalentTo(1))
	}
}

var _ = Describe("an answer on a control connection that comes twice", func() {
	// Guards against an older status that is read as the state after a fence or a promotion.
	DescribeTable("is not that to a change of the term",
		func(spec SpecContext, sql string, change func(*target.Control, context.Context, core.Term) (core.Status, error),
			role core.Role, repeat int, late bool) {
			control, outOfStep := controlOf(script{at: sql, repeat: repeat, late: late})
			ctx := controlContext(spec)
			statusTwice(ctx, control)
			status, err := change(control, ctx, 2)
			// The call that was repeated on another connection finds the term taken.
			Expect(target.Classify(err)).To(Equal(group.FailureRejected))
			Expect(status).To(HaveField("Term", BeEquivalentTo(2)))
			Expect(status.Role).To(Equal(role))
			Expect(outOfStep.Load()).To(BeEquivalentTo(1))
			status, err = control.Status(ctx, false)
			Expect(err).NotTo(HaveOccurred())
			Expect(status.Term).To(BeEquivalentTo(2))
		},
		Entry("a fence", "fence(2)", (*target.Control).Fence, core.RoleFenced, 2, false),
		Entry("a fence, the own answer late", "fence(2)", (*target.Control).Fence, core.RoleFenced, 2, true),
		Entry("a fence, an answer longer ago", "fence(2)", (*target.Control).Fence, core.RoleFenced, 4, true),
		Entry("a promotion", "promote(2)", (*target.Control).Promote, core.RolePrimary, 2, false),
		Entry("a promotion, the own answer late", "promote(2)", (*target.Control).Promote, core.RolePrimary, 2, true),
	)

	// Guards against a fence that counts as done, or as refused, by the answer to another call.
	DescribeTable("leaves the outcome of a fence unknown while no other connection tells it",
		func(spec SpecContext, first core.Term, repeat int) {
			control, _ := controlOf(script{at: "fence(2)", repeat: repeat, late: true, single: true})
			ctx := controlContext(spec)
			statusTwice(ctx, control)
			if first != 0 {
				_, err := control.Fence(ctx, first)
				Expect(target.Classify(err)).To(Equal(group.FailureRejected))
			}
			status, err := control.Fence(ctx, 2)
			Expect(err).To(MatchError(target.ErrOutOfStep))
			Expect(err).To(MatchError(ContainSubstring("outcome is unknown")))
			Expect(target.Classify(err)).NotTo(Or(Equal(group.FailureNone), Equal(group.FailureRejected)))
			Expect(status).To(Equal(core.Status{}))
		},
		Entry("an older status", core.Term(0), 2),
		Entry("an older refusal", core.Term(1), 4),
	)

	// Guards against an old state that is read as new, by which a lease is held on a member that was fenced since.
	DescribeTable("is not the member's status now", func(spec SpecContext, repeat int, late bool) {
		control, outOfStep := controlOf(script{at: "status", after: 2, repeat: repeat, late: late})
		ctx := controlContext(spec)
		statusTwice(ctx, control)
		_, err := control.Fence(ctx, 2)
		Expect(err).NotTo(HaveOccurred())
		for range 2 {
			status, err := control.Status(ctx, false)
			Expect(err).NotTo(HaveOccurred())
			Expect(status.Term).To(BeEquivalentTo(2))
		}
		Expect(outOfStep.Load()).To(BeNumerically(">", 0))
	},
		Entry("the own answer at once", 4, false),
		Entry("the own answer late", 4, true),
		Entry("the marker's answer", 1, false),
	)

	// Guards against a member that fails its probes because of what it says between them.
	DescribeTable("between two calls does not fail the next one", func(spec SpecContext, what script) {
		what.at, what.after = "status", 2
		control, outOfStep := controlOf(what)
		ctx := controlContext(spec)
		for range 5 {
			_, err := control.Status(ctx, false)
			Expect(err).NotTo(HaveOccurred())
		}
		if what.echo {
			Expect(outOfStep.Load()).To(BeNumerically(">", 0))
		}
	},
		Entry("an older answer", script{echo: true}),
		Entry("a new value of a setting", script{setting: true}),
	)
})

var _ = Describe("an error that ends the control connection", func() {
	// Guards against the end of a connection that counts as the refusal of a fence that has run.
	DescribeTable("is no refusal of a fence", func(spec SpecContext, code string, failure group.Failure) {
		control, _ := controlOf(script{at: "fence(2)", fatal: code, single: true})
		ctx := controlContext(spec)
		statusTwice(ctx, control)
		_, err := control.Fence(ctx, 2)
		Expect(target.Classify(err)).To(Equal(failure))
		Expect(err).To(MatchError(ContainSubstring("outcome is unknown")))
	},
		Entry("an internal error", "XX000", group.FailureLost),
		Entry("a stop", target.CodeAdminShutdown, group.FailureLeaving),
	)
})

var _ = Describe("the proof of an answer on a control connection", func() {
	// Guards against a round trip more for each probe: the member answers nothing before it has the marker.
	It("is asked for along with the call", func(spec SpecContext) {
		control, outOfStep := controlOf(script{patient: true})
		ctx := controlContext(spec)
		statusTwice(ctx, control)
		status, err := control.Fence(ctx, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Role).To(Equal(core.RoleFenced))
		_, err = control.Fence(ctx, 2)
		Expect(target.Classify(err)).To(Equal(group.FailureRejected))
		_, err = control.Exec(ctx, "one")
		Expect(err).NotTo(HaveOccurred())
		Expect(outOfStep.Load()).To(BeZero())
	})

	// Guards against a call whose context ends while the member is silent, and a connection that is used after it.
	It("ends with the call's context", func(spec SpecContext) {
		ctx := controlContext(spec)
		short, cancel := context.WithCancel(ctx)
		control, _ := controlOf(script{at: "fence(2)", mute: cancel})
		statusTwice(ctx, control)
		_, err := control.Fence(short, 2)
		Expect(err).To(MatchError(context.Canceled))
		Expect(err).To(MatchError(ContainSubstring("outcome is unknown")))
		status, err := control.Status(ctx, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Term).To(BeEquivalentTo(2))
	})
})
