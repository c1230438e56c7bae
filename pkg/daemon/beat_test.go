package daemon_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/pkg/fleet"
	"limpetspan/pkg/peer/peerpb"
)

var _ = Describe("a heartbeat of a new home", func() {
	// The old home is frozen and its connections look alive. Guards against an entry that sends writes
	// there until gossip brings the news, although the new home has told this daemon itself.
	It("makes the entry send requests to that home at once", func(ctx SpecContext) {
		d := newWorld(ctx).start("d1", "a")
		beat := func(home string, term uint64, released bool) {
			_, err := d.Call(ctx, &peerpb.Call{Call: &peerpb.Call_HomeBeat{HomeBeat: &peerpb.HomeBeat{
				Group: "other", Home: home, Term: term, Primary: "m1", Released: released,
			}}})
			Expect(err).NotTo(HaveOccurred())
		}
		known := func() fleet.Home {
			h, _ := d.KnownHome("other")
			return h
		}
		// Before its gossip has started, the daemon records no home.
		Eventually(func() core.DaemonID {
			beat("d2", 4, false)
			return known().Daemon
		}).WithTimeout(bound).Should(Equal(core.DaemonID("d2")))
		beat("d3", 6, false)
		Expect(known().Daemon).To(Equal(core.DaemonID("d3")))
		beat("d2", 4, false)
		Expect(known().Daemon).To(Equal(core.DaemonID("d3")), "a late heartbeat of the old home")
		beat("d3", 6, true)
		Expect(known().Released).To(BeTrue())
		beat("d3", 6, false)
		Expect(known().Released).To(BeTrue(), "a late heartbeat from before the release")
	})
})
