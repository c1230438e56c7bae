package takeover_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// parallelFleets bounds the fleets that run at a time.
const parallelFleets = 8

// story is one scenario with a fleet of its own.
type story struct {
	name string
	run  func()
}

// together runs scenarios at the same time: they mostly wait for leases.
func together(list ...story) {
	GinkgoHelper()
	var g errgroup.Group
	g.SetLimit(parallelFleets)
	for _, s := range list {
		g.Go(func() error {
			defer GinkgoRecover()
			By(s.name)
			s.run()
			return nil
		})
	}
	Expect(g.Wait()).To(Succeed())
}
