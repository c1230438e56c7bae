package cli

import (
	"context"
	"fmt"

	"limpetspan/core/config"
	"limpetspan/pkg/cli/configfile"
)

// ConfigGetCommand prints the configuration.
type ConfigGetCommand struct {
	Revision uint64 `arg:"--revision" placeholder:"N" help:"an earlier revision, as far as the history goes back"`
}

// Examples are shown in the help.
func (*ConfigGetCommand) Examples() string {
	return "limpetspan config get --store http://10.0.0.1:2379 > fleet.ini\nlimpetspan config get --revision 41 --json"
}

// Run carries out the subcommand.
func (c *ConfigGetCommand) Run(ctx context.Context, env *Env) error {
	editor, err := env.editor()
	if err != nil {
		return err
	}
	doc, err := editor.Load(ctx)
	if err != nil {
		return err
	}
	if c.Revision > 0 {
		if doc, err = editor.At(ctx, doc, config.Revision(c.Revision)); err != nil {
			return err
		}
	}
	if env.JSON {
		return env.WriteJSON(doc)
	}
	_, err = fmt.Fprint(env.Stdout, configfile.Format(doc))
	return err
}
