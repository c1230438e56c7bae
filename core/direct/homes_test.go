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

// fleetOf is a fleet with few groups.
func fleetOf(size int, daemons []direct.Daemon) direct.Fleet {
	return direct.Fleet{Daemons: slices.Clone(daemons), Size: size, Groups: 3}
}

var _ = Describe("Homes", func() {
	It("are all daemons while the members' connections suffice", func() {
		Expect(direct.Homes("g", 22, fleetOf(6, daemons(3, 2)))).To(HaveLen(6))
		Expect(direct.Homes("g", 32, fleetOf(8, daemons(4, 2)))).To(HaveLen(8))
	})

	// A host is added before another goes. For the few seconds in between a fleet of
	// eight must not turn to homes, and back.
	It("are still all daemons while hosts are being replaced", func() {
		Expect(direct.Homes("g", 22, fleetOf(10, daemons(5, 2)))).To(HaveLen(10))
	})

	// Members that take many connections would let 80 daemons reach them, and each
	// would report to 79 others: on the users' installation of that size reports were
	// a third of a day's worth in traffic between zones.
	It("are not all of a large fleet even if connections suffice", func() {
		Expect(len(direct.Homes("g", 170, fleetOf(80, daemons(5, 16))))).To(BeNumerically("<=", 10))
	})

	It("are few of a large fleet, some in each zone, on strong hosts", func() {
		homes := direct.Homes("g", 35, fleetOf(72, daemons(4, 18)))
		Expect(homes).To(HaveLen(4))
		for _, id := range homes {
			Expect(string(id)).To(Or(HaveSuffix("-0"), HaveSuffix("-1")))
		}
	})

	// A daemon that goes takes its own groups with it. Were the homes of all groups
	// dealt anew, all sessions of the fleet would move at once.
	It("stay when a daemon goes that is none of them", func() {
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
		Expect(moved).To(BeNumerically(">", 5), "it was home of some groups")
	})

	It("of the own zone are asked first, then others, then any daemon", func() {
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

	// A team's callers come in at all entries, for databases of all groups. Were they to meet at
	// several homes, each would need connections of its own for the team, and each would
	// have to know how much the others have run for it.
	It("begins with the same home in all groups that have it", func() {
		for i := range 50 {
			slot := quota.Slot(i)
			order := direct.TeamOrder("g1", slot, homes, daemons(12))
			Expect(order).To(HaveLen(8+2), "few others step in while no home answers")
			Expect(homes).To(ContainElements(order[:8]))
			Expect(direct.TeamOrder("g2", slot, homes, daemons(12))[:8]).To(Equal(order[:8]))
		}
	})

	It("spreads teams over the homes, and moves only those of a home that goes", func() {
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
