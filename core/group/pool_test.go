package group

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

// inTransaction makes an arrival a statement of a caller's transaction.
func inTransaction(caller uint64, open bool) func(*Arrived) {
	return func(a *Arrived) {
		a.Caller.Number, a.InTransaction = caller, open
		a.Session = core.SessionID(fmt.Sprint("caller", caller))
	}
}

// begin opens a transaction and returns its connection.
func beginTransaction(n *fakeNet, h *fakeHome, caller uint64) ConnID {
	h.nextStatus = 'T'
	r := h.arrive(inTransaction(caller, false))
	n.run(5 * ms)
	h.nextStatus = 'I'
	Expect(h.acks).To(HaveKey(r))
	return h.ranOn[r]
}

var _ = ginkgo.Describe("the pool", func() {
	ginkgo.It("keeps all homes together within the group's budget", func() {
		// Work connections to scarce members must stay within 20 less the six
		// control connections, also while the group changes hands.
		run := func(change ...func(*Tuning)) int {
			n, a := newServingNet(change...)
			open := func() int { return len(n.homes[0].conns) + len(n.homes[1].conns) + len(n.homes[2].conns) }
			a.nextStatus = 'T'
			for range 40 {
				a.write()
			}
			n.run(200 * ms)
			a.nextStatus = 'I'
			most := open()
			for i := range 400 {
				for range 5 {
					n.home("A").write()
					n.home("B").write()
				}
				n.run(5 * ms)
				most = max(most, open())
				if i == 100 {
					n.member("a").down = true
				}
				if i == 200 {
					a.send(&Drain{})
				}
			}
			return most
		}
		Expect(run()).To(BeNumerically("<=", 14))
		Expect(run(func(t *Tuning) { t.DisabledGuards = GuardBudget })).To(BeNumerically(">", 14))
	})

	ginkgo.It("never mixes statements of two transactions", func() {
		// Two terminals have a transaction open each. What one sends must run
		// on its own connection and on no other, and nobody else's there.
		n, a := newServingNet()
		first, second := beginTransaction(n, a, 901), beginTransaction(n, a, 902)
		Expect(first).NotTo(Equal(second))
		a.nextStatus = 'T'
		for range 20 {
			r1, r2 := a.arrive(inTransaction(901, true)), a.arrive(inTransaction(902, true))
			n.run(4 * ms)
			Expect(a.ranOn[r1]).To(Equal(first))
			Expect(a.ranOn[r2]).To(Equal(second))
		}
		a.nextStatus = 'I'
		for range 50 {
			r := a.write()
			n.run(ms)
			Expect(a.ranOn[r]).NotTo(BeElementOf(first, second))
		}
	})

	ginkgo.It("tells a caller whose transaction is gone, and does not run on", func() {
		// The connection of an open transaction breaks. The next statement must
		// not run alone on another connection.
		n, a := newServingNet()
		c := beginTransaction(n, a, 901)
		a.send(&ConnClosed{Conn: c})
		r := a.arrive(inTransaction(901, true))
		Expect(a.reasons).To(HaveKeyWithValue(r, ReasonTransactionLost))
		Expect(a.fails).To(HaveKeyWithValue(r, core.OutcomeNotRun))
	})

	ginkgo.It("closes the connection of a caller that hangs up in a transaction", func() {
		n, a := newServingNet()
		c := beginTransaction(n, a, 901)
		a.send(&HungUp{Caller: core.CallerID{Entry: "A", Number: 901}})
		n.run(10 * ms)
		Expect(a.conns).NotTo(HaveKey(c))
		Expect(a.g.Snapshot().Members[0].Pinned).To(BeZero())
	})

	ginkgo.It("gives a member no more statements than its slots and the overlap", func() {
		n, a := newServingNet()
		for range 40 {
			a.write()
		}
		for range 40 {
			for _, m := range a.g.Snapshot().Members {
				Expect(m.Running).To(BeNumerically("<=", 4))
			}
			n.run(ms / 2)
		}
	})

	ginkgo.It("opens slowly at a member that is full", func() {
		n, a := newServingNet()
		n.member("a").connsExhausted = true
		opened := a.g.Snapshot().Counters.ConnsOpened
		a.send(&ConnClosed{Conn: 1})
		a.send(&ConnClosed{Conn: 2})
		n.run(10 * time.Second)
		Expect(a.g.Snapshot().Counters.ConnsOpened - opened).To(BeNumerically("<", 60))
	})

	ginkgo.It("serves a session that sends one request beside one that floods", func() {
		// The fines desk runs a batch of 500 while a rider checks out.
		n, a := newServingNet()
		for range 500 {
			a.arrive(func(a *Arrived) { a.Session = "batch" })
		}
		n.run(10 * ms)
		r := a.arrive(func(a *Arrived) { a.Session = "rider" })
		n.run(12 * ms)
		Expect(a.acks).To(HaveKey(r))
	})

	ginkgo.It("sheds at once, as not run, what cannot be served in time", func() {
		n, a := newServingNet()
		for range 200 {
			a.write()
			n.run(ms / 4)
		}
		r := a.arrive(func(r *Arrived) { r.Deadline = n.now.Add(5 * ms) })
		Expect(a.reasons).To(HaveKeyWithValue(r, ReasonOverloaded))
		Expect(a.fails).To(HaveKeyWithValue(r, core.OutcomeNotRun))
		Expect(a.lastFail[r].RetryAfter).To(BeNumerically(">", 0))
	})

	ginkgo.It("gives a leaving replica no new work at once", func() {
		n, a := newServingNet()
		c := n.configure(a, 2)
		c.Members[1].Leaving = true
		a.send(c)
		for range 50 {
			r := a.read("buyer")
			n.run(4 * ms)
			Expect(a.servedBy[r]).NotTo(Equal(core.MemberID("b")))
		}
		Expect(a.g.Snapshot().Members[1].Connections).To(BeZero())
	})
})

