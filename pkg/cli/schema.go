package cli

import (
	"context"
	"maps"
	"slices"
	"strings"

	"limpetspan/core/config"
)

// SchemaCommand declares, lists and retires schema versions.
type SchemaCommand struct {
	Declare *SchemaDeclareCommand `arg:"subcommand:declare" help:"bring a schema version of a kind in service; creates the kind if need be"`
	Retire  *SchemaRetireCommand  `arg:"subcommand:retire" help:"take a schema version out of service once nothing needs it"`
	List    *SchemaListCommand    `arg:"subcommand:list" help:"list the kinds and their versions in service"`
}

// SchemaListCommand lists the kinds.
type SchemaListCommand struct{}

// kindEntry is the JSON form of one kind.
type kindEntry struct {
	Name string `json:"kind"`
	*config.Kind
	Takeover config.TakeoverState `json:"takeover,omitempty"`
}

// Examples are shown in the help.
func (*SchemaListCommand) Examples() string {
	return "limpetspan schema list\nlimpetspan schema list --json"
}

// Run carries out the subcommand.
func (*SchemaListCommand) Run(ctx context.Context, env *Env) error {
	doc, err := env.document(ctx)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, name := range slices.Sorted(maps.Keys(doc.Kinds)) {
		entry := kindEntry{Name: name, Kind: doc.Kinds[name]}
		if takeover := doc.Takeovers[name]; takeover != nil {
			entry.Takeover = takeover.State
		}
		if env.JSON {
			if err := env.WriteJSON(entry); err != nil {
				return err
			}
			continue
		}
		rows = append(rows, []any{name, entry.Group, orDash(strings.Join(entry.Versions, ",")),
			entry.Durable, entry.MaxStaleness, orDash(string(entry.Takeover))})
	}
	if env.JSON {
		return nil
	}
	return writeTable(env.Stdout, []any{"KIND", "GROUP", "VERSIONS", "DURABLE", "MAX STALENESS", "TAKEOVER"}, rows)
}
