package direct_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/quota"
)

var _ = Describe("the burden of a host", func() {
	var meter direct.BurdenMeter
	at := startTime
	observe := func(use float64, d time.Duration) (burden direct.Burden) {
		for end := at.Add(d); at < end; {
			at = at.Add(time.Second)
			burden = meter.Observe(at, use)
		}
		return burden
	}
	BeforeEach(func() { meter, at = direct.BurdenMeter{}, startTime })

	// Guards against moving sessions at each burst, and after a host was frozen for some seconds.
	It("rises only after a continuously high use", func() {
		for range 5 {
			Expect(observe(1, 5*time.Second)).To(BeZero())
			Expect(observe(0.5, time.Second)).To(BeZero())
		}
		Expect(observe(1, 7*time.Second)).To(Equal(direct.Burden(1)))
		Expect(observe(1, time.Minute)).To(Equal(direct.Burden(2)), "a quarter of the share remains")
	})

	// Guards against sessions that move back and forth: a host that has just lost half of its share
	// uses half as much.
	It("falls only if twice the share would still fit, and slowly", func() {
		observe(1, 7*time.Second)
		Expect(observe(0.5, 5*time.Minute)).To(Equal(direct.Burden(1)))
		Expect(observe(0.2, 20*time.Second)).To(Equal(direct.Burden(1)))
		Expect(observe(0.2, 20*time.Second)).To(BeZero())
	})
})

var _ = Describe("the homes of a fleet with an overloaded host", func() {
	const connections = 66
	entries := func(burden direct.Burden) map[core.DaemonID][]int {
		fleet := largeFleet(3, 2)
		fleet[0].Burden = burden
		homes := direct.Homes("g", connections, fleetOf(100, fleet))
		served := make(map[core.DaemonID][]int)
		for i := range 200 {
			order := direct.HomeOrder("g", core.DaemonID(fmt.Sprintf("e%d", i)), "0", homes, fleet)
			served[order[0]] = append(served[order[0]], i)
		}
		return served
	}

	// Guards against moving sessions that need not move.
	It("get some of its entries, and keep all of their own", func() {
		before, after := entries(0), entries(1)
		Expect(len(after["d0-0"])).To(BeNumerically("<", len(before["d0-0"])*5/6))
		Expect(len(after["d0-0"])).To(BeNumerically(">", len(before["d0-0"])/2))
		for _, i := range before["d0-1"] {
			Expect(after["d0-1"]).To(ContainElement(i))
		}
	})

	// Guards against a zone without relief: all homes there are overloaded, and strong hosts of the
	// zone are homes of nothing.
	It("include one more host of a zone only while all homes there are overloaded", func() {
		fleet := largeFleet(3, 4)
		table := direct.NewHomeTable()
		update := func() []core.DaemonID {
			table.Update(fleetOf(100, fleet))
			return slices.Clone(table.Homes("g", connections))
		}
		before := update()
		Expect(before).To(HaveLen(6))
		inZone := func(i int) bool { return fleet[i].Zone == "0" && fleet[i].Weight > 1 }
		for i := range fleet {
			if inZone(i) {
				fleet[i].Burden = 1
			}
		}
		extended := update()
		Expect(extended).To(HaveLen(7))
		Expect(extended).To(ContainElements(before))
		Expect(direct.Homes("g", connections, fleetOf(100, fleet))).To(Equal(extended), "a daemon that starts chooses the same")
		Expect(direct.Homes("g", 60, fleetOf(100, fleet))).To(HaveLen(7))
		Expect(direct.Homes("g", 59, fleetOf(100, fleet))).To(HaveLen(6), "connections do not suffice")
		for i := range fleet {
			fleet[i].Burden = 0
		}
		Expect(update()).To(Equal(before))
	})

	It("move to other strong hosts of its zone", func() {
		fleet := largeFleet(3, 4)
		count := func() (n int) {
			for _, id := range groupIDs(300) {
				if slices.Contains(direct.Homes(id, connections, fleetOf(100, fleet)), "d0-0") {
					n++
				}
			}
			return n
		}
		before := count()
		fleet[0].Burden = 2
		Expect(count()).To(BeNumerically("<", before*2/3))
	})

	// Guards against pauses: a team is not served while the slot that counts its operations moves. And
	// against weak hosts that become eligible because a strong one is overloaded.
	It("stay the same for teams and watchers, and stay eligible", func() {
		fleet := largeFleet(3, 2)
		homes := direct.Homes("g", connections, fleetOf(100, fleet))
		team := direct.TeamOrder("g", quota.Slot(7), homes, fleet)
		for i := range 2 {
			fleet[i].Burden = 2
		}
		Expect(direct.Homes("g", connections, fleetOf(100, fleet))).To(Equal(homes))
		Expect(direct.TeamOrder("g", quota.Slot(7), homes, fleet)).To(Equal(team))
		more := largeFleet(3, 4)
		watchers := direct.Watchers(100, more)
		for i := range more {
			if slices.Contains(watchers, more[i].ID) {
				more[i].Burden = 2
			}
		}
		Expect(direct.Watchers(100, more)).To(Equal(watchers))
	})
})
