package target

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"limpetspan/standin/target/internal/engine"
)

// portal is a bound statement.
type portal struct {
	prepared *prepared
	args     []engine.Value
	formats  []int16
	// ran: the statement was run and rows holds what was not yet fetched.
	ran   bool
	rows  []rawMessage
	count int64
	done  *command
}

func (s *session) parseMessage(m *pgproto3.Parse) error {
	if s.tx.failed && m.Query != "" {
		if c := s.prepare(m.Query).command; !endsFailure(c.verb) {
			return errAborted
		}
	}
	if _, ok := s.statements[m.Name]; ok && m.Name != "" {
		return &Error{State: stateDuplicateStatement, Message: fmt.Sprintf("prepared statement %q already exists", m.Name)}
	}
	p, err := s.parseStatement(m)
	if err != nil {
		return err
	}
	s.statements[m.Name] = p
	s.back.Send(&s.reply.parsed)
	return nil
}

func (s *session) parseStatement(m *pgproto3.Parse) (*prepared, error) {
	if len(split(m.Query)) > 1 {
		return nil, &Error{State: stateSyntax, Message: "cannot insert multiple commands into a prepared statement"}
	}
	p := s.prepare(m.Query)
	if len(m.ParameterOIDs) > 0 {
		p = &prepared{command: p.command, given: append([]uint32(nil), m.ParameterOIDs...)}
	}
	return p, s.describe(p)
}

func (s *session) bindMessage(m *pgproto3.Bind) error {
	p, ok := s.statements[m.PreparedStatement]
	if !ok {
		return noStatement(m.PreparedStatement)
	}
	if s.tx.failed && !endsFailure(p.command.verb) {
		return errAborted
	}
	if err := s.describe(p); err != nil {
		return err
	}
	if len(m.Parameters) != len(p.params) {
		return &Error{State: stateProtocol, Message: fmt.Sprintf("bind message supplies %d parameters, but prepared statement %q requires %d", len(m.Parameters), m.PreparedStatement, len(p.params))}
	}
	o := s.portal(m.DestinationPortal)
	o.prepared = p
	o.formats = append(o.formats, m.ResultFormatCodes...)
	for i, raw := range m.Parameters {
		v, err := decode(p.params[i], formatOf(m.ParameterFormatCodes, i), raw)
		if err != nil {
			return err
		}
		o.args = append(o.args, v)
	}
	s.back.Send(&s.reply.bound)
	return nil
}

// portal returns an emptied portal of the name.
func (s *session) portal(name string) *portal {
	o, ok := s.portals[name]
	if !ok {
		o = &portal{}
		s.portals[name] = o
	}
	*o = portal{args: o.args[:0], formats: o.formats[:0]}
	return o
}

func noStatement(name string) error {
	return &Error{State: stateNoStatement, Message: fmt.Sprintf("prepared statement %q does not exist", name)}
}

func noPortal(name string) error {
	return &Error{State: stateNoPortal, Message: fmt.Sprintf("portal %q does not exist", name)}
}

const (
	objectStatement = 'S'
	objectPortal    = 'P'
)

func (s *session) describeMessage(m *pgproto3.Describe) error {
	if m.ObjectType == objectPortal {
		o, ok := s.portals[m.Name]
		if !ok {
			return noPortal(m.Name)
		}
		return s.sendFields(o.prepared, o.formats)
	}
	p, ok := s.statements[m.Name]
	if !ok {
		return noStatement(m.Name)
	}
	if err := s.describe(p); err != nil {
		return err
	}
	s.back.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
	return s.sendFields(p, nil)
}

// sendFields sends the row description of a statement or portal.
func (s *session) sendFields(p *prepared, formats []int16) error {
	if len(p.fields) == 0 {
		s.back.Send(&s.reply.noData)
		return nil
	}
	if err := s.settleTypes(p); err != nil {
		return err
	}
	setUnsettled(p.fields)
	fields := p.fields
	if len(formats) > 0 {
		fields = append([]pgproto3.FieldDescription(nil), fields...)
		for i := range fields {
			fields[i].Format = formatOf(formats, i)
		}
	}
	s.back.Send(&pgproto3.RowDescription{Fields: fields})
	return nil
}

// setUnsettled makes columns text of which no type was found: what was
// announced has to stay.
func setUnsettled(fields []pgproto3.FieldDescription) {
	for i := range fields {
		if fields[i].DataTypeOID == 0 {
			setType(&fields[i], pgtype.TextOID)
		}
	}
}

func (s *session) executeMessage(m *pgproto3.Execute) error {
	o, ok := s.portals[m.Portal]
	if !ok {
		return noPortal(m.Portal)
	}
	if !o.ran {
		if err := s.runPortal(o, m.MaxRows > 0); err != nil {
			return err
		}
	}
	return s.sendPortal(o, int(m.MaxRows))
}

// runPortal runs a portal's statement. With keep its rows are kept for parts.
func (s *session) runPortal(o *portal, keep bool) error {
	p := o.prepared
	if err := s.describe(p); err != nil && !s.tx.failed {
		return err
	}
	rows := &sink{session: s, fields: p.fields, formats: o.formats, keep: keep}
	if unsettled(p.fields) {
		rows.fields = known(p.fields)
	}
	count, done, err := s.run(p, o.args, rows)
	if err != nil {
		return err
	}
	o.ran, o.rows, o.count, o.done = true, rows.kept, count, done
	return nil
}

// sendPortal sends at most limit kept rows, zero being no limit, and the end.
func (s *session) sendPortal(o *portal, limit int) error {
	n := len(o.rows)
	if limit > 0 && limit < n {
		n = limit
	}
	for _, row := range o.rows[:n] {
		s.back.Send(row)
	}
	o.rows = o.rows[n:]
	if len(o.rows) > 0 {
		s.back.Send(&s.reply.suspend)
		return nil
	}
	s.complete(o.done, o.count)
	return nil
}

func (s *session) closeMessage(m *pgproto3.Close) {
	if m.ObjectType == objectStatement {
		delete(s.statements, m.Name)
	} else {
		delete(s.portals, m.Name)
	}
	s.back.Send(&s.reply.closed)
}
