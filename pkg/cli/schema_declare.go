package cli

import (
	"context"
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/config"
)

// SchemaDeclareCommand brings a schema version in service.
type SchemaDeclareCommand struct {
	Kind         string         `arg:"positional,required" placeholder:"KIND" help:"kind of record"`
	Version      []string       `arg:"--version,separate" placeholder:"VERSION" help:"schema version; given once for each"`
	Group        string         `arg:"--group" placeholder:"GROUP" help:"group that serves the kind; required for a new kind"`
	Durable      *bool          `arg:"--durable" placeholder:"BOOL" help:"acknowledge writes only after a second member confirmed them"`
	MaxStaleness *time.Duration `arg:"--max-staleness" placeholder:"DURATION" help:"age that reads accept which say none"`
	ChangeOptions
}

// Examples are shown in the help.
func (*SchemaDeclareCommand) Examples() string {
	return "limpetspan schema declare charge --group parkdb-1 --version 1 --durable true\nlimpetspan schema declare charge --version 2 --wait --daemon 10.0.0.7:7434"
}

// Run carries out the subcommand.
func (c *SchemaDeclareCommand) Run(ctx context.Context, env *Env) error {
	return change(ctx, env, c.ChangeOptions, func(doc *config.Document) (*config.Document, error) {
		kind := &config.Kind{}
		if old := doc.Kinds[c.Kind]; old != nil {
			*kind = *old
		} else if c.Group == "" {
			return nil, Usagef("kind %s is new: give --group", c.Kind)
		}
		c.declare(kind)
		next := cloneDocument(doc)
		next.Kinds[c.Kind] = kind
		return next, nil
	})
}

func (c *SchemaDeclareCommand) declare(kind *config.Kind) {
	if c.Group != "" {
		kind.Group = core.GroupID(c.Group)
	}
	if c.Durable != nil {
		kind.Durable = *c.Durable
	}
	if c.MaxStaleness != nil {
		kind.MaxStaleness = *c.MaxStaleness
	}
	kind.Versions = slices.Clone(kind.Versions)
	for _, version := range c.Version {
		if !slices.Contains(kind.Versions, version) {
			kind.Versions = append(kind.Versions, version)
		}
	}
}
