package direct_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var _ = Describe("the size of a fleet", func() {
	at := func(d time.Duration) core.Time { return core.Time(time.Hour).Add(d) }

	It("grows with the first list that is longer", func() {
		var s direct.FleetSize
		Expect(s.Observe(at(0), 3)).To(Equal(3))
		Expect(s.Observe(at(time.Second), 295)).To(Equal(295))
	})

	// Guards against taking a large fleet for a small one. Reads of the store lag, or it has lost
	// registrations: a daemon reads a list of ten and would connect to all members of all groups.
	It("does not change with one short list, or with several", func() {
		var s direct.FleetSize
		s.Observe(at(0), 295)
		for second := range 29 {
			Expect(s.Observe(at(time.Duration(second)*time.Second), 10)).To(Equal(295))
		}
		Expect(s.Observe(at(29*time.Second), 290)).To(Equal(295))
	})

	It("shrinks with a fleet that stays smaller", func() {
		var s direct.FleetSize
		s.Observe(at(0), 295)
		s.Observe(at(time.Second), 200)
		s.Observe(at(2*time.Second), 12)
		Expect(s.Observe(at(31*time.Second), 12)).To(Equal(200))
		Expect(s.Observe(at(62*time.Second), 12)).To(Equal(12))
	})
})

var _ = Describe("the homes of a large fleet after a short list was read", func() {
	// Guards against too many homes. Twelve of 295 daemons are listed. If these were taken for the
	// whole fleet, each of them would be a home of every group, and so would every daemon that
	// reads such a list.
	It("are no more than before", func() {
		short := daemons(6, 2)
		Expect(direct.Homes("g", 131, fleetOf(12, daemons(6, 2)))).To(HaveLen(12))
		Expect(len(direct.Homes("g", 35, fleetOf(295, short)))).To(BeNumerically("<=", 6))
	})

	It("do not add watchers of the configuration", func() {
		Expect(direct.Watchers(12, daemons(6, 2))).To(HaveLen(12))
		Expect(direct.Watchers(295, daemons(6, 3))).To(HaveLen(12))
	})
})
