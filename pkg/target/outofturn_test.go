package target_test

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/target"
)

// script is what a member of these specs does with the query "two".
type script struct {
	// repeat: it first gives the answer to the request so many before it again; zero: none.
	repeat int
	// late: it gives the answer to "two" itself only with that to the next request.
	late bool
	// patient: it gives no answer before it has received a marker.
	patient bool
	// at is a part of the statement's text that takes the place of "two", from the one after so many others on.
	at    string
	after int32
	// echo: it gives the answer to the statement again behind that to the next request; setting: a new value of one of
	// its settings.
	echo, setting bool
	// mute is called once it has run the statement, after which it says nothing more on the connection.
	mute func()
	// fatal is the code with which it ends the connection once it has run the statement.
	fatal string
	// single: it takes one connection.
	single bool
	// state is what its control functions report and change.
	state *scriptedState
}

// scriptedState is the state of a member, for all of its connections.
type scriptedState struct {
	mu   sync.Mutex
	term uint64
	role string
	// seen counts the statements that the script is about.
	seen atomic.Int32
}

func newScriptedState() *scriptedState { return &scriptedState{term: 1, role: "primary"} }

// change does what the function of limpetspan in the statement does. It reports whether the member refuses.
func (st *scriptedState) change(sql string) (row [][]byte, refused bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	var term uint64
	for function, role := range map[string]string{target.FenceSQL: "fenced", target.PromoteSQL: "primary"} {
		if n, _ := fmt.Sscanf(sql, function, &term); n == 0 {
			continue
		}
		if term <= st.term {
			return nil, true
		}
		st.term, st.role = term, role
	}
	row = [][]byte{nil, []byte(st.role), []byte("100"), []byte("1"), []byte("1:0"), []byte("3"), []byte("f")}
	row[0] = strconv.AppendUint(nil, st.term, 10)
	return row, false
}

// scripted is a connection to a member. A request is a Query, or what a Sync ends. BEGIN opens a transaction, FAIL
// and its argument answer an error, COPY takes nothing but CopyFail, as PostgreSQL does. Other answers hold the
// text of their request.
type scripted struct {
	script
	backend *pgproto3.Backend
	conn    net.Conn
	status  byte
	answers [][]byte
	waiting []byte
	parse   pgproto3.Parse
	answer  []byte
	echoed  []byte
	silent  bool
}

// meant reports whether the script is about the statement.
func (s *scripted) meant(sql string) bool {
	if s.at == "" {
		return sql == "two"
	}
	return strings.Contains(sql, s.at) && s.state.seen.Add(1) == s.after+1
}

func (s *scripted) serve() {
	_, _ = s.backend.ReceiveStartupMessage()
	s.send(&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	_, _ = s.conn.Write(s.answer)
	s.answer = nil
	for message, err := s.backend.Receive(); err == nil; message, err = s.backend.Receive() {
		if !s.handle(message) {
			_ = s.conn.Close()
			return
		}
	}
}

func (s *scripted) send(messages ...pgproto3.BackendMessage) {
	for _, m := range messages {
		s.answer, _ = m.Encode(s.answer)
	}
}

// handle returns false to end the connection.
func (s *scripted) handle(message pgproto3.FrontendMessage) bool {
	switch m := message.(type) {
	case *pgproto3.Query:
		s.parse = pgproto3.Parse{}
		ok := s.run(m.String)
		s.ready(m.String, false)
		return ok
	case *pgproto3.Sync:
		isMarker := s.parse.Query == "" && len(s.parse.ParameterOIDs) > 0
		s.ready(s.parse.Query, isMarker)
	case *pgproto3.Parse:
		s.parse = pgproto3.Parse{Query: m.Query, ParameterOIDs: slices.Clone(m.ParameterOIDs)}
		s.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		s.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		s.send(&pgproto3.ParameterDescription{ParameterOIDs: s.parse.ParameterOIDs}, &pgproto3.NoData{})
	case *pgproto3.Execute:
		return s.run(s.parse.Query)
	default:
		return false
	}
	return true
}

func (s *scripted) run(sql string) bool {
	tag := "SELECT 1"
	row := &pgproto3.DataRow{Values: [][]byte{[]byte(sql)}}
	code, isFailure := strings.CutPrefix(sql, "FAIL ")
	switch {
	case sql == "BEGIN":
		s.status, tag = 'T', "BEGIN"
	case isFailure:
		if s.status == 'T' {
			s.status = 'E'
		}
		s.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "as asked"})
		return true
	case strings.Contains(sql, "FROM STDIN"):
		return s.copyIn()
	case strings.Contains(sql, "limpetspan_position"):
		row.Values = [][]byte{[]byte("2"), []byte("100")}
	case s.state != nil && strings.Contains(sql, "limpetspan_"):
		status, refused := s.state.change(sql)
		if refused {
			s.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "55000", Message: "the term is not above the member's"})
			return true
		}
		s.send(&pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(status))})
		row.Values = status
	}
	s.send(row, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return true
}

