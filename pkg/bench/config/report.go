package config

import (
	"time"

	"limpetspan/pkg/bench/result"
)

// Report is the result of a measurement.
type Report struct {
	result.Head
	Daemons int `json:"daemons"`
	Changes int `json:"changes"`
	// StoreUp is the part with the store up, CutOff the one with daemons cut
	// off from it, of which Others were not cut off.
	StoreUp Times `json:"store_up"`
	CutOff  Times `json:"cut_off"`
	Others  Times `json:"others_during_cut"`
	// WatchersCutOff is with all Watchers, the daemons that watch the store,
	// cut off from it: times of all daemons.
	Watchers       int   `json:"watchers"`
	WatchersCutOff Times `json:"watchers_cut_off"`
	// FreshMs are the times from the start of a new daemon, the store being
	// down, until it answered a statement under the configuration in force.
	FreshMs []float64 `json:"fresh_start_store_down_ms"`
	// StoreCallsPerChange and StoreWritesPerChange are all calls in the part
	// with the store up, the editor's and those at rest included.
	StoreCallsPerChange  float64 `json:"store_calls_per_change"`
	StoreWritesPerChange float64 `json:"store_writes_per_change"`
	// Reverted counts the daemons seen going back; it must be 0.
	Reverted int `json:"reverted"`
	// Missed counts the daemons that did not follow a change in time.
	Missed int `json:"missed"`
}

// Times are from a change's acceptance to its being in force on one daemon.
type Times struct {
	Samples int     `json:"samples"`
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
	MaxMs   float64 `json:"max_ms"`
}

func timesOf(list []time.Duration) Times {
	return Times{
		Samples: len(list),
		P50Ms:   result.Milliseconds(result.Percentile(list, 0.5)),
		P99Ms:   result.Milliseconds(result.Percentile(list, 0.99)),
		MaxMs:   result.Milliseconds(result.Percentile(list, 1)),
	}
}

// Plot draws the parts.
func (r *Report) Plot(file string) error {
	var bars []result.Bar
	for _, part := range []struct {
		name  string
		times Times
	}{{"store up", r.StoreUp}, {"cut off", r.CutOff}, {"watchers cut off", r.WatchersCutOff}} {
		bars = append(bars, result.Bar{Name: part.name + " p50", Value: part.times.P50Ms},
			result.Bar{Name: "p99", Value: part.times.P99Ms}, result.Bar{Name: "max", Value: part.times.MaxMs})
	}
	return result.Bars(file, "Accepted to in force on a daemon", "ms", bars)
}
