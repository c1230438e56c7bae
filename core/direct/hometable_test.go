package direct_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

// largeFleet returns a fleet with perZone strong hosts in each zone and as many weak ones.
func largeFleet(zones, perZone int) (list []direct.Daemon) {
	for z := range zones {
		for i := range 2 * perZone {
			weight := 1.6
			if i >= perZone {
				weight = 0.2
			}
			list = append(list, direct.Daemon{ID: core.DaemonID(fmt.Sprintf("d%d-%d", z, i)), Zone: core.Zone(fmt.Sprint(z)), Weight: weight})
		}
	}
	return list
}

func groupIDs(n int) (list []core.GroupID) {
	for i := range n {
		list = append(list, core.GroupID(fmt.Sprintf("g%d", i)))
	}
	return list
}

var _ = Describe("the table of homes", func() {
	const connections = 278

	fill := func(fleet direct.Fleet) *direct.HomeTable {
		t := direct.NewHomeTable()
		t.Update(fleet)
		for _, id := range groupIDs(fleet.Groups) {
			t.Homes(id, connections)
		}
		return t
	}

	// Guards against daemons that probe and report for hundreds of groups.
	It("gives a daemon a bounded number of groups, whatever the number of groups", func() {
		for _, groups := range []int{20, 500, 1000, 2000} {
			daemons := largeFleet(6, 10*max(1, groups/1000))
			fleet := direct.Fleet{Daemons: daemons, Size: len(daemons), Groups: groups}
			t, homes := fill(fleet), make(map[core.DaemonID]int)
			for _, id := range groupIDs(groups) {
				chosen := t.Homes(id, connections)
				Expect(len(chosen)).To(BeNumerically(">=", direct.MinHomes))
				for _, d := range chosen {
					homes[d]++
				}
			}
			for _, n := range homes {
				Expect(n).To(BeNumerically("<=", 2*direct.GroupsPerHome), "%d groups", groups)
			}
		}
	})

	It("spreads the homes of a group over zones", func() {
		daemons := largeFleet(6, 10)
		t := fill(direct.Fleet{Daemons: daemons, Size: 60, Groups: 1000})
		for _, id := range groupIDs(1000) {
			homes := t.Homes(id, connections)
			Expect(homes).To(HaveLen(direct.MinHomes))
			Expect(homes[0][:2]).NotTo(Equal(homes[1][:2]))
		}
	})

	// Guards against a table whose state depends on the order of changes: daemons that know the
	// same fleet would choose different homes.
	It("equals a new table after any series of changes", func() {
		random := rand.New(rand.NewPCG(7, 7))
		all := largeFleet(4, 6)
		t := direct.NewHomeTable()
		for range 300 {
			fleet := direct.Fleet{Size: 30 + random.IntN(3), Groups: 60 + random.IntN(2)*200}
			for _, d := range all {
				if random.IntN(4) > 0 {
					if random.IntN(20) == 0 {
						d.Weight = 0.9
					}
					fleet.Daemons = append(fleet.Daemons, d)
				}
			}
			before := make(map[core.GroupID][]core.DaemonID)
			for _, id := range groupIDs(40) {
				before[id] = t.Homes(id, connections)
			}
			changed := t.Update(fleet)
			for _, id := range groupIDs(40) {
				Expect(t.Homes(id, connections)).To(Equal(direct.Homes(id, connections, fleet)))
				Expect(slices.Contains(changed, id)).To(Equal(!slices.Equal(before[id], t.Homes(id, connections))))
			}
		}
	})

	// Guards against work that is proportional to the number of groups times the number of daemons:
	// in a fleet in which hundreds of daemons restart it would use a whole processor on each.
	It("scores one daemon per group when one is added, and few more when one is removed", func() {
		for _, groups := range []int{100, 1000} {
			daemons := largeFleet(6, 10)
			fleet := direct.Fleet{Daemons: daemons, Size: 60, Groups: groups}
			t := fill(fleet)
			scored := t.Scored()
			t.Update(direct.Fleet{Daemons: daemons[1:], Size: 60, Groups: groups})
			Expect(t.Scored() - scored).To(BeNumerically("<", 3*groups))
			scored = t.Scored()
			t.Update(fleet)
			Expect(t.Scored() - scored).To(Equal(groups))
			scored = t.Scored()
			t.Update(direct.Fleet{Daemons: slices.Concat(daemons, []direct.Daemon{{ID: "weak", Zone: "0", Weight: 0.2}}), Size: 60, Groups: groups})
			Expect(t.Scored()-scored).To(BeZero(), "a weak host is not a home")
		}
	})
})
