package proxy

import (
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
)

// Figures of the queue.
const (
	// shedAfter is how long the queue stands before it sheds: a short overload is over
	// before its late answers are worth nothing.
	shedAfter = time.Second
	// servingWithin is how lately a waiter must have been served for the queue to count
	// as overloaded rather than without a member.
	servingWithin = 100 * time.Millisecond
	// leastWait is how long a statement waits in any case, so that a caller which
	// comes back is not refused three times in a burst.
	leastWait = 100 * time.Millisecond
	// answerWay is kept of an answer's aim for the way back to the caller: two
	// crossings of up to 3 ms, and the caller's own way here.
	answerWay = 10 * time.Millisecond
	// standingShare of its time to the aim that a waiter has lost shows that the
	// queue stands rather than absorbs a burst, for standingFor.
	standingShare = 0.5
	standingFor   = time.Second
	// workWeight is the weight of a new measurement in the mean work of a database's
	// statements, 1/8.
	workWeight = 8
	// firstWork is assumed of a database that has not been asked yet.
	firstWork = 15 * time.Millisecond
)

// waiter is a statement that waits for a connection. aim is until when its
// answer has its full value, work how long a statement of its database takes.
type waiter struct {
	arrived, aim core.Time
	database     string
	work         time.Duration
	need         direct.Need
	session      *session
	priority     int
	prepare      *prepared
	granted      chan grant
}

// inTime says whether an answer can still come before the aim.
func (w *waiter) inTime(at core.Time) bool { return at.Add(w.work+answerWay) < w.aim }

// lostHalf says whether the waiter has waited for half of its time to the aim.
func (w *waiter) lostHalf(at core.Time) bool {
	return float64(at.Sub(w.arrived)) > standingShare*float64(w.aim.Sub(w.arrived))
}

// queue holds the waiters in the order in which they get a connection: by
// priority, then those whose database takes least work, so that the members serve
// most of them, then by arrival.
type queue struct {
	waiters []*waiter
	// standingAt is when a waiter was last seen that had lost half of its time, and
	// standingSince since when such ones have come without a pause. While the queue
	// stands, the newest of a database goes first: in order of arrival all would be
	// served too late.
	standingAt, standingSince core.Time
	// servedAt is when a waiter last got a connection.
	servedAt core.Time
}

func (q *queue) add(at core.Time, w *waiter) {
	standing := q.standing(at)
	i := len(q.waiters)
	for i > 0 && w.before(q.waiters[i-1], standing) {
		i--
	}
	q.waiters = slices.Insert(q.waiters, i, w)
}

// before says whether the waiter, which is newer, goes before the other one.
func (w *waiter) before(o *waiter, standing bool) bool {
	switch {
	case w.priority != o.priority:
		return w.priority < o.priority
	case w.database != o.database:
		return w.work < o.work
	}
	return standing
}

func (q *queue) remove(w *waiter) {
	q.waiters = slices.DeleteFunc(q.waiters, func(o *waiter) bool { return o == w })
}

// serve grants what is free: first to those whose answer can still be in time, so
// that a queue from an outage does not make all that come later late as well.
func (q *queue) serve(at core.Time, try func(w *waiter) (grant, bool)) {
	if len(q.waiters) == 0 {
		return
	}
	if slices.ContainsFunc(q.waiters, func(w *waiter) bool { return w.lostHalf(at) }) {
		q.stands(at)
	}
	q.serveIf(at, try, true)
	q.serveIf(at, try, false)
	if q.standing(at) && at.Sub(q.standingSince) >= shedAfter && at.Sub(q.servedAt) < servingWithin {
		q.shed(at)
	}
}

// standing says whether waiters have lately lost half of their time here.
func (q *queue) standing(at core.Time) bool {
	return q.standingAt != 0 && at.Sub(q.standingAt) < standingFor
}

// stands notes that a waiter has lost half of its time.
func (q *queue) stands(at core.Time) {
	if !q.standing(at) {
		q.standingSince = at
	}
	q.standingAt = at
}

// shed refuses those that can no longer be in time, while others are served: what
// they wait for is given to those that come after them. Where nothing is served,
// as without a primary, they wait on.
func (q *queue) shed(at core.Time) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if w.inTime(at) || at.Sub(w.arrived) < leastWait {
			return false
		}
		close(w.granted)
		return true
	})
}

func (q *queue) serveIf(at core.Time, try func(w *waiter) (grant, bool), inTime bool) {
	primaryFull := false
	for i := 0; i < len(q.waiters); {
		w := q.waiters[i]
		if w.inTime(at) != inTime || w.need.Primary && primaryFull {
			i++
			continue
		}
		gr, ok := try(w)
		if !ok {
			primaryFull = primaryFull || w.need.Primary
			i++
			continue
		}
		q.servedAt = at
		q.waiters = slices.Delete(q.waiters, i, i+1)
		w.granted <- gr
	}
}
