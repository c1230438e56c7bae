package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/admission"
	"limpetspan/core/policy"
)

const (
	ms    = time.Millisecond
	start = core.Time(time.Second)
)

// places are those of a primary with four statements and replicas with eight.
var places = admission.Places{Primary: 4, All: 12}

// newForecastingQueue returns a queue that has learned from 20 waits which took as long as forecast,
// and the time of the last one.
func newForecastingQueue(limit admission.Limit, off ...string) (*queue, core.Time) {
	set, err := policy.All.Without(off...)
	Expect(err).NotTo(HaveOccurred())
	q := admission.NewQueue[string](set)
	q.EnableOverloadControl(limit, func(time.Duration) {})
	at := start
	for range 20 {
		w := newForecastWaiter(at, "posting", 0, 40*ms, true)
		wait := q.Forecast(at, w, places).Wait
		q.Add(at, w)
		at = at.Add(wait)
		q.Serve(at, func(*waiter) bool { return true })
	}
	return q, at
}

// newForecastWaiter returns a waiter with an aim of 200 ms and a deadline of 850 ms.
func newForecastWaiter(at core.Time, database string, priority int, serviceTime time.Duration, primary bool) *waiter {
	return &waiter{Arrived: at, Aim: at.Add(200 * ms), Deadline: at.Add(850 * ms), Database: database, Priority: priority, ServiceTime: serviceTime, Primary: primary}
}

