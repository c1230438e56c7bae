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
		Expect(t.Saw(start, 0)).To(BeFalse())
		Expect(t.Settled(start)).To(BeTrue())
		Expect(t.ProvesFrom()).To(BeZero())
	})

	// Guards against two daemons that act on one lock: its holder has not heard yet that the
	// store has lost it.
	It("settles when all that was given out before has run out", func() {
		var t era.Tracker
		t.Saw(start, 0)
		Expect(t.Saw(after(time.Second), 1)).To(BeTrue())
		Expect(t.Settled(after(time.Second + era.Settle - 1))).To(BeFalse())
		Expect(t.Settled(after(time.Second + era.Settle))).To(BeTrue())
		Expect(t.ProvesFrom()).To(Equal(after(time.Second + era.RewrittenWithin)))
	})

	It("begins anew with each one that follows", func() {
		var t era.Tracker
		t.Saw(start, 0)
		t.Saw(after(time.Second), 1)
		Expect(t.Saw(after(4*time.Second), 2)).To(BeTrue())
		Expect(t.Settled(after(7 * time.Second))).To(BeFalse())
	})

	It("is not ended by an answer of an earlier one that comes late", func() {
		var t era.Tracker
		t.Saw(start, 3)
		t.Saw(after(time.Second), 4)
		Expect(t.Saw(after(2*time.Second), 3)).To(BeFalse())
		Expect(t.Current()).To(BeEquivalentTo(4))
		Expect(t.Settled(after(time.Second + era.Settle))).To(BeTrue())
	})

	// Guards against a daemon that starts right after the store has come back, and one that
	// waits after every start.
	It("has a daemon that starts wait, unless another one vouches for it", func() {
		var t era.Tracker
		Expect(t.Saw(start, 4)).To(BeFalse(), "nothing is held here")
		Expect(t.Settled(start)).To(BeFalse())
		t.Vouch(3)
		Expect(t.Settled(start)).To(BeFalse(), "the store names an earlier one")
		t.Vouch(4)
		Expect(t.Settled(start)).To(BeTrue())
		Expect(t.Saw(after(time.Second), 5)).To(BeTrue())
		Expect(t.Settled(after(time.Second))).To(BeFalse())
	})
})
