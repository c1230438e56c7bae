package takeover

import (
	"slices"

	"limpetspan/core"
)

// Machine moves the buckets of one take-over under one claim. It is used by
// one goroutine.
type Machine struct {
	tuning   Tuning
	claim    string
	canClear bool
	now      core.Time
	pacer    *Pacer
	buckets  map[int]*bucket
	// queue holds the buckets that have not begun, in order; ready those that
	// wait for a batch.
	queue, ready []int
	batch        *batch
	// batchCount counts the batches; it makes their names unique. aborted counts
	// those given up since the last flip.
	batchCount, consecutiveAborts int
	started                       bool
	// stopping: nothing new begins. lost: nothing at all may be done.
	stopping, claimLost bool
	finished            bool
	// pendingEffects counts effects that are not answered yet.
	pendingEffects int
	progress       Progress
	effects        []Effect
}

// New returns a machine that waits for Started.
func New(t Tuning) *Machine {
	t.setDefaults()
	return &Machine{tuning: t, pacer: NewPacer(t.Pacer), buckets: make(map[int]*bucket)}
}

// Reduce takes one event and returns what is to be done. The result is valid
// until the next call.
func (m *Machine) Reduce(e Event) []Effect {
	m.effects = m.effects[:0]
	if m.finished {
		return nil
	}
	switch e := e.(type) {
	case *Started:
		m.start(e)
	case *Stopped:
		m.stopping = true
	case *Latency:
		m.pacer.Observe(e.Now, e.Latency)
		return nil
	default:
		m.pendingEffects--
		m.handleResult(e)
	}
	m.advance()
	return m.effects
}

func (m *Machine) start(e *Started) {
	m.started, m.now, m.claim, m.canClear = true, e.Now, e.Claim, e.Clear
	m.queue = slices.Clone(e.Buckets)
	for _, id := range e.Buckets {
		m.buckets[id] = &bucket{id: id}
	}
}

func (m *Machine) handleResult(e Event) {
	switch e := e.(type) {
	case *Prepared:
		m.now = e.Now
		m.handlePrepared(m.buckets[e.Bucket], e)
	case *Copied:
		m.now = e.Now
		m.handleCopied(m.buckets[e.Bucket], e)
	case *KeysCopied:
		m.now = e.Now
		m.handleKeysCopied(m.buckets[e.Bucket], e)
	case *CaughtUp:
		m.now = e.Now
		m.handleCaughtUp(m.buckets[e.Bucket], e)
	case *BatchDone:
		m.now = e.Now
		m.handleBatchDone(e)
	}
}

// advance begins what may begin now.
func (m *Machine) advance() {
	if !m.stopping && !m.claimLost {
		m.startBuckets()
		m.startBatch()
	}
	if m.started && m.pendingEffects == 0 && m.isIdle() {
		m.finished = true
		m.effects = append(m.effects, &Finished{Lost: m.claimLost})
	}
}

// isIdle reports whether no effect is going to follow from what is known.
func (m *Machine) isIdle() bool {
	if m.claimLost || m.stopping && m.batch == nil {
		return true
	}
	return m.batch == nil && len(m.queue) == 0 && len(m.ready) == 0
}

// startBuckets keeps up to Parallel buckets in the works. Ready ones count, so
// that not many of them wait for their flip and grow stale.
func (m *Machine) startBuckets() {
	for len(m.queue) > 0 && m.copyingCount() < m.tuning.Parallel && len(m.ready) < 2*m.tuning.Batch {
		b := m.buckets[m.queue[0]]
		m.queue = m.queue[1:]
		m.prepare(b)
	}
}

// copyingCount counts the buckets that are being copied.
func (m *Machine) copyingCount() int {
	n := 0
	for _, b := range m.buckets {
		if b.step > StepQueued && b.step < StepReady {
			n++
		}
	}
	return n
}

func (m *Machine) emit(e Effect) {
	m.effects = append(m.effects, e)
	m.pendingEffects++
}

// canContinue reports whether a bucket outside a batch goes on.
func (m *Machine) canContinue(f Failure) bool {
	if f == FailureClaimLost {
		m.claimLost = true
	}
	return !m.claimLost && !m.stopping
}
