package home_test

import (
	"context"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/core/group"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/home"
	"limpetspan/pkg/target"
)

// directReducer gives every request the one connection there is.
type directReducer struct {
	dispatch    group.Dispatch
	acknowledge group.Acknowledge
	opened      chan struct{}
}

func (d *directReducer) Snapshot() group.Snapshot { return group.Snapshot{} }

func (d *directReducer) Reduce(_ core.Time, ev group.Event, fx *group.Effects) {
	fx.Reset()
	switch e := ev.(type) {
	case *group.Configure:
		fx.List = append(fx.List, &group.OpenConn{Conn: 1, Member: e.Members[0].ID})
	case *group.ConnOpened:
		close(d.opened)
	case *group.Arrived:
		d.dispatch = group.Dispatch{Request: e.Request, Conn: 1, Hold: !e.Read, WantPosition: !e.Read}
		fx.List = append(fx.List, &d.dispatch)
	case *group.Finished:
		d.acknowledge = group.Acknowledge{Request: e.Request, Position: e.Position}
		fx.List = append(fx.List, &d.acknowledge)
	}
}

// A marker ends with the types of its parameters, Describe and Sync.
const (
	markerTypesLen = 4 * 8
	markerEndLen   = 7 + 5
)

// serveCanned answers each piece of input on the first connection with the same
// bytes and the answer to its marker, and allocates nothing meanwhile.
func serveCanned(listener net.Listener, canned []byte) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if backend.Flush() != nil {
		return
	}
	buffer, reply := make([]byte, 64<<10), make([]byte, 0, 64<<10)
	for {
		n, err := conn.Read(buffer)
		if err != nil || n < markerTypesLen+markerEndLen {
			return
		}
		types := buffer[n-markerEndLen-markerTypesLen : n-markerEndLen]
		reply = append(reply[:0], canned...)
		reply = append(reply, '1', 0, 0, 0, 4, 't', 0, 0, 0, 4+2+markerTypesLen, 0, markerTypesLen/4)
		reply = append(reply, types...)
		reply = append(reply, 'n', 0, 0, 0, 4, 'Z', 0, 0, 0, 5, 'I')
		if _, err := conn.Write(reply); err != nil {
			return
		}
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func benchmarkDo(b *testing.B, read bool) {
	answer := bytesOf(b, &pgproto3.DataRow{Values: [][]byte{[]byte("1")}}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	position := bytesOf(b, &pgproto3.DataRow{Values: [][]byte{[]byte("2"), []byte("100")}}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	if !read {
		answer = append(answer, position...)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go serveCanned(listener, answer)
	reducer := &directReducer{opened: make(chan struct{})}
	manager := home.New(home.Options{
		Self: "d1", Dialer: &target.Dialer{User: "u"}, NewReducer: func(core.GroupID) home.Reducer { return reducer },
	})
	defer manager.Close()
	manager.Ensure("g", &config.Group{Members: []config.Member{{ID: "m", Addr: listener.Addr().String()}}}, 1, nil)
	<-reducer.opened

	messages := bytesOf(b, &pgproto3.Query{String: "SELECT 1"})
	req := &exchange.Request{Messages: messages, TxStatus: 'I', Group: "g", Directives: core.Directives{Read: read}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := manager.Do(ctx, req, discard{}); err != nil {
			b.Fatal(err)
		}
	}
}

func bytesOf(b *testing.B, messages ...pgproto3.Message) []byte {
	var out []byte
	for _, m := range messages {
		var err error
		if out, err = m.Encode(out); err != nil {
			b.Fatal(err)
		}
	}
	return out
}

func BenchmarkDoRead(b *testing.B)  { benchmarkDo(b, true) }
func BenchmarkDoWrite(b *testing.B) { benchmarkDo(b, false) }
