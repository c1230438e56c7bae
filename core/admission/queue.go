package admission

import (
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/policy"
)

// Figures of the queue.
const (
	// ShedDelay is how long the queue stands before it sheds: some ten statements, which
	// is what a burst leaves behind that is over.
	ShedDelay = 200 * time.Millisecond
	// maxWaitShare of its time to the aim is what a statement waits at most while the
	// queue sheds. The newest go first then, so one that has waited longer is hardly ever
	// served; told at once, its caller has four fifths of the time left to come back. With
	// it and ShedDelay, value of the operations 0.880 to 0.896 where both replicas apply
	// late and 0.945 to 0.950 after a loss of power, mean of 20 seeds each of the model
	// ("limpetspan experiment lagging-replicas").
	maxWaitShare = 0.2
	// ServingWindow is how lately a waiter must have been served for the queue to count
	// as overloaded rather than without a member.
	ServingWindow = 100 * time.Millisecond
	// MinWait is how long a statement waits in any case, so that a caller which
	// comes back at once is not refused three times before one statement has ended.
	MinWait = 20 * time.Millisecond
	// answerMargin is kept of an answer's aim for the way back to the caller: two
	// crossings of up to 3 ms, and the caller's own way here.
	answerMargin = 10 * time.Millisecond
	// halfWaitShare of its time to the aim that a waiter has lost shows that the
	// queue stands rather than absorbs a burst, for standingDuration.
	halfWaitShare    = 0.5
	standingDuration = time.Second
)

// Waiter is a statement that waits for a place on a member.
type Waiter[T any] struct {
	// Value is the owner's own.
	Value T
	// Aim is until when its answer has its full value.
	Arrived, Aim core.Time
	Database     string
	// Work is how long a statement of its database takes.
	ServiceTime time.Duration
	// Primary is set if only the primary can serve it.
	Primary bool
	// Priority orders waiters; 0 goes first.
	Priority int
}

// inTime says whether an answer can still come before the aim.
func (w *Waiter[T]) canBeInTime(at core.Time) bool { return at.Add(w.ServiceTime+answerMargin) < w.Aim }

// overdue says whether the waiter has waited for as long as one may while the queue sheds.
func (w *Waiter[T]) isOverdue(at core.Time) bool {
	return at.Sub(w.Arrived) >= max(MinWait, time.Duration(maxWaitShare*float64(w.Aim.Sub(w.Arrived))))
}

// lostHalf says whether the waiter has waited for half of its time to the aim.
func (w *Waiter[T]) waitedHalf(at core.Time) bool {
	return float64(at.Sub(w.Arrived)) > halfWaitShare*float64(w.Aim.Sub(w.Arrived))
}

// Queue holds the waiters in the order in which they get a place: by priority, then
// those whose database takes least work, so that the members serve most of them, then
// by arrival. It is not safe for concurrent use.
type Queue[T any] struct {
	policy  policy.Set
	waiters []*Waiter[T]
	// standingAt is when a waiter was last seen that had lost half of its time, and
	// standingSince since when such ones have come without a pause. While the queue
	// stands, the newest of a database goes first: in order of arrival all would be
	// served too late.
	standingAt, standingSince core.Time
	// servedAt is when a waiter last got a place.
	servedAt core.Time
}

// NewQueue returns an empty queue with these mechanisms.
func NewQueue[T any](set policy.Set) *Queue[T] { return &Queue[T]{policy: set} }

// Len is the number of waiters.
func (q *Queue[T]) Len() int { return len(q.waiters) }

// Add has the statement wait.
func (q *Queue[T]) Add(at core.Time, w *Waiter[T]) {
	standing := q.isStanding(at)
	i := len(q.waiters)
	for i > 0 && q.goesBefore(w, q.waiters[i-1], standing) {
		i--
	}
	q.waiters = slices.Insert(q.waiters, i, w)
}

// before says whether the waiter w, which is newer, goes before o.
func (q *Queue[T]) goesBefore(w, o *Waiter[T], standing bool) bool {
	switch {
	case w.Priority != o.Priority:
		return w.Priority < o.Priority
	case w.Database != o.Database:
		return w.ServiceTime < o.ServiceTime && q.policy.Has(policy.OrderByWork)
	}
	return standing && q.policy.Has(policy.NewestFirst)
}

// Remove ends the wait of a statement that nobody has served.
func (q *Queue[T]) Remove(w *Waiter[T]) {
	q.waiters = slices.DeleteFunc(q.waiters, func(o *Waiter[T]) bool { return o == w })
}

// Serve offers what is free: first to those whose answer can still be in time, so
// that a queue from an outage does not make all that come later late as well. place
// gives a waiter its place, if there is one for it. The waiters that Serve returns are
// to be refused.
func (q *Queue[T]) Serve(at core.Time, place func(w *Waiter[T]) bool) (refused []*Waiter[T]) {
	if len(q.waiters) == 0 {
		return nil
	}
	if slices.ContainsFunc(q.waiters, func(w *Waiter[T]) bool { return w.waitedHalf(at) }) {
		q.noteStanding(at)
	}
	q.serveIf(at, place, func(w *Waiter[T]) bool { return w.canBeInTime(at) || !q.policy.Has(policy.InTimeFirst) })
	q.serveIf(at, place, func(*Waiter[T]) bool { return true })
	overloaded := q.isStanding(at) && at.Sub(q.standingSince) >= ShedDelay && at.Sub(q.servedAt) < ServingWindow
	if !overloaded || !q.policy.Has(policy.Shedding) {
		return nil
	}
	return q.shed(at)
}

// standing says whether waiters have lately lost half of their time here.
func (q *Queue[T]) isStanding(at core.Time) bool {
	return q.standingAt != 0 && at.Sub(q.standingAt) < standingDuration
}

// stands notes that a waiter has lost half of its time.
func (q *Queue[T]) noteStanding(at core.Time) {
	if !q.isStanding(at) {
		q.standingSince = at
	}
	q.standingAt = at
}

// shed takes out those that can no longer be in time or have waited long, while others
// are served: what they wait for is given to those that come after them. Where nothing is
// served, as without a primary, they wait on.
func (q *Queue[T]) shed(at core.Time) (refused []*Waiter[T]) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter[T]) bool {
		if at.Sub(w.Arrived) < MinWait || w.canBeInTime(at) && !w.isOverdue(at) {
			return false
		}
		refused = append(refused, w)
		return true
	})
	return refused
}

// serveIf offers what is free to those whose turn it is, in order.
func (q *Queue[T]) serveIf(at core.Time, place func(w *Waiter[T]) bool, eligible func(w *Waiter[T]) bool) {
	primaryFull := false
	for i := 0; i < len(q.waiters); {
		w := q.waiters[i]
		if !eligible(w) || w.Primary && primaryFull {
			i++
			continue
		}
		if !place(w) {
			primaryFull = primaryFull || w.Primary
			i++
			continue
		}
		q.servedAt = at
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}
