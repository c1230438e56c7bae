package takeover_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"limpetspan/core"
	"limpetspan/core/takeover"
)

var smallTuning = takeover.Tuning{PageSize: 2, Parallel: 1, Batch: 2}

// successEvent returns the event that reports success of an effect.
func successEvent(now core.Time, e takeover.Effect) takeover.Event {
	switch e := e.(type) {
	case *takeover.Prepare:
		return &takeover.Prepared{Now: now, Bucket: e.Bucket}
	case *takeover.CopyPage:
		return &takeover.Copied{Now: now, Bucket: e.Bucket, Rows: 1, LastKey: "k", Marker: "5"}
	case *takeover.CopyKeys:
		return &takeover.KeysCopied{Now: now, Bucket: e.Bucket, Latest: 7}
	case *takeover.CatchUpPage:
		return &takeover.CaughtUp{Now: now, Bucket: e.Bucket}
	case *takeover.RunBatch:
		return &takeover.BatchDone{Now: now, Fence: e.Fence, Step: e.Step, Revision: 9}
	}
	return nil
}

// runUntil answers effects with success until one has the step, and returns it.
func runUntil(m *takeover.Machine, effects []takeover.Effect, step takeover.Step) *takeover.RunBatch {
	GinkgoHelper()
	for n := 0; n < 200; n++ {
		var next []takeover.Effect
		for _, e := range effects {
			if b, ok := e.(*takeover.RunBatch); ok && b.Step == step {
				return b
			}
			if ev := successEvent(0, e); ev != nil {
				next = append(next, append([]takeover.Effect(nil), m.Reduce(ev)...)...)
			}
		}
		effects = next
	}
	Fail("step " + step.String() + " was never reached")
	return nil
}

func startMachine(m *takeover.Machine, buckets ...int) []takeover.Effect {
	return append([]takeover.Effect(nil), m.Reduce(&takeover.Started{Claim: "c", Buckets: buckets, Clear: true})...)
}

func failedBatch(b *takeover.RunBatch, f takeover.Failure) *takeover.BatchDone {
	return &takeover.BatchDone{Fence: b.Fence, Step: b.Step, Err: f}
}

