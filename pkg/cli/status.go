package cli

import "context"

// StatusCommand shows the daemons of the fleet.
type StatusCommand struct{}

// Run carries out the subcommand.
func (*StatusCommand) Run(context.Context, *Env) error { return notBuilt("status") }
