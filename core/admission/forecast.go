package admission

import (
	"math"
	"time"

	"limpetspan/core"
	"limpetspan/core/policy"
)

// Limit is the time by which a statement must have its place to be admitted.
type Limit int

// In simulations of a burst beside a large team with both replicas lagging (pattern large-team, 16
// seeds), LimitDeadline serves 0.726 of the operations in time and 0.908 in all, LimitAim 0.688 and
// 0.912; with callers that retry at once, 0.739 and 0.827 against 0.728 and 0.798.
const (
	// LimitDeadline admits a statement that gets its place before its wait deadline.
	LimitDeadline Limit = iota
	// LimitAim admits a statement that can still be answered before its aim. One that is late
	// already, such as a retry, is admitted up to its wait deadline.
	LimitAim
)

// Parameters of a forecast.
const (
	// minObservations is the number of recent waits without which nothing is refused: fewer give a
	// mean error that is off by more than a quarter.
	minObservations = 16
	// observationTTL is how long after the last wait the observations count as recent.
	observationTTL = 10 * time.Second
	// errorWeight is the inverse of the weight of a new wait in the forecast's mean error.
	errorWeight = 16
	// rateWindow is the time over which the arrival rates of kinds are averaged. It is short
	// against the load cycles of 11 and 13 s, and long against single statements.
	rateWindow = time.Second
	// maxOvertaking bounds the share of the places that later arrivals are assumed to take before a
	// waiter, and minScale and maxScale the correction by earlier waits, so that a short
	// disturbance does not refuse a kind of statement altogether.
	maxOvertaking      = 0.9
	minScale, maxScale = 0.25, 4.0
)

// Places are the statements that this daemon runs at a group's members while statements wait.
type Places struct {
	// Primary is the number at the primary, All the number at all members.
	Primary, All int
}

// of returns the number of places that may serve the statement.
func (p Places) of(primary bool) float64 {
	if primary {
		return float64(max(1, p.Primary))
	}
	return float64(max(1, p.Primary, p.All))
}

// load is an amount of work, by index: that of statements that need the primary, and that of others.
type load [2]float64

// wait returns how long the work takes at the places of a statement that needs the primary or not. A
// statement that does not need it waits for no work that only the primary can do if the replicas are
// done with the rest sooner.
func (p Places) wait(primary bool, work load) float64 {
	if primary {
		return work[0]/p.of(true) + work[1]/p.of(false)
	}
	shared := (work[0] + work[1]) / p.of(false)
	if replicas := p.All - p.Primary; replicas > 0 {
		return min(work[1]/float64(replicas), shared)
	}
	return shared
}

// use returns which share of a statement's places the work per second takes. Work that needs the primary
// takes no more than the primary's places.
func (p Places) use(primary bool, work load) float64 {
	if primary {
		return work[0]/p.of(true) + work[1]/p.of(false)
	}
	return (min(work[0], p.of(true)) + work[1]) / p.of(false)
}

// Forecast says when a statement would get a place.
type Forecast struct {
	// Wait is the expected time until it gets a place, Margin the mean error of such forecasts.
	Wait, Margin time.Duration
	// Allowed is the time after which a place is too late for it.
	Allowed time.Duration
	// Position is the number of waiters that go before it.
	Position int
	// TooLate is set if it should be refused: it would come too late even if the forecast is too long
	// by its margin. A caller has few attempts, so a wait that may end in time is worth more to it than
	// an early refusal.
	TooLate bool
}

// kind holds the observations of one kind of statement: those of one database.
type kind struct {
	database    string
	priority    int
	serviceTime time.Duration
	// rates are the arrivals per second, and accuracies those of the forecasts, of statements that need
	// the primary, and of others.
	rates      [2]rate
	accuracies [2]accuracy
	// returns is the schedule of promised returns.
	returns Returns
}

// rate is an exponentially weighted rate per second.
type rate struct {
	mean float64
	at   core.Time
}

// observe counts an arrival.
func (r *rate) observe(at core.Time) {
	r.mean = r.current(at) + 1/rateWindow.Seconds()
	r.at = at
}

