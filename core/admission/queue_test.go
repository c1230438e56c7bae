package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/admission"
	"limpetspan/core/policy"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

type (
	queue  = admission.Queue[string]
	waiter = admission.Waiter[string]
)

func newQueue() *queue { return admission.NewQueue[string](policy.All) }

// BenchmarkServe measures Serve on a queue of 1,000 waiters, none of which can be placed.
func BenchmarkServe(b *testing.B) {
	q := newQueue()
	for range 1000 {
		q.Add(0, &waiter{Aim: core.Time(time.Hour)})
	}
	for b.Loop() {
		q.Serve(1, func(*waiter) bool { return false })
	}
}

var _ = Describe("the queue", func() {
	const ms = time.Millisecond
	start := core.Time(time.Second)
	addWaiter := func(q *queue, at core.Time, database string, priority int, serviceTime, aim time.Duration) *waiter {
		w := &waiter{Arrived: at, Aim: at.Add(aim), Database: database, ServiceTime: serviceTime, Priority: priority}
		q.Add(at, w)
		return w
	}
	// next returns the waiter that gets one free place.
	next := func(q *queue, at core.Time) *waiter {
		var got *waiter
		q.Serve(at, func(w *waiter) bool {
			if got != nil {
				return false
			}
			got = w
			return true
		})
		return got
	}

	It("orders by priority, then by service time, then by arrival", func() {
		q := newQueue()
		long := addWaiter(q, start, "long", 2, 30*ms, 500*ms)
		first := addWaiter(q, start, "short", 2, 18*ms, 500*ms)
		second := addWaiter(q, start.Add(ms), "short", 2, 19*ms, 500*ms)
		urgent := addWaiter(q, start.Add(2*ms), "urgent", 1, 40*ms, 500*ms)
		for _, want := range []*waiter{urgent, first, second, long} {
			Expect(next(q, start.Add(3*ms))).To(BeIdenticalTo(want))
		}
	})

	// Members serve fewer statements than arrive. Guards against an order of arrival in which each
	// statement gets its place just too late to be in time.
	It("serves the newest first while it stands", func() {
		q := newQueue()
		old := addWaiter(q, start, "a", 1, 20*ms, 250*ms)
		addWaiter(q, start.Add(ms), "a", 1, 20*ms, 250*ms)
		q.Serve(start.Add(200*ms), func(*waiter) bool { return false })
		newest := addWaiter(q, start.Add(201*ms), "a", 1, 20*ms, 250*ms)
		Expect(next(q, start.Add(202*ms))).To(BeIdenticalTo(newest))
		Expect(next(q, start.Add(203*ms))).To(BeIdenticalTo(old))
	})

	// A member has been overloaded for some time. Guards against statements that are late, or
	// wait behind newer ones, and are rejected only after most of their time, on each attempt.
	It("sheds waiters that have waited long once it stands, while others are served", func() {
		q := newQueue()
		full := func(*waiter) bool { return false }
		at := start
		for ; at.Sub(start) < admission.ShedDelay+100*ms; at = at.Add(30 * ms) {
			q.Serve(at, full)
			addWaiter(q, at, "a", 0, 20*ms, 100*ms)
			next(q, at)
			addWaiter(q, at, "a", 1, 20*ms, 100*ms)
		}
		late := addWaiter(q, at, "a", 1, 20*ms, 25*ms)
		overdue := addWaiter(q, at, "a", 1, 20*ms, 100*ms)
		longAim := addWaiter(q, at, "b", 1, 20*ms, 500*ms)
		addWaiter(q, at.Add(15*ms), "a", 0, 20*ms, 100*ms)
		Expect(next(q, at.Add(15*ms))).NotTo(BeNil())
		fresh := addWaiter(q, at.Add(15*ms), "a", 1, 20*ms, 100*ms)
		rejected := q.Serve(at.Add(25*ms), full)
		Expect(rejected).To(ContainElements(BeIdenticalTo(late), BeIdenticalTo(overdue)))
		Expect(rejected).NotTo(ContainElement(BeIdenticalTo(fresh)))
		Expect(rejected).NotTo(ContainElement(BeIdenticalTo(longAim)))
	})

	It("sheds no waiters while none is served", func() {
		q := newQueue()
		addWaiter(q, start, "a", 1, 20*ms, 100*ms)
		for at := start; at.Sub(start) < 3*time.Second; at = at.Add(30 * ms) {
			Expect(q.Serve(at, func(*waiter) bool { return false })).To(BeEmpty())
		}
		Expect(q.Len()).To(Equal(1))
	})

	It("serves waiters that are already late after those that can be in time", func() {
		q := newQueue()
		late := addWaiter(q, start, "a", 1, 20*ms, 30*ms)
		fresh := addWaiter(q, start.Add(10*ms), "b", 2, 30*ms, 500*ms)
		Expect(next(q, start.Add(11*ms))).To(BeIdenticalTo(fresh))
		Expect(next(q, start.Add(12*ms))).To(BeIdenticalTo(late))
	})
})
