package proxy

import (
	"fmt"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/health"
	"limpetspan/core/policy"
	"limpetspan/pkg/proxy/reportpb"
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

// awaitFirstEcho waits until the home has answered the echo that follows the first link to it.
func (d *daemon) awaitFirstEcho(home *daemon) {
	Eventually(func() bool {
		h := d.p.homes.health
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.table.NeedsFirstEcho(home.s.Daemon)
	}, waitLimit).Should(BeFalse())
}

func (h *peerHealth) countWaits(id core.DaemonID) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.waits[id])
}

// newWatchedLink returns a link of an entry to a home that answers echoes. The test writes the answers
// on the other end.
func newWatchedLink() (link *watchedConn, peer net.Conn, h *peerHealth) {
	f := newFleet(2, withShortRoute)
	f.awaitStable()
	home, entry := f.daemons[0], f.daemons[1]
	f.useHomes(home)
	l, err := net.Listen("tcp", home.s.IP+":0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	h = entry.p.homes.health
	c, err := h.dial(home.s.Daemon, l.Addr().String(), waitLimit)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	peer, err = l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(peer.Close)
	Expect(c.SetDeadline(time.Now().Add(waitLimit))).To(Succeed())
	h.connected(home.s.Daemon, now())
	entry.awaitFirstEcho(home)
	return c.(*watchedConn), peer, h
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
		entry.awaitFirstEcho(home)
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

	// Guards against a planned stop that interrupts statements: the entry forgets the address of a home
	// that leaves, and must not take its own unsent echoes for the home's silence.
	It("is not that it is lost if it stops as planned", func() {
		f := newFleet(2, withShortRoute)
		f.awaitStable()
		home, entry := f.daemons[0], f.daemons[1]
		f.useHomes(home)
		x := entry.dial("db-own")
		x.queryUntilServed("WRITE k 1")
		entry.awaitFirstEcho(home)
		f.group.SetStatementDelay(500 * time.Millisecond)
		answers := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			answers <- x.query("WRITE k 2")
		}()
		Eventually(home.p.countOpenTransactions, waitLimit).Should(Equal(1))
		home.stop()
		var a answer
		Eventually(answers, waitLimit).Should(Receive(&a))
		Expect(a.isServed()).To(BeTrue(), "%s %s", a.result, f.logTail())
		Expect(entry.healthCount("verdicts silent")).To(Equal("0"))
	})

	// Guards against a home that cannot be checked, or whose answered echoes are forgotten, while sessions
	// still use their links to it: it is removed from the known daemons when it starts to leave.
	It("can be checked while links to it are open, although it has left", func() {
		c, _, h := newWatchedLink()
		ip, _, err := net.SplitHostPort(c.RemoteAddr().String())
		Expect(err).NotTo(HaveOccurred())
		// A report of the home would make it known again.
		Expect(h.p.peers.conn.Close()).To(Succeed())
		h.p.peers.mu.Lock()
		delete(h.p.peers.known, c.home)
		h.p.peers.mu.Unlock()
		h.retain(nil)
		Expect(h.ip(c.home)).To(Equal(ip))
		h.mu.Lock()
		forgotten := h.table.NeedsFirstEcho(c.home)
		h.mu.Unlock()
		Expect(forgotten).To(BeFalse())
		Expect(c.Close()).To(Succeed())
		Expect(h.ip(c.home)).To(BeEmpty())
	})

	// Guards against statements that are in doubt although their home works: the home refuses another
	// session between two answers on a link.
	It("does not end waits on a home's open links if it refuses new sessions", func() {
		c, peer, h := newWatchedLink()
		_, err := peer.Write([]byte("a"))
		Expect(err).NotTo(HaveOccurred())
		b := make([]byte, 1)
		Expect(c.Read(b)).To(Equal(1))
		h.sessionRefused(c.home, "ledger", &linkRefusal{reportpb.Refusal_REFUSAL_DAEMON, "not serving"})
		read := make(chan error, 1)
		go func() {
			_, err := c.Read(b)
			read <- err
		}()
		Eventually(func() int { return h.countWaits(c.home) }, waitLimit).Should(Equal(1))
		_, err = peer.Write([]byte("b"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(read, waitLimit).Should(Receive(BeNil()))
	})

	// Guards against one reset, or a local error, that interrupts the statements of all sessions.
	It("is not that it is lost if one link to it cannot be opened", func() {
		c, peer, h := newWatchedLink()
		read := make(chan error, 1)
		go func() {
			_, err := c.Read(make([]byte, 1))
			read <- err
		}()
		Eventually(func() int { return h.countWaits(c.home) }, waitLimit).Should(Equal(1))
		for _, err := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EMFILE, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ECONNREFUSED} {
			before := h.p.stats.health.String()
			h.sessionRefused(c.home, "ledger", &net.OpError{Op: "dial", Err: err})
			Expect(c.down.Load()).To(BeFalse(), err.Error())
			if err != syscall.ECONNREFUSED {
				Expect(h.p.stats.health.Get("verdicts unreachable")).To(BeNil(), "%s %s", err, before)
			}
		}
		Expect(h.countWaits(c.home)).To(Equal(1))
		_, err := peer.Write([]byte("a"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(read, waitLimit).Should(Receive(BeNil()))
	})

	// Guards against statements that are refused without an attempt, because others connect to a home that
	// has just come back.
	It("lets a session with little time left ask a home to which others open links", func() {
		f := newFleet(2, withShortRoute)
		f.awaitStable()
		home, entry := f.daemons[0], f.daemons[1]
		f.useHomes(home)
		h := entry.p.homes.health
		s := &session{p: entry.p, database: "db-own", sessionState: newSessionState()}
		l, err := s.connectHome("ledger", now().Add(waitLimit))
		Expect(err).NotTo(HaveOccurred())
		s.closeLink()
		h.mu.Lock()
		at := now().Add(waitLimit)
		h.table.Failed(at, l.home, health.Silent)
		revived := h.table.Echoed(at, l.home, at)
		_, _ = h.table.BeginDial(at, l.home)
		choice := h.table.Choose(at, []core.DaemonID{l.home}, health.Scope{Group: "ledger"})
		h.mu.Unlock()
		Expect(revived).To(BeTrue())
		Expect(choice.Busy).To(HaveLen(1))
		_, err = s.connectHome("ledger", now().Add(4*time.Second))
		Expect(err).NotTo(HaveOccurred())
		s.closeLink()
	})

	// Guards against a home that is left without end: a daemon that answers no echoes may run there next.
	It("does not rely on echoes of a home that has left or closed a link", func() {
		f := newFleet(2, withShortRoute)
		f.awaitStable()
		home, entry := f.daemons[0], f.daemons[1]
		f.useHomes(home)
		needsFirstEcho := func() bool {
			h := entry.p.homes.health
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.table.NeedsFirstEcho(home.s.Daemon)
		}
		s := &session{p: entry.p, database: "db-own", sessionState: newSessionState()}
		l, err := s.connectHome("ledger", now().Add(waitLimit))
		Expect(err).NotTo(HaveOccurred())
		entry.awaitFirstEcho(home)
		s.handleHomeLoss(&job{id: "q"}, l, true, io.EOF)
		Expect(needsFirstEcho()).To(BeTrue())
		_, err = s.connectHome("ledger", now().Add(waitLimit))
		Expect(err).NotTo(HaveOccurred())
		defer s.closeLink()
		entry.awaitFirstEcho(home)
		entry.p.peers.updateSender(home.s.Daemon, &reportpb.Report{Leaving: true})
		Expect(needsFirstEcho()).To(BeTrue())
	})

	// Guards against sessions that wait for a trial which its session gave up.
	It("releases a trial for which its session has no time left", func() {
		f := newFleet(2, withShortRoute)
		f.awaitStable()
		home, entry := f.daemons[0], f.daemons[1]
		f.useHomes(home)
		h := entry.p.homes.health
		h.sessionRefused(home.s.Daemon, "ledger", &linkRefusal{reportpb.Refusal_REFUSAL_DAEMON, "not serving"})
		scope := health.Scope{Group: "ledger"}
		phase := func() health.Phase {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.table.Phase(now(), home.s.Daemon, scope)
		}
		Eventually(phase, waitLimit).Should(Equal(health.HalfOpen))
		s := &session{p: entry.p, database: "db-own", sessionState: newSessionState()}
		_, err := s.connectHome("ledger", now())
		Expect(err).To(HaveOccurred())
		Expect(phase()).To(Equal(health.HalfOpen))
	})

	It("is not in use without a route with a short timeout, where teams have limits, or if switched off", func() {
		p := &Proxy{policy: policy.All}
		p.homes = newHomes(p)
		Expect(p.homes.health.enabled()).To(BeFalse())
		p.homes.health.forwards.Store(true)
		Expect(p.homes.health.enabled()).To(BeFalse())
		routes := func(timeout time.Duration) map[string]direct.Route {
			return map[string]direct.Route{"long": {StatementTimeout: 3 * time.Second}, "d": {StatementTimeout: timeout}}
		}
		p.catalog.Store(&direct.Catalog{Routes: routes(1400 * time.Millisecond)})
		Expect(p.homes.health.enabled()).To(BeFalse())
		p.catalog.Store(&direct.Catalog{Routes: routes(1399 * time.Millisecond)})
		Expect(p.homes.health.enabled()).To(BeTrue())
		p.homes.health.forwards.Store(false)
		Expect(p.homes.health.enabled()).To(BeFalse(), "all daemons are homes of all groups")
		p.homes.health.forwards.Store(true)
		p.catalog.Store(&direct.Catalog{Routes: map[string]direct.Route{"none": {}}})
		Expect(p.homes.health.enabled()).To(BeFalse(), "no timeout is not a short one")
		p.catalog.Store(&direct.Catalog{Routes: routes(1399 * time.Millisecond)})
		p.settings.LimitsEnabled = true
		Expect(p.homes.health.enabled()).To(BeFalse(), "teams have limits")
		p.settings.LimitsEnabled = false
		p.policy &^= policy.SharedHealth
		Expect(p.homes.health.enabled()).To(BeFalse())
		Expect(slices.Contains(policy.Names(), "shared-health")).To(BeTrue())
	})
})
