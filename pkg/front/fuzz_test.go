package front

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/pgframe"
)

// scriptConn is a connection whose caller sends all its bytes and hangs up.
type scriptConn struct {
	in  *bytes.Reader
	out bytes.Buffer
}

func (c *scriptConn) Read(b []byte) (int, error)     { return c.in.Read(b) }
func (c *scriptConn) Write(b []byte) (int, error)    { return c.out.Write(b) }
func (*scriptConn) Close() error                     { return nil }
func (*scriptConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*scriptConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*scriptConn) SetDeadline(time.Time) error      { return nil }
func (*scriptConn) SetReadDeadline(time.Time) error  { return nil }
func (*scriptConn) SetWriteDeadline(time.Time) error { return nil }

// checkingHandler checks what the front promises its handler, and answers.
type checkingHandler struct{ t *testing.T }

func (h *checkingHandler) Do(_ context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	var out []byte
	last, rest := byte(0), req.Messages
	for len(rest) > 0 {
		message, tail, err := pgframe.Split(rest, 0)
		if message == nil {
			h.t.Fatalf("no complete message in %q: %v", rest, err)
		}
		switch message.Type() {
		case messageParse:
			out = append(out, parseComplete...)
		case messageClose:
			out = append(out, closeComplete...)
		}
		last, rest = message.Type(), tail
	}
	if last != messageQuery && last != messageSync {
		h.t.Fatalf("the exchange ends with %q", last)
	}
	for _, p := range req.Prepared {
		var parse pgproto3.Parse
		if err := parse.Decode(p.Parse[pgframe.HeaderLen:]); err != nil || parse.Name != p.Name {
			h.t.Fatalf("statement %q: %v", p.Name, err)
		}
	}
	if req.Session == "" || req.Deadline == 0 {
		h.t.Fatal("no session or no deadline")
	}
	if bytes.Contains(req.Messages, []byte("SHED")) {
		return exchange.Result{TxStatus: req.TxStatus}, errs.New(errs.Overloaded, core.OutcomeNotRun, "test", "", "shed")
	}
	status := req.TxStatus
	if bytes.Contains(req.Messages, []byte("BEGIN")) {
		status = 'T'
	}
	_, err := w.Write(pgframe.AppendReadyForQuery(out, status))
	return exchange.Result{TxStatus: status}, err
}

func (*checkingHandler) Cancel(core.CallerID) {}
func (*checkingHandler) Hangup(core.CallerID) {}

// runScript serves one connection that sends the bytes, and returns the answers.
func runScript(t *testing.T, script []byte) []byte {
	server, err := New(Options{Handler: &checkingHandler{t}, Daemon: "d1", Trust: true, MaxMessage: 1 << 16, MaxBatch: 1 << 17})
	if err != nil {
		t.Fatal(err)
	}
	conn := &scriptConn{in: bytes.NewReader(script)}
	server.add(context.Background(), conn).run()
	if len(server.callers) != 0 || server.admitted != 0 || len(server.keys.callers) != 0 {
		t.Fatal("the connection was not forgotten")
	}
	return conn.out.Bytes()
}

// checkAnswers fails unless the bytes are complete, well-formed backend messages.
func checkAnswers(t *testing.T, answers []byte) {
	frontend := pgproto3.NewFrontend(bytes.NewReader(answers), nil)
	for rest := answers; len(rest) > 0; {
		message, tail, err := pgframe.Split(rest, 0)
		if message == nil {
			t.Fatalf("no complete message in %q: %v", rest, err)
		}
		if _, err := frontend.Receive(); err != nil {
			t.Fatalf("message %q: %v", message, err)
		}
		rest = tail
	}
}

func FuzzStartup(f *testing.F) {
	f.Fuzz(func(t *testing.T, script []byte) {
		checkAnswers(t, bytes.TrimLeft(runScript(t, script), "N"))
	})
}

func FuzzMessages(f *testing.F) {
	start, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "app"}}).Encode(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, messages []byte) {
		checkAnswers(t, runScript(t, append(bytes.Clone(start), messages...)))
	})
}

func FuzzDirective(f *testing.F) {
	f.Fuzz(func(t *testing.T, sql string) {
		d, rest, err := parseComments([]byte(sql))
		if err == nil && !strings.HasSuffix(sql, string(rest)) {
			t.Fatalf("%q is not the end of %q", rest, sql)
		}
		if err == nil {
			classify(rest)
		}
		if err != nil && err.Outcome != core.OutcomeNotRun {
			t.Fatalf("outcome %v", err.Outcome)
		}
		if d.given&hasRead == 0 && d.values.Read {
			t.Fatal("read was not given")
		}
		checkRoundTrip(t, sql)
	})
}

// checkRoundTrip writes a value as sqlcommenter does and reads it back.
func checkRoundTrip(t *testing.T, value string) {
	if value == "" || len(value) > maxDirectiveLen {
		return
	}
	encoded := strings.ReplaceAll(url.PathEscape(value), "'", `\'`)
	d, rest, err := parseComments(fmt.Appendf(nil, "/*db='x',key='%s'*/SELECT", encoded))
	if err != nil || d.values.Key != value || string(rest) != "SELECT" {
		t.Fatalf("%q came back as %q, %q, %v", value, d.values.Key, rest, err)
	}
}
