package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/admission"
)

var _ = Describe("promised returns", func() {
	const horizon = time.Second
	refuse := func(q *queue, at core.Time) admission.Promise {
		w := newForecastWaiter(at, "posting", 0, 40*ms, true)
		return q.Promise(at, w, q.Forecast(at, w, places), places, horizon, 0.5)
	}

	// A burst refuses many callers within milliseconds. Guards against callers that all retry after
	// the same time and are refused again.
	It("are as many in an interval as there is capacity for, up to the horizon", func() {
		q, at := newForecastingQueue(admission.LimitDeadline)
		last, n := core.Time(0), 0
		for p := refuse(q, at); p.Due != 0 && n < 100; p = refuse(q, at) {
			Expect(p.Due).To(BeNumerically(">", last))
			Expect(p.Due).To(Equal(at.Add(p.After)))
			last = p.Due
			n++
		}
		Expect(last).To(BeNumerically("<=", at.Add(horizon)))
		Expect(n).To(BeNumerically("~", 50, 2), "half of four places, a statement of 40 ms each, for a second")
		full := refuse(q, at)
		Expect(full.After).To(Equal(horizon*3/4), "the time of callers without a promise")
		Expect(refuse(q, at.Add(horizon/2)).Due).NotTo(BeZero(), "there is room again")
	})

	It("are as before if they are switched off", func() {
		q, at := newForecastingQueue(admission.LimitDeadline, "scheduled-returns")
		Expect(refuse(q, at)).To(Equal(admission.Promise{After: admission.RetryAfter(0, 0.5)}))
	})

	It("are kept by callers that come at the time, not by those that come early", func() {
		Expect(admission.IsKept(start, start)).To(BeTrue())
		Expect(admission.IsKept(start.Add(50*ms), start)).To(BeTrue())
		Expect(admission.IsKept(start.Add(-20*ms), start)).To(BeFalse())
		Expect(admission.IsKept(start.Add(time.Second), start)).To(BeFalse())
		Expect(admission.IsKept(start, 0)).To(BeFalse(), "nothing was promised")
	})

	// Guards against a caller that waits as it was told and is then overtaken by newcomers.
	It("go before newcomers of their kind and after statements that go before these", func() {
		q := newQueue()
		add := func(database string, priority int, promised bool) *waiter {
			w := newForecastWaiter(start, database, priority, 40*ms, true)
			w.Promised = promised
			q.Add(start, w)
			return w
		}
		newcomer, other := add("posting", 1, false), add("urgent", 0, false)
		promised := add("posting", 1, true)
		var order []*waiter
		q.Serve(start, func(w *waiter) bool {
			order = append(order, w)
			return true
		})
		Expect(order).To(Equal([]*waiter{other, promised, newcomer}))
	})

	// A refused caller returns after its goal, which runs from its first attempt. Guards against a promise
	// that is kept only after all newcomers are served.
	It("go before newcomers although their aim has passed", func() {
		q := newQueue()
		newcomer := newForecastWaiter(start, "posting", 0, 40*ms, true)
		q.Add(start, newcomer)
		promised := newForecastWaiter(start, "posting", 0, 40*ms, true)
		promised.Promised, promised.Aim = true, start.Add(-ms)
		q.Add(start, promised)
		var order []*waiter
		q.Serve(start, func(w *waiter) bool {
			order = append(order, w)
			return true
		})
		Expect(order).To(Equal([]*waiter{promised, newcomer}))
	})
})
