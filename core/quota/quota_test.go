package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/quota"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

const start = core.Time(time.Hour)

func after(d time.Duration) core.Time { return start.Add(d) }

var _ = Describe("a bucket", func() {
	It("allows a burst and then the rate", func() {
		b := quota.NewBucket(start, quota.Limit{Rate: 10, Burst: 5}, 5, true)
		for range 5 {
			Expect(b.Take(start)).To(BeTrue())
		}
		Expect(b.Take(start)).To(BeFalse())
		wait, ok := b.WaitTime(start, 1)
		Expect(ok).To(BeTrue())
		Expect(wait).To(Equal(100 * time.Millisecond))
		Expect(b.Take(after(wait))).To(BeTrue())
		Expect(b.Take(after(wait))).To(BeFalse())
	})

	It("keeps no more tokens than the new burst when the limit is lowered", func() {
		b := quota.NewBucket(start, quota.Limit{Rate: 100, Burst: 100}, 100, true)
		b.SetLimit(start, quota.Limit{Rate: 1, Burst: 2})
		Expect(b.Take(start)).To(BeTrue())
		Expect(b.Take(start)).To(BeTrue())
		Expect(b.Take(start)).To(BeFalse())
	})

	It("allows only the unreported part of its burst until the store records more", func() {
		b := quota.NewBucket(start, quota.Limit{Rate: 10, Burst: 40}, 40, false)
		for range 10 {
			Expect(b.Take(start)).To(BeTrue())
		}
		Expect(b.Take(start)).To(BeFalse())
		b.AllowFullBurst(start)
		for range 30 {
			Expect(b.Take(start)).To(BeTrue())
		}
		Expect(b.Take(start)).To(BeFalse())
		Expect(b.BurstUnusedSince(after(2*time.Second))).To(Equal(after(2*time.Second)), "20 of 30 tokens are back")
		Expect(b.BurstUnusedSince(after(9 * time.Second))).To(Equal(after(3 * time.Second)))
	})

	It("never has a token if the limit allows nothing", func() {
		b := quota.NewBucket(start, quota.Limit{}, 5, true)
		Expect(b.Take(after(time.Hour))).To(BeFalse())
		_, ok := b.WaitTime(start, 1)
		Expect(ok).To(BeFalse())
	})

	It("gains no tokens while its clock stands still or goes back", func() {
		b := quota.NewBucket(start, quota.Limit{Rate: 10, Burst: 1}, 1, true)
		Expect(b.Take(start)).To(BeTrue())
		Expect(b.Take(start.Add(-time.Hour))).To(BeFalse())
		Expect(b.Take(start)).To(BeFalse())
	})
})

