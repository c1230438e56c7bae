package group

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

// writeThenRead writes and reads in one session. It returns whether the read saw
// the write, and the member that served the read.
func writeThenRead(n *fakeNet, h *fakeHome, session core.SessionID) (bool, core.MemberID) {
	w := h.arrive(func(a *Arrived) { a.Session = session })
	n.run(4 * ms)
	r := h.read(session)
	n.run(60 * ms)
	Expect(h.acks).To(HaveKey(w))
	Expect(h.acks).To(HaveKey(r))
	return !h.readPositions[r].Less(h.acks[w]), h.servedBy[r]
}

var _ = ginkgo.Describe("session", func() {
	ginkgo.It("reads its own write while every replica is behind", func() {
		// A session reads immediately after a write. Replication is stopped, so
		// only the primary has the write.
		n, a := newServingNet()
		for _, id := range []core.MemberID{"b", "c"} {
			n.member(id).applyStopped = true
		}
		saw, server := writeThenRead(n, a, "rider")
		Expect(saw).To(BeTrue())
		Expect(server).To(Equal(core.MemberID("a")))
	})

	ginkgo.It("does not read its own write without the session-floor guard", func() {
		n, a := newServingNet(func(t *Tuning) { t.DisabledGuards = GuardSessionFloor })
		for _, id := range []core.MemberID{"b", "c"} {
			n.member(id).applyStopped = true
		}
		saw, _ := writeThenRead(n, a, "rider")
		Expect(saw).To(BeFalse())
	})

	ginkgo.It("is served by a replica after a short wait", func() {
		n, a := newServingNet()
		saw, server := writeThenRead(n, a, "rider")
		Expect(saw).To(BeTrue())
		Expect(server).NotTo(Equal(core.MemberID("a")))
	})

	ginkgo.It("is served by a replica again soon after a period of lag", func() {
		n, a := newServingNet()
		n.member("b").applyStopped, n.member("c").applyStopped = true, true
		var r core.RequestID
		for i := range 3040 {
			session := core.SessionID(fmt.Sprint("rider", i%50))
			if i == 3000 {
				n.member("b").applyStopped = false
			}
			if i < 3000 && i%5 == 0 {
				a.arrive(func(a *Arrived) { a.Session = session })
			}
			r = a.read(session)
			n.run(ms)
		}
		Expect(a.servedBy[r]).To(Equal(core.MemberID("b")))
	})

	ginkgo.It("has monotonic reads across replicas", func() {
		// A read on a fast replica sees the write of another session. The next
		// read of the same session, on a slow replica, must see it too.
		n, a := newServingNet()
		n.member("b").lag, n.member("c").lag = 2*ms, 150*ms
		var last core.Position
		for i := range 300 {
			a.arrive(func(a *Arrived) { a.Session = core.SessionID(fmt.Sprint("bidder", i%7)) })
			r := a.read("buyer")
			n.run(time.Duration(1+i%9) * ms)
			n.run(30 * ms)
			Expect(a.readPositions[r].Less(last)).To(BeFalse(), "read %d", i)
			last = a.readPositions[r]
		}
	})

	ginkgo.It("keeps no position in memory after the replicas have reached it", func() {
		n, a := newServingNet()
		for i := range 500 {
			a.arrive(func(a *Arrived) { a.Session = core.SessionID(fmt.Sprint("rider", i)) })
			n.run(ms)
		}
		Expect(a.g.Snapshot().Sessions).To(BeNumerically(">", 0))
		Expect(a.g.Snapshot().Sessions).To(BeNumerically("<", 300))
		n.run(time.Second)
		Expect(a.g.Snapshot().Sessions).To(BeZero())
	})

	ginkgo.It("keeps its position when the group is handed over", func() {
		// The home is drained between a write and a read.
		n, a := newServingNet()
		for _, id := range []core.MemberID{"b", "c"} {
			n.member(id).applyStopped = true
		}
		w := a.arrive(func(a *Arrived) { a.Session = "rider" })
		n.run(10 * ms)
		a.send(&Drain{Deadline: n.now.Add(10 * time.Second)})
		n.run(50 * ms)
		Expect(a.drained).To(BeTrue())
		b := n.home("B")
		Expect(b.isHome()).To(BeTrue())
		r := b.read("rider")
		n.run(100 * ms)
		Expect(b.acks).To(HaveKey(r))
		Expect(b.readPositions[r].Less(a.acks[w])).To(BeFalse())
	})

	ginkgo.It("is notified once that a promotion lost its write", func() {
		// The primary crashes with a write that no replica has. The session's
		// next request must fail instead of returning older data; the request
		// after that is served.
		lose := func(change ...func(*Tuning)) (*fakeHome, core.RequestID, core.RequestID, core.RequestID) {
			n, a := newServingNet(change...)
			for _, id := range []core.MemberID{"b", "c"} {
				n.member(id).applyStopped = true
			}
			w := a.arrive(func(a *Arrived) { a.Session = "rider" })
			n.run(10 * ms)
			Expect(a.acks).To(HaveKey(w))
			n.member("a").down = true
			n.run(2 * time.Second)
			first := a.read("rider")
			n.run(50 * ms)
			second := a.read("rider")
			other := a.read("other")
			n.run(50 * ms)
			return a, first, second, other
		}
		a, first, second, other := lose()
		Expect(a.reasons).To(HaveKeyWithValue(first, ReasonWriteLost))
		Expect(a.acks).To(HaveKey(second))
		Expect(a.acks).To(HaveKey(other))
		a, first, _, _ = lose(func(t *Tuning) { t.DisabledGuards = GuardTermStart })
		Expect(a.acks).To(HaveKey(first))
	})

	ginkgo.It("is notified by a new home that knows its position only from the entry", func() {
		n, a := newServingNet()
		w := a.arrive(nil)
		n.run(2 * ms)
		n.run(2 * ms)
		floor := a.acks[w]
		n.member("a").down = true
		a.crashed = true
		n.run(4 * time.Second)
		b := n.home("B")
		r := b.arrive(func(a *Arrived) { a.Read, a.Floor = true, floor })
		n.run(50 * ms)
		if n.primary().status.LSN < floor.LSN {
			Expect(b.reasons).To(HaveKeyWithValue(r, ReasonWriteLost))
		} else {
			Expect(b.acks).To(HaveKey(r))
		}
	})
})

