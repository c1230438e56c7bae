package home

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHome(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "bench home")
}

var _ = ginkgo.Describe("fleetOf", func() {
	ginkgo.It("gives each group its own name, before three daemons or none", func() {
		o := fleetOf(3, true)
		Expect(o.Daemons).To(HaveLen(candidates))
		Expect(o.Groups).To(HaveLen(3))
		Expect(o.Groups[2].ID).To(BeEquivalentTo("parkdb-3"))
		Expect(fleetOf(3, false).Daemons).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("usage", func() {
	ginkgo.It("is a slope", func() {
		u := usage{cpu: 4, bytes: 300, messages: 30, heap: 3000}.minus(usage{cpu: 2, bytes: 100, messages: 10, heap: 1000}).per(10)
		Expect(u).To(Equal(usage{cpu: 0.2, bytes: 20, messages: 2, heap: 200}))
	})
})
