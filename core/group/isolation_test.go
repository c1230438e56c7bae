package group

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

var _ = ginkgo.Describe("a primary that is cut off from its peers only", func() {
	ginkgo.It("is replaced, and confirmed writes stay", func() {
		// Every gate hangs until its deadline although all three members answer
		// the daemons. The primary commits alone: its log reaches nobody, so no
		// durable write is ever confirmed.
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

	ginkgo.It("is replaced although the callers send nothing more", func() {
		// The same with callers that wait for their first answer: a few writes
		// hang, whose positions were not told, and nothing follows them.
		n, a := newServingNet()
		n.primary().peersUnreachable = true
		n.omitPositions = true
		for range 3 {
			a.arrive(func(r *Arrived) { r.Durable, r.Deadline = true, n.now.Add(30*time.Second) })
		}
		n.run(2 * time.Second)
		Expect(n.primary().id).NotTo(Equal(core.MemberID("a")))
	})

	ginkgo.It("is not seen in a healthy one after statements that wrote nothing", func() {
		// A gate asks something that is not declared a read, and writes minutes
		// later. The first is confirmed although no replica had anything to
		// receive; the write after it met a replacement of the primary.
		n, a := newServingNet()
		claims := a.g.counters.Claims
		n.writeNothing, n.omitPositions = true, true // It is held until the next reports.
		a.arrive(func(r *Arrived) { r.Durable = true })
		n.run(3 * time.Second)
		n.writeNothing, n.omitPositions = false, false
		w := a.arrive(func(r *Arrived) { r.Durable = true })
		n.run(time.Second)
		Expect(a.acks).To(HaveKey(w))
		Expect(a.g.counters.Claims).To(Equal(claims))
	})

	ginkgo.It("is kept while its replicas only lag and it alone has what was acknowledged", func() {
		// Replication falls behind by seconds but goes on, and a kind that is
		// not durable is in use. A promotion would lose its writes.
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

	ginkgo.It("is not replaced again and again when all members are slow", func() {
		// Every replica is slower than the wait. Each replacement only starts
		// the next wait; writes would never be confirmed.
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

	ginkgo.It("is chosen again when only one other member is fenced", func() {
		// The one replica that can be fenced lacks a write that the other one
		// confirmed. Passing over the old primary would lose it.
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
