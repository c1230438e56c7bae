package proxy

import (
	"fmt"
	"strings"

	"limpetspan/core/direct"
	"limpetspan/platform"
)

// SessionLimits bound the state of one session, so that a caller that keeps setting new
// names cannot exhaust the daemon's memory: 1,000 sessions of 200 KB each take 200 MB. A
// home keeps the same state for a session that an entry forwards.
type SessionLimits struct {
	// Names bounds the number of values and prepared statements together.
	Names int
	// Bytes bounds the size of their names and contents.
	Bytes int
}

// DefaultSessionLimits are about a hundred times what the users' callers set.
var DefaultSessionLimits = SessionLimits{Names: 512, Bytes: 256 << 10}

// validate returns an error if the limits allow no state at all.
func (l SessionLimits) validate() error {
	if l.Names < 1 || l.Bytes < 1 {
		return fmt.Errorf("session limits must be at least 1 name and 1 byte: got %d names and %d bytes", l.Names, l.Bytes)
	}
	return nil
}

// sessionState is the state that a caller has set: its values and prepared statements.
type sessionState struct {
	values   map[string]string
	prepared map[string]preparedStatement
	// bytes is the size of the names and contents of both.
	bytes int
}

func newSessionState() sessionState {
	return sessionState{values: make(map[string]string), prepared: make(map[string]preparedStatement)}
}

// set stores a value, unless that exceeds the limits.
func (s *sessionState) set(name, value string, l SessionLimits) error {
	old, known := s.values[name]
	if err := s.updateSize(name, len(value), len(old), known, l); err != nil {
		return err
	}
	// A part of a message must not keep the whole message in memory.
	s.values[strings.Clone(name)] = strings.Clone(value)
	return nil
}

// prepare stores a prepared statement, unless that exceeds the limits.
func (s *sessionState) prepare(name string, p preparedStatement, l SessionLimits) error {
	old, known := s.prepared[name]
	if err := s.updateSize(name, len(p.shape), len(old.shape), known, l); err != nil {
		return err
	}
	p.shape = strings.Clone(p.shape)
	s.prepared[strings.Clone(name)] = p
	return nil
}

// deallocate removes a prepared statement, and reports whether there was one.
func (s *sessionState) deallocate(name string) bool {
	old, known := s.prepared[name]
	if known {
		s.bytes -= len(name) + len(old.shape)
		delete(s.prepared, name)
	}
	return known
}

// updateSize accounts for a name whose content changes from old to size bytes. It returns an
// error if that exceeds the limits.
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

// changeState runs a statement that changes only the session's state, and answers it. It reports
// whether the state was changed.
func (s *session) changeState(st *direct.Statement) bool {
	var err error
	if st.Kind == direct.StatementSet {
		err = s.set(st.Name, st.Argument, s.p.sessionLimits)
	} else {
		err = s.prepare(st.Name, newPreparedStatement(st.Writes, st.Argument), s.p.sessionLimits)
	}
	if err != nil {
		s.logDecision("session state refused", "id", st.ID, "reason", err.Error())
		s.answerError(platform.CodeTooLarge, err.Error())
		return false
	}
	s.answerComplete()
	return true
}
