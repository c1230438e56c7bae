package config_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
)

// problem is the path and the rule of a problem.
type problem struct {
	path string
	rule config.Rule
}

func problemsOf(err error) []problem {
	if err == nil {
		return nil
	}
	var list []problem
	for _, p := range err.(config.Problems) {
		list = append(list, problem{p.Path, p.Rule})
	}
	return list
}

var _ = DescribeTable("Check reports what is wrong",
	func(path string, rule config.Rule, edit func(*config.Document)) {
		Expect(config.Check(sampleDocument())).To(Succeed())
		Expect(problemsOf(config.Check(editedSample(edit)))).To(Equal([]problem{{path, rule}}))
	},
	Entry("default group", "default_group", config.RuleReference, func(d *config.Document) { d.DefaultGroup = "none" }),
	Entry("group name", "groups.a b", config.RuleFormat, func(d *config.Document) { d.Groups["a b"] = group(7001) }),
	Entry("empty group", "groups.x", config.RuleRequired, func(d *config.Document) { d.Groups["x"] = nil }),
	Entry("address", "groups.park-1.members[2].addr", config.RuleFormat, func(d *config.Document) { d.Groups["park-1"].Members[2].Addr = "db:5432" }),
	Entry("address twice", "groups.rival.members[0].addr", config.RuleDuplicate, func(d *config.Document) { d.Groups["rival"].Members[0].Addr = "127.0.0.1:5002" }),
	Entry("member twice", "groups.park-1.members[1].id", config.RuleDuplicate, func(d *config.Document) { d.Groups["park-1"].Members[1].ID = "a" }),
	Entry("no connections beyond the control connections", "groups.park-1.max_connections", config.RuleRange, func(d *config.Document) { d.Groups["park-1"].MaxConnections = 6 }),
	Entry("slots", "groups.park-1.slots", config.RuleRange, func(d *config.Document) { d.Groups["park-1"].Slots = 0 }),
	Entry("no zone", "groups.park-1.members[0].zone", config.RuleRequired, func(d *config.Document) { d.Groups["park-1"].Members[0].Zone = "" }),
	Entry("all leaving", "groups.park-1.members", config.RuleRange, func(d *config.Document) {
		for i := range d.Groups["park-1"].Members {
			d.Groups["park-1"].Members[i].Leaving = true
		}
	}),
	Entry("kind without group", "kinds.charge.group", config.RuleReference, func(d *config.Document) { d.Kinds["charge"].Group = "none" }),
	Entry("version twice", "kinds.charge.versions[2]", config.RuleDuplicate, func(d *config.Document) { d.Kinds["charge"].Versions = []string{"1", "2", "1"} }),
	Entry("staleness", "kinds.charge.max_staleness", config.RuleRange, func(d *config.Document) { d.Kinds["charge"].MaxStaleness = -1 }),
	Entry("version needed by a take-over", "takeovers.listing.source_version", config.RuleInUse, func(d *config.Document) { d.Kinds["listing"].Versions = []string{"new"} }),
	Entry("take-over without kind", "takeovers.listing", config.RuleReference, func(d *config.Document) { delete(d.Kinds, "listing") }),
	Entry("take-over into its source group", "takeovers.listing.destination_group", config.RuleDuplicate, func(d *config.Document) { d.Takeovers["listing"].DestinationGroup = "rival" }),
	Entry("kind in another group", "takeovers.listing.source_group", config.RuleState, func(d *config.Document) { d.Kinds["listing"].Group = "park-1" }),
	Entry("bucket out of range", "takeovers.listing.flipped", config.RuleRange, func(d *config.Document) { d.Takeovers["listing"].Flipped = []byte{0, 0b10000} }),
	Entry("complete too early", "takeovers.listing.flipped", config.RuleState, func(d *config.Document) {
		d.Takeovers["listing"].State = config.TakeoverComplete
		d.Takeovers["listing"].Fenced = nil
		d.Kinds["listing"].Group = "park-1"
	}),
	Entry("unknown state", "takeovers.listing.state", config.RuleFormat, func(d *config.Document) {
		d.Takeovers["listing"].State = "done"
		d.Takeovers["listing"].Fenced = nil
	}),
	Entry("no SQL", "takeovers.listing.upsert_sql", config.RuleRequired, func(d *config.Document) { d.Takeovers["listing"].UpsertSQL = "" }),
)

