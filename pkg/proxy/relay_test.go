package proxy

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/direct"
)

// largeFleetSize is more daemons than all watch the configuration.
const largeFleetSize = 18

// configurationVersion is the configuration that a daemon has in force; 0: none.
func (d *daemon) configurationVersion() uint64 {
	if c := d.p.catalog.Load(); c != nil {
		return c.Version
	}
	return 0
}

// watchers are the daemons of the fleet that watch the store, and the others.
func (f *fleet) watchers() (watchers, followers []*daemon) {
	all := f.daemons[0].p.homes
	all.mu.Lock()
	chosen := direct.Watchers(len(all.daemons), all.daemons)
	all.mu.Unlock()
	for _, d := range f.daemons {
		if slices.Contains(chosen, d.s.Daemon) {
			watchers = append(watchers, d)
		} else {
			followers = append(followers, d)
		}
	}
	return watchers, followers
}

// awaitJoined waits until all daemons know all others, and have read of themselves: their lists
// change no more.
func (f *fleet) awaitJoined() {
	for _, d := range f.daemons {
		Eventually(func() int {
			d.p.homes.mu.Lock()
			defer d.p.homes.mu.Unlock()
			return len(d.p.homes.daemons)
		}, waitLimit).Should(Equal(len(f.daemons)))
		Eventually(func() int { return len(d.p.view.daemonList().entries) }, waitLimit).Should(Equal(len(f.daemons)))
	}
}

// awaitStable waits until nothing will have the daemons choose homes anew.
func (f *fleet) awaitStable() {
	f.awaitJoined()
	for _, d := range f.daemons {
		Eventually(func() int { return d.p.view.daemonList().roster.Daemons }, waitLimit).Should(Equal(len(f.daemons)))
	}
}

// cutStore has all later calls of the daemon fail.
func (d *daemon) cutStore() {
	nowhere := freeAddr(d.s.IP)
	d.p.client.SetAddresses(nowhere, nowhere)
}

func (f *fleet) awaitConfiguration(daemons []*daemon) {
	GinkgoHelper()
	for _, d := range daemons {
		Eventually(d.configurationVersion, waitLimit).Should(Equal(uint64(f.version)), "%s", d.s.Daemon)
	}
}

var _ = Describe("the configuration of a large fleet", func() {
	var f *fleet
	var watchers, followers []*daemon
	BeforeEach(func() {
		f = newFleet(largeFleetSize)
		f.awaitJoined()
		watchers, followers = f.watchers()
		Expect(watchers).To(HaveLen(2))
	})

	// Each daemon that watches is a paid call every few seconds. With followers, calls to
	// the store grow with zones and not with hosts.
	It("is watched by two daemons of a zone, and told to all others", func() {
		// A watch from before a daemon knew the others ends with the next change.
		f.configure("db-own")
		f.awaitConfiguration(f.daemons)
		before := make(map[*daemon]int64)
		for _, d := range followers {
			before[d] = d.p.client.Calls()["/api/kv-watch"]
		}
		for range 3 {
			f.configure("db-own", "db-stale")
			f.awaitConfiguration(f.daemons)
		}
		for _, d := range followers {
			Expect(d.p.client.Calls()["/api/kv-watch"]).To(Equal(before[d]))
		}
	})

	// A watcher is killed, and then the other: an operator's change has to reach those
	// who asked them all the same.
	It("reaches the followers of daemons that are killed", func() {
		for _, d := range watchers {
			d.kill()
			f.configure("db-own", "db-stale")
			f.awaitConfiguration(followers)
		}
	})

	// Both watchers are cut from the store and go on answering. Their proofs grow old, so
	// their followers read the store themselves.
	It("reaches the followers of daemons that are cut from the store", func() {
		for _, d := range watchers {
			d.cutStore()
		}
		f.configure("db-own", "db-stale")
		f.awaitConfiguration(f.daemons)
	})

	It("reaches a daemon that has lost the store, through one that has not", func() {
		d := followers[0]
		d.cutStore()
		f.configure("db-own", "db-stale")
		f.awaitConfiguration([]*daemon{d})
	})
})

var _ = Describe("a session for a database that has just been added", func() {
	// The entry has the new configuration and its home has not: a watch is slow, or the
	// store has forgotten the change before it heard of it. The caller was refused, and
	// the entry went through all daemons of the fleet.
	It("is served by a home that fetches the configuration from the entry", func() {
		f := newFleet(2)
		home, entry := f.daemons[0], f.daemons[1]
		f.useHomes(home)
		Eventually(func() int64 { return home.p.client.Calls()["/api/kv-watch"] }, waitLimit).Should(BeNumerically(">", 0))
		// Without the store a home that has had no lease gets none.
		home.dial("db-own").queryUntilServed("WRITE k 0")
		home.cutStore()
		// A watch that was under way before may still bring this one.
		f.configure("db-own")
		f.awaitConfiguration([]*daemon{entry})
		f.configure("db-own", "db-primary", "db-new")
		f.awaitConfiguration([]*daemon{entry})
		Expect(home.configurationVersion()).To(BeNumerically("<", f.version))
		// The home has not heard of the entry in any other way.
		home.p.peers.mu.Lock()
		delete(home.p.peers.known, entry.s.Daemon)
		home.p.peers.mu.Unlock()
		x := entry.dial("db-new")
		Expect(x.query("WRITE k 1").isServed()).To(BeTrue())
		Expect(home.configurationVersion()).To(Equal(uint64(f.version)))
	})
})

var _ = Describe("a daemon that starts while others serve", func() {
	// All hosts have lost power. Lists that may be old lack the daemon's own entry for some
	// 0.2 s, and no caller was served before it was there.
	It("does not wait for a list that may be old to show its own entry", func() {
		f := newFleet(1)
		f.store.FreezeStaleReads()
		d := f.start(processIP(9), 8, nextPort())
		defer d.kill()
		Eventually(d.isStarted, waitLimit).Should(BeTrue())
	})
})

var _ = Describe("a daemon that starts while the store is away", func() {
	// All hosts have lost power and the store is down. With each of its calls a fleet that
	// starts would fall upon a store that has just come back.
	It("tries with one kind of call until the store answers", func() {
		f := newFleet(1)
		d := f.daemons[0]
		d.kill()
		f.store.SetDown(true)
		d = run(d.s, GinkgoWriter)
		f.daemons[0] = d
		Eventually(func() int64 { return d.p.client.Calls()["/api/kv-range allow_stale"] }, waitLimit).Should(BeNumerically(">", 4))
		Expect(d.p.client.Calls()).To(HaveLen(1), "%v", d.p.client.Calls())
		f.store.SetDown(false)
		Eventually(d.isStarted, waitLimit).Should(BeTrue())
	})
})