var _ = Describe("a forecast", func() {
	// add adds n postings to the queue.
	add := func(q *queue, at core.Time, n int) {
		for range n {
			q.Add(at, newForecastWaiter(at, "posting", 0, 40*ms, true))
		}
	}

	It("is the work ahead of the statement at the places that may serve it", func() {
		q, at := newForecastingQueue(admission.LimitDeadline)
		add(q, at, 7)
		posting := q.Forecast(at, newForecastWaiter(at, "posting", 0, 40*ms, true), places)
		Expect(posting.Position).To(Equal(7))
		Expect(posting.Wait).To(BeNumerically("~", 80*ms, ms), "eight statements of 40 ms at four places")
		urgent := q.Forecast(at, newForecastWaiter(at, "urgent", -1, 40*ms, true), places)
		Expect(urgent.Position).To(BeZero(), "it goes before them")
		read := q.Forecast(at, newForecastWaiter(at, "read", 1, 40*ms, false), places)
		Expect(read.Wait).To(BeNumerically("<", posting.Wait), "replicas serve it as well")
	})

	// Both replicas lag. Guards against callers that wait for most of their statement's time, on each
	// of three attempts, for a refusal that they could have had at once.
	It("refuses a statement that would get its place after its deadline, and no other", func() {
		q, at := newForecastingQueue(admission.LimitDeadline)
		add(q, at, 60)
		Expect(q.Forecast(at, newForecastWaiter(at, "posting", 0, 40*ms, true), places).TooLate).To(BeFalse())
		add(q, at, 60)
		Expect(q.Forecast(at, newForecastWaiter(at, "posting", 0, 40*ms, true), places).TooLate).To(BeTrue())
	})

	It("refuses by the aim in the other variant, and a late retry by its deadline", func() {
		q, at := newForecastingQueue(admission.LimitAim)
		add(q, at, 60)
		w := newForecastWaiter(at, "posting", 0, 40*ms, true)
		Expect(q.Forecast(at, w, places).TooLate).To(BeTrue())
		w.Aim = at
		Expect(q.Forecast(at, w, places).TooLate).To(BeFalse())
	})

	// A primary is replaced while many statements wait. Guards against refusals of statements that
	// only an outage delays: their callers' attempts would be used up when it ends.
	It("refuses nothing while none is served, with too few observations, or if it is switched off", func() {
		late := func(q *queue, at core.Time) bool {
			add(q, at, 200)
			return q.Forecast(at, newForecastWaiter(at, "posting", 0, 40*ms, true), places).TooLate
		}
		q, at := newForecastingQueue(admission.LimitDeadline)
		Expect(late(q, at)).To(BeTrue())
		Expect(late(q, at.Add(admission.ServingWindow+ms))).To(BeFalse(), "none is served")
		q, at = newForecastingQueue(admission.LimitDeadline, "forecast")
		Expect(late(q, at)).To(BeFalse(), "switched off")
		q = newQueue()
		q.EnableOverloadControl(admission.LimitDeadline, func(time.Duration) {})
		add(q, at, 1)
		next := func(*waiter) bool { return true }
		q.Serve(at, next)
		Expect(late(q, at)).To(BeFalse(), "nothing has been learned")
	})

	// Other daemons use the same members. Guards against forecasts that stay too short.
	It("follows the waits that it finds", func() {
		q, at := newForecastingQueue(admission.LimitDeadline)
		before := q.Forecast(at, newForecastWaiter(at, "posting", 0, 40*ms, true), places).Wait
		for range 100 {
			w := newForecastWaiter(at, "posting", 0, 40*ms, true)
			q.Forecast(at, w, places)
			q.Add(at, w)
			at = at.Add(3 * before)
			q.Serve(at, func(*waiter) bool { return true })
		}
		Expect(q.Forecast(at, newForecastWaiter(at, "posting", 0, 40*ms, true), places).Wait).To(BeNumerically("~", 3*before, before/10))
	})

	// Postings wait past their goal. Guards against refusals of newcomers that are served before all of
	// them because they can still be in time.
	It("counts late waiters only before a statement that will be late as well", func() {
		q, at := newForecastingQueue(admission.LimitDeadline)
		for range 120 {
			w := newForecastWaiter(at, "posting", 0, 40*ms, true)
			w.Aim = at
			q.Add(at, w)
		}
		newcomer := q.Forecast(at, newForecastWaiter(at, "posting", 0, 40*ms, true), places)
		Expect(newcomer.Position).To(BeZero())
		Expect(newcomer.TooLate).To(BeFalse())
		late := newForecastWaiter(at, "posting", 0, 40*ms, true)
		late.Aim = at
		Expect(q.Forecast(at, late, places).TooLate).To(BeTrue())
	})

	// Both replicas serve reads while the primary hangs. Guards against refusals of postings by a forecast
	// that takes the reads' places for their own.
	It("refuses no statement for the primary while only others are served", func() {
		q, at := newForecastingQueue(admission.LimitDeadline)
		add(q, at, 200)
		at = at.Add(admission.ServingWindow + ms)
		q.Add(at, newForecastWaiter(at, "read", 2, 20*ms, false))
		q.Serve(at, func(w *waiter) bool { return !w.Primary })
		Expect(q.Forecast(at, newForecastWaiter(at, "posting", 0, 40*ms, true), places).TooLate).To(BeFalse())
	})

	// The primary is full, replicas are not. Guards against refusals of reads because of statements that
	// use none of the replicas' places.
	It("counts work for the primary at no other member", func() {
		q, at := newForecastingQueue(admission.LimitDeadline)
		read := newForecastWaiter(at, "read", 2, 40*ms, false)
		add(q, at, 100)
		Expect(q.Forecast(at, read, places).Wait).To(BeNumerically("~", 5*ms, ms), "its own work at eight places")
		for range 500 {
			q.ObserveArrival(at, newForecastWaiter(at, "posting", 0, 40*ms, true))
		}
		Expect(q.Forecast(at, read, places).Wait).To(BeNumerically("<", 10*ms), "they take a third of the places at most")
	})

	// Late statements end at their deadline, and only those that are served quickly are seen to get a place.
	// Guards against forecasts that stay too short because of that.
	It("learns from waits that end without a place, while others are served", func() {
		expire := func(serving bool) time.Duration {
			q, at := newForecastingQueue(admission.LimitDeadline)
			for range 30 {
				w := newForecastWaiter(at, "posting", 0, 40*ms, true)
				q.Forecast(at, w, places)
				q.Add(at, w)
				at = at.Add(850 * ms)
				if serving {
					q.Add(at, newForecastWaiter(at, "posting", 0, 40*ms, true))
					q.Serve(at, func(o *waiter) bool { return o != w })
				}
				q.Expire(at, w)
			}
			return q.Forecast(at, newForecastWaiter(at, "posting", 0, 40*ms, true), places).Wait
		}
		Expect(expire(true)).To(BeNumerically("~", 40*ms, ms), "four times 10 ms, the largest correction")
		Expect(expire(false)).To(BeNumerically("~", 10*ms, ms))
	})

	// Guards against refusals of reads because postings wait longer than forecast.
	It("learns for each kind separately", func() {
		q, at := newForecastingQueue(admission.LimitDeadline)
		for range 200 {
			q.Add(at, newForecastWaiter(at, "read", 0, 40*ms, true))
		}
		q.Serve(at, func(w *waiter) bool { return w.Database == "read" && q.Len() > 190 })
		Expect(q.Forecast(at, newForecastWaiter(at, "read", 0, 40*ms, true), places).TooLate).To(BeFalse(), "no wait of a read was seen")
		Expect(q.Forecast(at, newForecastWaiter(at, "posting", 0, 40*ms, true), places).TooLate).To(BeTrue())
		for range 400 {
			q.Add(at, newForecastWaiter(at, "posting", 0, 40*ms, false))
		}
		q.Serve(at, func(w *waiter) bool { return !w.Primary && q.Len() > 580 })
		Expect(q.Forecast(at, newForecastWaiter(at, "posting", 0, 40*ms, false), places).TooLate).To(BeFalse(), "no wait for a replica was seen")
	})

	It("allows for the statements that will arrive and go before", func() {
		q, at := newForecastingQueue(admission.LimitDeadline)
		read := newForecastWaiter(at, "read", 2, 40*ms, true)
		before := q.Forecast(at, read, places).Wait
		for range 50 {
			q.ObserveArrival(at, newForecastWaiter(at, "posting", 0, 40*ms, true))
		}
		Expect(q.Forecast(at, read, places).Wait).To(BeNumerically("~", 2*before, ms), "half of the places are taken")
	})
})
