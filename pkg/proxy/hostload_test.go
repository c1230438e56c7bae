package proxy

import (
	"encoding/json"
	"io"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/platform"
)

// homeProxy returns a daemon that is a home of the group g together with strong, in a fleet of uneven
// hosts.
func homeProxy() *Proxy {
	p := New(platform.Settings{Daemon: "self", Zone: "z", Weight: 1000}, io.Discard)
	p.view.daemons = newDaemonList()
	h := p.homes
	h.fleetKnown, h.catalog = true, &direct.Catalog{Groups: map[core.GroupID]direct.GroupSpec{"g": {}}}
	h.daemons = []direct.Daemon{{ID: "self", Zone: "z", Weight: 1}, {ID: "strong", Zone: "z", Weight: 1}, {ID: "weak", Zone: "z", Weight: 0.1}}
	h.setStaticHomes("g", "self", "strong")
	return p
}

// lateFor makes the ticks of every second late by half of it, for as many seconds.
func (h *hostLoad) lateFor(seconds int, share float64) (burden direct.Burden) {
	for range seconds {
		at := h.measuredAt.Add(hostLoadInterval)
		h.recordTick(time.Duration(share*float64(hostLoadInterval)) + 2*tickInterval)
		burden = h.observe(at)
	}
	return burden
}

var _ = Describe("the load of a host", func() {
	// Guards against a host whose processor is taken by others: its own processor time is low, and its
	// callers wait.
	It("is high while ticks are late", func() {
		p := homeProxy()
		p.hostLoad.observe(core.Time(time.Second))
		Expect(p.hostLoad.lateFor(20, 0.5)).To(BeZero())
		Expect(p.hostLoad.lateFor(8, 0.95)).To(Equal(direct.Burden(1)))
		Expect(p.hostLoad.snapshot().Late).To(BeNumerically("~", 0.95, 0.01))
	})

	// Guards against changing the homes of deployments in which all hosts are alike.
	It("gives no burden where homes are not chosen by load", func() {
		even, off := homeProxy(), homeProxy()
		even.homes.daemons = even.homes.daemons[:2]
		off.policy, _ = off.policy.Without("homes-by-load")
		for _, p := range []*Proxy{even, off} {
			p.hostLoad.observe(core.Time(time.Second))
			Expect(p.hostLoad.lateFor(8, 0.95)).To(BeZero())
		}
	})
})

var _ = Describe("a session whose home is overloaded", func() {
	// Guards against sessions that stay at an overloaded home for as long as their callers are
	// connected, and against moving those that the home keeps.
	It("moves to the home that the entry asks first", func() {
		p := homeProxy()
		h := p.homes
		h.setStaticHomes("g", "a", "b")
		h.daemons = []direct.Daemon{{ID: "a", Zone: "z", Weight: 1}, {ID: "b", Zone: "z", Weight: 1}}
		first := direct.HomeOrder("g", "self", "z", h.homesOf("g"), h.daemons)[0]
		other := core.DaemonID("a")
		if first == "a" {
			other = "b"
		}
		h.updateBurdened()
		Expect(h.mayKeepLink("g", "", other)).To(BeTrue())
		for i := range h.daemons {
			h.daemons[i].Burden = 2
		}
		h.updateBurdened()
		Expect(h.mayKeepLink("g", "", other)).To(BeFalse())
		Expect(h.mayKeepLink("g", "", first)).To(BeTrue())
		h.backoffUntil[first] = now().Add(time.Minute)
		Expect(h.mayKeepLink("g", "", other)).To(BeTrue(), "the first one is down")
	})
})

var _ = Describe("the entry of a daemon", func() {
	// Guards against daemons that choose different homes: all of them, the overloaded one included, use
	// what the store holds.
	It("tells all daemons of its burden", func() {
		f := newFleet(2, func(f *fleet) { f.adjustSettings = func(s *platform.Settings) { s.Weight = 0.8 } })
		f.awaitAllDiscovered()
		home, other := f.daemons[0].p, f.daemons[1].p
		r := &registration{p: home}
		var err error
		r.lease, _, err = home.client.Grant(home.ctx, registrationTTL)
		Expect(err).NotTo(HaveOccurred())
		r.updateBurden(now(), 2)
		Expect(r.burden).To(Equal(direct.Burden(2)))
		burden := func(p *Proxy) func() direct.Burden {
			return func() direct.Burden {
				p.homes.mu.Lock()
				defer p.homes.mu.Unlock()
				i := slices.IndexFunc(p.homes.daemons, func(d direct.Daemon) bool { return d.ID == home.settings.Daemon })
				return p.homes.daemons[i].Burden
			}
		}
		Eventually(burden(home), waitLimit).Should(Equal(direct.Burden(2)))
		Eventually(burden(other), waitLimit).Should(Equal(direct.Burden(2)))
	})

	It("is ignored by a daemon that does without", func() {
		p := homeProxy()
		p.peers = &peers{p: p, known: map[core.DaemonID]*peer{"strong": {burden: 1, lastSeen: now()}}}
		Expect(p.peers.daemons()[1].Burden).To(Equal(direct.Burden(1)))
		p.policy, _ = p.policy.Without("homes-by-load")
		Expect(p.peers.daemons()[1].Burden).To(BeZero())
	})

	// Guards against differing choices of homes during an upgrade: an entry without overload is that of
	// earlier versions, byte by byte.
	It("names a burden only if there is one", func() {
		r := &registration{p: homeProxy()}
		plain, err := json.Marshal(r.entry(0))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(plain)).To(Equal(`{"ip":"","zone":"z","weight":1000}`))
		l := newDaemonList()
		r.p.settings.IP = "10.0.0.1"
		value, err := json.Marshal(r.entry(2))
		Expect(err).NotTo(HaveOccurred())
		r.p.applyDaemon(l, platform.Item{Key: platform.DaemonsPrefix + "self", Value: value, Lease: 1})
		Expect(l.daemons()).To(Equal([]direct.Daemon{{ID: "self", Zone: "z", Weight: 1000, Burden: 2}}))
	})
})
