package config_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
)

// keyIn returns a record key of the bucket.
func keyIn(bucket, buckets int) string {
	for n := 0; ; n++ {
		key := string(rune('a'+n%26)) + string(rune('a'+n/26%26))
		if config.Bucket(key, buckets) == bucket {
			return key
		}
	}
}

func routingDocument() *config.Document {
	return &config.Document{
		Revision: 9, DefaultGroup: "park-1",
		Groups: map[core.GroupID]*config.Group{"park-1": {Durable: true}, "rival": {}},
		Kinds: map[string]*config.Kind{
			"bay":     {Group: "park-1", Versions: []string{"1", "2"}, MaxStaleness: time.Second},
			"listing": {Group: "rival", Versions: []string{"old", "new", "new2"}, Durable: true},
		},
		Takeovers: map[string]*config.Takeover{"listing": {
			State: config.TakeoverRunning, SourceGroup: "rival", SourceVersion: "old",
			DestinationGroup: "park-1", DestinationVersion: "new", Buckets: 12,
			Flipped: []byte{0b10}, Fenced: []byte{0b100},
		}},
	}
}

var _ = Describe("Route", func() {
	It("routes by the declared kind, or to the default group", func() {
		doc := routingDocument()
		Expect(doc.Route("bay", "2", "", true)).To(Equal(config.Route{Group: "park-1", Bucket: config.NoBucket, MaxStaleness: time.Second, Revision: 9}))
		Expect(doc.Route("bay", "", "k", false)).To(HaveField("Group", core.GroupID("park-1")))
		Expect(doc.Route("", "", "", true)).To(Equal(config.Route{Group: "park-1", Bucket: config.NoBucket, Durable: true, Revision: 9}))
		doc.DefaultGroup = ""
		_, err := doc.Route("", "", "", false)
		Expect(err).To(MatchError(&config.NoDefaultGroupError{}))
	})

	It("rejects what is not declared and lists what is", func() {
		_, err := routingDocument().Route("ghost", "", "", false)
		Expect(err).To(MatchError(&config.UnknownKindError{Kind: "ghost"}))
		_, err = routingDocument().Route("bay", "0", "", false)
		Expect(err).To(MatchError(&config.VersionNotInServiceError{Kind: "bay", Version: "0", InService: []string{"1", "2"}}))
	})

	It("routes each record to the side that owns its bucket", func() {
		doc := routingDocument()
		Expect(doc.Route("listing", "old", keyIn(0, 12), true)).To(Equal(config.Route{Group: "rival", Bucket: 0, Durable: true, Revision: 9}))
		Expect(doc.Route("listing", "new", keyIn(1, 12), true)).To(Equal(config.Route{Group: "park-1", Bucket: 1, Durable: true, Revision: 9}))
		doc.Takeovers["listing"].State = config.TakeoverRolledBack
		Expect(doc.Route("listing", "old", "", true)).To(HaveField("Bucket", config.NoBucket))
	})

	// An old application updates a record after it was moved. The statement for
	// the old schema must not reach the new tables, and the error must list the
	// versions that apply to the record now.
	It("rejects the version of the other side for a record", func() {
		_, err := routingDocument().Route("listing", "old", keyIn(1, 12), true)
		Expect(err).To(MatchError(&config.VersionNotInServiceError{Kind: "listing", Version: "old", InService: []string{"new", "new2"}}))
		_, err = routingDocument().Route("listing", "new", keyIn(0, 12), false)
		Expect(err).To(MatchError(&config.VersionNotInServiceError{Kind: "listing", Version: "new", InService: []string{"old", "new2"}}))
	})

	// The take-over is complete and both versions are still declared. A statement
	// for the old tables reached the new side, which answered that the table is
	// missing.
	It("rejects the version of the side that owns no record, before and after a take-over", func() {
		refuses := func(version string) {
			GinkgoHelper()
			doc := routingDocument()
			doc.Takeovers["listing"].State = config.TakeoverPlanned
			if version == "old" {
				doc.Takeovers["listing"].State = config.TakeoverComplete
				doc.Kinds["listing"].Group = "park-1"
			}
			_, err := doc.Route("listing", version, "", true)
			Expect(err).To(HaveField("Version", version))
			Expect(doc.Route("listing", "new2", "", true)).To(HaveField("Group", doc.Kinds["listing"].Group))
			delete(doc.Takeovers, "listing")
			Expect(doc.Route("listing", version, "", true)).To(HaveField("Group", doc.Kinds["listing"].Group))
		}
		refuses("new")
		refuses("old")
	})

	It("rejects writes to a fenced bucket and allows reads", func() {
		_, err := routingDocument().Route("listing", "old", keyIn(2, 12), true)
		Expect(err).To(MatchError(&config.FencedError{Kind: "listing", Bucket: 2, Revision: 9}))
		Expect(routingDocument().Route("listing", "old", keyIn(2, 12), false)).To(HaveField("Group", core.GroupID("rival")))
	})

	It("requires the key while a take-over is active", func() {
		for _, write := range []bool{true, false} {
			_, err := routingDocument().Route("listing", "old", "", write)
			Expect(err).To(MatchError(&config.KeyMissingError{Kind: "listing"}))
		}
	})
})

func TestRouteDoesNotAllocate(t *testing.T) {
	doc := routingDocument()
	key := keyIn(0, 12)
	n := testing.AllocsPerRun(100, func() {
		if _, err := doc.Route("listing", "old", key, true); err != nil {
			t.Fatal(err)
		}
	})
	if n != 0 {
		t.Fatalf("%v allocations per route", n)
	}
}
