package harness

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// Caller is a caller's session.
type Caller struct {
	c net.Conn
	r *bufio.Reader
}

// Answer is a complete answer to a statement.
type Answer struct {
	Rows []string
	// Receipt is set after a success, Code and Text after an error.
	Receipt, Code, Text string
	State, Position     string
}

// Open opens a session for the database.
func Open(addr, database string) (*Caller, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	caller := &Caller{c: c, r: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "STARTUP %s review\r\n", database); err != nil {
		caller.Close()
		return nil, err
	}
	line, err := caller.line()
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("session refused: %s", line)
	}
	if err != nil {
		caller.Close()
		return nil, err
	}
	return caller, nil
}

// Close ends the session.
func (c *Caller) Close() { _ = c.c.Close() }

func (c *Caller) line() (string, error) {
	line, err := c.r.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// Query runs a statement and waits for the complete answer.
func (c *Caller) Query(id, text string) (Answer, error) {
	var a Answer
	_ = c.c.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := fmt.Fprintf(c.c, "QUERY %s %s\r\n", id, text); err != nil {
		return a, err
	}
	for {
		line, err := c.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.Rows = append(a.Rows, rest)
		case "COMPLETE":
			a.Receipt = rest
		case "ERROR":
			a.Code, a.Text, _ = strings.Cut(rest, " ")
		case "READY":
			a.State, a.Position, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unexpected message %q", line)
		}
	}
}

// String returns the answer for the record.
func (a Answer) String() string {
	if a.Code != "" {
		return "ERROR " + a.Code + " " + a.Text
	}
	return fmt.Sprintf("COMPLETE %s rows %q position %s", a.Receipt, a.Rows, a.Position)
}