var _ = Describe("Machine", func() {
	var m *takeover.Machine
	BeforeEach(func() { m = takeover.New(smallTuning) })

	It("moves a bucket through all steps", func() {
		var steps []takeover.Step
		effects := startMachine(m, 3)
		for len(effects) > 0 {
			if b, ok := effects[0].(*takeover.RunBatch); ok {
				steps = append(steps, b.Step)
			}
			if _, ok := effects[0].(*takeover.Finished); ok {
				break
			}
			effects = m.Reduce(successEvent(0, effects[0]))
		}
		Expect(steps).To(Equal([]takeover.Step{takeover.StepHold, takeover.StepDrain, takeover.StepClose,
			takeover.StepVerify, takeover.StepSeal, takeover.StepFlip, takeover.StepSettle}))
		Expect(m.Progress().Done).To(Equal(1))
	})

	// An old value remains in the destination: a record was changed after its page
	// was copied, by a transaction that took its marker before a catch-up round
	// started and committed after the round had passed that marker.
	It("repeats the range of the previous round when it catches up and drains", func() {
		m.Reduce(&takeover.Started{Claim: "c", Buckets: []int{3}})
		m.Reduce(&takeover.Prepared{Bucket: 3})
		Expect(m.Reduce(&takeover.Copied{Bucket: 3, Rows: 2, LastKey: "b", Marker: "5"})[0]).To(HaveField("After", "b"))
		m.Reduce(&takeover.Copied{Bucket: 3, Rows: 1, LastKey: "c", Marker: "900"})
		Expect(m.Reduce(&takeover.KeysCopied{Bucket: 3})[0]).To(HaveField("Marker", "5"), "the first page's marker, not the last one's")
		Expect(m.Reduce(&takeover.CaughtUp{Bucket: 3, Rows: 1, Marker: "1000"})[0]).To(HaveField("Marker", "5"), "the range of the previous round")
		hold := m.Reduce(&takeover.CaughtUp{Bucket: 3, Rows: 1, Marker: "1000"})[0].(*takeover.RunBatch)
		drain := m.Reduce(successEvent(0, hold))[0].(*takeover.RunBatch)
		Expect(drain.Resume).To(Equal([]takeover.Resume{{Bucket: 3, Marker: "1000"}}))
	})

	It("copies a bucket again if it fails verification, and blocks it after the last attempt", func() {
		effects := startMachine(m, 3)
		for attempt := 1; attempt <= 3; attempt++ {
			verify := runUntil(m, effects, takeover.StepVerify)
			settle := m.Reduce(&takeover.BatchDone{Fence: verify.Fence, Step: verify.Step, Mismatched: []int{3}})
			effects = append([]takeover.Effect(nil), m.Reduce(successEvent(0, settle[0]))...)
			if attempt < 3 {
				Expect(effects[0]).To(Equal(&takeover.Prepare{Bucket: 3, Clear: true}))
			}
		}
		Expect(effects[0]).To(BeAssignableToTypeOf(&takeover.Blocked{}))
		Expect(m.Progress().Blocked).To(Equal([]int{3}))
	})

	// Both sides serve the same buckets: the reply to the flip was lost, the worker
	// assumed that it had failed and reopened the source, and then the flip turned
	// out to have taken effect.
	It("repeats a flip whose reply was lost, and settles only when its outcome is known", func() {
		flip := runUntil(m, startMachine(m, 3), takeover.StepFlip)
		for range 5 {
			effects := m.Reduce(failedBatch(flip, takeover.FailureUnknown))
			Expect(effects).To(HaveLen(1))
			Expect(effects[0]).To(HaveField("Step", takeover.StepFlip))
		}
		settle := m.Reduce(successEvent(0, flip))[0]
		Expect(settle).To(HaveField("Flipped", []int{3}))
		Expect(settle).To(HaveField("Revision", uint64(9)))
	})

	It("reopens the source when a step before the flip fails", func() {
		seal := runUntil(m, startMachine(m, 3), takeover.StepSeal)
		settle := m.Reduce(failedBatch(seal, takeover.FailureUnknown))[0].(*takeover.RunBatch)
		Expect(settle.Step).To(Equal(takeover.StepSettle))
		Expect(settle.Flipped).To(BeEmpty())
		retry := m.Reduce(successEvent(0, settle))[0]
		Expect(retry).To(BeAssignableToTypeOf(&takeover.CatchUpPage{}))
		Expect(m.Progress().Aborted).To(Equal(1))
	})

	It("does nothing more once another worker has claimed the take-over", func() {
		verify := runUntil(m, startMachine(m, 3, 4), takeover.StepVerify)
		Expect(m.Reduce(failedBatch(verify, takeover.FailureClaimLost))).To(Equal([]takeover.Effect{&takeover.Finished{Lost: true}}))
	})

	It("settles a held batch before it stops", func() {
		drain := runUntil(m, startMachine(m, 3, 4), takeover.StepDrain)
		m.Reduce(&takeover.Stopped{})
		settle := m.Reduce(successEvent(0, drain))
		Expect(settle).To(HaveLen(1))
		Expect(settle[0]).To(HaveField("Step", takeover.StepSettle))
		Expect(m.Reduce(successEvent(0, settle[0]))).To(Equal([]takeover.Effect{&takeover.Finished{}}))
	})
})

// TestMachineUnderFailures checks under random failures that a flip is requested
// only after the same batch was held, drained, closed, verified and sealed; that
// each hold is settled; and that every bucket ends as done or blocked.
func TestMachineUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := takeover.New(takeover.Tuning{PageSize: 2, Parallel: 2, Batch: 2, MaxAttempts: 2})
		pending := append([]takeover.Effect(nil), m.Reduce(&takeover.Started{Claim: "c", Buckets: []int{0, 1, 2, 3, 4}})...)
		next, open, done := make(map[string]takeover.Step), make(map[string]bool), 0
		failures := rapid.IntRange(0, 60).Draw(t, "failures")
		for len(pending) > 0 {
			i := rapid.IntRange(0, len(pending)-1).Draw(t, "which")
			e := pending[i]
			pending = append(pending[:i], pending[i+1:]...)
			if _, ok := e.(*takeover.Finished); ok {
				break
			}
			ev := successEvent(0, e)
			if ev == nil {
				continue
			}
			f := takeover.FailureNone
			if failures > 0 {
				failures--
				f = rapid.SampledFrom([]takeover.Failure{takeover.FailureNone, takeover.FailureRetryable,
					takeover.FailureRefused, takeover.FailureUnknown}).Draw(t, "failure")
			}
			switch ev := ev.(type) {
			case *takeover.Prepared:
				ev.Err = f
			case *takeover.Copied:
				ev.Err, ev.Rows = f, rapid.IntRange(0, 2).Draw(t, "rows")
			case *takeover.CaughtUp:
				ev.Err = f
			case *takeover.BatchDone:
				ev.Err = f
				done += checkBatch(t, e.(*takeover.RunBatch), ev, next, open)
			}
			pending = append(pending, m.Reduce(ev)...)
		}
		p := m.Progress()
		if len(open) > 0 || p.Done != done || p.Done+len(p.Blocked) != 5 {
			t.Fatalf("unsettled holds %v, flips %d, progress %+v", open, done, p)
		}
	})
}

