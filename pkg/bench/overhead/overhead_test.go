package overhead

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOverhead(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "bench overhead")
}

// sliceOf has n statements that took as long each and as much processor time.
func sliceOf(n int, each, cpu time.Duration) slice {
	s := slice{took: time.Second, cpu: time.Duration(n) * cpu}
	for range n {
		s.times = append(s.times, each)
	}
	return s
}

var _ = ginkgo.Describe("figure", func() {
	ginkgo.It("takes the median of the rounds, not of the sums", func() {
		us := time.Microsecond
		ordinary := round{direct: sliceOf(100, 10*us, 5*us), relay: sliceOf(50, 20*us, 15*us), proxy: sliceOf(40, 30*us, 25*us)}
		disturbed := round{direct: sliceOf(100, 10*us, 5*us), relay: sliceOf(50, 20*us, 15*us), proxy: sliceOf(1, 900*us, 900*us)}
		f := figure(4, []round{ordinary, disturbed, ordinary})
		Expect(f.ThroughputRatio).To(BeNumerically("~", 0.4))
		Expect(f.RatioToRelay).To(BeNumerically("~", 0.8))
		Expect(f.P50AddedUs).To(BeNumerically("~", 20))
		Expect(f.CPUPerStatementUs).To(BeNumerically("~", 20))
		Expect(f.RelayCPUPerStatementUs).To(BeNumerically("~", 10))
	})
})
