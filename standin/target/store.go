package target

import (
	"limpetspan/standin/target/internal/engine"
)

// store holds a member's databases.
type store struct {
	// name of the committed database; it changes when the database is rebuilt.
	name string
	// applier changes the committed database; used under Member.mu.
	applier *engine.Conn
	// working is the database of the open write transaction; used by the
	// holder of Member.writer.
	working *engine.Conn
	// stale: working has to be copied anew from the committed database.
	// Guarded by Member.mu.
	stale bool
}

func newStore() (*store, error) {
	name := engine.NewName()
	applier, err := engine.Open(name)
	if err != nil {
		return nil, err
	}
	return &store{name: name, applier: applier, stale: true}, nil
}

func (s *store) close() {
	s.applier.Close()
	if s.working != nil {
		s.working.Close()
	}
}

// apply runs the records' statements on the committed database as one
// transaction.
func (s *store) apply(records []*Record) error {
	if err := s.applier.Exec("BEGIN"); err != nil {
		return err
	}
	for _, r := range records {
		for i := range r.Statements {
			if err := s.run(&r.Statements[i]); err != nil {
				_ = s.applier.Exec("ROLLBACK")
				return err
			}
		}
	}
	return s.applier.Exec("COMMIT")
}

func (s *store) run(statement *Statement) error {
	st, err := s.applier.Prepare(statement.rewritten)
	if err != nil {
		return err
	}
	defer st.Reset()
	if err := st.Bind(statement.values); err != nil {
		return err
	}
	for {
		row, err := st.Step()
		if err != nil || !row {
			return err
		}
	}
}

// rebuild replaces the committed database by one made from the log. Readers
// notice by the name.
func (s *store) rebuild(log []*Record) error {
	fresh, err := newStore()
	if err != nil {
		return err
	}
	if err := fresh.apply(log); err != nil {
		fresh.applier.Close()
		return err
	}
	s.applier.Close()
	s.name, s.applier, s.stale = fresh.name, fresh.applier, true
	return nil
}

// work returns the working database, equal to the committed one. The caller
// holds Member.writer and Member.mu for reading or writing.
func (s *store) work() (*engine.Conn, error) {
	if s.working != nil && !s.stale {
		return s.working, nil
	}
	if s.working == nil {
		conn, err := engine.Open(engine.Private)
		if err != nil {
			return nil, err
		}
		s.working = conn
	}
	if err := s.working.CopyFrom(s.applier); err != nil {
		return nil, err
	}
	s.stale = false
	return s.working, nil
}
