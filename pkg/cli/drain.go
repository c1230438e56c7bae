package cli

import "context"

// DrainCommand takes a daemon or a target out of service in a planned way.
type DrainCommand struct{}

// Run carries out the subcommand.
func (*DrainCommand) Run(context.Context, *Env) error { return notBuilt("drain") }
