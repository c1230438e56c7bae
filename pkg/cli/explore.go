package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"limpetspan/core"
	"limpetspan/pkg/explore"
)

// ExploreCommand checks the decisions against a model.
type ExploreCommand struct {
	Seed      uint64        `arg:"--seed" default:"1" placeholder:"N" help:"first seed; each run takes the next one"`
	Runs      int           `arg:"--runs" default:"50" placeholder:"N" help:"number of runs"`
	Duration  time.Duration `arg:"--duration" default:"20s" placeholder:"D" help:"time of the model with faults in one run"`
	Faults    time.Duration `arg:"--fault-every" default:"700ms" placeholder:"D" help:"mean time of the model between faults"`
	Loss      int           `arg:"--loss" default:"10" placeholder:"N" help:"lost messages in a thousand"`
	Guards    bool          `arg:"--guards" help:"switch each guard off in turn and tell whether the exploration notices"`
	SwitchOff []string      `arg:"--switch-off,separate" placeholder:"GUARD" help:"switch a guard off; for testing the exploration"`
	Scenario  string        `arg:"--scenario" placeholder:"NAME" help:"write the trace of a named failure in place of a random run; \"list\" names them"`
	Trace     string        `arg:"--trace" placeholder:"FILE" help:"write the trace of one daemon of the first seed, for limpetspan replay"`
	Of        string        `arg:"--of" default:"d1" placeholder:"DAEMON" help:"the daemon whose trace is written: d1, d2 or d3"`
}

// Examples shows how the subcommand is used.
func (*ExploreCommand) Examples() string {
	return `limpetspan explore --runs 200 --json
limpetspan explore --guards --runs 100
limpetspan explore --scenario primary-crash --trace primary-crash.jsonl
limpetspan explore --seed 42 --runs 1 --trace d2.jsonl --of d2`
}

// Run carries out the subcommand.
func (c *ExploreCommand) Run(ctx context.Context, env *Env) error {
	disabled, err := explore.ParseGuards(c.SwitchOff)
	if err != nil {
		return Usagef("%w", err)
	}
	if c.Runs < 1 || c.Duration <= 0 || c.Faults <= 0 || c.Loss < 0 || c.Loss > 1000 {
		return Usagef("--runs, --duration and --fault-every are above zero, --loss from 0 to 1000")
	}
	o := explore.Options{Seed: c.Seed, Runs: c.Runs, Duration: c.Duration, FaultEvery: c.Faults, LossPerMille: c.Loss}
	o.Tuning.DisabledGuards = disabled
	o.Progress = func(done, total int) { fmt.Fprintf(env.Stderr, "\rexplored %d of %d", done, total) }
	defer fmt.Fprintln(env.Stderr)
	switch {
	case c.Scenario == "list":
		return c.listScenarios(env)
	case c.Scenario != "" && c.Trace == "":
		return Usagef("--scenario needs --trace FILE")
	case c.Trace != "":
		return c.writeTrace(o)
	case c.Guards:
		return c.proveGuards(ctx, env, o)
	}
	return c.explore(ctx, env, o)
}

func (c *ExploreCommand) explore(ctx context.Context, env *Env, o explore.Options) error {
	report := explore.Run(ctx, o)
	if env.JSON {
		if err := env.WriteJSON(report); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(env.Stdout, "%d runs, %d states, %d violations\n", report.Runs, report.States, len(report.Violations))
	}
	return explored(env, report.Violations, report.Runs, o.Runs)
}

// explored lists what an exploration found, and says how it has ended.
func explored(env *Env, violations []explore.SeedViolation, made, wanted int) error {
	if !env.JSON {
		for _, v := range violations {
			fmt.Fprintf(env.Stdout, "seed %d at %v: %s: %s\n", v.Seed, v.At, v.Promise, v.Detail)
		}
	}
	if len(violations) > 0 {
		return Failedf("a promise was broken in %d cases", len(violations))
	}
	if made < wanted {
		return Timeoutf("interrupted after %d of %d runs", made, wanted)
	}
	return nil
}

func (c *ExploreCommand) proveGuards(ctx context.Context, env *Env, o explore.Options) error {
	results := explore.ProveGuards(ctx, o)
	if env.JSON {
		return env.WriteJSON(results)
	}
	for _, r := range results {
		switch {
		case r.Caught:
			fmt.Fprintf(env.Stdout, "%-17s caught in run %d: %s\n", r.Guard, r.Runs, r.Violation.Promise)
		default:
			fmt.Fprintf(env.Stdout, "%-17s not noticed in %d runs\n", r.Guard, r.Runs)
		}
	}
	return nil
}

func (c *ExploreCommand) listScenarios(env *Env) error {
	if env.JSON {
		return env.WriteJSON(explore.ScenarioNames())
	}
	for _, name := range explore.ScenarioNames() {
		fmt.Fprintln(env.Stdout, name)
	}
	return nil
}

func (c *ExploreCommand) record(o explore.Options) ([][]byte, error) {
	if c.Scenario != "" {
		return explore.RecordScenario(c.Scenario, c.Seed, o.Tuning)
	}
	return explore.Trace(c.Seed, o, core.DaemonID(c.Of))
}

func (c *ExploreCommand) writeTrace(o explore.Options) error {
	lines, err := c.record(o)
	if err != nil {
		return Failedf("trace: %w", err)
	}
	if len(lines) < 2 {
		return Usagef("--of: no events of daemon %q", c.Of)
	}
	var data []byte
	for _, line := range lines {
		data = append(append(data, line...), '\n')
	}
	if err := os.WriteFile(c.Trace, data, 0o644); err != nil {
		return Failedf("trace: %w", err)
	}
	return nil
}
