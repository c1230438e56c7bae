package config

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// field is one named value of an entry, for display.
type field struct{ name, value string }

// maxFieldText is the number of characters shown of a long value such as SQL.
const maxFieldText = 60

// Describe lists what the change does to before, one line per entry: "+" for
// added, "-" for removed, "~" for changed entries with old and new values.
func Describe(before *Document, change *Change) string {
	var lines []string
	if change.DefaultGroup != nil {
		lines = append(lines, fmt.Sprintf("~ default_group: %s -> %s", orNone(string(before.DefaultGroup)), orNone(string(*change.DefaultGroup))))
	}
	lines = append(lines, describeEntries("group", before.Groups, change.SetGroups, change.RemoveGroups, groupFields)...)
	lines = append(lines, describeEntries("kind", before.Kinds, change.SetKinds, change.RemoveKinds, kindFields)...)
	lines = append(lines, describeEntries("takeover", before.Takeovers, change.SetTakeovers, change.RemoveTakeovers, takeoverFields)...)
	for _, name := range slices.Sorted(maps.Keys(change.SetBuckets)) {
		sets := change.SetBuckets[name]
		lines = append(lines, fmt.Sprintf("~ takeover %s: %d buckets flipped, %d fenced", name, countBits(sets.Flipped), countBits(sets.Fenced)))
	}
	return strings.Join(lines, "\n")
}

func describeEntries[K ~string, V any](section string, before, set map[K]*V, remove []K, fields func(*V) []field) []string {
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(set)) {
		old := before[key]
		if old == nil {
			lines = append(lines, fmt.Sprintf("+ %s %s: %s", section, key, joinFields(fields(set[key]))))
			continue
		}
		lines = append(lines, fmt.Sprintf("~ %s %s: %s", section, key, diffFields(fields(old), fields(set[key]))))
	}
	for _, key := range remove {
		lines = append(lines, fmt.Sprintf("- %s %s", section, key))
	}
	return lines
}

func joinFields(fields []field) string {
	parts := make([]string, len(fields))
	for i, f := range fields {
		parts[i] = f.name + " " + truncate(f.value)
	}
	return strings.Join(parts, ", ")
}

// diffFields compares two lists in which each name is unique.
func diffFields(old, now []field) string {
	values := make(map[string]string, len(old))
	for _, f := range old {
		values[f.name] = f.value
	}
	var parts []string
	for _, f := range now {
		was, ok := values[f.name]
		delete(values, f.name)
		switch {
		case !ok:
			parts = append(parts, fmt.Sprintf("+%s %s", f.name, truncate(f.value)))
		case was != f.value:
			parts = append(parts, fmt.Sprintf("%s %s -> %s", f.name, truncate(was), truncate(f.value)))
		}
	}
	for _, f := range old {
		if _, gone := values[f.name]; gone {
			parts = append(parts, "-"+f.name)
		}
	}
	if len(parts) == 0 {
		return "order of members or versions"
	}
	return strings.Join(parts, ", ")
}

func groupFields(g *Group) []field {
	fields := []field{
		{"database", g.Database},
		{"max_connections", strconv.Itoa(g.MaxConnections)},
		{"slots", strconv.Itoa(g.Slots)},
		{"durable", strconv.FormatBool(g.Durable)},
	}
	for _, member := range g.Members {
		value := member.Addr + " in " + string(member.Zone)
		if member.Leaving {
			value += " leaving"
		}
		fields = append(fields, field{"member " + string(member.ID), value})
	}
	return fields
}

func kindFields(k *Kind) []field {
	return []field{
		{"group", string(k.Group)},
		{"versions", orNone(strings.Join(k.Versions, "/"))},
		{"durable", strconv.FormatBool(k.Durable)},
		{"max_staleness", k.MaxStaleness.String()},
	}
}

func takeoverFields(t *Takeover) []field {
	fields := []field{
		{"state", string(t.State)},
		{"source", string(t.SourceGroup) + " version " + t.SourceVersion},
		{"destination", string(t.DestinationGroup) + " version " + t.DestinationVersion},
		{"buckets", strconv.Itoa(t.Buckets)},
		{"worker", t.Worker},
		{"flipped", strconv.Itoa(countBits(t.Flipped))},
		{"fenced", strconv.Itoa(countBits(t.Fenced))},
		{"read_sql", t.ReadSQL},
		{"changed_sql", t.ChangedSQL},
		{"upsert_sql", t.UpsertSQL},
		{"source_verify_sql", t.SourceVerifySQL},
		{"destination_verify_sql", t.DestinationVerifySQL},
		{"clear_sql", t.ClearSQL},
	}
	if t.Reverse == nil {
		return fields
	}
	return append(fields,
		field{"reverse.read_sql", t.Reverse.ReadSQL},
		field{"reverse.changed_sql", t.Reverse.ChangedSQL},
		field{"reverse.upsert_sql", t.Reverse.UpsertSQL},
		field{"reverse.clear_sql", t.Reverse.ClearSQL})
}

func truncate(text string) string {
	text = strings.Join(strings.Fields(text), " ")
	if runes := []rune(text); len(runes) > maxFieldText {
		return string(runes[:maxFieldText]) + "..."
	}
	return orNone(text)
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}