var _ = ginkgo.Describe("requests that end early", func() {
	ginkgo.It("say what is known when their deadline passes", func() {
		// One write runs at a primary that stands still, one waits behind it.
		n, a := newServingNet(func(t *Tuning) { t.ProbeTimeout, t.FreshTimeout = 10*time.Second, 10*time.Second })
		n.member("a").paused = true
		var running, queued core.RequestID
		for range 5 {
			running, queued = queued, a.arrive(func(r *Arrived) { r.Deadline = n.now.Add(100 * ms) })
		}
		n.run(200 * ms)
		Expect(a.fails).To(HaveKeyWithValue(running, core.OutcomeUnknown))
		Expect(a.fails).To(HaveKeyWithValue(queued, core.OutcomeNotRun))
		Expect(a.reasons).To(HaveKeyWithValue(queued, ReasonDeadline))
	})

	ginkgo.It("get their answer at once when they are given up", func() {
		n, a := newServingNet()
		r := a.write()
		a.send(&Abandoned{Request: r})
		Expect(a.reasons).To(HaveKeyWithValue(r, ReasonCancelled))
		n.run(20 * ms)
		Expect(a.acks).NotTo(HaveKey(r))
	})
})

var _ = ginkgo.Describe("a retry", func() {
	// A connection breaks. If nothing was sent the statement runs again at
	// once; if something was, only a read may. A charge must not run twice.
	ended := func(result Result, read bool, change ...func(*Tuning)) (*fakeHome, core.RequestID) {
		n, a := newServingNet(change...)
		a.nextResult = result
		r := a.arrive(func(r *Arrived) { r.Read = read })
		n.run(50 * ms)
		return a, r
	}

	ginkgo.It("follows only a failure that proves that nothing ran, or a read", func() {
		a, r := ended(ResultNotSent, false)
		Expect(a.acks).To(HaveKey(r))
		a, r = ended(ResultLost, true)
		Expect(a.acks).To(HaveKey(r))
		a, r = ended(ResultLost, false)
		Expect(a.acks).NotTo(HaveKey(r))
		Expect(a.fails).To(HaveKeyWithValue(r, core.OutcomeUnknown))
		a, r = ended(ResultLost, false, func(t *Tuning) { t.DisabledGuards = GuardRetryProof })
		Expect(a.acks).To(HaveKey(r))
	})

	ginkgo.It("stays within a budget, so that it does not multiply an outage", func() {
		n, a := newServingNet()
		a.alwaysResult = ResultNotSent
		for range 1000 {
			a.write()
			n.run(2 * ms)
		}
		c := a.g.Snapshot().Counters
		Expect(c.Retried).To(BeNumerically("<", 20+c.Dispatched/5))
		Expect(c.Failed).To(BeNumerically(">", 100))
	})
})

