package direct_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/quota"
)

func daemons(zones, perZone int) []direct.Daemon {
	var list []direct.Daemon
	for z := range zones {
		for i := range perZone {
			weight := 0.2
			if i < 2 {
				weight = 0.8
			}
			list = append(list, direct.Daemon{ID: core.DaemonID(fmt.Sprintf("d%d-%d", z, i)), Zone: core.Zone(fmt.Sprint(z)), Weight: weight})
		}
	}
	return list
}

// fleetOf returns a fleet with few groups.
func fleetOf(size int, daemons []direct.Daemon) direct.Fleet {
	return direct.Fleet{Daemons: slices.Clone(daemons), Size: size, Groups: 3}
}

var _ = Describe("Homes", func() {
	It("are all daemons if the members accept enough connections", func() {
		Expect(direct.Homes("g", 22, fleetOf(6, daemons(3, 2)))).To(HaveLen(6))
		Expect(direct.Homes("g", 32, fleetOf(8, daemons(4, 2)))).To(HaveLen(8))
	})

	// A host is added before another one is removed. During these few seconds a fleet of eight must
	// not switch to choosing homes and back.
	It("are still all daemons while hosts are being replaced", func() {
		Expect(direct.Homes("g", 22, fleetOf(10, daemons(5, 2)))).To(HaveLen(10))
	})

	// Guards against traffic that grows with the square of the fleet. Members that accept many
	// connections would allow 80 daemons to connect to them, and each would report to 79 others: in
	// an installation of that size, reports were a third of the traffic between zones.
	It("are not all daemons of a large fleet even if connections suffice", func() {
		Expect(len(direct.Homes("g", 170, fleetOf(80, daemons(5, 16))))).To(BeNumerically("<=", 10))
	})

	It("are few of a large fleet, some in each zone, on strong hosts", func() {
		homes := direct.Homes("g", 35, fleetOf(72, daemons(4, 18)))
		Expect(homes).To(HaveLen(4))
		for _, id := range homes {
			Expect(string(id)).To(Or(HaveSuffix("-0"), HaveSuffix("-1")))
		}
	})

	// Guards against moving all sessions of the fleet when one daemon goes, which would happen if
	// the homes of all groups were chosen afresh.
	It("do not change when another daemon is removed", func() {
		all := daemons(4, 18)
		moved := 0
		for g := range 50 {
			id := core.GroupID(fmt.Sprintf("g%d", g))
			before := direct.Homes(id, 35, fleetOf(72, all))
			after := direct.Homes(id, 35, fleetOf(71, all[1:]))
			for _, home := range before {
				if home != all[0].ID {
					Expect(after).To(ContainElement(home))
				} else {
					moved++
				}
			}
		}
		Expect(moved).To(BeNumerically(">", 5), "it was a home of some groups")
	})

	It("are asked first in the own zone, then elsewhere, before other daemons", func() {
		all := daemons(4, 18)
		homes := direct.Homes("g", 35, fleetOf(72, all))
		order := direct.HomeOrder("g", "d2-9", "2", homes, all)
		Expect(order).To(HaveLen(len(all) - 1))
		Expect(string(order[0])).To(HavePrefix("d2-"))
		Expect(homes).To(ContainElements(order[0], order[1], order[2], order[3]))
	})
})

var _ = Describe("the order of daemons for a team", func() {
	daemons := func(n int) (list []direct.Daemon) {
		for i := range n {
			list = append(list, direct.Daemon{ID: core.DaemonID(fmt.Sprintf("d%d", i)), Zone: core.Zone(fmt.Sprintf("z%d", i%4)), Weight: 1})
		}
		return list
	}
	homes := []core.DaemonID{"d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7"}

	// A team's callers connect to all entries, for databases of all groups. If a team were served
	// by several homes, each would need its own connections for the team and would have to know how
	// much the others have run for it.
	It("begins with the same home in all groups that have it", func() {
		for i := range 50 {
			slot := quota.Slot(i)
			order := direct.TeamOrder("g1", slot, homes, daemons(12))
			Expect(order).To(HaveLen(8+2), "two fallback daemons follow the homes")
			Expect(homes).To(ContainElements(order[:8]))
			Expect(direct.TeamOrder("g2", slot, homes, daemons(12))[:8]).To(Equal(order[:8]))
		}
	})

	It("spreads teams over the homes, and moves only those of a removed home", func() {
		first := make(map[core.DaemonID]int)
		for i := range 400 {
			slot := quota.Slot(i)
			before := direct.TeamOrder("g1", slot, homes, daemons(12))[0]
			first[before]++
			after := direct.TeamOrder("g1", slot, homes[1:], daemons(12))[0]
			if before != "d0" {
				Expect(after).To(Equal(before))
			}
		}
		Expect(first).To(HaveLen(8))
		for _, n := range first {
			Expect(n).To(BeNumerically("~", 50, 30))
		}
	})
})
