package group

import (
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

// served returns a net of three daemons whose home A serves.
func newServingNet(change ...func(*Tuning)) (*fakeNet, *fakeHome) {
	n := newNet(3, change...)
	n.run(2 * time.Second)
	a := n.home("A")
	Expect(a.isHome()).To(BeTrue())
	return n, a
}

// writeEvery keeps writing at whichever home answers, every 10 ms for d, and
// returns the longest time without an acknowledgment.
func (n *fakeNet) writeContinuously(d time.Duration, durable bool) time.Duration {
	begin := n.now
	for n.now < begin.Add(d) {
		for _, h := range n.homes {
			if !h.crashed && !h.paused {
				h.arrive(func(a *Arrived) { a.Durable = durable })
			}
		}
		n.run(10 * ms)
	}
	times := []core.Time{begin, n.now}
	for _, h := range n.homes {
		for _, at := range h.ackedAt {
			if at > begin {
				times = append(times, at)
			}
		}
	}
	slices.Sort(times)
	gap := time.Duration(0)
	for i := range times[1:] {
		gap = max(gap, times[i+1].Sub(times[i]))
	}
	return gap
}

var _ = ginkgo.Describe("a failing primary", func() {
	ginkgo.It("is replaced within a second after a crash, and confirmed writes stay", func() {
		// A gate's check-outs stop when the primary's process dies. The home
		// tries a new connection, asks the other zones, fences the two members
		// left and promotes the one with the confirmed writes.
		n, a := newServingNet()
		w := a.arrive(func(a *Arrived) { a.Durable = true })
		n.run(50 * ms)
		Expect(a.acks).To(HaveKey(w))
		n.primary().down = true
		gap := n.writeContinuously(3*time.Second, true)
		Expect(gap).To(BeNumerically("<", time.Second))
		ginkgo.GinkgoWriter.Println("crash gap", gap)
		Expect(n.primary().id).NotTo(Equal(core.MemberID("a")))
		Expect(n.primary().status.LSN).To(BeNumerically(">=", a.acks[w].LSN))
	})

	ginkgo.It("is replaced when it is cut off from every daemon, at any time between probes", func() {
		// The same without refusals: every call runs into its time limit. The
		// statement that hangs has the primary probed before its turn.
		for offset := time.Duration(0); offset < 200*ms; offset += 20 * ms {
			n, a := newServingNet()
			n.writeContinuously(offset, false)
			for _, h := range n.homes {
				n.member("a").unreachableFrom[h.id] = true
			}
			gap := n.writeContinuously(3*time.Second, false)
			ginkgo.GinkgoWriter.Println("partition gap", gap)
			Expect(gap).To(BeNumerically("<", 300*ms))
			Expect(a.isHome()).To(BeTrue())
			Expect(a.g.leadership.primary.ID).NotTo(Equal(core.MemberID("a")))
		}
	})

	ginkgo.It("is kept when only the control connection is silent", func() {
		// A firewall forgets one connection. New ones work, so a promotion
		// would lose unconfirmed writes for nothing.
		n, a := newServingNet()
		term := a.g.leadership.term
		n.member("a").keptConnsSilent = true
		n.writeContinuously(2*time.Second, false)
		Expect(a.g.leadership.term).To(Equal(term))
		Expect(a.g.leadership.primary.ID).To(Equal(core.MemberID("a")))
	})

	ginkgo.It("keeps its connections when it was the home that stood still", func() {
		// The daemon gets no processor time, so an answer looks late to it.
		n, a := newServingNet()
		n.member("a").keptConnsSilent = true
		for n.run(5 * ms); !a.g.members[0].probe.inFlight; {
			n.run(ms)
		}
		n.member("a").keptConnsSilent, a.paused = false, true
		n.run(300 * ms)
		a.paused = false
		n.run(100 * ms)
		Expect(a.logs).To(ContainElement(ContainSubstring("primary suspected")))
		Expect(a.g.Snapshot().Counters.ConnsOpened).To(Equal(uint64(12)))
	})

	ginkgo.It("keeps its place when another zone reaches it", func() {
		// The home's own zone loses the primary. Another zone's daemon reaches
		// it, so the group moves to that daemon and the primary stays.
		n, a := newServingNet()
		n.member("a").unreachableFrom["A"] = true
		gap := n.writeContinuously(3*time.Second, false)
		ginkgo.GinkgoWriter.Println("home cut off gap", gap)
		Expect(a.isHome()).To(BeFalse())
		Expect(n.home("B").isHome()).To(BeTrue())
		Expect(n.home("B").g.leadership.primary.ID).To(Equal(core.MemberID("a")))
		Expect(gap).To(BeNumerically("<", 1200*ms))
	})

	ginkgo.It("acknowledges nothing when it wakes from a pause", func() {
		// The primary stops for 3 s with a bid on it, and is replaced. When it
		// wakes it runs the bid, but nobody may be told so, and it has to
		// follow the new primary.
		n, a := newServingNet()
		n.member("a").paused = true
		w := a.write()
		n.run(3 * time.Second)
		Expect(a.g.leadership.primary.ID).NotTo(Equal(core.MemberID("a")))
		Expect(a.fails).To(HaveKeyWithValue(w, core.OutcomeUnknown))
		n.member("a").paused = false
		n.run(3 * time.Second)
		Expect(a.acks).NotTo(HaveKey(w))
		Expect(n.member("a").status.Role).To(Equal(core.RoleReplica))
	})

	ginkgo.It("takes its place back after a candidate died while it fenced", func() {
		// A candidate fences the primary and a replica, and dies. Writes fail
		// until the home, still alive, notices that nobody follows it up.
		n, a := newServingNet()
		for _, id := range []core.MemberID{"a", "b"} {
			m := n.member(id)
			m.fence(a.g.leadership.term+3, FailureNone)
		}
		gap := n.writeContinuously(4*time.Second, false)
		ginkgo.GinkgoWriter.Println("dead candidate gap", gap)
		Expect(a.isHome()).To(BeTrue())
		Expect(gap).To(BeNumerically("<", 3*time.Second))
	})

	ginkgo.It("takes back a replica that a dead candidate left fenced", func() {
		// One replica stays fenced above the leadership and follows nobody; the
		// group runs without it until the home rises above, planned.
		n, a := newServingNet()
		m := n.member("c")
		m.fence(a.g.leadership.term+1, FailureNone)
		w := a.write()
		n.run(8 * time.Second)
		Expect(m.status.Role).To(Equal(core.RoleReplica))
		Expect(a.acks).To(HaveKey(w))
		Expect(a.isHome()).To(BeTrue())
	})
})

var _ = ginkgo.Describe("a planned promotion", func() {
	ginkgo.It("moves off a leaving primary without failing a write", func() {
		// The platform takes the primary away. New writes pause, the running
		// ones end, a replica catches up and is promoted: nobody sees an error.
		n, a := newServingNet()
		n.member("a").status.Leaving = true
		gap := n.writeContinuously(3*time.Second, false)
		ginkgo.GinkgoWriter.Println("planned gap", gap)
		Expect(a.fails).To(BeEmpty())
		Expect(a.g.leadership.primary.ID).NotTo(Equal(core.MemberID("a")))
		Expect(gap).To(BeNumerically("<", 300*ms))
		for _, d := range a.running {
			Expect(d.Member).NotTo(Equal(core.MemberID("a")))
		}
	})
})
