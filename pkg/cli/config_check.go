package cli

import (
	"context"
	"fmt"

	"limpetspan/core/config"
)

// ConfigCheckCommand checks a configuration file.
type ConfigCheckCommand struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"configuration file, - for standard input"`
}

// Examples are shown in the help.
func (*ConfigCheckCommand) Examples() string {
	return "limpetspan config check fleet.ini\nlimpetspan config check fleet.ini --store http://10.0.0.1:2379"
}

// checkResult is the JSON form of a file that passed.
type checkResult struct {
	OK bool `json:"ok"`
	// Revision and Change say what applying the file would do, when a store is given.
	Revision config.Revision `json:"revision,omitempty"`
	Change   *config.Change  `json:"change,omitempty"`
}

// Run checks the file by itself and, when a store is given, against what is in
// force, and shows what applying it would change.
func (c *ConfigCheckCommand) Run(ctx context.Context, env *Env) error {
	file, err := readFile(env, c.File)
	if err != nil {
		return err
	}
	if len(env.Endpoints) == 0 {
		return c.checkAlone(env, file)
	}
	current, err := env.document(ctx)
	if err != nil {
		return err
	}
	after := withProgress(file, current)
	if err := config.CheckChange(current, after); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if _, err := splitSteps(current, after); err != nil {
		return err
	}
	change := config.Diff(current, after)
	if env.JSON {
		return env.WriteJSON(checkResult{OK: true, Revision: current.Revision, Change: &change})
	}
	text := config.Describe(current, &change)
	if text == "" {
		text = "nothing would change"
	}
	_, err = fmt.Fprintf(env.Stdout, "%s is good; against revision %d:\n%s\n", c.File, current.Revision, indent(text))
	return err
}

func (c *ConfigCheckCommand) checkAlone(env *Env, file *config.Document) error {
	if err := config.Check(file); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if env.JSON {
		return env.WriteJSON(checkResult{OK: true})
	}
	_, err := fmt.Fprintf(env.Stdout, "%s is good by itself; give --store to check it against what is in force\n", c.File)
	return err
}
