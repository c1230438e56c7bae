package proxy

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var _ = Describe("a report of the load of members", func() {
	report := direct.Report{Group: "g", Members: []direct.MemberReport{{Member: "a", OpenConns: 2, Running: 1.25}, {Member: "b", OpenConns: 1}}}

	It("arrives as it was sent", func() {
		report.SharesLoad = true
		Expect(decodeReport(encodeReport(&report))).To(Equal(report))
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
		h := &homes{p: &Proxy{view: &view{daemons: newDaemonList()}}, fleetKnown: true, catalog: &direct.Catalog{}, daemons: uneven,
			table: staticHomes{"g": []core.DaemonID{"d1", "d3"}, "single": []core.DaemonID{"d1"}}}
		several, hosts := h.sharesLoad("g")
		Expect(several && hosts).To(BeTrue())
		several, _ = h.sharesLoad("single")
		Expect(several).To(BeFalse())
		h.daemons = uneven[:1]
		_, hosts = h.sharesLoad("g")
		Expect(hosts).To(BeFalse())
		table := direct.NewHomeTable()
		table.Update(direct.Fleet{Daemons: uneven, Size: len(uneven), Groups: 1})
		h.catalog, h.table = &direct.Catalog{Groups: map[core.GroupID]direct.GroupSpec{"g": {MaxConns: 66}}}, table
		several, _ = h.sharesLoad("g")
		Expect(several).To(BeFalse())
	})
})
