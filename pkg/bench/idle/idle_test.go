package idle

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIdle(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "bench idle")
}

var _ = ginkgo.Describe("memory", func() {
	ginkgo.It("is taken for each connection of the growth", func() {
		grown := memory{heap: 300, stacks: 40, rss: 500, goroutines: 12}.minus(memory{heap: 100, rss: 100, goroutines: 2})
		Expect(grown.per(10)).To(Equal(memory{heap: 20, stacks: 4, rss: 40, goroutines: 1}))
	})

	ginkgo.It("of a bare socket is less than a goroutine's stack", func() {
		bytes, err := bareSocket(100)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes).To(And(BeNumerically(">", 50), BeNumerically("<", 2048)))
	})
})