func (s *scripted) copyIn() bool {
	s.send(&pgproto3.CopyInResponse{})
	_, _ = s.conn.Write(s.answer)
	s.answer = nil
	message, err := s.backend.Receive()
	if _, ok := message.(*pgproto3.CopyFail); err != nil || !ok {
		return false
	}
	s.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "57014", Message: "COPY from stdin failed"})
	return true
}

// ready ends the answer to a request.
func (s *scripted) ready(sql string, isMarker bool) {
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	meant := s.meant(sql)
	if meant && s.mute != nil {
		s.silent = true
		s.mute()
	}
	if s.silent {
		return
	}
	if meant && s.fatal != "" {
		s.answer, _ = (&pgproto3.ErrorResponse{Severity: "FATAL", Code: s.fatal, Message: "as asked"}).Encode(nil)
		_, _ = s.conn.Write(s.answer)
		_ = s.conn.Close()
		return
	}
	if meant && s.repeat > 0 {
		s.waiting = append(s.waiting, s.answers[max(0, len(s.answers)-s.repeat)]...)
		if s.late {
			_, _ = s.conn.Write(s.waiting)
			s.waiting = nil
		}
	}
	s.waiting = append(s.waiting, s.answer...)
	s.answers = append(s.answers, s.answer)
	s.waiting, s.echoed = append(s.waiting, s.echoed...), nil
	if meant && s.echo {
		s.echoed = s.answer
	}
	if meant && s.setting {
		s.echoed, _ = (&pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"}).Encode(nil)
	}
	s.answer = nil
	if s.late && meant || s.patient && !isMarker {
		return
	}
	_, _ = s.conn.Write(s.waiting)
	s.waiting = nil
}

// answerTimeout bounds the wait for answers that a member withholds.
const answerTimeout = 10 * time.Second

// listenScripted returns the address of a member that follows the script.
func listenScripted(what script) string {
	GinkgoHelper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = ln.Close() })
	go func() {
		defer GinkgoRecover()
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			s := &scripted{script: what, backend: pgproto3.NewBackend(c, c), conn: c, status: 'I'}
			go s.serve()
			if what.single {
				_ = ln.Close()
			}
		}
	}()
	return ln.Addr().String()
}

// dialScripted returns a connection to a member that follows the script.
func dialScripted(ctx SpecContext, what script) *target.Conn {
	GinkgoHelper()
	dialer := &target.Dialer{User: "u", Database: "d"}
	conn, err := dialer.Dial(ctx, listenScripted(what))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	DeferCleanup(time.AfterFunc(answerTimeout, conn.Abort).Stop)
	return conn
}

func simple(sql string) []byte { return encode(&pgproto3.Query{String: sql}) }