var _ = Describe("a holder of slots", func() {
	slots := func(revision uint64) map[quota.Slot]uint64 { return map[quota.Slot]uint64{7: revision} }

	// taken returns a holder that has taken slot 7.
	taken := func() *quota.Holder {
		h := quota.NewHolder("d", 1)
		h.Request(start, 7)
		at := after(quota.BatchDelay)
		Expect(h.Next(start, true).Kind).To(Equal(quota.Pause), "further requests are batched")
		Expect(h.Next(at, true).Kind).To(Equal(quota.Grant))
		h.Granted(at, 3, quota.LeaseTTL)
		Expect(h.Next(at, true).Kind).To(Equal(quota.List))
		h.Listed(at, nil)
		Expect(h.Next(at, true)).To(Equal(quota.Step{Kind: quota.Take, Lease: 3, Slots: slots(0)}))
		h.Taken(at, slots(0), 11)
		return h
	}

	It("takes the slot once and renews its lease", func() {
		h := taken()
		held, ok := h.Holds(after(time.Second), 7)
		Expect(ok).To(BeTrue())
		Expect(held.Since).To(Equal(after(quota.BatchDelay)))
		Expect(h.Next(after(time.Second), true)).To(Equal(quota.Step{Kind: quota.Renew, Lease: 3}))
	})

	// Guards against a daemon that takes over from several others with one call for all of their
	// slots: the store rejects a call of that size on every attempt.
	It("takes and releases no more slots per call than the store allows", func() {
		h := quota.NewHolder("d", 1)
		for slot := range quota.Slot(2*quota.MaxSlotsPerCall + 1) {
			h.Request(start, slot)
		}
		at := after(quota.BatchDelay)
		h.Granted(at, 3, quota.LeaseTTL)
		h.Listed(at, nil)
		for _, n := range []int{quota.MaxSlotsPerCall, quota.MaxSlotsPerCall, 1} {
			step := h.Next(at, true)
			Expect(step.Kind).To(Equal(quota.Take))
			Expect(step.Slots).To(HaveLen(n))
			h.Taken(at, step.Slots, 11)
		}
		for slot := range quota.Slot(2*quota.MaxSlotsPerCall + 1) {
			h.Release(slot)
		}
		Expect(h.Next(at, true).Slots).To(HaveLen(quota.MaxSlotsPerCall))
	})

	// Guards against two holders while the store is down: another daemon may take the slot once
	// the lease has ended at the store.
	It("stops using the slot when its lease may have ended", func() {
		h := taken()
		_, ok := h.Holds(after(quota.LeaseTTL), 7)
		Expect(ok).To(BeFalse())
		h.Request(after(quota.LeaseTTL), 7)
		Expect(h.Next(after(quota.LeaseTTL+2*quota.BatchDelay), true).Kind).To(Equal(quota.Grant))
	})

	It("waits while another daemon holds the slot, and lists the owners again", func() {
		h := quota.NewHolder("d", 1)
		h.Request(start, 7)
		at := after(quota.BatchDelay)
		h.Granted(at, 3, quota.LeaseTTL)
		h.Listed(at, map[quota.Slot]quota.Owner{7: {Daemon: "e", Revision: 5}})
		Expect(h.Next(at, true).Kind).To(Equal(quota.Pause))
		h.Request(at.Add(quota.RelistInterval), 7)
		Expect(h.Next(at.Add(quota.RelistInterval), true).Kind).To(Equal(quota.Renew), "the daemon's own lease")
		h.Renewed(at.Add(quota.RelistInterval), quota.LeaseTTL)
		Expect(h.Next(at.Add(quota.RelistInterval), true).Kind).To(Equal(quota.List))
	})

	// Guards against a daemon that waits for the slot of a dead daemon and delays the teams of
	// all other slots.
	It("takes other slots while it waits for one", func() {
		h := quota.NewHolder("d", 1)
		h.Request(start, 7)
		at := after(quota.BatchDelay)
		h.Granted(at, 3, quota.LeaseTTL)
		h.Listed(at, map[quota.Slot]quota.Owner{7: {Daemon: "e", Revision: 5}})
		Expect(h.Next(at, true).Kind).To(Equal(quota.Pause))
		h.Request(at, 8)
		Expect(h.Next(at.Add(quota.BatchDelay), true)).To(Equal(quota.Step{Kind: quota.Take, Lease: 3, Slots: map[quota.Slot]uint64{8: 0}}))
	})

	// A process is killed and restarted at once. If it waited for the lease of its previous
	// incarnation, its teams could not run for seconds.
	It("takes the slots of its previous incarnation at once", func() {
		h := quota.NewHolder("d", 2)
		h.Request(start, 7)
		at := after(quota.BatchDelay)
		h.Granted(at, 3, quota.LeaseTTL)
		h.Listed(at, map[quota.Slot]quota.Owner{7: {Daemon: "d", Boot: 1, Revision: 5}})
		Expect(h.Next(at, true)).To(Equal(quota.Step{Kind: quota.Take, Lease: 3, Slots: slots(5)}))
	})

	// All hosts lose power, and then the callers of all teams return at once. A holder that does
	// not know what its previous incarnation has run has far too few tokens for them.
	It("knows whether its previous incarnation used bursts", func() {
		h := quota.NewHolder("d", 2)
		h.Request(start, 7)
		h.Request(start, 8)
		at := after(quota.BatchDelay)
		h.Granted(at, 3, quota.LeaseTTL)
		h.Listed(at, map[quota.Slot]quota.Owner{7: {Daemon: "d", Boot: 1, Revision: 5}, 8: {Daemon: "d", Boot: 1, Revision: 6, BurstInUse: true}})
		h.Taken(at, map[quota.Slot]uint64{7: 5, 8: 6}, 11)
		unused, _ := h.Holds(at, 7)
		Expect(unused.PreviousBurstUnused).To(BeTrue())
		used, _ := h.Holds(at, 8)
		Expect(used.PreviousBurstUnused).To(BeFalse())
	})

	It("uses no full burst from its release until the store records the burst again", func() {
		h := taken()
		fullBurst := func() bool { held, _ := h.Holds(after(time.Second), 7); return held.FullBurst }
		h.Renewed(after(time.Second), quota.LeaseTTL)
		Expect(fullBurst()).To(BeTrue())
		h.ReleaseBurst(7)
		Expect(fullBurst()).To(BeFalse())
		Expect(h.Next(after(time.Second), true)).To(Equal(quota.Step{Kind: quota.ClearBurst, Lease: 3, Slots: slots(11)}))
		h.RequestBurst(7)
		h.RequestBurst(7)
		Expect(fullBurst()).To(BeFalse(), "the call that clears the record may still be in flight")
		h.BurstRecordFailed(after(time.Second), slots(11))
		Expect(h.Next(after(1100*time.Millisecond), true).Kind).To(Equal(quota.List))
		h.Listed(after(1100*time.Millisecond), map[quota.Slot]quota.Owner{7: {Daemon: "d", Boot: 1, Lease: 3, Revision: 12}})
		Expect(h.Next(after(1100*time.Millisecond), true)).To(Equal(quota.Step{Kind: quota.RecordBurst, Lease: 3, Slots: slots(12)}))
		h.BurstRecorded(slots(12), 13, true)
		Expect(fullBurst()).To(BeTrue())
	})

	It("stops using the slot before it releases it", func() {
		h := taken()
		h.Release(7)
		_, ok := h.Holds(after(time.Second), 7)
		Expect(ok).To(BeFalse())
		Expect(h.Next(after(time.Second), true)).To(Equal(quota.Step{Kind: quota.Release, Slots: slots(11)}))
		h.Failed(after(1100 * time.Millisecond))
		Expect(h.Next(after(1400*time.Millisecond), true).Kind).To(Equal(quota.Release))
		h.Released(slots(11))
		Expect(h.Next(after(1400*time.Millisecond), true).Kind).To(Equal(quota.Pause))
	})

	// The response to a call that took a slot is lost, and the slot is no longer requested. Its
	// key would stay for as long as the daemon renews the lease for other slots.
	It("releases a slot that was taken by a call without a response", func() {
		h := quota.NewHolder("d", 1)
		h.Request(start, 8)
		at := after(quota.BatchDelay)
		h.Granted(at, 3, quota.LeaseTTL)
		h.Listed(at, map[quota.Slot]quota.Owner{7: {Daemon: "d", Boot: 1, Lease: 3, Revision: 5}})
		Expect(h.Next(at, true)).To(Equal(quota.Step{Kind: quota.Release, Slots: slots(5)}))
	})

	// Guards against two daemons that count one team after the store was restored from an older
	// copy that lacks the holder's key, and against teams that cannot run meanwhile.
	It("keeps its slots in a new era, and takes no others before the era has settled", func() {
		h := taken()
		h.Request(after(time.Second), 7)
		h.NewEra(after(time.Second))
		_, ok := h.Holds(after(time.Second), 7)
		Expect(ok).To(BeTrue(), "no other daemon takes it now")
		at := after(time.Second + 2*quota.BatchDelay)
		h.Request(at, 8)
		Expect(h.Next(at, false).Kind).To(Equal(quota.Grant))
		h.Granted(at, 9, quota.LeaseTTL)
		Expect(h.Next(at, false).Kind).To(Equal(quota.List))
		h.Listed(at, map[quota.Slot]quota.Owner{7: {Daemon: "another", Boot: 3, Revision: 4}})
		Expect(h.Next(at, false)).To(Equal(quota.Step{Kind: quota.Take, Lease: 9, Slots: map[quota.Slot]uint64{7: 4}}), "the restored copy names an earlier holder")
		h.Taken(at, map[quota.Slot]uint64{7: 4}, 12)
		held, ok := h.Holds(after(quota.LeaseTTL), 7)
		Expect(ok).To(BeTrue(), "under the new lease")
		Expect(held.Since).To(Equal(after(quota.BatchDelay)), "its count continues")
		Expect(h.Next(at, false).Kind).To(Equal(quota.Pause))
		h.Request(at, 8)
		Expect(h.Next(at.Add(quota.BatchDelay), true).Kind).To(Equal(quota.Take))
	})

	It("stops using a slot when the lease of the earlier era ends, unless it has taken the slot again", func() {
		h := taken()
		h.NewEra(after(time.Second))
		h.Granted(after(2*time.Second), 9, quota.LeaseTTL)
		_, ok := h.Holds(after(quota.BatchDelay+quota.LeaseTTL-quota.LeaseMargin), 7)
		Expect(ok).To(BeFalse(), "the new lease does not bind it")
		h.Next(after(quota.LeaseTTL), false)
		h.Taken(after(quota.LeaseTTL), map[quota.Slot]uint64{7: 4}, 12)
		held, _ := h.Holds(after(quota.LeaseTTL), 7)
		Expect(held.Since).To(Equal(after(quota.LeaseTTL)), "a new holding")
	})
})

