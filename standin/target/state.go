package target

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"limpetspan/core"
	"limpetspan/standin/target/internal/engine"
)

// The state functions. positionName returns the position only, the others the
// full status.
const (
	positionName = "limpetspan_position"
	statusName   = "limpetspan_status"
	fenceName    = "limpetspan_fence"
	promoteName  = "limpetspan_promote"
)

// stateFunctions tells for each state function whether it takes a term.
var stateFunctions = map[string]bool{positionName: false, statusName: false, fenceName: true, promoteName: true}

func stateFields(name string) []pgproto3.FieldDescription {
	if name == positionName {
		return []pgproto3.FieldDescription{field("log_term", pgtype.Int8OID), field("lsn", pgtype.Int8OID)}
	}
	return []pgproto3.FieldDescription{
		field("term", pgtype.Int8OID),
		field("role", pgtype.TextOID),
		field("lsn", pgtype.Int8OID),
		field("log_term", pgtype.Int8OID),
		field("history", pgtype.TextOID),
		field("connections", pgtype.Int4OID),
		field("leaving", pgtype.BoolOID),
	}
}

// runState calls a state function. It takes no slot.
func (s *session) runState(c *command, rows *sink) error {
	m := s.member
	if err := m.awaitRunning(s.context()); err != nil {
		return err
	}
	var status core.Status
	var err error
	switch c.name {
	case positionName:
		return rows.add(m.positionRow())
	case statusName:
		status = m.Status()
	case fenceName:
		status, err = m.Fence(s.context(), core.Term(c.term))
	case promoteName:
		status, err = m.Promote(s.context(), core.Term(c.term))
	}
	if err != nil {
		return err
	}
	return rows.add(statusRow(status))
}

func (m *Member) positionRow() []engine.Value {
	m.mu.RLock()
	defer m.mu.RUnlock()
	p := m.position()
	return []engine.Value{intValue(int64(p.Term)), intValue(int64(p.LSN))}
}

func statusRow(s core.Status) []engine.Value {
	return []engine.Value{
		intValue(int64(s.Term)),
		textValue(s.Role.String()),
		intValue(int64(s.LSN)),
		intValue(int64(s.LogTerm)),
		textValue(historyText(s.History)),
		intValue(int64(s.Connections)),
		boolValue(s.Leaving),
	}
}

// historyText writes term starts as term:start,term:start.
func historyText(history []core.TermStart) string {
	parts := make([]string, len(history))
	for i, h := range history {
		parts[i] = fmt.Sprintf("%d:%d", h.Term, h.Start)
	}
	return strings.Join(parts, ",")
}
