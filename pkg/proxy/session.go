package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/direct"
	"limpetspan/core/pipeline"
	"limpetspan/platform"
)

// preparedStatement is a prepared statement of a session. Its shape is the
// statement without its arguments.
type preparedStatement struct {
	writes bool
	shape  string
	// memberName is its name on connections to members.
	memberName string
}

func newPreparedStatement(writes bool, shape string) preparedStatement {
	return preparedStatement{writes, shape, platform.PreparedName(writes, shape)}
}

// session is one caller's connection, served by a goroutine of its own.
type session struct {
	p        *Proxy
	c        net.Conn
	r        *platform.Reader
	out      []byte
	database string
	// key is the fingerprint of the key that the caller presented. denial is why the
	// last statement was not sent because of its key.
	key    auth.Fingerprint
	denial keyDenial
	// quotaReservation is the result of the last attempt to count an operation
	// against the limit of the session's team.
	quotaReservation quotaReservation
	// overflowHome is the home to ask next, because it gives out another part of the team's limit.
	// secondPart is set if the entry asks for the second part, as it cannot use the first.
	overflowHome core.DaemonID
	secondPart   bool
	sessionState
	// commits are the session's last commits, wherever they were executed.
	commits direct.SessionCommits
	// tx is the open transaction, nil outside one.
	tx *transaction
	// refusedAt is the time of the last refusal, 0 after a statement outside a
	// transaction was served by a member. refusedSince is the arrival of the first
	// statement in the current series of refusals.
	refusedAt, refusedSince core.Time
	// promised is the return that the session was promised with its last refusal, zero if it was not.
	promised promisedReturn
	// link is the connection to a home if statements are forwarded. fromEntry is
	// set if an entry forwards the session to this daemon.
	link      *groupLink
	fromEntry bool
	// answers numbers the answers to an entry that has asked for numbers.
	answers pipeline.Answers
	// ctx carries the span of the current hop, if hops are traced.
	ctx context.Context
	// entryNotified is set once the entry was asked to move the session.
	entryNotified atomic.Bool
	// idleSince is when the session began to wait for a message outside a
	// transaction, 0 while it does not wait.
	idleSince atomic.Int64
	// idleMu is held while a planned stop sets the read deadline of an idle session, which it notes in
	// interrupted, and while the session ceases to be idle.
	idleMu      sync.Mutex
	interrupted bool
}

// errSessionEnded ends a session without a further answer.
var errSessionEnded = errors.New("session ended")

func (s *session) run() {
	s.r = platform.NewReader(s.c)
	if err := s.startup(); err != nil {
		s.end()
		return
	}
	s.serveMessages()
}

// serveMessages serves the caller's messages until the session ends.
func (s *session) serveMessages() {
	defer s.end()
	for {
		msg, err := s.readMessage()
		if err != nil {
			s.rejectMessage(err)
			return
		}
		if msg.Terminate {
			return
		}
		if msg.Startup {
			s.rejectMessage(platform.ErrMalformed)
			return
		}
		if err := s.serveStatement(&msg.Statement); err != nil {
			return
		}
	}
}

// rejectMessage answers a message that could not be read.
func (s *session) rejectMessage(err error) {
	switch {
	case errors.Is(err, platform.ErrTooLong):
		s.beginAnswer()
		s.out = platform.AppendError(s.out, platform.CodeTooLarge, "message is longer than 1 MiB")
	case errors.Is(err, platform.ErrMalformed):
		s.beginAnswer()
		s.out = platform.AppendError(s.out, platform.CodeMalformed, err.Error())
	default:
		return
	}
	s.p.stats.malformed.Add(1)
	_, _ = s.c.Write(s.out)
}

// end rolls back an open transaction and closes the session's connections.
func (s *session) end() {
	if s.tx != nil {
		s.rollback(s.tx)
	}
	s.closeLink()
	_ = s.c.Close()
	s.p.removeSession(s)
}

// startupTimeout bounds how long a caller takes to send its startup message.
const startupTimeout = 5 * time.Second

// startup reads the caller's startup message and answers it.
func (s *session) startup() error {
	_ = s.c.SetReadDeadline(time.Now().Add(startupTimeout))
	line, err := s.readLine()
	if err != nil {
		s.countIfIncomplete(err, messageDropped)
		s.rejectMessage(err)
		return err
	}
	msg, err := platform.ParseCaller(line)
	if err != nil || !msg.Startup {
		s.rejectMessage(platform.ErrMalformed)
		return platform.ErrMalformed
	}
	_ = s.c.SetReadDeadline(time.Time{})
	catalog := s.p.catalog.Load()
	if catalog == nil {
		return s.rejectStartup(platform.CodeBusy, "no configuration yet"+retryAfterText(outageRetryAfter(now().Sub(s.p.startedAt))))
	}
	route, ok := catalog.Routes[msg.Database]
	if !ok {
		return s.rejectStartup(platform.CodeUnknownDatabase, "no such database")
	}
	// The message's own text would keep the whole message in memory.
	s.database, s.key = route.Database, auth.FingerprintOf(msg.Key)
	switch s.p.access.checkSession(s.database, s.key) {
	case auth.Unknown:
		s.p.stats.denied.Add(textUnknownKey, 1)
		s.logDecision("session refused", "reason", textUnknownKey, "key", s.key.String(), "configuration", s.p.metadata.Version())
		return s.rejectStartup(platform.CodeUnknownKey, textUnknownKey)
	case auth.Unproved:
		s.p.stats.denied.Add(textUnproved, 1)
		return s.rejectStartupUnproved()
	}
	s.out = platform.AppendReady(s.out[:0], platform.StateIdle, "")
	return s.flush()
}

