package front

import (
	"bytes"
	"context"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
)

// fakeHandler answers each statement with one row that holds its SQL text.
// The statement's first word chooses special behaviour: WAIT runs until it is
// released or cancelled, SHED is refused unrun, LOSE and END lose their connection,
// CUT breaks off inside a message, BREAK is an SQL error.
type fakeHandler struct {
	mu        sync.Mutex
	requests  []exchange.Request
	hangups   []core.CallerID
	cancelled map[core.CallerID]chan struct{}
	waiting   int
	release   chan struct{}
}

// brokenRow is a DataRow without its end.
var brokenRow = []byte{'D', 0, 0, 0, 99, 0}

func newFakeHandler() *fakeHandler {
	return &fakeHandler{cancelled: make(map[core.CallerID]chan struct{}), release: make(chan struct{})}
}

func (f *fakeHandler) Do(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	kept := *req
	kept.Messages = bytes.Clone(req.Messages)
	kept.Prepared = append([]exchange.Prepared(nil), req.Prepared...)
	cancelled := make(chan struct{})
	f.mu.Lock()
	f.requests = append(f.requests, kept)
	f.cancelled[req.Caller] = cancelled
	f.mu.Unlock()
	run := &fakeRun{handler: f, ctx: ctx, cancelled: cancelled, status: req.TxStatus, texts: make(map[string]string)}
	if err := run.do(req, w); err != nil {
		return exchange.Result{TxStatus: run.after}, err
	}
	return exchange.Result{TxStatus: run.status}, nil
}

func (f *fakeHandler) Cancel(caller core.CallerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.cancelled[caller])
}

func (f *fakeHandler) Hangup(caller core.CallerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hangups = append(f.hangups, caller)
}

func (f *fakeHandler) last() exchange.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[len(f.requests)-1]
}

func (f *fakeHandler) counts() (requests, waiting, hangups int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests), f.waiting, len(f.hangups)
}

// fakeRun is one exchange.
type fakeRun struct {
	handler   *fakeHandler
	ctx       context.Context
	cancelled chan struct{}
	status    byte
	// after is the status reported with an error.
	after  byte
	texts  map[string]string
	portal string
	out    []byte
	failed bool
}

func (r *fakeRun) do(req *exchange.Request, w exchange.Writer) error {
	for _, p := range req.Prepared {
		var parse pgproto3.Parse
		if err := parse.Decode(p.Parse[5:]); err != nil {
			return err
		}
		r.texts[p.Name] = parse.Query
	}
	backend := pgproto3.NewBackend(bytes.NewReader(req.Messages), nil)
	for {
		message, err := backend.Receive()
		if err != nil {
			break
		}
		if _, sync := message.(*pgproto3.Sync); r.failed && !sync {
			continue
		}
		if err := r.message(message, w); err != nil {
			return err
		}
	}
	r.say(&pgproto3.ReadyForQuery{TxStatus: r.status})
	_, err := w.Write(r.out)
	return err
}

func (r *fakeRun) say(m pgproto3.BackendMessage) { r.out = appendMessage(r.out, m) }

func (r *fakeRun) message(message pgproto3.FrontendMessage, w exchange.Writer) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		r.describe()
		return r.execute(m.String, w)
	case *pgproto3.Parse:
		if strings.HasPrefix(m.Query, "BREAK") {
			r.sqlError()
			return nil
		}
		r.texts[m.Name] = m.Query
		r.say(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		r.portal = r.texts[m.PreparedStatement]
		r.say(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == objectStatement {
			oids := make([]uint32, strings.Count(r.texts[m.Name], "$"))
			for i := range oids {
				oids[i] = textOID
			}
			r.say(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		}
		r.describe()
	case *pgproto3.Execute:
		return r.execute(r.portal, w)
	case *pgproto3.Close:
		r.say(&pgproto3.CloseComplete{})
	}
	return nil
}

func (r *fakeRun) describe() {
	r.say(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte("text"), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}}})
}

func (r *fakeRun) sqlError() {
	r.failed = true
	if r.status == 'T' {
		r.status = 'E'
	}
	r.say(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "42601", Message: "broken"})
}

func (r *fakeRun) execute(sql string, w exchange.Writer) error {
	_, rest, _ := parseComments([]byte(sql))
	word, _, _ := strings.Cut(string(rest), " ")
	switch word {
	case "WAIT":
		return r.wait(sql)
	case "SHED":
		r.after = r.status
		return errs.New(errs.Overloaded, core.OutcomeNotRun, "home.queue", "d2", "the queue is full").WithRetryAfter(refusedRetry)
	case "LOSE", "END":
		return errs.New(errs.ConnectionLost, core.OutcomeUnknown, "home.exchange", "m1", "the connection broke")
	case "CUT":
		w.Write(brokenRow)
		return errs.New(errs.ConnectionLost, core.OutcomeUnknown, "home.exchange", "m1", "the connection broke")
	case "BREAK":
		r.sqlError()
		return nil
	case "BEGIN":
		r.status = 'T'
	case "COMMIT", "ROLLBACK":
		r.status = 'I'
		if strings.HasPrefix(string(rest), "ROLLBACK TO") {
			r.status = 'T'
		}
	}
	r.say(&pgproto3.DataRow{Values: [][]byte{[]byte(sql)}})
	r.say(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	return nil
}

func (r *fakeRun) wait(sql string) error {
	r.handler.mu.Lock()
	r.handler.waiting++
	r.handler.mu.Unlock()
	select {
	case <-r.handler.release:
		r.say(&pgproto3.DataRow{Values: [][]byte{[]byte(sql)}})
		r.say(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		return nil
	case <-r.cancelled:
		r.after = r.status
		return errs.New(errs.Cancelled, core.OutcomeNotRun, "home.queue", "", "cancelled by the caller")
	case <-r.ctx.Done():
		return errs.New(errs.ConnectionLost, core.OutcomeUnknown, "home.exchange", "", "the caller is gone")
	}
}
