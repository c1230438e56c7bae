package peer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/peer"
	"limpetspan/pkg/peer/peerpb"
)

var origin = time.Now()

func now() core.Time { return core.Time(time.Since(origin)) }

// fakeHandler runs do for each exchange and records what else it is told.
type fakeHandler struct {
	do      func(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error)
	runs    atomic.Int64
	hangups chan core.CallerID
	cancels chan core.CallerID
}

func newFakeHandler() *fakeHandler {
	return &fakeHandler{hangups: make(chan core.CallerID, 16), cancels: make(chan core.CallerID, 16)}
}

func (h *fakeHandler) Do(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	h.runs.Add(1)
	return h.do(ctx, req, w)
}
func (h *fakeHandler) Cancel(c core.CallerID) { h.cancels <- c }
func (h *fakeHandler) Hangup(c core.CallerID) { h.hangups <- c }

func (h *fakeHandler) Call(_ context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	return &peerpb.Reply{Sync: &peerpb.SyncReply{State: call.GetSync().GetState()}}, nil
}

// serve starts a server on a free port; it ends with the test.
func serve(h *fakeHandler, tls *peer.TLS) (addr string, stop func()) {
	options := peer.ServerOptions{Handler: h, Calls: h, Now: now}
	if tls != nil {
		options.TLS = tls.Server()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	server := peer.NewServer(options)
	go func() { done <- server.Serve(ctx, ln) }()
	stop = sync.OnceFunc(func() {
		cancel()
		Eventually(done).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})
	DeferCleanup(stop)
	return ln.Addr().String(), stop
}

func newClient(options peer.ClientOptions) *peer.Client {
	options.Now = now
	client := peer.NewClient(options)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- client.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(done).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})
	return client
}

func request(number uint64, messages string) *exchange.Request {
	return &exchange.Request{
		Caller: core.CallerID{Entry: "e1", Number: number}, Group: "g", TxStatus: 'I',
		Messages: []byte(messages), Deadline: now().Add(30 * time.Second),
	}
}

// proxy forwards connections until told to be silent, when it goes on
// accepting bytes and forwards none of them on the connections it has.
type proxy struct {
	addr  string
	mu    sync.Mutex
	conns []*atomic.Bool
}

func newProxy(to string) *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	p := &proxy{addr: ln.Addr().String()}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			back, err := net.Dial("tcp", to)
			if err != nil {
				conn.Close()
				continue
			}
			silent := &atomic.Bool{}
			p.mu.Lock()
			p.conns = append(p.conns, silent)
			p.mu.Unlock()
			go forward(back, conn, silent)
			go forward(conn, back, silent)
		}
	}()
	return p
}

func forward(to, from net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			to.Close()
			return
		}
		if !silent.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Store(true)
	}
}
