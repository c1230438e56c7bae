package experiment_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/admission"
	"limpetspan/core/placement"
	"limpetspan/core/policy"
	"limpetspan/pkg/experiment"
)

func TestExperiment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "experiment")
}

const (
	firstSeed = 1
	seeds     = 4
)

// worth is what the mechanism changes under the pattern.
func worth(pattern, mechanism string) experiment.Differences {
	p, err := experiment.Load(pattern)
	Expect(err).NotTo(HaveOccurred())
	without, err := policy.All.Without(mechanism)
	Expect(err).NotTo(HaveOccurred())
	return experiment.Compare(&p, policy.All, without, firstSeed, seeds)
}

var _ = Describe("a load pattern replayed", func() {
	// A calm day: every zone has a member and all have slots to spare. Reads of callers
	// in the primary's zone, and those that found one statement under way in their own,
	// crossed to another zone.
	It("keeps reads in their zone by the load and the slots of members", func() {
		load, slots := worth("calm", "place-by-load"), worth("calm", "place-by-slots")
		Expect(load.Crossings.Mean).To(BeNumerically("<", -0.1))
		Expect(slots.Crossings.Mean).To(BeNumerically("<", -0.03))
		Expect(load.Value.Mean + slots.Value.Mean).To(BeNumerically(">", -0.004))
	})

	// A primary is replaced as planned, and the replica that is to take over becomes
	// unresponsive. Without the mechanism, callers have no primary until the wait for the effect of
	// the promotion has ended.
	It("goes on with another replica at once when the promoted one is lost", func() {
		d := worth("lost-successor", "claim-again")
		Expect(d.Value.Mean).To(BeNumerically(">", 0.05))
		Expect(d.Value.Mean).To(BeNumerically(">", d.Value.Interval))
	})

	// Both replicas lag, and the primary is overloaded. If statements are served in the order of
	// the queue alone, those that are already late delay those that are not. Shedding removes most
	// late statements before, so it is switched off in both arms.
	It("serves what can be in time first when a primary has more work than it can do", func() {
		p, err := experiment.Load("lagging-replicas")
		Expect(err).NotTo(HaveOccurred())
		with, err := policy.All.Without("shedding")
		Expect(err).NotTo(HaveOccurred())
		without, err := with.Without("in-time-first")
		Expect(err).NotTo(HaveOccurred())
		d := experiment.Compare(&p, with, without, firstSeed, seeds)
		Expect(d.Value.Mean).To(BeNumerically(">", d.Value.Interval))
	})

	// The same load. A statement that waits behind newer ones is refused after most of its time has
	// passed, and its caller has no time left to retry.
	It("tells callers early that a primary with too much work will not serve them", func() {
		p, err := experiment.Load("lagging-replicas")
		Expect(err).NotTo(HaveOccurred())
		without, err := policy.All.Without("shedding")
		Expect(err).NotTo(HaveOccurred())
		d := experiment.Compare(&p, policy.All, without, firstSeed, 4*seeds)
		Expect(d.Value.Mean).To(BeNumerically(">", d.Value.Interval))
	})

	// A burst beside a large team, with both replicas lagging. Without the mechanisms, refused callers
	// return before there is capacity for them and have used up their attempts when there is.
	It("serves more callers by forecast and scheduled returns", func() {
		p, err := experiment.Load("large-team")
		Expect(err).NotTo(HaveOccurred())
		without, err := policy.All.Without("forecast", "scheduled-returns")
		Expect(err).NotTo(HaveOccurred())
		d := experiment.Compare(&p, policy.All, without, firstSeed, seeds)
		Expect(d.Served.Mean).To(BeNumerically(">", 0.05))
		Expect(d.Value.Mean).To(BeNumerically(">", d.Value.Interval))
	})

	// The same load. Guards against refusals that are too eager: refusing what misses its latency goal
	// sends callers away that would have been served in time after all, or a little late.
	It("serves more callers in time by refusing what misses its deadline than what misses its goal", func() {
		p, err := experiment.Load("large-team")
		Expect(err).NotTo(HaveOccurred())
		byAim := p
		byAim.Limit = admission.LimitAim
		for seed := range uint64(seeds) {
			deadline, aim := experiment.Run(&p, policy.All, seed), experiment.Run(&byAim, policy.All, seed)
			Expect(deadline.InTime()).To(BeNumerically(">", aim.InTime()))
			Expect(deadline.Value()).To(BeNumerically(">", aim.Value()))
		}
	})

	It("gives up lost answers while there is time for another try", func() {
		d := worth("lost-answers", "answer-timeouts")
		Expect(d.Value.Mean).To(BeNumerically(">", 0))
	})

	// Homes that know only their own statements treat chance differences of service times as
	// differences of members, and send half of the statements to another zone.
	It("keeps reads in their zone by the load of all homes", func() {
		for _, pattern := range []string{"bounded-reads", "status-reads"} {
			d := worth(pattern, "shared-load")
			Expect(d.Crossings.Mean).To(BeNumerically("<", -0.05), pattern)
			Expect(d.Value.Mean).To(BeNumerically(">", -0.004), pattern)
		}
	})

	// A primary with half of the other members' slots. Two choices sends a third of the reads that
	// could stay to another zone, because their own zone's member was not drawn.
	It("uses members in proportion to their slots, in fewer zones than two choices does", func() {
		p, err := experiment.Load("bounded-reads")
		Expect(err).NotTo(HaveOccurred())
		p.Members.FirstSlots = 3
		two := p
		two.Placement = placement.TwoChoices
		for seed := range uint64(seeds) {
			least := experiment.Run(&p, policy.All, seed)
			Expect(least.Imbalance()).To(BeNumerically("<", 1.2))
			Expect(least.Crossings()).To(BeNumerically("<", experiment.Run(&two, policy.All, seed).Crossings()-0.05))
		}
	})

	It("repeats from its seed", func() {
		p, err := experiment.Load("power-loss")
		Expect(err).NotTo(HaveOccurred())
		Expect(experiment.Run(&p, policy.All, 7).Table()).To(Equal(experiment.Run(&p, policy.All, 7).Table()))
	})

	It("serves callers again after each pattern's trouble", func() {
		for _, name := range experiment.Names() {
			p, err := experiment.Load(name)
			Expect(err).NotTo(HaveOccurred())
			r := experiment.Run(&p, policy.All, 3)
			last := r.Times[p.Seconds-2]
			Expect(float64(last.InAim)).To(BeNumerically(">", 0.9*float64(last.Asked)), name)
		}
	})

	// Guards against a daemon without a connection to the new primary: the others have opened more than
	// their share at the same moment and keep those that they no longer use.
	It("serves the callers of all daemons after a long outage", func() {
		p, err := experiment.Load("long-outage")
		Expect(err).NotTo(HaveOccurred())
		for seed := range uint64(seeds) {
			last := experiment.Run(&p, policy.All, seed).Times[p.Seconds-2]
			Expect(float64(last.InAim)).To(BeNumerically(">", 0.9*float64(last.Asked)), "seed %d", seed)
		}
	})

	It("draws what callers got", func() {
		p, err := experiment.Load("power-loss")
		Expect(err).NotTo(HaveOccurred())
		path := filepath.Join(GinkgoT().TempDir(), "day.svg")
		Expect(experiment.Run(&p, policy.All, 1).Plot(path)).To(Succeed())
		data, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Contains(data, []byte("in aim"))).To(BeTrue())
	})
})

