package home_test

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/core/group"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/home"
	"limpetspan/pkg/target"
)

const waitLimit = 10 * time.Second

// answer collects what a caller gets.
type answer struct {
	mu    sync.Mutex
	bytes []byte
	// block holds each Write back while it is not nil.
	block chan struct{}
}

func (a *answer) Write(p []byte) (int, error) {
	if a.block != nil {
		<-a.block
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytes = append(a.bytes, p...)
	return len(p), nil
}

// types returns the message types of the answer.
func (a *answer) types() string {
	var types []byte
	a.each(func(m pgproto3.BackendMessage, t byte) { types = append(types, t) })
	return string(types)
}

// first returns the first column of the first row.
func (a *answer) first() string {
	value := ""
	a.each(func(m pgproto3.BackendMessage, _ byte) {
		if row, ok := m.(*pgproto3.DataRow); ok && value == "" {
			value = string(row.Values[0])
		}
	})
	return value
}

func (a *answer) each(f func(pgproto3.BackendMessage, byte)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	frontend := pgproto3.NewFrontend(bytes.NewReader(a.bytes), nil)
	for rest := a.bytes; len(rest) > 0; {
		m, err := frontend.Receive()
		Expect(err).NotTo(HaveOccurred())
		f(m, rest[0])
		rest = rest[1+int(rest[1])<<24+int(rest[2])<<16+int(rest[3])<<8+int(rest[4]):]
	}
}

func query(sql string) []byte {
	out, err := (&pgproto3.Query{String: sql}).Encode(nil)
	Expect(err).NotTo(HaveOccurred())
	return out
}

func encode(messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range messages {
		var err error
		out, err = m.Encode(out)
		Expect(err).NotTo(HaveOccurred())
	}
	return out
}

// rig is a Manager with one group of one fake member.
type rig struct {
	manager *home.Manager
	member  *fakeMember
	reducer *fakeReducer
	now     func() core.Time
}

// clock returns a monotonic clock that is never zero.
func clock() func() core.Time {
	start := time.Now()
	return func() core.Time { return core.Time(time.Since(start)) + 1 }
}

func newRig(conns int) *rig { return newTracedRig(conns, nil) }

func newTracedRig(conns int, tracer trace.Tracer) *rig {
	return newRigOf(newFakeReducer(conns), tracer)
}

func newRigOf(reducer *fakeReducer, tracer trace.Tracer) *rig {
	r := &rig{member: newFakeMember(), reducer: reducer, now: clock()}
	r.manager = home.New(home.Options{
		Self: "d1", Zone: "sapporo-hall", Dialer: &target.Dialer{User: "u", Zone: "sapporo-hall"}, Now: r.now,
		Tracer: tracer, NewReducer: func(core.GroupID) home.Reducer { return r.reducer },
	})
	declared := &config.Group{Members: []config.Member{{ID: "m1", Addr: r.member.addr()}}, Database: "db"}
	r.manager.Ensure("g", declared, 1, []group.Candidate{{ID: "d1"}})
	return r
}

func (r *rig) close() {
	r.manager.Close()
	r.member.close()
}

func (r *rig) request(caller uint64, messages []byte) *exchange.Request {
	return &exchange.Request{
		Caller: core.CallerID{Entry: "d1", Number: caller}, Messages: messages, TxStatus: 'I', Group: "g",
		Deadline: within(r.now(), waitLimit),
	}
}

func (r *rig) do(req *exchange.Request) (*answer, exchange.Result, error) {
	a := &answer{}
	result, err := r.manager.Do(context.Background(), req, a)
	return a, result, err
}

// run runs a statement that must succeed.
func (r *rig) run(caller uint64, sql string) (*answer, exchange.Result) {
	GinkgoHelper()
	a, result, err := r.do(r.request(caller, query(sql)))
	Expect(err).NotTo(HaveOccurred())
	return a, result
}
