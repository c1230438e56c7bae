package target

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"limpetspan/standin/target/internal/engine"
)

// prepared is a statement with what is known of its parameters and rows.
type prepared struct {
	command *command
	// given are the parameter types that the client stated; zero: unstated.
	given []uint32
	// params are the types of the parameters; zero: none could be found.
	params []uint32
	fields []pgproto3.FieldDescription
	// readOnly: the engine says that the statement changes nothing.
	readOnly bool
	// described at the schema version.
	described bool
	schema    uint64
}

// unnamedColumn is PostgreSQL's name of a column that is an expression.
const unnamedColumn = "?column?"

func field(name string, oid uint32) pgproto3.FieldDescription {
	f := pgproto3.FieldDescription{Name: []byte(name), TypeModifier: -1}
	setType(&f, oid)
	return f
}

func setType(f *pgproto3.FieldDescription, oid uint32) {
	f.DataTypeOID, f.DataTypeSize = oid, sizeOf(oid)
}

// describe finds out the statement's parameters and columns, unless known.
func (s *session) describe(p *prepared) error {
	version := s.member.schema.Load()
	if p.described && p.schema == version {
		return nil
	}
	switch p.command.verb {
	case verbQuery:
		if err := s.describeQuery(p); err != nil {
			return err
		}
	case verbEmpty:
		p.params = p.given
	case verbConstant:
		p.describeConstant()
	case verbState:
		p.fields = stateFields(p.command.name)
	case verbShow:
		p.fields = []pgproto3.FieldDescription{field(p.command.name, pgtype.TextOID)}
	}
	p.described, p.schema = true, version
	return nil
}

func (p *prepared) describeConstant() {
	oid := uint32(pgtype.Int4OID)
	if p.command.tokens[1].kind == tokenParam {
		oid = pgtype.TextOID
		if len(p.given) > 0 && p.given[0] != 0 {
			oid = p.given[0]
		}
		p.params = []uint32{oid}
	}
	p.fields = []pgproto3.FieldDescription{field(unnamedColumn, oid)}
}

// withStatement prepares the command for use.
func (s *session) withStatement(c *command, use func(*engine.Conn, *engine.Stmt) error) error {
	conn, locked, err := s.conn()
	if err != nil {
		return err
	}
	defer s.unlock(locked)
	st, err := conn.Prepare(c.rewritten)
	if err != nil {
		return err
	}
	return use(conn, st)
}

func (s *session) describeQuery(p *prepared) error {
	return s.withStatement(p.command, p.describe)
}

// describe learns the types of the parameters and the columns of a statement.
func (p *prepared) describe(conn *engine.Conn, st *engine.Stmt) error {
	p.readOnly = st.ReadOnly()
	count, columns := st.Params(), st.Columns()
	p.params = make([]uint32, count)
	copy(p.params, p.given)
	if count == 0 && len(columns) == 0 {
		return nil
	}
	in := &inference{command: p.command, params: p.params}
	if err := in.loadTables(conn); err != nil {
		return err
	}
	in.inferParams()
	p.fields = make([]pgproto3.FieldDescription, len(columns))
	for i, column := range columns {
		p.fields[i] = field(columnName(column), in.columnType(column))
	}
	return nil
}

// columnName turns the engine's name of an expression, which is its text, into
// the one that PostgreSQL gives.
func columnName(c engine.Column) string {
	tokens := tokenize(c.Name)
	switch {
	case c.Decl != "" || len(tokens) == 1 && tokens[0].kind == tokenWord:
		return c.Name
	case len(tokens) > 1 && tokens[0].kind == tokenWord && tokens[1].symbol("("):
		return strings.ToLower(tokens[0].text)
	case len(tokens) == 0 || strings.ContainsAny(c.Name, "()'?+-*/=<>|") || tokens[0].kind == tokenNumber:
		return unnamedColumn
	}
	return c.Name
}

// settleTypes runs a statement that changes nothing once with its parameters
// null, to learn the types of expressions that the text doesn't tell.
func (s *session) settleTypes(p *prepared) error {
	if p.command.verb != verbQuery || !p.readOnly || !unsettled(p.fields) {
		return nil
	}
	return s.withStatement(p.command, p.settle)
}

// settle learns them from the first row.
func (p *prepared) settle(_ *engine.Conn, st *engine.Stmt) error {
	defer st.Reset()
	if found, err := st.Step(); err != nil || !found {
		return err
	}
	row := make([]engine.Value, len(p.fields))
	for i := range row {
		st.Value(i, &row[i])
	}
	settle(p.fields, row)
	return nil
}

func unsettled(fields []pgproto3.FieldDescription) bool {
	for i := range fields {
		if fields[i].DataTypeOID == 0 {
			return true
		}
	}
	return false
}

// conn returns the database that the session's next statement sees: the
// working one of its transaction, or the committed one, locked for reading.
func (s *session) conn() (conn *engine.Conn, locked bool, err error) {
	if s.tx.work != nil {
		return s.tx.work, false, nil
	}
	m := s.member
	m.mu.RLock()
	if s.reader != nil && s.readerName == m.store.name {
		return s.reader, true, nil
	}
	if s.reader != nil {
		s.reader.Close()
		s.reader = nil
	}
	s.reader, err = engine.Open(m.store.name)
	if err != nil {
		m.mu.RUnlock()
		return nil, false, err
	}
	s.readerName = m.store.name
	return s.reader, true, nil
}

func (s *session) unlock(locked bool) {
	if locked {
		s.member.mu.RUnlock()
	}
}
