package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"limpetspan/pkg/record"
)

// verdict is what a caller was told of a write.
type verdict uint8

const (
	unknown verdict = iota
	acknowledged
	notRun
)

// write is one write of a caller: its data is unique.
type write struct {
	data    string
	verdict verdict
	// answered is when the verdict came.
	answered time.Time
}

// caller is a client that keeps sessions and reconnects.
type caller struct {
	name     string
	database string
	random   *rand.Rand
	pick     func() string
	promoted func() int
	// recorder takes each statement that runs; replica tells which members do not lead.
	recorder *record.Writer
	replica  func(member string) bool

	c    net.Conn
	r    *bufio.Reader
	next int

	mu     sync.Mutex
	writes []write
	broken []string
	served int
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
	_ = c.SetDeadline(time.Now().Add(startupWait))
	_, err = fmt.Fprintf(c, "STARTUP %s %s\r\n", x.database, x.name)
	line, rerr := x.r.ReadString('\n')
	if err != nil || rerr != nil || !strings.HasPrefix(line, "READY") {
		x.hangUp()
		return false
	}
	x.query("SET who " + x.name)
	return x.c != nil
}

// reply is a whole answer; ok says that one came.
type reply struct {
	ok           bool
	id, end, row string
	state        byte
}

func (a reply) served() bool {
	return a.ok && strings.HasPrefix(a.end, "COMPLETE r.") && strings.HasSuffix(a.end, "."+a.id)
}

func (a reply) promise() bool {
	for _, code := range []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"} {
		if strings.HasPrefix(a.end, "ERROR "+code) {
			return true
		}
	}
	return false
}

func (x *caller) query(text string) (a reply) {
	x.next++
	a = reply{id: fmt.Sprintf("%s.%d", x.name, x.next)}
	if x.c == nil {
		return a
	}
	sent := time.Now()
	defer func() { x.keep(text, sent, &a) }()
	_ = x.c.SetDeadline(time.Now().Add(answerWait))
	if _, err := fmt.Fprintf(x.c, "QUERY %s %s\r\n", a.id, text); err != nil {
		x.hangUp()
		return a
	}
	for {
		line, err := x.r.ReadString('\n')
		if err != nil {
			x.hangUp()
			return a
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.row = rest
		case "READY":
			a.ok, a.state = true, rest[0]
			x.checkAnswer(text, a)
			return a
		default:
			a.end = word + " " + rest
		}
	}
}

// keep records a statement that runs at a member. A receipt is "r", the member, the number of the
// run and the statement's id.
func (x *caller) keep(text string, sent time.Time, a *reply) {
	word, _, _ := strings.Cut(text, " ")
	if word != "READ" && word != "WRITE" && word != "COMMIT" {
		return
	}
	outcome := record.Unknown
	switch {
	case a.served():
		outcome = record.Served
	case a.promise():
		outcome = record.NotRun
	}
	member, _, _ := strings.Cut(strings.TrimPrefix(a.end, "COMPLETE r."), ".")
	x.recorder.Statement(sent, outcome, word == "READ", a.served() && x.replica(member))
}

// checkAnswer looks whether the answer belongs to the statement.
func (x *caller) checkAnswer(text string, a reply) {
	word, _, _ := strings.Cut(text, " ")
	runs := word == "READ" || word == "WRITE" || word == "COMMIT" || word == "EXECUTE"
	if runs && strings.HasPrefix(a.end, "COMPLETE") && !a.served() {
		x.fail("%s %q got the answer %q", a.id, text, a.end)
	}
}

func (x *caller) fail(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.broken = append(x.broken, fmt.Sprintf(format, args...))
}

func (x *caller) operation() {
	switch x.random.IntN(4) {
	case 0:
		x.transaction()
	default:
		x.single()
	}
}

// single writes a key of its own and reads it back.
func (x *caller) single() {
	promotions := x.promoted()
	data := fmt.Sprintf("%s-%d", x.name, x.next)
	a := x.query("WRITE key-" + x.name + " " + data)
	x.note(data, a, a.served())
	if !a.served() {
		return
	}
	b := x.query("READ key-" + x.name)
	if b.served() && b.row != data && x.promoted() == promotions && !x.inDoubt(b.row) {
		x.fail("%s wrote %s (%s) and then read %q (%s)", x.name, data, a.end, b.row, b.end)
	}
}

// inDoubt says whether the write's outcome is unknown. Such a write may take
// effect after later ones: its bytes can wait at a silent member whose peer was
// killed, which ends the connection without taking them back.
func (x *caller) inDoubt(data string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, w := range x.writes {
		if w.data == data {
			return w.verdict == unknown
		}
	}
	return false
}

// transaction writes twice, with a pause, and commits or rolls back.
func (x *caller) transaction() {
	if a := x.query("BEGIN"); !a.ok {
		return
	}
	data := fmt.Sprintf("%s-%d", x.name, x.next)
	first := x.query("WRITE tx-" + x.name + " " + data + "a")
	if !first.served() {
		x.note(data+"a", first, false)
		x.leave(first)
		return
	}
	time.Sleep(time.Duration(x.random.IntN(30)) * time.Millisecond)
	second := x.query("WRITE tx-" + x.name + " " + data + "b")
	if !second.served() || x.random.IntN(4) == 0 {
		// Without a commit nothing is kept, whatever was answered.
		x.record(data+"a", notRun)
		x.record(data+"b", notRun)
		x.leave(second)
		return
	}
	done := x.query("COMMIT")
	x.note(data+"a", done, done.served())
	x.note(data+"b", done, done.served())
	x.leave(done)
}

// leave ends what is open; a session that is not at rest then is closed.
func (x *caller) leave(a reply) {
	if a.ok && a.state != 'I' {
		a = x.query("ROLLBACK")
	}
	if !a.ok || a.state != 'I' {
		x.hangUp()
	}
}

func (x *caller) note(data string, a reply, served bool) {
	switch {
	case served:
		x.record(data, acknowledged)
	case a.promise():
		x.record(data, notRun)
	default:
		x.record(data, unknown)
	}
}

func (x *caller) record(data string, v verdict) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.writes = append(x.writes, write{data, v, time.Now()})
	if v == acknowledged {
		x.served++
	}
}