var _ = ginkgo.Describe("a durable write", func() {
	ginkgo.It("is confirmed only once a second member has it", func() {
		// A settlement is on the primary alone when the primary is lost. It
		// must not have been confirmed.
		hold := func(change ...func(*Tuning)) (*fakeHome, core.RequestID) {
			n, a := newServingNet(change...)
			n.member("b").applyStopped, n.member("c").applyStopped = true, true
			w := a.arrive(func(a *Arrived) { a.Durable = true })
			n.run(500 * ms)
			return a, w
		}
		a, w := hold()
		Expect(a.acks).NotTo(HaveKey(w))
		a.net.member("c").applyStopped = false
		a.net.run(50 * ms)
		Expect(a.acks).To(HaveKey(w))
		a, w = hold(func(t *Tuning) { t.DisabledGuards = GuardDurableConfirm })
		Expect(a.acks).To(HaveKey(w))
	})

	ginkgo.It("is asked for at one replica, not at both, while that one has it in time", func() {
		n, a := newServingNet()
		probes := a.g.counters.Probes
		n.writeContinuously(2*time.Second, true)
		Expect(a.g.counters.Probes - probes).To(BeNumerically("<", 600))
	})

	ginkgo.It("is reported as unknown when no second member has it in time", func() {
		n, a := newServingNet()
		n.member("b").applyStopped, n.member("c").applyStopped = true, true
		w := a.arrive(func(a *Arrived) { a.Durable, a.Deadline = true, n.now.Add(time.Second) })
		n.run(3 * time.Second)
		Expect(a.reasons).To(HaveKeyWithValue(w, ReasonNotConfirmed))
		Expect(a.fails).To(HaveKeyWithValue(w, core.OutcomeUnknown))
	})
})

var _ = ginkgo.Describe("a planned stop", func() {
	ginkgo.It("lets transactions end, hands over and cuts nothing off", func() {
		n, a := newServingNet()
		beginTransaction(n, a, 901)
		a.send(&Drain{Deadline: n.now.Add(10 * time.Second)})
		n.run(100 * ms)
		Expect(a.drained).To(BeFalse())
		w := a.write()
		last := a.arrive(inTransaction(901, true))
		n.run(20 * ms)
		Expect(a.acks).To(And(HaveKey(w), HaveKey(last)))
		stopped := n.now
		for !n.home("B").isHome() {
			n.run(ms)
		}
		ginkgo.GinkgoWriter.Println("handover gap", n.now.Sub(stopped))
		Expect(a.drained).To(BeTrue())
		Expect(a.fails).To(BeEmpty())
		r := a.write()
		Expect(a.lastFail[r].Hint).To(Equal(core.DaemonID("B")))
		Expect(n.now.Sub(stopped)).To(BeNumerically("<", 100*ms))
	})
})

var _ = ginkgo.Describe("a change of configuration", func() {
	ginkgo.It("adds and removes members while requests run", func() {
		n, a := newServingNet()
		n.members = append(n.members, &fakeMember{id: "d", lag: 5 * ms, unreachableFrom: map[core.DaemonID]bool{}})
		for _, h := range n.homes {
			h.send(n.configure(h, 2))
		}
		n.writeContinuously(500*ms, true)
		Expect(a.fails).To(BeEmpty())
		Expect(a.g.Snapshot().Members).To(HaveLen(4))
		n.members = n.members[1:] // Without the primary: it leaves.
		for _, h := range n.homes {
			h.send(n.configure(h, 3))
		}
		gap := n.writeContinuously(2*time.Second, true)
		ginkgo.GinkgoWriter.Println("primary removed gap", gap)
		Expect(gap).To(BeNumerically("<", time.Second))
		Expect(a.g.leadership.primary.ID).NotTo(Equal(core.MemberID("a")))
	})

	ginkgo.It("never goes back to a lower revision", func() {
		n, a := newServingNet()
		a.send(n.configure(a, 5))
		old := n.configure(a, 4)
		old.Members = old.Members[:1]
		a.send(old)
		Expect(a.g.Snapshot().Members).To(HaveLen(3))
		Expect(a.g.Snapshot().Revision).To(Equal(uint64(5)))
	})
})
