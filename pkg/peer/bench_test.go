package peer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"

	"limpetspan/core"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/peer"
)

// BenchmarkExchange is a small request and answer between two daemons over
// loopback.
func BenchmarkExchange(b *testing.B) {
	handler := newFakeHandler()
	answer := append(bytes.Repeat([]byte{'x'}, 100), "Z\x00\x00\x00\x05I"...)
	handler.do = func(_ context.Context, _ *exchange.Request, w exchange.Writer) (exchange.Result, error) {
		_, err := w.Write(answer)
		return exchange.Result{TxStatus: 'I', Position: core.Position{Term: 2, LSN: 9}}, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go peer.NewServer(peer.ServerOptions{Handler: handler, Calls: handler, Now: now}).Serve(ctx, ln)
	client := peer.NewClient(peer.ClientOptions{Now: now})
	defer client.Close()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req := request(1, "Q\x00\x00\x00\x0dSELECT 1\x00")
			req.Session = "session"
			if _, err := client.Exchange(ctx, ln.Addr().String(), req, io.Discard); err != nil {
				b.Fatal(err)
			}
		}
	})
}
