package proxy

import (
	"fmt"

	"limpetspan/core/direct"
	"limpetspan/platform"
)

// SessionLimits bound what one session may have kept for it, so that a caller which
// sets ever new names cannot fill the daemon's memory: 200 MB of it were 1,000
// sessions of 200 KB each. A home keeps the same state for an entry's session.
type SessionLimits struct {
	// Names is how many values and prepared statements a session may have together.
	Names int
	// Bytes is what their names and contents may take.
	Bytes int
}

// DefaultSessionLimits are some hundred times what the users' callers set.
var DefaultSessionLimits = SessionLimits{Names: 512, Bytes: 256 << 10}

// check returns why limits cannot be used.
func (l SessionLimits) validate() error {
	if l.Names < 1 || l.Bytes < 1 {
		return fmt.Errorf("session limits of %d names and %d bytes allow nothing", l.Names, l.Bytes)
	}
	return nil
}

// sessionState is what a session has set: its values and prepared statements.
type sessionState struct {
	values   map[string]string
	prepared map[string]preparedStatement
	// bytes is what both take.
	bytes int
}

func newSessionState() sessionState {
	return sessionState{values: make(map[string]string), prepared: make(map[string]preparedStatement)}
}

// set keeps a value, unless that would exceed the limits.
func (s *sessionState) set(name, value string, l SessionLimits) error {
	old, known := s.values[name]
	if err := s.updateSize(name, len(value), len(old), known, l); err != nil {
		return err
	}
	s.values[name] = value
	return nil
}

// prepare keeps a prepared statement, unless that would exceed the limits.
func (s *sessionState) prepare(name string, p preparedStatement, l SessionLimits) error {
	old, known := s.prepared[name]
	if err := s.updateSize(name, len(p.shape), len(old.shape), known, l); err != nil {
		return err
	}
	s.prepared[name] = p
	return nil
}

// deallocate forgets a prepared statement; false: there is none.
func (s *sessionState) deallocate(name string) bool {
	old, known := s.prepared[name]
	if known {
		s.bytes -= len(name) + len(old.shape)
		delete(s.prepared, name)
	}
	return known
}

// grow counts a name whose content takes size bytes in place of old ones.
func (s *sessionState) updateSize(name string, size, old int, known bool, l SessionLimits) error {
	bytes := s.bytes + size - old
	if !known {
		bytes += len(name)
		if names := len(s.values) + len(s.prepared); names >= l.Names {
			return fmt.Errorf("the session has %d values and prepared statements, and may have no more", names)
		}
	}
	if bytes > l.Bytes && bytes > s.bytes {
		return fmt.Errorf("values and prepared statements of the session would take %d bytes, and may take %d", bytes, l.Bytes)
	}
	s.bytes = bytes
	return nil
}

// keepState answers a statement that changes only the session's state.
func (s *session) changeState(st *direct.Statement) {
	var err error
	if st.Kind == direct.StatementSet {
		err = s.set(st.Name, st.Argument, s.p.sessionLimits)
	} else {
		err = s.prepare(st.Name, preparedStatement{st.Writes, st.Argument}, s.p.sessionLimits)
	}
	if err != nil {
		s.logDecision("session state refused", "id", st.ID, "reason", err.Error())
		s.answerError(platform.CodeTooLarge, err.Error())
		return
	}
	s.answerComplete()
}
