package peer_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/peer"
	"limpetspan/pkg/peer/peerpb"
)

var _ = Describe("exchanges between daemons", func() {
	var (
		handler *fakeHandler
		client  *peer.Client
		out     *bytes.Buffer
	)

	BeforeEach(func() {
		handler, client, out = newFakeHandler(), newClient(peer.ClientOptions{}), &bytes.Buffer{}
		handler.do = func(_ context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
			_, err := w.Write(req.Messages)
			return exchange.Result{TxStatus: 'I', Position: core.Position{Term: 2, LSN: 7}}, err
		}
	})

	outcome := func(err error) core.Outcome {
		GinkgoHelper()
		Expect(err).To(HaveOccurred())
		return errs.As(err).Outcome
	}

	It("carries the request and its answer, small and large, over one connection", func(ctx SpecContext) {
		var seen *exchange.Request
		echo := handler.do
		handler.do = func(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
			seen = req
			return echo(ctx, req, w)
		}
		addr, _ := serve(handler, nil)
		large := strings.Repeat("x", 3<<20)
		for _, messages := range []string{"", "small", large, "Z\x00\x00\x00\x05I"} {
			out.Reset()
			req := request(1, messages)
			req.Directives = core.Directives{Session: "s", Read: true, Once: "o", MaxStaleness: time.Second}
			req.Prepared = []exchange.Prepared{{Name: "p", Parse: []byte("P")}}
			req.Floor = core.Position{Term: 4, LSN: 2}
			result, err := client.Exchange(ctx, addr, req, out)
			Expect(err).NotTo(HaveOccurred())
			Expect(result).To(Equal(exchange.Result{TxStatus: 'I', Group: "g", Position: core.Position{Term: 2, LSN: 7}}))
			Expect(out.String() == messages).To(BeTrue())
			Expect(seen.Deadline).To(BeNumerically("~", req.Deadline, 5*time.Second))
			seen.Deadline, seen.Timeout, seen.Messages, req.Messages = req.Deadline, 0, nil, nil
			Expect(seen).To(Equal(req))
		}
		Expect(client.Connections()).To(Equal(1))
	})

	It("brings errors across with kind, outcome, step, peer and hint", func(ctx SpecContext) {
		handler.do = func(context.Context, *exchange.Request, exchange.Writer) (exchange.Result, error) {
			err := errs.New(errs.NotHome, core.OutcomeNotRun, "home.arrive", "d3", "not home of %s", "g").WithRetryAfter(time.Second)
			err.Hint = "d4"
			return exchange.Result{}, err
		}
		addr, _ := serve(handler, nil)
		_, err := client.Exchange(ctx, addr, request(1, "q"), out)
		Expect(errs.Is(err, errs.NotHome)).To(BeTrue())
		e := errs.As(err)
		Expect([]any{e.Outcome, e.Step, e.Peer, e.RetryAfter, e.Hint, e.Message()}).To(Equal(
			[]any{core.OutcomeNotRun, "home.arrive", "d3", time.Second, core.DaemonID("d4"), "not home of g"}))
	})

	It("carries calls, and those that end a caller's work", func(ctx SpecContext) {
		addr, _ := serve(handler, nil)
		reply, err := client.Call(ctx, addr, &peerpb.Call{Call: &peerpb.Call_Sync{Sync: &peerpb.SyncCall{State: []byte("s")}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetSync().GetState()).To(Equal([]byte("s")))
		caller := core.CallerID{Entry: "e1", Number: 3}
		Expect(client.Cancel(ctx, addr, caller, "g")).To(Succeed())
		Expect(handler.cancels).To(Receive(Equal(caller)))
		Expect(client.Hangup(ctx, addr, caller, "g")).To(Succeed())
		Expect(handler.hangups).To(Receive(Equal(caller)))
	})

	It("says not run when the daemon cannot be reached", func(ctx SpecContext) {
		addr, stop := serve(handler, nil)
		stop()
		_, err := client.Exchange(ctx, addr, request(1, "q"), out)
		Expect(outcome(err)).To(Equal(core.OutcomeNotRun))
	})

	// A host is gone, and a forwarder in front of it still accepts connections and
	// closes them. A write sent to it would have to be called unknown, although no
	// daemon ever saw it.
	It("says not run when something else than a daemon answers", func(ctx SpecContext) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 1))
				_ = conn.Close()
			}
		}()
		_, err = client.Exchange(ctx, ln.Addr().String(), request(1, "q"), out)
		Expect(outcome(err)).To(Equal(core.OutcomeNotRun))
	})

	// A home dies while it runs a caller's write: the entry sees its connection
	// break after the request went out. The write may be committed, so telling
	// the caller "not run" would let it be made twice.
	It("says unknown when the connection is lost after sending", func(ctx SpecContext) {
		started, failed := make(chan struct{}), make(chan struct{})
		handler.do = func(context.Context, *exchange.Request, exchange.Writer) (exchange.Result, error) {
			close(started)
			<-failed
			return exchange.Result{}, nil
		}
		addr, stop := serve(handler, nil)
		go func() {
			<-started
			stop()
		}()
		_, err := client.Exchange(ctx, addr, request(1, "q"), out)
		close(failed)
		Expect(outcome(err)).To(Equal(core.OutcomeUnknown))
		Expect(errs.Is(err, errs.ConnectionLost)).To(BeTrue())
	})

	// A daemon restarts between two requests, and the entry's pooled connection
	// is dead when the second comes. Nothing was sent over it, so the request
	// goes to the new process instead of failing.
	It("replaces a dead pooled connection", func(ctx SpecContext) {
		addr, stop := serve(handler, nil)
		_, err := client.Exchange(ctx, addr, request(1, "q"), out)
		Expect(err).NotTo(HaveOccurred())
		stop()
		again := newFakeHandler()
		again.do = handler.do
		ln, err := net.Listen("tcp", addr)
		Expect(err).NotTo(HaveOccurred())
		serving, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go peer.NewServer(peer.ServerOptions{Handler: again, Calls: again, Now: now}).Serve(serving, ln)
		_, err = client.Exchange(ctx, addr, request(1, "q"), out)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.runs.Load()).To(Equal(int64(1)))
	})

	// A middlebox forgets a connection: both ends keep it, bytes go nowhere, and
	// new connections work. Callers would wait for their deadlines of half a
	// minute, one after the other. The ping ends the connection within seconds.
	It("finds a silent connection and uses a fresh one", func(ctx SpecContext) {
		addr, _ := serve(handler, nil)
		middlebox := newProxy(addr)
		_, err := client.Exchange(ctx, middlebox.addr, request(1, "q"), out)
		Expect(err).NotTo(HaveOccurred())
		middlebox.silence()
		begin := time.Now()
		_, err = client.Exchange(ctx, middlebox.addr, request(1, "q"), out)
		Expect(outcome(err)).To(Equal(core.OutcomeUnknown))
		Expect(time.Since(begin)).To(BeNumerically("<", 20*time.Second))
		_, err = client.Exchange(ctx, middlebox.addr, request(1, "q"), out)
		Expect(err).NotTo(HaveOccurred())
	})

	// An entry dies in the middle of a caller's transaction. Its locks at the
	// target would block others until some timeout; the home is told instead as
	// soon as the connection ends.
	It("hangs up the transactions of an entry that dies", func(ctx SpecContext) {
		handler.do = func(context.Context, *exchange.Request, exchange.Writer) (exchange.Result, error) {
			return exchange.Result{TxStatus: 'T'}, nil
		}
		addr, _ := serve(handler, nil)
		dying := peer.NewClient(peer.ClientOptions{Now: now})
		_, err := dying.Exchange(ctx, addr, request(7, "BEGIN"), out)
		Expect(err).NotTo(HaveOccurred())
		Consistently(handler.hangups).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		dying.Close()
		Eventually(handler.hangups).WithTimeout(10 * time.Second).Should(Receive(Equal(core.CallerID{Entry: "e1", Number: 7})))
	})

	// A caller gives up while its answer is on the way. If the stream went back
	// to the pool, the next caller would get the answer of the first.
	It("never pools a stream whose answer is outstanding", func(ctx SpecContext) {
		release := make(chan struct{})
		echo := handler.do
		handler.do = func(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
			if string(req.Messages) == "first" {
				<-release
			}
			return echo(ctx, req, w)
		}
		addr, _ := serve(handler, nil)
		given, giveUp := context.WithCancel(ctx)
		go func() {
			defer GinkgoRecover()
			Eventually(handler.runs.Load).WithTimeout(10 * time.Second).Should(Equal(int64(1)))
			giveUp()
		}()
		_, err := client.Exchange(given, addr, request(1, "first"), out)
		Expect(outcome(err)).To(Equal(core.OutcomeUnknown))
		close(release)
		for range 20 {
			out.Reset()
			_, err = client.Exchange(ctx, addr, request(2, "second"), out)
			Expect(err).NotTo(HaveOccurred())
			Expect(out.String()).To(Equal("second"))
		}
	})

	It("closes connections that are not used", func(ctx SpecContext) {
		addr, _ := serve(handler, nil)
		brief := newClient(peer.ClientOptions{IdleTimeout: time.Millisecond})
		_, err := brief.Exchange(ctx, addr, request(1, "q"), out)
		Expect(err).NotTo(HaveOccurred())
		Eventually(brief.Connections).WithTimeout(10 * time.Second).Should(BeZero())
	})

	It("ends a connection that sends garbage and serves the others", func(ctx SpecContext) {
		addr, _ := serve(handler, nil)
		for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x01\x00\x00\x00\x01\x00\x00\x00\x06X\xff\xff\xff\xffH"} {
			conn, err := net.Dial("tcp", addr)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			_, err = conn.Write([]byte(garbage))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := client.Exchange(ctx, addr, request(1, "q"), out)
		Expect(err).NotTo(HaveOccurred())
	})
})
