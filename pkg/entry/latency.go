package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"limpetspan/core"
)

// The range of the histogram, in microseconds, and its precision.
const (
	latencyMin    = 1
	latencyMax    = int64(10 * time.Minute / time.Microsecond)
	latencyDigits = 2
	// latencyQuantile is what is reported.
	latencyQuantile = 99
	// latencyIdle ends the measuring of a group that nobody asks about.
	latencyIdle = time.Minute
)

// latency measures the requests of one group between two questions.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	asked     time.Time
}

func newLatency() *latency {
	return &latency{histogram: hdrhistogram.New(latencyMin, latencyMax, latencyDigits), asked: time.Now()}
}

// record adds a request; it reports false once nobody asks any more.
func (l *latency) record(took time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is in range by the bounds taken here.
	_ = l.histogram.RecordValue(min(max(took.Microseconds(), latencyMin), latencyMax))
	return l.histogram.TotalCount()&0xff != 0 || time.Since(l.asked) < latencyIdle
}

// drain adds what was measured to sum and begins anew.
func (l *latency) drain(sum *hdrhistogram.Histogram) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum.Merge(l.histogram)
	l.histogram.Reset()
	l.asked = time.Now()
}

func (g *groups) noteLatency(id core.GroupID, took time.Duration) {
	s := g.find(id)
	if s == nil {
		return
	}
	if l := s.measured.Load(); l != nil && !l.record(took) {
		s.measured.CompareAndSwap(l, nil)
	}
}

func (g *groups) latency(ids []core.GroupID) time.Duration {
	sum := hdrhistogram.New(latencyMin, latencyMax, latencyDigits)
	for _, id := range ids {
		s := g.get(id)
		if l := s.measured.Load(); l != nil {
			l.drain(sum)
		} else {
			s.measured.CompareAndSwap(nil, newLatency())
		}
	}
	if sum.TotalCount() == 0 {
		return 0
	}
	return time.Duration(sum.ValueAtQuantile(latencyQuantile)) * time.Microsecond
}
