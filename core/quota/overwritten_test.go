package quota_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/quota"
)

var _ = Describe("a slot whose key another writer has overwritten", func() {
	overwritten := func(revision uint64) map[quota.Slot]quota.Owner {
		return map[quota.Slot]quota.Owner{7: {Revision: revision, BurstInUse: true, Unknown: true}}
	}
	// listed returns the step of a holder that has listed the owners at the given time.
	listed := func(h *quota.Holder, after time.Duration, revision uint64) quota.Step {
		at := start.Add(after)
		h.Request(at, 7)
		if after == 0 {
			h.Granted(at, 3, time.Hour)
		}
		h.Renewed(at, time.Hour)
		h.Listed(at, overwritten(revision))
		return h.Next(at.Add(quota.BatchDelay), true)
	}

	// Guards against teams that are never served, because nobody removes an entry that no daemon has written.
	It("is taken once the lease of its last holder must have ended", func() {
		h := quota.NewHolder("d", 1)
		Expect(listed(h, 0, 5).Kind).To(Equal(quota.Pause))
		Expect(listed(h, quota.LeaseTTL-50*time.Millisecond, 5).Kind).To(Equal(quota.Pause))
		Expect(listed(h, quota.LeaseTTL+50*time.Millisecond, 5)).To(Equal(quota.Step{Kind: quota.Take, Lease: 3, Slots: map[quota.Slot]uint64{7: 5}}))
		h.Taken(start.Add(quota.LeaseTTL+60*time.Millisecond), map[quota.Slot]uint64{7: 5}, 9)
		held, ok := h.Holds(start.Add(quota.LeaseTTL+70*time.Millisecond), 7)
		Expect(ok).To(BeTrue())
		Expect(held.PreviousBurstUnused).To(BeFalse())
	})

	// Guards against a second holder: the key may be that of a daemon which has taken the slot since.
	It("is not taken while its key goes on changing", func() {
		h := quota.NewHolder("d", 1)
		for n := range uint64(20) {
			Expect(listed(h, time.Duration(n)*time.Second, 5+n).Kind).To(Equal(quota.Pause))
		}
	})
})
