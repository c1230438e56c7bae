package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"limpetspan/pkg/bench/takeover"
)

// BenchTakeoverCommand measures a take-over while callers work.
type BenchTakeoverCommand struct {
	Records int           `arg:"--records" default:"200000" placeholder:"N" help:"records that move"`
	Daemons int           `arg:"--daemons" default:"4" placeholder:"N" help:"daemons of the fleet"`
	Callers int           `arg:"--callers" default:"8" placeholder:"N" help:"callers that read and write"`
	Buckets int           `arg:"--buckets" default:"256" placeholder:"N" help:"buckets of the take-over"`
	Calm    time.Duration `arg:"--calm" default:"10s" placeholder:"D" help:"how long the callers work without a take-over, before and after it"`
	Limit   time.Duration `arg:"--limit" default:"60s" placeholder:"D" help:"how long the take-over may take; it is paused then"`
	Faults  []string      `arg:"--faults" placeholder:"FAULT" help:"worker, store, source, destination: what fails while the records move, one after the other"`
	Plot    string        `arg:"--plot" placeholder:"FILE" help:"draw the latencies"`
	Out     string        `arg:"--out" placeholder:"FILE" help:"write the JSON report to this file, too"`
	Log     string        `arg:"--log" placeholder:"FILE" help:"write the daemons' log to this file"`
}

// Examples shows how the subcommand is used.
func (*BenchTakeoverCommand) Examples() string {
	return `limpetspan bench takeover --json --records 200000
limpetspan bench takeover --json --faults worker,store,source,destination`
}

// Run carries out the subcommand; a broken promise is a failure.
func (c *BenchTakeoverCommand) Run(ctx context.Context, env *Env) error {
	options := takeover.Options{Records: c.Records, Daemons: c.Daemons, Callers: c.Callers, Buckets: c.Buckets,
		Calm: c.Calm, Limit: c.Limit, Command: benchCommand(), Progress: env.Stderr}
	for _, f := range splitLists(c.Faults) {
		options.Faults = append(options.Faults, takeover.Fault(f))
	}
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			return Failedf("log: %w", err)
		}
		defer file.Close()
		options.Log = file
	}
	report, err := takeover.Measure(ctx, options)
	if err != nil {
		return Failedf("%w", err)
	}
	return writeReport(env, report, c.Out, c.Plot, func(w io.Writer) {
		fmt.Fprintf(w, "%d of %d records moved, %.0f a second; callers' p99 %.1f ms, without %.1f ms; longest pause %.0f ms\n",
			report.Moved, report.Records, report.RecordsPS, report.P99WithMs, report.P99WithoutMs, report.PauseMaxMs)
		fmt.Fprintf(w, "lost %d, doubled %d, misrouted %d, repeated %d, stale %d; %d writes to the store\n",
			report.Lost, report.Doubled, report.Misrouted, report.OnceRepeated, report.Stale, report.StoreWrites)
	})
}
