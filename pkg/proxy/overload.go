package proxy

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"limpetspan/core"
	"limpetspan/core/admission"
	"limpetspan/core/auth"
	"limpetspan/core/policy"
)

// reasonForecast is the reason for a refusal on arrival of a statement that would get its place too
// late.
const reasonForecast = "too many statements wait for a member"

// overloadStats holds the counters of overload control.
type overloadStats struct {
	// byForecast counts refusals on arrival, promised the returns that were promised, and kept those
	// that came as promised.
	byForecast, promised, kept expvar.Int

	mu sync.Mutex
	// tooShort and tooLong are the errors of forecasts, in microseconds: by how much statements
	// waited longer and less long than forecast.
	tooShort, tooLong *hdrhistogram.Histogram
}

func newOverloadStats() *overloadStats {
	return &overloadStats{
		tooShort: hdrhistogram.New(minLatencyUs, maxLatencyUs, latencyDigits),
		tooLong:  hdrhistogram.New(minLatencyUs, maxLatencyUs, latencyDigits),
	}
}

// recordError records the difference between a wait and its forecast.
func (s *overloadStats) recordError(deviation time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.tooShort
	if deviation < 0 {
		h, deviation = s.tooLong, -deviation
	}
	// A value beyond the range is recorded as the bound of the range.
	_ = h.RecordValue(min(maxLatencyUs, max(minLatencyUs, deviation.Microseconds())))
}

// snapshot returns the counters for the metrics endpoint.
func (s *overloadStats) snapshot() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	quantiles := func(h *hdrhistogram.Histogram) map[string]int64 {
		return map[string]int64{"p50": h.ValueAtQuantile(50), "p99": h.ValueAtQuantile(99), "max": h.Max(), "count": h.TotalCount()}
	}
	return map[string]any{
		"refused_by_forecast": s.byForecast.Value(), "promised_returns": s.promised.Value(), "kept_returns": s.kept.Value(),
		"forecast_too_short_us": quantiles(s.tooShort), "forecast_too_long_us": quantiles(s.tooLong),
	}
}

// queueLengths returns the lengths of the groups' queues by database, for the metrics.
func (p *Proxy) queueLengths() map[core.GroupID]map[string]int {
	lengths := make(map[core.GroupID]map[string]int)
	for _, g := range p.activeGroups() {
		g.mu.Lock()
		lengths[g.id] = g.queue.LenByDatabase()
		g.mu.Unlock()
	}
	return lengths
}

// enableOverloadControl makes the group's queue forecast waits if the settings ask for it.
func (g *group) enableOverloadControl() {
	if g.p.settings.OverloadControl {
		g.queue.EnableOverloadControl(admission.LimitDeadline, g.p.stats.overload.recordError)
	}
}

// places returns the statements that this daemon runs at the group's members. The lock is held.
func (g *group) places() admission.Places {
	primary, all := g.core.InUse()
	return admission.Places{Primary: primary, All: all}
}

// observeArrival counts a statement that is placed or starts to wait. The lock is held.
func (g *group) observeArrival(at core.Time, w *waiter) {
	if g.queue.HasOverloadControl() {
		w.ServiceTime = g.serviceTimes.Of(w.Database)
		g.queue.ObserveArrival(at, &w.Waiter)
	}
}

// forecastWait records in the waiter when it would get a place, so that the queue learns from the
// actual wait. The lock is held.
func (g *group) forecastWait(at core.Time, w *waiter) {
	if g.queue.HasOverloadControl() {
		w.ServiceTime = g.serviceTimes.Of(w.Database)
		g.queue.Forecast(at, &w.Waiter, g.places())
	}
}

// admit reports whether a statement that has arrived may wait for a place. It may if it can be placed
// now, if its forecast is in time, and if there is no sound forecast, as during a change of the primary.
func (g *group) admit(at core.Time, w *waiter) (admission.Forecast, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.HasOverloadControl() {
		return admission.Forecast{}, true
	}
	if g.queue.Len() == 0 || !g.core.IsSteady(at, w.requirement) {
		return admission.Forecast{}, true
	}
	w.ServiceTime = g.serviceTimes.Of(w.Database)
	if _, ok := g.core.Place(at, w.requirement); ok {
		return admission.Forecast{}, true
	}
	f := g.queue.Forecast(at, &w.Waiter, g.places())
	return f, !f.TooLate
}

