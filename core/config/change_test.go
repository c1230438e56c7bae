package config_test

import (
	"fmt"
	"maps"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"limpetspan/core"
	"limpetspan/core/config"
)

// group returns a group of members a, b, c whose ports begin at port.
func group(port int) *config.Group {
	g := &config.Group{MaxConnections: 20, Slots: 3, Database: "park"}
	for i, id := range []core.MemberID{"a", "b", "c"} {
		g.Members = append(g.Members, config.Member{ID: id, Addr: fmt.Sprintf("127.0.0.1:%d", port+i), Zone: "kushiro"})
	}
	return g
}

// sampleDocument returns a document that passes every check.
func sampleDocument() *config.Document {
	return &config.Document{
		Revision:     4,
		ChangeID:     "four",
		DefaultGroup: "park-1",
		Groups:       map[core.GroupID]*config.Group{"park-1": group(5001), "rival": group(6001)},
		Kinds: map[string]*config.Kind{
			"charge":  {Group: "park-1", Versions: []string{"1", "2"}, Durable: true},
			"listing": {Group: "rival", Versions: []string{"old", "new"}},
		},
		Takeovers: map[string]*config.Takeover{"listing": {
			State: config.TakeoverRunning, SourceGroup: "rival", SourceVersion: "old",
			DestinationGroup: "park-1", DestinationVersion: "new", Buckets: 12,
			ReadSQL: "r", ChangedSQL: "c", UpsertSQL: "u", SourceVerifySQL: "s", DestinationVerifySQL: "d",
			Flipped: []byte{0b101}, Fenced: []byte{0b10},
		}},
	}
}

// editedSample returns a copy of the sample document, changed by edit.
func editedSample(edit func(*config.Document)) *config.Document {
	doc := sampleDocument()
	edit(doc)
	return doc
}

var _ = Describe("Apply", func() {
	It("rejects gaps and diverged histories", func() {
		doc := sampleDocument()
		_, err := config.Apply(doc, &config.Change{Revision: 6, Parent: "four"})
		Expect(err).To(MatchError(config.ErrGap))
		_, err = config.Apply(doc, &config.Change{Revision: 5, Parent: "another four"})
		Expect(err).To(MatchError(config.ErrDiverged))
		_, err = config.Apply(doc, &config.Change{Revision: 5, Parent: "four", RemoveKinds: []string{"none"}})
		Expect(err).To(MatchError(config.ErrMissing))
		_, err = config.Apply(doc, &config.Change{Revision: 5, Parent: "four", SetBuckets: map[string]*config.BucketSets{"none": {}}})
		Expect(err).To(MatchError(config.ErrMissing))
	})

	It("does not modify the document and shares the unchanged entries", func() {
		doc := sampleDocument()
		next, err := config.Apply(doc, &config.Change{Revision: 5, ChangeID: "five", Parent: "four",
			SetKinds:   map[string]*config.Kind{"fine": {Group: "park-1"}},
			SetBuckets: map[string]*config.BucketSets{"listing": {Flipped: []byte{0b111}}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(doc).To(Equal(sampleDocument()))
		Expect(next.Kinds).To(HaveKey("fine"))
		Expect(next.Kinds["charge"]).To(BeIdenticalTo(doc.Kinds["charge"]))
		Expect(next.Takeovers["listing"].Flipped).To(Equal([]byte{0b111}))
		Expect(next.Takeovers["listing"].Fenced).To(BeEmpty())
	})

	It("represents the progress of a take-over without its SQL", func() {
		after := editedSample(func(d *config.Document) { d.Takeovers["listing"].Flipped = []byte{0b111, 0} })
		change := config.Diff(sampleDocument(), after)
		Expect(change.IsProgressOnly()).To(BeTrue())
		Expect(change.SetTakeovers).To(BeEmpty())
		Expect(config.Describe(sampleDocument(), &change)).To(Equal("~ takeover listing: 3 buckets flipped, 1 fenced"))
	})

	It("considers only a higher revision newer", func() {
		doc := sampleDocument()
		Expect(config.IsNewer(nil, doc)).To(BeTrue())
		Expect(config.IsNewer(doc, nil)).To(BeFalse())
		Expect(config.IsNewer(doc, sampleDocument())).To(BeFalse())
		Expect(config.IsNewer(doc, &config.Document{Revision: 3})).To(BeFalse())
		Expect(config.IsNewer(doc, &config.Document{Revision: 5})).To(BeTrue())
	})
})

// documents generates valid and invalid documents.
var documents = rapid.Custom(func(t *rapid.T) *config.Document {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	doc := &config.Document{Revision: 7, ChangeID: "seven"}
	doc.DefaultGroup = core.GroupID(names.Draw(t, "default"))
	doc.Groups = rapid.MapOfN(rapid.Map(names, func(s string) core.GroupID { return core.GroupID(s) }),
		rapid.Map(rapid.IntRange(1, 3), func(n int) *config.Group { return group(1000 * n) }), 0, 4).Draw(t, "groups")
	doc.Kinds = rapid.MapOfN(names, rapid.Map(names, func(v string) *config.Kind {
		return &config.Kind{Group: "a", Versions: []string{v}}
	}), 0, 4).Draw(t, "kinds")
	doc.Takeovers = rapid.MapOfN(names, rapid.Map(rapid.Byte(), func(b byte) *config.Takeover {
		return &config.Takeover{State: config.TakeoverRunning, Buckets: 8, Flipped: []byte{b}, ReadSQL: string('a' + rune(b%2))}
	}), 0, 4).Draw(t, "takeovers")
	return doc
})

// TestDiffThenApply checks that the difference of any two documents leads from one
// to the other, also after encoding as JSON, with no difference left.
func TestDiffThenApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := documents.Draw(t, "a"), documents.Draw(t, "b")
		change := config.Diff(a, b)
		change.ChangeID = "eight"
		data, err := config.Encode(change)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := config.DecodeChange(data)
		if err != nil {
			t.Fatal(err)
		}
		got, err := config.Apply(a, decoded)
		if err != nil {
			t.Fatal(err)
		}
		if rest := config.Diff(got, b); !rest.IsEmpty() {
			t.Fatalf("remaining difference: %s", config.Describe(got, &rest))
		}
		again, _ := config.Encode(*decoded)
		if string(again) != string(data) {
			t.Fatalf("unstable JSON:\n%s\n%s", data, again)
		}
	})
}

