package target

import (
	"limpetspan/standin/target/internal/engine"
)

// rollbackCommand reports a COMMIT that rolled back, as PostgreSQL does.
var rollbackCommand = &command{verb: verbRollback, tag: "ROLLBACK"}

// run carries out a statement, hands its rows to the sink and returns the row
// count and the command to report.
func (s *session) run(p *prepared, args []engine.Value, rows *sink) (int64, *command, error) {
	s.arm()
	defer s.running.Store(false)
	c := p.command
	if s.tx.failed && !endsFailure(c.verb) {
		return 0, c, errAborted
	}
	if err := s.accept(c); err != nil {
		return 0, c, err
	}
	switch c.verb {
	case verbQuery:
		count, err := s.runQuery(p, args, rows)
		return count, c, err
	case verbConstant:
		count, err := s.runConstant(p, args, rows)
		return count, c, err
	case verbState:
		return 1, c, s.runState(c, rows)
	case verbShow:
		return 1, c, rows.add([]engine.Value{textValue(shown(c.name))})
	}
	done, err := s.runControl(c)
	return 0, done, err
}

// arm makes cancel requests count from now on.
func (s *session) arm() {
	select {
	case <-s.interrupt:
	default:
	}
	s.running.Store(true)
}

// endsFailure reports whether the verb is accepted in a failed transaction.
func endsFailure(v verb) bool {
	return v == verbCommit || v == verbRollback || v == verbRollbackTo || v == verbEmpty
}

// accept refuses new work on a leaving member; transactions may end.
func (s *session) accept(c *command) error {
	if s.tx.block || s.tx.work != nil || s.isControl() || c.verb == verbState {
		return nil
	}
	if s.member.isLeaving() {
		return errLeaving
	}
	return nil
}

// enter takes a slot and spends the service time in it.
func (s *session) enter() error {
	m := s.member
	select {
	case m.slots <- struct{}{}:
	default:
		if err := s.awaitSlot(); err != nil {
			return err
		}
	}
	m.statements.Add(1)
	if err := s.serviceTime(); err != nil {
		m.leave()
		return err
	}
	return nil
}

func (s *session) awaitSlot() error {
	select {
	case s.member.slots <- struct{}{}:
		return nil
	case <-s.interrupt:
		return errCancelled
	case <-s.context().Done():
		return errShutdown
	}
}

func (m *Member) leave() { <-m.slots }

func (s *session) serviceTime() error {
	if err := s.pass(s.member.group.options.ServiceTime); err != nil {
		return err
	}
	return s.member.awaitRunning(s.context())
}

func (s *session) runConstant(p *prepared, args []engine.Value, rows *sink) (int64, error) {
	if err := s.enter(); err != nil {
		return 0, err
	}
	defer s.member.leave()
	if len(p.params) == 0 {
		return 1, rows.add(one)
	}
	if len(args) == 0 {
		return 0, errParameters
	}
	return 1, rows.add(args[:1])
}

// one is the row of SELECT 1.
var one = []engine.Value{intValue(1)}

var errParameters = &Error{State: stateProtocol, Message: "bind message supplies too few parameters"}

// runQuery runs a statement on the engine.
func (s *session) runQuery(p *prepared, args []engine.Value, rows *sink) (int64, error) {
	if len(args) < len(p.params) {
		return 0, errParameters
	}
	if !p.readOnly {
		if err := s.member.beginWrite(s.context(), s.interrupt, &s.tx); err != nil {
			return 0, err
		}
	}
	if err := s.enter(); err != nil {
		return 0, err
	}
	defer s.member.leave()
	conn, locked, err := s.conn()
	if err != nil {
		return 0, err
	}
	defer s.unlock(locked)
	count, err := step(conn, p.command.rewritten, args, rows)
	if err != nil || p.readOnly {
		return count, err
	}
	return s.noteWrite(conn, p.command, args), nil
}

// step runs a statement to its end and returns how many rows it gave.
func step(conn *engine.Conn, sql string, args []engine.Value, rows *sink) (int64, error) {
	st, err := conn.Prepare(sql)
	if err != nil {
		return 0, err
	}
	defer st.Reset()
	if err := st.Bind(args); err != nil {
		return 0, err
	}
	for count := int64(0); ; count++ {
		row, err := st.Step()
		if err != nil {
			return 0, err
		}
		if !row {
			rows.describe()
			return count, nil
		}
		if err := rows.read(st); err != nil {
			return 0, err
		}
	}
}

// noteWrite adds a statement to what the transaction will log and returns how
// many rows it changed. One that changed none is not logged.
func (s *session) noteWrite(conn *engine.Conn, c *command, args []engine.Value) int64 {
	count := int64(0)
	if c.schema {
		s.member.schema.Add(1)
	} else {
		count = conn.Changes()
	}
	if count > 0 || c.schema {
		values := append([]engine.Value(nil), args...)
		s.tx.statements = append(s.tx.statements, Statement{
			SQL: c.sql, Args: export(values), rewritten: c.rewritten, values: values, schema: c.schema,
		})
	}
	return count
}