var _ = DescribeTable("CheckChange reports a change that is not allowed",
	func(path string, rule config.Rule, edit func(*config.Document)) {
		Expect(problemsOf(config.CheckChange(sampleDocument(), editedSample(edit)))).To(ContainElement(problem{path, rule}))
	},
	// Two members of a group of three are replaced in one change. A daemon on the
	// old revision fences a majority of the old members and promotes one; another
	// does the same with the new members. Both primaries acknowledge writes, and
	// the writes of one of them are lost.
	Entry("two members in one change", "groups.park-1.members", config.RuleOverlap, func(d *config.Document) {
		members := d.Groups["park-1"].Members
		members[1] = config.Member{ID: "d", Addr: "127.0.0.1:5008", Zone: "z"}
	}),
	Entry("another address for the same member", "groups.park-1.members.b.addr", config.RuleOverlap,
		func(d *config.Document) { d.Groups["park-1"].Members[1].Addr = "127.0.0.1:5008" }),
	Entry("another database", "groups.park-1.database", config.RuleOverlap, func(d *config.Document) { d.Groups["park-1"].Database = "other" }),
	Entry("group removed while a kind is in it", "kinds.charge.group", config.RuleReference, func(d *config.Document) { delete(d.Groups, "park-1") }),
	Entry("take-over removed while running", "takeovers.listing", config.RuleInUse, func(d *config.Document) { delete(d.Takeovers, "listing") }),
	Entry("take-over back to planned", "takeovers.listing.state", config.RuleState, func(d *config.Document) { d.Takeovers["listing"].State = config.TakeoverPlanned }),
	Entry("SQL changed while running", "takeovers.listing", config.RuleState, func(d *config.Document) { d.Takeovers["listing"].ReadSQL = "other" }),
	Entry("bucket flipped back", "takeovers.listing.flipped", config.RuleState, func(d *config.Document) { d.Takeovers["listing"].Flipped = []byte{0b1} }),
)

var _ = Describe("CheckChange", func() {
	It("allows one member to be added or removed in a group", func() {
		Expect(config.CheckChange(sampleDocument(), editedSample(func(d *config.Document) {
			d.Groups["park-1"].Members = d.Groups["park-1"].Members[:2]
		}))).To(Succeed())
		Expect(config.CheckChange(sampleDocument(), editedSample(func(d *config.Document) {
			g := d.Groups["park-1"]
			g.Members = append(g.Members, config.Member{ID: "d", Addr: "127.0.0.1:5008", Zone: "z"})
		}))).To(Succeed())
	})

	// A take-over completes while its kind stays in the source group. Routing no
	// longer considers the buckets, so callers write to the source, whose records
	// are no longer kept up to date.
	It("completes a take-over only together with the move of its kind", func() {
		done := editedSample(func(d *config.Document) {
			t := d.Takeovers["listing"]
			t.State, t.Flipped, t.Fenced = config.TakeoverComplete, []byte{0xff, 0x0f}, nil
		})
		Expect(problemsOf(config.CheckChange(sampleDocument(), done))).To(Equal([]problem{{"takeovers.listing.destination_group", config.RuleState}}))
		done.Kinds["listing"] = &config.Kind{Group: "park-1", Versions: []string{"new"}}
		Expect(config.CheckChange(sampleDocument(), done)).To(Succeed())
		after := *done
		after.Takeovers = nil
		after.Groups = map[core.GroupID]*config.Group{"park-1": done.Groups["park-1"]}
		Expect(config.CheckChange(done, &after)).To(Succeed())
	})
})
