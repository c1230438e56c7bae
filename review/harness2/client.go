package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// consumer is a consumer's session. It speaks the wire strictly: messages end with CR LF.
type consumer struct {
	name string
	c    net.Conn
	r    *bufio.Reader
	rec  *record
}

// answer is the answer to a query. err is set if the session ended without READY.
type answer struct {
	rows       []string
	receipt    string
	code, text string
	state      string
	err        error
}

func (a answer) ok() bool { return a.err == nil && a.code == "" }

func (a answer) String() string {
	switch {
	case a.err != nil && a.code != "":
		return fmt.Sprintf("ERROR %s %s, and the session ended: %v", a.code, shorten(a.text), a.err)
	case a.err != nil:
		return fmt.Sprintf("the session ended: %v", a.err)
	case a.code != "":
		return fmt.Sprintf("ERROR %s %s", a.code, shorten(a.text))
	}
	var rows []string
	for _, row := range a.rows {
		rows = append(rows, shorten(row))
	}
	return fmt.Sprintf("rows [%s], COMPLETE %s, state %s", strings.Join(rows, " "), a.receipt, a.state)
}

// sessionTimeout bounds a consumer's wait for one answer.
const sessionTimeout = 9 * time.Second

// connect opens a session at the daemon. startup is the text after STARTUP.
func connect(name string, d *daemon, startup string, rec *record) (*consumer, error) {
	c, err := net.DialTimeout("tcp", d.callers, time.Second)
	if err != nil {
		return nil, err
	}
	x := &consumer{name: name, c: c, r: bufio.NewReaderSize(c, 64<<10), rec: rec}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "STARTUP %s\r\n", startup); err != nil {
		return nil, err
	}
	line, err := readLine(x.r)
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("STARTUP was answered with %s", shorten(line))
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return x, nil
}

// query sends a query and reads its answer.
func (x *consumer) query(id, text string) answer {
	a := x.exchange(id, text)
	if x.rec != nil {
		x.rec.note("%s sent %s %s, got %s", x.name, id, shorten(text), a)
	}
	return a
}

func (x *consumer) exchange(id, text string) (a answer) {
	_ = x.c.SetDeadline(time.Now().Add(sessionTimeout))
	if _, a.err = fmt.Fprintf(x.c, "QUERY %s %s\r\n", id, text); a.err != nil {
		return a
	}
	for {
		var line string
		if line, a.err = readLine(x.r); a.err != nil {
			return a
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.receipt = rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		default:
			a.err = fmt.Errorf("unexpected message %s", shorten(line))
			return a
		}
	}
}

func (x *consumer) close() { _ = x.c.Close() }
