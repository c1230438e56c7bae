package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"limpetspan/pkg/record"
	"limpetspan/platform/standin"
)

// caller is a client that keeps sessions and reconnects.
type caller struct {
	name     string
	database string
	random   *rand.Rand
	texts    *texts
	pick     func() string
	promoted func() int
	// recorder takes each statement that runs; replica tells which members do not lead.
	recorder *record.Writer
	replica  func(member string) bool

	c    net.Conn
	r    *bufio.Reader
	next int
	// values and prepared are what the session was told it has. Both are replaced when they change,
	// as exchanges keep them.
	values, prepared map[string]string
	// txBegan is when the open transaction began, zero if none is open.
	txBegan time.Time

	mu        sync.Mutex
	exchanges []exchange
	writes    []write
	broken    []violation
	served    int
}

// Limits of a caller.
const (
	startupWait = 2 * time.Second
	answerWait  = 4 * time.Second
)

func (x *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			x.hangUp()
			return
		default:
		}
		if x.c == nil && !x.connect() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		x.operation()
		if x.random.IntN(40) == 0 {
			x.hangUp()
		}
		time.Sleep(time.Duration(x.random.IntN(12)) * time.Millisecond)
	}
}

func (x *caller) hangUp() {
	if x.c != nil {
		_ = x.c.Close()
		x.c = nil
	}
}

func (x *caller) connect() bool {
	c, err := net.DialTimeout("tcp", x.pick(), startupWait)
	if err != nil {
		return false
	}
	x.c, x.r = c, bufio.NewReader(c)
	x.values, x.prepared, x.txBegan = nil, nil, time.Time{}
	_ = c.SetDeadline(time.Now().Add(startupWait))
	_, err = fmt.Fprintf(c, "STARTUP %s %s\r\n", x.database, x.name)
	line, rerr := standin.ReadLine(x.r)
	if err != nil || rerr != nil || !strings.HasPrefix(line, "READY") {
		x.hangUp()
		return false
	}
	x.set("who", x.name)
	return x.c != nil
}

// set sets a session value. The caller hangs up unless it is told that the value is set.
func (x *caller) set(name, value string) {
	if !x.change("SET " + name + " " + value) {
		return
	}
	x.values = maps.Clone(x.values)
	if x.values == nil {
		x.values = make(map[string]string)
	}
	x.values[name] = value
}

// change runs a statement that changes the state of the session, and hangs up unless that succeeds.
func (x *caller) change(text string) bool {
	e := x.query(text)
	if !e.succeeded() {
		x.hangUp()
		return false
	}
	return true
}

// query runs a statement and keeps the exchange.
func (x *caller) query(text string) exchange {
	x.next++
	e := exchange{id: fmt.Sprintf("%s.%d", x.name, x.next), text: text, database: x.database, values: x.values, definition: x.definition(text), sent: time.Now()}
	e.began = e.sent
	if !x.txBegan.IsZero() {
		e.began, e.inTransaction = x.txBegan, true
	}
	if x.c == nil {
		return e
	}
	x.exchange(&e)
	e.answered = time.Now()
	x.keep(&e)
	return e
}

// definition returns that of the prepared statement that the text names.
func (x *caller) definition(text string) string {
	rest, ok := strings.CutPrefix(text, "EXECUTE ")
	if !ok {
		return ""
	}
	name, _, _ := strings.Cut(rest, " ")
	return x.prepared[name]
}

// exchange sends the statement and reads its answer.
func (x *caller) exchange(e *exchange) {
	_ = x.c.SetDeadline(time.Now().Add(answerWait))
	if _, err := fmt.Fprintf(x.c, "QUERY %s %s\r\n", e.id, e.text); err != nil {
		x.hangUp()
		return
	}
	for {
		line, err := standin.ReadLine(x.r)
		if err != nil {
			x.hangUp()
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			e.rows = append(e.rows, rest)
		case "COMPLETE", "ERROR":
			e.end = line
		case "READY":
			if rest == "" || e.end == "" {
				x.fail(mixed, "%s %q got %q after %q", e.id, e.text, line, e.end)
				x.hangUp()
				return
			}
			e.ok, e.state = true, rest[0]
			x.checkRest(e)
			return
		case "TERMINATE":
			x.hangUp()
			return
		default:
			x.fail(mixed, "%s %q got %q", e.id, e.text, line)
			x.hangUp()
			return
		}
	}
}

// checkRest looks for an answer to nothing behind the answer. A session may be ended there.
func (x *caller) checkRest(e *exchange) {
	rest, err := x.r.Peek(x.r.Buffered())
	if err != nil || len(rest) == 0 || bytes.HasPrefix(rest, []byte("TERMINATE")) || bytes.HasPrefix(rest, []byte("ERROR")) {
		return
	}
	x.fail(mixed, "%s %q got %q behind its answer", e.id, e.text, rest)
	x.hangUp()
}

// keep keeps the exchange, and records a statement that runs at a member.
func (x *caller) keep(e *exchange) {
	x.mu.Lock()
	x.exchanges = append(x.exchanges, *e)
	x.mu.Unlock()
	if !e.runsAtMember() || x.recorder == nil {
		return
	}
	outcome := record.Unknown
	switch {
	case e.succeeded():
		outcome = record.Served
	case e.promised():
		outcome = record.NotRun
	}
	x.recorder.Statement(e.sent, outcome, e.reads(), e.succeeded() && x.replica(e.member()))
}

func (x *caller) fail(rule, format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.broken = append(x.broken, violation{rule, fmt.Sprintf(format, args...)})
}
