package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"limpetspan/core"
	"limpetspan/core/config"
)

// GroupCommand creates, lists and removes database groups.
type GroupCommand struct {
	Create *GroupCreateCommand `arg:"subcommand:create" help:"create a group"`
	List   *GroupListCommand   `arg:"subcommand:list" help:"list the groups"`
	Remove *GroupRemoveCommand `arg:"subcommand:remove" help:"remove a group that serves no kind"`
}

// GroupCreateCommand creates a group.
type GroupCreateCommand struct {
	ID             string   `arg:"positional,required" placeholder:"GROUP" help:"name of the group"`
	Database       string   `arg:"--database,required" placeholder:"NAME" help:"database name on the members"`
	Member         []string `arg:"--member,separate,required" placeholder:"ID=IP:PORT@ZONE" help:"a member; given once for each"`
	MaxConnections int      `arg:"--max-connections" default:"20" placeholder:"N" help:"connections to the whole group, control included (7 to 10000)"`
	Slots          int      `arg:"--slots" default:"3" placeholder:"N" help:"statements one member runs at a time (1 to 1000)"`
	Durable        bool     `arg:"--durable" help:"acknowledge writes that name no kind only after a second member confirmed them"`
	Default        bool     `arg:"--default" help:"serve statements that name no kind"`
	ChangeOptions
}

// Examples are shown in the help.
func (*GroupCreateCommand) Examples() string {
	return "limpetspan group create parkdb-1 --database park --member a=10.0.1.1:5432@sapporo-hall" +
		" --member b=10.0.2.1:5432@asahikawa --member c=10.0.3.1:5432@hakodate --default"
}

// Run carries out the subcommand.
func (c *GroupCreateCommand) Run(ctx context.Context, env *Env) error {
	group := &config.Group{Database: c.Database, MaxConnections: c.MaxConnections, Slots: c.Slots, Durable: c.Durable}
	for _, text := range c.Member {
		member, err := parseMember(text)
		if err != nil {
			return err
		}
		group.Members = append(group.Members, member)
	}
	id := core.GroupID(c.ID)
	return change(ctx, env, c.ChangeOptions, func(doc *config.Document) (*config.Document, error) {
		if doc.Groups[id] != nil {
			return nil, Usagef("group %s exists already", id)
		}
		next := cloneDocument(doc)
		next.Groups[id] = group
		if c.Default {
			next.DefaultGroup = id
		}
		return next, nil
	})
}

// parseMember reads ID=IP:PORT@ZONE; the parts are checked with the document.
func parseMember(text string) (config.Member, error) {
	id, rest, hasAddr := strings.Cut(text, "=")
	addr, zone, hasZone := strings.Cut(rest, "@")
	if !hasAddr || !hasZone {
		return config.Member{}, Usagef("--member %q is not of the form ID=IP:PORT@ZONE", text)
	}
	return config.Member{ID: core.MemberID(id), Addr: addr, Zone: core.Zone(zone)}, nil
}

// GroupListCommand lists the groups.
type GroupListCommand struct{}

// groupEntry is the JSON form of one group.
type groupEntry struct {
	ID core.GroupID `json:"id"`
	*config.Group
	Default bool     `json:"default,omitempty"`
	Kinds   []string `json:"kinds,omitempty"`
}

// Examples are shown in the help.
func (*GroupListCommand) Examples() string {
	return "limpetspan group list\nlimpetspan group list --json"
}

// Run carries out the subcommand.
func (*GroupListCommand) Run(ctx context.Context, env *Env) error {
	doc, err := env.document(ctx)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, id := range slices.Sorted(maps.Keys(doc.Groups)) {
		entry := groupEntry{ID: id, Group: doc.Groups[id], Default: doc.DefaultGroup == id, Kinds: kindsOf(doc, id)}
		if env.JSON {
			if err := env.WriteJSON(entry); err != nil {
				return err
			}
			continue
		}
		rows = append(rows, []any{id, entry.Database, memberTexts(entry.Group), entry.MaxConnections, entry.Slots,
			entry.Durable, orDash(strings.Join(entry.Kinds, ",")), entry.Default})
	}
	if env.JSON {
		return nil
	}
	return writeTable(env.Stdout, []any{"GROUP", "DATABASE", "MEMBERS", "CONNECTIONS", "SLOTS", "DURABLE", "KINDS", "DEFAULT"}, rows)
}

func kindsOf(doc *config.Document, id core.GroupID) []string {
	var kinds []string
	for _, name := range slices.Sorted(maps.Keys(doc.Kinds)) {
		if doc.Kinds[name].Group == id {
			kinds = append(kinds, name)
		}
	}
	return kinds
}

func memberTexts(group *config.Group) string {
	texts := make([]string, len(group.Members))
	for i, m := range group.Members {
		texts[i] = fmt.Sprintf("%s=%s@%s", m.ID, m.Addr, m.Zone)
		if m.Leaving {
			texts[i] += "(leaving)"
		}
	}
	return strings.Join(texts, ",")
}

// GroupRemoveCommand removes a group.
type GroupRemoveCommand struct {
	ID string `arg:"positional,required" placeholder:"GROUP" help:"name of the group"`
	ChangeOptions
}

// Examples are shown in the help.
func (*GroupRemoveCommand) Examples() string {
	return "limpetspan group remove rival --reason \"moved\""
}

// Run carries out the subcommand; the check of the whole document refuses a
// group that is still routed to.
func (c *GroupRemoveCommand) Run(ctx context.Context, env *Env) error {
	id := core.GroupID(c.ID)
	return change(ctx, env, c.ChangeOptions, func(doc *config.Document) (*config.Document, error) {
		if doc.Groups[id] == nil {
			return nil, Usagef("group %s does not exist", id)
		}
		next := cloneDocument(doc)
		delete(next.Groups, id)
		return next, nil
	})
}
