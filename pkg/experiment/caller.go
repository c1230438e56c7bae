package experiment

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/admission"
	"limpetspan/core/direct"
)

// retryPause is how soon a caller comes back that was refused.
const retryPause = 5 * time.Millisecond

// operation is what a caller wants: one statement or a transaction.
type operation struct {
	w        *world
	kind     *Callers
	began    core.Time
	attempts int
	writes   bool
	// statements is how many are left; transaction says that they belong together.
	statements  int
	transaction bool
	d           *daemon
	// after is the retry time of the last refusal, due the return that was promised with it, and
	// refusedBy the daemon that refused.
	after     time.Duration
	due       core.Time
	refusedBy *daemon
}

// statement is one statement of an operation at a daemon.
type statement struct {
	op           *operation
	need         direct.Requirement
	needsPrimary bool
	writes       bool
	// begins is set for the first statement of a transaction.
	begins    bool
	deadline  core.Time
	holdUntil core.Time
	attempts  int
	wait      admission.Waiter[*statement]
	waiting   bool
	waits     int
}

// arrive draws the next operation of the kind.
func (w *world) arrive(kind *Callers) {
	pause := time.Duration(w.random.ExpFloat64() / (kind.Rate * w.loadOf(kind)) * float64(time.Second))
	at := max(w.now.Add(pause), epoch.Add(warmUp))
	if at > epoch.Add(warmUp+time.Duration(w.p.Seconds)*time.Second) {
		return
	}
	w.agenda.Add(at, func() {
		op := &operation{w: w, kind: kind, began: w.now, writes: w.chance(kind.Writes), transaction: w.chance(kind.Transactions)}
		w.result.asked(op)
		op.attempt()
		w.arrive(kind)
	})
}

// attempt begins the operation, again after a refusal, at any daemon.
func (op *operation) attempt() {
	w := op.w
	if op.refusedBy != nil && w.chance(op.kind.Stay) {
		op.d = op.refusedBy
	} else {
		op.d = w.pick()
		op.due = 0
	}
	op.statements = 1
	if op.transaction {
		op.statements = 3
	}
	op.attempts++
	if !op.d.up {
		// Nothing answers there until the power is back.
		w.after(max(retryPause, w.off.Sub(w.now)/2), func() { op.again(false) })
		return
	}
	// A host without power takes its callers' operations with it.
	life, d, attempt := op.d.life, op.d, op.attempts
	w.after(ended, func() { op.watch(d, life, attempt) })
	d.acquire(op.statement())
}

// pick draws the daemon for an attempt.
func (w *world) pick() *daemon {
	if w.p.FirstShare > 0 && w.chance(w.p.FirstShare) {
		return w.daemons[0]
	}
	return w.daemons[w.random.IntN(len(w.daemons))]
}

// watch notices that the daemon has lost its power while it held the operation.
func (op *operation) watch(d *daemon, life, attempt int) {
	if op.d == nil || op.attempts != attempt {
		return
	}
	if d.life != life {
		op.again(op.writes)
		return
	}
	op.w.after(ended, func() { op.watch(d, life, attempt) })
}

// statement is the operation's next statement.
func (op *operation) statement() *statement {
	w := op.w
	needsPrimary := op.writes || op.transaction && op.writes || op.kind.Consistency == direct.PrimaryReads
	s := &statement{op: op, needsPrimary: needsPrimary, writes: op.writes, begins: op.transaction,
		deadline: w.now.Add(op.kind.Timeout - answerMargin), holdUntil: w.now.Add(time.Duration(holdShare * float64(op.kind.Timeout)))}
	s.need = direct.Requirement{Primary: needsPrimary, MaxAge: op.kind.MaxAge, Arrived: w.now, Kind: op.kind.Name}
	s.wait = admission.Waiter[*statement]{Arrived: w.now, Aim: op.began.Add(op.kind.Aim), Database: op.kind.Name, Primary: needsPrimary, Priority: op.kind.Priority, Deadline: s.holdUntil}
	return s
}

// succeeded goes on with the transaction, or ends the operation.
func (s *statement) succeeded(d *daemon, place direct.Placement, m *member) {
	op := s.op
	op.statements--
	if op.statements <= 0 {
		d.release(m)
		op.done()
		return
	}
	d.g.ConnIdleInTransaction(m.id)
	d.dispatch()
	op.w.after(op.w.draw(op.kind.Pause), d.mine(func() {
		d.g.ConnResumedTransaction(m.id)
		next := *s
		next.begins, next.attempts = false, maxAttempts
		next.deadline = op.w.now.Add(op.kind.Timeout - answerMargin)
		d.exchange(&next, place, m)
	}))
}

// refused ends the attempt: nothing of it ran.
func (s *statement) refused() { s.op.again(false) }

// unknown ends the operation: it may have run.
func (s *statement) unknown() { s.op.again(true) }

// again tries the operation once more if it has not run and there is time.
func (op *operation) again(unknown bool) {
	w := op.w
	age := w.now.Sub(op.began)
	op.d = nil
	if unknown || op.attempts > op.kind.Retries || age >= op.kind.Budget {
		w.result.failed(op, unknown)
		return
	}
	pause := retryPause
	if op.after > 0 && w.chance(op.kind.Heed) {
		pause = op.after
	}
	op.after = 0
	w.after(pause, op.attempt)
}

func (op *operation) done() {
	op.d = nil
	op.w.result.served(op)
}
