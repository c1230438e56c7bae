package configfile_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/cli/configfile"
)

func TestConfigfile(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configfile")
}

var (
	names     = rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9._-]{0,12}`)
	groupIDs  = rapid.Map(names, func(s string) core.GroupID { return core.GroupID(s) })
	sql       = rapid.OneOf(rapid.String(), rapid.StringMatching("[ a-z\"'`;#%()=\\\\\n$]{0,40}"))
	durations = rapid.Map(rapid.Int64Range(0, int64(time.Hour)), func(n int64) time.Duration { return time.Duration(n) })
)

// documents generates documents as they may stand in the store, checked or
// not, without the progress of take-overs.
var documents = rapid.Custom(func(t *rapid.T) *config.Document {
	doc := &config.Document{
		Revision:     config.Revision(rapid.IntRange(0, 1<<40).Draw(t, "revision")),
		DefaultGroup: groupIDs.Draw(t, "default"),
	}
	doc.Groups = rapid.MapOfN(groupIDs, rapid.Custom(func(t *rapid.T) *config.Group {
		group := &config.Group{Database: names.Draw(t, "database"), MaxConnections: rapid.Int().Draw(t, "connections"),
			Slots: rapid.Int().Draw(t, "slots"), Durable: rapid.Bool().Draw(t, "durable")}
		for _, id := range rapid.SliceOfNDistinct(names, 0, 3, rapid.ID).Draw(t, "members") {
			group.Members = append(group.Members, config.Member{ID: core.MemberID(id), Addr: "127.0.0.1:5432",
				Zone: core.Zone(sql.Draw(t, "zone")), Leaving: rapid.Bool().Draw(t, "leaving")})
		}
		return group
	}), 0, 3).Draw(t, "groups")
	doc.Kinds = rapid.MapOfN(names, rapid.Custom(func(t *rapid.T) *config.Kind {
		return &config.Kind{Group: groupIDs.Draw(t, "group"), Versions: rapid.SliceOfN(names, 0, 3).Draw(t, "versions"),
			MaxStaleness: durations.Draw(t, "staleness")}
	}), 0, 3).Draw(t, "kinds")
	doc.Takeovers = rapid.MapOfN(names, rapid.Custom(func(t *rapid.T) *config.Takeover {
		takeover := &config.Takeover{State: config.TakeoverRunning, Buckets: 12, ReadSQL: sql.Draw(t, "read"),
			UpsertSQL: sql.Draw(t, "upsert"), ClearSQL: sql.Draw(t, "clear")}
		if rapid.Bool().Draw(t, "reverse") {
			takeover.Reverse = &config.Reverse{ReadSQL: sql.Draw(t, "reverse read")}
		}
		return takeover
	}), 0, 2).Draw(t, "takeovers")
	return doc
})

// TestRoundTrip: what is written is read back as it was, whatever a statement holds.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := documents.Draw(t, "document")
		text := configfile.Format(doc)
		got, err := configfile.Parse("file", []byte(text))
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		if rest := config.Diff(doc, got); !rest.IsEmpty() || got.Revision != doc.Revision {
			t.Fatalf("%s\n%s", config.Describe(doc, &rest), text)
		}
	})
}

const good = `
default_group = g

[group g]
database = park
max_connections = 20
slots = 3

[member g a]
addr = 127.0.0.1:5432
zone = kushiro
`

var _ = Describe("Parse", func() {
	It("takes statements of several lines and comments", func() {
		doc, err := configfile.Parse("f", []byte(good+"; a comment\n[kind k]\ngroup = g\n[takeover k]\nstate = planned\n"+
			"source_group = g\nsource_version = 1\ndestination_group = h\ndestination_version = 2\nbuckets = 4\n"+
			"read_sql = \"\"\"SELECT id, '#' -- all; of them\nFROM lot\"\"\"\nchanged_sql = SELECT 1; SELECT 'x'\nupsert_sql = u\n"+
			"source_verify_sql = s\ndestination_verify_sql = d\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(doc.Takeovers["k"].ReadSQL).To(Equal("SELECT id, '#' -- all; of them\nFROM lot"))
		Expect(doc.Takeovers["k"].ChangedSQL).To(Equal("SELECT 1; SELECT 'x'"))
		Expect(doc.Groups["g"].Members).To(HaveLen(1))
	})

	DescribeTable("names file, section and key of a fault",
		func(text, message string) {
			_, err := configfile.Parse("park.ini", []byte(text))
			Expect(err).To(MatchError(HavePrefix(message)))
			Expect(strings.Count(err.Error(), "\n")).To(BeZero())
		},
		Entry("unknown key", good+"port = 1\n", "park.ini: [member g a] port: unknown key; allowed are addr, zone, leaving"),
		Entry("unknown section", good+"[grup x]\n", "park.ini: [grup x] unknown section"),
		Entry("section twice", good+"[group  g]\n", "park.ini: [group  g] the section stands twice"),
		Entry("key twice", good+"zone = a\n", "park.ini: [member g a] zone: stands 2 times"),
		Entry("missing key", good+"[member g b]\nzone = a\n", "park.ini: [member g b] addr: is missing"),
		Entry("no number", strings.Replace(good, "20", "many", 1), `park.ini: [group g] max_connections: "many" is not a whole number`),
		Entry("no boolean", good+"leaving = yes\n", `park.ini: [member g a] leaving: "yes" is neither true nor false`),
		Entry("no duration", good+"[kind k]\ngroup = g\nmax_staleness = 2\n", `park.ini: [kind k] max_staleness: "2" is not a duration`),
		Entry("bad quotes", good+"[kind k]\ngroup = \"g\n", `park.ini: [kind k] group: "g is not a quoted text`),
		Entry("member before its group", "[member x a]\naddr = 127.0.0.1:1\nzone = z\n", "park.ini: [member x a] stands before [group x]"),
		Entry("unknown top key", "defaultgroup = g\n", "park.ini: defaultgroup: unknown key"),
		Entry("no INI", "what\n", "park.ini: key-value delimiter not found"),
	)
})
