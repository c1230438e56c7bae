package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/stmtcache"
	"limpetspan/pkg/resetconn"
	"limpetspan/platform"
)

// memberConn is a connection to a member. Only one goroutine may use it at a time. It is reset when it
// ends, so that the member cannot receive a statement after the proxy has abandoned it.
type memberConn struct {
	member core.MemberID
	// team is the team whose statements run on the connection.
	team core.TeamID
	c    *net.TCPConn
	r    *platform.Reader
	out  []byte
	body []byte
	// values and prepared are the session state at the member.
	values   map[string]string
	prepared *stmtcache.Cache
	// idleSince is when the connection was last returned to the pool.
	idleSince core.Time
	// idleInTransaction is set while its transaction waits for the caller.
	idleInTransaction bool
}

// connStatementLimits bound the prepared statements of a connection to a member. A session's statement
// always fits.
var connStatementLimits = stmtcache.Limits{Statements: 128, Bytes: DefaultSessionLimits.Bytes}

// connError is the error of a connection that could not be opened. refused is set if the
// member's host has refused it.
type connError struct {
	outcome direct.Outcome
	refused bool
	err     error
}

func (e *connError) Error() string { return e.err.Error() }
func (e *connError) Unwrap() error { return e.err }

// dialMember opens a connection for the team to the member that is expected at the address.
func dialMember(addr string, group core.GroupID, id core.MemberID, team core.TeamID, timeout time.Duration) (*memberConn, *connError) {
	deadline := time.Now().Add(timeout)
	c, err := resetconn.Dial(context.Background(), addr, resetconn.Options{Timeout: timeout})
	if err != nil {
		return nil, &connError{direct.NotSent, errors.Is(err, syscall.ECONNREFUSED), err}
	}
	m := &memberConn{member: id, team: team, c: c, r: platform.NewReader(c), values: map[string]string{}, prepared: stmtcache.New(connStatementLimits)}
	_ = c.SetDeadline(deadline)
	m.out = platform.AppendStartup(m.out[:0], group, team, id)
	if _, err := c.Write(m.out); err != nil {
		m.close()
		return nil, &connError{direct.NotSent, false, err}
	}
	a, err := platform.ReadStartup(m.r)
	if err == nil && a.Code != "" {
		err = errors.New(a.Code + " " + a.Text)
	}
	if err != nil {
		m.close()
		return nil, &connError{startupOutcome(a.Code), false, err}
	}
	return m, nil
}

// errEmptyAnswer is the error of a READY that nothing precedes.
var errEmptyAnswer = fmt.Errorf("%w: READY without an answer", platform.ErrMalformed)

// readAnswer reads the answer to a statement.
func readAnswer(r *platform.Reader, body []byte) (platform.Answer, error) {
	a, err := platform.ReadAnswer(r, body)
	if err == nil && a.Empty {
		err = errEmptyAnswer
	}
	return a, err
}

// startupOutcome returns the outcome of a startup that failed with this error code. The code is
// empty if the member sent no answer that can be read.
func startupOutcome(code string) direct.Outcome {
	a := platform.Answer{Code: code}
	if code == "" {
		return direct.NotSent
	}
	return a.Outcome()
}

func (m *memberConn) close() { _ = m.c.Close() }

// exchange sends the statement and reads its complete answer. After an error the
// connection must be closed. sent is false if nothing can have reached the member.
func (m *memberConn) exchange(id, text string, minPosition core.Position, deadline time.Time) (a platform.Answer, sent bool, err error) {
	m.out = platform.AppendStatement(m.out[:0], id, text, minPosition)
	_ = m.c.SetDeadline(deadline)
	n, err := m.c.Write(m.out)
	if err != nil {
		return a, n > 0, err
	}
	a, err = readAnswer(m.r, m.body)
	m.body = a.Body
	return a, true, err
}

// runOrder runs an order that must not take effect late, also if this process is stopped meanwhile.
func (m *memberConn) runOrder(text string) (platform.Answer, error) {
	if err := resetconn.SetUnackedTimeout(m.c, probeTimeout); err != nil {
		return platform.Answer{}, err
	}
	a, err := m.runProxyStatement(text, time.Now().Add(probeTimeout))
	if err == nil {
		err = resetconn.SetUnackedTimeout(m.c, 0)
	}
	return a, err
}

// runProxyStatement runs a statement that the proxy issues itself.
func (m *memberConn) runProxyStatement(text string, deadline time.Time) (platform.Answer, error) {
	a, _, err := m.exchange(platform.ProxyStatementID, text, core.Position{}, deadline)
	return a, err
}

// syncState sets the connection's session state to exactly the session's values, and
// prepares the statement that is about to run.
func (m *memberConn) syncState(values map[string]string, prepare *preparedStatement, deadline time.Time) error {
	m.out = m.out[:0]
	sent := 0
	for name := range m.values {
		if _, ok := values[name]; !ok {
			m.out = platform.AppendProxyStatement(m.out, platform.TextDiscard)
			clear(m.values)
			m.prepared.Clear()
			sent++
			break
		}
	}
	for name, value := range values {
		if m.values[name] != value {
			m.out = platform.AppendProxyStatement(m.out, platform.TextSet(name, value))
			m.values[name] = value
			sent++
		}
	}
	if prepare != nil {
		sent += m.appendPrepare(prepare)
	}
	if sent == 0 {
		return nil
	}
	return m.sendProxyStatements(sent, deadline)
}

// appendPrepare appends the statements that prepare the statement on the connection, and returns their
// number.
func (m *memberConn) appendPrepare(p *preparedStatement) int {
	dropped, prepare := m.prepared.Use(p.memberName, len(p.shape))
	if !prepare {
		return 0
	}
	for _, name := range dropped {
		m.out = platform.AppendProxyStatement(m.out, platform.TextDeallocate(name))
	}
	m.out = platform.AppendProxyStatement(m.out, platform.TextPrepare(p.memberName, p.writes, p.shape))
	return len(dropped) + 1
}

// forgetPrepared records that the member does not know the prepared statement, so that it is prepared
// again.
func (m *memberConn) forgetPrepared(p *preparedStatement) {
	if p != nil {
		m.prepared.Forget(p.memberName)
	}
}

// sendProxyStatements sends the n proxy statements in out and reads their answers.
func (m *memberConn) sendProxyStatements(n int, deadline time.Time) error {
	_ = m.c.SetDeadline(deadline)
	if _, err := m.c.Write(m.out); err != nil {
		return err
	}
	for range n {
		a, err := readAnswer(m.r, m.body)
		m.body = a.Body
		if err != nil {
			return err
		}
		if a.Code != "" {
			return errors.New("member refused the session state: " + a.Code + " " + a.Text)
		}
	}
	return nil
}
