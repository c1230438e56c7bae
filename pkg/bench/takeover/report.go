package takeover

import (
	"limpetspan/pkg/bench/result"
)

// Report is the result of a measurement.
type Report struct {
	result.Head
	Daemons int     `json:"daemons"`
	Callers int     `json:"callers"`
	Buckets int     `json:"buckets"`
	Faults  []Fault `json:"faults,omitempty"`
	// Records there were, Moved of them had been moved at the end, in Seconds.
	// Complete: the take-over ended by itself within the limit.
	Records    int     `json:"records"`
	Moved      int     `json:"moved"`
	Complete   bool    `json:"complete"`
	Seconds    float64 `json:"seconds"`
	RecordsPS  float64 `json:"records_per_s"`
	Requests   int     `json:"requests_during"`
	RequestsPS float64 `json:"requests_per_s_during"`
	// Latencies of callers' requests; the ones without a take-over are of
	// before and after it together.
	P50WithoutMs float64 `json:"caller_p50_ms_without"`
	P50WithMs    float64 `json:"caller_p50_ms_with"`
	P99BeforeMs  float64 `json:"caller_p99_ms_before"`
	P99AfterMs   float64 `json:"caller_p99_ms_after"`
	P99WithoutMs float64 `json:"caller_p99_ms_without"`
	P99WithMs    float64 `json:"caller_p99_ms_with"`
	P99Ratio     float64 `json:"caller_p99_ratio"`
	MaxWithoutMs float64 `json:"caller_max_ms_without"`
	MaxWithMs    float64 `json:"caller_max_ms_with"`
	// Pauses are the times of the requests whose record moved under them.
	PauseSamples int     `json:"pause_samples"`
	PauseP99Ms   float64 `json:"pause_ms_p99"`
	PauseMaxMs   float64 `json:"pause_ms_max"`
	// WorkerPauseMaxMs is the longest time from a hold to its flip by the
	// working daemon, Batches and Aborted its batches flipped and given up.
	WorkerPauseMaxMs float64 `json:"worker_pause_ms_max"`
	Batches          int     `json:"batches"`
	Aborted          int     `json:"aborted"`
	Blocked          []int   `json:"blocked,omitempty"`
	StoreWrites      int64   `json:"store_writes"`
	StoreWritesPS    float64 `json:"store_writes_per_s"`
	Check
	// Errors counts the errors that callers were told while the records moved.
	Errors map[string]int `json:"errors,omitempty"`
	// Events are the faults and when they happened, in seconds.
	Events []string `json:"events,omitempty"`
}

// Plot draws the callers' latency.
func (r *Report) Plot(file string) error {
	return result.Bars(file, "Callers' latency and a take-over", "ms", []result.Bar{
		{Name: "p99 before", Value: r.P99BeforeMs}, {Name: "p99 with", Value: r.P99WithMs},
		{Name: "p99 after", Value: r.P99AfterMs}, {Name: "pause max", Value: r.PauseMaxMs},
	})
}
