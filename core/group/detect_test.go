package group

import (
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

// newServingNet returns a net of three daemons in which A is home and serves.
func newServingNet(change ...func(*Tuning)) (*fakeNet, *fakeHome) {
	n := newNet(3, change...)
	n.run(2 * time.Second)
	a := n.home("A")
	Expect(a.isHome()).To(BeTrue())
	return n, a
}

// writeContinuously sends a write to every running daemon every 10 ms for d. It
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

var _ = ginkgo.Describe("failing primary", func() {
	ginkgo.It("is replaced within a second after a crash without losing confirmed writes", func() {
		// The primary's process crashes. The home tries a new connection, asks
		// candidates in other zones, fences the two remaining members and
		// promotes the one with the confirmed writes.
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
		// Calls to the primary are not refused but time out. A statement that
		// exceeds the stall timeout triggers a probe before the regular one.
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

	ginkgo.It("is kept when only the control connection hangs", func() {
		// A firewall drops the state of one connection, but new connections
		// work. A promotion would needlessly lose unconfirmed writes.
		n, a := newServingNet()
		term := a.g.leadership.term
		n.member("a").controlConnHangs = true
		n.writeContinuously(2*time.Second, false)
		Expect(a.g.leadership.term).To(Equal(term))
		Expect(a.g.leadership.primary.ID).To(Equal(core.MemberID("a")))
	})

	ginkgo.It("is kept when the control connection hangs and it has no free connection for a while", func() {
		// Silent connections stay open at the member, so that it refuses new ones. A promotion would
		// needlessly lose unconfirmed writes.
		n, a := newServingNet()
		term := a.g.leadership.term
		n.member("a").controlConnHangs, n.member("a").probesRefused = true, true
		n.run(time.Second)
		n.member("a").probesRefused = false
		n.writeContinuously(2*time.Second, false)
		Expect(a.g.leadership.term).To(Equal(term))
		Expect(a.g.detect.busySince).To(BeZero())
	})

	ginkgo.It("is replaced when it has no free connection for a probe for long", func() {
		// Nobody could tell whether it works.
		n, a := newServingNet()
		n.member("a").probesRefused = true
		n.run(4 * time.Second)
		Expect(a.g.counters.Claims).To(BeNumerically(">", 1))
	})

	ginkgo.It("keeps its connections when the home itself was paused", func() {
		// The daemon gets no CPU time, so an answer appears to be late.
		n, a := newServingNet()
		n.member("a").controlConnHangs = true
		for n.run(5 * ms); !a.g.members[0].probe.inFlight; {
			n.run(ms)
		}
		n.member("a").controlConnHangs, a.paused = false, true
		n.run(300 * ms)
		a.paused = false
		n.run(100 * ms)
		Expect(a.logs).To(ContainElement(ContainSubstring("primary suspected")))
		Expect(a.g.Snapshot().Counters.ConnsOpened).To(Equal(uint64(12)))
	})

	ginkgo.It("remains primary when another zone reaches it", func() {
		// The home does not reach the primary, but a daemon in another zone
		// does. The group moves to that daemon and keeps its primary.
		n, a := newServingNet()
		n.member("a").unreachableFrom["A"] = true
		gap := n.writeContinuously(3*time.Second, false)
		ginkgo.GinkgoWriter.Println("home cut off gap", gap)
		Expect(a.isHome()).To(BeFalse())
		Expect(n.home("B").isHome()).To(BeTrue())
		Expect(n.home("B").g.leadership.primary.ID).To(Equal(core.MemberID("a")))
		Expect(gap).To(BeNumerically("<", 1200*ms))
	})

	ginkgo.It("acknowledges nothing after a pause", func() {
		// The primary is paused for 3 s while it runs a write, and is replaced.
		// After the pause it runs the write, which must not be acknowledged, and
		// has to follow the new primary.
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

	ginkgo.It("is promoted again after a candidate crashed while fencing", func() {
		// A candidate fences the primary and a replica and crashes. Writes fail
		// until the home detects that no daemon completes the claim.
		n, a := newServingNet()
		for _, id := range []core.MemberID{"a", "b"} {
			m := n.member(id)
			m.fence(a.g.leadership.term+3, FailureNone)
		}
		gap := n.writeContinuously(4*time.Second, false)
		ginkgo.GinkgoWriter.Println("crashed candidate gap", gap)
		Expect(a.isHome()).To(BeTrue())
		Expect(gap).To(BeNumerically("<", 3*time.Second))
	})

	ginkgo.It("regains a replica that a crashed candidate left fenced", func() {
		// One replica is fenced above the leadership and follows no primary. The
		// group runs without it until the home promotes at a higher term.
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

var _ = ginkgo.Describe("planned promotion", func() {
	ginkgo.It("replaces a leaving primary without failing a write", func() {
		// The platform removes the primary. New writes wait, the running ones
		// end, and a replica catches up and is promoted. No request fails.
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
