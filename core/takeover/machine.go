package takeover

import (
	"slices"

	"limpetspan/core"
)

// Machine moves the buckets of one take-over under one claim. It is used by
// one goroutine.
type Machine struct {
	tuning  Tuning
	claim   string
	clear   bool
	now     core.Time
	pacer   *Pacer
	buckets map[int]*bucket
	// queue holds the buckets that have not begun, in order; ready those that
	// wait for a batch.
	queue, ready []int
	batch        *batch
	// fences counts the batches; it makes their names unique. aborted counts
	// those given up since the last flip.
	fences, aborted int
	started         bool
	// stopping: nothing new begins. lost: nothing at all may be done.
	stopping, lost bool
	finished       bool
	// running counts effects that are not answered yet.
	running  int
	progress Progress
	effects  []Effect
}

// New returns a machine that waits for Started.
func New(t Tuning) *Machine {
	t.complete()
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
		m.running--
		m.result(e)
	}
	m.advance()
	return m.effects
}

func (m *Machine) start(e *Started) {
	m.started, m.now, m.claim, m.clear = true, e.Now, e.Claim, e.Clear
	m.queue = slices.Clone(e.Buckets)
	for _, id := range e.Buckets {
		m.buckets[id] = &bucket{id: id}
	}
}

func (m *Machine) result(e Event) {
	switch e := e.(type) {
	case *Prepared:
		m.now = e.Now
		m.prepared(m.buckets[e.Bucket], e)
	case *Copied:
		m.now = e.Now
		m.copied(m.buckets[e.Bucket], e)
	case *KeysCopied:
		m.now = e.Now
		m.keysCopied(m.buckets[e.Bucket], e)
	case *CaughtUp:
		m.now = e.Now
		m.caughtUp(m.buckets[e.Bucket], e)
	case *BatchDone:
		m.now = e.Now
		m.batchDone(e)
	}
}

// advance begins what may begin now.
func (m *Machine) advance() {
	if !m.stopping && !m.lost {
		m.beginBuckets()
		m.beginBatch()
	}
	if m.started && m.running == 0 && m.idle() {
		m.finished = true
		m.effects = append(m.effects, &Finished{Lost: m.lost})
	}
}

// idle reports whether no effect is going to follow from what is known.
func (m *Machine) idle() bool {
	if m.lost || m.stopping && m.batch == nil {
		return true
	}
	return m.batch == nil && len(m.queue) == 0 && len(m.ready) == 0
}

// beginBuckets keeps up to Parallel buckets in the works. Ready ones count, so
// that not many of them wait for their flip and grow stale.
func (m *Machine) beginBuckets() {
	for len(m.queue) > 0 && m.copying() < m.tuning.Parallel && len(m.ready) < 2*m.tuning.Batch {
		b := m.buckets[m.queue[0]]
		m.queue = m.queue[1:]
		m.prepare(b)
	}
}

// copying counts the buckets that are being copied.
func (m *Machine) copying() int {
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
	m.running++
}

// mayContinue reports whether a bucket outside a batch goes on.
func (m *Machine) mayContinue(f Failure) bool {
	if f == FailureLost {
		m.lost = true
	}
	return !m.lost && !m.stopping
}
