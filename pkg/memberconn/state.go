package memberconn

import (
	"time"

	"limpetspan/core/correlate"
	"limpetspan/platform"
)

// Prepared is a prepared statement of a session. Its shape is the statement without its arguments. The zero
// value is no statement.
type Prepared struct {
	Name   string
	Writes bool
	Shape  string
}

// Values returns the session's values at the member.
func (m *Conn) Values() map[string]string { return m.values }

// SyncState sets the connection's session state to exactly the session's values, and prepares the statement
// that is about to run, if that is one.
func (m *Conn) SyncState(values map[string]string, prepare Prepared, deadline time.Time) error {
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
	if prepare.Name != "" {
		sent += m.appendPrepare(prepare)
	}
	if sent == 0 {
		return nil
	}
	return m.sendStateChanges(sent, deadline)
}

// appendPrepare appends the statements that prepare the statement on the connection, and returns their
// number.
func (m *Conn) appendPrepare(p Prepared) int {
	dropped, prepare := m.prepared.Use(p.Name, len(p.Shape))
	if !prepare {
		return 0
	}
	for _, name := range dropped {
		m.out = platform.AppendProxyStatement(m.out, platform.TextDeallocate(name))
	}
	m.out = platform.AppendProxyStatement(m.out, platform.TextPrepare(p.Name, p.Writes, p.Shape))
	return len(dropped) + 1
}

// ForgetPrepared records that the member does not know the prepared statement, so that it is prepared
// again.
func (m *Conn) ForgetPrepared(p Prepared) { m.prepared.Forget(p.Name) }

// sendStateChanges sends the n statements in out and reads their answers.
func (m *Conn) sendStateChanges(n int, deadline time.Time) error {
	if _, err := m.send(deadline); err != nil {
		return err
	}
	for range n {
		a, _, err := m.receive(correlate.Expected{Kind: correlate.Acknowledgement, InTransaction: m.inTransaction})
		if err == nil && a.Code != "" {
			err = answerError(&a)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
