package reads

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/standin/target"
)

func TestReads(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "bench reads")
}

var start = time.Unix(0, 0)

func tickAt(n int64, at time.Duration) *target.Record {
	return &target.Record{At: start.Add(at), Statements: []target.Statement{{SQL: tickSQL, Args: []any{n}}}}
}

var _ = ginkgo.Describe("checker", func() {
	judge := func(answers ...answer) *tally {
		t := &tally{}
		newChecker([]*target.Record{tickAt(1, 0), tickAt(2, time.Second)}).check(answers, t)
		return t
	}
	listing := func(n int64, at time.Duration) answer { return answer{n: n, began: start.Add(at)} }

	ginkgo.It("accepts a listing that lacks only what is younger than the stated age", func() {
		Expect(judge(listing(1, time.Second+listingAge)).stale).To(BeZero())
	})

	ginkgo.It("finds a listing that lacks what is older", func() {
		Expect(judge(listing(1, time.Second+listingAge+1)).stale).To(Equal(1))
		Expect(judge(listing(2, time.Hour)).stale).To(BeZero())
	})

	ginkgo.It("finds a read without the session's own acknowledged bid", func() {
		Expect(judge(answer{own: true, n: 3, acknowledged: 4}).stale).To(Equal(1))
		Expect(judge(answer{own: true, n: 5, acknowledged: 4}).stale).To(BeZero())
	})

	ginkgo.It("tells steps back of listings apart from those of other reads", func() {
		Expect(judge(listing(2, 0), listing(1, 0)).listingsBackward).To(Equal(1))
		Expect(judge(answer{own: true, n: 5}, answer{own: true, n: 4}).backward).To(Equal(1))
	})
})
