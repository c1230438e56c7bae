package spread_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/spread"
)

func TestSpread(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spread")
}

var _ = Describe("Unit", func() {
	It("is evenly distributed over names that differ only at their end", func() {
		const names, parts = 4000, 4
		var count [parts]int
		for i := range names {
			count[int(parts*spread.Unit("edge", fmt.Sprint(i)))]++
		}
		for _, n := range count {
			Expect(n).To(BeNumerically("~", names/parts, names/parts/5))
		}
	})

	It("depends on where one name ends and the next begins", func() {
		Expect(spread.Unit("ab", "c")).NotTo(Equal(spread.Unit("a", "bc")))
	})
})
