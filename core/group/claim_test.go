package group

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

var _ = ginkgo.Describe("claiming a group", func() {
	ginkgo.It("makes exactly one daemon the home and serves", func() {
		n := newNet(3)
		n.run(2 * time.Second)
		Expect(n.home("A").isHome()).To(BeTrue())
		Expect(n.home("B").isHome()).To(BeFalse())
		w := n.home("A").write()
		n.run(10 * ms)
		Expect(n.home("A").acks).To(HaveKey(w))
		read := n.home("A").read("s")
		n.run(30 * ms)
		Expect(n.home("A").acks).To(HaveKey(read))
		r := n.home("B").write()
		Expect(n.home("B").lastFail[r].Hint).To(Equal(core.DaemonID("A")))
	})

	ginkgo.It("is taken over when the home dies, after its lease", func() {
		// The home's host burns. The next candidate misses the heartbeats,
		// fences, waits out the lease that the dead home might still hold, and
		// serves with the same primary.
		n, a := newServingNet()
		a.crashed = true
		gap := n.writeContinuously(4*time.Second, false)
		ginkgo.GinkgoWriter.Println("home death gap", gap)
		Expect(n.home("B").isHome()).To(BeTrue())
		Expect(n.home("B").g.leadership.primary.ID).To(Equal(core.MemberID("a")))
		Expect(gap).To(BeNumerically("<", 2*time.Second))
	})

	ginkgo.It("succeeds when the answer of the promotion is lost", func() {
		// The member became primary, but its answer did not come back. Another
		// choice would make two primaries of one term; the same call again is
		// refused by the very primary it made.
		n := newNet(3)
		n.member("a").losePromoteAnswer = true
		n.run(2 * time.Second)
		Expect(n.home("A").isHome()).To(BeTrue())
		Expect(n.home("A").g.leadership.term).To(Equal(core.Term(2)))
	})

	ginkgo.It("carries on at any step at which the claimant dies", func() {
		// A candidate takes the group and dies somewhere on the way: before,
		// during or after the fences or the promotion. Another must finish.
		for step := range 12 {
			n, a := newServingNet()
			n.member("a").down = true
			n.run(time.Duration(step) * ms)
			a.crashed = true
			n.run(5 * time.Second)
			b := n.home("B")
			Expect(b.isHome()).To(BeTrue(), "died after %d ms", step)
			w := b.write()
			n.run(50 * ms)
			Expect(b.acks).To(HaveKey(w), "died after %d ms", step)
		}
	})

	ginkgo.It("does not disturb a home that serves when it cannot win", func() {
		// A candidate is cut off from the other daemons and two members. It
		// must not fence the one it reaches, again and again.
		n, a := newServingNet()
		b := n.home("B")
		n.member("a").unreachableFrom["B"], n.member("b").unreachableFrom["B"], b.heartbeatsLost = true, true, true
		term := n.member("c").status.Term
		n.run(4 * time.Second)
		Expect(n.member("c").status.Term).To(Equal(term))
		Expect(a.isHome()).To(BeTrue())
	})

	ginkgo.It("waits out the old lease", func() {
		// The home is only cut off from the other daemons and goes on serving.
		// A candidate that served at once would make a second home.
		n, a := newServingNet()
		a.paused = true
		var fenced core.Time
		for n.now < core.Time(10*time.Second) && !n.home("B").isHome() {
			if fenced == 0 && n.member("b").status.Role == core.RoleFenced {
				fenced = n.now
			}
			Expect(n.now < a.g.leadership.leaseUntil && n.home("B").isHome()).To(BeFalse())
			n.run(ms)
		}
		Expect(n.now.Sub(fenced)).To(BeNumerically(">=", DefaultTuning().LeaseDuration))
		Expect(n.now).To(BeNumerically(">=", a.g.leadership.leaseUntil))
	})
})