// current returns the rate.
func (r *rate) current(at core.Time) float64 {
	if r.mean == 0 {
		return 0
	}
	return r.mean * math.Exp(-at.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// forecaster learns what a Queue needs to predict waits.
type forecaster struct {
	limit Limit
	// kinds are in the order of their first statements. There are as many as a group has databases.
	kinds []*kind
	// servedAt is when a statement that needs the primary, and another, last got a place from the queue.
	servedAt [2]core.Time
	// report receives the error of each forecast.
	report func(deviation time.Duration)
}

// accuracy describes forecasts of statements that need the primary, or of others.
type accuracy struct {
	// waits and forecasts are means of the actual waits and of the uncorrected forecasts of them;
	// their ratio corrects further forecasts. meanError is the mean absolute error that is left.
	waits, forecasts, meanError float64
	observations                int
	observedAt                  core.Time
}

// EnableOverloadControl makes the queue forecast waits. Without it, nothing of the queue depends on
// forecasts. report receives the difference of each wait to its forecast.
func (q *Queue[T]) EnableOverloadControl(limit Limit, report func(deviation time.Duration)) {
	q.forecaster = &forecaster{limit: limit, report: report}
}

// isBounded reports whether statements of the waiter's kind are refused on arrival. They are then served in
// order of arrival and not shed: the queue is so short that they can be in time, and the forecast holds.
func (q *Queue[T]) isBounded(at core.Time, w *Waiter[T]) bool {
	return q.forecaster != nil && q.policy.Has(policy.Forecast) && q.forecaster.accuracyOf(w.Database, w.Primary).isTrained(at)
}

// HasOverloadControl reports whether the queue forecasts waits.
func (q *Queue[T]) HasOverloadControl() bool { return q.forecaster != nil }

// ObserveArrival counts a statement that is placed or starts to wait. Statements that are refused on
// arrival take no places, so they are not counted. A statement that is placed again is counted once.
func (q *Queue[T]) ObserveArrival(at core.Time, w *Waiter[T]) {
	if q.forecaster == nil || w.counted {
		return
	}
	w.counted = true
	k := q.forecaster.kindOf(w.Database)
	k.priority, k.serviceTime = w.Priority, w.ServiceTime
	k.rates[index(w.Primary)].observe(at)
}

// index returns the index of what is kept separately for statements that need the primary and others.
func index(primary bool) int {
	if primary {
		return 0
	}
	return 1
}

func (f *forecaster) kindOf(database string) *kind {
	for _, k := range f.kinds {
		if k.database == database {
			return k
		}
	}
	k := &kind{database: database}
	f.kinds = append(f.kinds, k)
	return k
}

func (f *forecaster) accuracyOf(database string, primary bool) *accuracy {
	return &f.kindOf(database).accuracies[index(primary)]
}

// Forecast returns when the waiter, which is not in the queue and cannot be placed now, would get a
// place. It records the forecast in the waiter, so that the queue learns from the actual wait.
func (q *Queue[T]) Forecast(at core.Time, w *Waiter[T], places Places) Forecast {
	a := q.forecaster.accuracyOf(w.Database, w.Primary)
	scale := a.scale()
	newest := q.newestFirst(at, w)
	before := func(o *Waiter[T]) bool { return !q.goesBefore(w, o, newest) }
	first := q.goesFirst(at, w)
	raw, position := q.estimate(at, w, places, first, func(o *Waiter[T]) bool {
		return q.goesFirst(at, o) && (!first || before(o)) || !first && before(o)
	})
	if first && !q.goesFirst(at.Add(seconds(raw*scale)), w) {
		// It will be late before it gets a place, as will those of the others that it waits for.
		raw, position = q.estimate(at, w, places, first, before)
	}
	w.forecastAt, w.forecastRaw, w.forecastWait = at, seconds(raw), seconds(raw*scale)
	result := Forecast{Wait: w.forecastWait, Margin: seconds(a.meanError), Allowed: q.forecaster.allowed(at, w.Aim, w.Deadline, w.ServiceTime), Position: position}
	result.TooLate = q.isBounded(at, w) && q.IsServing(at, w) && result.Wait-result.Margin > result.Allowed
	return result
}

// estimate returns the uncorrected wait of a waiter, in seconds, and how many waiters go before it. first is
// set if it goes first until it gets its place.
func (q *Queue[T]) estimate(at core.Time, w *Waiter[T], places Places, first bool, isAhead func(o *Waiter[T]) bool) (wait float64, position int) {
	// One statement has to end before the first waiter gets a place.
	var work load
	work[index(w.Primary)] = w.ServiceTime.Seconds()
	for _, o := range q.waiters {
		if isAhead(o) {
			position++
			work[index(o.Primary)] += o.ServiceTime.Seconds()
		}
	}
	overtaking := min(maxOvertaking, places.use(w.Primary, q.arrivingBefore(at, w, first)))
	return places.wait(w.Primary, work) / (1 - overtaking), position
}

// arrivingBefore returns the work per second of the arrivals that will go before the waiter: those of other
// kinds, or those of all kinds if it is late, as newcomers can be in time.
func (q *Queue[T]) arrivingBefore(at core.Time, w *Waiter[T], first bool) (work load) {
	for _, k := range q.forecaster.kinds {
		before := k.priority < w.Priority || k.priority == w.Priority && k.serviceTime < w.ServiceTime && q.policy.Has(policy.OrderByWork)
		if first && (k.database == w.Database || !before) {
			continue
		}
		for i := range work {
			work[i] += k.rates[i].current(at) * k.serviceTime.Seconds()
		}
	}
	return work
}

// IsServing reports whether waiters that need the primary as this one does, or do not, were served
// recently. If none was for the time of two statements, no forecast is possible.
func (q *Queue[T]) IsServing(at core.Time, w *Waiter[T]) bool {
	servedAt := q.forecaster.servedAt[index(w.Primary)]
	return servedAt != 0 && at.Sub(servedAt) < max(ServingWindow, 2*w.ServiceTime)
}

// Expire removes a waiter whose deadline has come. Its wait so far is a lower bound, from which the queue
// learns if it exceeds the forecast. Waits for a place that nobody gets say nothing about load.
func (q *Queue[T]) Expire(at core.Time, w *Waiter[T]) {
	if q.forecaster != nil && q.IsServing(at, w) && w.forecastAt != 0 && at.Sub(w.forecastAt) > w.forecastWait {
		q.forecaster.observe(at, w.Database, w.Primary, w.forecastAt, w.forecastRaw, w.forecastWait)
	}
	q.Remove(w)
}

// allowed returns how long a statement may wait for its place.
func (f *forecaster) allowed(at, aim, deadline core.Time, serviceTime time.Duration) time.Duration {
	inTime := aim.Add(-serviceTime - answerMargin).Sub(at)
	if f.limit == LimitAim && inTime > 0 {
		return min(inTime, deadline.Sub(at))
	}
	return deadline.Sub(at)
}

// isTrained reports whether there are enough recent observations to refuse statements.
func (a *accuracy) isTrained(at core.Time) bool {
	return a.observations >= minObservations && at.Sub(a.observedAt) < observationTTL
}

// scale returns the ratio of the waits to what was forecast of them.
func (a *accuracy) scale() float64 {
	if a.observations < minObservations || a.forecasts == 0 {
		return 1
	}
	return min(maxScale, max(minScale, a.waits/a.forecasts))
}

// observe learns from a wait that has ended.
func (f *forecaster) observe(at core.Time, database string, primary bool, forecastAt core.Time, raw, forecast time.Duration) {
	wait := at.Sub(forecastAt)
	f.accuracyOf(database, primary).add(at, wait, raw, forecast)
	f.report(wait - forecast)
}

// add adds a wait and its forecasts to the means.
func (a *accuracy) add(at core.Time, wait, raw, forecast time.Duration) {
	if a.observations > 0 && at.Sub(a.observedAt) >= observationTTL {
		a.observations = 0
	}
	deviation := (wait - forecast).Abs()
	if a.observations == 0 {
		a.waits, a.forecasts, a.meanError = wait.Seconds(), raw.Seconds(), deviation.Seconds()
	}
	a.waits += (wait.Seconds() - a.waits) / errorWeight
	a.forecasts += (raw.Seconds() - a.forecasts) / errorWeight
	a.meanError += (deviation.Seconds() - a.meanError) / errorWeight
	a.observations++
	a.observedAt = at
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
