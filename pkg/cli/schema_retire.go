package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"limpetspan/core/config"
)

// SchemaRetireCommand takes a schema version out of service.
type SchemaRetireCommand struct {
	Kind         string `arg:"positional,required" placeholder:"KIND" help:"kind of record"`
	Version      string `arg:"positional,required" placeholder:"VERSION" help:"schema version"`
	WaitUnused   bool   `arg:"--wait-unused" help:"wait until nothing needs the version instead of refusing"`
	SkipRequests bool   `arg:"--skip-requests" help:"do not ask the daemons for requests of the version; their callers will be refused"`
	ChangeOptions
}

// retireInterval is the pause between two looks at what needs a version.
const retireInterval = 2 * time.Second

// Examples are shown in the help.
func (*SchemaRetireCommand) Examples() string {
	return "limpetspan schema retire charge 1 --daemon 10.0.0.7:7434\nlimpetspan schema retire charge 1 --wait-unused --timeout 1h --daemon 10.0.0.7:7434"
}

// Run refuses, or waits, while records or requests of the version remain.
func (c *SchemaRetireCommand) Run(ctx context.Context, env *Env) error {
	if len(env.Daemons) == 0 && !c.SkipRequests {
		return Usagef("give --daemon ADDR so that the fleet can be asked for requests of the version, or --skip-requests")
	}
	limited, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	for {
		users, err := c.users(limited, env)
		if err != nil {
			return err
		}
		if len(users) == 0 {
			break
		}
		if !c.WaitUnused {
			return Failedf("version %s of %s is still needed:\n%s", c.Version, c.Kind, indent(strings.Join(users, "\n")))
		}
		fmt.Fprintf(env.Stderr, "waiting for: %s\n", shortList(users))
		if pause(limited, retireInterval) != nil {
			return Timeoutf("version %s of %s is still needed:\n%s", c.Version, c.Kind, indent(strings.Join(users, "\n")))
		}
	}
	return change(ctx, env, c.ChangeOptions, c.retire)
}

// users says what still needs the version: take-overs in the configuration and
// requests in the daemons' last window. A daemon that does not answer may have
// some, so it counts.
func (c *SchemaRetireCommand) users(ctx context.Context, env *Env) ([]string, error) {
	doc, err := env.document(ctx)
	if err != nil {
		return nil, err
	}
	if _, err := c.retire(doc); err != nil && !isNeeded(err) {
		return nil, err
	}
	var users []string
	if t := doc.Takeovers[c.Kind]; neededBy(t, c.Version) {
		users = append(users, takeoverUse(c.Kind, t))
	}
	if c.SkipRequests {
		return users, nil
	}
	reports, err := env.liveDaemons(ctx)
	if err != nil {
		return nil, err
	}
	env.askStatus(ctx, reports)
	return append(users, c.requests(reports)...), nil
}

func (c *SchemaRetireCommand) requests(reports []daemonReport) []string {
	var users []string
	for _, r := range reports {
		if r.Status == nil {
			users = append(users, fmt.Sprintf("daemon %s does not say whether it has requests: %s", r.name(), r.Error))
			continue
		}
		for _, use := range r.Status.Versions {
			if use.Kind == c.Kind && use.Version == c.Version && use.Requests > 0 {
				users = append(users, fmt.Sprintf("daemon %s had %d requests of it in the last %v", r.name(), use.Requests, use.Window))
			}
		}
	}
	return users
}

// neededBy reports whether records of the version are or may be left: until a
// take-over is complete, those not yet moved are of its source version.
func neededBy(t *config.Takeover, version string) bool {
	if t == nil || (!t.Active() && t.State != config.TakeoverPlanned) {
		return false
	}
	return t.SourceVersion == version || t.DestinationVersion == version
}

func takeoverUse(kind string, t *config.Takeover) string {
	return fmt.Sprintf("take-over of %s from version %s to %s is %s, %d of %d buckets moved",
		kind, t.SourceVersion, t.DestinationVersion, t.State, t.FlippedCount(), t.Buckets)
}

// neededError says that a take-over needs the version.
type neededError struct{ use string }

func (e *neededError) Error() string { return "the version is still needed: " + e.use }

func isNeeded(err error) bool {
	_, ok := err.(*neededError)
	return ok
}

// retire is the edit; it looks again, as the configuration may have changed.
func (c *SchemaRetireCommand) retire(doc *config.Document) (*config.Document, error) {
	kind := doc.Kinds[c.Kind]
	switch {
	case kind == nil:
		return nil, Usagef("kind %s does not exist", c.Kind)
	case !slices.Contains(kind.Versions, c.Version):
		return nil, Usagef("version %s of %s is not in service; in service are: %s", c.Version, c.Kind, strings.Join(kind.Versions, ", "))
	case len(kind.Versions) == 1:
		// Without any version the kind would be served unchecked.
		return nil, Usagef("version %s is the last of %s in service; remove the kind instead", c.Version, c.Kind)
	case neededBy(doc.Takeovers[c.Kind], c.Version):
		return nil, &neededError{takeoverUse(c.Kind, doc.Takeovers[c.Kind])}
	}
	retired := *kind
	retired.Versions = slices.DeleteFunc(slices.Clone(kind.Versions), func(v string) bool { return v == c.Version })
	next := cloneDocument(doc)
	next.Kinds[c.Kind] = &retired
	return next, nil
}
