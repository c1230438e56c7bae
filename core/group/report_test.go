package group

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

// sendReport delivers a member's report to a probe that was sent now.
func (h *fakeHome) sendReport(id core.MemberID, s core.Status) {
	h.send(&Probed{Member: id, SentAt: h.net.now, Status: s})
}

// effectsOfType returns the effects of the last event that have type T.
func effectsOfType[T Effect](h *fakeHome) []T {
	var out []T
	for _, e := range h.effects.List {
		if v, ok := e.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

var _ = ginkgo.Describe("report of a member", func() {
	ginkgo.It("makes the home fence an old primary that returns", func() {
		// An old primary returns and still accepts writes. It must be fenced
		// below the current term.
		n, a := newServingNet()
		term := a.g.leadership.term
		a.g.leadership.term += 2 // As after a promotion that the member missed.
		a.g.leadership.since = n.now
		n.run(ms)
		a.sendReport("c", core.Status{Term: term, Role: core.RolePrimary})
		Expect(effectsOfType[*Fence](a)).To(ConsistOf(HaveField("Term", term+1)))
	})

	ginkgo.It("does not make a replica serve while its log has diverged", func() {
		// The old primary is attached again. It has more of the old term's log
		// than the new term inherited, so a read there could lack new writes.
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

	ginkgo.It("is ignored if its probe was sent before the promotion was known", func() {
		// A probe sent during the promotion returns the fenced state. It must
		// not be taken for a primary that has lost its term.
		_, a := newServingNet()
		l := a.g.leadership
		a.g.members[0].reportedAt = l.since - 2
		a.send(&Probed{Member: "a", SentAt: l.since - 1, Status: core.Status{Term: l.term - 1, Role: core.RoleFenced}})
		Expect(effectsOfType[*Fence](a)).To(BeEmpty())
		Expect(a.isHome()).To(BeTrue())
	})

	ginkgo.It("limits the connections that the home opens by those of other homes", func() {
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

	ginkgo.It("provides the position of a read that ran concurrently with a write", func() {
		// A read in a quiescent group may have seen a concurrent write. Until
		// the primary's next report only the primary serves the session.
		n, a := newServingNet()
		r := a.read("buyer")
		a.arrive(func(a *Arrived) { a.Session = "bidder" })
		n.run(ms + ms/2)
		a.send(&Finished{Request: r, TxStatus: 'I'})
		_, known := a.g.sessionPosition(&request{sessionHash: hashSession("buyer")})
		Expect(known).To(BeFalse())
		n.run(10 * ms)
		need, known := a.g.sessionPosition(&request{sessionHash: hashSession("buyer")})
		Expect(known).To(BeTrue())
		Expect(need.LSN).To(Equal(n.member("a").status.LSN))
	})
})

var _ = ginkgo.Describe("end of a request, transaction or daemon", func() {
	ginkgo.It("closes the connection of a cancelled request", func() {
		// The request fails while its Finished is queued. If the reducer did
		// not close the connection, it would stay open outside the budget.
		_, a := newServingNet()
		a.write()
		a.send(&Abandoned{Request: a.net.nextRequest})
		Expect(effectsOfType[*CloseConn](a)).To(HaveLen(1))
	})

	ginkgo.It("fails a statement whose pinned connection broke while it waited", func() {
		// A statement of a transaction waits because a higher term was seen, and
		// the transaction's connection breaks. The statement must not run there.
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

	ginkgo.It("completes a drain before the first configuration", func() {
		h := newNet(0).addHome(Candidate{ID: "A"})
		h.g = New(Options{Group: "park"})
		h.send(&Drain{})
		Expect(h.drained).To(BeTrue())
	})

	ginkgo.It("closes a failed transaction before the caller's next request", func() {
		// The caller was notified that its transaction failed and sends a new
		// request. It must not run inside the old transaction.
		n, a := newServingNet()
		c := beginTransaction(n, a, 901)
		r := a.arrive(inTransaction(901, false))
		n.run(10 * ms)
		Expect(a.acks).To(HaveKey(r))
		Expect(a.ranOn[r]).NotTo(Equal(c))
		Expect(a.conns).NotTo(HaveKey(c))
	})
})

var _ = ginkgo.Describe("write that only the primary has", func() {
	ginkgo.It("is kept when a crashed candidate left the primary fenced", func() {
		// The primary has a write that no replica has and was fenced above the
		// leadership. The home must not promote a replica only because the
		// primary refuses the fence.
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

	ginkgo.It("is reported as lost to its session after a handover", func() {
		// The home hands over when the primary crashes. The session positions
		// in the handover show the new home which sessions lost a write.
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
