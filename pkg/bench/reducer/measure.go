package reducer

import (
	"fmt"
	"runtime"
	"time"

	"limpetspan/pkg/bench/result"
)

const (
	// DefaultCycles is the number of requests in a round.
	DefaultCycles = 200_000
	// DefaultRounds is the number of rounds of which the median counts.
	DefaultRounds = 7
	warmUpCycles  = 20_000
)

// Options of a measurement.
type Options struct {
	Cycles, Rounds int
	Command        string
}

// Report is the result of a measurement.
type Report struct {
	result.Head
	// NsPerEvent is the median of the rounds.
	NsPerEvent     float64   `json:"ns_per_event"`
	AllocsPerEvent float64   `json:"allocs_per_event"`
	Events         int       `json:"events"`
	RoundsNs       []float64 `json:"rounds_ns_per_event"`
	// ReplicaReads of all Requests were served by replicas.
	Requests     int    `json:"requests"`
	ReplicaReads uint64 `json:"replica_reads"`
}

// Measure carries out a measurement.
func Measure(o Options) (*Report, error) {
	if o.Cycles <= 0 {
		o.Cycles = DefaultCycles
	}
	if o.Rounds <= 0 {
		o.Rounds = DefaultRounds
	}
	report := &Report{Head: result.Begin(o.Command)}
	d := newDriver()
	if err := d.start(); err != nil {
		return nil, fmt.Errorf("reducer: %w", err)
	}
	i := 0
	for ; i < warmUpCycles; i++ {
		d.cycle(i)
	}
	d.events = 0
	before := mallocs()
	for range o.Rounds {
		events, began := d.events, time.Now()
		for end := i + o.Cycles; i < end; i++ {
			d.cycle(i)
		}
		report.RoundsNs = append(report.RoundsNs, float64(time.Since(began))/float64(d.events-events))
	}
	report.AllocsPerEvent = float64(mallocs()-before) / float64(d.events)
	report.NsPerEvent, report.Events, report.Requests = result.Median(report.RoundsNs), d.events, i
	if err := report.served(d); err != nil {
		return nil, err
	}
	report.End()
	return report, nil
}

// served checks that the reducer did what it is measured for.
func (r *Report) served(d *driver) error {
	s := d.g.Snapshot()
	r.ReplicaReads = uint64(s.Counters.ReadsReplica)
	if s.Counters.Failed > 0 || s.Requests > 0 || r.ReplicaReads == 0 {
		return fmt.Errorf("reducer: the load is not served as meant: %+v", s.Counters)
	}
	return nil
}

func mallocs() uint64 {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.Mallocs
}

// Plot draws the rounds.
func (r *Report) Plot(file string) error {
	var bars []result.Bar
	for i, ns := range r.RoundsNs {
		bars = append(bars, result.Bar{Name: fmt.Sprint(i + 1), Value: ns})
	}
	return result.Bars(file, "Group reducer, steady state", "ns per event", bars)
}
