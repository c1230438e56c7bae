package front

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of the latency histogram, in microseconds, and its precision.
const (
	latencyMin    = 1
	latencyMax    = int64(10 * time.Minute / time.Microsecond)
	latencyDigits = 2
	latencyShards = 8
)

// metrics are the front's counters. Latency is from the arrival of a complete
// request to the last byte of its answer given to the socket.
type metrics struct {
	vars                         expvar.Map
	connections, opened, refused expvar.Int
	requests                     expvar.Int
	errors                       expvar.Map
	latency                      [latencyShards]struct {
		mu        sync.Mutex
		histogram *hdrhistogram.Histogram
	}
}

func newMetrics() *metrics {
	m := &metrics{}
	m.errors.Init()
	m.vars.Init()
	for i := range m.latency {
		m.latency[i].histogram = hdrhistogram.New(latencyMin, latencyMax, latencyDigits)
	}
	m.vars.Set("connections", &m.connections)
	m.vars.Set("connections_opened", &m.opened)
	m.vars.Set("connections_refused", &m.refused)
	m.vars.Set("requests", &m.requests)
	m.vars.Set("errors", &m.errors)
	m.vars.Set("latency_us", expvar.Func(m.percentiles))
	return m
}

func (m *metrics) countRequest(number uint64, took time.Duration) {
	m.requests.Add(1)
	shard := &m.latency[number%latencyShards]
	shard.mu.Lock()
	// The value is in range by the bounds taken here.
	_ = shard.histogram.RecordValue(min(max(took.Microseconds(), latencyMin), latencyMax))
	shard.mu.Unlock()
}

func (m *metrics) countError(state string) { m.errors.Add(state, 1) }

// latencyReport is what the latency metric shows, in microseconds.
type latencyReport struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Max   int64 `json:"max"`
}

func (m *metrics) percentiles() any {
	sum := hdrhistogram.New(latencyMin, latencyMax, latencyDigits)
	for i := range m.latency {
		shard := &m.latency[i]
		shard.mu.Lock()
		sum.Merge(shard.histogram)
		shard.mu.Unlock()
	}
	return latencyReport{
		Count: sum.TotalCount(),
		P50:   sum.ValueAtQuantile(50),
		P99:   sum.ValueAtQuantile(99),
		P999:  sum.ValueAtQuantile(99.9),
		Max:   sum.Max(),
	}
}
