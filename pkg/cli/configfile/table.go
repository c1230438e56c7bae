package configfile

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/config"
)

// The kinds of sections; each is followed by the entry's name, a member's by
// group and member.
const (
	sectionGroup    = "group"
	sectionMember   = "member"
	sectionKind     = "kind"
	sectionTakeover = "takeover"
	// sectionReverse holds a take-over's statements for the way back.
	sectionReverse = "reverse"
)

// header is what stands before any section.
type header struct {
	revision     int
	defaultGroup core.GroupID
}

var headerFields = []field[header]{
	intField("revision", func(h *header) *int { return &h.revision }).orZero(),
	textField("default_group", func(h *header) *core.GroupID { return &h.defaultGroup }).orZero(),
}

var groupFields = []field[config.Group]{
	textField("database", func(g *config.Group) *string { return &g.Database }),
	intField("max_connections", func(g *config.Group) *int { return &g.MaxConnections }),
	intField("slots", func(g *config.Group) *int { return &g.Slots }),
	boolField("durable", func(g *config.Group) *bool { return &g.Durable }).orZero(),
}

var memberFields = []field[config.Member]{
	textField("addr", func(m *config.Member) *string { return &m.Addr }),
	textField("zone", func(m *config.Member) *core.Zone { return &m.Zone }),
	boolField("leaving", func(m *config.Member) *bool { return &m.Leaving }).orZero(),
}

var kindFields = []field[config.Kind]{
	textField("group", func(k *config.Kind) *core.GroupID { return &k.Group }),
	listField("versions", func(k *config.Kind) *[]string { return &k.Versions }).orZero(),
	boolField("durable", func(k *config.Kind) *bool { return &k.Durable }).orZero(),
	durationField("max_staleness", func(k *config.Kind) *time.Duration { return &k.MaxStaleness }).orZero(),
}

var takeoverFields = []field[config.Takeover]{
	textField("state", func(t *config.Takeover) *config.TakeoverState { return &t.State }),
	textField("source_group", func(t *config.Takeover) *core.GroupID { return &t.SourceGroup }),
	textField("source_version", func(t *config.Takeover) *string { return &t.SourceVersion }),
	textField("destination_group", func(t *config.Takeover) *core.GroupID { return &t.DestinationGroup }),
	textField("destination_version", func(t *config.Takeover) *string { return &t.DestinationVersion }),
	intField("buckets", func(t *config.Takeover) *int { return &t.Buckets }),
	textField("read_sql", func(t *config.Takeover) *string { return &t.ReadSQL }),
	textField("changed_sql", func(t *config.Takeover) *string { return &t.ChangedSQL }),
	textField("upsert_sql", func(t *config.Takeover) *string { return &t.UpsertSQL }),
	textField("source_verify_sql", func(t *config.Takeover) *string { return &t.SourceVerifySQL }),
	textField("destination_verify_sql", func(t *config.Takeover) *string { return &t.DestinationVerifySQL }),
	textField("clear_sql", func(t *config.Takeover) *string { return &t.ClearSQL }).orZero(),
}

var reverseFields = []field[config.Reverse]{
	textField("read_sql", func(r *config.Reverse) *string { return &r.ReadSQL }),
	textField("changed_sql", func(r *config.Reverse) *string { return &r.ChangedSQL }),
	textField("upsert_sql", func(r *config.Reverse) *string { return &r.UpsertSQL }),
	textField("clear_sql", func(r *config.Reverse) *string { return &r.ClearSQL }).orZero(),
}
