package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"limpetspan/pkg/bench/overhead"
)

// BenchOverheadCommand measures what the way through a daemon adds.
type BenchOverheadCommand struct {
	Callers []int         `arg:"--callers" placeholder:"N" help:"numbers of callers [default: 1 16 64]"`
	Slice   time.Duration `arg:"--slice" default:"1s" placeholder:"D" help:"how long one way runs before the other"`
	Rounds  int           `arg:"--rounds" default:"5" placeholder:"N" help:"pairs of slices for each number of callers"`
	Profile string        `arg:"--cpu-profile" placeholder:"FILE" help:"write a CPU profile of a slice through the daemon"`
	Plot    string        `arg:"--plot" placeholder:"FILE" help:"draw the ratios"`
	Out     string        `arg:"--out" placeholder:"FILE" help:"write the JSON report to this file, too"`
}

// Examples shows how the subcommand is used.
func (*BenchOverheadCommand) Examples() string {
	return `limpetspan bench overhead --json
limpetspan bench overhead --callers 16 --cpu-profile cpu.pprof`
}

// Run carries out the subcommand.
func (c *BenchOverheadCommand) Run(ctx context.Context, env *Env) error {
	report, err := overhead.Measure(ctx, overhead.Options{Callers: c.Callers, Slice: c.Slice, Rounds: c.Rounds,
		Profile: c.Profile, Command: benchCommand(), Progress: env.Stderr})
	if err != nil {
		return Failedf("%w", err)
	}
	return writeReport(env, report, c.Out, c.Plot, func(w io.Writer) {
		for _, f := range report.Cases {
			fmt.Fprintf(w, "%d callers: ratio %.3f, p50 +%.0f us, p99 +%.0f us\n", f.Callers, f.ThroughputRatio, f.P50AddedUs, f.P99AddedUs)
		}
	})
}
