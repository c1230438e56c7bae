package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"limpetspan/pkg/bench/profile"
	"limpetspan/pkg/bench/reads"
)

// BenchReadsCommand measures the share of reads served by replicas.
type BenchReadsCommand struct {
	Profile string        `arg:"--profile" default:"auction" placeholder:"NAME" help:"kitacycle or auction"`
	Slice   time.Duration `arg:"--slice" default:"3s" placeholder:"D" help:"how long one policy runs before the next"`
	Rounds  int           `arg:"--rounds" default:"2" placeholder:"N" help:"slices of each policy in each scenario"`
	Plot    string        `arg:"--plot" placeholder:"FILE" help:"draw the shares"`
	Out     string        `arg:"--out" placeholder:"FILE" help:"write the JSON report to this file, too"`
}

// Examples shows how the subcommand is used.
func (*BenchReadsCommand) Examples() string {
	return `limpetspan bench reads --profile auction --json --plot shares.png`
}

// Run carries out the subcommand.
func (c *BenchReadsCommand) Run(ctx context.Context, env *Env) error {
	p, err := profile.Named(c.Profile)
	if err != nil {
		return Usagef("%w", err)
	}
	report, err := reads.Measure(ctx, reads.Options{Profile: p, Slice: c.Slice, Rounds: c.Rounds, Command: benchCommand(), Progress: env.Stderr})
	if err != nil {
		return Failedf("%w", err)
	}
	return writeReport(env, report, c.Out, c.Plot, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %.3f of %d reads by replicas, %d stale, p50 %.1f ms, p99 %.1f ms\n",
			reads.Tracked, report.ReplicaShare, report.Reads, report.StaleReads, report.P50Ms, report.P99Ms)
		for _, b := range report.Baselines {
			fmt.Fprintf(w, "%s: %.3f, %d stale, p50 %.1f ms, p99 %.1f ms\n", b.Policy, b.ReplicaShare, b.StaleReads, b.P50Ms, b.P99Ms)
		}
	})
}
