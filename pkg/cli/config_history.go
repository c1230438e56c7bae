package cli

import (
	"context"
	"fmt"

	"limpetspan/core/config"
	"limpetspan/pkg/confstore"
)

// ConfigHistoryCommand lists the accepted changes.
type ConfigHistoryCommand struct {
	Limit int `arg:"--limit" default:"20" placeholder:"N" help:"how many changes, newest first (one read of the store each)"`
}

// Examples are shown in the help.
func (*ConfigHistoryCommand) Examples() string {
	return "limpetspan config history\nlimpetspan config history --limit 100 --json"
}

// historyEntry is the JSON form of one change.
type historyEntry struct {
	config.Change
	Text string `json:"text"`
}

// Run carries out the subcommand.
func (c *ConfigHistoryCommand) Run(ctx context.Context, env *Env) error {
	if c.Limit < 1 {
		return Usagef("--limit is below 1")
	}
	editor, err := env.editor()
	if err != nil {
		return err
	}
	records, err := editor.History(ctx, c.Limit)
	if err != nil || len(records) == 0 {
		return err
	}
	doc, err := editor.Load(ctx)
	if err != nil {
		return err
	}
	// A change accepted between the two reads is left out.
	if doc, err = editor.At(ctx, doc, records[0].Change.Revision); err != nil {
		return err
	}
	for i := range records {
		record := &records[i]
		// What stood before is needed to tell new entries from changed ones.
		before, err := confstore.Undo(doc, record)
		if err != nil {
			return err
		}
		if err := writeHistory(env, &record.Change, config.Describe(before, &record.Change)); err != nil {
			return err
		}
		doc = before
	}
	return nil
}

func writeHistory(env *Env, made *config.Change, text string) error {
	if env.JSON {
		return env.WriteJSON(historyEntry{Change: *made, Text: text})
	}
	_, err := fmt.Fprintf(env.Stdout, "%d  %s  %s  %s  (change %s)\n%s\n",
		made.Revision, orDash(made.At), orDash(made.Author), orDash(made.Reason), made.ChangeID, indent(text))
	return err
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
