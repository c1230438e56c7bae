package takeover

import (
	"slices"
	"strconv"

	"limpetspan/core"
)

// batch is a set of buckets that are flipped together.
type batch struct {
	fence   string
	step    Step
	buckets []int
	// mismatched are the buckets removed by the verification, flipped those that
	// have flipped.
	mismatched, flipped []int
	revision            uint64
	failures            int
	// startedAt is when the hold was requested.
	startedAt core.Time
	// isInvalid is set if the records or the statements made a step fail.
	isInvalid bool
}

// startBatch starts to flip the ready buckets, one batch at a time: a hold is
// short only if it does not queue behind another one.
func (m *Machine) startBatch() {
	if m.batch != nil || len(m.ready) == 0 || len(m.ready) < m.tuning.Batch && m.canGrowBatch() {
		return
	}
	n := min(len(m.ready), m.batchSize())
	m.batchCount++
	m.batch = &batch{fence: m.claim + "." + strconv.Itoa(m.batchCount), buckets: slices.Clone(m.ready[:n]), startedAt: m.now}
	m.ready = slices.Delete(m.ready, 0, n)
	m.runBatch(StepHold)
}

// batchSize returns the maximum size of the next batch. It halves with each
// consecutive aborted batch, because a smaller batch completes sooner.
func (m *Machine) batchSize() int { return max(1, m.tuning.Batch>>min(m.consecutiveAborts, 8)) }

// canGrowBatch reports whether more buckets are going to be ready.
func (m *Machine) canGrowBatch() bool { return len(m.queue) > 0 || m.copyingCount() > 0 }

func (m *Machine) runBatch(s Step) {
	b := m.batch
	b.step = s
	for _, id := range b.buckets {
		m.buckets[id].step = s
	}
	e := &RunBatch{Fence: b.fence, Step: s, Buckets: slices.Clone(b.buckets)}
	if b.failures > 0 {
		e.Wait = m.tuning.backoff(b.failures)
	}
	switch s {
	case StepHold:
		e.Limit = m.tuning.HoldLimit
	case StepDrain:
		for _, id := range b.buckets {
			from := m.buckets[id]
			e.Resume = append(e.Resume, Resume{Bucket: id, Marker: from.previousStart, KeysAfter: from.latestKey})
		}
	case StepSettle:
		e.Buckets = append(e.Buckets, b.mismatched...)
		e.Flipped, e.Revision = b.flipped, b.revision
	}
	m.emit(e)
}

func (m *Machine) handleBatchDone(e *BatchDone) {
	if m.batch == nil || e.Fence != m.batch.fence || e.Step != m.batch.step {
		return
	}
	if e.Err == FailureClaimLost {
		// The worker that holds the claim now settles this batch.
		m.claimLost = true
		return
	}
	switch e.Step {
	case StepFlip:
		m.handleFlipDone(e)
	case StepSettle:
		m.handleSettleDone(e)
	default:
		m.handleStepDone(e)
	}
}

// handleStepDone runs the next step or aborts the batch, which is safe because
// nothing can have flipped before the flip was requested.
func (m *Machine) handleStepDone(e *BatchDone) {
	b := m.batch
	if e.Err != FailureNone || m.stopping {
		b.isInvalid = e.Err == FailureInvalid
		m.runBatch(StepSettle)
		return
	}
	if e.Step == StepVerify {
		b.mismatched = e.Mismatched
		b.buckets = slices.DeleteFunc(b.buckets, func(id int) bool { return slices.Contains(e.Mismatched, id) })
		if len(b.buckets) == 0 {
			m.runBatch(StepSettle)
			return
		}
	}
	m.runBatch(b.step + 1)
}

// handleFlipDone repeats a flip until its outcome is known. The buckets stay
// sealed meanwhile, because either side may own them.
func (m *Machine) handleFlipDone(e *BatchDone) {
	b := m.batch
	switch e.Err {
	case FailureNone:
		b.flipped, b.revision, b.failures = b.buckets, e.Revision, 0
		m.progress.PauseMax = max(m.progress.PauseMax, e.Now.Sub(b.startedAt))
		m.runBatch(StepSettle)
	case FailureRefused, FailureInvalid:
		b.failures = 0
		m.runBatch(StepSettle)
	default:
		b.failures++
		m.runBatch(StepFlip)
	}
}

func (m *Machine) handleSettleDone(e *BatchDone) {
	b := m.batch
	if e.Err != FailureNone {
		b.failures++
		m.runBatch(StepSettle)
		return
	}
	m.batch = nil
	for _, id := range b.mismatched {
		m.retryBucket(m.buckets[id], true)
	}
	if len(b.flipped) == 0 {
		m.abortBatch(b)
		return
	}
	m.consecutiveAborts = 0
	m.progress.Batches++
	for _, id := range b.flipped {
		m.buckets[id].step = StepDone
		m.progress.Done++
	}
}

// abortBatch retries or blocks the buckets of a batch that did not flip.
func (m *Machine) abortBatch(b *batch) {
	m.consecutiveAborts++
	m.progress.Aborted++
	for _, id := range b.buckets {
		if b.isInvalid {
			m.block(m.buckets[id], reasonInvalid)
			continue
		}
		m.retryBucket(m.buckets[id], false)
	}
}
