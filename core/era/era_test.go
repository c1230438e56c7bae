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
	It("needs no wait where it is the first one", func() {
		var t era.Tracker
		Expect(t.Settled(start)).To(BeFalse(), "the store has not answered")
		Expect(t.Observe(start, 0)).To(BeFalse())
		Expect(t.Settled(start)).To(BeTrue())
		Expect(t.ProofValidFrom()).To(BeZero())
	})

	// Guards against two daemons that act on one lock: its holder has not heard yet that the
	// store has lost it.
	It("settles when all that was given out before has run out", func() {
		var t era.Tracker
		t.Observe(start, 0)
		Expect(t.Observe(after(time.Second), 1)).To(BeTrue())
		Expect(t.Settled(after(time.Second + era.SettleDuration - 1))).To(BeFalse())
		Expect(t.Settled(after(time.Second + era.SettleDuration))).To(BeTrue())
		Expect(t.ProofValidFrom()).To(Equal(after(time.Second + era.RewriteDuration)))
	})

	It("begins anew with each one that follows", func() {
		var t era.Tracker
		t.Observe(start, 0)
		t.Observe(after(time.Second), 1)
		Expect(t.Observe(after(4*time.Second), 2)).To(BeTrue())
		Expect(t.Settled(after(7 * time.Second))).To(BeFalse())
	})

	It("is not ended by an answer of an earlier one that comes late", func() {
		var t era.Tracker
		t.Observe(start, 3)
		t.Observe(after(time.Second), 4)
		Expect(t.Observe(after(2*time.Second), 3)).To(BeFalse())
		Expect(t.Current()).To(BeEquivalentTo(4))
		Expect(t.Settled(after(time.Second + era.SettleDuration))).To(BeTrue())
	})

	// Guards against a daemon that starts right after the store has come back, and one that
	// waits after every start.
	It("has a daemon that starts wait, unless another one vouches for it", func() {
		var t era.Tracker
		Expect(t.Observe(start, 4)).To(BeFalse(), "nothing is held here")
		Expect(t.Settled(start)).To(BeFalse())
		t.Attest(3)
		Expect(t.Settled(start)).To(BeFalse(), "the store names an earlier one")
		t.Attest(4)
		Expect(t.Settled(start)).To(BeTrue())
		Expect(t.Observe(after(time.Second), 5)).To(BeTrue())
		Expect(t.Settled(after(time.Second))).To(BeFalse())
	})
})
