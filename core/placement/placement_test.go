package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

const (
	ms    = time.Millisecond
	start = core.Time(10 * time.Second)
)

var _ = Describe("the expected wait on a member", func() {
	It("counts what has to finish first, and grows before all slots are in use", func() {
		Expect(placement.Expect(3, 2, 0)).To(Equal(placement.Wait{}))
		Expect(placement.Expect(3, 3, 0).Turns).To(BeNumerically("~", 1.0/3))
		Expect(placement.Expect(3, 0, 30).Turns).To(BeNumerically("~", 28.0/3, 0.01))
		// A Poisson number with the mean 2 exceeds two free slots by 0.5413 on average.
		Expect(placement.Expect(3, 0, 2).Turns).To(BeNumerically("~", 0.5413/3, 0.0001))
		Expect(placement.Expect(6, 0, 2).Turns).To(BeNumerically("<", 0.01))
	})
})

var _ = Describe("the load by other homes", func() {
	own := func(n int, d time.Duration) float64 {
		var m placement.Mean
		m.Observe(start, 0)
		for at := start; at < start.Add(d); {
			at = at.Add(30 * ms)
			m.Observe(at, n)
		}
		return m.Value()
	}

	// Guards against herding. Between two reports, each of eight homes sees the same idle member and
	// would move all its reads there.
	It("follows this home's own change since their reports", func() {
		var o placement.Others
		for _, id := range []core.DaemonID{"d2", "d3", "d4", "d5", "d6", "d7", "d8"} {
			o.Reported(start, id, 0, own(0, time.Second))
		}
		Expect(o.Expected(0)).To(BeZero())
		Expect(o.Expected(own(1, 900*ms))).To(BeNumerically(">", 3), "seven others with about half a statement each")
	})

	// Guards against taking a member for idle that another home has just reported to be busy, because
	// this home has left it since the report of a third one.
	It("counts no home as having fewer statements than none", func() {
		var o placement.Others
		o.Reported(start, "d2", 0, 3)
		o.Reported(start.Add(900*ms), "d3", 3, 0)
		Expect(o.Expected(0)).To(BeNumerically("~", 3))
	})

	// Guards against counting the statements of a home that was lost.
	It("forgets homes that report no more", func() {
		var o placement.Others
		o.Reported(start, "d2", 3, 0)
		o.Reported(start.Add(time.Second), "d3", 1, 0)
		o.Expire(start.Add(500 * ms))
		Expect(o.Expected(0)).To(BeNumerically("~", 1))
	})
})

var _ = Describe("a learned service time", func() {
	var group placement.GroupTimes
	var a, b placement.Times
	at := start

	observe := func(t *placement.Times, kind string, took ...time.Duration) {
		for _, d := range took {
			at = at.Add(10 * ms)
			t.Observe(at, &group, kind, d, placement.Wait{})
		}
	}

	BeforeEach(func() {
		group, a, b, at = placement.GroupTimes{}, placement.Times{}, placement.Times{}, start
		for i := range 40 {
			d := time.Duration(5+i%5*10) * ms
			observe(&a, "read", d)
			observe(&b, "read", d)
		}
	})

	// Guards against moving reads to another zone because the last few statements were long.
	It("is the same on members that differ only by chance", func() {
		observe(&a, "read", 45*ms, 40*ms, 15*ms)
		Expect(a.Of(at, &group, "read")).To(Equal(b.Of(at, &group, "read")))
	})

	// Guards against reads that stay on a member that has become slow for one kind of statement.
	It("is longer on a member that is slow, for that kind only and for a while", func() {
		observe(&a, "scan", 30*ms, 30*ms)
		for range 8 {
			observe(&a, "read", 150*ms)
		}
		Expect(a.Of(at, &group, "read")).To(BeNumerically(">", b.Of(at, &group, "read")+30*ms))
		Expect(a.Of(at, &group, "scan")).To(Equal(30 * ms))
		later := at.Add(20 * time.Second)
		Expect(a.Of(later, &group, "read")).To(BeNumerically("<", b.Of(later, &group, "read")+15*ms), "it is tried again")
	})

	// Guards against a slow member that looks fast because other homes report too much load there.
	It("is at least half of what statements took", func() {
		for range 40 {
			at = at.Add(10 * ms)
			a.Observe(at, &group, "read", 400*ms, placement.Wait{Turns: 20})
		}
		Expect(a.Of(at, &group, "read")).To(BeNumerically(">", b.Of(at, &group, "read")+30*ms))
	})

	// Guards against avoiding a member long after it has recovered: its first answer after a pause must
	// not count together with those from before the pause.
	It("is about the group's once a member that was slow answers fast again", func() {
		for range 8 {
			observe(&a, "read", 150*ms)
		}
		at = at.Add(20 * time.Second)
		observe(&a, "read", 25*ms)
		Expect(a.Of(at, &group, "read")).To(BeNumerically("~", b.Of(at, &group, "read"), 3*ms))
	})

	// Guards against sending a member that has just restarted a full share at once.
	It("is longer on a member that has answered little", func() {
		var cold placement.Times
		Expect(cold.Of(at, &group, "read")).To(BeNumerically(">", 3*a.Of(at, &group, "read")/2))
	})
})
