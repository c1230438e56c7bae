package front

import (
	"context"
	"io"
	"net"
	"runtime"
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

// startServer returns the address of a server that always gives the answer.
func startServer(b *testing.B, answer []byte, certificate *Certificate) string {
	b.Helper()
	server, err := New(Options{Handler: &cannedHandler{answer}, Daemon: "d1", Trust: true, Certificate: certificate})
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
	return listener.Addr().String()
}

// connectBench connects a client without a library on its way.
func connectBench(b *testing.B, address, sslMode string) net.Conn {
	b.Helper()
	connection, err := pgconn.Connect(context.Background(), "postgres://app@"+address+"/app?sslmode="+sslMode)
	if err != nil {
		b.Fatal(err)
	}
	hijacked, err := connection.Hijack()
	if err != nil {
		b.Fatal(err)
	}
	conn := hijacked.Conn
	b.Cleanup(func() { conn.Close() })
	return conn
}

func runBench(b *testing.B, request, answer []byte) {
	conn := connectBench(b, startServer(b, answer, nil), "disable")
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

// idleConnections is how many connections BenchmarkIdle holds.
const idleConnections = 2000

// BenchmarkIdle reports the memory of an idle connection that has run a
// request, the client's socket in the same process included. The memory of a
// TLS client is counted too and is about as large as the server's.
func BenchmarkIdle(b *testing.B) {
	b.Run("plain", func(b *testing.B) { runIdle(b, nil, "disable") })
	b.Run("tls", func(b *testing.B) {
		certificate, err := LoadCertificate(makeCertificate(b.TempDir(), 1, b.Fatal))
		if err != nil {
			b.Fatal(err)
		}
		runIdle(b, certificate, "require")
	})
}

func runIdle(b *testing.B, certificate *Certificate, sslMode string) {
	answer := cannedAnswer(nil)
	request := appendMessage(nil, &pgproto3.Query{String: "SELECT 1"})
	address := startServer(b, answer, certificate)
	buf := make([]byte, 4096)
	before := memoryInUse()
	for range idleConnections {
		conn := connectBench(b, address, sslMode)
		conn.Write(request)
		if _, err := io.ReadAtLeast(conn, buf, len(answer)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(memoryInUse()-before)/idleConnections, "B/connection")
}

// memoryInUse returns the heap and the stacks after they have been shrunk.
func memoryInUse() int64 {
	for range 5 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
