package overhead

import (
	"fmt"

	"limpetspan/pkg/bench/result"
)

// Report is the result of a measurement.
type Report struct {
	result.Head
	// CPU says how the processor time was told apart.
	CPU   string   `json:"cpu_method"`
	Cases []Figure `json:"cases"`
}

const cpuMethod = "processor time of the whole process per statement, through the daemon less direct"

// Figure is the comparison for one number of callers. Each value is the median
// over the rounds.
type Figure struct {
	Callers int `json:"callers"`
	// DirectPerS and ProxyPerS are statements per second.
	DirectPerS      float64 `json:"direct_per_s"`
	ProxyPerS       float64 `json:"proxy_per_s"`
	ThroughputRatio float64 `json:"throughput_ratio"`
	// RelayPerS is the rate through a relay that only passes bytes on, which
	// is the most that any program in between reaches; RatioToRelay compares
	// the daemon with it.
	RelayPerS    float64 `json:"relay_per_s"`
	RatioToRelay float64 `json:"ratio_to_relay"`
	// RelayCPUPerStatementUs is the relay's processor time per statement.
	RelayCPUPerStatementUs float64 `json:"relay_cpu_us_per_statement"`
	DirectP50Us            float64 `json:"direct_p50_us"`
	P50AddedUs             float64 `json:"p50_added_us"`
	P99AddedUs             float64 `json:"p99_added_us"`
	// CPUPerStatementUs is a daemon's; DirectCPUPerStatementUs is what callers
	// and stand-in take for a statement without it.
	CPUPerStatementUs       float64 `json:"cpu_us_per_statement"`
	DirectCPUPerStatementUs float64 `json:"direct_cpu_us_per_statement"`
	Failed                  int     `json:"failed"`
}

// round is a slice of each way, one after the other.
type round struct{ direct, relay, proxy slice }

// figure takes the medians over the rounds.
func figure(callers int, rounds []round) Figure {
	median := func(of func(round) float64) float64 {
		var values []float64
		for _, p := range rounds {
			values = append(values, of(p))
		}
		return result.Median(values)
	}
	f := Figure{
		Callers:                 callers,
		DirectPerS:              median(func(p round) float64 { return p.direct.rate() }),
		ProxyPerS:               median(func(p round) float64 { return p.proxy.rate() }),
		ThroughputRatio:         median(func(p round) float64 { return p.proxy.rate() / p.direct.rate() }),
		RelayPerS:               median(func(p round) float64 { return p.relay.rate() }),
		RatioToRelay:            median(func(p round) float64 { return p.proxy.rate() / p.relay.rate() }),
		RelayCPUPerStatementUs:  median(func(p round) float64 { return p.relay.cpuPerStatement() - p.direct.cpuPerStatement() }),
		DirectP50Us:             median(func(p round) float64 { return p.direct.percentile(0.5) }),
		P50AddedUs:              median(func(p round) float64 { return p.proxy.percentile(0.5) - p.direct.percentile(0.5) }),
		P99AddedUs:              median(func(p round) float64 { return p.proxy.percentile(0.99) - p.direct.percentile(0.99) }),
		CPUPerStatementUs:       median(func(p round) float64 { return p.proxy.cpuPerStatement() - p.direct.cpuPerStatement() }),
		DirectCPUPerStatementUs: median(func(p round) float64 { return p.direct.cpuPerStatement() }),
	}
	for _, p := range rounds {
		f.Failed += p.direct.failed + p.relay.failed + p.proxy.failed
	}
	return f
}

// Plot draws the ratios.
func (r *Report) Plot(file string) error {
	var bars []result.Bar
	for _, f := range r.Cases {
		bars = append(bars, result.Bar{Name: fmt.Sprintf("%d callers", f.Callers), Value: f.ThroughputRatio})
	}
	return result.Bars(file, "Throughput through the daemon against direct", "ratio", bars)
}
