package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"limpetspan/pkg/bench/home"
)

// BenchHomeCommand measures what a group at rest costs its candidates.
type BenchHomeCommand struct {
	Few    int           `arg:"--few" default:"2" placeholder:"N" help:"groups of the smaller fleet"`
	Many   int           `arg:"--many" default:"12" placeholder:"N" help:"groups of the larger fleet"`
	Window time.Duration `arg:"--window" default:"8s" placeholder:"D" help:"length of each part"`
	Plot   string        `arg:"--plot" placeholder:"FILE" help:"draw the figures"`
	Out    string        `arg:"--out" placeholder:"FILE" help:"write the JSON report to this file, too"`
}

// Examples shows how the subcommand is used.
func (*BenchHomeCommand) Examples() string {
	return `limpetspan bench home --json`
}

// Run carries out the subcommand.
func (c *BenchHomeCommand) Run(ctx context.Context, env *Env) error {
	report, err := home.Measure(ctx, home.Options{Few: c.Few, Many: c.Many, Window: c.Window, Command: benchCommand(), Progress: env.Stderr})
	if err != nil {
		return Failedf("%w", err)
	}
	return writeReport(env, report, c.Out, c.Plot, func(w io.Writer) {
		fmt.Fprintf(w, "per group and candidate: %.3f %% of a core, %.0f bytes/s, %.1f messages/s, %.0f bytes of heap\n",
			report.CPUPercentOfCore, report.BytesPerS, report.MessagesPerS, report.HeapBytes)
	})
}
