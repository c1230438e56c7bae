package target

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// reply holds the messages and buffers that a session sends from again and
// again, so that an answer allocates little.
type reply struct {
	ready    pgproto3.ReadyForQuery
	complete pgproto3.CommandComplete
	row      pgproto3.DataRow
	tag      []byte
	cells    []byte
	ends     []int
	parsed   pgproto3.ParseComplete
	bound    pgproto3.BindComplete
	closed   pgproto3.CloseComplete
	noData   pgproto3.NoData
	empty    pgproto3.EmptyQueryResponse
	suspend  pgproto3.PortalSuspended
}

// loop serves messages until the connection ends.
func (s *session) loop() error {
	for {
		message, err := s.back.Receive()
		if err != nil {
			return s.protocolError(err)
		}
		if err := s.handle(message); err != nil {
			return err
		}
	}
}

// handle serves one message; its error ends the session.
func (s *session) handle(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Query:
		s.skipping = false
		s.simpleQuery(message.String)
		return s.ready()
	case *pgproto3.Sync:
		s.skipping = false
		s.fail(s.endImplicit())
		s.skipping = false
		return s.ready()
	case *pgproto3.Terminate:
		return errDone
	case *pgproto3.Flush:
		return s.back.Flush()
	}
	if s.skipping {
		return nil
	}
	return s.handleExtended(message)
}

func (s *session) handleExtended(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Parse:
		s.fail(s.parseMessage(message))
	case *pgproto3.Bind:
		s.fail(s.bindMessage(message))
	case *pgproto3.Describe:
		s.fail(s.describeMessage(message))
	case *pgproto3.Execute:
		s.fail(s.executeMessage(message))
	case *pgproto3.Close:
		s.closeMessage(message)
	default:
		return fatal(stateProtocol, "unexpected message")
	}
	return nil
}

// ready ends a cycle: everything is sent, the transaction status last.
func (s *session) ready() error {
	if s.link.killed.Load() {
		return errShutdown
	}
	s.member.sleep(s.context(), s.member.lateness())
	s.reply.ready.TxStatus = s.tx.status()
	if s.reply.ready.TxStatus == 'I' && len(s.portals) > 1 {
		clear(s.portals)
	}
	s.back.Send(&s.reply.ready)
	return s.back.Flush()
}

// fail answers an error, if there is one, and brings the transaction into the
// state that follows from it.
func (s *session) fail(err error) {
	if err == nil {
		return
	}
	answer := asError(err)
	if answer != errAborted {
		s.failTransaction()
	}
	s.skipping = true
	s.back.Send(answer.response())
}

func (s *session) failTransaction() {
	if s.tx.block {
		s.tx.failed = true
	}
	if !s.tx.block || len(s.tx.savepoints) == 0 {
		s.member.abortWrite(&s.tx)
	}
}

// endImplicit commits what ran outside a transaction block.
func (s *session) endImplicit() error {
	if s.tx.block {
		return nil
	}
	return s.member.commitWrite(s.context(), &s.tx)
}

// simpleQuery runs the statements of a Query message. Outside a block they
// are one transaction, which is committed before the last is reported.
func (s *session) simpleQuery(sql string) {
	statements := s.prepareAll(sql)
	if len(statements) == 0 {
		s.back.Send(&s.reply.empty)
		return
	}
	for i, p := range statements {
		if err := s.runSimple(p, i == len(statements)-1); err != nil {
			s.fail(err)
			s.skipping = false
			return
		}
	}
}

func (s *session) runSimple(p *prepared, last bool) error {
	if s.tx.failed && !endsFailure(p.command.verb) {
		return errAborted
	}
	if err := s.describe(p); err != nil {
		return err
	}
	rows := &sink{session: s, fields: p.fields, announce: true}
	count, done, err := s.run(p, nil, rows)
	if err != nil {
		return err
	}
	if last {
		if err := s.endImplicit(); err != nil {
			return err
		}
	}
	s.complete(done, count)
	return nil
}

// prepareAll prepares the statements of a text.
func (s *session) prepareAll(sql string) []*prepared {
	if p, ok := s.prepared[sql]; ok {
		return []*prepared{p}
	}
	texts := split(sql)
	if len(texts) == 1 {
		return []*prepared{s.prepare(sql)}
	}
	statements := make([]*prepared, len(texts))
	for i, text := range texts {
		statements[i] = s.prepare(text)
	}
	return statements
}

// prepare returns the statement of a text, which holds one at most, without
// stated parameter types. It is kept for the next time.
func (s *session) prepare(text string) *prepared {
	if p, ok := s.prepared[text]; ok {
		return p
	}
	if len(s.prepared) >= maxPrepared {
		clear(s.prepared)
	}
	p := &prepared{command: parse(text, s.member.group.options.Cheap)}
	s.prepared[text] = p
	return p
}

// complete reports the end of a command.
func (s *session) complete(c *command, count int64) {
	if c.verb == verbEmpty {
		s.back.Send(&s.reply.empty)
		return
	}
	s.reply.tag = c.appendTag(s.reply.tag[:0], count)
	s.reply.complete.CommandTag = s.reply.tag
	s.back.Send(&s.reply.complete)
}
