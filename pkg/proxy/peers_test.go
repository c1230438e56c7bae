package proxy

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/platform"
)

var _ = Describe("a report of the load of members", func() {
	report := direct.Report{Group: "g", Members: []direct.MemberReport{{Member: "a", OpenConns: 2, Running: 1.25}, {Member: "b", OpenConns: 1}}}

	It("arrives as it was sent", func() {
		report.SharesLoad = true
		Expect(decodeReport(encodeReport(&report))).To(Equal(report))
	})

	// Guards against taking a home without connections for one that does not share its load.
	It("is known to be none if the sender has no connection", func() {
		none := direct.Report{Group: "g", SharesLoad: true}
		Expect(decodeReport(encodeReport(&none)).SharesLoad).To(BeTrue())
	})

	// Guards against losing the load of a home of the version without the field.
	It("is known by a member's load alone", func() {
		r := direct.Report{Group: "g", SharesLoad: true, Members: report.Members}
		encoded := encodeReport(&r)
		encoded.SharesLoad = false
		Expect(decodeReport(encoded).SharesLoad).To(BeTrue())
	})

	// Guards against taking a home of an earlier version for one without statements.
	It("is absent where load is not shared", func() {
		report.SharesLoad = false
		got := decodeReport(encodeReport(&report))
		Expect(got.SharesLoad).To(BeFalse())
		Expect(got.Members[0].Running).To(BeZero())
	})
})

var _ = Describe("the homes that share their load", func() {
	// Guards against changing the placement of deployments without uneven hosts and of fleets in which
	// every daemon is a home.
	It("are several homes of a group in a fleet of uneven hosts", func() {
		uneven := []direct.Daemon{{ID: "d1", Weight: 0.8}, {ID: "d2", Weight: 0.2}}
		h := &homes{p: &Proxy{view: &view{daemons: newDaemonList()}}, fleetKnown: true, catalog: &direct.Catalog{},
			table: staticHomes{"g": []core.DaemonID{"d1", "d3"}, "single": []core.DaemonID{"d1"}}}
		h.updateUnevenHosts(uneven)
		several, hosts := h.sharesLoad("g")
		Expect(several && hosts).To(BeTrue())
		several, _ = h.sharesLoad("single")
		Expect(several).To(BeFalse())
		h.updateUnevenHosts(uneven[:1])
		_, hosts = h.sharesLoad("g")
		Expect(hosts).To(BeFalse())
		table := direct.NewHomeTable()
		table.Update(direct.Fleet{Daemons: uneven, Size: len(uneven), Groups: 1})
		h.catalog, h.table = &direct.Catalog{Groups: map[core.GroupID]direct.GroupSpec{"g": {MaxConns: 66}}}, table
		several, _ = h.sharesLoad("g")
		Expect(several).To(BeFalse())
	})
})

var _ = Describe("a daemon that is not listed because its host is weak", func() {
	// Guards against strong homes, all of equal weight, that never learn of the weak hosts of the fleet.
	It("records in the roster that hosts differ, unless that is recorded", func() {
		p := newFleet(1, func(f *fleet) { f.adjustSettings = func(s *platform.Settings) { s.Weight = 0.2 } }).daemons[0].p
		roster := func() direct.Roster { return p.view.daemonList().roster }
		Eventually(func() int { return roster().Daemons }, waitLimit).Should(Equal(1))
		Expect(roster().Uneven).To(BeFalse())
		r, at := registration{p: p}, core.Time(rosterCheckInterval)
		r.recordUneven(at, p.view.daemonList())
		r.recordUneven(at.Add(2*rosterCheckInterval), p.view.daemonList())
		Eventually(func() bool { return roster().Uneven }, waitLimit, "10ms").Should(BeTrue())
		Expect(roster().Daemons).To(Equal(1))
	})

	// Guards against entries that all write to the store at once, or again and again.
	It("writes nothing before its delay has passed, and nothing if the roster has the field", func() {
		r, at := registration{}, core.Time(rosterCheckInterval)
		r.p = &Proxy{settings: platform.Settings{Daemon: "d1", Weight: 0.2}}
		l := newDaemonList()
		l.roster.Daemons = 17
		// A write would fail on the missing client.
		r.recordUneven(at, l)
		r.recordUneven(at.Add(rosterCheckInterval-1), l)
		l.roster.Uneven = true
		r.recordUneven(at.Add(10*rosterCheckInterval), l)
		Expect(r.rosterCheckedAt).To(Equal(at.Add(10 * rosterCheckInterval)))
	})
})
