package cli

import (
	"context"
	"io"
	"time"

	"limpetspan/pkg/demo"
	"limpetspan/pkg/embedded"
)

// DemoCommand runs a whole fleet on stand-ins.
type DemoCommand struct {
	Serve   bool          `arg:"--serve" help:"keep the fleet running until interrupted; the first line on stdout tells its addresses"`
	Phase   time.Duration `arg:"--phase" default:"3s" placeholder:"D" help:"how long callers run in each part"`
	Callers int           `arg:"--callers" default:"12" placeholder:"N" help:"number of sessions, up to 200"`
	Verbose bool          `arg:"-v,--verbose" help:"show the daemons' log lines on stderr"`
}

// maxDemoCallers bounds the sessions; each has a connection to every daemon.
const maxDemoCallers = 200

// Examples shows how the subcommand is used.
func (*DemoCommand) Examples() string {
	return `limpetspan demo
limpetspan demo --serve
limpetspan demo --phase 10s --callers 50 --verbose`
}

// served is the first line of demo --serve.
type served struct {
	Ready    bool     `json:"ready"`
	Callers  []string `json:"callers"`
	Control  string   `json:"control"`
	User     string   `json:"user"`
	Password string   `json:"password"`
	Database string   `json:"database"`
	// Store and Operators are for the other subcommands.
	Store     string   `json:"store"`
	Operators []string `json:"operators"`
}

// Run carries out the subcommand.
func (c *DemoCommand) Run(ctx context.Context, env *Env) error {
	if c.Phase < 100*time.Millisecond || c.Phase > time.Minute || c.Callers < 1 || c.Callers > maxDemoCallers {
		return Usagef("--phase is from 100ms to 1m, --callers from 1 to %d", maxDemoCallers)
	}
	var logs io.Writer
	if c.Verbose {
		logs = env.Stderr
	}
	if c.Serve {
		return c.serve(ctx, env, logs)
	}
	result, err := demo.Run(ctx, demo.Options{Progress: env.Stderr, Log: logs, Phase: c.Phase, Callers: c.Callers})
	if err != nil {
		return Failedf("demo: %w", err)
	}
	if err := env.WriteJSON(result); err != nil {
		return err
	}
	if len(result.Failed) > 0 {
		return Failedf("%d promises were broken", len(result.Failed))
	}
	return nil
}

// serve keeps the fleet up until the program is interrupted.
func (c *DemoCommand) serve(ctx context.Context, env *Env, logs io.Writer) error {
	options := embedded.Kitacycle(embedded.KitacycleLatency)
	options.Log = logs
	fleet, err := embedded.Start(ctx, options)
	if err != nil {
		return Failedf("demo: %w", err)
	}
	defer fleet.Close()
	line := served{Ready: true, Control: fleet.ControlAddr, User: options.User, Password: options.Password,
		Database: options.Database, Store: fleet.StoreURL}
	for _, d := range fleet.Daemons() {
		line.Callers = append(line.Callers, d.Addrs().Callers)
		line.Operators = append(line.Operators, d.Addrs().Operator)
	}
	if err := env.WriteJSON(line); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
