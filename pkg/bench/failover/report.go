package failover

import (
	"time"

	"limpetspan/pkg/bench/result"
)

// Report is the result of a measurement.
type Report struct {
	result.Head
	Profile string `json:"profile"`
	Runs    int    `json:"runs"`
	Callers int    `json:"callers"`
	Gaps
	// Faults are the gaps of each fault, with where they went.
	Faults []FaultReport `json:"faults"`
	Check
	// Writes were begun, Acknowledged of them were acknowledged, Refused
	// counts the answers "not run", Unknown the answers that leave open
	// whether the write ran, Unconfirmed the writes that ran without the
	// confirmation of a second member.
	Writes       int `json:"writes"`
	Acknowledged int `json:"acknowledged"`
	Refused      int `json:"refused"`
	Unknown      int `json:"unknown"`
	Unconfirmed  int `json:"unconfirmed"`
	// Errors counts the errors by SQLSTATE, outcome and step.
	Errors map[string]int `json:"errors,omitempty"`
	// Stalls are the longest times in which one caller got no acknowledgment.
	Stalls []Stall `json:"stalls"`
	// NotWhole counts the runs after which the group was not whole again in
	// time; the measurement ends with the first.
	NotWhole int `json:"not_whole"`
}

// Gaps are the gaps from the fault to the first write acknowledged again.
type Gaps struct {
	GapP50Ms float64 `json:"gap_p50_ms"`
	GapP99Ms float64 `json:"gap_p99_ms"`
	GapMaxMs float64 `json:"gap_max_ms"`
}

// FaultReport are the gaps of one fault.
type FaultReport struct {
	Fault Fault `json:"fault"`
	Gaps
	GapsMs []float64 `json:"gaps_ms"`
	// AllCallersMs is the median time until each caller had a write of after
	// the fault acknowledged.
	AllCallersMs float64 `json:"all_callers_p50_ms"`
}

// run is what one run gave.
type run struct {
	fault      Fault
	began      time.Time
	gap        time.Duration
	allCallers time.Duration
}

func gapsOf(gaps []time.Duration) Gaps {
	return Gaps{
		GapP50Ms: result.Milliseconds(result.Percentile(gaps, 0.5)),
		GapP99Ms: result.Milliseconds(result.Percentile(gaps, 0.99)),
		GapMaxMs: result.Milliseconds(result.Percentile(gaps, 1)),
	}
}

// summarize fills in the gaps.
func (r *Report) summarize(runs []run, faults []Fault) {
	var all []time.Duration
	for _, fault := range faults {
		var gaps, callers []time.Duration
		one := FaultReport{Fault: fault}
		for _, run := range runs {
			if run.fault != fault {
				continue
			}
			gaps, callers = append(gaps, run.gap), append(callers, run.allCallers)
			one.GapsMs = append(one.GapsMs, result.Milliseconds(run.gap))
		}
		one.Gaps = gapsOf(gaps)
		one.AllCallersMs = result.Milliseconds(result.Percentile(callers, 0.5))
		r.Faults = append(r.Faults, one)
		all = append(all, gaps...)
	}
	r.Runs, r.Gaps = len(runs), gapsOf(all)
}

// Plot draws the medians and maxima of the faults.
func (r *Report) Plot(file string) error {
	var bars []result.Bar
	for _, f := range r.Faults {
		bars = append(bars, result.Bar{Name: string(f.Fault) + " p50", Value: f.GapP50Ms}, result.Bar{Name: "max", Value: f.GapMaxMs})
	}
	return result.Bars(file, "Failover gap, "+r.Profile, "ms", bars)
}
