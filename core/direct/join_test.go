package direct_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var _ = Describe("a daemon that starts", func() {
	var strongHosts []direct.Daemon
	for z := range 6 {
		for i := range 10 {
			strongHosts = append(strongHosts, direct.Daemon{ID: core.DaemonID(fmt.Sprintf("s%d-%d", z, i)), Zone: core.Zone(fmt.Sprint(z)), Weight: 1.6})
		}
	}
	roster := direct.NewRoster(strongHosts)
	weak := direct.Daemon{ID: "weak", Zone: "2", Weight: 0.2}

	// Guards against lists that grow with hosts that would never be chosen.
	It("is not listed if it would never be a home", func() {
		Expect(direct.ChooseJoinMode(weak, strongHosts, roster)).To(Equal(direct.JoinAsEntry))
		Expect(direct.ChooseJoinMode(strongHosts[3], strongHosts[4:], roster)).To(Equal(direct.JoinAsHome))
	})

	It("is listed in a fleet in which all daemons may be homes", func() {
		few := strongHosts[:8]
		Expect(direct.ChooseJoinMode(weak, few, direct.NewRoster(few))).To(Equal(direct.JoinAsHome))
		var equal []direct.Daemon
		for i := range 100 {
			equal = append(equal, direct.Daemon{ID: core.DaemonID(fmt.Sprint(i)), Zone: "z", Weight: 0.4})
		}
		Expect(direct.ChooseJoinMode(direct.Daemon{ID: "new", Zone: "z", Weight: 0.4}, equal, direct.NewRoster(equal))).To(Equal(direct.JoinAsHome))
	})

	// Guards against a thousand weak hosts that register at once after a fleet has lost its list:
	// they know from the roster that strong hosts will register.
	It("waits for the strong hosts in the roster if its host is weak", func() {
		Expect(direct.ChooseJoinMode(weak, nil, roster)).To(Equal(direct.JoinUndecided))
		Expect(direct.ChooseJoinMode(strongHosts[0], nil, roster)).To(Equal(direct.JoinAsHome), "others wait for it")
	})

	// Guards against homes that wait in vain for weak hosts to be listed after a power failure.
	It("considers a list complete by the hosts that can be homes", func() {
		mixed := append([]direct.Daemon{}, strongHosts...)
		for i := range 200 {
			mixed = append(mixed, direct.Daemon{ID: core.DaemonID(fmt.Sprint("w", i)), Zone: "2", Weight: 0.2})
		}
		r := direct.NewRoster(mixed)
		Expect(r.Eligible).To(Equal(60))
		Expect(r.IsComplete(strongHosts)).To(BeTrue())
		Expect(r.IsComplete(strongHosts[:30])).To(BeFalse())
		small := direct.NewRoster(strongHosts[:10])
		Expect(small.IsComplete(strongHosts[:6])).To(BeFalse())
		Expect(small.IsComplete(strongHosts[:7])).To(BeTrue())
	})

	// Guards against a fleet with few strong hosts that switches to the mode of a small fleet after
	// its weak hosts, which are no longer listed, have restarted.
	It("treats a large fleet as large after its weak hosts are no longer listed", func() {
		few := strongHosts[:8]
		large := direct.Roster{Daemons: 71, Eligible: 8, MaxWeights: map[core.Zone]float64{"0": 1.6, "2": 1.6}}
		next := large.Updated(few)
		Expect(direct.IsSmallFleet(next.Daemons)).To(BeFalse())
		Expect(next.Eligible).To(Equal(8))
		Expect(direct.IsSmallFleet(direct.Roster{Daemons: 9}.Updated(few).Daemons)).To(BeTrue())
	})

	It("joins earlier the stronger its host is when a fleet starts for the first time", func() {
		for _, d := range strongHosts {
			Expect(direct.JoinDelay(d, time.Second)).To(BeNumerically("<", direct.JoinDelay(weak, time.Second)/4))
		}
	})
})