// checkBatch checks the order of a batch's steps and counts the buckets flipped.
func checkBatch(t *rapid.T, e *takeover.RunBatch, ev *takeover.BatchDone, next map[string]takeover.Step, open map[string]bool) int {
	if e.Step == takeover.StepSettle {
		if ev.Err == takeover.FailureNone {
			delete(open, e.Fence)
		}
		return 0
	}
	open[e.Fence] = true
	if want, ok := next[e.Fence]; ok && want != e.Step || !ok && e.Step != takeover.StepHold {
		t.Fatalf("step %v of %s, expected %v", e.Step, e.Fence, want)
	}
	if e.Step == takeover.StepVerify && rapid.Bool().Draw(t, "mismatch") {
		ev.Mismatched = e.Buckets[:1]
	}
	if ev.Err == takeover.FailureNone {
		next[e.Fence] = e.Step + 1
		if e.Step == takeover.StepFlip {
			return len(e.Buckets)
		}
	}
	return 0
}

var _ = Describe("Pacer", func() {
	// A copy at full speed would queue ahead of callers' statements.
	It("limits the rate by callers' latency", func() {
		p := takeover.NewPacer(takeover.PacerTuning{MinRate: 100, MaxRate: 10_000, Increase: 500})
		now, slowed := core.Time(0), 0
		for range 20 {
			now = now.Add(250 * time.Millisecond)
			p.Observe(now, 2*time.Millisecond)
		}
		Expect(p.Rate()).To(Equal(100.0), "nothing is copied yet")
		p.Reserve(now, 0)
		for range 200 {
			now = now.Add(250 * time.Millisecond)
			latency := 2 * time.Millisecond
			if p.Rate() > 3000 {
				latency = 4 * time.Millisecond
				slowed++
			}
			p.Observe(now, latency)
			Expect(p.Rate()).To(BeNumerically("<=", 3500))
		}
		Expect(p.Rate()).To(BeNumerically(">", 1500))
		Expect(slowed).To(BeNumerically("<", 60))
	})

	It("raises the rate when callers are slow for another reason, or when there are none", func() {
		p := takeover.NewPacer(takeover.PacerTuning{MinRate: 100, MaxRate: 10_000, Increase: 1000})
		p.Observe(0, 2*time.Millisecond)
		p.Reserve(0, 0)
		now := core.Time(0)
		for range 200 {
			now = now.Add(250 * time.Millisecond)
			p.Observe(now, 9*time.Millisecond)
		}
		Expect(p.Rate()).To(Equal(10_000.0))
		p.Observe(now.Add(time.Second), 0)
		Expect(p.Rate()).To(Equal(10_000.0))
	})

	It("spaces pages by the rate", func() {
		p := takeover.NewPacer(takeover.PacerTuning{MinRate: 100, MaxRate: 100})
		Expect(p.Reserve(0, 50)).To(BeZero())
		Expect(p.Reserve(0, 50)).To(Equal(500 * time.Millisecond))
		p.Refund(20)
		Expect(p.Reserve(core.Time(0).Add(500*time.Millisecond), 50)).To(Equal(300 * time.Millisecond))
		Expect(p.Reserve(core.Time(0).Add(5*time.Second), 50)).To(BeZero())
	})
})
