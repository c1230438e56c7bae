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

// Places are the statements that this daemon runs at a group's members when no more can be placed.
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

// share returns which part of the work of other statements uses the same places as one that needs
// the primary or not.
func (p Places) share(primary, otherPrimary bool) float64 {
	if !primary || otherPrimary {
		return 1
	}
	return float64(max(1, p.Primary)) / p.of(false)
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
	priority    int
	serviceTime time.Duration
	// rates are the arrivals per second of statements that need the primary, and of others.
	rates [2]rate
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
	kinds map[string]*kind
	// waits and forecasts are means of the actual waits and of the uncorrected forecasts of them;
	// their ratio corrects further forecasts. meanError is the mean absolute error that is left.
	waits, forecasts, meanError float64
	observations                int
	observedAt                  core.Time
	// report receives the error of each forecast.
	report func(deviation time.Duration)
}

// EnableOverloadControl makes the queue forecast waits. Without it, nothing of the queue depends on
// forecasts. report receives the difference of each wait to its forecast.
func (q *Queue[T]) EnableOverloadControl(limit Limit, report func(deviation time.Duration)) {
	q.forecaster = &forecaster{limit: limit, kinds: make(map[string]*kind), report: report}
}

// forecasts reports whether statements are refused by forecast. Waiters are then served in order of
// arrival within their kind: the queue is so short that they can be in time, and the forecast holds.
func (q *Queue[T]) forecasts() bool { return q.forecaster != nil && q.policy.Has(policy.Forecast) }

// HasOverloadControl reports whether the queue forecasts waits.
func (q *Queue[T]) HasOverloadControl() bool { return q.forecaster != nil }

// ObserveArrival counts the arrival of a statement, whether it waits or not.
func (q *Queue[T]) ObserveArrival(at core.Time, w *Waiter[T]) {
	if q.forecaster == nil {
		return
	}
	k := q.forecaster.kindOf(w.Database)
	k.priority, k.serviceTime = w.Priority, w.ServiceTime
	k.rates[index(w.Primary)].observe(at)
}

// index returns the index of a kind's rate.
func index(primary bool) int {
	if primary {
		return 0
	}
	return 1
}

func (f *forecaster) kindOf(database string) *kind {
	k := f.kinds[database]
	if k == nil {
		k = &kind{}
		f.kinds[database] = k
	}
	return k
}

// Forecast returns when the waiter, which is not in the queue and cannot be placed now, would get a
// place. It records the forecast in the waiter, so that the queue learns from the actual wait.
func (q *Queue[T]) Forecast(at core.Time, w *Waiter[T], places Places) Forecast {
	f := q.forecaster
	standing := q.isStanding(at)
	// One statement has to end before the first waiter gets a place.
	work, position := w.ServiceTime.Seconds(), 0
	for _, o := range q.waiters {
		if q.goesBefore(w, o, standing) {
			continue
		}
		position++
		work += o.ServiceTime.Seconds() * places.share(w.Primary, o.Primary)
	}
	raw := work / places.of(w.Primary) / (1 - f.overtaking(at, w.Database, w.Priority, w.ServiceTime, w.Primary, places))
	w.forecastAt, w.forecastRaw, w.forecastWait = at, seconds(raw), seconds(raw*f.scale())
	result := Forecast{Wait: w.forecastWait, Margin: seconds(f.meanError), Allowed: f.allowed(at, w.Aim, w.Deadline, w.ServiceTime), Position: position}
	result.TooLate = q.IsServing(at, w) && f.isTrained(at) && q.forecasts() && result.Wait-result.Margin > result.Allowed
	return result
}

// IsServing reports whether waiters were served recently. If none was for the time of two statements,
// no forecast is possible.
func (q *Queue[T]) IsServing(at core.Time, w *Waiter[T]) bool {
	return q.servedAt != 0 && at.Sub(q.servedAt) < max(ServingWindow, 2*w.ServiceTime)
}

// overtaking returns the share of the places that later arrivals take before a waiting statement.
func (f *forecaster) overtaking(at core.Time, database string, priority int, serviceTime time.Duration, primary bool, places Places) float64 {
	load := 0.0
	for name, k := range f.kinds {
		if name == database || k.priority > priority || k.priority == priority && k.serviceTime >= serviceTime {
			continue
		}
		work := k.rates[0].current(at)*places.share(primary, true) + k.rates[1].current(at)*places.share(primary, false)
		load += work * k.serviceTime.Seconds()
	}
	return min(maxOvertaking, load/places.of(primary))
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
func (f *forecaster) isTrained(at core.Time) bool {
	return f.observations >= minObservations && at.Sub(f.observedAt) < observationTTL
}

// scale returns the ratio of the waits to what was forecast of them.
func (f *forecaster) scale() float64 {
	if f.observations < minObservations || f.forecasts == 0 {
		return 1
	}
	return min(maxScale, max(minScale, f.waits/f.forecasts))
}

// observe learns from a wait that has ended.
func (f *forecaster) observe(at, forecastAt core.Time, raw, forecast time.Duration) {
	if f.observations > 0 && at.Sub(f.observedAt) >= observationTTL {
		f.observations = 0
	}
	wait := at.Sub(forecastAt)
	deviation := wait - forecast
	if f.observations == 0 {
		f.waits, f.forecasts, f.meanError = wait.Seconds(), raw.Seconds(), deviation.Abs().Seconds()
	}
	f.waits += (wait.Seconds() - f.waits) / errorWeight
	f.forecasts += (raw.Seconds() - f.forecasts) / errorWeight
	f.meanError += (deviation.Abs().Seconds() - f.meanError) / errorWeight
	f.observations++
	f.observedAt = at
	f.report(deviation)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
