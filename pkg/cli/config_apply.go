package cli

import (
	"context"
	"fmt"

	"limpetspan/core/config"
	"limpetspan/pkg/confstore"
)

// ConfigApplyCommand brings a configuration file in force.
type ConfigApplyCommand struct {
	File   string `arg:"positional,required" placeholder:"FILE" help:"configuration file, - for standard input"`
	Rebase bool   `arg:"--rebase" help:"apply the file's changes also on a newer revision than it was made from, unless both touch the same entry"`
	ChangeOptions
}

// Examples are shown in the help.
func (*ConfigApplyCommand) Examples() string {
	return `limpetspan config apply fleet.ini --wait --timeout 20s --daemon 10.0.0.7:7434
limpetspan config get > fleet.ini; $EDITOR fleet.ini; limpetspan config apply fleet.ini --reason "third hall"`
}

// Run carries out the subcommand.
func (c *ConfigApplyCommand) Run(ctx context.Context, env *Env) error {
	file, err := readFile(env, c.File)
	if err != nil {
		return err
	}
	if file.Revision == 0 {
		fmt.Fprintln(env.Stderr, "the file names no revision: it replaces whatever is in force")
	}
	editor, err := env.editor()
	if err != nil {
		return err
	}
	return change(ctx, env, c.ChangeOptions, func(current *config.Document) (*config.Document, error) {
		if file.Revision == 0 || file.Revision == current.Revision {
			return withProgress(file, current), nil
		}
		return c.merge(ctx, editor, file, current)
	})
}

// merge brings the changes that the file makes to its own revision over to a
// later one. Without it an edit that took the operator ten minutes would undo
// what others changed meanwhile.
func (c *ConfigApplyCommand) merge(ctx context.Context, editor *confstore.Editor, file, current *config.Document) (*config.Document, error) {
	if file.Revision > current.Revision {
		return nil, Failedf("%s was made from revision %d, the store has only %d", c.File, file.Revision, current.Revision)
	}
	base, err := editor.At(ctx, current, file.Revision)
	if err != nil {
		return nil, err
	}
	theirs := config.Diff(base, current)
	mine := config.Diff(base, withProgress(file, base))
	mayMerge := theirs.IsProgressOnly() || (c.Rebase && len(config.Overlap(&mine, &theirs)) == 0)
	if !theirs.IsEmpty() && !mayMerge {
		return nil, &confstore.Conflict{Base: base, Current: current}
	}
	mine.Revision, mine.Parent = current.Revision+1, current.ChangeID
	for name, takeover := range mine.SetTakeovers {
		if running := current.Takeovers[name]; running != nil {
			mine.SetTakeovers[name] = takeover.WithProgressOf(running)
		}
	}
	return config.Apply(current, &mine)
}