var _ = Describe("a split limit", func() {
	// Guards against holders that give out more than the limit while one of them has not yet got a
	// new configuration, and against a part that allows nothing at all.
	It("adds up to the larger limit while its holders have different configurations", func() {
		bursts := []float64{0, 0.5, 1, 1.5, 2, 5, 8, 9, 10, 16, 20, 120}
		for _, a := range bursts {
			for _, b := range bursts {
				first, second := quota.Limit{Rate: 4 * a, Burst: a}.Of(quota.FirstPart), quota.Limit{Rate: 4 * b, Burst: b}.Of(quota.SecondPart)
				Expect(first.Rate + second.Rate).To(BeNumerically("<=", 4*max(a, b)+1e-9))
				Expect(first.Burst + second.Burst).To(BeNumerically("<=", max(a, b)+1))
				Expect(min(first.Burst, a)).To(BeNumerically(">=", min(a, 1)))
				Expect(min(second.Burst, b)).To(BeNumerically(">=", min(b, 1)))
			}
		}
		whole := quota.Limit{Rate: 10, Burst: 20}
		Expect(whole.Of(quota.FirstPart).Rate + whole.Of(quota.SecondPart).Rate).To(BeNumerically("~", whole.Rate))
		Expect(whole.Of(quota.FirstPart).Burst + whole.Of(quota.SecondPart).Burst).To(BeNumerically("~", whole.Burst))
		Expect(whole.Of(quota.Whole)).To(Equal(whole))
		t := quota.Tolerance{Slack: 20}
		Expect(t.Of(quota.FirstPart).StartTokens() + t.Of(quota.SecondPart).StartTokens()).To(BeNumerically("~", t.StartTokens()))
	})

	It("has its second part at the best home besides the first holder, or at a single home", func() {
		Expect(quota.SecondHolder([]core.DaemonID{"a", "b", "c"}, "a")).To(Equal(core.DaemonID("b")))
		Expect(quota.SecondHolder([]core.DaemonID{"a", "b", "c"}, "c")).To(Equal(core.DaemonID("a")))
		Expect(quota.SecondHolder([]core.DaemonID{"a"}, "a")).To(Equal(core.DaemonID("a")))
	})

	at := after(quota.BatchDelay)
	// listed returns a holder that requests slots 7 and 8 and the second slot of 7, after it has
	// read the owners.
	listed := func(owners map[quota.Slot]quota.Owner) *quota.Holder {
		h := quota.NewSplitHolder("d", 1)
		for _, slot := range []quota.Slot{7, 8, quota.Slot(7).Second()} {
			h.Request(start, slot)
		}
		h.Granted(at, 3, quota.LeaseTTL)
		h.Listed(at, owners)
		return h
	}

	// Guards against a conflict about a second slot that delays teams for which no daemon counts.
	It("takes slots before second slots, in calls of their own", func() {
		h := listed(map[quota.Slot]quota.Owner{7: {Daemon: "e", Split: true, Revision: 5}})
		Expect(h.Next(at, true).Slots).To(Equal(map[quota.Slot]uint64{8: 0}))
		h.Taken(at, map[quota.Slot]uint64{8: 0}, 11)
		Expect(h.Next(at, true).Slots).To(Equal(map[quota.Slot]uint64{quota.Slot(7).Second(): 0}))
	})

	// A daemon of an older version gives out the whole limit. Guards against a second holder that
	// adds its part to that.
	It("has no second holder beside a daemon that gives out whole limits", func() {
		second := quota.Slot(7).Second()
		h := listed(map[quota.Slot]quota.Owner{7: {Daemon: "old", Revision: 5}})
		h.Taken(at, map[quota.Slot]uint64{8: 0}, 11)
		Expect(h.Next(at, true).Kind).To(Equal(quota.Pause))
		h = listed(nil)
		h.Taken(at, map[quota.Slot]uint64{second: 0}, 11)
		_, holds := h.Holds(at, second)
		Expect(holds).To(BeTrue())
		h.Listed(at, map[quota.Slot]quota.Owner{7: {Daemon: "old", Revision: 12}, second: {Daemon: "d", Boot: 1, Revision: 11, Split: true}})
		_, holds = h.Holds(at, second)
		Expect(holds).To(BeFalse())
		Expect(h.Next(at, true)).To(Equal(quota.Step{Kind: quota.Release, Slots: map[quota.Slot]uint64{second: 11}}))
	})

	// All daemons restart, and split limits from now on. Guards against a holder that uses the rest
	// of a part's burst although more than the part's unreported burst may have been used before.
	It("starts nearly empty after a holder that gave out whole limits", func() {
		for _, split := range []bool{false, true} {
			h := listed(map[quota.Slot]quota.Owner{8: {Daemon: "d", Split: split, Revision: 5}})
			h.Taken(at, map[quota.Slot]uint64{8: 5}, 11)
			held, _ := h.Holds(at, 8)
			Expect(held.PreviousBurstUnused).To(Equal(split))
		}
	})
})
