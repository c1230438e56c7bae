package cli

import (
	"context"
	"fmt"
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/config"
)

// DrainCommand takes a daemon or a target out of service in a planned way.
type DrainCommand struct {
	Daemon *DrainDaemonCommand `arg:"subcommand:daemon" help:"stop a daemon without cutting off a request"`
	Target *DrainTargetCommand `arg:"subcommand:target" help:"give a member of a group no new work"`
}

// DrainDaemonCommand stops a daemon.
type DrainDaemonCommand struct {
	Addr    string        `arg:"positional,required" placeholder:"ADDR" help:"operator address (host:port) of the daemon"`
	Wait    bool          `arg:"--wait" help:"wait until it has stopped"`
	Timeout time.Duration `arg:"--timeout" default:"60s" placeholder:"DURATION" help:"how long to wait"`
}

// Examples are shown in the help.
func (*DrainDaemonCommand) Examples() string {
	return "limpetspan drain daemon 10.0.0.7:7434 --wait --timeout 60s"
}

// drainResult is the JSON form of a drained daemon.
type drainResult struct {
	Addr    string `json:"addr"`
	Stopped bool   `json:"stopped"`
}

// Run asks the daemon to stop, and with --wait until it no longer answers.
func (c *DrainDaemonCommand) Run(ctx context.Context, env *Env) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if err := env.operators().Drain(ctx, c.Addr); err != nil {
		return err
	}
	result := drainResult{Addr: c.Addr}
	var waitErr error
	if c.Wait {
		waitErr = c.waitStopped(ctx, env)
		result.Stopped = waitErr == nil
	}
	if env.JSON {
		if err := env.WriteJSON(result); err != nil {
			return err
		}
	} else if result.Stopped {
		fmt.Fprintf(env.Stdout, "%s has stopped\n", c.Addr)
	} else {
		fmt.Fprintf(env.Stdout, "%s is draining\n", c.Addr)
	}
	return waitErr
}

func (c *DrainDaemonCommand) waitStopped(ctx context.Context, env *Env) error {
	for {
		status, err := env.operators().Status(ctx, c.Addr, false)
		if err != nil && ctx.Err() == nil {
			return nil
		}
		if status != nil {
			fmt.Fprintf(env.Stderr, "%s: %s, %d homes, %d callers, %d requests in flight\n",
				c.Addr, status.State, len(status.Homes), status.Callers, status.InFlight)
		}
		if pause(ctx, waitInterval) != nil {
			return Timeoutf("%s has not stopped within %v", c.Addr, c.Timeout)
		}
	}
}

// DrainTargetCommand marks a member as leaving.
type DrainTargetCommand struct {
	Group  string `arg:"positional,required" placeholder:"GROUP" help:"database group"`
	Member string `arg:"positional,required" placeholder:"MEMBER" help:"member of the group"`
	Undo   bool   `arg:"--undo" help:"give it work again"`
	ChangeOptions
}

// Examples are shown in the help.
func (*DrainTargetCommand) Examples() string {
	return "limpetspan drain target parkdb-1 b --wait --daemon 10.0.0.7:7434\nlimpetspan drain target parkdb-1 b --undo"
}

// Run carries out the subcommand.
func (c *DrainTargetCommand) Run(ctx context.Context, env *Env) error {
	return change(ctx, env, c.ChangeOptions, func(doc *config.Document) (*config.Document, error) {
		id := core.GroupID(c.Group)
		old := doc.Groups[id]
		if old == nil {
			return nil, Usagef("group %s does not exist", id)
		}
		group := *old
		group.Members = slices.Clone(old.Members)
		i := slices.IndexFunc(group.Members, func(m config.Member) bool { return string(m.ID) == c.Member })
		if i < 0 {
			return nil, Usagef("group %s has no member %s", id, c.Member)
		}
		group.Members[i].Leaving = !c.Undo
		next := cloneDocument(doc)
		next.Groups[id] = &group
		return next, nil
	})
}
