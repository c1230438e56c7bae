package memberconn_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/gomega"
)

// fakeMember answers statements in order and repeats answers.
type fakeMember struct {
	listener net.Listener
	// refuses returns the code with which a statement is refused, "" to run it.
	refuses func(id, text string) string
	// surplus returns the answers that are given again right before and right after the answer to a statement.
	surplus func(given []string, text, answer string) (before, after []string)

	mu sync.Mutex
	// receipts and codes are the answers by the IDs of callers' statements.
	receipts, codes map[string]string
	runs            int
	// texts are the statements in their order.
	texts  []string
	status atomic.Int64
	// conns are the open connections.
	conns []net.Conn
}

func startMember() *fakeMember {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	m := &fakeMember{listener: l, receipts: map[string]string{}, codes: map[string]string{}}
	m.refuses = func(string, string) string { return "" }
	m.surplus = func([]string, string, string) (before, after []string) { return nil, nil }
	go m.accept()
	return m
}

func (m *fakeMember) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		m.conns = append(m.conns, c)
		m.mu.Unlock()
		go m.serve(c)
	}
}

func (m *fakeMember) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	if _, err := r.ReadString('\n'); err != nil {
		return
	}
	given := []string{"READY I 3.1\r\n"}
	if _, err := c.Write([]byte(given[0])); err != nil {
		return
	}
	state := "I"
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		id, text, _ := strings.Cut(strings.TrimPrefix(strings.TrimSuffix(line, "\r\n"), "QUERY "), " ")
		m.mu.Lock()
		answer := m.answer(id, text, &state)
		before, after := m.surplus(given, text, answer)
		m.mu.Unlock()
		given = append(given, answer)
		if _, err := c.Write([]byte(strings.Join(before, "") + answer + strings.Join(after, ""))); err != nil {
			return
		}
	}
}

// conn returns the connection that was accepted last.
func (m *fakeMember) conn() net.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.conns[len(m.conns)-1]
}

// answer runs a statement. The lock is held.
func (m *fakeMember) answer(id, text string, state *string) string {
	word, _, _ := strings.Cut(text, " ")
	m.texts = append(m.texts, text)
	if code := m.refuses(id, text); code != "" {
		m.codes[id] = code
		return fmt.Sprintf("ERROR %s i-1\r\nREADY %s 3.1\r\n", code, *state)
	}
	body := "COMPLETE -\r\n"
	switch word {
	case "BEGIN":
		if *state != "I" {
			return fmt.Sprintf("ERROR MALFORMED i-1\r\nREADY %s 3.1\r\n", *state)
		}
		*state = "T"
	case "ROLLBACK":
		*state = "I"
	case "READ", "WRITE", "COMMIT":
		if word == "COMMIT" {
			*state = "I"
		}
		m.runs++
		m.receipts[id] = fmt.Sprintf("7.%d", m.runs)
		body = "COMPLETE " + m.receipts[id] + "\r\n"
	case "STATUS":
		body = fmt.Sprintf("DATAROW replica 3 3.%d 0 0 0 1\r\nCOMPLETE -\r\n", m.status.Load())
	}
	return body + "READY " + *state + " 3.1\r\n"
}

// drawSurplus returns a function that repeats drawn answers.
func drawSurplus(random *rand.Rand, share float64) func(given []string, text, answer string) (before, after []string) {
	draw := func(from []string, most int) (list []string) {
		for random.Float64() < share && len(list) < most {
			list = append(list, from[random.IntN(len(from))])
		}
		return list
	}
	return func(given []string, _, answer string) (before, after []string) {
		return draw(given, 4), draw(append(given, answer), 2)
	}
}
