package proxy

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// stats are the counters that a running daemon publishes under "proxy".
type stats struct {
	statements, malformed, connsBroken, dials, dialFailures, probeFailures expvar.Int
	commandsDropped, promotions, reportsUnsent, reportsMalformed           expvar.Int
	onPrimary, onReplica, logLinesDropped                                  expvar.Int
	// eras are the ends of eras of the store.
	erasEnded expvar.Int
	// replaced are idle connections that were closed for one of another team.
	connsReplaced expvar.Int
	// refusals are errors by code, barred statements that were refused on account of their
	// callers' keys, by reason.
	// unpaid are operations that were refused on account of their teams' limits.
	refusals, denied, overQuota expvar.Map

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

// The range of the latency histogram: 50 us to 60 s with two digits.
const (
	minLatency    = 50
	maxLatency    = 60_000_000
	latencyDigits = 2
)

func newStats() *stats {
	return &stats{latency: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
}

func (s *stats) countRefusal(code string) { s.refusals.Add(code, 1) }

func (s *stats) recordServed(primary bool, d time.Duration) {
	if primary {
		s.onPrimary.Add(1)
	} else {
		s.onReplica.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A value beyond the range is recorded as the range's end.
	_ = s.latency.RecordValue(min(maxLatency, max(minLatency, d.Microseconds())))
}

// snapshot returns all figures for the metrics address.
func (s *stats) snapshot() any {
	refusals, denied, overQuota := valuesOf(&s.refusals), valuesOf(&s.denied), valuesOf(&s.overQuota)
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"statements": s.statements.Value(), "malformed": s.malformed.Value(), "broken": s.connsBroken.Value(),
		"dials": s.dials.Value(), "conns_replaced": s.connsReplaced.Value(), "dial_failures": s.dialFailures.Value(), "probe_failures": s.probeFailures.Value(),
		"orders_dropped": s.commandsDropped.Value(), "promotions": s.promotions.Value(),
		"reports_unsent": s.reportsUnsent.Value(), "reports_malformed": s.reportsMalformed.Value(),
		"on_primary": s.onPrimary.Value(), "on_replica": s.onReplica.Value(), "log_lines_dropped": s.logLinesDropped.Value(),
		"store_eras_ended": s.erasEnded.Value(), "refusals": refusals, "barred": denied, "unpaid": overQuota,
		"latency_us": map[string]int64{
			"p50": s.latency.ValueAtQuantile(50), "p99": s.latency.ValueAtQuantile(99), "max": s.latency.Max(), "count": s.latency.TotalCount(),
		},
	}
}

func valuesOf(m *expvar.Map) map[string]string {
	values := map[string]string{}
	m.Do(func(kv expvar.KeyValue) { values[kv.Key] = kv.Value.String() })
	return values
}