var _ = Describe("a pattern's file", func() {
	const whole = "[pattern]\nseconds = 5\n[members]\ncount = 3\n[callers a]\nrate = 10\nwork = 5ms\n"

	DescribeTable("is refused with what is wrong",
		func(text, why string) {
			_, err := experiment.Parse("p", []byte(whole+text))
			Expect(err).To(MatchError(ContainSubstring(why)))
		},
		Entry("an unknown section", "[weather]\n", "[weather] is unknown"),
		Entry("an unknown placement", "[pattern]\nplacement = best\n", `"best" is neither`),
		Entry("an unknown key", "[callers b]\nspeed = 3\n", `key "speed"`),
		Entry("no rate", "[callers b]\nwork = 5ms\n", "need a rate"),
		Entry("a time without a unit", "[callers b]\nrate = 3\nwork = 5\n", "no time such as 20ms"),
		Entry("an unknown event", "[event e]\nwhat = flood\n", `"flood" is none of`),
		Entry("an unknown kind of reads", "[callers b]\nrate = 3\nwork = 5ms\nreads = dirty\n", `"dirty" is none of`),
	)

	It("that is no file names the patterns", func() {
		_, err := experiment.Load("nonsense")
		Expect(err).To(MatchError(ContainSubstring("power-loss")))
	})
})
