package proxy

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/direct"
	"limpetspan/platform"
)

// prepared is a prepared statement of a session.
type preparedStatement struct {
	writes bool
	shape  string
}

// session is one caller's connection. Its goroutine does all of its work.
type session struct {
	p        *Proxy
	c        net.Conn
	r        *bufio.Reader
	out      []byte
	database string
	// key is the fingerprint of what the caller showed for its team; barredBy is why its last
	// statement was not sent on account of it.
	key    auth.Fingerprint
	denial keyDenial
	// receipt is of the last operation that its team had to pay for.
	quotaReservation quotaReservation
	sessionState
	// last is the position of the session's last commit, lastAt when it was
	// acknowledged.
	lastCommit   core.Position
	lastCommitAt core.Time
	tx           *transaction
	// refusedAt is when a statement was last refused, refusedSince when the first of
	// those in a row came; 0: the last one was served.
	refusedAt, refusedSince core.Time
	// link leads to a home if this daemon is none for the session's group; linked
	// says that the caller is at another daemon, for which this one is home.
	link      *groupLink
	fromEntry bool
	// ctx carries the span of the hop under way, if hops are traced.
	ctx context.Context
	// toldEntry is set once the entry was told that this home stops.
	entryNotified atomic.Bool
	// waitingSince is since when the session waits for a message outside a
	// transaction; 0: it does not.
	idleSince atomic.Int64
}

// errEnd ends a session without a failure.
var errSessionEnded = errors.New("session ended")

func (s *session) run() {
	s.r = platform.NewReader(s.c)
	if err := s.startup(); err != nil {
		s.end()
		return
	}
	s.serveMessages()
}

// loop serves the session to its end.
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

// refuse tells the caller of a message that could not be read.
func (s *session) rejectMessage(err error) {
	switch {
	case errors.Is(err, platform.ErrTooLong):
		s.out = platform.AppendError(s.out[:0], platform.CodeTooLarge, "message is longer than 1 MiB")
	case errors.Is(err, platform.ErrMalformed):
		s.out = platform.AppendError(s.out[:0], platform.CodeMalformed, err.Error())
	default:
		return
	}
	s.p.stats.malformed.Add(1)
	_, _ = s.c.Write(s.out)
}

func (s *session) end() {
	if s.tx != nil {
		s.rollback(s.tx)
	}
	s.closeLink()
	_ = s.c.Close()
	s.p.removeSession(s)
}

// startupWait is how long a caller may take to open its session.
const startupTimeout = 5 * time.Second

func (s *session) startup() error {
	_ = s.c.SetReadDeadline(time.Now().Add(startupTimeout))
	line, err := platform.ReadLine(s.r)
	if err != nil {
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
		return s.rejectStartup(platform.CodeBusy, "no configuration yet"+outageRetryText(now().Sub(s.p.startedAt)))
	}
	if _, ok := catalog.Routes[msg.Database]; !ok {
		return s.rejectStartup(platform.CodeUnknownDatabase, "no such database")
	}
	s.database, s.key = msg.Database, auth.FingerprintOf(msg.Key)
	switch s.p.access.checkSession(s.database, s.key) {
	case auth.Unknown:
		s.p.stats.denied.Add(textUnknownKey, 1)
		s.logDecision("session refused", "reason", textUnknownKey, "key", s.key.String(), "configuration", s.p.metadata.Version())
		return s.rejectStartup(platform.CodeUnknownKey, textUnknownKey)
	case auth.Unproved:
		s.p.stats.denied.Add(textUnproved, 1)
		return s.rejectStartup(platform.CodeBusy, "not run: "+textUnproved+jitteredRetryText(unprovedRetryAfter))
	}
	s.out = platform.AppendReady(s.out[:0], platform.StateIdle, "")
	return s.flush()
}

func (s *session) rejectStartup(code, text string) error {
	s.out = platform.AppendError(s.out[:0], code, text)
	_, _ = s.c.Write(s.out)
	return errSessionEnded
}

func (s *session) flush() error {
	_, err := s.c.Write(s.out)
	return err
}

