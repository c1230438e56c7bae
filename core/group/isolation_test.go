package group

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

var _ = ginkgo.Describe("primary that is cut off only from its peers", func() {
	ginkgo.It("is replaced without losing confirmed writes", func() {
		// All members answer the daemons, but the primary's log reaches no
		// replica, so no durable write is confirmed before its deadline.
		n, a := newServingNet()
		w := a.arrive(func(a *Arrived) { a.Durable = true })
		n.run(50 * ms)
		Expect(a.acks).To(HaveKey(w))
		n.primary().peersUnreachable = true
		gap := n.writeContinuously(9*time.Second, true)
		ginkgo.GinkgoWriter.Println("gap", gap)
		Expect(gap).To(BeNumerically("<", 2*time.Second))
		Expect(n.primary().id).NotTo(Equal(core.MemberID("a")))
		Expect(n.primary().status.LSN).To(BeNumerically(">=", a.acks[w].LSN))
	})

	ginkgo.It("is replaced although no further requests arrive", func() {
		// A few writes without a known position wait, and their callers send
		// nothing else.
		n, a := newServingNet()
		n.primary().peersUnreachable = true
		n.omitPositions = true
		for range 3 {
			a.arrive(func(r *Arrived) { r.Durable, r.Deadline = true, n.now.Add(30*time.Second) })
		}
		n.run(2 * time.Second)
		Expect(n.primary().id).NotTo(Equal(core.MemberID("a")))
	})

	ginkgo.It("is not assumed after statements that wrote nothing", func() {
		// A statement that is not declared as a read writes nothing and is
		// confirmed without progress of any replica. The wait must not count
		// from it, or the next write replaces a healthy primary.
		n, a := newServingNet()
		claims := a.g.counters.Claims
		n.writeNothing, n.omitPositions = true, true // The statement is held until the next reports.
		a.arrive(func(r *Arrived) { r.Durable = true })
		n.run(3 * time.Second)
		n.writeNothing, n.omitPositions = false, false
		w := a.arrive(func(r *Arrived) { r.Durable = true })
		n.run(time.Second)
		Expect(a.acks).To(HaveKey(w))
		Expect(a.g.counters.Claims).To(Equal(claims))
	})

	ginkgo.It("is kept while replicas only lag and it alone has acknowledged writes", func() {
		// Replication lags by seconds but continues, and some writes are not
		// durable. A promotion would lose them.
		n, a := newServingNet()
		claims := a.g.counters.Claims
		for _, m := range n.members {
			m.lag = 3 * time.Second
		}
		for range 80 {
			a.arrive(func(r *Arrived) { r.Durable = false })
			a.arrive(func(r *Arrived) { r.Durable = true })
			n.run(100 * ms)
		}
		Expect(a.isHome()).To(BeTrue())
		Expect(n.primary().id).To(Equal(core.MemberID("a")))
		Expect(a.g.counters.Claims).To(Equal(claims))
	})

	ginkgo.It("is not replaced repeatedly when all members are slow", func() {
		// Every replica lags by more than the isolation timeout. Without the
		// doubling, replacements would repeat and no write would be confirmed.
		n, a := newServingNet()
		for _, m := range n.members {
			m.lag = 4 * time.Second
		}
		begin := n.now
		for n.now < begin.Add(60*time.Second) {
			a.arrive(func(r *Arrived) { r.Durable, r.Deadline = true, n.now.Add(10*time.Second) })
			n.run(100 * ms)
		}
		Expect(a.g.counters.Claims).To(BeNumerically("<", 6))
		confirmed := 0
		for _, at := range a.ackedAt {
			if at > n.now.Add(-10*time.Second) {
				confirmed++
			}
		}
		Expect(confirmed).To(BeNumerically(">", 50))
	})

	ginkgo.It("is promoted again when only one other member is fenced", func() {
		// The only fenced replica lacks a write that the other replica
		// confirmed. Excluding the old primary would lose the write.
		g := New(Options{})
		primary := &member{Member: Member{ID: "a"}, vote: voteFenced}
		primary.voteStatus.LSN = 7
		lacks := &member{Member: Member{ID: "b"}, vote: voteFenced}
		has := &member{Member: Member{ID: "c"}, vote: voteFailed}
		g.members = []*member{primary, lacks, has}
		g.ballot.excluded = primary
		Expect(g.furthest()).To(BeIdenticalTo(primary))
		has.vote = voteFenced
		Expect(g.furthest()).NotTo(BeIdenticalTo(primary))
	})
})
