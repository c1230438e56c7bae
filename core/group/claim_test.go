package group

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

var _ = ginkgo.Describe("claiming a group", func() {
	ginkgo.It("makes exactly one daemon the home, which serves", func() {
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

	ginkgo.It("succeeds after the lease of a home that crashed", func() {
		// The home crashes. The next candidate receives no heartbeats, fences
		// the members, waits for the lease of the old home to expire and serves
		// with the same primary.
		n, a := newServingNet()
		a.crashed = true
		gap := n.writeContinuously(4*time.Second, false)
		ginkgo.GinkgoWriter.Println("home crash gap", gap)
		Expect(n.home("B").isHome()).To(BeTrue())
		Expect(n.home("B").g.leadership.primary.ID).To(Equal(core.MemberID("a")))
		Expect(gap).To(BeNumerically("<", 2*time.Second))
	})

	ginkgo.It("succeeds when the answer to the promotion is lost", func() {
		// The member became primary, but its answer was lost. Promoting another
		// member would make two primaries of one term. The repeated call is
		// refused by the member that is already primary.
		n := newNet(3)
		n.member("a").losePromoteAnswer = true
		n.run(2 * time.Second)
		Expect(n.home("A").isHome()).To(BeTrue())
		Expect(n.home("A").g.leadership.term).To(Equal(core.Term(2)))
	})

	ginkgo.It("is completed by another candidate if the claimant crashes at any step", func() {
		// A candidate crashes before, during or after the fences or the
		// promotion. Another candidate must complete the claim.
		for step := range 12 {
			n, a := newServingNet()
			n.member("a").down = true
			n.run(time.Duration(step) * ms)
			a.crashed = true
			n.run(5 * time.Second)
			b := n.home("B")
			Expect(b.isHome()).To(BeTrue(), "crashed after %d ms", step)
			w := b.write()
			n.run(50 * ms)
			Expect(b.acks).To(HaveKey(w), "crashed after %d ms", step)
		}
	})

	ginkgo.It("does not disturb a serving home if it cannot succeed", func() {
		// A candidate is cut off from the other daemons and two members. It
		// must not repeatedly fence the member that it reaches.
		n, a := newServingNet()
		b := n.home("B")
		n.member("a").unreachableFrom["B"], n.member("b").unreachableFrom["B"], b.heartbeatsLost = true, true, true
		term := n.member("c").status.Term
		n.run(4 * time.Second)
		Expect(n.member("c").status.Term).To(Equal(term))
		Expect(a.isHome()).To(BeTrue())
	})

	ginkgo.It("waits until the old lease has expired", func() {
		// The old home is paused and still holds its lease. A candidate that
		// served immediately would be a second home.
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
	// The home is paused for 3 s, and another daemon takes over and promotes.
	// After the pause, the first daemon must confirm neither a write that its
	// primary had finished nor a new one.
	pauseAndResume := func(change ...func(*Tuning)) (*fakeHome, core.RequestID, core.RequestID) {
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

	ginkgo.It("prevents a home that was paused from confirming writes", func() {
		a, running, waiting := pauseAndResume()
		Expect(a.acks).NotTo(HaveKey(running))
		Expect(a.acks).NotTo(HaveKey(waiting))
	})

	ginkgo.It("prevents a home that was paused from serving reads", func() {
		// Sessions write through the new home and then read through the old one,
		// which does not know that it was replaced. The new home could not fence
		// one replica, so the old home's connections there are still open.
		ackedReads := func(change ...func(*Tuning)) int {
			n, a := newServingNet(change...)
			n.member("c").unreachableFrom["B"], n.member("c").applyStopped = true, true
			a.paused, a.heartbeatsLost = true, true
			n.run(3 * time.Second)
			b := n.home("B")
			sessions := []core.SessionID{"r1", "r2", "r3", "r4", "r5", "r6"}
			for _, session := range sessions {
				w := b.arrive(func(a *Arrived) { a.Session = session })
				n.run(20 * ms)
				Expect(b.acks).To(HaveKey(w))
			}
			a.paused = false
			for _, session := range sessions {
				a.read(session)
			}
			n.run(5 * ms)
			return len(a.acks)
		}
		Expect(ackedReads()).To(BeZero())
		Expect(ackedReads(func(t *Tuning) { t.DisabledGuards = GuardLeaseAtArrival })).To(BeNumerically(">", 0))
	})

	ginkgo.It("is the check that prevents the confirmation", func() {
		a, running, _ := pauseAndResume(func(t *Tuning) { t.DisabledGuards = GuardLeaseAtAck })
		Expect(a.acks).To(HaveKey(running))
	})
})

var _ = ginkgo.Describe("home of a group", func() {
	ginkgo.It("is not replaced while it is active but its heartbeats are lost", func() {
		// The daemons do not reach each other, but all reach the members. If they
		// replaced each other, callers would see repeated failovers.
		n, a := newServingNet()
		term := a.g.leadership.term
		n.home("B").heartbeatsLost, n.home("C").heartbeatsLost = true, true
		gap := n.writeContinuously(10*time.Second, false)
		Expect(gap).To(BeNumerically("<", 100*ms))
		Expect(a.g.leadership.term).To(Equal(term))
	})

	ginkgo.It("is replaced when it reaches the other daemons but no member", func() {
		// The home is cut off from the members, and the primary crashes. The
		// heartbeats of a home that cannot serve must not prevent the other
		// daemons from claiming the group.
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

	ginkgo.It("moves to a candidate when the home is no longer one", func() {
		// The list of candidates changes without a failure, so every request
		// must be served or redirected.
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

	ginkgo.It("claims the group again quickly after a restart", func() {
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
