package store_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/store"
	"limpetspan/pkg/store/storetest"
	standin "limpetspan/standin/store"
)

var _ = Describe("Watch", func() {
	var (
		ctx  context.Context
		fake *storetest.Fake
	)
	BeforeEach(func() { ctx, fake = startFake() })

	It("delivers the changes after a revision in order", func() {
		fake.MustPut("/a/1", []byte("old"))
		_, revision, err := fake.List(ctx, "/a/")
		Expect(err).NotTo(HaveOccurred())
		fake.MustPut("/a/2", []byte("new"))
		events, err := fake.Watch(ctx, "/a/", revision)
		Expect(err).NotTo(HaveOccurred())
		fake.MustPut("/b/1", nil)
		_, err = fake.CompareAndSwap(ctx, store.Swap{Key: "/a/1", Expect: revision, Delete: true})
		Expect(err).NotTo(HaveOccurred())
		var first, second store.Event
		Eventually(events, "10s").Should(Receive(&first))
		Eventually(events, "10s").Should(Receive(&second))
		Expect(first.Key).To(Equal("/a/2"))
		Expect(string(first.Value)).To(Equal("new"))
		Expect(second.Key).To(Equal("/a/1"))
		Expect(second.Deleted).To(BeTrue())
		Expect(fake.Server.Counts().OpenWatches).To(BeEquivalentTo(1))
	})

	It("ends with its context", func() {
		watchCtx, cancel := context.WithCancel(ctx)
		events, err := fake.Watch(watchCtx, "/a/", 0)
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Eventually(events, "10s").Should(BeClosed())
		Eventually(func() int64 { return fake.Server.Counts().OpenWatches }, "10s").Should(BeZero())
	})

	It("ends when the service stops", func() {
		events, err := fake.Watch(ctx, "/a/", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(fake.Server.SetOutage(standin.OutageRefuse)).To(Succeed())
		Eventually(events, "10s").Should(BeClosed())
		_, err = fake.Watch(ctx, "/a/", 0)
		Expect(err).To(MatchError(store.ErrRefused))
	})

	// An operator's change never reaches one daemon, though new connections
	// from it work: the connection of its watch went silent for good, and
	// nothing on it ever reports an error.
	It("gives up a watch that hears nothing, so that a new one sees the change", func() {
		c := fake.NewClient(store.Options{WatchIdle: 50 * time.Millisecond})
		_, revision, err := c.List(ctx, "/a/")
		Expect(err).NotTo(HaveOccurred())
		events, err := c.Watch(ctx, "/a/", revision)
		Expect(err).NotTo(HaveOccurred())
		Expect(fake.Server.SetOutage(standin.OutageSilent)).To(Succeed())
		fake.MustPut("/a/1", nil)
		Eventually(events, "10s").Should(BeClosed())
		Expect(fake.Server.SetOutage(standin.OutageNone)).To(Succeed())
		events, err = c.Watch(ctx, "/a/", revision)
		Expect(err).NotTo(HaveOccurred())
		Eventually(events, "10s").Should(Receive())
	})

	// A daemon misses a change: the store was restored from a backup, its
	// revisions began again behind the one the daemon waits for, and the change
	// got a number the daemon had already seen.
	It("asks for a new list when the store has gone back", func() {
		fake.MustPut("/a/1", nil)
		old := fake.Server.Engine().Revision()
		fake.MustPut("/a/1", nil)
		_, revision, err := fake.List(ctx, "/a/")
		Expect(err).NotTo(HaveOccurred())
		Expect(fake.Server.Restore(old)).To(Succeed())
		_, err = fake.Watch(ctx, "/a/", revision)
		Expect(err).To(MatchError(store.ErrCompacted))
		_, err = fake.Watch(ctx, "/a/", store.Revision(old))
		Expect(err).NotTo(HaveOccurred())
	})

	It("reports a compacted start with the next watch, once", func() {
		fake.MustPut("/a/1", nil)
		fake.MustPut("/a/1", nil)
		fake.Server.Engine().Compact(fake.Server.Engine().Revision())
		events, err := fake.Watch(ctx, "/a/", 1)
		Expect(err).NotTo(HaveOccurred())
		Eventually(events, "10s").Should(BeClosed())
		_, err = fake.Watch(ctx, "/a/", 1)
		Expect(err).To(MatchError(store.ErrCompacted))
		_, err = fake.Watch(ctx, "/a/", store.Revision(fake.Server.Engine().Revision()))
		Expect(err).NotTo(HaveOccurred())
	})
})
