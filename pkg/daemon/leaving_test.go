package daemon_test

import (
	"context"
	"expvar"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standinstore "limpetspan/standin/store"
)

var _ = Describe("the platform's host list", func() {
	// The platform takes a host away and lists it as leaving. Its member would
	// get new statements until it is gone, and these would be cut off. The daemon
	// that watches the list tells the homes, wherever they are.
	It("makes every home spare a leaving target", func(ctx SpecContext) {
		w := newWorld(context.Background())
		a, b := w.start("a", "z1"), w.start("b", "z2")
		for _, d := range []*running{a, b} {
			Eventually(d.Ready).WithTimeout(bound).Should(Succeed())
		}
		groups := func() string {
			return expvar.Get("limpetspan.daemon").String()
		}
		Eventually(groups).WithTimeout(bound).Should(ContainSubstring(`"serving":true`))
		Expect(groups()).NotTo(ContainSubstring(`"leaving":true`))
		replica := w.group.Member("m2")
		Expect(w.hosts.Set(standinstore.Host{Addr: replica.Addr(), Zone: "z2", State: standinstore.HostLeaving})).To(Succeed())
		Eventually(groups).WithTimeout(bound).Should(ContainSubstring(`"leaving":true`))
		Expect(w.hosts.Set(standinstore.Host{Addr: replica.Addr(), Zone: "z2", State: standinstore.HostLive})).To(Succeed())
		Eventually(groups).WithTimeout(bound).ShouldNot(ContainSubstring(`"leaving":true`))
	})
})
