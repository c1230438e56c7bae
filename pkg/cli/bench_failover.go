package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"limpetspan/pkg/bench/failover"
	"limpetspan/pkg/bench/profile"
)

// BenchFailoverCommand measures the failover gap.
type BenchFailoverCommand struct {
	Profile  string   `arg:"--profile" default:"kitacycle" placeholder:"NAME" help:"kitacycle or auction"`
	Runs     int      `arg:"--runs" default:"20" placeholder:"N" help:"number of runs, which take the faults in turn"`
	Faults   []string `arg:"--faults" placeholder:"FAULT" help:"crash, partition, isolated, pause, store-down, home-killed [default: all]"`
	Callers  int      `arg:"--callers" default:"8" placeholder:"N" help:"callers that write"`
	Plot     string   `arg:"--plot" placeholder:"FILE" help:"draw the gaps"`
	Out      string   `arg:"--out" placeholder:"FILE" help:"write the JSON report to this file, too"`
	Log      string   `arg:"--log" placeholder:"FILE" help:"write the daemons' log to this file"`
	LogLevel string   `arg:"--log-level" default:"info" placeholder:"LEVEL" help:"level of the daemons' log"`
}

// Examples shows how the subcommand is used.
func (*BenchFailoverCommand) Examples() string {
	return `limpetspan bench failover --profile kitacycle --json
limpetspan bench failover --profile auction --runs 8 --faults crash,pause --plot gaps.png`
}

// Run carries out the subcommand.
func (c *BenchFailoverCommand) Run(ctx context.Context, env *Env) error {
	p, err := profile.Named(c.Profile)
	if err != nil {
		return Usagef("%w", err)
	}
	options := failover.Options{Profile: p, Runs: c.Runs, Callers: c.Callers, Command: benchCommand(), Progress: env.Stderr, LogLevel: c.LogLevel}
	for _, f := range splitLists(c.Faults) {
		options.Faults = append(options.Faults, failover.Fault(f))
	}
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			return Failedf("log: %w", err)
		}
		defer file.Close()
		options.Log = file
	}
	report, err := failover.Measure(ctx, options)
	if err != nil {
		return Failedf("%w", err)
	}
	return writeReport(env, report, c.Out, c.Plot, func(w io.Writer) {
		fmt.Fprintf(w, "gap p50 %.0f ms, p99 %.0f ms, max %.0f ms over %d runs\n", report.GapP50Ms, report.GapP99Ms, report.GapMaxMs, report.Runs)
		fmt.Fprintf(w, "%d of %d writes acknowledged; lost %d, by a replaced primary %d, doubled %d\n",
			report.Acknowledged, report.Writes, report.LostAcknowledged, report.AcknowledgedByReplaced, report.Doubled)
	})
}