var _ = ginkgo.Describe("the term lease", func() {
	// A daemon stands still for 3 s while it is home. Another takes over and
	// promotes. When the first wakes up, a write that its primary had finished
	// and a write that waits in its sockets must not be confirmed.
	wake := func(change ...func(*Tuning)) (*fakeHome, core.RequestID, core.RequestID) {
		n, a := newServingNet(change...)
		running := a.arrive(func(r *Arrived) { r.Deadline = n.now.Add(10 * time.Second) })
		n.run(ms + ms/2)
		a.paused, a.heartbeatsLost = true, true
		n.run(3 * time.Second)
		Expect(n.home("B").isHome()).To(BeTrue())
		a.paused = false
		waiting := a.write()
		n.run(5 * ms)
		return a, running, waiting
	}

	ginkgo.It("lets a home that was paused confirm nothing", func() {
		a, running, waiting := wake()
		Expect(a.acks).NotTo(HaveKey(running))
		Expect(a.acks).NotTo(HaveKey(waiting))
	})

	ginkgo.It("lets a home that was paused serve no read", func() {
		// Meanwhile riders wrote through the new home, and read through the
		// one that wakes up and does not know that it was replaced. One replica
		// was out of the new home's reach, so no fence ended the connections.
		stale := func(change ...func(*Tuning)) int {
			n, a := newServingNet(change...)
			n.member("c").unreachableFrom["B"], n.member("c").applyStopped = true, true
			a.paused, a.heartbeatsLost = true, true
			n.run(3 * time.Second)
			b := n.home("B")
			riders := []core.SessionID{"r1", "r2", "r3", "r4", "r5", "r6"}
			for _, rider := range riders {
				w := b.arrive(func(a *Arrived) { a.Session = rider })
				n.run(20 * ms)
				Expect(b.acks).To(HaveKey(w))
			}
			a.paused = false
			for _, rider := range riders {
				a.read(rider)
			}
			n.run(5 * ms)
			return len(a.acks)
		}
		Expect(stale()).To(BeZero())
		Expect(stale(func(t *Tuning) { t.DisabledGuards = GuardLeaseAtArrival })).To(BeNumerically(">", 0))
	})

	ginkgo.It("is what prevents it", func() {
		a, running, _ := wake(func(t *Tuning) { t.DisabledGuards = GuardLeaseAtAck })
		Expect(a.acks).To(HaveKey(running))
	})
})

var _ = ginkgo.Describe("a home and its candidates", func() {
	ginkgo.It("is left alone by a candidate that does not hear it while it works", func() {
		// Two daemons lose each other, but both reach the members. If each
		// deposed the other, callers would see gap after gap.
		n, a := newServingNet()
		term := a.g.leadership.term
		n.home("B").heartbeatsLost, n.home("C").heartbeatsLost = true, true
		gap := n.writeContinuously(10*time.Second, false)
		Expect(gap).To(BeNumerically("<", 100*ms))
		Expect(a.g.leadership.term).To(Equal(term))
	})

	ginkgo.It("gives way when it has lost the members but not the daemons", func() {
		// The home's switch drops its way to the members, and the primary dies,
		// so nobody reaches it. The heartbeats of the home that can do nothing
		// must not keep the others from claiming.
		n, a := newServingNet()
		n.member("a").down = true
		for _, m := range n.members {
			m.unreachableFrom["A"] = true
		}
		gap := n.writeContinuously(5*time.Second, false)
		ginkgo.GinkgoWriter.Println("home without members gap", gap)
		Expect(a.isHome()).To(BeFalse())
		Expect(gap).To(BeNumerically("<", 3*time.Second))
	})

	ginkgo.It("moves to a candidate when it is none any more", func() {
		// The membership chose other daemons; nothing failed, so no request may.
		n, a := newServingNet()
		list := []Candidate{{ID: "B", Zone: "zB"}, {ID: "C", Zone: "zC"}}
		for i := range 100 {
			if i == 10 {
				for _, h := range n.homes {
					h.send(&Candidates{List: list})
				}
			}
			a.write()
			n.run(5 * ms)
		}
		Expect(n.home("B").isHome()).To(BeTrue())
		for id, outcome := range a.fails {
			Expect(outcome).To(Equal(core.OutcomeNotRun))
			Expect(a.lastFail[id].Hint).To(Equal(core.DaemonID("B")))
		}
		Expect(a.drained).To(BeFalse())
	})

	ginkgo.It("is not replaced between two heartbeats, however short the claim delay", func() {
		n, a := newServingNet(func(t *Tuning) { t.ClaimDelay = 50 * ms })
		n.run(5 * time.Second)
		Expect(a.g.leadership.term).To(Equal(core.Term(2)))
	})

	ginkgo.It("comes back quickly when its daemon restarts", func() {
		n, a := newServingNet()
		a.crashed = true
		clear(a.conns)
		n.homes = n.homes[1:]
		again := n.addHome(Candidate{ID: "A", Zone: "zA"})
		again.send(&Candidates{List: append([]Candidate(nil), a.g.candidates...)})
		again.send(&HomeNews{Home: "A", Term: a.g.leadership.term, Primary: "a"})
		n.run(800 * ms)
		Expect(again.isHome()).To(BeTrue())
	})
})