// next reads the next message. Outside a transaction a planned stop ends the
// session here; inside one, a caller that stays away too long loses it.
func (s *session) readMessage() (platform.CallerMessage, error) {
	if s.tx == nil {
		if s.p.closing() && s.r.Buffered() == 0 && !s.fromEntry {
			return platform.CallerMessage{}, errSessionEnded
		}
		s.idleSince.Store(int64(now()))
	} else if s.tx.conn != nil || s.tx.homeLink != nil {
		_ = s.c.SetReadDeadline(time.Now().Add(s.p.idleTransactionTimeout()))
	}
	line, err := platform.ReadLine(s.r)
	s.idleSince.Store(0)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && s.r.Buffered() == 0 {
		line, err = s.readAfterTimeout()
	}
	if err != nil {
		return platform.CallerMessage{}, err
	}
	if s.tx != nil {
		_ = s.c.SetReadDeadline(time.Time{})
	}
	return platform.ParseCaller(line)
}

// lastLook is how long a session that is being ended still takes a message.
const finalReadTimeout = 2 * time.Millisecond

// afterTimeout ends a transaction that was idle too long and waits on. Outside
// a transaction an entry is told to take its session elsewhere, and until it has
// done so its statements are still served. Otherwise the stop has woken the
// session: a message that has arrived meanwhile is still served, because a read
// that times out at once does not see it.
func (s *session) readAfterTimeout() (string, error) {
	if s.tx == nil && s.fromEntry && !s.entryNotified.Load() {
		s.entryNotified.Store(true)
		s.out = platform.AppendTerminate(s.out[:0])
		if err := s.flush(); err != nil {
			return "", err
		}
		_ = s.c.SetReadDeadline(time.Time{})
		s.idleSince.Store(int64(now()))
		defer s.idleSince.Store(0)
		return platform.ReadLine(s.r)
	}
	if s.tx == nil {
		_ = s.c.SetReadDeadline(time.Now().Add(finalReadTimeout))
		line, err := platform.ReadLine(s.r)
		_ = s.c.SetReadDeadline(time.Time{})
		return line, err
	}
	s.logDecision("transaction ended", "reason", "idle")
	s.abort(s.tx)
	_ = s.c.SetReadDeadline(time.Time{})
	return platform.ReadLine(s.r)
}

// stop ends the session if it has waited for a message outside a transaction
// for so long: a caller that was just let in sends its first one at once.
func (s *session) endIfIdle(at core.Time, idle time.Duration) {
	since := core.Time(s.idleSince.Load())
	if s.entryNotified.Load() {
		return
	}
	if since != 0 && at.Sub(since) >= idle {
		_ = s.c.SetReadDeadline(time.Now())
	}
}

// serve runs one statement and answers it.
func (s *session) serveStatement(st *direct.Statement) error {
	end := s.startSpan("entry.statement", st.ID, "")
	err := s.answerStatement(st)
	end(outcomeText("", err))
	return err
}

func (s *session) answerStatement(st *direct.Statement) error {
	s.p.stats.statements.Add(1)
	arrived := now()
	s.out = s.out[:0]
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
		s.changeState(st)
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

// needsMember says whether a member runs the statement, or the transaction that it opens.
func requiresMember(k direct.StatementKind) bool {
	switch k {
	case direct.StatementBegin, direct.StatementBeginRead, direct.StatementRead, direct.StatementWrite, direct.StatementExecute:
		return true
	}
	return false
}

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

// serveFailed answers while the transaction has failed: only its end is taken.
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

// serveRun runs a read or write, inside or outside a transaction.
func (s *session) runStatement(st *direct.Statement, route direct.Route, arrived core.Time) {
	job := job{id: st.ID, kind: st.Kind, text: st.Text, callerText: st.Text, writes: st.Writes, arrived: arrived}
	if st.Kind == direct.StatementExecute {
		def, ok := s.prepared[st.Name]
		if !ok {
			s.answerError(platform.CodeNotPrepared, st.Name)
			return
		}
		job.prepared, job.writes = &def, def.writes
		job.text = platform.TextExecute(def.writes, def.shape, st.Argument)
	}
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

// forwards says whether a statement of the route runs at another daemon: this one
// is no home of the group, knows no member of it, or is cut from a primary that
// others use. A home runs what an entry sends it even if it is none any more.
func (s *session) shouldForward(route direct.Route, writes bool) bool {
	if s.fromEntry {
		return false
	}
	here := s.p.homes.servesTeam(route.Group, s.p.access.teamOf(s.key))
	needsPrimary := writes || route.Consistency == direct.PrimaryReads
	return !here || s.p.lacksMembers(route.Group) || needsPrimary && s.p.isCutOff(route.Group)
}

// debug writes a decision about one of the session's requests, bounded in volume.
func (s *session) logDecision(decision string, args ...any) {
	s.p.logDecision(decision, append([]any{"database", s.database}, args...)...)
}
