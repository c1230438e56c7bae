package front

import (
	"context"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"limpetspan/core"
	"limpetspan/pkg/exchange"
)

// cannedHandler gives the same answer to every request.
type cannedHandler struct{ answer []byte }

func (h *cannedHandler) Do(_ context.Context, _ *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	_, err := w.Write(h.answer)
	return exchange.Result{TxStatus: 'I'}, err
}
func (h *cannedHandler) Cancel(core.CallerID) {}
func (h *cannedHandler) Hangup(core.CallerID) {}

// startBench connects a client without a library on its way.
func startBench(b *testing.B, answer []byte) net.Conn {
	b.Helper()
	server, err := New(Options{Handler: &cannedHandler{answer}, Daemon: "d1", Trust: true})
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(context.Background(), listener) }()
	b.Cleanup(func() {
		server.Shutdown(context.Background())
		<-done
	})
	connection, err := pgconn.Connect(context.Background(), "postgres://app@"+listener.Addr().String()+"/app?sslmode=disable")
	if err != nil {
		b.Fatal(err)
	}
	hijacked, err := connection.Hijack()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { hijacked.Conn.Close() })
	return hijacked.Conn
}

func runBench(b *testing.B, request, answer []byte) {
	conn := startBench(b, answer)
	buf := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		for got := 0; got < len(answer); {
			n, err := conn.Read(buf)
			if err != nil {
				b.Fatal(err)
			}
			got += n
		}
	}
}

// BenchmarkSimple and BenchmarkExtended measure a round trip through the front
// over loopback, of which BenchmarkEcho is the part that is not the front's.
func BenchmarkSimple(b *testing.B) {
	request := appendMessage(nil, &pgproto3.Query{String: "SELECT 1"})
	runBench(b, request, cannedAnswer(nil))
}

func BenchmarkExtended(b *testing.B) {
	var request []byte
	for _, m := range []pgproto3.Message{
		&pgproto3.Parse{Query: "/*read='true',kind='listing'*/ SELECT $1::text"},
		&pgproto3.Bind{Parameters: [][]byte{[]byte("x")}},
		&pgproto3.Describe{ObjectType: 'P'},
		&pgproto3.Execute{},
		&pgproto3.Sync{},
	} {
		request = appendMessage(request, m)
	}
	runBench(b, request, cannedAnswer(appendMessage(appendMessage(nil, &pgproto3.ParseComplete{}), &pgproto3.BindComplete{})))
}

func BenchmarkEcho(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	answer := cannedAnswer(nil)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 4096)
		for {
			if _, err := conn.Read(buf); err != nil {
				return
			}
			conn.Write(answer)
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	request := appendMessage(nil, &pgproto3.Query{String: "SELECT 1"})
	buf := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		conn.Write(request)
		if _, err := conn.Read(buf); err != nil {
			b.Fatal(err)
		}
	}
}

func cannedAnswer(first []byte) []byte {
	for _, m := range []pgproto3.BackendMessage{
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("x"), DataTypeOID: textOID}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte("x")}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	} {
		first = appendMessage(first, m)
	}
	return first
}
