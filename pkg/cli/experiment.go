package cli

import (
	"context"
	"fmt"
	"strings"

	"limpetspan/core/policy"
	"limpetspan/pkg/experiment"
)

// ExperimentCommand runs the platform daemon's decisions under a load pattern.
type ExperimentCommand struct {
	Pattern   string   `arg:"positional" placeholder:"PATTERN" help:"name of a pattern, or a file; without it all patterns are listed"`
	Seed      uint64   `arg:"--seed" default:"1" placeholder:"N" help:"first seed"`
	Seeds     int      `arg:"--seeds" default:"1" placeholder:"N" help:"number of seeds for a comparison"`
	SwitchOff []string `arg:"--switch-off,separate" placeholder:"NAME" help:"do without a mechanism; may be given several times"`
	Compare   bool     `arg:"--compare" help:"compare all mechanisms with those that --switch-off leaves; without it, each one in turn"`
	Plot      string   `arg:"--plot" placeholder:"FILE" help:"draw what callers got over time, as .svg, .png or .pdf"`
}

// Examples shows how the subcommand is used.
func (*ExperimentCommand) Examples() string {
	return `limpetspan experiment lagging-replicas --plot day.svg
limpetspan experiment calm --compare --switch-off place-by-load --seeds 8
limpetspan experiment power-loss --compare --seeds 8`
}

// Run carries out the subcommand.
func (c *ExperimentCommand) Run(_ context.Context, env *Env) error {
	if c.Pattern == "" {
		fmt.Fprintf(env.Stdout, "patterns: %s\nmechanisms: %s\n", strings.Join(experiment.Names(), ", "), strings.Join(policy.Names(), ", "))
		return nil
	}
	p, err := experiment.Load(c.Pattern)
	if err != nil {
		return Usagef("%w", err)
	}
	set, err := policy.All.Without(c.SwitchOff...)
	switch {
	case err != nil:
		return Usagef("%w", err)
	case c.Seeds < 1:
		return Usagef("--seeds is above zero")
	case c.Compare && len(c.SwitchOff) > 0:
		c.printHead(env)
		c.print(env, strings.Join(c.SwitchOff, " "), experiment.Compare(&p, policy.All, set, c.Seed, c.Seeds))
		return nil
	case c.Compare:
		return c.compareEach(env, &p)
	}
	r := experiment.Run(&p, set, c.Seed)
	if c.Plot != "" {
		if err := r.Plot(c.Plot); err != nil {
			return err
		}
	}
	if env.JSON {
		return env.WriteJSON(r)
	}
	fmt.Fprint(env.Stdout, r.Table())
	return nil
}

// compareEach tells what each mechanism is worth under the pattern.
func (c *ExperimentCommand) compareEach(env *Env, p *experiment.Pattern) error {
	c.printHead(env)
	for _, name := range policy.Names() {
		without, err := policy.All.Without(name)
		if err != nil {
			return err
		}
		c.print(env, name, experiment.Compare(p, policy.All, without, c.Seed, c.Seeds))
	}
	return nil
}

func (c *ExperimentCommand) printHead(env *Env) {
	fmt.Fprintf(env.Stdout, "with the mechanism, less without it; mean of %d seeds and its interval at 95 %%\n", c.Seeds)
	fmt.Fprintf(env.Stdout, "%-24s %18s %18s %18s %18s\n", "mechanism", "value", "in another zone", "refused late", "conns refused")
}

func (c *ExperimentCommand) print(env *Env, name string, d experiment.Differences) {
	fmt.Fprintf(env.Stdout, "%-24s %+9.4f ± %.4f %+9.4f ± %.4f %+9.4f ± %.4f %+9.1f ± %.1f\n", name,
		d.Value.Mean, d.Value.Interval, d.Crossings.Mean, d.Crossings.Interval, d.HeldTooLong.Mean, d.HeldTooLong.Interval,
		d.Resets.Mean, d.Resets.Interval)
}