var _ = Describe("Decode", func() {
	It("rejects unknown fields, data after the value and oversized input", func() {
		_, err := config.DecodeDocument([]byte(`{"revision":1,"grups":{}}`))
		Expect(err).To(MatchError(ContainSubstring(`unknown field "grups"`)))
		_, err = config.DecodeDocument([]byte(`{"revision":1} {}`))
		Expect(err).To(MatchError(ContainSubstring("data after the value")))
		_, err = config.DecodeChange(make([]byte, config.MaxChangeSize+1))
		Expect(err).To(MatchError(config.ErrTooLarge))
	})
})

var _ = Describe("an entry that is null", func() {
	// Guards against a process that ends when it uses the entry.
	DescribeTable("is rejected", func(section string) {
		_, err := config.DecodeChange([]byte(`{"revision":1,"change_id":"a","set_` + section + `":{"x":null}}`))
		Expect(err).To(MatchError(config.ErrNullEntry))
		if section != "buckets" {
			_, err = config.DecodeDocument([]byte(`{"revision":1,"change_id":"a","` + section + `":{"x":null}}`))
			Expect(err).To(MatchError(config.ErrNullEntry))
		}
	},
		Entry("in the groups", "groups"),
		Entry("in the kinds", "kinds"),
		Entry("in the take-overs", "takeovers"),
		Entry("in their progress", "buckets"),
	)
})

var _ = Describe("Overlap", func() {
	It("returns the entries that both changes touch", func() {
		a := &config.Change{RemoveGroups: []core.GroupID{"x", "y"}, SetKinds: map[string]*config.Kind{"k": {}}}
		b := &config.Change{SetGroups: map[core.GroupID]*config.Group{"y": {}, "z": {}}, RemoveKinds: []string{"k"}}
		Expect(config.Overlap(a, b)).To(Equal([]string{"groups.y", "kinds.k"}))
	})
})

var _ = Describe("Describe", func() {
	It("shows old and new values", func() {
		after := editedSample(func(d *config.Document) {
			g := *d.Groups["park-1"]
			g.Slots = 2
			g.Members = append(g.Members[:2:2], config.Member{ID: "d", Addr: "127.0.0.1:5009", Zone: "z", Leaving: true})
			d.Groups["park-1"] = &g
			d.Kinds = maps.Clone(d.Kinds)
			delete(d.Kinds, "charge")
		})
		change := config.Diff(sampleDocument(), after)
		Expect(config.Describe(sampleDocument(), &change)).To(Equal(
			"~ group park-1: slots 3 -> 2, +member d 127.0.0.1:5009 in z leaving, -member c\n- kind charge"))
	})
})
