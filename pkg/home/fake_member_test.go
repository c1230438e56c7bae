package home_test

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/target"
)

// fakeMember is a PostgreSQL server whose statements are texts with a meaning
// for the tests: "WAIT name" waits until the gate of that name is opened,
// "DIE" ends the connection, "HALF" after a row, "AGAIN" gives an older answer first, "FAIL code" and "FATAL code" answer an error, BEGIN, COMMIT and ROLLBACK do as they say, and
// everything is counted. A status has the number of its call as its term; the third call gets an older answer first. Answers repeat the statement's text.
type fakeMember struct {
	listener net.Listener
	mu       sync.Mutex
	gates    map[string]chan struct{}
	ran      map[string]int
	lastRun  map[string]int
	sessions []*fakeSession
	cancels  atomic.Int32
}

type fakeSession struct {
	member   *fakeMember
	number   int
	conn     net.Conn
	backend  *pgproto3.Backend
	status   byte
	prepared map[string]string
	oids     map[string][]uint32
	bound    string
	failed   bool
}

func newFakeMember() *fakeMember {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	m := &fakeMember{listener: listener, gates: make(map[string]chan struct{}), ran: make(map[string]int), lastRun: make(map[string]int)}
	go m.accept()
	return m
}

func (m *fakeMember) addr() string { return m.listener.Addr().String() }

func (m *fakeMember) close() {
	_ = m.listener.Close()
	m.hangUp()
}

func (m *fakeMember) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		s := &fakeSession{
			member: m, conn: conn, status: 'I', prepared: make(map[string]string), oids: make(map[string][]uint32),
			backend: pgproto3.NewBackend(conn, conn),
		}
		m.mu.Lock()
		m.sessions = append(m.sessions, s)
		s.number = len(m.sessions)
		m.mu.Unlock()
		go s.serve()
	}
}

// gate returns the channel that holds "WAIT name" back until it is closed.
func (m *fakeMember) gate(name string) chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gates[name] == nil {
		m.gates[name] = make(chan struct{})
	}
	return m.gates[name]
}

func (m *fakeMember) count(sql string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ran[sql]
}

// last returns the number of the session that ran a statement last.
func (m *fakeMember) last(sql string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastRun[sql]
}

// hangUp ends the open connections.
func (m *fakeMember) hangUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.sessions {
		_ = s.conn.Close()
	}
}

func (m *fakeMember) sessionCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions)
}

func (s *fakeSession) serve() {
	defer GinkgoRecover()
	defer func() { _ = s.conn.Close() }()
	start, err := s.backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if _, ok := start.(*pgproto3.CancelRequest); ok {
		s.member.cancels.Add(1)
		return
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	s.ready()
	for {
		message, err := s.backend.Receive()
		if err != nil || !s.handle(message) {
			return
		}
	}
}

func (s *fakeSession) ready() {
	s.failed = false
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	_ = s.backend.Flush()
}

// handle answers a message; false ends the connection.
func (s *fakeSession) handle(message pgproto3.FrontendMessage) bool {
	switch m := message.(type) {
	case *pgproto3.Query:
		if !s.run(m.String) {
			return false
		}
		s.ready()
		return true
	case *pgproto3.Sync:
		s.ready()
		return true
	case *pgproto3.Terminate:
		return false
	}
	if s.failed {
		return true
	}
	switch m := message.(type) {
	case *pgproto3.Parse:
		if _, exists := s.prepared[m.Name]; exists && m.Name != "" {
			s.fail("42P05", "prepared statement exists: "+m.Name)
			return true
		}
		s.prepared[m.Name], s.oids[m.Name] = m.Query, slices.Clone(m.ParameterOIDs)
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: s.oids[m.Name]})
		}
		s.backend.Send(&pgproto3.NoData{})
	case *pgproto3.Close:
		delete(s.prepared, m.Name)
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Bind:
		sql, exists := s.prepared[m.PreparedStatement]
		if !exists {
			s.fail("26000", "no prepared statement: "+m.PreparedStatement)
			return true
		}
		s.bound = sql
		s.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Execute:
		return s.run(s.bound)
	}
	return true
}

func (s *fakeSession) fail(code, message string) {
	s.failed = true
	if s.status == 'T' {
		s.status = 'E'
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
}

func (s *fakeSession) run(sql string) bool {
	s.member.mu.Lock()
	s.member.ran[sql]++
	s.member.lastRun[sql] = s.number
	calls := s.member.ran[sql]
	s.member.mu.Unlock()
	verb, rest, _ := strings.Cut(sql, " ")
	switch verb {
	case "DIE":
		return false
	case "FAIL":
		s.fail(rest, "as asked")
		return true
	case "FATAL":
		s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: rest, Message: "as asked"})
		_ = s.backend.Flush()
		return false
	case "COPY":
		return s.copyIn()
	case "AGAIN":
		s.row("the answer to another statement")
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		s.ready()
	case "WAIT":
		<-s.member.gate(rest)
	case "BEGIN":
		s.status = 'T'
	case "COMMIT", "ROLLBACK":
		s.status = 'I'
	}
	if verb == "HALF" {
		s.row(strings.Repeat("x", 32<<10))
		_ = s.backend.Flush()
		return false
	}
	if sql == target.StatusSQL {
		if calls == 3 {
			s.statusRow(1)
			s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
			s.ready()
		}
		s.statusRow(calls)
	} else if strings.Contains(sql, "limpetspan_position") {
		s.row("2", "100")
	} else if verb == "BIG" {
		for range 64 {
			s.row(strings.Repeat("x", 32<<10))
		}
	} else {
		s.row(sql)
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(fmt.Sprintf("%s 1", verb))})
	return true
}

// copyIn waits for the end of the copy, as a server does: it skips Sync.
func (s *fakeSession) copyIn() bool {
	s.backend.Send(&pgproto3.CopyInResponse{})
	_ = s.backend.Flush()
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return false
		}
		if _, ok := message.(*pgproto3.CopyFail); ok {
			s.fail("57014", "COPY from stdin failed")
			return true
		}
	}
}

func (s *fakeSession) statusRow(term int) {
	row := []string{strconv.Itoa(term), "primary", "100", "1", "1:0", "3", "f"}
	s.backend.Send(&pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(row))})
	s.row(row...)
}

func (s *fakeSession) row(values ...string) {
	row := &pgproto3.DataRow{}
	for _, v := range values {
		row.Values = append(row.Values, []byte(v))
	}
	s.backend.Send(row)
}
