package group

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

// allConns is above the number of every connection.
const allConns ConnID = 1 << 30

// fillWithSilentWrites makes the connections up to last silent and sends more writes with a deadline of
// 8 s than the primary has places.
func fillWithSilentWrites(n *fakeNet, a *fakeHome, last ConnID) []core.RequestID {
	a.silentConns = last
	var sent []core.RequestID
	for range 24 {
		sent = append(sent, a.arrive(func(r *Arrived) { r.Deadline = n.now.Add(8 * time.Second) }))
	}
	return sent
}

func (h *fakeHome) runningAtPrimary() int { return h.g.leadership.primary.running }

var _ = ginkgo.Describe("statements on silent connections", func() {
	ginkgo.It("give their places to others while new connections to the member work", func() {
		// Statements that will never be answered hold all places of the primary. Without their places
		// all other requests wait for the deadlines of these, although the primary is idle.
		n, a := newServingNet()
		claims := a.g.counters.Claims
		n.member("a").controlConnHangs = true
		silent := fillWithSilentWrites(n, a, a.g.lastConnID)
		begin := n.now
		Expect(a.runningAtPrimary()).To(Equal(4))
		acked := core.Time(0)
		for n.now < begin.Add(4*time.Second) {
			r := a.arrive(func(r *Arrived) { r.Deadline = n.now.Add(time.Second) })
			n.run(50 * ms)
			if _, ok := a.acks[r]; ok && acked == 0 {
				acked = n.now
			}
		}
		Expect(acked).NotTo(BeZero())
		Expect(acked.Sub(begin)).To(BeNumerically("<", 1500*ms))
		Expect(a.g.counters.Claims).To(Equal(claims))
		Expect(a.g.counters.PlacesReleased).To(BeNumerically(">", 0))
		n.run(5 * time.Second)
		unknown := 0
		for _, r := range silent {
			if o, ok := a.fails[r]; ok && o == core.OutcomeUnknown {
				unknown++
			}
		}
		Expect(unknown).To(Equal(4), "each may have run and ends with its own deadline, the rest are served")
	})

	ginkgo.It("give their places at a replica to others", func() {
		// The replicas' connections are as many as their places. Reads must get new ones there.
		n, a := newServingNet()
		a.silentConns = a.g.lastConnID
		for range 24 {
			a.arrive(func(r *Arrived) { r.Read, r.Deadline = true, n.now.Add(8*time.Second) })
		}
		byReplica := 0
		for range 60 {
			r := a.arrive(func(r *Arrived) { r.Read, r.Deadline = true, n.now.Add(time.Second) })
			n.run(50 * ms)
			if _, ok := a.acks[r]; ok && a.servedBy[r] != a.g.leadership.primary.ID {
				byReplica++
			}
		}
		Expect(byReplica).To(BeNumerically(">", 20))
	})

	ginkgo.It("keep their places until they are silent for long", func() {
		// A statement that is slower than usual, or a member that answers late, must not make the home
		// send more than the member can run.
		n, a := newServingNet()
		fillWithSilentWrites(n, a, allConns)
		for range 10 {
			n.run(40 * ms)
			Expect(a.runningAtPrimary()).To(Equal(4))
		}
		Expect(a.g.counters.PlacesReleased).To(BeZero())
	})

	ginkgo.It("keep their places if the member has answered no probe since", func() {
		// Then the member itself may hang, and more statements would hang as well.
		n, a := newServingNet()
		fillWithSilentWrites(n, a, allConns)
		n.run(time.Second)
		p := a.g.leadership.primary
		Expect(a.g.releasedPlaces(p)).To(BeNumerically(">", 0))
		p.failures = 1
		Expect(a.g.releasedPlaces(p)).To(BeZero())
		p.failures, p.reportedAt = 0, a.g.conns[0].stateSince
		p.silentFrom = 0
		Expect(a.g.releasedPlaces(p)).To(BeZero())
	})

	ginkgo.It("release at most as many places as the member has", func() {
		// The member answers probes, but none of its statements. Without the bound the home would send
		// it all that waits.
		n, a := newServingNet()
		c := n.configure(a, 2)
		c.MaxConnections = 60
		a.send(c)
		n.run(50 * ms)
		fillWithSilentWrites(n, a, allConns)
		peak := 0
		for range 140 {
			n.run(50 * ms)
			peak = max(peak, a.runningAtPrimary())
		}
		Expect(peak).To(Equal(8))
	})

	ginkgo.It("release nothing while nothing waits", func() {
		n, a := newServingNet()
		a.silentConns = allConns
		a.write()
		opened := a.g.counters.ConnsOpened
		n.run(1500 * ms)
		Expect(a.runningAtPrimary()).To(Equal(1))
		Expect(a.g.counters.ConnsOpened).To(Equal(opened))
	})
})
