package membership

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

var _ = Describe("Reducer under overload", func() {
	// A host is overloaded for some seconds: probes of a healthy daemon fail, the
	// suspicion spreads, and its refutation is lost or delayed behind other
	// updates. Homes would move off a daemon that answers every probe.
	It("does not declare a suspect dead that answers probes but cannot refute", func() {
		c := newCluster(21, 0)
		c.addDaemons(12)
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(12) })).To(BeTrue())
		accused := c.procs[4]
		accused.r.refuteAt = core.Time(time.Hour * 24)
		u := c.procs[1].r.members[accused.id].stateUpdate()
		u.State = Suspect
		c.reduce(c.procs[1], &Received{From: c.procs[2].addr, Message: &Message{From: c.procs[2].id, Daemons: []DaemonUpdate{u}}})
		declaredDead := func() bool {
			for _, p := range c.procs {
				if m := p.r.members[accused.id]; m.State == Dead {
					return true
				}
			}
			return false
		}
		Expect(c.run(2*time.Minute, declaredDead)).To(BeFalse())
		accused.up = false
		Expect(c.run(2*time.Minute, declaredDead)).To(BeTrue())
	})

	// A zone is lost and one wrongly suspected daemon refutes at the same time.
	// Behind hundreds of deaths its refutation would arrive too late everywhere.
	It("sends refutations, homes and leaving targets before other updates", func() {
		r, out := startedReducer()
		r.Reduce(1, &Received{Message: &Message{From: "x", Daemons: []DaemonUpdate{daemonUpdate(0)}}}, out)
		refuted := r.members["d0"].stateUpdate()
		refuted.Incarnation++
		r.Reduce(2, &Received{Message: &Message{From: "x", Daemons: []DaemonUpdate{refuted},
			Homes: []Home{{Group: "g", Term: 2, Daemon: "d0"}}, Targets: []Target{{Addr: "t", Version: 1, Leaving: true, TTL: time.Hour}}}}, out)
		for i := 1; i < 200; i++ {
			r.Reduce(core.Time(2+i), &Received{Message: &Message{From: "x", Daemons: []DaemonUpdate{daemonUpdate(i)}}}, out)
		}
		var m Message
		r.now = core.Time(time.Second)
		r.appendUpdates(&m)
		Expect(m.Homes).To(HaveLen(1))
		Expect(m.Targets).To(HaveLen(1))
		Expect(m.Daemons[0].ID).To(Equal(core.DaemonID("d0")))
		Expect(m.room()).To(BeNumerically(">=", 0))
	})

	// Hundreds of daemons change at once, and each change is sent to several
	// others. Without a limit one daemon would send far more than its share of
	// bytes, just when the network is degraded.
	It("bounds the bytes of updates over a minute", func() {
		r, out := startedReducer()
		sent := 0
		for second := range 60 {
			for i := range 100 {
				u := daemonUpdate(100*second + i)
				at := core.Time(second)*core.Time(time.Second) + core.Time(i)
				out.Reset()
				r.Reduce(at, &Received{Message: &Message{From: "x", Daemons: []DaemonUpdate{u}}}, out)
				sent += updateBytes(out)
			}
			for i := range 5 {
				out.Reset()
				r.Reduce(core.Time(second)*core.Time(time.Second)+core.Time(i+1)*core.Time(190*time.Millisecond), &Tick{}, out)
				sent += updateBytes(out)
			}
		}
		s := DefaultSettings()
		Expect(sent).To(BeNumerically(">", s.UpdateBurstBytes))
		Expect(sent).To(BeNumerically("<", s.UpdateBurstBytes+60*s.UpdateBytesPerSecond+urgentOverdraftBytes))
	})

	// A zone returns and each survivor compares its view with a random daemon. If
	// that one has just started, everything differs, and the survivor would pull
	// the state of the whole fleet again.
	It("compares its view with daemons that have had time to sync", func() {
		r, out := startedReducer()
		r.Reduce(1, &Received{Message: &Message{From: "x", Daemons: []DaemonUpdate{daemonUpdate(0)}}}, out)
		at := core.Time(time.Minute)
		r.Reduce(at, &Received{Message: &Message{From: "x", Daemons: []DaemonUpdate{daemonUpdate(1)}}}, out)
		newcomer := 0
		for range 200 {
			if r.syncPeer().ID == "d1" {
				newcomer++
			}
		}
		Expect(newcomer).To(BeNumerically("<", 20))
	})
})

// startedReducer returns a started reducer that knows no other daemon.
func startedReducer() (*Reducer, *Effects) {
	r, out := New(), &Effects{}
	r.Reduce(0, &Start{Self: Daemon{ID: "self", GossipAddr: "10.0.0.1:1", Incarnation: 1}, Seed: 1, Settings: DefaultSettings()}, out)
	return r, out
}

func daemonUpdate(i int) DaemonUpdate {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7946)
	d := Daemon{ID: core.DaemonID(fmt.Sprintf("d%d", i)), Zone: "z", Region: "r", GossipAddr: addr.String(), Incarnation: 1}
	return DaemonUpdate{Daemon: d, Full: true, Record: recordHash(&d)}
}

func updateBytes(out *Effects) int {
	n := 0
	for i := range out.Sends {
		m := &out.Sends[i].Message
		for j := range m.Daemons {
			n += m.Daemons[j].size()
		}
	}
	return n
}
