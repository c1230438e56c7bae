package proxy

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/platform"
)

// logsUnreadable waits until the fleet has logged an item of the kind that it cannot read.
func (f *fleet) logsUnreadable(kind string) {
	GinkgoHelper()
	Eventually(func() string { return string(f.log.Contents()) }, waitLimit).Should(ContainSubstring(kind + " cannot be read"))
}

// deeplyNested is a value that exceeds every decoder's depth.
var deeplyNested = strings.Repeat("[", 100_000)

// oddFleetRecords are records of the fleet that another writer leaves among those of the daemons.
var oddFleetRecords = map[string]string{
	"limpetspan/daemon/odd-nested":        deeplyNested,
	"limpetspan/daemon/odd-text":          "scribble",
	"limpetspan/daemon/odd-weight":        `{"ip":"127.0.0.9","zone":"zone-1","weight":1e300}`,
	"limpetspan/daemon/odd-host":          `{"ip":"host.example","zone":"zone-1","weight":1}`,
	"limpetspan/daemon/odd-port":          `{"ip":"127.0.0.9:99999","zone":"zone-1","weight":1}`,
	"limpetspan/daemon/0":                 `{"ip":"127.0.0.9","zone":"zone-1","weight":1}`,
	"limpetspan/daemonX":                  `{"ip":"127.0.0.9","zone":"zone-1","weight":1}`,
	"limpetspan/daemons/other":            `{"ip":"127.0.0.9","zone":"zone-1","weight":1}`,
	platform.RosterKey:                    `{"daemons":9000000000,"fit":9000000000,"strongest":{"zone-1":1e300}}`,
	platform.EraKey:                       `{"settled":18446744073709551615,"begun":18446744073709551615}`,
	"servers/i-nested":                    deeplyNested,
	"servers/i-port":                      `{"service":"ledger","address":"127.0.0.9:65536","zone":"z","slots":2,"state":"ready","db_role":"primary"}`,
	"servers/i-number":                    `{"service":"ledger","address":"127.0.0.9:80","zone":"z","slots":1e400,"state":"ready","db_role":"primary"}`,
	"limpetspan/promotion/":               "scribble",
	"limpetspan/promotion/a/b":            deeplyNested,
	"limpetspan/limit/99999":              "scribble",
	"limpetspan/unknown":                  deeplyNested,
	"another/key":                         strings.Repeat("x", 1<<20),
	"servers/" + strings.Repeat("x", 190): "{}",
}

var _ = Describe("odd entries among those of the fleet", func() {
	writeOdd := func(f *fleet) {
		for key, value := range oddFleetRecords {
			f.store.PutBytes(key, []byte(value))
		}
	}
	// expectFollowed expects that the daemons serve callers and follow the configuration and the list of
	// daemons as if the odd entries were not there.
	expectFollowed := func(f *fleet) {
		GinkgoHelper()
		f.logsUnreadable(kindDaemon)
		f.configure("db-own", "db-new")
		f.awaitConfiguration(f.daemons)
		for _, d := range f.daemons {
			d.dial("db-new").queryUntilServed("WRITE k 1")
			for _, other := range d.p.peers.daemons() {
				Expect(string(other.ID)).To(HavePrefix("edge-"))
			}
		}
	}

	// Guards against daemons that end, that take a few written entries for a large fleet, or that choose
	// homes on hosts that do not exist.
	It("change nothing in a small fleet", func() {
		f := newFleet(3)
		f.awaitStable()
		writeOdd(f)
		expectFollowed(f)
		Eventually(func() int { return f.daemons[0].p.view.daemonList().roster.Daemons }, waitLimit).Should(Equal(3))
		Eventually(func() bool { return f.daemons[0].p.view.daemonList().rosterUnreadable }, waitLimit).Should(BeFalse())
		Expect(f.daemons[0].p.homes.lastChosenSize.Load()).To(BeNumerically("==", 3))
		for _, d := range f.daemons {
			Expect(d.p.view.daemonList().settledEra).To(BeZero())
		}
	})

	It("do not keep a daemon from starting", func() {
		f := newFleet(1)
		f.daemons[0].kill()
		writeOdd(f)
		f.daemons[0] = run(f.daemons[0].s, f.log)
		Eventually(f.daemons[0].isStarted, waitLimit).Should(BeTrue())
		expectFollowed(f)
		Expect(f.daemons[0].p.homes.lastChosenSize.Load()).To(BeNumerically("==", 1))
	})

	// The watchers pass on what they have read. Guards against followers that reject all of it.
	It("change nothing in a large fleet", func() {
		f := newFleet(largeFleetSize)
		f.awaitStable()
		writeOdd(f)
		expectFollowed(f)
		for _, d := range f.daemons {
			d.p.homes.mu.Lock()
			homes := d.p.homes.homesOf("ledger")
			d.p.homes.mu.Unlock()
			Expect(homes).NotTo(BeEmpty())
			for _, id := range homes {
				Expect(string(id)).To(HavePrefix("edge-"))
			}
		}
	})

	// Guards against a daemon that is missing from the list for good, because another writer has replaced or
	// removed its entry and its lease goes on.
	It("are replaced by the daemon whose entry they overwrite", func() {
		f := newFleet(2)
		f.awaitStable()
		key := platform.DaemonsPrefix + string(f.daemons[1].s.Daemon)
		for _, damage := range []func(){func() { f.store.PutBytes(key, []byte(deeplyNested)) }, func() { f.store.Remove(key) }} {
			damage()
			Eventually(func() bool {
				_, listed := f.daemons[0].p.view.daemonList().entry(f.daemons[1].s.Daemon)
				return listed
			}, waitLimit).Should(BeFalse())
			Eventually(func() bool {
				_, listed := f.daemons[0].p.view.daemonList().entry(f.daemons[1].s.Daemon)
				return listed
			}, waitLimit).Should(BeTrue())
		}
	})

	// Guards against a process whose memory or log another writer fills.
	It("may be thousands, and may be written again and again", func() {
		f := newFleet(1)
		for n := range 3_000 {
			f.store.PutBytes(fmt.Sprintf("servers/odd-%d", n), []byte("scribble"))
		}
		for n := range 50 {
			f.store.PutBytes("servers/odd-0", []byte(fmt.Sprint(n)))
			f.store.PutBytes(fmt.Sprintf("another/%d", n), make([]byte, 1<<20))
			time.Sleep(time.Millisecond)
		}
		f.configure("db-own", "db-new")
		f.awaitConfiguration(f.daemons)
		f.daemons[0].dial("db-new").queryUntilServed("WRITE k 1")
		Expect(strings.Count(string(f.log.Contents()), "cannot be read")).To(BeNumerically("<", 1_000))
	})
})
