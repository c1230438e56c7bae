package cli

import (
	"context"
	"fmt"
	"io"

	"limpetspan/pkg/bench/idle"
)

// BenchIdleCommand measures the memory of idle caller connections.
type BenchIdleCommand struct {
	Connections int    `arg:"--connections" default:"10000" placeholder:"N" help:"idle caller connections; fewer where the limit of open files asks for it"`
	Plot        string `arg:"--plot" placeholder:"FILE" help:"draw the parts"`
	Out         string `arg:"--out" placeholder:"FILE" help:"write the JSON report to this file, too"`
}

// Examples shows how the subcommand is used.
func (*BenchIdleCommand) Examples() string {
	return `limpetspan bench idle --connections 10000 --json`
}

// Run carries out the subcommand.
func (c *BenchIdleCommand) Run(ctx context.Context, env *Env) error {
	report, err := idle.Measure(ctx, idle.Options{Connections: c.Connections, Command: benchCommand(), Progress: env.Stderr})
	if err != nil {
		return Failedf("%w", err)
	}
	return writeReport(env, report, c.Out, c.Plot, func(w io.Writer) {
		fmt.Fprintf(w, "%d connections: %.0f bytes each\n", report.Connections, report.BytesPerConnection)
	})
}
