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

// staticHomes are homes that stay, whatever becomes of the fleet.
type staticHomes map[core.GroupID][]core.DaemonID

func (t staticHomes) Update(direct.Fleet) []core.GroupID           { return nil }
func (t staticHomes) Homes(id core.GroupID, _ int) []core.DaemonID { return t[id] }
func (t staticHomes) Forget(core.GroupID)                          {}
func (t staticHomes) IsDirect(int) bool                            { return false }
func (t staticHomes) IsEligible(core.DaemonID) bool                { return true }

// setStaticHomes sets the homes of the group for good. The lock is held if there are other users.
func (h *homes) setStaticHomes(id core.GroupID, daemons ...core.DaemonID) {
	h.table = staticHomes{id: daemons}
	delete(h.ownGroups, id)
	if h.p != nil && slices.Contains(daemons, h.p.settings.Daemon) {
		h.ownGroups[id] = true
	}
}

// serveSilently takes sessions of entries as a home does, and never answers a statement or a
// question.
func serveSilently(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			var hello reportpb.Hello
			if protodelim.UnmarshalFrom(bufio.NewReader(c), &hello) == nil && !hello.Configuration {
				_, _ = protodelim.MarshalTo(c, &reportpb.Welcome{})
			}
		}()
	}
}

var _ = Describe("a home that answers nobody", func() {
	// A home is cut from its entries. Each session's statement waited there for the whole
	// of its time, and was refused, although another home could have served it.
	It("is given up while there is time for another one, by all sessions", func() {
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
			// The entry's own order decides which home it asks first.
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

	// All of a group's members are overloaded, and an entry has one statement at its home,
	// which waits there for longer than a home may be silent. The entry gave the home up,
	// and then the next one; daemons that are no homes filled the members.
	It("is not one whose only statement waits for a member", func() {
		f := newFleet(2)
		home, entry := f.daemons[0], f.daemons[1]
		f.useHomes(home)
		s := &session{p: entry.p, database: "db-own", sessionState: newSessionState()}
		l, err := s.connectHome("ledger", now().Add(waitLimit))
		Expect(err).NotTo(HaveOccurred())
		defer s.closeLink()
		// No statement is under way, so that no answer comes on the link.
		Expect(l.awaitAnswer(s, time.Now().Add(2*homeSilenceTimeout), false)).To(Succeed())
		entry.p.checkHome(home.s.Daemon, now())
		Expect(entry.p.homes.candidates("ledger", "")).To(HaveLen(1))
	})

	// A caller of a database that has just been added comes to an entry that has the new
	// configuration, before its homes have it.
	It("is not one that lacks a database for a moment", func() {
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

	It("is not one of which another session has had an answer meanwhile", func() {
		h := newHomes(nil)
		h.setStaticHomes("g", "a", "b")
		sent := now()
		h.markSeen("a")
		h.backOffIfUnseen("a", sent)
		Expect(h.mayKeepLink("g", "", "a")).To(BeTrue(), "its member is slow, and it is not")
		time.Sleep(time.Millisecond)
		h.backOffIfUnseen("a", now())
		Expect(h.mayKeepLink("g", "", "a")).To(BeFalse())
	})
})

var _ = Describe("a daemon that the store's list has lost", func() {
	// Half of the fleet is cut from the store, its registrations run out, and the other
	// half would take the fleet for one half of its size.
	It("counts as long again as its registration lasts", func() {
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
	// All hosts have lost power. The first statements come when a daemon has the
	// configuration and not yet the list of daemons: the callers' three attempts were
	// refused within milliseconds, a fifth of a second before they could be served.
	It("has statements wait for its choice of homes", func() {
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

	It("has none wait for longer than a start takes", func() {
		p := &Proxy{}
		p.configuredAt.Store(int64(now().Add(-time.Minute)))
		route := direct.Route{StatementTimeout: time.Hour}
		Expect(p.startupDeadline(now(), route)).To(BeNumerically("<", now()))
	})
})
