package memberconn

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"limpetspan/core"
	"limpetspan/core/correlate"
	"limpetspan/core/direct"
	"limpetspan/core/stmtcache"
	"limpetspan/pkg/resetconn"
	"limpetspan/platform"
)

// ErrOutOfStep means that the answers of the connection do not show which of them belongs to the statement.
var ErrOutOfStep = errors.New("the answers on the connection do not fit its statements")

// Conn is a connection to a member.
type Conn struct {
	c       *net.TCPConn
	raw     syscall.RawConn
	r       *platform.Reader
	out     []byte
	body    []byte
	matcher correlate.Matcher
	// inTransaction is set while a transaction is open, ended once the connection must not be used again.
	inTransaction, ended bool
	// values and prepared are the session state at the member.
	values   map[string]string
	prepared *stmtcache.Cache
	observer Observer
}

// Observer is told about answers that do not belong to the statement that awaits one. It is called by the
// goroutine that uses the connection.
type Observer interface {
	// SurplusAnswer is called for an answer that was dropped while one of the expected kind was awaited,
	// or correlate.Nothing.
	SurplusAnswer(got, expected correlate.Kind)
	// Confirmed is called after a marker has confirmed an answer.
	Confirmed(got correlate.Kind)
	// Refuted is called if another answer came in place of one to the marker.
	Refuted(got, instead correlate.Answer)
}

// DialError is the error of a connection that could not be opened. Refused is set if the member's host has
// refused it.
type DialError struct {
	Outcome direct.Outcome
	Refused bool
	Err     error
}

func (e *DialError) Error() string { return e.Err.Error() }
func (e *DialError) Unwrap() error { return e.Err }

// Target is the member to which a connection is opened, and the team for which it is.
type Target struct {
	Addr   string
	Group  core.GroupID
	Member core.MemberID
	Team   core.TeamID
}

// Dial opens a connection to the member that is expected at the address. limits bound its prepared
// statements.
func Dial(t Target, limits stmtcache.Limits, observer Observer, timeout time.Duration) (*Conn, *DialError) {
	deadline := time.Now().Add(timeout)
	c, err := resetconn.Dial(context.Background(), t.Addr, resetconn.Options{Timeout: timeout})
	if err != nil {
		return nil, &DialError{direct.NotSent, errors.Is(err, syscall.ECONNREFUSED), err}
	}
	raw, err := c.SyscallConn()
	if err != nil {
		_ = c.Close()
		return nil, &DialError{direct.NotSent, false, err}
	}
	m := &Conn{c: c, raw: raw, r: platform.NewReader(c), values: map[string]string{}, prepared: stmtcache.New(limits), observer: observer}
	outcome, err := m.startup(t, deadline)
	if err != nil {
		m.Close()
		return nil, &DialError{outcome, false, err}
	}
	return m, nil
}

// startup opens the session at the member.
func (m *Conn) startup(t Target, deadline time.Time) (direct.Outcome, error) {
	_ = m.c.SetDeadline(deadline)
	m.out = platform.AppendStartup(m.out[:0], t.Group, t.Team, t.Member)
	if _, err := m.c.Write(m.out); err != nil {
		return direct.NotSent, err
	}
	a, err := platform.ReadStartup(m.r)
	switch {
	case err != nil:
		return direct.NotSent, err
	case a.Code != "":
		return a.Outcome(), answerError(&a)
	}
	return direct.Succeeded, nil
}

func answerError(a *platform.Answer) error { return errors.New(a.Code + " " + a.Text) }

// Close closes the connection.
func (m *Conn) Close() { _ = m.c.Close() }

// TCPConn returns the underlying connection.
func (m *Conn) TCPConn() *net.TCPConn { return m.c }

// IsReusable reports whether another statement may follow outside a transaction.
func (m *Conn) IsReusable() bool { return !m.ended && m.matcher.InStep() && m.r.Buffered() == 0 }

// Statement is a statement to run.
type Statement struct {
	ID, Text string
	// MinPosition is the position that the member's log must contain, zero for none.
	MinPosition core.Position
	// Commits is set if the statement, once it has run, moves the end of the member's log.
	Commits bool
}

// Run runs a caller's read, write or commit and returns its answer. A refusal ends the transaction if one
// is open. sent is false if nothing can have reached the member.
func (m *Conn) Run(s Statement, deadline time.Time) (a platform.Answer, sent bool, err error) {
	m.out = platform.AppendStatement(m.out[:0], s.ID, s.Text, s.MinPosition)
	return m.exchange(correlate.Expected{Kind: correlate.Receipt, Commits: s.Commits}, nil, deadline)
}

// Begin begins a transaction. Statements that run in it show that it is open.
func (m *Conn) Begin(text string, minPosition core.Position, deadline time.Time) (a platform.Answer, sent bool, err error) {
	m.out = platform.AppendStatement(m.out[:0], platform.ProxyStatementID, text, minPosition)
	refused := m.appendBeginSteps()
	a, sent, err = m.exchange(correlate.Expected{Kind: correlate.Acknowledgement, InTransaction: true}, refused, deadline)
	if err != nil || a.Code != "" {
		return a, sent, err
	}
	// An acknowledgement may be older than the statement, and so may its position.
	a.Position = core.Position{}
	return a, true, m.confirmBegin()
}

// Rollback ends the transaction. Anything but success is an error.
func (m *Conn) Rollback(deadline time.Time) error {
	m.out = platform.AppendProxyStatement(m.out[:0], platform.TextRollback)
	a, _, err := m.exchange(correlate.Expected{Kind: correlate.Acknowledgement}, nil, deadline)
	if err == nil && a.Code != "" {
		err = answerError(&a)
	}
	return err
}

// exchange sends what is in out and returns the answer to its first statement. After a refusal the answers to
// the others have been read as well.
func (m *Conn) exchange(e correlate.Expected, others []correlate.Expected, deadline time.Time) (a platform.Answer, sent bool, err error) {
	sent, err = m.send(deadline)
	if err != nil {
		return a, sent, err
	}
	a, verdict, err := m.receive(e)
	if err == nil && verdict == correlate.Unproved {
		a, err = m.confirmRefusal(a, e, others)
	}
	if err == nil {
		m.inTransaction = a.State == platform.StateInTransaction
	}
	return a, true, err
}

// Command runs a statement that the proxy issues itself, whose answer is the member's status.
func (m *Conn) Command(text string, deadline time.Time) (platform.Answer, error) {
	m.out = platform.AppendProxyStatement(m.out[:0], text)
	expected := m.appendMarker(nil)
	if _, err := m.send(deadline); err != nil {
		return platform.Answer{}, err
	}
	e := correlate.Expected{Kind: correlate.Report}
	a, _, err := m.receive(e)
	if err != nil {
		return a, err
	}
	return m.confirm(a, e, expected)
}

// Order runs a command that must not take effect late, also if this process is stopped meanwhile.
func (m *Conn) Order(text string, timeout time.Duration) (platform.Answer, error) {
	if err := resetconn.SetUnackedTimeout(m.c, timeout); err != nil {
		return platform.Answer{}, err
	}
	a, err := m.Command(text, time.Now().Add(timeout))
	if err == nil {
		err = resetconn.SetUnackedTimeout(m.c, 0)
	}
	return a, err
}