func extended(sql string) []byte {
	return encode(&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
}

// carry runs an exchange and returns what the caller gets of its answer: all of it, or after an error what had been
// passed on before.
func carry(conn *target.Conn, messages []byte, wantPosition bool) ([]byte, error) {
	GinkgoHelper()
	r, out := target.NewRunner(), &bytes.Buffer{}
	defer r.Free()
	Expect(r.Plan.Parse(messages)).To(Succeed())
	_, err := r.Run(conn, &target.Batch{Messages: messages, Out: out, WantPosition: wantPosition})
	if err != nil {
		return out.Bytes(), err
	}
	return append(out.Bytes(), r.Tail...), nil
}

// expectInDoubt expects an error that leaves open whether the exchange ran.
func expectInDoubt(err error) {
	GinkgoHelper()
	var broken *target.Broken
	Expect(errors.As(err, &broken)).To(BeTrue(), "%v", err)
	Expect(broken.Sent).To(BeTrue())
	Expect(broken.Code).To(BeEmpty())
}

var _ = Describe("an answer of a member that comes twice", func() {
	// Guards against the answer to another exchange, and against a position that is taken from another answer.
	DescribeTable("is not that to the next exchange if its position is asked for", func(ctx SpecContext, repeat int) {
		conn := dialScripted(ctx, script{repeat: repeat})
		answer, err := carry(conn, simple("one"), true)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(ContainSubstring("one"))
		answer, err = carry(conn, simple("two"), true)
		expectInDoubt(err)
		Expect(answer).To(BeEmpty())
	},
		Entry("that to the marker", 1),
		Entry("that to the position query", 2),
		Entry("that to the exchange before", 3),
	)

	// Guards against the answer to another exchange where no position query shows that one came in between.
	DescribeTable("is not that to the next exchange if its position is not asked for",
		func(ctx SpecContext, begin, first string, message func(string) []byte, repeat int, late bool) {
			conn := dialScripted(ctx, script{repeat: repeat, late: late})
			for _, sql := range []string{begin, first} {
				_, err := carry(conn, message(sql), false)
				Expect(err).NotTo(HaveOccurred())
			}
			answer, err := carry(conn, message("two"), false)
			expectInDoubt(err)
			Expect(answer).To(BeEmpty())
		},
		Entry("a query", "zero", "one", simple, 2, false),
		Entry("a query, the own answer late", "zero", "one", simple, 2, true),
		Entry("the extended protocol", "zero", "one", extended, 2, false),
		Entry("the extended protocol, the own answer late", "zero", "one", extended, 2, true),
		Entry("a query in a transaction", "BEGIN", "one", simple, 2, true),
		Entry("a query in a transaction that has failed", "BEGIN", "FAIL 22012", simple, 2, true),
		Entry("the answer to the marker", "zero", "one", extended, 1, true),
		Entry("both answers to the exchange before the last", "zero", "one", simple, 4, true),
		// Such a refusal of the exchange itself would say that it did not run.
		Entry("a refusal", "zero", "FAIL 57P03", simple, 2, true),
	)

	// Guards against the answer to another statement of the proxy itself, such as the claim of a key or a commit.
	DescribeTable("is not that to the proxy's own next statement", func(ctx SpecContext, late bool) {
		conn := dialScripted(ctx, script{repeat: 2, late: late})
		r := target.NewRunner()
		defer r.Free()
		reply, err := r.Ask(conn, simple("one"), 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Value).To(Equal("one"))
		_, err = r.Ask(conn, simple("two"), 1)
		expectInDoubt(err)
	},
		Entry("the own answer at once", false),
		Entry("the own answer late", true),
	)
})

var _ = Describe("the proof that an answer is the exchange's", func() {
	// Guards against a proof that costs a round trip: the member answers nothing before it has the marker.
	DescribeTable("is asked for along with the exchange",
		func(ctx SpecContext, message func(string) []byte, wantPosition bool, texts ...string) {
			conn := dialScripted(ctx, script{patient: true})
			for _, sql := range texts {
				answer, err := carry(conn, message(sql), wantPosition)
				Expect(err).NotTo(HaveOccurred())
				Expect(answer).NotTo(BeEmpty())
				Expect(answer).NotTo(ContainSubstring("limpetspan"))
				Expect(bytes.Count(answer, []byte{'Z', 0, 0, 0, 5})).To(Equal(1))
			}
		},
		Entry("queries", simple, false, "one", "two"),
		Entry("queries with positions", simple, true, "one", "two"),
		Entry("the extended protocol", extended, false, "one", "two"),
		Entry("a transaction that fails", simple, true, "BEGIN", "one", "FAIL 22012", "FAIL 25P02"),
		Entry("a transaction that fails in the extended protocol", extended, true, "BEGIN", "one", "FAIL 22012", "FAIL 25P02"),
		Entry("a large message", simple, true, strings.Repeat("x", 100<<10), "two"),
	)

	// Guards against a marker that is read as the data of a COPY, which ends the connection.
	DescribeTable("is not asked for in a COPY", func(ctx SpecContext, sql string, wantPosition bool) {
		conn := dialScripted(ctx, script{})
		answer, err := carry(conn, simple(sql), wantPosition)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(ContainSubstring("COPY FROM STDIN is not carried"))
		answer, err = carry(conn, simple("two"), wantPosition)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(ContainSubstring("two"))
	},
		Entry("alone", "COPY bay FROM STDIN", false),
		Entry("behind another statement", "SELECT 1; copy bay FROM STDIN", false),
		Entry("behind another statement, with a position", "SELECT 1; Copy bay FROM STDIN", true),
	)
})