// promise returns when the caller of a refused statement is to retry because of load. It returns
// false if the refusal has another cause: no usable primary, a member that refuses statements, or no
// statement that is served here.
func (g *group) promise(at core.Time, w *waiter, horizon time.Duration) (admission.Promise, admission.Forecast, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.HasOverloadControl() || !g.queue.IsServing(at, &w.Waiter) || !g.core.IsSteady(at, w.requirement) {
		return admission.Promise{}, admission.Forecast{}, false
	}
	places := g.places()
	f := g.queue.Forecast(at, &w.Waiter, places)
	return g.queue.Promise(at, &w.Waiter, f, places, horizon, rand.Float64()), f, true
}

// promisedReturn is the time at which a session was told to retry a statement of one kind.
type promisedReturn struct {
	due      core.Time
	group    core.GroupID
	database string
	// primary is set if the statement needs the primary.
	primary bool
}

// isFor reports whether the promise was made for a statement of the job's kind.
func (p promisedReturn) isFor(j *job, w *waiter) bool {
	return p.group == j.route.Group && p.database == j.route.Database && p.primary == w.Primary
}

// admit reports whether the job's statement, which requires the primary or not, may wait for a place.
// If not, it has to be refused, and nothing has been taken for it: no quota reservation, no connection
// and no place. inputs are those of the decision, for the log.
func (s *session) admit(j *job, primary bool) (inputs []any, ok bool) {
	if !s.p.settings.OverloadControl {
		return nil, true
	}
	w := s.newWaiter(j, s.requirement(j.route, primary, j.arrived))
	j.waiter = w
	if p := s.promised; p.isFor(j, w) && s.p.policy.Has(policy.ScheduledReturns) {
		w.Promised = admission.IsKept(j.arrived, p.due)
		s.promised = promisedReturn{}
	}
	if w.Promised {
		s.p.stats.overload.kept.Add(1)
	}
	g := s.p.groupForStatement(j.route.Group)
	f, ok := g.admit(now(), w)
	if ok || s.isCountedElsewhere() {
		// A statement that is counted elsewhere does not wait here: its quota reservation is refused, and
		// the session moves to the daemon that counts it.
		return nil, true
	}
	s.p.stats.overload.byForecast.Add(1)
	return []any{"group", g.id, "members", g.explain(w), "forecast_ms", f.Wait.Milliseconds(),
		"margin_ms", f.Margin.Milliseconds(), "position", f.Position, "allowed_ms", f.Allowed.Milliseconds()}, false
}

// isCountedElsewhere reports whether the operations of the session's team are counted at another daemon.
func (s *session) isCountedElsewhere() bool {
	if !s.p.limits.enabled {
		return false
	}
	team, verdict := s.p.access.check(s.database, s.key)
	return verdict == auth.Granted && s.p.limits.isCountedElsewhere(team)
}

// scheduleReturn returns when the caller of a statement that is refused because of load is to retry,
// and the inputs of that decision for the log. It returns 0 if the age of the outage decides.
func (s *session) scheduleReturn(j *job) (after time.Duration, inputs []any) {
	if j.waiter == nil || !s.p.policy.Has(policy.ScheduledReturns) {
		return 0, nil
	}
	g := s.p.existingGroup(j.route.Group)
	if g == nil {
		return 0, nil
	}
	at := now()
	promise, f, ok := g.promise(at, j.waiter, j.route.StatementTimeout)
	if !ok {
		return 0, nil
	}
	s.promised = promisedReturn{due: promise.Due, group: j.route.Group, database: j.route.Database, primary: j.waiter.Primary}
	if promise.Due != 0 {
		s.p.stats.overload.promised.Add(1)
	}
	return promise.After, []any{"return_forecast_ms", f.Wait.Milliseconds(), "retry_ms", promise.After.Milliseconds(), "promised", promise.Due != 0}
}
