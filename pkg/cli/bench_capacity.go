package cli

import (
	"context"
	"os"

	"limpetspan/pkg/bench/capacity"
)

// BenchCapacityCommand writes the capacity page.
type BenchCapacityCommand struct {
	Measurements string `arg:"--measurements" default:"docs/measurements" placeholder:"DIR" help:"directory of the measurement files"`
	Out          string `arg:"--out" default:"docs/CAPACITY.md" placeholder:"FILE" help:"the page"`
}

// Examples shows how the subcommand is used.
func (*BenchCapacityCommand) Examples() string {
	return `limpetspan bench capacity --out docs/CAPACITY.md`
}

// Run carries out the subcommand.
func (c *BenchCapacityCommand) Run(context.Context, *Env) error {
	m, err := capacity.Load(c.Measurements)
	if err != nil {
		return Failedf("%w", err)
	}
	if err := os.WriteFile(c.Out, []byte(capacity.Render(m)), 0o644); err != nil {
		return Failedf("capacity: %w", err)
	}
	return nil
}
