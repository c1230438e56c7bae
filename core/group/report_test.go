package group

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

// reports sends a member's report, asked for now.
func (h *fakeHome) sendReport(id core.MemberID, s core.Status) {
	h.send(&Probed{Member: id, SentAt: h.net.now, Status: s})
}

// emitted returns the effects of the last event that are of type T.
func effectsOfType[T Effect](h *fakeHome) []T {
	var out []T
	for _, e := range h.effects.List {
		if v, ok := e.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

var _ = ginkgo.Describe("what a member reports", func() {
	ginkgo.It("makes the home fence a primary that was away", func() {
		// An old primary comes back and still takes writes from whoever
		// reaches it. It must be stopped below the present term.
		n, a := newServingNet()
		term := a.g.leadership.term
		a.g.leadership.term += 2 // As if a promotion had passed it by.
		a.g.leadership.since = n.now
		n.run(ms)
		a.sendReport("c", core.Status{Term: term, Role: core.RolePrimary})
		Expect(effectsOfType[*Fence](a)).To(ConsistOf(HaveField("Term", term+1)))
	})

	ginkgo.It("counts for nothing while its log has diverged", func() {
		// The old primary is attached again, with more of the old term's log
		// than the new term began with. A read there would lack new writes.
		n, a := newServingNet()
		term := a.g.leadership.term
		a.g.leadership.start = core.Position{Term: term - 2, LSN: 100}
		a.g.members[1].position, a.g.members[1].positionKnown = core.Position{}, false
		n.run(ms)
		a.sendReport("b", core.Status{Term: term, Role: core.RoleReplica, LogTerm: term - 2, LSN: 120})
		Expect(a.g.isServing(a.g.members[1])).To(BeFalse())
		n.run(ms)
		a.sendReport("b", core.Status{Term: term, Role: core.RoleReplica, LogTerm: term - 2, LSN: 90})
		Expect(a.g.isServing(a.g.members[1])).To(BeTrue())
	})

	ginkgo.It("is ignored when it was asked for before the promotion was known", func() {
		// A probe overtakes the promotion. Its answer, the fenced state, must
		// not look like a primary that lost its term.
		_, a := newServingNet()
		r := a.g.leadership
		a.g.members[0].reportedAt = r.since - 2
		a.send(&Probed{Member: "a", SentAt: r.since - 1, Status: core.Status{Term: r.term - 1, Role: core.RoleFenced}})
		Expect(effectsOfType[*Fence](a)).To(BeEmpty())
		Expect(a.isHome()).To(BeTrue())
	})

	ginkgo.It("bounds what the home opens when others have connections there", func() {
		n, a := newServingNet()
		s := n.statusOf(n.member("b"))
		s.Connections += 5
		a.sendReport("b", s)
		delete(a.conns, 1)
		a.send(&ConnClosed{Conn: 1})
		n.run(20 * ms)
		Expect(a.g.Snapshot().Members[0].Connections).To(Equal(3))
		a.sendReport("b", n.statusOf(n.member("b")))
		n.run(5 * ms)
		Expect(a.g.Snapshot().Members[0].Connections).To(Equal(4))
	})

	ginkgo.It("gives the position of a read that a write overtook", func() {
		// A buyer reads in a quiet group while a bid falls, and may have seen
		// it. Until the primary tells its position, only it serves the buyer.
		n, a := newServingNet()
		buyer := a.read("buyer")
		a.arrive(func(a *Arrived) { a.Session = "bidder" })
		n.run(ms + ms/2)
		a.send(&Finished{Request: buyer, TxStatus: 'I'})
		_, known := a.g.sessionPosition(&request{sessionHash: hashSession("buyer")})
		Expect(known).To(BeFalse())
		n.run(10 * ms)
		need, known := a.g.sessionPosition(&request{sessionHash: hashSession("buyer")})
		Expect(known).To(BeTrue())
		Expect(need.LSN).To(Equal(n.member("a").status.LSN))
	})
})

var _ = ginkgo.Describe("a request that ended", func() {
	ginkgo.It("leaves no connection behind", func() {
		// Its Finished is under way when it fails: nobody else would close the
		// connection, which would stay open beside the budget.
		_, a := newServingNet()
		a.write()
		a.send(&Abandoned{Request: a.net.nextRequest})
		Expect(effectsOfType[*CloseConn](a)).To(HaveLen(1))
	})

	ginkgo.It("does not run on a connection that broke while it waited", func() {
		// A statement of a transaction waits because the term is in doubt, and
		// the transaction's connection breaks. It must not be dispatched there.
		n, a := newServingNet()
		c := beginTransaction(n, a, 901)
		a.g.detect.contestedSince = n.now
		r := a.arrive(inTransaction(901, true))
		delete(a.conns, c)
		a.send(&ConnClosed{Conn: c})
		n.run(500 * ms)
		Expect(a.reasons).To(HaveKeyWithValue(r, ReasonTransactionLost))
		Expect(a.ranOn).NotTo(HaveKey(r))
	})

	ginkgo.It("is not needed for a daemon to stop", func() {
		h := newNet(0).addHome(Candidate{ID: "A"})
		h.g = New(Options{Group: "park"})
		h.send(&Drain{})
		Expect(h.drained).To(BeTrue())
	})

	ginkgo.It("does not leave its transaction to the caller's next request", func() {
		// The caller was told that its transaction failed and begins anew. The
		// old transaction, open on its connection, must not swallow that.
		n, a := newServingNet()
		c := beginTransaction(n, a, 901)
		r := a.arrive(inTransaction(901, false))
		n.run(10 * ms)
		Expect(a.acks).To(HaveKey(r))
		Expect(a.ranOn[r]).NotTo(Equal(c))
		Expect(a.conns).NotTo(HaveKey(c))
	})
})

var _ = ginkgo.Describe("what only the primary has", func() {
	ginkgo.It("is kept when a dead candidate left the primary fenced", func() {
		// The primary has a write that no replica has, and was fenced above
		// the leadership. The home must not pass it by only because it refuses.
		n, a := newServingNet()
		n.member("b").applyStopped, n.member("c").applyStopped = true, true
		w := a.arrive(func(a *Arrived) { a.Session = "rider" })
		n.run(10 * ms)
		n.member("a").fence(a.g.leadership.term+3, FailureNone)
		n.run(5 * time.Second)
		r := a.read("rider")
		n.run(50 * ms)
		Expect(a.acks).To(And(HaveKey(w), HaveKey(r)))
		Expect(a.readPositions[r].LSN).To(BeNumerically(">=", a.acks[w].LSN))
	})

	ginkgo.It("is missed by its session after a handover as well", func() {
		// The home hands over at the moment the primary dies. The new home
		// learns from the old one whose write the promotion lost.
		n, a := newServingNet()
		n.member("b").applyStopped, n.member("c").applyStopped = true, true
		a.arrive(func(a *Arrived) { a.Session = "rider" })
		n.run(10 * ms)
		a.send(&Drain{})
		n.member("a").down = true
		n.run(2 * time.Second)
		b := n.home("B")
		r := b.read("rider")
		n.run(50 * ms)
		Expect(b.reasons).To(HaveKeyWithValue(r, ReasonWriteLost))
	})
})