// rejectStartup answers the startup message with an error, which ends the session.
func (s *session) rejectStartup(code, text string) error {
	s.out = platform.AppendError(s.out[:0], code, text)
	_, _ = s.c.Write(s.out)
	return errSessionEnded
}

func (s *session) flush() error {
	_, err := s.c.Write(s.out)
	return err
}

// serveStatement runs one statement and answers it.
func (s *session) serveStatement(st *direct.Statement) error {
	end := s.startSpan("entry.statement", st.ID, "")
	err := s.answerStatement(st)
	end(outcomeText("", err))
	return err
}

// answerStatement does the work of serveStatement, which adds the span.
func (s *session) answerStatement(st *direct.Statement) error {
	s.p.stats.statements.Add(1)
	arrived := now()
	s.beginAnswer()
	catalog := s.p.catalog.Load()
	route, ok := catalog.Routes[s.database]
	if !ok && s.tx == nil {
		s.answerError(platform.CodeUnknownDatabase, "the database has been removed")
		return s.flush()
	}
	if s.tx != nil && s.tx.failed {
		s.serveInFailedTransaction(st)
		return s.flush()
	}
	if s.tx == nil && requiresMember(st.Kind) {
		s.p.homes.awaitChosen(s.p.startupDeadline(arrived, route))
	}
	switch st.Kind {
	case direct.StatementSet, direct.StatementPrepare:
		if !s.changeState(st) && s.fromEntry {
			// The statement that needs this state follows, and must not run without it.
			return errors.Join(s.flush(), errSessionEnded)
		}
	case direct.StatementDeallocate:
		s.deallocate(st)
	case direct.StatementBegin, direct.StatementBeginRead:
		s.begin(st, route, arrived)
	case direct.StatementRollback:
		return s.serveRollback()
	case direct.StatementCommit:
		s.serveCommit(st, arrived)
	case direct.StatementRead, direct.StatementWrite, direct.StatementExecute:
		s.runStatement(st, route, arrived)
	default:
		s.answerError(platform.CodeMalformed, "statement is not understood")
	}
	return s.flush()
}

// requiresMember reports whether a member runs the statement or the transaction that it opens.
func requiresMember(k direct.StatementKind) bool {
	switch k {
	case direct.StatementBegin, direct.StatementBeginRead, direct.StatementRead, direct.StatementWrite, direct.StatementExecute:
		return true
	}
	return false
}

// state returns the transaction state that is sent with an answer.
func (s *session) state() byte {
	switch {
	case s.tx == nil:
		return platform.StateIdle
	case s.tx.failed:
		return platform.StateFailed
	}
	return platform.StateInTransaction
}

func (s *session) answerComplete() {
	s.out = platform.AppendReady(platform.AppendComplete(s.out), s.state(), "")
}

func (s *session) answerError(code, text string) {
	s.p.stats.countRefusal(code)
	s.out = platform.AppendReady(platform.AppendError(s.out, code, text), s.state(), "")
}

func (s *session) deallocate(st *direct.Statement) {
	if !s.sessionState.deallocate(st.Name) {
		s.answerError(platform.CodeNotPrepared, st.Name)
		return
	}
	s.answerComplete()
}

// serveInFailedTransaction answers a statement of a failed transaction, which accepts only
// its commit or rollback.
func (s *session) serveInFailedTransaction(st *direct.Statement) {
	switch st.Kind {
	case direct.StatementRollback:
		s.tx = nil
		s.answerComplete()
	case direct.StatementCommit:
		s.tx = nil
		s.answerError(platform.CodeAborted, "the transaction has failed and is rolled back")
	default:
		s.answerError(platform.CodeMalformed, "the transaction has failed; end it first")
	}
}

// runStatement runs a read or a write, inside or outside a transaction, here or at a home.
func (s *session) runStatement(st *direct.Statement, route direct.Route, arrived core.Time) {
	job := job{id: st.ID, kind: st.Kind, text: st.Text, callerText: st.Text, writes: st.Writes, arrived: arrived}
	if st.Kind == direct.StatementExecute {
		def, ok := s.prepared[st.Name]
		if !ok {
			s.answerError(platform.CodeNotPrepared, st.Name)
			return
		}
		job.prepared, job.writes = &def, def.writes
		job.text = platform.TextExecute(def.memberName, st.Argument)
	}
	if !platform.FitsMessage(job.id, job.text) && st.Kind != direct.StatementWrite {
		s.answerError(platform.CodeTooLarge, "the statement leaves no room for the name and position that precede it at a member")
		return
	}
	job.memberText, job.memberPrepared = job.text, job.prepared
	switch {
	case s.tx != nil && s.tx.forwarded:
		job.text, job.route = st.Text, s.tx.route
		s.forwardInTransaction(&job)
	case s.tx != nil:
		s.runInTransaction(&job)
	case s.shouldForward(route, job.writes):
		job.text, job.route = st.Text, route
		s.forwardSingle(&job)
	default:
		job.route = route
		s.runSingle(&job)
	}
}

// shouldForward reports whether a statement of the route runs at another daemon: this one
// is not the group's home for the team, knows no member of the group, or cannot reach the
// primary while other homes can. A statement that an entry has forwarded is never
// forwarded again, even if this daemon is no longer a home.
func (s *session) shouldForward(route direct.Route, writes bool) bool {
	if s.fromEntry {
		return false
	}
	return !s.p.homes.servesTeam(route.Group, s.p.access.teamOf(s.key)) || s.p.lacksMembersFor(route, writes)
}

// logDecision logs a decision about one of the session's requests. The rate of such lines is limited.
func (s *session) logDecision(decision string, args ...any) {
	s.p.logDecision(decision, append([]any{"database", s.database}, args...)...)
}
