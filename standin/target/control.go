package target

import (
	"time"
)

// settings are the answers to SHOW.
var settings = map[string]string{
	"server_version":              "16.0",
	"transaction_isolation":       "read committed",
	"standard_conforming_strings": "on",
	"timezone":                    "UTC",
}

func shown(name string) string { return settings[name] }

// runControl carries out a statement that doesn't reach the engine and returns
// the command to report.
func (s *session) runControl(c *command) (*command, error) {
	switch c.verb {
	case verbBegin:
		s.begin(c)
	case verbCommit:
		return s.commit(c)
	case verbRollback:
		s.rollback()
	case verbSavepoint, verbRelease, verbRollbackTo:
		return c, s.savepoint(c)
	case verbDiscard:
		clear(s.statements)
		clear(s.portals)
	case verbDeallocate:
		s.deallocate(c.name)
	case verbCopy:
		return c, &Error{State: stateUnsupported, Message: "COPY is not supported"}
	case verbRefused:
		return c, &Error{State: stateUnsupported, Message: c.tag + " is not supported"}
	}
	return c, nil
}

func (s *session) begin(c *command) {
	if !s.tx.block {
		s.tx.block, s.tx.readOnly = true, c.readOnly
	}
}

func (s *session) commit(c *command) (*command, error) {
	failed := s.tx.failed
	if failed {
		s.rollback()
		return rollbackCommand, nil
	}
	err := s.member.commitWrite(s.context(), &s.tx)
	s.endBlock()
	return c, err
}

func (s *session) rollback() {
	s.member.abortWrite(&s.tx)
	s.endBlock()
}

func (s *session) endBlock() {
	s.tx.block, s.tx.failed, s.tx.readOnly = false, false, false
	s.tx.savepoints = s.tx.savepoints[:0]
}

func (s *session) savepoint(c *command) error {
	if !s.tx.block {
		return &Error{State: stateNoTransaction, Message: c.tag + " can only be used in transaction blocks"}
	}
	if c.verb == verbSavepoint {
		return s.tx.setSavepoint(c.name)
	}
	return s.member.endSavepoint(&s.tx, c.name, c.verb == verbRollbackTo)
}

func (s *session) deallocate(name string) {
	if name == "ALL" || name == "all" {
		clear(s.statements)
		return
	}
	delete(s.statements, name)
}

// pass lets time go by unless the statement is cancelled.
func (s *session) pass(d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.interrupt:
		return errCancelled
	case <-s.context().Done():
		return errShutdown
	}
}