var _ = ginkgo.Describe("read with a maximum staleness", func() {
	ginkgo.It("is served by a replica with less lag", func() {
		n, a := newServingNet()
		for _, id := range []core.MemberID{"b", "c"} {
			n.member(id).lag = 300 * ms
		}
		stale := func(age time.Duration) core.RequestID {
			a.arrive(func(a *Arrived) { a.Session = "writer" })
			n.run(20 * ms)
			return a.arrive(func(a *Arrived) { a.Read, a.Session, a.MaxStaleness = true, "stand", age })
		}
		for range 100 {
			stale(time.Second)
		}
		loose, strict := stale(time.Second), stale(100*ms)
		n.run(100 * ms)
		Expect(a.servedBy[loose]).NotTo(Equal(core.MemberID("a")))
		Expect(a.servedBy[strict]).To(Equal(core.MemberID("a")))
	})

	ginkgo.It("still sees the session's own write", func() {
		n, a := newServingNet()
		for _, id := range []core.MemberID{"b", "c"} {
			n.member(id).applyStopped = true
		}
		a.arrive(func(a *Arrived) { a.Session = "rider" })
		n.run(10 * ms)
		r := a.arrive(func(a *Arrived) { a.Read, a.Session, a.MaxStaleness = true, "rider", time.Hour })
		n.run(50 * ms)
		Expect(a.servedBy[r]).To(Equal(core.MemberID("a")))
	})
})
