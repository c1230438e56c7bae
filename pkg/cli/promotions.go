package cli

import (
	"context"
	"fmt"
	"time"

	"limpetspan/pkg/explore/promotions"
)

// PromotionsCommand checks the changes of primaries on the platform against a model.
type PromotionsCommand struct {
	Seed      uint64        `arg:"--seed" default:"1" placeholder:"N" help:"first seed; each run takes the next one"`
	Runs      int           `arg:"--runs" default:"100" placeholder:"N" help:"number of runs"`
	Duration  time.Duration `arg:"--duration" default:"30s" placeholder:"D" help:"time of the model with faults in one run"`
	Faults    time.Duration `arg:"--fault-every" default:"700ms" placeholder:"D" help:"mean time of the model between faults"`
	Sync      bool          `arg:"--sync" help:"commits wait for one replica"`
	Crowded   bool          `arg:"--crowded" help:"members have at times no room for orders"`
	Restores  bool          `arg:"--restores" help:"the store comes back from older copies of itself"`
	Splits    bool          `arg:"--splits" help:"replicas return while the primary and some daemons are cut off"`
	Pairs     bool          `arg:"--pairs" help:"with --splits: a replica is cut off with the primary at times"`
	Guards    bool          `arg:"--guards" help:"switch each guard off in turn and tell whether the exploration notices"`
	SwitchOff []string      `arg:"--switch-off,separate" placeholder:"GUARD" help:"switch a guard off; for testing the exploration"`
	Trace     bool          `arg:"--trace" help:"write what happens in the first seed's run"`
}

// Examples shows how the subcommand is used.
func (*PromotionsCommand) Examples() string {
	return `limpetspan promotions --runs 500 --json
limpetspan promotions --guards --runs 1500
limpetspan promotions --seed 42 --trace`
}

// Run carries out the subcommand.
func (c *PromotionsCommand) Run(ctx context.Context, env *Env) error {
	o := promotions.Options{Seed: c.Seed, Runs: c.Runs, Duration: c.Duration, FaultEvery: c.Faults, Sync: c.Sync, Crowded: c.Crowded, Restores: c.Restores, Splits: c.Splits, Pairs: c.Pairs}
	if c.Runs < 1 || c.Duration <= 0 || c.Faults <= 0 {
		return Usagef("--runs, --duration and --fault-every are above zero")
	}
	if err := o.SwitchOff(c.SwitchOff...); err != nil {
		return Usagef("%w", err)
	}
	switch {
	case c.Guards:
		return c.proveGuards(ctx, env, o)
	case c.Trace:
		o.Runs = 1
		o.Trace = func(line string) { fmt.Fprintln(env.Stdout, line) }
	}
	return c.explore(ctx, env, o)
}

func (c *PromotionsCommand) explore(ctx context.Context, env *Env, o promotions.Options) error {
	report := promotions.Run(ctx, o)
	if env.JSON {
		if err := env.WriteJSON(report); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(env.Stdout, "%d runs, %d faults, %d promotions, %d commits, %d violations\n", report.Runs,
			report.Counts["faults"], report.Counts["promotions"], report.Counts["acknowledged"], len(report.Violations))
	}
	return explored(env, report.Violations, report.Runs, o.Runs)
}

func (c *PromotionsCommand) proveGuards(ctx context.Context, env *Env, o promotions.Options) error {
	results := promotions.ProveGuards(ctx, o)
	if env.JSON {
		return env.WriteJSON(results)
	}
	for _, r := range results {
		if r.Violation == nil {
			fmt.Fprintf(env.Stdout, "%-17s not noticed in %d runs\n", r.Guard, r.Runs)
			continue
		}
		fmt.Fprintf(env.Stdout, "%-17s caught with seed %d: %s\n", r.Guard, r.Violation.Seed, r.Violation.Promise)
	}
	return nil
}
