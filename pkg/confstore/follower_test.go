package confstore_test

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/confstore"
	"limpetspan/pkg/store"
	"limpetspan/pkg/store/storetest"
	standin "limpetspan/standin/store"
)

// fast are intervals for tests; a poll never comes by itself.
func fast() confstore.Timing {
	return confstore.Timing{
		WatcherPoll: 20 * time.Millisecond,
		Poll:        time.Hour,
		Grace:       time.Hour,
		Fallback:    time.Millisecond,
		RetryMin:    time.Millisecond,
		RetryMax:    10 * time.Millisecond,
		CallTimeout: 5 * time.Second,
		Recheck:     5 * time.Millisecond,
	}
}

func never() bool { return false }

// follow runs a follower until the spec ends.
func follow(o confstore.Options) *confstore.Follower {
	o.Prefix = prefix
	if o.Timing == (confstore.Timing{}) {
		o.Timing = fast()
	}
	follower := confstore.NewFollower(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- follower.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(done, bound).Should(Receive(BeNil()))
	})
	return follower
}

func revisionOf(f *confstore.Follower) func() config.Revision {
	return func() config.Revision { return f.Current().Revision }
}

// peers are followers that can be asked by name.
type peers map[core.DaemonID]*confstore.Follower

func (p peers) Changes(_ context.Context, peer core.DaemonID, after config.Revision) ([]config.Change, *config.Document, error) {
	if p[peer] == nil {
		return nil, nil, errors.New("no such peer")
	}
	changes, doc := p[peer].Changes(after)
	return changes, doc, nil
}

// answers is a peer that gives the same answer to every question.
type answers struct {
	changes []config.Change
	doc     *config.Document
	asked   chan config.Revision
}

func (a answers) Changes(_ context.Context, _ core.DaemonID, after config.Revision) ([]config.Change, *config.Document, error) {
	a.asked <- after
	return a.changes, a.doc, nil
}

