package direct_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var _ = Describe("the daemons that entries ask when no home answers", func() {
	// Guards against overloading members during a partition. When half of a fleet was cut off from
	// the homes of a group, each entry chose a different daemon instead. 40 of 65 daemons opened
	// connections to members that accept 22, and the homes could open none for seconds after the
	// partition had ended.
	It("are the same for all entries", func() {
		var daemons []direct.Daemon
		for n := range 60 {
			daemons = append(daemons, direct.Daemon{ID: core.DaemonID(fmt.Sprintf("d%02d", n)), Zone: core.Zone(fmt.Sprintf("zone-%d", n%3)), Weight: 1})
		}
		homes := direct.Homes("g", 22, fleetOf(len(daemons), daemons))
		first := make(map[core.DaemonID]int)
		near := make(map[core.DaemonID]int)
		for _, entry := range daemons {
			if slices.Contains(homes, entry.ID) {
				continue
			}
			order := direct.HomeOrder("g", entry.ID, entry.Zone, homes, daemons)
			near[order[0]]++
			further := slices.DeleteFunc(slices.Clone(order), func(d core.DaemonID) bool { return slices.Contains(homes, d) })
			first[further[0]]++
		}
		Expect(len(first)).To(BeNumerically("<=", 2), "one for all entries, and another for that daemon itself")
		Expect(near).To(HaveLen(len(homes)), "the homes share the load")
	})
})
