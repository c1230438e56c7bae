package membership

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

var _ = Describe("Reducer", func() {
	It("converges to one view when a fleet joins through one seed, despite packet loss", func() {
		c := newCluster(1, 0.1)
		c.addDaemons(40)
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(40) })).To(BeTrue())
		for _, p := range c.procs {
			Expect(p.largestMessage).To(BeNumerically("<=", messageBudget))
		}
	})

	It("disseminates homes, targets and revisions to all daemons", func() {
		c := newCluster(2, 0.05)
		c.addDaemons(30)
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(30) })).To(BeTrue())
		c.reduce(c.procs[3], &AnnounceHome{Home{Group: "g", Term: 4, Daemon: "d004", Primary: "m1"}})
		c.reduce(c.procs[5], &AnnounceHome{Home{Group: "g", Term: 2, Daemon: "d006", Primary: "m2"}})
		c.reduce(c.procs[7], &AnnounceTarget{Addr: "10.1.1.1:5432", Leaving: true})
		Expect(c.run(10*time.Second, func() bool {
			for _, p := range c.procs {
				if h, _ := p.r.Home("g"); h.Daemon != "d004" || !p.r.TargetLeaving("10.1.1.1:5432") {
					return false
				}
			}
			return true
		})).To(BeTrue())
		Expect(c.disseminateConfig(9)).To(BeNumerically("<", 4*time.Second))
	})

	It("declares a crashed daemon dead, and accepts its restart", func() {
		c := newCluster(3, 0.02)
		c.addDaemons(20)
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(20) })).To(BeTrue())
		c.procs[4].up = false
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(19) })).To(BeTrue())
		c.start(c.procs[4])
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(20) })).To(BeTrue())
	})

	It("removes a leaving daemon from the candidates at once, and from the view soon after", func() {
		c := newCluster(4, 0.02)
		c.addDaemons(20)
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(20) })).To(BeTrue())
		c.reduce(c.procs[4], &Leave{})
		Expect(c.run(5*time.Second, func() bool { return c.candidacyCount(c.procs[4].id) == 0 })).To(BeTrue())
		c.procs[4].up = false
		Expect(c.run(20*time.Second, func() bool { return c.hasConverged(19) })).To(BeTrue())
	})

	// After a pause of a minute a daemon finds all replies to its probes missing
	// and all deadlines passed. It must not suspect healthy daemons, whose homes
	// would move without need.
	It("does not let a daemon that was paused suspect healthy daemons", func() {
		c := newCluster(5, 0)
		c.addDaemons(12)
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(12) })).To(BeTrue())
		p := c.procs[3]
		Expect(c.run(20*time.Second, func() bool { return len(p.r.probe.pending) > 0 })).To(BeTrue())
		p.up = false
		c.run(time.Minute, nil)
		p.up = true
		p.out.Reset()
		p.r.Reduce(c.now, &Tick{}, &p.out)
		p.wakeAt = p.out.WakeAt
		Expect(p.r.suspects.list).To(BeEmpty())
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(12) })).To(BeTrue())
	})

	// The link between two zones breaks while both reach the third. Direct probes
	// between them fail; without helpers in another zone healthy daemons would be
	// declared dead and their homes moved.
	It("does not declare daemons dead when only the path between two zones is broken", func() {
		c := newCluster(6, 0)
		c.addDaemons(18)
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(18) })).To(BeTrue())
		c.cut = func(a, b *process) bool {
			return a.zone == "z0" && b.zone == "z1" || a.zone == "z1" && b.zone == "z0"
		}
		dead := 0
		c.run(2*time.Minute, func() bool {
			for _, p := range c.procs {
				dead = max(dead, len(p.r.dead.list))
			}
			return false
		})
		Expect(dead).To(BeZero())
	})

	// Two regions are partitioned for an hour, longer than any suspicion timeout,
	// so each considers the other's daemons dead. No daemon restarts and there are
	// no seeds: without pings of remembered dead addresses two fleets would
	// remain, with two homes for each group.
	It("heals an hour-long partition of regions without declaring daemons of the same region dead", func() {
		c := newCluster(7, 0.02)
		c.addDaemons(24)
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(24) })).To(BeTrue())
		for _, p := range c.procs {
			p.r.discovery.seeds = nil
		}
		c.cut = func(a, b *process) bool { return (a.region == "r0") != (b.region == "r0") }
		c.run(time.Hour, nil)
		Expect(len(c.procs[0].r.live.list)).To(Equal(7))
		Expect(len(c.procs[2].r.live.list)).To(Equal(15))
		declaredDead := 0
		c.cut = nil
		Expect(c.run(2*time.Minute, func() bool {
			for _, p := range c.procs {
				for _, d := range p.r.dead.list {
					if c.procOf(d.ID).region == p.region {
						declaredDead++
					}
				}
			}
			return c.hasConverged(24)
		})).To(BeTrue())
		Expect(declaredDead).To(BeZero())
	})

	// After a partition a daemon pulls entries from the other side, which still
	// remembers daemons of this side as dead. Accepting such deaths would declare
	// the whole side dead for a moment and move all homes, so each of these daemons
	// is probed first.
	It("probes a daemon that another one remembers as dead before it accepts the death", func() {
		c := newCluster(10, 0)
		c.addDaemons(6)
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(6) })).To(BeTrue())
		p, accused := c.procs[1], c.procs[4]
		u := p.r.members[accused.id].stateUpdate()
		u.State, u.Remembered = Dead, true
		deliver := func() {
			c.reduce(p, &Received{From: c.procs[2].addr, Message: &Message{From: c.procs[2].id, Daemons: []DaemonUpdate{u}}})
		}
		deliver()
		declaredDead := func() bool { return p.r.members[accused.id].State == Dead }
		Expect(c.run(time.Minute, declaredDead)).To(BeFalse())
		accused.up = false
		deliver()
		Expect(p.r.probe.verify).NotTo(BeEmpty())
		Expect(c.run(time.Minute, declaredDead)).To(BeTrue())
	})

	// A daemon joins a small fleet. It lacks few entries, but one of them is the
	// home of a group. If it considered its view complete, it would answer for that
	// group.
	It("is not ready before it has pulled the differences, also in a small fleet", func() {
		c := newCluster(12, 0)
		c.addDaemons(3)
		c.reduce(c.procs[1], &AnnounceHome{Home{Group: "g", Term: 2, Daemon: c.procs[1].id}})
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(3) && c.procs[2].r.IsIdle() && c.procs[1].r.IsIdle() })).To(BeTrue())
		start := c.now
		p := c.add("z0", "r0")
		Expect(c.run(time.Minute, func() bool { return p.r.Ready(c.now) })).To(BeTrue())
		h, _ := p.r.Home("g")
		Expect(h.Daemon).To(Equal(c.procs[1].id))
		Expect(c.now.Sub(start)).To(BeNumerically("<", 3*time.Second))
	})

	// A whole zone starts at once. Each of its daemons knows only itself and would
	// conclude that it has to watch the store, which would get more calls than it
	// can serve. A new daemon must not retransmit the entries that it pulls, either.
	It("neither acts for the fleet nor retransmits old updates before its view is complete", func() {
		c := newCluster(11, 0)
		c.addDaemons(60)
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(60) })).To(BeTrue())
		Expect(c.run(time.Minute, func() bool {
			for _, p := range c.procs {
				if !p.r.IsIdle() {
					return false
				}
			}
			return true
		})).To(BeTrue())
		p := c.add("z0", "r0")
		Expect(p.r.Ready(c.now)).To(BeFalse())
		Expect(c.run(time.Minute, func() bool { return len(p.r.live.list) == 60 })).To(BeTrue())
		repeated := 0
		for _, levels := range p.r.queue.levels {
			for _, level := range levels {
				for _, q := range level {
					if q.entry != viewEntry(p.r.self) {
						repeated++
					}
				}
			}
		}
		Expect(repeated).To(BeNumerically("<", 30))
		Expect(c.run(time.Minute, func() bool { return p.r.Ready(c.now) })).To(BeTrue())
	})

	// A datagram from an hour ago is replayed. It reports a dead daemon as alive,
	// an old home as current and a leaving target as healthy. Accepting it would
	// send requests to a dead daemon.
	It("ignores replayed updates", func() {
		c := newCluster(8, 0)
		c.addDaemons(6)
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(6) })).To(BeTrue())
		p, crashed := c.procs[1], c.procs[4]
		old := &Message{Kind: KindUpdate, From: c.procs[2].id, Daemons: []DaemonUpdate{p.r.members[crashed.id].fullUpdate()},
			Homes: []Home{{Group: "g", Term: 2, Daemon: crashed.id}}, Targets: []Target{{Addr: "t", Version: 1, TTL: time.Hour}}}
		c.reduce(p, &AnnounceHome{Home{Group: "g", Term: 4, Daemon: p.id}})
		c.reduce(p, &AnnounceTarget{Addr: "t", Leaving: true})
		crashed.up = false
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(5) })).To(BeTrue())
		c.reduce(p, &Received{From: c.procs[2].addr, Message: old})
		Expect(p.r.members[crashed.id].State).To(Equal(Dead))
		h, _ := p.r.Home("g")
		Expect(h.Term).To(Equal(core.Term(4)))
		Expect(p.r.TargetLeaving("t")).To(BeTrue())
	})

	It("offers a revision again until it is in force", func() {
		c := newCluster(9, 0)
		c.addDaemons(4)
		Expect(c.run(time.Minute, func() bool { return c.hasConverged(4) })).To(BeTrue())
		c.reduce(c.procs[0], &AnnounceConfig{Revision: 5})
		c.run(30*time.Second, nil)
		offers := map[core.DaemonID]int{}
		for _, ch := range c.procs[3].changes {
			if ch.ConfigRevision == 5 {
				offers[ch.ConfigPeer]++
			}
		}
		Expect(offers).To(HaveKeyWithValue(c.procs[0].id, BeNumerically(">", 1)))
	})
})

