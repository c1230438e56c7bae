package admission

import (
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/policy"
)

// Times and bounds of a Queue.
const (
	// ShedDelay is how long the queue stands before it sheds waiters: the time of some ten
	// statements, which is what is left in the queue when a burst is over.
	ShedDelay = 200 * time.Millisecond
	// maxWaitShare is the largest share of its time to the aim that a statement waits while the
	// queue sheds. The newest statements go first then, so one that has waited longer is hardly
	// ever served; if it is rejected, its caller has four fifths of the time left to retry. In
	// simulations, maxWaitShare and ShedDelay raise the earned share of the operations' value from
	// 0.880 to 0.896 if both replicas lag, and from 0.945 to 0.950 after a power failure (means of
	// 20 seeds each, "limpetspan experiment lagging-replicas"). An answer before the aim earns the
	// full value of its operation, a later one a part of it, and none earns nothing.
	maxWaitShare = 0.2
	// ServingWindow is how recently a waiter must have been served for the queue to count as
	// overloaded. Otherwise there is no member that could serve it.
	ServingWindow = 100 * time.Millisecond
	// MinWait is how long a statement waits before it can be rejected, so that a caller that
	// retries at once is not rejected three times before one statement has ended.
	MinWait = 20 * time.Millisecond
	// answerMargin is the part of the time to the aim that is left for network latency: two hops
	// of up to 3 ms each for the answer, and the way of the caller's request to this daemon.
	answerMargin = 10 * time.Millisecond
	// halfWaitShare is the share of its time to the aim after which a waiter shows that the queue
	// stands rather than absorbs a burst. The queue then counts as standing for standingDuration.
	halfWaitShare    = 0.5
	standingDuration = time.Second
)

// Waiter is a statement that waits for a place on a member.
type Waiter[T any] struct {
	// Value is data of the queue's owner.
	Value T
	// Arrived is when the statement arrived. Aim is its latency aim: the time by which it
	// should be answered; a later answer is of less use to its caller.
	Arrived, Aim core.Time
	// Deadline is when the statement no longer waits; it is used only for forecasts.
	Deadline core.Time
	Database string
	// ServiceTime is the mean service time of the database's statements.
	ServiceTime time.Duration
	// Primary is set if only the primary can serve it.
	Primary bool
	// Priority orders waiters; 0 is the highest.
	Priority int
	// Promised is set if the caller was told to retry at this time. The statement goes before newcomers
	// of its kind, and before late waiters also if it is late itself.
	Promised bool

	// counted is set once the statement has been counted as an arrival.
	counted bool
	// forecastAt is when the wait was forecast, 0 if it was not; forecastRaw is the forecast before
	// its correction by earlier waits, forecastWait the one after.
	forecastAt                core.Time
	forecastRaw, forecastWait time.Duration
}

// canBeInTime reports whether an answer can still arrive before the aim.
func (w *Waiter[T]) canBeInTime(at core.Time) bool { return at.Add(w.ServiceTime+answerMargin) < w.Aim }

// isOverdue reports whether the waiter has waited as long as a waiter may while the queue sheds.
func (w *Waiter[T]) isOverdue(at core.Time) bool {
	return at.Sub(w.Arrived) >= max(MinWait, time.Duration(maxWaitShare*float64(w.Aim.Sub(w.Arrived))))
}

// waitedHalf reports whether the waiter has waited for half of its time to the aim.
func (w *Waiter[T]) waitedHalf(at core.Time) bool {
	return float64(at.Sub(w.Arrived)) > halfWaitShare*float64(w.Aim.Sub(w.Arrived))
}

// Queue holds the waiters in the order in which they get a place: by priority, then those of the
// database with the shortest service time, so that members serve as many as possible, then by
// arrival. It is not safe for concurrent use.
type Queue[T any] struct {
	policy  policy.Set
	waiters []*Waiter[T]
	// standingAt is when a waiter was last seen that had waited for half of its time to the aim.
	// standingSince is the start of the period in which such waiters were seen without a gap of
	// standingDuration. While the queue stands, the newest waiter of a database goes first: in
	// order of arrival all would be served too late.
	standingAt, standingSince core.Time
	// servedAt is when a waiter last got a place.
	servedAt core.Time
	// forecaster is nil without overload control.
	forecaster *forecaster
}

// NewQueue returns an empty queue that uses the given mechanisms.
func NewQueue[T any](set policy.Set) *Queue[T] { return &Queue[T]{policy: set} }

// Len returns the number of waiters.
func (q *Queue[T]) Len() int { return len(q.waiters) }

