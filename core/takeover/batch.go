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
	// began is when the hold was asked for.
	began core.Time
	// bad: a step failed by the fault of records or statements.
	bad bool
}

// beginBatch flips the ready buckets, one batch at a time: a hold is short
// only while it does not queue behind another.
func (m *Machine) beginBatch() {
	if m.batch != nil || len(m.ready) == 0 || len(m.ready) < m.tuning.Batch && m.moreComing() {
		return
	}
	n := min(len(m.ready), m.batchSize())
	m.fences++
	m.batch = &batch{fence: m.claim + "." + strconv.Itoa(m.fences), buckets: slices.Clone(m.ready[:n]), began: m.now}
	m.ready = slices.Delete(m.ready, 0, n)
	m.runBatch(StepHold)
}

// batchSize halves with each batch given up in a row, as a smaller one is
// sooner through.
func (m *Machine) batchSize() int { return max(1, m.tuning.Batch>>min(m.aborted, 8)) }

// moreComing reports whether waiting can fill the batch.
func (m *Machine) moreComing() bool { return len(m.queue) > 0 || m.copying() > 0 }

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

func (m *Machine) batchDone(e *BatchDone) {
	if m.batch == nil || e.Fence != m.batch.fence || e.Step != m.batch.step {
		return
	}
	if e.Err == FailureLost {
		// Whoever has the take-over now settles what this batch has left.
		m.lost = true
		return
	}
	switch e.Step {
	case StepFlip:
		m.flipDone(e)
	case StepSettle:
		m.settleDone(e)
	default:
		m.stepDone(e)
	}
}

// stepDone goes on to the next step, or gives the batch up: nothing can have
// flipped before the flip was asked for.
func (m *Machine) stepDone(e *BatchDone) {
	b := m.batch
	if e.Err != FailureNone || m.stopping {
		b.bad = e.Err == FailureBad
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

// flipDone repeats a flip whose outcome is unknown until it is known: the
// buckets stay sealed meanwhile, as either side may be their owner.
func (m *Machine) flipDone(e *BatchDone) {
	b := m.batch
	switch e.Err {
	case FailureNone:
		b.flipped, b.revision, b.failures = b.buckets, e.Revision, 0
		m.progress.PauseMax = max(m.progress.PauseMax, e.Now.Sub(b.began))
		m.runBatch(StepSettle)
	case FailureRefused, FailureBad:
		b.failures = 0
		m.runBatch(StepSettle)
	default:
		b.failures++
		m.runBatch(StepFlip)
	}
}

func (m *Machine) settleDone(e *BatchDone) {
	b := m.batch
	if e.Err != FailureNone {
		b.failures++
		m.runBatch(StepSettle)
		return
	}
	m.batch = nil
	for _, id := range b.mismatched {
		m.again(m.buckets[id], true)
	}
	if len(b.flipped) == 0 {
		m.giveUp(b)
		return
	}
	m.aborted = 0
	m.progress.Batches++
	for _, id := range b.flipped {
		m.buckets[id].step = StepDone
		m.progress.Done++
	}
}

// giveUp sends the buckets of a batch back that did not flip.
func (m *Machine) giveUp(b *batch) {
	m.aborted++
	m.progress.Aborted++
	for _, id := range b.buckets {
		if b.bad {
			m.block(m.buckets[id], reasonBad)
			continue
		}
		m.again(m.buckets[id], false)
	}
}