var _ = Describe("Follower", func() {
	var (
		ctx  context.Context
		fake *storetest.Fake
		ann  *confstore.Editor
	)
	BeforeEach(func() {
		ctx, fake = testContext(), storetest.New()
		ann = newEditor(fake, "ann")
	})

	It("brings every change in force in its order", func() {
		mustAdd(ctx, ann, "g1", 5001)
		watcher := follow(confstore.Options{Store: fake.Client})
		Eventually(revisionOf(watcher), bound).Should(BeEquivalentTo(1))
		var mu sync.Mutex
		var seen []config.Revision
		watcher.Subscribe(func(doc *config.Document) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, doc.Revision)
		})
		for i := range 5 {
			mustAdd(ctx, ann, core.GroupID("x"+string(rune('0'+i))), 5100+i)
		}
		Eventually(revisionOf(watcher), bound).Should(BeEquivalentTo(6))
		mu.Lock()
		defer mu.Unlock()
		Expect(seen).To(Equal([]config.Revision{1, 2, 3, 4, 5, 6}))
	})

	// Story: a daemon is replaced while the store is down. It hears from a
	// peer that revision 2 exists. Waiting for the store it would route by
	// nothing and refuse every caller for as long as the outage lasts.
	It("learns everything from a peer while the store is down", func() {
		mustAdd(ctx, ann, "g1", 5001)
		mustAdd(ctx, ann, "g2", 5002)
		old := follow(confstore.Options{Store: fake.Client})
		Eventually(revisionOf(old), bound).Should(BeEquivalentTo(2))
		Expect(fake.Server.SetOutage(standin.OutageRefuse)).To(Succeed())
		fresh := follow(confstore.Options{Store: fake.Client, Peers: peers{"old": old}, ShouldWatch: never})
		fresh.Offer("gone", 3)
		fresh.Offer("old", 2)
		Eventually(revisionOf(fresh), bound).Should(BeEquivalentTo(2))
		Expect(fresh.Current().Groups).To(HaveLen(2))
		Expect(fresh.Calls().Watches.Load()).To(BeZero())
	})

	It("asks peers only for what it lacks, and for everything when they keep too little", func() {
		mustAdd(ctx, ann, "g1", 5001)
		first := follow(confstore.Options{Store: fake.Client})
		Eventually(revisionOf(first), bound).Should(BeEquivalentTo(1))
		mustAdd(ctx, ann, "g2", 5002)
		Eventually(revisionOf(first), bound).Should(BeEquivalentTo(2))
		changes, doc := first.Changes(1)
		Expect(changes).To(HaveLen(1))
		Expect(doc).To(BeNil())
		// A follower that loaded revision 2 as a full document keeps no change before it.
		late := follow(confstore.Options{Peers: peers{"first": first}})
		late.Offer("first", 2)
		Eventually(revisionOf(late), bound).Should(BeEquivalentTo(2))
		changes, doc = late.Changes(2)
		Expect(changes).To(BeNil())
		Expect(doc).To(BeNil())
	})

	It("reads the store itself when no peer gives what was offered", func() {
		mustAdd(ctx, ann, "g1", 5001)
		follower := follow(confstore.Options{Store: fake.Client, Peers: peers{}, ShouldWatch: never})
		follower.Offer("gone", 1)
		Eventually(revisionOf(follower), bound).Should(BeEquivalentTo(1))
	})

	It("begins without peers by reading the store after a while", func() {
		mustAdd(ctx, ann, "g1", 5001)
		timing := fast()
		timing.Grace = time.Millisecond
		follower := follow(confstore.Options{Store: fake.Client, ShouldWatch: never, Timing: timing})
		Eventually(revisionOf(follower), bound).Should(BeEquivalentTo(1))
		Consistently(follower.Calls().Reads.Load, 50*time.Millisecond).Should(BeNumerically("<=", 8))
	})

	// Story: the connection of the watch has lost its way: it neither delivers
	// nor breaks. Operators see a change accepted that no daemon has in force,
	// since all others learn from the watchers.
	// A small fleet's watchers are all cut off from the store. The operator sees
	// the change accepted, and minutes later some gates still refuse the new
	// version: the other daemons looked at the store as rarely as in a fleet of
	// 1,700, where somebody looks all the time.
	It("looks at the store more often in a small fleet", func() {
		mustAdd(ctx, ann, "g1", 5001)
		timing := fast()
		timing.Grace, timing.PollPerDaemon = time.Millisecond, time.Millisecond
		other := follow(confstore.Options{Store: fake.Client, ShouldWatch: never, Timing: timing, Daemons: func() int { return 8 }})
		Eventually(revisionOf(other), bound).Should(BeEquivalentTo(1))
		mustAdd(ctx, ann, "g2", 5002)
		Eventually(revisionOf(other), bound).Should(BeEquivalentTo(2))
	})

	It("does not rely on a watch that went silent", func() {
		mustAdd(ctx, ann, "g1", 5001)
		silent := &silentStore{Fake: fake}
		watcher := follow(confstore.Options{Store: silent})
		Eventually(revisionOf(watcher), bound).Should(BeEquivalentTo(1))
		mustAdd(ctx, ann, "g2", 5002)
		Eventually(revisionOf(watcher), bound).Should(BeEquivalentTo(2))
		Eventually(watcher.Calls().Watches.Load, bound).Should(BeNumerically(">", 1))
	})

	// Story: the platform restores its store from a backup while revision 3 is
	// in force. Daemons that followed it would bring back revision 1, and
	// operators who went on from there would have changes accepted that no
	// daemon takes up, as their revisions are not above 3.
	It("keeps what is in force and writes it back after a restore", func() {
		mustAdd(ctx, ann, "g1", 5001)
		backup := fake.Server.Engine().Revision()
		mustAdd(ctx, ann, "g2", 5002)
		mustAdd(ctx, ann, "g3", 5003)
		watcher := follow(confstore.Options{Store: fake.Client})
		Eventually(revisionOf(watcher), bound).Should(BeEquivalentTo(3))
		lowest := make(chan config.Revision, 16)
		watcher.Subscribe(func(doc *config.Document) { lowest <- doc.Revision })

		Expect(fake.Server.Restore(backup)).To(Succeed())
		Eventually(func() (config.Revision, error) {
			doc, err := ann.Load(ctx)
			if err != nil {
				return 0, err
			}
			return doc.Revision, nil
		}, bound).Should(BeEquivalentTo(3))
		mustAdd(ctx, ann, "g4", 5004)
		Eventually(revisionOf(watcher), bound).Should(BeEquivalentTo(4))
		Expect(watcher.Current().Groups).To(HaveLen(4))
		Expect(<-lowest).To(BeEquivalentTo(3))
		Expect(<-lowest).To(BeEquivalentTo(4))
	})

	// Story: two watchers see the restored store at the same time, and one of
	// them is behind the other. The higher revision must end up in the store
	// whichever of them comes first.
	It("lets the higher of two revisions win when several write back", func() {
		mustAdd(ctx, ann, "g1", 5001)
		backup := fake.Server.Engine().Revision()
		mustAdd(ctx, ann, "g2", 5002)
		behind := follow(confstore.Options{Store: fake.Client})
		Eventually(revisionOf(behind), bound).Should(BeEquivalentTo(2))
		mustAdd(ctx, ann, "g3", 5003)
		ahead := follow(confstore.Options{Store: fake.Client})
		Eventually(revisionOf(ahead), bound).Should(BeEquivalentTo(3))
		Expect(fake.Server.Restore(backup)).To(Succeed())
		for _, f := range []*confstore.Follower{behind, ahead} {
			Eventually(revisionOf(f), bound).Should(BeEquivalentTo(3))
		}
		Eventually(func() int {
			doc, err := ann.Load(ctx)
			if err != nil {
				return 0
			}
			return len(doc.Groups)
		}, bound).Should(Equal(3))
	})

	It("takes up a change of its own daemon as a change", func() {
		mustAdd(ctx, ann, "g1", 5001)
		follower := follow(confstore.Options{Store: fake.Client, ShouldWatch: never})
		follower.Adopt(mustAdd(ctx, ann, "g2", 5002))
		Expect(follower.Current().Revision).To(BeEquivalentTo(2))
		follower.Adopt(mustAdd(ctx, ann, "g3", 5003))
		Expect(follower.Current()).To(HaveField("ChangeID", "ann-3"))
		changes, doc := follower.Changes(2)
		Expect(changes).To(HaveLen(1))
		Expect(doc).To(BeNil())
		follower.Adopt(config.EmptyDocument())
		Expect(follower.Current().Revision).To(BeEquivalentTo(3))
	})

	// Story: a peer that was cut off for an hour, or an answer that was on its
	// way that long, brings revision 1 while revision 2 is in force.
	DescribeTable("never goes back for a peer", func(answer answers) {
		mustAdd(ctx, ann, "g1", 5001)
		mustAdd(ctx, ann, "g2", 5002)
		answer.asked = make(chan config.Revision, 16)
		follower := follow(confstore.Options{Store: fake.Client, Peers: answer})
		Eventually(revisionOf(follower), bound).Should(BeEquivalentTo(2))
		before := follower.Current()
		follower.Offer("old", 9)
		Eventually(answer.asked, bound).Should(Receive(BeEquivalentTo(2)))
		Eventually(answer.asked, bound).Should(Receive(BeEquivalentTo(2)))
		Expect(follower.Current()).To(BeIdenticalTo(before))
	},
		Entry("with a full document", answers{doc: &config.Document{Revision: 1, ChangeID: "ann-1"}}),
		Entry("with the same revision of another history", answers{doc: &config.Document{Revision: 2, ChangeID: "other"}}),
		Entry("with changes", answers{changes: []config.Change{{Revision: 1, ChangeID: "ann-1"}}}),
	)

	It("keeps a bounded number of changes for its peers", func() {
		var all []config.Change
		doc := config.EmptyDocument()
		for range 300 {
			after := *doc
			after.DefaultGroup += "x"
			change := config.Diff(doc, &after)
			change.ChangeID = string(after.DefaultGroup)
			doc, _ = config.Apply(doc, &change)
			all = append(all, change)
		}
		source := answers{changes: all, asked: make(chan config.Revision, 16)}
		follower := follow(confstore.Options{Peers: source})
		follower.Offer("peer", 300)
		Eventually(revisionOf(follower), bound).Should(BeEquivalentTo(300))
		changes, full := follower.Changes(300 - 256)
		Expect(changes).To(HaveLen(256))
		Expect(full).To(BeNil())
		changes, full = follower.Changes(300 - 257)
		Expect(changes).To(BeNil())
		Expect(full).To(BeIdenticalTo(follower.Current()))
	})
})

// silentStore is a store whose watches never deliver anything.
type silentStore struct{ *storetest.Fake }

func (*silentStore) Watch(ctx context.Context, _ string, _ store.Revision) (<-chan store.Event, error) {
	events := make(chan store.Event)
	go func() { <-ctx.Done(); close(events) }()
	return events, nil
}
