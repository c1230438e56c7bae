package record

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the longest latency that the histograms can hold.
const maxLatency = time.Minute

// Row summarizes one window.
type Row struct {
	From    time.Duration `json:"from"`
	Served  int           `json:"served"`
	NotRun  int           `json:"not_run"`
	Unknown int           `json:"unknown"`
	P50     time.Duration `json:"p50"`
	P99     time.Duration `json:"p99"`
	// Faults are the faults that began or ended in the window.
	Faults []string `json:"faults,omitempty"`

	latencies *hdrhistogram.Histogram
}

// Summary summarizes a whole run.
type Summary struct {
	Window time.Duration `json:"window"`
	Rows   []Row         `json:"rows"`
	Total  Row           `json:"total"`
	// Gap is the longest time without a served write, from the start of the run or from a
	// served write to the next one. It ended at GapEnd.
	Gap    time.Duration `json:"gap"`
	GapEnd time.Duration `json:"gap_end"`
	// ReplicaReads is the share of served reads that replicas answered.
	ReplicaReads float64 `json:"replica_reads"`
}

// Summarize summarizes the events by windows.
func Summarize(events []Event, window time.Duration) Summary {
	s := Summary{Window: window, Total: newRow(0)}
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.AtUS, b.AtUS) })
	var lastWrite time.Duration
	reads, replicas := 0, 0
	for _, e := range events {
		at := time.Duration(e.AtUS) * time.Microsecond
		for time.Duration(len(s.Rows))*window <= at {
			s.Rows = append(s.Rows, newRow(time.Duration(len(s.Rows))*window))
		}
		row := &s.Rows[len(s.Rows)-1]
		row.add(e)
		s.Total.add(e)
		if e.Kind != Statement || e.Outcome != Served {
			continue
		}
		if e.Read {
			reads++
			if e.Replica {
				replicas++
			}
			continue
		}
		if gap := at - lastWrite; gap > s.Gap {
			s.Gap, s.GapEnd = gap, at
		}
		lastWrite = at
	}
	for i := range s.Rows {
		s.Rows[i].computePercentiles()
	}
	s.Total.computePercentiles()
	if reads > 0 {
		s.ReplicaReads = float64(replicas) / float64(reads)
	}
	return s
}

func newRow(from time.Duration) Row {
	// Values are in microseconds. Two significant digits keep each within 1 %.
	return Row{From: from, latencies: hdrhistogram.New(1, maxLatency.Microseconds(), 2)}
}

func (r *Row) add(e Event) {
	if e.Kind == Fault {
		r.Faults = append(r.Faults, e.Text)
		return
	}
	switch e.Outcome {
	case Served:
		r.Served++
		// A longer latency counts as maxLatency.
		_ = r.latencies.RecordValue(min(max(1, e.LatencyUS), maxLatency.Microseconds()))
	case NotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
}

func (r *Row) computePercentiles() {
	r.P50 = time.Duration(r.latencies.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(r.latencies.ValueAtQuantile(99)) * time.Microsecond
}
