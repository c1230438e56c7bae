package takeover

import (
	"slices"

	"limpetspan/core"
)

// Machine moves the buckets of one take-over under one claim. It is not safe for
// concurrent use.
type Machine struct {
	tuning   Tuning
	claim    string
	canClear bool
	now      core.Time
	pacer    *Pacer
	buckets  map[int]*bucket
	// queue holds the buckets that have not started, in order; ready holds those
	// that wait for a batch.
	queue, ready []int
	batch        *batch
	// batchCount counts the batches and makes their names unique.
	// consecutiveAborts counts the batches aborted since the last flip.
	batchCount, consecutiveAborts int
	started                       bool
	// stopping is set when nothing new may start, claimLost when nothing at all
	// may be done.
	stopping, claimLost bool
	finished            bool
	// pendingEffects counts the effects that are not answered yet.
	pendingEffects int
	progress       Progress
	effects        []Effect
}

// New returns a machine that waits for Started.
func New(t Tuning) *Machine {
	t.setDefaults()
	return &Machine{tuning: t, pacer: NewPacer(t.Pacer), buckets: make(map[int]*bucket)}
}

// Reduce handles one event and returns the resulting effects. They are valid until
// the next call.
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

// advance starts the work that may start now.
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

// isIdle reports whether no further effect can follow.
func (m *Machine) isIdle() bool {
	if m.claimLost || m.stopping && m.batch == nil {
		return true
	}
	return m.batch == nil && len(m.queue) == 0 && len(m.ready) == 0
}

// startBuckets keeps up to Parallel buckets in progress. It limits the ready
// buckets, too, so that few of them become outdated while they wait for their flip.
func (m *Machine) startBuckets() {
	for len(m.queue) > 0 && m.copyingCount() < m.tuning.Parallel && len(m.ready) < 2*m.tuning.Batch {
		b := m.buckets[m.queue[0]]
		m.queue = m.queue[1:]
		m.prepare(b)
	}
}

// copyingCount returns the number of buckets that are being copied.
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

// canContinue records a lost claim and reports whether a bucket outside a batch may
// continue.
func (m *Machine) canContinue(f Failure) bool {
	if f == FailureClaimLost {
		m.claimLost = true
	}
	return !m.claimLost && !m.stopping
}
