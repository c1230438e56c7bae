package proxy

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/direct"
	"limpetspan/platform"
)

// largeFleetSize is a fleet size at which not all daemons watch the configuration.
const largeFleetSize = 18

// configurationVersion returns the version of the daemon's configuration in force, 0 if there is none.
func (d *daemon) configurationVersion() uint64 {
	if c := d.p.catalog.Load(); c != nil {
		return c.Version
	}
	return 0
}

// watchers returns the daemons that watch the store, and the others.
func (f *fleet) watchers() (watchers, followers []*daemon) {
	h := f.daemons[0].p.homes
	h.mu.Lock()
	chosen := direct.Watchers(len(h.daemons), h.daemons)
	h.mu.Unlock()
	for _, d := range f.daemons {
		if slices.Contains(chosen, d.s.Daemon) {
			watchers = append(watchers, d)
		} else {
			followers = append(followers, d)
		}
	}
	return watchers, followers
}

// awaitJoined waits until each daemon knows all daemons and has received the store's list with all of
// them. The lists no longer change then.
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

// awaitStable waits until the daemons have no further reason to choose homes again.
func (f *fleet) awaitStable() {
	f.awaitJoined()
	for _, d := range f.daemons {
		Eventually(func() int { return d.p.view.daemonList().roster.Daemons }, waitLimit).Should(Equal(len(f.daemons)))
	}
}

// cutStore makes all later calls of the daemon to the store fail.
func (d *daemon) cutStore() {
	nowhere := freeAddr(d.s.IP)
	d.p.client.SetAddresses(nowhere, nowhere)
}

// awaitConfiguration waits until the daemons have the newest configuration in force.
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

	// Guards against a number of store calls that grows with the hosts rather than the zones. Each
	// watcher makes a billed call every few seconds.
	It("is watched by two daemons of a zone and relayed to all others", func() {
		// A watch that began before a daemon knew the others ends with the next change.
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

	// Guards against a change that does not reach the followers of a killed watcher. Both watchers are
	// killed, one after the other.
	It("reaches the followers of killed daemons", func() {
		for _, d := range watchers {
			d.kill()
			f.configure("db-own", "db-stale")
			f.awaitConfiguration(followers)
		}
	})

	// Guards against watchers that withhold a change because both are cut off from the store and still
	// answer. Once their proofs are too old, their followers read the store themselves.
	It("reaches the followers of daemons that are cut off from the store", func() {
		for _, d := range watchers {
			d.cutStore()
		}
		f.configure("db-own", "db-stale")
		f.awaitConfiguration(f.daemons)
	})

	It("reaches a daemon that is cut off from the store through one that is not", func() {
		d := followers[0]
		d.cutStore()
		f.configure("db-own", "db-stale")
		f.awaitConfiguration([]*daemon{d})
	})
})

var _ = Describe("a session for a new database", func() {
	// Guards against an entry that refuses the caller, or tries all daemons of the fleet, because it has
	// the new configuration and the home does not. The home's watch may be slow, or the store may have
	// compacted the change before the home read it.
	It("is served by a home that fetches the configuration from the entry", func() {
		f := newFleet(2)
		home, entry := f.daemons[0], f.daemons[1]
		f.useHomes(home)
		Eventually(func() int64 { return home.p.client.Calls()["/api/kv-watch"] }, waitLimit).Should(BeNumerically(">", 0))
		// A home that has never had a lease cannot acquire one without the store.
		home.dial("db-own").queryUntilServed("WRITE k 0")
		home.cutStore()
		// A watch that the home sent before the cut may still return this version, but not the next.
		f.configure("db-own")
		f.awaitConfiguration([]*daemon{entry})
		f.configure("db-own", "db-primary", "db-new")
		f.awaitConfiguration([]*daemon{entry})
		Expect(home.configurationVersion()).To(BeNumerically("<", f.version))
		// The home knows the entry's address only from the session.
		home.p.peers.mu.Lock()
		delete(home.p.peers.known, entry.s.Daemon)
		home.p.peers.mu.Unlock()
		x := entry.dial("db-new")
		Expect(x.query("WRITE k 1").isServed()).To(BeTrue())
		Expect(home.configurationVersion()).To(Equal(uint64(f.version)))
	})
})

var _ = Describe("a daemon that starts while others serve", func() {
	// Guards against a late start after a power failure of all hosts. A stale list lacks the daemon's
	// own entry for about 0.2 s, and no caller was served before it contained the entry.
	It("does not wait until a stale list contains its own entry", func() {
		f := newFleet(1)
		f.store.FreezeStaleReads()
		d := f.start(processIP(9), 8, nextPort())
		defer d.kill()
		Eventually(d.isStarted, waitLimit).Should(BeTrue())
	})
})

var _ = Describe("a daemon that starts while the store is down", func() {
	// Guards against a fleet that overloads the store after a power failure of all hosts. As long as the
	// store was down, each daemon would retry all its kinds of calls.
	It("retries only one kind of call until the store answers", func() {
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

var _ = Describe("a daemon that was cut off from the store while its contents changed", func() {
	// Guards against a daemon that asks again and again for more changes than a response may hold, and
	// follows no configuration meanwhile. The store keeps all history here.
	It("follows again, however long the changes are together", func() {
		f := newFleet(1)
		d := f.daemons[0]
		d.cutStoreAndWait()
		for range 12 {
			f.configureLarge(maxValueBytes * 9 / 10)
		}
		d.p.client.SetAddresses(f.store.Addr(), f.store.Addr())
		f.awaitConfiguration(f.daemons)
		Expect(d.p.stats.watchesUnusable.Value()).To(BeNumerically(">", 0))
		Expect(string(f.log.Contents())).To(ContainSubstring("watch of the store cannot be used; the copy is loaded"))
		Expect(d.p.client.Failures()).To(HaveKey("/api/kv-watch: response is too long"))
		f.configure("db-own")
		f.awaitConfiguration(f.daemons)
	})

	// Guards against a limit of responses that is below the largest value of the store, so that no
	// call brings the configuration.
	It("follows a configuration as large as the store accepts", func() {
		const large = 6 << 20
		f := newFleet(1, func(f *fleet) { f.adjustSettings = func(s *platform.Settings) { s.MaxValueBytes = large } })
		d := f.daemons[0]
		d.cutStoreAndWait()
		for range 3 {
			f.configureLarge(large * 9 / 10)
		}
		d.p.client.SetAddresses(f.store.Addr(), f.store.Addr())
		f.awaitConfiguration(f.daemons)
	})
})

// maxValueBytes is the size of the largest value of a store with the usual settings.
const maxValueBytes = 1 << 20

// configureLarge writes the next version of the configuration, which has about the given size.
func (f *fleet) configureLarge(size int) {
	names := []string{"db-own"}
	for i := range size / 200 {
		names = append(names, fmt.Sprintf("station-%05d", i))
	}
	f.configure(names...)
}