// LenByDatabase returns the number of waiters of each database.
func (q *Queue[T]) LenByDatabase() map[string]int {
	lengths := make(map[string]int)
	for _, w := range q.waiters {
		lengths[w.Database]++
	}
	return lengths
}

// Add adds a waiter.
func (q *Queue[T]) Add(at core.Time, w *Waiter[T]) {
	newest := q.newestFirst(at, w)
	i := len(q.waiters)
	for i > 0 && q.goesBefore(w, q.waiters[i-1], newest) {
		i--
	}
	q.waiters = slices.Insert(q.waiters, i, w)
}

// newestFirst reports whether the waiter goes before older ones of its kind.
func (q *Queue[T]) newestFirst(at core.Time, w *Waiter[T]) bool {
	return q.isStanding(at) && q.policy.Has(policy.NewestFirst) && !q.isBounded(at, w)
}

// goesFirst reports whether the waiter is served before those that cannot be in time.
func (q *Queue[T]) goesFirst(at core.Time, w *Waiter[T]) bool {
	return w.Promised || w.canBeInTime(at) || !q.policy.Has(policy.InTimeFirst)
}

// goesBefore reports whether the waiter w, which is newer, goes before o. newest is set if it goes
// before older ones of its kind.
func (q *Queue[T]) goesBefore(w, o *Waiter[T], newest bool) bool {
	switch {
	case w.Priority != o.Priority:
		return w.Priority < o.Priority
	case w.Database != o.Database:
		return w.ServiceTime < o.ServiceTime && q.policy.Has(policy.OrderByWork)
	case w.Promised != o.Promised:
		return w.Promised
	}
	return newest
}

// Remove removes a waiter that was not served.
func (q *Queue[T]) Remove(w *Waiter[T]) {
	q.waiters = slices.DeleteFunc(q.waiters, func(o *Waiter[T]) bool { return o == w })
}

// Serve assigns free places to waiters. Waiters whose answer can still be in time go first, so that
// a queue left by an outage does not delay all later waiters as well. place assigns a waiter its
// place and returns false if there is none for it. Serve returns the waiters that the caller has to
// reject.
func (q *Queue[T]) Serve(at core.Time, place func(w *Waiter[T]) bool) (rejected []*Waiter[T]) {
	if len(q.waiters) == 0 {
		return nil
	}
	if slices.ContainsFunc(q.waiters, func(w *Waiter[T]) bool { return w.waitedHalf(at) }) {
		q.noteStanding(at)
	}
	q.serveIf(at, place, func(w *Waiter[T]) bool { return q.goesFirst(at, w) })
	q.serveIf(at, place, func(*Waiter[T]) bool { return true })
	overloaded := q.isStanding(at) && at.Sub(q.standingSince) >= ShedDelay && at.Sub(q.servedAt) < ServingWindow
	if !overloaded || !q.policy.Has(policy.Shedding) {
		return nil
	}
	return q.shed(at)
}

// RejectIf removes and returns the waiters that cannot be served.
func (q *Queue[T]) RejectIf(hopeless func(w *Waiter[T]) bool) (rejected []*Waiter[T]) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter[T]) bool {
		if hopeless(w) {
			rejected = append(rejected, w)
			return true
		}
		return false
	})
	return rejected
}

// isStanding reports whether a waiter was recently seen that had waited for half of its time.
func (q *Queue[T]) isStanding(at core.Time) bool {
	return q.standingAt != 0 && at.Sub(q.standingAt) < standingDuration
}

// noteStanding records that a waiter has waited for half of its time.
func (q *Queue[T]) noteStanding(at core.Time) {
	if !q.isStanding(at) {
		q.standingSince = at
	}
	q.standingAt = at
}

// shed removes and returns the waiters that can no longer be in time or have waited long, so that
// newer ones get the places. It is called only while others are served: without a primary, for
// example, all keep waiting.
func (q *Queue[T]) shed(at core.Time) (rejected []*Waiter[T]) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter[T]) bool {
		if at.Sub(w.Arrived) < MinWait || w.canBeInTime(at) && !w.isOverdue(at) || q.isBounded(at, w) {
			return false
		}
		rejected = append(rejected, w)
		return true
	})
	return rejected
}

// serveIf assigns free places to the eligible waiters, in order.
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
		q.observeWait(at, w)
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// observeWait learns from the wait of a waiter whose time in the queue was forecast.
func (q *Queue[T]) observeWait(at core.Time, w *Waiter[T]) {
	if q.forecaster == nil {
		return
	}
	q.forecaster.servedAt[index(w.Primary)] = at
	if w.forecastAt != 0 {
		q.forecaster.observe(at, w.Database, w.Primary, w.forecastAt, w.forecastRaw, w.forecastWait)
	}
}
