package cli

import (
	"context"
	"fmt"
	"io"

	"limpetspan/pkg/bench/reducer"
)

// BenchReducerCommand measures the group reducer.
type BenchReducerCommand struct {
	Cycles int    `arg:"--cycles" default:"200000" placeholder:"N" help:"requests in a round"`
	Rounds int    `arg:"--rounds" default:"7" placeholder:"N" help:"rounds, of which the median counts"`
	Plot   string `arg:"--plot" placeholder:"FILE" help:"draw the rounds"`
	Out    string `arg:"--out" placeholder:"FILE" help:"write the JSON report to this file, too"`
}

// Examples shows how the subcommand is used.
func (*BenchReducerCommand) Examples() string {
	return `limpetspan bench reducer --json`
}

// Run carries out the subcommand.
func (c *BenchReducerCommand) Run(_ context.Context, env *Env) error {
	report, err := reducer.Measure(reducer.Options{Cycles: c.Cycles, Rounds: c.Rounds, Command: benchCommand()})
	if err != nil {
		return Failedf("%w", err)
	}
	return writeReport(env, report, c.Out, c.Plot, func(w io.Writer) {
		fmt.Fprintf(w, "%.0f ns and %.3f allocations per event\n", report.NsPerEvent, report.AllocsPerEvent)
	})
}
