package cli

import (
	"context"
	"fmt"

	"limpetspan/core/config"
)

// ConfigRevertCommand goes back to an earlier configuration as a new revision.
type ConfigRevertCommand struct {
	Revision uint64 `arg:"positional,required" placeholder:"N" help:"the revision whose content is to be in force again"`
	ChangeOptions
}

// Examples are shown in the help.
func (*ConfigRevertCommand) Examples() string {
	return "limpetspan config revert 41 --reason \"third hall was too early\" --wait --daemon 10.0.0.7:7434"
}

// Run carries out the subcommand. The progress of take-overs does not go back.
func (c *ConfigRevertCommand) Run(ctx context.Context, env *Env) error {
	editor, err := env.editor()
	if err != nil {
		return err
	}
	if c.Reason == "" {
		c.Reason = fmt.Sprintf("revert to revision %d", c.Revision)
	}
	return change(ctx, env, c.ChangeOptions, func(current *config.Document) (*config.Document, error) {
		before, err := editor.At(ctx, current, config.Revision(c.Revision))
		if err != nil {
			return nil, err
		}
		return withProgress(before, current), nil
	})
}
