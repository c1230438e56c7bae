package result_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/bench/result"
)

func TestResult(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench result")
}

var _ = DescribeTable("Percentile", func(n int, q float64, want int) {
	var values []time.Duration
	for i := n; i >= 1; i-- {
		values = append(values, time.Duration(i))
	}
	Expect(result.Percentile(values, q)).To(Equal(time.Duration(want)))
},
	Entry("of nothing", 0, 0.5, 0),
	Entry("of one", 1, 0.99, 1),
	Entry("the median of four is the second", 4, 0.5, 2),
	Entry("the 99th of 20 is the greatest", 20, 0.99, 20),
	Entry("the 99th of 200", 200, 0.99, 198),
)

var _ = Describe("Median", func() {
	It("is the middle, or the mean of the two in the middle", func() {
		Expect(result.Median([]float64{3, 1, 2})).To(Equal(2.0))
		Expect(result.Median([]float64{4, 1, 2, 3})).To(Equal(2.5))
	})
})
