package proxy

import (
	"bufio"
	"net"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/pkg/proxy/reportpb"
)

// staticHomes is a homeTable that does not change with the fleet.
type staticHomes map[core.GroupID][]core.DaemonID

func (t staticHomes) Update(direct.Fleet) []core.GroupID           { return nil }
func (t staticHomes) Homes(id core.GroupID, _ int) []core.DaemonID { return t[id] }
func (t staticHomes) Forget(core.GroupID)                          {}
func (t staticHomes) IsDirect(int) bool                            { return false }
func (t staticHomes) IsEligible(core.DaemonID) bool                { return true }

// setStaticHomes sets the homes of the group and ends the choice of homes. The lock is held if other
// goroutines use h.
func (h *homes) setStaticHomes(id core.GroupID, daemons ...core.DaemonID) {
	h.table = staticHomes{id: daemons}
	h.health.forwards.Store(true)
	h.homeOrders = make(map[core.GroupID][]core.DaemonID)
	delete(h.ownGroups, id)
	if h.p != nil && slices.Contains(daemons, h.p.settings.Daemon) {
		h.ownGroups[id] = true
	}
}

// serveSilently accepts sessions from entries like a home, but never answers a statement or question. It
// keeps the connections until the listener is closed: garbage collection would reset those that are no
// longer referenced.
func serveSilently(l net.Listener) {
	var accepted []net.Conn
	defer func() {
		for _, c := range accepted {
			_ = c.Close()
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		accepted = append(accepted, c)
		go func() {
			var hello reportpb.Hello
			if protodelim.UnmarshalFrom(bufio.NewReader(c), &hello) == nil && !hello.Configuration {
				_, _ = protodelim.MarshalTo(c, &reportpb.Welcome{})
			}
		}()
	}
}

var _ = Describe("a home in backoff", func() {
	// Guards against statements that wait for an unresponsive home for their whole timeout and are
	// refused, although another home could serve them. The first home accepts sessions and never
	// answers, as if it were cut off from the entry.
	It("is replaced by another home in time, for all sessions, if it does not answer", func() {
		f := newFleet(2)
		f.awaitStable()
		home, entry := f.daemons[0], f.daemons[1]
		cut := processIP(99)
		l, err := net.Listen("tcp", home.s.LinkAddr(cut))
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		go serveSilently(l)
		f.useHomes(home)
		entry.p.peers.mu.Lock()
		entry.p.peers.ensurePeer("edge-cut", cut)
		entry.p.peers.mu.Unlock()
		h := entry.p.homes
		for asked := ""; asked != "edge-cut"; {
			// The order of homes depends on the entry's ID, so the ID is changed until the cut-off
			// home is the first one.
			h.mu.Lock()
			h.p.settings.Daemon += "'"
			h.setStaticHomes("ledger", "edge-cut", home.s.Daemon)
			h.daemons = []direct.Daemon{{ID: "edge-cut", Zone: "zone-1", Weight: 1}, {ID: home.s.Daemon, Zone: "zone-1", Weight: 1}}
			h.mu.Unlock()
			asked = string(h.candidates("ledger", "")[0])
		}
		home.dial("db-own").queryUntilServed("WRITE k 1")
		for range 4 {
			x := entry.dial("db-own")
			Expect(x.query("READ k").rows).To(Equal([]string{"1"}))
		}
		Expect(h.mayKeepLink("ledger", "", "edge-cut")).To(BeFalse())
	})

	// Guards against an entry that excludes a healthy home because its only statement there waits for
	// an overloaded member for longer than homeSilenceTimeout. The entry then excluded the next home,
	// too, and daemons that are not homes used up the members' connections.
	It("is not one whose only statement waits for a member", func() {
		f := newFleet(2)
		home, entry := f.daemons[0], f.daemons[1]
		f.useHomes(home)
		s := &session{p: entry.p, database: "db-own", sessionState: newSessionState()}
		l, err := s.connectHome("ledger", now().Add(waitLimit))
		Expect(err).NotTo(HaveOccurred())
		defer s.closeLink()
		// No statement is running, so no answer is sent on the link.
		Expect(l.awaitAnswer(s, time.Now().Add(2*homeSilenceTimeout), false)).To(Succeed())
		entry.p.checkHome(home.s.Daemon, now())
		Expect(entry.p.homes.candidates("ledger", "")).To(HaveLen(1))
	})

	// Guards against an entry that excludes a home because of a new database: the entry already has
	// the new configuration and the home does not.
	It("is not one that lacks a new database", func() {
		h := newHomes(nil)
		h.setStaticHomes("g", "a")
		h.daemons = []direct.Daemon{{ID: "a"}}
		h.p = &Proxy{}
		h.sessionRefused("a", "g", &linkRefusal{reportpb.Refusal_REFUSAL_DATABASE, "no such database"})
		Expect(h.candidates("g", "")).To(HaveLen(1))
		h.sessionRefused("a", "g", &linkRefusal{reportpb.Refusal_REFUSAL_GROUP, "cut from the primary"})
		Expect(h.candidates("g", "")).To(BeEmpty())
		Expect(h.candidates("another", "")).To(HaveLen(1))
	})

	It("is not one that has answered another session meanwhile", func() {
		h := newHomes(nil)
		h.setStaticHomes("g", "a", "b")
		sent := now()
		h.markSeen("a")
		h.backOffIfUnseen("a", sent)
		Expect(h.mayKeepLink("g", "", "a")).To(BeTrue(), "only its member is slow")
		time.Sleep(time.Millisecond)
		h.backOffIfUnseen("a", now())
		Expect(h.mayKeepLink("g", "", "a")).To(BeFalse())
	})
})

var _ = Describe("a daemon that is missing from the store's list", func() {
	// Guards against homes that are chosen from only half of the fleet, because the registrations of the
	// other half expire while it is cut off from the store.
	It("counts as listed for unlistedRetention", func() {
		at := now()
		k := &peer{listed: true}
		k.markUnlisted(at)
		Expect(k.listed).To(BeTrue())
		k.markUnlisted(at.Add(unlistedRetention - time.Millisecond))
		Expect(k.listed).To(BeTrue())
		k.markUnlisted(at.Add(unlistedRetention))
		Expect(k.listed).To(BeFalse())
	})
})

var _ = Describe("a daemon that starts and does not know the others yet", func() {
	// Guards against refused callers after a power failure of all hosts. A daemon has the
	// configuration about 0.2 s before the list of daemons, and callers used up their three attempts
	// within milliseconds.
	It("makes statements wait until homes are chosen", func() {
		h := newHomes(&Proxy{done: make(chan struct{})})
		served := make(chan bool)
		go func() {
			h.awaitChosen(now().Add(waitLimit))
			served <- h.chosen()
		}()
		h.mu.Lock()
		h.setStaticHomes("g", "a")
		close(h.ready)
		h.mu.Unlock()
		Eventually(served, waitLimit).Should(Receive(BeTrue()))
	})

	It("makes no statement wait longer than a start may take", func() {
		p := &Proxy{}
		p.configuredAt.Store(int64(now().Add(-time.Minute)))
		route := direct.Route{StatementTimeout: time.Hour}
		Expect(p.startupDeadline(now(), route)).To(BeNumerically("<", now()))
	})
})
