package failover

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/standin/target"
)

func TestFailover(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "bench failover")
}

var start = time.Unix(0, 0)

// commit is a record of a write at a second of the test.
func commit(id string, term core.Term, second int) *target.Record {
	s := target.Statement{SQL: "/*once='" + id + "'*/ " + insertSQL, Args: []any{id, int64(1)}}
	return &target.Record{Term: term, Primary: "m1", At: start.Add(time.Duration(second) * time.Second), Statements: []target.Statement{s}}
}

func ack(id string, second int, once bool) acknowledgment {
	return acknowledgment{id: id, at: start.Add(time.Duration(second) * time.Second), once: once}
}

var _ = ginkgo.Describe("check", func() {
	first, second := commit("a", 2, 1), commit("b", 4, 3)

	ginkgo.It("finds nothing in an ordinary failover", func() {
		log := []*target.Record{first, second}
		Expect(check([]acknowledgment{ack("a", 2, false), ack("b", 4, false)}, log, log)).To(Equal(Check{}))
	})

	ginkgo.It("lets the successor answer for a must-not-repeat key that it holds", func() {
		log := []*target.Record{first, second}
		Expect(check([]acknowledgment{ack("a", 5, true)}, log, log)).To(Equal(Check{}))
	})

	// The primary of term 2 is cut off, the one of term 4 serves; then a caller
	// is still told by the first that its write is done.
	ginkgo.It("finds the acknowledgment of a replaced primary", func() {
		c := check([]acknowledgment{ack("a", 5, false)}, []*target.Record{first, second}, []*target.Record{second})
		Expect(c.LostAcknowledged).To(Equal(1))
		Expect(c.AcknowledgedByReplaced).To(Equal(1))
	})

	ginkgo.It("finds a write that was lost though it was acknowledged in time", func() {
		c := check([]acknowledgment{ack("a", 2, true)}, []*target.Record{first, second}, []*target.Record{second})
		Expect(c.LostAcknowledged).To(Equal(1))
		Expect(c.AcknowledgedByReplaced).To(BeZero())
	})

	ginkgo.It("finds a write that ran twice, and not one whose first run was lost", func() {
		again := commit("a", 4, 4)
		Expect(check(nil, []*target.Record{first, again}, []*target.Record{first, again}).Doubled).To(Equal(1))
		Expect(check(nil, []*target.Record{first, again}, []*target.Record{again}).Doubled).To(BeZero())
	})
})
