package group

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

// inTransaction makes a request a statement of the caller. open tells whether
// the caller has an open transaction.
func inTransaction(caller uint64, open bool) func(*Arrived) {
	return func(a *Arrived) {
		a.Caller.Number, a.InTransaction = caller, open
		a.Session = core.SessionID(fmt.Sprint("caller", caller))
	}
}

// beginTransaction opens a transaction and returns its connection.
func beginTransaction(n *fakeNet, h *fakeHome, caller uint64) ConnID {
	h.nextStatus = 'T'
	r := h.arrive(inTransaction(caller, false))
	n.run(5 * ms)
	h.nextStatus = 'I'
	Expect(h.acks).To(HaveKey(r))
	return h.ranOn[r]
}

var _ = ginkgo.Describe("connection pool", func() {
	ginkgo.It("keeps the connections of all homes within the group's budget", func() {
		// The work connections must not exceed 14, which is MaxConnections (20)
		// less six control connections, also while the home changes.
		run := func(change ...func(*Tuning)) int {
			n, a := newServingNet(change...)
			open := func() int { return len(n.homes[0].conns) + len(n.homes[1].conns) + len(n.homes[2].conns) }
			a.nextStatus = 'T'
			for range 40 {
				a.write()
			}
			n.run(200 * ms)
			a.nextStatus = 'I'
			peak := open()
			for i := range 400 {
				for range 5 {
					n.home("A").write()
					n.home("B").write()
				}
				n.run(5 * ms)
				peak = max(peak, open())
				if i == 100 {
					n.member("a").down = true
				}
				if i == 200 {
					a.send(&Drain{})
				}
			}
			return peak
		}
		Expect(run()).To(BeNumerically("<=", 14))
		Expect(run(func(t *Tuning) { t.DisabledGuards = GuardBudget })).To(BeNumerically(">", 14))
	})

	ginkgo.It("never mixes statements of two transactions", func() {
		// Two callers have a transaction open each. Their statements must run on
		// their own connections, and no other request may run there.
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

	ginkgo.It("fails a statement whose transaction was lost", func() {
		// The connection of an open transaction breaks. The next statement must
		// not run outside the transaction on another connection.
		n, a := newServingNet()
		c := beginTransaction(n, a, 901)
		a.send(&ConnClosed{Conn: c})
		r := a.arrive(inTransaction(901, true))
		Expect(a.reasons).To(HaveKeyWithValue(r, ReasonTransactionLost))
		Expect(a.fails).To(HaveKeyWithValue(r, core.OutcomeNotRun))
	})

	ginkgo.It("closes the connection of a caller that disconnects in a transaction", func() {
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

	ginkgo.It("backs off when a member has no free connection", func() {
		n, a := newServingNet()
		n.member("a").connsExhausted = true
		opened := a.g.Snapshot().Counters.ConnsOpened
		a.send(&ConnClosed{Conn: 1})
		a.send(&ConnClosed{Conn: 2})
		n.run(10 * time.Second)
		Expect(a.g.Snapshot().Counters.ConnsOpened - opened).To(BeNumerically("<", 60))
	})

	ginkgo.It("serves a single request promptly while another session floods the queue", func() {
		// One session has 500 requests outstanding when another session sends
		// one.
		n, a := newServingNet()
		for range 500 {
			a.arrive(func(a *Arrived) { a.Session = "batch" })
		}
		n.run(10 * ms)
		r := a.arrive(func(a *Arrived) { a.Session = "rider" })
		n.run(12 * ms)
		Expect(a.acks).To(HaveKey(r))
	})

	ginkgo.It("sheds a request at once, as not run, if it cannot be served in time", func() {
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

	ginkgo.It("immediately stops sending work to a leaving replica", func() {
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

var _ = ginkgo.Describe("requests that time out or are cancelled", func() {
	ginkgo.It("report the known outcome when their deadline passes", func() {
		// At a paused primary some writes run and others are queued.
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

	ginkgo.It("fail at once when they are cancelled", func() {
		n, a := newServingNet()
		r := a.write()
		a.send(&Abandoned{Request: r})
		Expect(a.reasons).To(HaveKeyWithValue(r, ReasonCancelled))
		n.run(20 * ms)
		Expect(a.acks).NotTo(HaveKey(r))
	})
})

var _ = ginkgo.Describe("retry", func() {
	// A connection breaks. If nothing was sent, the statement is retried. If
	// something was sent, only a read is retried, because a write must not run
	// twice.
	runWithResult := func(result Result, read bool, change ...func(*Tuning)) (*fakeHome, core.RequestID) {
		n, a := newServingNet(change...)
		a.nextResult = result
		r := a.arrive(func(r *Arrived) { r.Read = read })
		n.run(50 * ms)
		return a, r
	}

	ginkgo.It("is made only for reads and for statements that are proved not to have run", func() {
		a, r := runWithResult(ResultNotSent, false)
		Expect(a.acks).To(HaveKey(r))
		a, r = runWithResult(ResultLost, true)
		Expect(a.acks).To(HaveKey(r))
		a, r = runWithResult(ResultLost, false)
		Expect(a.acks).NotTo(HaveKey(r))
		Expect(a.fails).To(HaveKeyWithValue(r, core.OutcomeUnknown))
		a, r = runWithResult(ResultLost, false, func(t *Tuning) { t.DisabledGuards = GuardRetryProof })
		Expect(a.acks).To(HaveKey(r))
	})

	ginkgo.It("stays within a budget, so that retries do not multiply the load of an outage", func() {
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

var _ = ginkgo.Describe("durable write", func() {
	ginkgo.It("is confirmed only after a second member has it", func() {
		// A durable write that only the primary has must not be confirmed,
		// because it would be lost with the primary.
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

	ginkgo.It("is confirmed by probing one replica while that replica is fast enough", func() {
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

var _ = ginkgo.Describe("planned stop", func() {
	ginkgo.It("lets transactions end and hands over without failing a request", func() {
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

var _ = ginkgo.Describe("configuration change", func() {
	ginkgo.It("adds and removes members while requests run", func() {
		n, a := newServingNet()
		n.members = append(n.members, &fakeMember{id: "d", lag: 5 * ms, unreachableFrom: map[core.DaemonID]bool{}})
		for _, h := range n.homes {
			h.send(n.configure(h, 2))
		}
		n.writeContinuously(500*ms, true)
		Expect(a.fails).To(BeEmpty())
		Expect(a.g.Snapshot().Members).To(HaveLen(4))
		n.members = n.members[1:] // Removes the primary.
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
