package takeover

import (
	"slices"
	"strconv"

	"limpetspan/core"
)

// batch is a set of buckets on their way through the flip.
type batch struct {
	fence   string
	step    Step
	buckets []int
	// mismatched are the buckets taken out by the verification, flipped those
	// whose flip is done.
	mismatched, flipped []int
	revision            uint64
	failures            int
	// startedAt is when the hold was asked for.
	startedAt core.Time
	// isInvalid: a step failed by the fault of records or statements.
	isInvalid bool
}

// startBatch flips the ready buckets, one batch at a time: a hold is short
// only while it does not queue behind another.
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

// batchSize halves with each batch given up in a row, as a smaller one is
// sooner through.
func (m *Machine) batchSize() int { return max(1, m.tuning.Batch>>min(m.consecutiveAborts, 8)) }

// canGrowBatch reports whether waiting can fill the batch.
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
		// Whoever has the take-over now settles what this batch has left.
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

// handleStepDone goes on to the next step, or gives the batch up: nothing can have
// flipped before the flip was asked for.
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

// handleFlipDone repeats a flip whose outcome is unknown until it is known: the
// buckets stay sealed meanwhile, as either side may be their owner.
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

// abortBatch sends the buckets of a batch back that did not flip.
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
