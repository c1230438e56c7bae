package era_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/era"
)

func TestEra(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "era")
}

const start = core.Time(time.Hour)

func after(d time.Duration) core.Time { return start.Add(d) }

var _ = Describe("the era of the store", func() {
	It("needs no wait if it is era 0", func() {
		var t era.Tracker
		Expect(t.Settled(start)).To(BeFalse(), "the store has not responded yet")
		Expect(t.Observe(start, 0)).To(BeFalse())
		Expect(t.Settled(start)).To(BeTrue())
		Expect(t.ProofValidFrom()).To(BeZero())
	})

	// Guards against two daemons that act on one lock: its holder may not have observed yet that
	// the store has lost it.
	It("settles when all leases of earlier eras have expired", func() {
		var t era.Tracker
		t.Observe(start, 0)
		Expect(t.Observe(after(time.Second), 1)).To(BeTrue())
		Expect(t.Settled(after(time.Second + era.SettleDuration - 1))).To(BeFalse())
		Expect(t.Settled(after(time.Second + era.SettleDuration))).To(BeTrue())
		Expect(t.ProofValidFrom()).To(Equal(after(time.Second + era.RewriteDuration)))
	})

	It("has to settle again when another era follows", func() {
		var t era.Tracker
		t.Observe(start, 0)
		t.Observe(after(time.Second), 1)
		Expect(t.Observe(after(4*time.Second), 2)).To(BeTrue())
		Expect(t.Settled(after(7 * time.Second))).To(BeFalse())
	})

	It("is not ended by a late response of an earlier era", func() {
		var t era.Tracker
		t.Observe(start, 3)
		t.Observe(after(time.Second), 4)
		Expect(t.Observe(after(2*time.Second), 3)).To(BeFalse())
		Expect(t.Current()).To(BeEquivalentTo(4))
		Expect(t.Settled(after(time.Second + era.SettleDuration))).To(BeTrue())
	})

	// Guards against a daemon that starts right after a restore and does not wait, and against one
	// that waits after every start.
	It("makes a daemon that starts wait, unless another daemon attests the era", func() {
		var t era.Tracker
		Expect(t.Observe(start, 4)).To(BeFalse(), "a daemon that starts holds nothing")
		Expect(t.Settled(start)).To(BeFalse())
		t.Attest(3)
		Expect(t.Settled(start)).To(BeFalse(), "an earlier era is attested")
		t.Attest(4)
		Expect(t.Settled(start)).To(BeTrue())
		Expect(t.Observe(after(time.Second), 5)).To(BeTrue())
		Expect(t.Settled(after(time.Second))).To(BeFalse())
	})
})
