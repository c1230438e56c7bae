package promotions_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/explore/promotions"
)

func TestPromotions(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "leads")
}

var _ = Describe("exploration of changes of the primary", func() {
	It("finds no broken promise under faults", func() {
		o := promotions.DefaultOptions()
		o.Runs = 60
		report := promotions.Run(context.Background(), o)
		Expect(report.Violations).To(BeEmpty())
		Expect(report.Counts["acknowledged"]).To(BeNumerically(">", 30000))
		Expect(report.Counts["promotions"]).To(BeNumerically(">", 60))
	})

	It("loses no acknowledged commit where commits wait for a replica", func() {
		o := promotions.DefaultOptions()
		o.Runs, o.Sync = 40, true
		report := promotions.Run(context.Background(), o)
		Expect(report.Violations).To(BeEmpty())
		Expect(report.Counts["promotions"]).To(BeNumerically(">", 20))
	})

	// Guards against commits that reappear after a promotion has rolled them back: a member that
	// was cut off has the old log, and the others refuse the connections for the fences.
	It("brings back no commit where members have no room for orders", func() {
		o := promotions.DefaultOptions()
		o.Runs, o.Crowded = 60, true
		report := promotions.Run(context.Background(), o)
		Expect(report.Violations).To(BeEmpty())
		Expect(report.Counts["promotions"]).To(BeNumerically(">", 60))
	})

	// Guards against fencing tokens that decrease, a lock on which two daemons act, and a lease that
	// relies on a lock that the store has lost.
	It("keeps its promises where the store comes back from older copies", func() {
		o := promotions.DefaultOptions()
		o.Runs, o.Restores = 60, true
		report := promotions.Run(context.Background(), o)
		Expect(report.Violations).To(BeEmpty())
		Expect(report.Counts["promotions"]).To(BeNumerically(">", 60))
	})

	// Guards against the use of a replaced primary by daemons that know no other member: its replicas
	// return where these daemons and the primary are not reached.
	It("keeps its promises where replicas return behind a partition", func() {
		o := promotions.DefaultOptions()
		o.Runs, o.Splits = 60, true
		report := promotions.Run(context.Background(), o)
		Expect(report.Violations).To(BeEmpty())
		Expect(report.Counts["promotions"]).To(BeNumerically(">", 60))
	})

	// Guards against a lease on a replaced primary from the lock of a repair.
	DescribeTable("keeps its promises where fences are repaired after a partition", func(seed uint64) {
		o := promotions.DefaultOptions()
		o.Runs, o.Seed, o.Splits = 1, seed, true
		Expect(promotions.Run(context.Background(), o).Violations).To(BeEmpty())
	},
		Entry(nil, uint64(436)),
		Entry(nil, uint64(10520)),
	)

	// Guards against a planned change that never ends, as no replica can succeed the demoted primary.
	It("accepts writes again after the only replicas have restarted in a planned change", func() {
		o := promotions.DefaultOptions()
		o.Runs, o.Seed, o.Splits = 1, 191, true
		Expect(promotions.Run(context.Background(), o).Violations).To(BeEmpty())
	})

	// Guards against the promotion of a member that still has commits which an earlier promotion
	// rolled back: the daemon that promotes it has seen the newest term late.
	It("tells others where a leadership has begun", func() {
		o := promotions.DefaultOptions()
		o.Runs, o.Seed, o.Restores = 1, 3537, true
		Expect(promotions.Run(context.Background(), o).Violations).To(BeEmpty())
	})

	// Guards against a claim that names a term which a lost claim has named before.
	DescribeTable("keeps its promises over several older copies", func(seed uint64) {
		o := promotions.DefaultOptions()
		o.Runs, o.Seed, o.Restores, o.Crowded = 1, seed, true, true
		Expect(promotions.Run(context.Background(), o).Violations).To(BeEmpty())
	},
		Entry(nil, uint64(1189)),
		Entry(nil, uint64(1239)),
		Entry(nil, uint64(1434)),
	)

	It("repeats a run from its seed", func() {
		o := promotions.DefaultOptions()
		o.Runs, o.Seed = 1, 7
		Expect(promotions.Run(context.Background(), o)).To(Equal(promotions.Run(context.Background(), o)))
	})

	// Guards against the removal of a check by mistake. Callers would see commits that are
	// acknowledged and lost, reads that lack commits, or a group that accepts no writes any
	// more. The exploration must find a violation without each check. The checks that are not
	// listed need more runs than a test can make: leads, outrun, own-fences, same-term and
	// send-window have scripted tests of their own.
	DescribeTable("notices a check that is switched off",
		func(name, promise string, first ...uint64) {
			o := promotions.DefaultOptions()
			Expect(o.SwitchOff(name)).To(Succeed())
			for _, seed := range first {
				o.Seed = seed
			}
			end := o.Seed + 300
			for o.Runs = 16; o.Seed < end; o.Seed += uint64(o.Runs) {
				if report := promotions.Run(context.Background(), o); len(report.Violations) > 0 {
					Expect(report.Violations[0].Promise).To(MatchRegexp(promise))
					return
				}
			}
			Fail("no violation in 300 runs")
		},
		Entry(nil, "ack-lease", "replaced", uint64(420)),
		Entry(nil, "fences", "replaced|stale"),
		Entry(nil, "heard", "stale", uint64(320)),
		Entry(nil, "outwait", "replaced|stale"),
		Entry(nil, "restart", "stale"),
		Entry(nil, "read-lease", "replaced|stale"),
		Entry(nil, "session-position", "stale"),
		Entry(nil, "superseded", "replaced|progress", uint64(1210)),
		Entry(nil, "sync", "lost"),
		Entry(nil, "lock-life", "replaced|token"),
		Entry(nil, "order-reset", "token", uint64(11480)),
		Entry(nil, "lock-term", "replaced|stale"),
		Entry(nil, "lock-era", "progress", uint64(2120)),
		Entry(nil, "lone-member", "replaced"),
		Entry(nil, "era-settled", "stale|replaced", uint64(5930)),
		Entry(nil, "era-token", "token"),
		Entry(nil, "era-lost-locks", "replaced|progress", uint64(760)),
		Entry(nil, "unbroken-lease", "replaced|stale", uint64(340)),
	)
})
