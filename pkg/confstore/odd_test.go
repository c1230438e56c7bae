package confstore_test

import (
	"context"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/confstore"
	"limpetspan/pkg/store"
	"limpetspan/pkg/store/storetest"
)

var _ = Describe("a configuration with an odd entry", func() {
	const groups, kinds, takeovers, changes = prefix + "config/groups/", prefix + "config/kinds/", prefix + "config/takeovers/", prefix + "config/changes/"
	var (
		ctx    context.Context
		fake   *storetest.Fake
		editor *confstore.Editor
		latest *config.Document
	)

	commit := func(edit func(doc *config.Document)) {
		GinkgoHelper()
		doc, err := editor.Update(ctx, latest, confstore.Meta{Author: "ann"}, func(doc *config.Document) (*config.Document, error) {
			next := *doc
			edit(&next)
			return &next, nil
		})
		Expect(err).NotTo(HaveOccurred())
		latest = doc
	}

	// overwrite writes a value as another writer does.
	overwrite := func(key, value string) {
		GinkgoHelper()
		kv, err := fake.Client.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		swap := store.Swap{Key: key, Value: []byte(value)}
		if kv != nil {
			swap.Expect = kv.ModRevision
		}
		result, err := fake.Client.CompareAndSwap(ctx, swap)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Swapped).To(BeTrue())
	}

	expectLatest := func(doc *config.Document) {
		GinkgoHelper()
		rest := config.Diff(doc, latest)
		Expect(rest.IsEmpty()).To(BeTrue(), "%+v", rest)
		Expect(doc.ChangeID).To(Equal(latest.ChangeID))
	}

	BeforeEach(func() {
		ctx, fake = testContext(), storetest.New()
		editor = newEditor(fake, "ann")
		latest = mustAdd(ctx, editor, "g1", 5001)
		latest = mustAdd(ctx, editor, "g2", 5002)
		commit(func(doc *config.Document) {
			doc.Kinds = map[string]*config.Kind{"records": {Group: "g1", Versions: []string{"v1", "v2"}}, "bays": {Group: "g2"}}
		})
		commit(func(doc *config.Document) {
			doc.Takeovers = map[string]*config.Takeover{"records": {
				State: config.TakeoverPlanned, SourceGroup: "g1", SourceVersion: "v1", DestinationGroup: "g2", DestinationVersion: "v2", Buckets: 8,
				ReadSQL: "select $1 $2 $3", ChangedSQL: "select $1 $2 $3", UpsertSQL: "upsert", SourceVerifySQL: "select $1", DestinationVerifySQL: "select $1",
			}}
		})
		for _, change := range []func(t *config.Takeover){
			func(t *config.Takeover) { t.State = config.TakeoverRunning },
			func(t *config.Takeover) { t.Worker, t.Fenced = "d1", []byte{1} },
			func(t *config.Takeover) { t.Flipped, t.Fenced = []byte{1}, nil },
		} {
			commit(func(doc *config.Document) {
				moved := *doc.Takeovers["records"]
				change(&moved)
				doc.Takeovers = map[string]*config.Takeover{"records": &moved}
			})
		}
	})

	for _, odd := range []struct{ name, value string }{
		{"that is not JSON", "{"},
		{"that is null", "null"},
		{"of another type", "[1]"},
		{"with a number too large", `{"max_connections":1e400}`},
		{"with an unknown field", `{"maximum":1}`},
		{"that is nested deeply", strings.Repeat(`{"members":[`, 20_000)},
		{"that is not UTF-8 or JSON", "\xff\xfe"},
	} {
		// Guards against one entry of another writer that keeps the whole configuration from a starting daemon and
		// from operators. The entry has the value of its last accepted change.
		DescribeTable("is loaded whole despite an entry "+odd.name, func(key string) {
			overwrite(key, odd.value)
			loaded, err := editor.Load(ctx)
			Expect(err).NotTo(HaveOccurred())
			expectLatest(loaded)
			Expect(editor.Calls().Unreadable.Load()).To(BeEquivalentTo(1))
			follower := follow(confstore.Options{Store: fake.Client})
			Eventually(revisionOf(follower), bound).Should(Equal(latest.Revision))
			expectLatest(follower.Current())
		},
			Entry("of a group", groups+"g2"),
			Entry("of a kind", kinds+"records"),
			Entry("of a take-over whose buckets have moved since", takeovers+"records"),
			Entry("that no change has made", groups+"nobody"),
		)
	}

	// Guards against the same if the change that set the entry is no longer readable: the daemon has the entry in force.
	It("takes an entry from the configuration in force", func() {
		follower := follow(confstore.Options{Store: fake.Client, Peers: peers{}, ShouldWatch: never})
		follower.Offer("gone", latest.Revision)
		Eventually(revisionOf(follower), bound).Should(Equal(latest.Revision))
		overwrite(changes+"0002", "{")
		overwrite(groups+"g2", "{")
		for i := range 20 {
			doc, err := editor.Update(ctx, latest, confstore.Meta{}, addGroup(core.GroupID(fmt.Sprint("x", i)), 6000+i))
			Expect(err).NotTo(HaveOccurred())
			latest = doc
		}
		follower.Offer("gone", latest.Revision)
		Eventually(revisionOf(follower), bound).Should(Equal(latest.Revision))
		expectLatest(follower.Current())
	})

	// Guards against a daemon that stops following because one change in the history cannot be read.
	It("is followed past an odd change", func() {
		follower := follow(confstore.Options{Store: fake.Client, Peers: peers{}, ShouldWatch: never})
		follower.Offer("gone", latest.Revision)
		Eventually(revisionOf(follower), bound).Should(Equal(latest.Revision))
		commit(func(doc *config.Document) { doc.DefaultGroup = "g1" })
		overwrite(fmt.Sprintf("%s%04d", changes, latest.Revision), "{")
		commit(func(doc *config.Document) { doc.DefaultGroup = "g2" })
		follower.Offer("gone", latest.Revision)
		Eventually(revisionOf(follower), bound).Should(Equal(latest.Revision))
		expectLatest(follower.Current())
	})

	// Guards against a daemon that ends when another writer puts a change into the history.
	DescribeTable("is followed past a change with an entry that is null", func(section string) {
		follower := follow(confstore.Options{Store: fake.Client})
		Eventually(revisionOf(follower), bound).Should(Equal(latest.Revision))
		next := latest.Revision + 1
		overwrite(fmt.Sprintf("%s%04d", changes, next),
			fmt.Sprintf(`{"change":{"revision":%d,"change_id":"bob-1","parent":%q,"set_%s":{"records":null}},"undo":{"revision":0,"change_id":""}}`, next, latest.ChangeID, section))
		Eventually(follower.Calls().Unreadable.Load, bound).Should(BeEquivalentTo(1))
		commit(func(doc *config.Document) { doc.DefaultGroup = "g1" })
		Eventually(revisionOf(follower), bound).Should(Equal(latest.Revision))
		expectLatest(follower.Current())
	},
		Entry("in the groups", "groups"),
		Entry("in the kinds", "kinds"),
		Entry("in the take-overs", "takeovers"),
		Entry("in their progress", "buckets"),
	)

	// Guards against a change that is hidden by another one of the same revision in a slot that is not its own.
	It("is loaded despite a change in the slot of another one", func() {
		overwrite(changes+"0900", `{"change":{"revision":2,"change_id":"bob-1"},"undo":{"revision":0,"change_id":""}}`)
		overwrite(groups+"g1", "{")
		loaded, err := editor.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		expectLatest(loaded)
	})

	// Guards against an entry that is left out, or taken from another history: a record would be served by a group that
	// does not own it.
	It("is not loaded if the entry's last change is not known", func() {
		overwrite(takeovers+"records", "{")
		overwrite(changes+"0005", "{")
		_, err := editor.Load(ctx)
		Expect(err).To(MatchError(ContainSubstring(takeovers + "records")))
		overwrite(changes+"0005", `{"change":{"revision":5,"change_id":"bob-1","set_takeovers":{"records":{"state":"running"}}},"undo":{"revision":0,"change_id":""}}`)
		_, err = editor.Load(ctx)
		Expect(err).To(HaveOccurred())
	})
})
