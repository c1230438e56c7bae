package entry_test

import (
	"context"
	"io"
	"testing"

	"limpetspan/core"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/pgframe"
)

// BenchmarkDo is what the entry adds to a request whose home is here.
func BenchmarkDo(b *testing.B) {
	daemons := newFakeFleet()
	daemons.setHome("self")
	e := newEntryWith(daemons, constantHome{})
	messages := pgframe.AppendQuery(nil, "SELECT 1")
	var floors exchange.Floors
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		req := &exchange.Request{}
		for pb.Next() {
			*req = exchange.Request{
				Caller: core.CallerID{Entry: "self", Number: 1}, Directives: core.Directives{Session: "s", Read: true},
				Messages: messages, TxStatus: 'I', Floors: &floors, Deadline: now().Add(1e9),
			}
			if _, err := e.Do(context.Background(), req, io.Discard); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// constantHome answers at once.
type constantHome struct{}

func (constantHome) Do(context.Context, *exchange.Request, exchange.Writer) (exchange.Result, error) {
	return exchange.Result{TxStatus: 'I'}, nil
}
func (constantHome) Cancel(core.CallerID) {}
func (constantHome) Hangup(core.CallerID) {}
