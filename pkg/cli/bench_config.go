package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"limpetspan/pkg/bench/config"
)

// BenchConfigCommand measures how fast changes of the configuration are in force.
type BenchConfigCommand struct {
	Daemons int    `arg:"--daemons" default:"8" placeholder:"N" help:"daemons of the fleet"`
	Changes int    `arg:"--changes" default:"200" placeholder:"N" help:"changes with the store up, and as many with daemons cut off from it"`
	Starts  int    `arg:"--starts" default:"5" placeholder:"N" help:"daemons that start while the store is down"`
	Plot    string `arg:"--plot" placeholder:"FILE" help:"draw the times"`
	Out     string `arg:"--out" placeholder:"FILE" help:"write the JSON report to this file, too"`
	Log     string `arg:"--log" placeholder:"FILE" help:"write the daemons' log to this file"`
}

// Examples shows how the subcommand is used.
func (*BenchConfigCommand) Examples() string {
	return `limpetspan bench config --json --daemons 8 --changes 200`
}

// Run carries out the subcommand.
func (c *BenchConfigCommand) Run(ctx context.Context, env *Env) error {
	options := config.Options{Daemons: c.Daemons, Changes: c.Changes, Starts: c.Starts, Command: benchCommand(), Progress: env.Stderr}
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			return Failedf("log: %w", err)
		}
		defer file.Close()
		options.Log = file
	}
	report, err := config.Measure(ctx, options)
	if err != nil {
		return Failedf("%w", err)
	}
	return writeReport(env, report, c.Out, c.Plot, func(w io.Writer) {
		fmt.Fprintf(w, "store up: p50 %.0f ms, p99 %.0f ms, max %.0f ms; cut off from it: p50 %.0f ms, p99 %.0f ms, max %.0f ms\n",
			report.StoreUp.P50Ms, report.StoreUp.P99Ms, report.StoreUp.MaxMs, report.CutOff.P50Ms, report.CutOff.P99Ms, report.CutOff.MaxMs)
		fmt.Fprintf(w, "started with the store down, serving after %.0f ms; reverted %d, missed %d\n", report.FreshMs, report.Reverted, report.Missed)
	})
}
