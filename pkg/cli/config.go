package cli

import (
	"context"
	"time"
)

// ConfigCommand reads and changes the declared configuration.
type ConfigCommand struct {
	Get     *ConfigGetCommand     `arg:"subcommand:get" help:"print the configuration as INI"`
	Check   *ConfigCheckCommand   `arg:"subcommand:check" help:"check a configuration file without applying it"`
	Apply   *ConfigApplyCommand   `arg:"subcommand:apply" help:"bring a configuration file in force"`
	History *ConfigHistoryCommand `arg:"subcommand:history" help:"list the accepted changes"`
	Revert  *ConfigRevertCommand  `arg:"subcommand:revert" help:"undo all changes after a revision, as a new revision"`
}

// ConfigGetCommand prints the configuration.
type ConfigGetCommand struct {
	Revision uint64 `arg:"--revision" placeholder:"N" help:"an earlier revision, as far as the history goes back"`
}

// Run carries out the subcommand.
func (*ConfigGetCommand) Run(context.Context, *Env) error { return notBuilt("config get") }

// ConfigCheckCommand checks a configuration file.
type ConfigCheckCommand struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"configuration file, - for standard input"`
}

// Run carries out the subcommand.
func (*ConfigCheckCommand) Run(context.Context, *Env) error { return notBuilt("config check") }

// ConfigApplyCommand brings a configuration file in force.
type ConfigApplyCommand struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"configuration file, - for standard input"`
	ChangeOptions
}

// ChangeOptions are the options of every subcommand that changes the configuration.
type ChangeOptions struct {
	Author  string        `arg:"--author,env:LIMPETSPAN_AUTHOR" placeholder:"NAME" help:"who changes it, for the history"`
	Reason  string        `arg:"--reason" placeholder:"TEXT" help:"why, for the history"`
	Wait    bool          `arg:"--wait" help:"wait until each live daemon has the revision in force"`
	Timeout time.Duration `arg:"--timeout" default:"30s" placeholder:"DURATION" help:"how long to wait for the store and, with --wait, for the daemons"`
}

// Run carries out the subcommand.
func (*ConfigApplyCommand) Run(context.Context, *Env) error { return notBuilt("config apply") }

// ConfigHistoryCommand lists the accepted changes.
type ConfigHistoryCommand struct{}

// Run carries out the subcommand.
func (*ConfigHistoryCommand) Run(context.Context, *Env) error { return notBuilt("config history") }

// ConfigRevertCommand goes back to an earlier configuration as a new revision.
type ConfigRevertCommand struct {
	Revision uint64 `arg:"positional,required" placeholder:"N" help:"the revision whose content is to be in force again"`
	ChangeOptions
}

// Run carries out the subcommand.
func (*ConfigRevertCommand) Run(context.Context, *Env) error { return notBuilt("config revert") }

func notBuilt(name string) error { return Failedf("%s is not in this build", name) }
