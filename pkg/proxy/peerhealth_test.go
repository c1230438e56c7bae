package proxy

import (
	"fmt"
	"net"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/policy"
)

// withShortRoute gives the first database, which these tests do not use, a timeout that puts shared
// health in use, and the others one that no test reaches.
func withShortRoute(f *fleet) { f.firstTimeoutMS, f.timeoutMS = 1000, 20_000 }

// addSilentHome makes the entry ask a home first that serve serves and that answers no echoes, as if it
// were lost after the link was opened. It is known to have answered echoes before.
func (f *fleet) addSilentHome(entry, home *daemon, serve func(net.Listener)) (lost core.DaemonID) {
	ip := processIP(99)
	l, err := net.Listen("tcp", entry.s.LinkAddr(ip))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go serve(l)
	f.useHomes(home)
	// The order depends on the ids of the entry and the homes.
	var daemons []direct.Daemon
	for n := 0; lost == ""; n++ {
		id := core.DaemonID(fmt.Sprintf("edge-lost-%d", n))
		daemons = []direct.Daemon{{ID: id, Zone: "zone-1", Weight: 1}, {ID: home.s.Daemon, Zone: "zone-1", Weight: 1}}
		if direct.HomeOrder("ledger", entry.s.Daemon, "zone-1", []core.DaemonID{id, home.s.Daemon}, daemons)[0] == id {
			lost = id
		}
	}
	entry.p.peers.mu.Lock()
	entry.p.peers.ensurePeer(lost, ip)
	entry.p.peers.mu.Unlock()
	h := entry.p.homes
	h.mu.Lock()
	h.setStaticHomes("ledger", lost, home.s.Daemon)
	h.daemons = daemons
	h.mu.Unlock()
	h.health.echoed(lost, now())
	return lost
}

func (d *daemon) healthCount(name string) string {
	v := d.p.stats.health.Get(name)
	if v == nil {
		return "0"
	}
	return v.String()
}

var _ = Describe("the shared verdict about a home", func() {
	// Guards against sessions that each wait for a lost home on their own, and against a write that is
	// held until its timeout although its home is lost.
	It("wakes all sessions that wait for it; reads run elsewhere and writes are in doubt at once", func() {
		f := newFleet(2, withShortRoute)
		f.awaitStable()
		home, entry := f.daemons[0], f.daemons[1]
		home.dial("db-own").queryUntilServed("WRITE k 1")
		lost := f.addSilentHome(entry, home, serveSilently)
		const sessions = 12
		answers := make(chan answer, sessions)
		for n := range sessions {
			x := entry.dial("db-own")
			go func() {
				defer GinkgoRecover()
				if n%2 == 0 {
					answers <- x.query("READ k")
				} else {
					answers <- x.query("WRITE w 1")
				}
			}()
		}
		served, inDoubt := 0, 0
		for range sessions {
			var a answer
			Eventually(answers, waitLimit).Should(Receive(&a))
			switch {
			case a.isServed():
				served++
			default:
				Expect(a.result).To(HavePrefix("ERROR INDOUBT"))
				inDoubt++
			}
		}
		Expect(served).To(BeNumerically(">=", sessions/2), "all reads, and writes that were not sent yet")
		Expect(inDoubt).To(BeNumerically(">", 0))
		Expect(entry.healthCount("verdicts silent")).To(Equal("1"), f.logTail)
		Expect(entry.p.homes.mayKeepLink("ledger", "", lost)).To(BeFalse())
	})

	// Guards against leaving a home whose member takes long: the home answers echoes.
	It("is not that it is lost if only its statements wait", func() {
		f := newFleet(2, withShortRoute)
		f.awaitStable()
		home, entry := f.daemons[0], f.daemons[1]
		f.useHomes(home)
		x := entry.dial("db-own")
		x.queryUntilServed("WRITE k 1")
		Eventually(func() bool {
			h := entry.p.homes.health
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.table.NeedsFirstEcho(home.s.Daemon)
		}, waitLimit).Should(BeFalse(), "the home answers the echo that follows the first link")
		f.group.SetStatementDelay(time.Second)
		Expect(x.query("WRITE k 2").isServed()).To(BeTrue())
		Expect(entry.healthCount("checks")).NotTo(Equal("0"), "the statement was overdue")
		for _, verdict := range []string{"verdicts silent", "verdicts unreachable", "verdicts refused"} {
			Expect(entry.healthCount(verdict)).To(Equal("0"))
		}
	})

	// Guards against refusals while all candidates are in backoff: the only home restarts, and the
	// statement waits until the home accepts sessions again.
	It("makes sessions wait for a trial if no candidate is left, rather than refusing them", func() {
		f := newFleet(2, withShortRoute)
		f.awaitStable()
		home, entry := f.daemons[0], f.daemons[1]
		f.useHomes(home)
		x := entry.dial("db-own")
		x.queryUntilServed("WRITE k 1")
		home.kill()
		answers := make(chan answer, 8)
		for range cap(answers) {
			y := entry.dial("db-own")
			go func() {
				defer GinkgoRecover()
				answers <- y.query("READ k")
			}()
		}
		Eventually(func() string { return entry.healthCount("verdicts unreachable") }, waitLimit).ShouldNot(Equal("0"))
		f.daemons[0] = run(home.s, f.log)
		for range cap(answers) {
			var a answer
			Eventually(answers, waitLimit).Should(Receive(&a))
			Expect(a.isServed()).To(BeTrue(), a.result)
		}
	})

	It("is not in use without a route with a short timeout, or if switched off", func() {
		p := &Proxy{policy: policy.All}
		p.homes = newHomes(p)
		Expect(p.homes.health.enabled()).To(BeFalse())
		routes := func(timeout time.Duration) map[string]direct.Route {
			return map[string]direct.Route{"long": {StatementTimeout: 3 * time.Second}, "d": {StatementTimeout: timeout}}
		}
		p.catalog.Store(&direct.Catalog{Routes: routes(1400 * time.Millisecond)})
		Expect(p.homes.health.enabled()).To(BeFalse())
		p.catalog.Store(&direct.Catalog{Routes: routes(1399 * time.Millisecond)})
		Expect(p.homes.health.enabled()).To(BeTrue())
		p.policy &^= policy.SharedHealth
		Expect(p.homes.health.enabled()).To(BeFalse())
		Expect(slices.Contains(policy.Names(), "shared-health")).To(BeTrue())
	})
})
