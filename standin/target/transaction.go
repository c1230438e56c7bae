package target

import (
	"context"
	"strings"

	"limpetspan/core"
	"limpetspan/standin/target/internal/engine"
)

// transaction is the transaction state of a session.
type transaction struct {
	// block: between BEGIN and COMMIT.
	block bool
	// failed: only ROLLBACK is accepted.
	failed   bool
	readOnly bool
	// work is the working database while the transaction holds the writer.
	work *engine.Conn
	// leadership of the member in which the writing began.
	leadership uint64
	statements []Statement
	savepoints []savepoint
}

// savepoint marks how many statements came before it.
type savepoint struct {
	name       string
	statements int
}

// status is the byte of ReadyForQuery.
func (t *transaction) status() byte {
	switch {
	case t.failed:
		return 'E'
	case t.block:
		return 'T'
	}
	return 'I'
}

// beginWrite waits for the writer and opens the working transaction.
func (m *Member) beginWrite(ctx context.Context, interrupt <-chan struct{}, t *transaction) error {
	if t.work != nil {
		return nil
	}
	if t.readOnly {
		return errReadTx
	}
	if m.currentRole() != core.RolePrimary {
		return errReadOnly
	}
	select {
	case m.writer <- struct{}{}:
	case <-interrupt:
		return errCancelled
	case <-ctx.Done():
		return errShutdown
	}
	if err := m.openWork(t); err != nil {
		m.abandonWork(t)
		return err
	}
	return nil
}

// abandonWork gives the writer back after a transaction failed to open.
func (m *Member) abandonWork(t *transaction) {
	if t.work != nil {
		_ = t.work.Exec("ROLLBACK")
		t.work = nil
	}
	<-m.writer
}

func (m *Member) currentRole() core.Role {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.role
}

func (m *Member) openWork(t *transaction) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.role != core.RolePrimary {
		return errReadOnly
	}
	work, err := m.store.work()
	if err != nil {
		return err
	}
	t.work, t.leadership, t.statements = work, m.leadership, nil
	if err := work.Exec("BEGIN"); err != nil {
		return err
	}
	for _, s := range t.savepoints {
		if err := work.Exec("SAVEPOINT " + quote(s.name)); err != nil {
			return err
		}
	}
	return nil
}

// abortWrite rolls the working transaction back and frees the writer.
func (m *Member) abortWrite(t *transaction) {
	if t.work == nil {
		return
	}
	_ = t.work.Exec("ROLLBACK")
	if changesSchema(t.statements) {
		m.schema.Add(1)
	}
	m.releaseWriter(t)
}

func (m *Member) releaseWriter(t *transaction) {
	t.work, t.statements, t.savepoints = nil, nil, t.savepoints[:0]
	<-m.writer
}

// commitWrite commits the working transaction: the log gets a record and the
// committed database its statements, unless the leadership has changed. Without
// that last check a primary that was fenced or paused meanwhile would
// acknowledge a write that the next term doesn't hold.
func (m *Member) commitWrite(ctx context.Context, t *transaction) error {
	if t.work == nil {
		return nil
	}
	if len(t.statements) == 0 {
		m.abortWrite(t)
		return nil
	}
	defer m.releaseWriter(t)
	if err := t.work.Exec("COMMIT"); err != nil {
		_ = t.work.Exec("ROLLBACK")
		return err
	}
	if err := m.lockRunning(ctx); err != nil {
		m.mu.Lock()
		m.store.stale = true
		m.mu.Unlock()
		return err
	}
	err := m.appendRecord(t)
	m.mu.Unlock()
	if err == nil {
		m.group.wake()
	}
	return err
}

// appendRecord needs mu for writing.
func (m *Member) appendRecord(t *transaction) error {
	if m.leadership != t.leadership || m.role != core.RolePrimary {
		m.store.stale = true
		return errReplaced
	}
	r := &Record{
		LSN:        m.position().LSN + size(t.statements),
		Term:       m.term,
		Primary:    m.options.ID,
		At:         m.group.options.Clock.Now(),
		Statements: t.statements,
	}
	if err := m.store.apply([]*Record{r}); err != nil {
		m.store.stale = true
		return err
	}
	if changesSchema(t.statements) {
		m.schema.Add(1)
	}
	m.log = append(m.log, r)
	m.group.journal.add(r)
	return nil
}

func changesSchema(statements []Statement) bool {
	for i := range statements {
		if statements[i].schema {
			return true
		}
	}
	return false
}

// setSavepoint opens a savepoint; a transaction that doesn't write keeps the
// name only.
func (t *transaction) setSavepoint(name string) error {
	if t.work != nil {
		if err := t.work.Exec("SAVEPOINT " + quote(name)); err != nil {
			return err
		}
	}
	t.savepoints = append(t.savepoints, savepoint{name: name, statements: len(t.statements)})
	return nil
}

// endSavepoint releases a savepoint or rolls back to it.
func (m *Member) endSavepoint(t *transaction, name string, rollback bool) error {
	i := len(t.savepoints) - 1
	for i >= 0 && !strings.EqualFold(t.savepoints[i].name, name) {
		i--
	}
	if i < 0 {
		return &Error{State: stateNoSavepoint, Message: "savepoint \"" + name + "\" does not exist"}
	}
	verb, keep := "RELEASE ", i
	if rollback {
		verb, keep = "ROLLBACK TO ", i+1
		t.statements = t.statements[:min(len(t.statements), t.savepoints[i].statements)]
		t.failed = false
	}
	if t.work != nil {
		if err := t.work.Exec(verb + quote(t.savepoints[i].name)); err != nil {
			return err
		}
		m.schema.Add(1)
	}
	t.savepoints = t.savepoints[:keep]
	return nil
}

func quote(name string) string { return `"` + strings.ReplaceAll(name, `"`, `""`) + `"` }
