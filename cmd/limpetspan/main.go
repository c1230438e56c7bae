// Command limpetspan is the operators' program: it reads and changes the
// declared configuration, shows the fleet, and runs the tools around it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"limpetspan/pkg/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Main(ctx, os.Args[1:], cli.SystemEnv())
	stop()
	os.Exit(code)
}
