package cli

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"limpetspan/core/config"
	"limpetspan/pkg/operator"
)

// TakeoverCommand moves a kind of record from one group and version to another.
type TakeoverCommand struct {
	Plan     *TakeoverPlanCommand     `arg:"subcommand:plan" help:"declare a take-over from a file, without starting it"`
	Start    *TakeoverStartCommand    `arg:"subcommand:start" help:"start a planned take-over"`
	Status   *TakeoverStatusCommand   `arg:"subcommand:status" help:"show how far the take-overs are"`
	Pause    *TakeoverPauseCommand    `arg:"subcommand:pause" help:"stop moving buckets; both sides stay in service"`
	Resume   *TakeoverResumeCommand   `arg:"subcommand:resume" help:"go on with a paused take-over"`
	Rollback *TakeoverRollbackCommand `arg:"subcommand:rollback" help:"give up a take-over and leave the records at the source"`
	Verify   *TakeoverVerifyCommand   `arg:"subcommand:verify" help:"compare count and checksum of both sides, bucket by bucket"`
}

// TakeoverOptions are shared by the subcommands that change a take-over's state.
type TakeoverOptions struct {
	Kind string `arg:"positional,required" placeholder:"KIND" help:"kind of record that moves"`
	ChangeOptions
}

// setState commits a take-over's new state, which must follow one of from.
func (o TakeoverOptions) setState(ctx context.Context, env *Env, state config.TakeoverState) error {
	return change(ctx, env, o.ChangeOptions, func(doc *config.Document) (*config.Document, error) {
		old := doc.Takeovers[o.Kind]
		if old == nil {
			return nil, Usagef("no take-over of %s is declared; see limpetspan takeover plan --help", o.Kind)
		}
		moved := *old
		moved.State = state
		next := cloneDocument(doc)
		next.Takeovers[o.Kind] = &moved
		return next, nil
	})
}

// TakeoverStartCommand starts a planned take-over.
type TakeoverStartCommand struct{ TakeoverOptions }

// Examples are shown in the help.
func (*TakeoverStartCommand) Examples() string { return "limpetspan takeover start listing" }

// Run carries out the subcommand.
func (c *TakeoverStartCommand) Run(ctx context.Context, env *Env) error {
	return c.setState(ctx, env, config.TakeoverRunning)
}

// TakeoverPauseCommand pauses a take-over.
type TakeoverPauseCommand struct{ TakeoverOptions }

// Examples are shown in the help.
func (*TakeoverPauseCommand) Examples() string { return "limpetspan takeover pause listing" }

// Run carries out the subcommand.
func (c *TakeoverPauseCommand) Run(ctx context.Context, env *Env) error {
	return c.setState(ctx, env, config.TakeoverPaused)
}

// TakeoverResumeCommand goes on with a paused take-over.
type TakeoverResumeCommand struct{ TakeoverOptions }

// Examples are shown in the help.
func (*TakeoverResumeCommand) Examples() string { return "limpetspan takeover resume listing" }

// Run carries out the subcommand.
func (c *TakeoverResumeCommand) Run(ctx context.Context, env *Env) error {
	return c.setState(ctx, env, config.TakeoverRunning)
}

// TakeoverRollbackCommand gives up a take-over.
type TakeoverRollbackCommand struct{ TakeoverOptions }

// Examples are shown in the help.
func (*TakeoverRollbackCommand) Examples() string { return "limpetspan takeover rollback listing" }

// Run carries out the subcommand.
func (c *TakeoverRollbackCommand) Run(ctx context.Context, env *Env) error {
	return c.setState(ctx, env, config.TakeoverRollback)
}

// TakeoverPlanCommand declares a take-over.
type TakeoverPlanCommand struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"file with one [takeover KIND] section and, for the way back, [reverse KIND]; - for standard input"`
	ChangeOptions
}

// Examples are shown in the help.
func (*TakeoverPlanCommand) Examples() string {
	return "limpetspan takeover plan listing.ini --reason \"records of the rival ring\"\nlimpetspan takeover start listing"
}

// Run carries out the subcommand. Starting needs both versions in service.
func (c *TakeoverPlanCommand) Run(ctx context.Context, env *Env) error {
	file, err := readFile(env, c.File)
	if err != nil {
		return err
	}
	if len(file.Takeovers) == 0 || len(file.Groups) > 0 || len(file.Kinds) > 0 || file.DefaultGroup != "" {
		return Usagef("%s: a plan holds [takeover KIND] and [reverse KIND] sections only", c.File)
	}
	return change(ctx, env, c.ChangeOptions, func(doc *config.Document) (*config.Document, error) {
		next := cloneDocument(doc)
		for kind, takeover := range file.Takeovers {
			if takeover.State != config.TakeoverPlanned {
				return nil, Usagef("%s: the state of the take-over of %s must be %s", c.File, kind, config.TakeoverPlanned)
			}
			if old := doc.Takeovers[kind]; old != nil && old.Active() {
				return nil, Usagef("the take-over of %s is %s: roll it back or let it complete", kind, old.State)
			}
			next.Takeovers[kind] = takeover
		}
		return next, nil
	})
}

// TakeoverVerifyCommand compares both sides.
type TakeoverVerifyCommand struct {
	Kind    string        `arg:"positional,required" placeholder:"KIND" help:"kind of record that moves"`
	Timeout time.Duration `arg:"--timeout" default:"10m" placeholder:"DURATION" help:"how long the comparison may take"`
}

// Examples are shown in the help.
func (*TakeoverVerifyCommand) Examples() string {
	return "limpetspan takeover verify listing --daemon 10.0.0.7:7434"
}

// Run asks one daemon after the other until one can compare; the exit code is
// 1 if some buckets differ.
func (c *TakeoverVerifyCommand) Run(ctx context.Context, env *Env) error {
	if len(env.Daemons) == 0 {
		return Usagef("no daemon: give --daemon ADDR or set LIMPETSPAN_DAEMON")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	// A comparison reads both sides whole, so the short bound of other calls is
	// left out.
	client := &operator.Client{HTTP: &http.Client{Transport: env.HTTP.Transport}}
	var lastErr error
	for _, addr := range env.Daemons {
		v, err := client.Verify(ctx, addr, c.Kind)
		if err != nil {
			lastErr = err
			continue
		}
		if env.JSON {
			err = env.WriteJSON(v)
		} else {
			_, err = fmt.Fprintf(env.Stdout, "%s: %d of %d buckets are equal on both sides\n", v.Kind, v.Equal, v.Buckets)
		}
		if err == nil && len(v.Different) > 0 {
			return Failedf("%d buckets differ: %v", len(v.Different), v.Different)
		}
		return err
	}
	return lastErr
}
