package hedge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/hedge"
)

func TestHedge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hedge")
}

// observe reports n answers that took 20 to 120 ms, times the factor.
func observe(d *hedge.Decider, random *rand.Rand, n int, factor float64) {
	for range n {
		d.Answered("d", time.Duration(factor*(20+100*random.Float64())*float64(time.Millisecond)))
	}
}

var _ = Describe("a hedge of a slow read", func() {
	It("is due after the time that 95 % of the database's reads take, if they leave time for it", func() {
		d, random := hedge.NewDecider(), rand.New(rand.NewPCG(1, 1))
		_, due := d.Delay("d", time.Second)
		Expect(due).To(BeFalse(), "the usual time is unknown")
		observe(d, random, 5000, 1)
		delay, due := d.Delay("d", time.Second)
		Expect(due).To(BeTrue())
		Expect(delay).To(BeNumerically("~", 115*time.Millisecond, 25*time.Millisecond))
		_, due = d.Delay("d", 130*time.Millisecond)
		Expect(due).To(BeFalse())
		_, due = d.Delay("another", time.Second)
		Expect(due).To(BeFalse())
	})

	// Guards against hedges of most reads in an overload, in which all reads take ten times longer:
	// the hedges would keep the overload going.
	It("stays rare when all reads become slow", func() {
		d, random := hedge.NewDecider(), rand.New(rand.NewPCG(1, 2))
		observe(d, random, 5000, 1)
		hedges, reads := 0, 2000
		for range reads {
			took := time.Duration(10 * (20 + 100*random.Float64()) * float64(time.Millisecond))
			if delay, due := d.Delay("d", 3*time.Second); due && took > delay && d.Take(0, "d") {
				hedges++
			}
			d.Answered("d", took)
		}
		Expect(hedges).To(BeNumerically("<=", hedge.MaxBudget+int(hedge.BudgetShare*float64(reads))))
		Expect(hedges).To(BeNumerically(">", 0))
	})

	It("does not happen while reads are refused because of load", func() {
		d, at := hedge.NewDecider(), core.Time(0)
		Expect(d.Take(at, "d")).To(BeTrue())
		for range 20 {
			d.Refused(at, "d")
		}
		at = at.Add(hedge.OverloadMemory)
		Expect(d.Take(at, "d")).To(BeFalse())
		observe(d, rand.New(rand.NewPCG(1, 3)), 21, 1)
		Expect(d.Take(at, "d")).To(BeTrue())
	})

	// Guards against hedges in an overload with few refusals, whose cost the answered reads make up for.
	It("does not happen for a while after a single refusal of the database's reads", func() {
		d, at := hedge.NewDecider(), core.Time(0)
		d.Refused(at, "d")
		at = at.Add(hedge.OverloadMemory - 1)
		Expect(d.Take(at, "d")).To(BeFalse())
		Expect(d.Take(at, "another")).To(BeTrue())
		Expect(d.Take(at+1, "d")).To(BeTrue())
	})
})
