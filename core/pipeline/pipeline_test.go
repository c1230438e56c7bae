package pipeline_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/pipeline"
)

func TestPipeline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pipeline")
}

// outOfTurn matches the error of an answer that was not accepted.
func outOfTurn(expected, received uint64) OmegaMatcher {
	return Equal(&pipeline.OutOfTurnError{Expected: expected, Received: received})
}

var _ = Describe("requests with numbered answers", func() {
	var r pipeline.Requests

	// answer accepts an answer and reads it to its end.
	answer := func(number uint64) {
		GinkgoHelper()
		Expect(r.Accept(number)).To(Succeed())
		r.Complete()
	}

	BeforeEach(func() { r = pipeline.NewRequests(true) })

	It("accept the answers to several requests in their order", func() {
		r.Sent(3)
		for number := range uint64(3) {
			Expect(r.Idle()).To(BeFalse())
			answer(number + 1)
		}
		Expect(r.Idle()).To(BeTrue())
		r.Sent(1)
		answer(4)
		Expect(r.Idle()).To(BeTrue())
	})

	// Guards against a repeated answer that is taken for that of the next request.
	It("do not accept an answer twice", func() {
		r.Sent(1)
		answer(1)
		r.Sent(1)
		Expect(r.Accept(1)).To(outOfTurn(2, 1))
		Expect(r.Idle()).To(BeFalse())
	})

	// Guards against the same between requests that were sent together.
	It("do not accept an answer twice while others are outstanding", func() {
		r.Sent(2)
		answer(1)
		Expect(r.Accept(1)).To(outOfTurn(2, 1))
	})

	// Guards against a request whose answer is missing and gets that of its successor.
	It("do not accept the answer to a later request", func() {
		r.Sent(2)
		Expect(r.Accept(2)).To(outOfTurn(1, 2))
	})

	// Guards against an unsolicited answer that is kept for the next request.
	It("do not accept an answer while none is outstanding", func() {
		Expect(r.Accept(1)).To(outOfTurn(0, 1))
		r.Sent(1)
		Expect(r.Idle()).To(BeFalse())
		Expect(r.Accept(1)).NotTo(Succeed())
	})

	// Guards against an answer without a number on a connection where answers have one.
	It("do not accept an answer without a number", func() {
		r.Sent(1)
		Expect(r.Accept(0)).To(outOfTurn(1, 0))
	})

	// Guards against the use of a connection on which an answer was cut.
	It("accept nothing after an answer that was not read to its end", func() {
		r.Sent(2)
		Expect(r.Accept(1)).To(Succeed())
		Expect(r.Idle()).To(BeFalse())
		Expect(r.Accept(2)).To(outOfTurn(0, 2))
		r.Complete()
		Expect(r.Idle()).To(BeFalse())
	})

	// Guards against a connection that is used again after an answer out of turn.
	It("accept nothing after an answer out of turn", func() {
		r.Sent(1)
		Expect(r.Accept(7)).NotTo(Succeed())
		Expect(r.Accept(1)).To(outOfTurn(0, 1))
		r.Complete()
		Expect(r.Idle()).To(BeFalse())
	})
})

var _ = Describe("requests without numbered answers", func() {
	It("accept any answer to an outstanding request, and no other", func() {
		var r pipeline.Requests
		r.Sent(1)
		Expect(r.Accept(0)).To(Succeed())
		r.Complete()
		Expect(r.Idle()).To(BeTrue())
		Expect(r.Accept(0)).To(outOfTurn(0, 0))
	})
})

var _ = Describe("numbers of answers", func() {
	It("are those of the requests in their order", func() {
		r, a := pipeline.NewRequests(true), pipeline.NewAnswers(true)
		for range 3 {
			r.Sent(1)
			number, ok := a.Next()
			Expect(ok).To(BeTrue())
			Expect(r.Accept(number)).To(Succeed())
			r.Complete()
		}
	})

	It("are left out for a client that does not understand them", func() {
		var a pipeline.Answers
		_, ok := a.Next()
		Expect(ok).To(BeFalse())
	})
})
