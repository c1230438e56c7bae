package reducer

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReducer(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "bench reducer")
}

var _ = ginkgo.Describe("Measure", func() {
	ginkgo.It("drives a home that serves every request", func() {
		r, err := Measure(Options{Cycles: 2000, Rounds: 2})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Requests).To(Equal(warmUpCycles + 4000))
		Expect(r.Events).To(BeNumerically(">", 2*4000))
	})
})
