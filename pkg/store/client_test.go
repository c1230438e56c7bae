package store_test

import (
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/store"
	"limpetspan/pkg/store/storetest"
	standin "limpetspan/standin/store"
)

var _ = Describe("Client", func() {
	var (
		ctx  context.Context
		fake *storetest.Fake
	)
	BeforeEach(func() { ctx, fake = startFake() })

	It("swaps several keys or none, and shows the one in the way", func() {
		r, err := fake.CompareAndSwap(ctx, store.Swap{Key: "/a", Value: []byte("1")}, store.Swap{Key: "/b", Value: []byte("1")})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Swapped).To(BeTrue())
		lost, err := fake.CompareAndSwap(ctx, store.Swap{Key: "/a", Expect: r.Revision, Value: []byte("2")}, store.Swap{Key: "/b", Delete: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(lost.Swapped).To(BeFalse())
		Expect(lost.Current.Key).To(Equal("/b"))
		Expect(lost.Current.ModRevision).To(Equal(r.Revision))
		list, revision, err := fake.List(ctx, "/")
		Expect(err).NotTo(HaveOccurred())
		Expect(revision).To(Equal(r.Revision))
		Expect(list).To(HaveLen(2))
		Expect(fake.Get(ctx, "/none")).To(BeNil())
	})

	It("keeps a key as long as its lease", func() {
		id, err := fake.Grant(ctx, 1500*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		_, err = fake.CompareAndSwap(ctx, store.Swap{Key: "/a", Lease: id})
		Expect(err).NotTo(HaveOccurred())
		Expect(fake.KeepAlive(ctx, id)).To(BeNumerically("~", 2*time.Second, time.Second))
		fake.Advance(2 * time.Second)
		_, err = fake.KeepAlive(ctx, id)
		Expect(err).To(MatchError(store.ErrLeaseGone))
		Expect(fake.Get(ctx, "/a")).To(BeNil())
		_, err = fake.CompareAndSwap(ctx, store.Swap{Key: "/a", Lease: id})
		Expect(err).To(MatchError(store.ErrLeaseGone))
		Expect(err).To(MatchError(store.ErrRefused))
	})

	// A change is reported as failed, an operator repeats it, and it is found
	// to be in force twice: the service had carried out the first one, and only
	// its answer was lost. Whoever asks must learn which of the two it was.
	DescribeTable("tells a refused change from one that may have taken effect",
		func(fault func(), class error, effect bool) {
			quick := fake.NewClient(store.Options{Timeout: 50 * time.Millisecond, Transport: fake.Transport})
			fault()
			_, err := quick.CompareAndSwap(ctx, store.Swap{Key: "/a", Value: []byte("1")})
			Expect(err).To(MatchError(class))
			if class == store.ErrUnknown {
				Expect(err).NotTo(MatchError(store.ErrRefused))
			} else {
				Expect(err).NotTo(MatchError(store.ErrUnknown))
			}
			if effect {
				Expect(fake.MustGet("/a")).To(BeEquivalentTo("1"))
			} else {
				Expect(fake.MustGet("/a")).To(BeNil())
			}
		},
		Entry("no connection", func() { fake.Transport.SetDown(true) }, store.ErrRefused, false),
		Entry("over the rate", func() {
			fake.Server.SetLimits(1, 0)
			_, _ = fake.Grant(ctx, time.Second)
		}, store.ErrRefused, false),
		Entry("answer lost", func() { fake.Server.LoseAnswers(1) }, store.ErrUnknown, true),
		Entry("outage that answers", func() { _ = fake.Server.SetOutage(standin.OutageRefuse) }, store.ErrUnknown, false),
		Entry("outage that cuts", func() { _ = fake.Server.SetOutage(standin.OutageDrop) }, store.ErrUnknown, false),
		Entry("outage in silence", func() { _ = fake.Server.SetOutage(standin.OutageSilent) }, store.ErrUnknown, false),
	)

	It("calls a change refused when its context had ended before", func() {
		ended, cancel := context.WithCancel(ctx)
		cancel()
		_, err := fake.CompareAndSwap(ended, store.Swap{Key: "/a"})
		Expect(err).To(MatchError(store.ErrRefused))
		Expect(err).To(MatchError(context.Canceled))
	})

	It("asks the next endpoint when one is down, over real connections", func() {
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		dead := "http://" + closed.Addr().String()
		Expect(closed.Close()).To(Succeed())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: fake.Server}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		c, err := store.NewClient(store.Options{Endpoints: []string{dead, "http://" + listener.Addr().String()}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		r, err := c.CompareAndSwap(ctx, store.Swap{Key: "/a", Value: []byte("1")})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Swapped).To(BeTrue())
		fake.Server.LoseAnswers(1)
		_, err = c.CompareAndSwap(ctx, store.Swap{Key: "/a", Expect: r.Revision, Value: []byte("2")})
		Expect(err).To(MatchError(store.ErrUnknown))
		Expect(fake.MustGet("/a")).To(BeEquivalentTo("2"))
		Expect(c.Metrics().Get("calls_txn").String()).To(Equal("2"))
	})
})
