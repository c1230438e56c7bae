package cli

import (
	"context"
	"fmt"

	"limpetspan/pkg/bench/suite"
)

// BenchReportCommand runs all benches in short form.
type BenchReportCommand struct {
	Out     string `arg:"--out,required" placeholder:"DIR" help:"directory for reports, plots and the table"`
	Compare string `arg:"--compare" placeholder:"DIR" help:"directory of an earlier run to compare with"`
}

// Examples shows how the subcommand is used.
func (*BenchReportCommand) Examples() string {
	return `limpetspan bench report --out new --compare old`
}

// Run carries out the subcommand.
func (c *BenchReportCommand) Run(ctx context.Context, env *Env) error {
	err := suite.Run(ctx, suite.Options{Out: c.Out, Compare: c.Compare, Command: benchCommand(), Progress: env.Stderr})
	if err != nil {
		return Failedf("%w", err)
	}
	fmt.Fprintf(env.Stdout, "%s/%s\n", c.Out, suite.TableFile)
	return nil
}