// candidacyCount counts in how many of 50 groups the daemon is a candidate, over
// the views of all other daemons.
func (c *cluster) candidacyCount(id core.DaemonID) int {
	n := 0
	for _, p := range c.procs {
		if p.id == id || !p.up {
			continue
		}
		if len(p.r.groups) == 0 {
			var groups []Group
			for i := range 50 {
				groups = append(groups, Group{ID: core.GroupID(fmt.Sprintf("g%d", i))})
			}
			c.reduce(p, &SetGroups{groups})
		}
		n += len(p.r.Assignment().GroupsOf(id))
	}
	return n
}

func (c *cluster) procOf(id core.DaemonID) *process {
	for _, p := range c.procs {
		if p.id == id {
			return p
		}
	}
	return nil
}

// disseminateConfig announces a revision at one daemon, lets each daemon that is
// offered it announce it in turn, and returns how long it took to reach all.
func (c *cluster) disseminateConfig(revision uint64) time.Duration {
	start := c.now
	c.reduce(c.procs[0], &AnnounceConfig{revision})
	c.run(time.Minute, func() bool {
		all := true
		for _, p := range c.procs {
			if p.r.config.offered >= revision && p.r.config.revision < revision {
				c.reduce(p, &AnnounceConfig{revision})
			}
			all = all && p.r.config.revision == revision
		}
		return all
	})
	return c.now.Sub(start)
}
