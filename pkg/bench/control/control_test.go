package control

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("Measure", func() {
	ginkgo.It("runs a small fleet and reports every figure of the steady and the changing part", func() {
		r, err := Measure(context.Background(), Options{
			Daemons: []int{16}, Groups: []int{20}, Seconds: 1, Regions: 4, Zones: 12, Memory: true, Fanout: 3,
			Scenarios: []string{ScenarioSteady, ScenarioConfig}, Progress: ginkgo.GinkgoWriter,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Runs).To(HaveLen(1))
		run := r.Runs[0]
		Expect(run.Steady.CPUPercentOfCore).To(BeNumerically(">", 0))
		Expect(run.Steady.BytesPerS).To(BeNumerically(">", 0))
		Expect(run.Steady.HeapBytes).To(BeNumerically(">", 0))
		Expect(run.Config.Changes).To(Equal(changesPerSecond))
		Expect(run.Config.Missed).To(BeZero())
		Expect(run.Config.Reach.Count).To(Equal(15 * changesPerSecond))
		Expect(run.Zone).To(BeNil())
	})

	ginkgo.It("refuses sizes that cannot be run", func() {
		for _, o := range []Options{
			{Daemons: []int{3}, Seconds: 1, Regions: 4, Zones: 12},
			{Groups: []int{0}, Seconds: 1, Regions: 4, Zones: 12},
			{Seconds: 0, Regions: 4, Zones: 12},
			{Seconds: 1, Regions: 4, Zones: 3},
			{Seconds: 1, Regions: 4, Zones: 12, Scenarios: []string{"nothing"}},
		} {
			Expect(o.Check()).NotTo(Succeed())
		}
	})
})

var _ = ginkgo.Describe("fit", func() {
	ginkgo.It("finds the plane and its residuals", func() {
		n := []float64{100, 200, 400, 100, 100}
		m := []float64{10, 10, 10, 20, 40}
		values := make([]float64, len(n))
		for i := range n {
			values[i] = 5 + 2*n[i] + 3*m[i]
		}
		s, ok := fit(n, m, values)
		Expect(ok).To(BeTrue())
		Expect(s.Intercept).To(BeNumerically("~", 5, 1e-6))
		Expect(s.PerDaemon).To(BeNumerically("~", 2, 1e-9))
		Expect(s.PerGroup).To(BeNumerically("~", 3, 1e-9))
		Expect(s.AtPlan).To(BeNumerically("~", 5+2*PlanDaemons+3*PlanGroups, 1e-6))
		values[0]++
		s, _ = fit(n, m, values)
		Expect(s.MaxResidual).To(BeNumerically(">", 0.1))
	})

	ginkgo.It("gives no slope from too few runs", func() {
		_, ok := fit([]float64{1, 2, 3}, []float64{1, 1, 1}, []float64{1, 2, 3})
		Expect(ok).To(BeFalse())
	})
})
