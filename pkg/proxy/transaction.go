package proxy

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/policy"
	"limpetspan/pkg/memberconn"
	"limpetspan/platform"
)

// transaction is a caller's open transaction. It acquires a connection with its
// first statement and keeps it until its end.
type transaction struct {
	readOnly bool
	route    direct.Route
	// arrived is when the BEGIN arrived.
	arrived core.Time
	group   *group
	conn    *memberConn
	place   direct.Placement
	// wrote is set once a write has been sent.
	wrote  bool
	failed bool
	// ranOutside is set if a statement ran although the member had no transaction open.
	ranOutside bool
	// forwarded is set if a home runs the transaction. homeLink is the link to it,
	// nil before the first statement.
	forwarded bool
	homeLink  *link
}

// begin opens a transaction without a member, so that it holds no connection
// until the caller sends the first statement.
func (s *session) begin(st *direct.Statement, route direct.Route, arrived core.Time) {
	if s.tx != nil {
		s.answerError(platform.CodeMalformed, "a transaction is open")
		return
	}
	s.tx = &transaction{readOnly: st.Kind == direct.StatementBeginRead, route: route, arrived: arrived, forwarded: s.shouldForward(route, st.Kind != direct.StatementBeginRead)}
	if !s.tx.forwarded {
		s.tx.group = s.p.groupForStatement(route.Group)
	}
	s.answerComplete()
}

// beginOnMember acquires a connection and begins the transaction on it. It returns
// false if that failed and the caller has been answered.
func (s *session) beginOnMember(j *job) bool {
	tx := s.tx
	if !s.checkKey(j) {
		return false
	}
	if inputs, ok := s.admit(j, !tx.readOnly); !ok {
		return s.failBegin(j, refusal{reason: reasonForecast, inputs: inputs})
	}
	if !s.reserveQuota(j) {
		return s.failBeginOverQuota(j)
	}
	deadline := j.deadline()
	primary := !tx.readOnly
	w := s.newWaiter(j, s.requirement(tx.route, primary, tx.arrived))
	if w.requirement.Primary {
		// Nothing of the transaction has been sent yet, so the lease must hold now and
		// not at the arrival of the BEGIN.
		w.requirement.Arrived = j.arrived
	}
	begin := job{id: j.id, kind: direct.StatementBegin, text: tx.beginText(), route: tx.route, arrived: j.arrived, reservedAt: j.reservedAt}
	if tx.readOnly {
		begin.kind = direct.StatementBeginRead
	}
	for attempt := 1; ; attempt++ {
		j.attempt = attempt
		conn, place, ok := tx.group.acquire(w, j.waitDeadline())
		if !ok {
			return s.failBegin(j, refusal{reason: reasonNoMember, inputs: []any{"group", tx.group.id, "members", tx.group.explain(w)}})
		}
		a, _, o := s.runOnMember(tx.group, conn, place, &begin, platform.ProxyStatementID, deadline)
		if o == direct.Succeeded && a.State == platform.StateInTransaction {
			tx.conn, tx.place = conn, place
			return true
		}
		switch o {
		case direct.Denied:
			tx.group.release(conn)
			s.refuseDenied(j)
			return false
		case direct.OverQuota:
			tx.group.release(conn)
			return s.failBeginOverQuota(j)
		}
		s.logDecision("begin failed", "id", j.id, "member", place.Member, "outcome", int(o), "code", a.Code)
		switch {
		case o == direct.ConnLost || o == direct.NotSent:
		case a.State == platform.StateIdle && o != direct.Succeeded:
			tx.group.release(conn)
		default:
			tx.group.discard(conn)
		}
		if attempt >= maxAttempts || now() >= deadline {
			return s.failBegin(j, refusal{reason: "refused by the members"})
		}
		w.requirement.Exclude = excludeMember(w.requirement.Exclude, place, o)
	}
}

// beginText returns the statement that begins the transaction on a member.
func (tx *transaction) beginText() string {
	if tx.readOnly {
		return platform.TextBeginRead
	}
	return platform.TextBegin
}

// failBegin refuses a statement because its transaction could not begin. The transaction
// has failed, or has ended if the statement is its commit. failBegin returns false.
func (s *session) failBegin(j *job, r refusal) bool {
	s.tx.failed = true
	if j.kind == direct.StatementCommit {
		s.tx = nil
	}
	s.refuse(j, r)
	return false
}

// failBeginOverQuota is failBegin for an operation whose quota reservation was refused. If
// another daemon counts the team's operations, the transaction is forwarded to it instead.
func (s *session) failBeginOverQuota(j *job) bool {
	if s.shouldForwardToSlotOwner(j) {
		s.tx.forwarded, j.text, j.prepared, j.waiter = true, j.callerText, nil, nil
		if j.kind == direct.StatementCommit {
			s.forwardCommit(j)
		} else {
			s.forwardInTransaction(j)
		}
		return false
	}
	s.tx.failed = true
	if j.kind == direct.StatementCommit {
		s.tx = nil
	}
	s.refuseOverQuota(j)
	return false
}

// runInTransaction runs a statement of the open transaction.
func (s *session) runInTransaction(j *job) {
	tx := s.tx
	j.route = tx.route
	if tx.conn == nil && !s.beginOnMember(j) {
		return
	}
	answerTimeout := j.route.StatementTimeout - answerMargin
	if s.p.policy.Has(policy.AnswerTimeouts) {
		answerTimeout = min(answerTimeout, tx.place.AnswerTimeout)
	}
	a, o := s.runPinned(j, answerTimeout)
	if o == direct.Denied {
		s.refuseDenied(j)
		return
	}
	if o == direct.ConnLost || o == direct.NotSent {
		s.answerAborted(j, o)
		return
	}
	if tx.ranOutside {
		s.answerRanOutside(j)
		return
	}
	tx.wrote = tx.wrote || j.writes
	s.relayPinnedAnswer(&a)
}

// runPinned runs a statement on the transaction's connection. After ConnLost and
// NotSent the connection is closed. A refusal ends the transaction at the member.
func (s *session) runPinned(j *job, answerTimeout time.Duration) (platform.Answer, direct.Outcome) {
	tx := s.tx
	deadline := time.Now().Add(max(time.Millisecond, answerTimeout-now().Sub(j.arrived)))
	if err := tx.conn.SyncState(s.values, j.prepared.forMember(), deadline); err != nil {
		s.logDecision("session state not set", "id", j.id, "member", tx.conn.member, "error", err)
		s.discardConn(tx)
		return platform.Answer{}, direct.NotSent
	}
	tx.group.markResumed(tx.conn)
	if !s.checkSend(tx.conn.team) {
		return platform.Answer{}, direct.Denied
	}
	sent := now()
	end := s.startSpan("member.exchange", j.id, string(tx.conn.member))
	send := j.history.Begin(string(tx.conn.member))
	a, wrote, err := tx.conn.Run(memberconn.Statement{ID: j.id, Text: j.text, Commits: j.kind == direct.StatementCommit && tx.wrote}, deadline)
	end(outcomeText(a.Code, err))
	o := exchangeOutcome(&a, wrote, err)
	j.history.End(send, o)
	if o == direct.NotPrepared {
		tx.conn.ForgetPrepared(j.prepared.forMember())
	}
	if err != nil {
		s.p.stats.connsBroken.Add(1)
		s.logDecision("answer", "id", j.id, "member", tx.conn.member, "error", err, "ms", now().Sub(sent).Milliseconds())
		tx.group.statementUnanswered(tx.conn, sent, err)
		tx.conn = nil
		return a, o
	}
	tx.group.statementAnswered(tx.conn.member, sent, &a, o, &tx.route, nil)
	tx.ranOutside = o == direct.Succeeded && j.kind != direct.StatementCommit && a.State == platform.StateIdle
	return a, o
}

// answerRanOutside answers that the outcome of a statement is in doubt, because it ran although its
// transaction was not open.
func (s *session) answerRanOutside(j *job) {
	s.discardConn(s.tx)
	s.tx.failed = true
	s.logDecision("statement ran outside its transaction", "id", j.id)
	s.answerError(platform.CodeInDoubt, "the member ran it outside its transaction")
}

// relayPinnedAnswer relays an answer inside the transaction. Its state shows whether
// the transaction has failed.
func (s *session) relayPinnedAnswer(a *platform.Answer) {
	tx := s.tx
	tx.failed = a.State != platform.StateInTransaction
	if a.Code != "" {
		s.p.stats.countRefusal(a.Code)
	}
	// The body is in the connection's buffer. It is copied before the connection runs
	// another statement, because that statement's answer overwrites it.
	s.out = append(s.out, a.Body...)
	s.out = platform.AppendReady(s.out, s.state(), a.PositionText)
	switch a.State {
	case platform.StateInTransaction:
		tx.group.markIdleInTransaction(tx.conn)
	case platform.StateFailed:
		s.rollback(tx)
	case platform.StateIdle:
		s.releaseConn(tx)
	}
}

// answerAborted answers that the transaction was lost before its commit was sent. The
// member rolls it back because its connection is closed.
func (s *session) answerAborted(j *job, o direct.Outcome) {
	s.tx.failed = true
	s.logDecision("transaction aborted", "id", j.id, "outcome", int(o))
	s.answerError(platform.CodeAborted, "the member did not answer; the transaction is rolled back")
}

// serveCommit runs the commit of the open transaction.
func (s *session) serveCommit(st *direct.Statement, arrived core.Time) {
	tx := s.tx
	if tx == nil {
		s.answerError(platform.CodeMalformed, "no transaction is open")
		return
	}
	j := &job{id: st.ID, kind: st.Kind, text: st.Text, callerText: st.Text, route: tx.route, arrived: arrived}
	if tx.forwarded {
		s.forwardCommit(j)
		return
	}
	if tx.conn == nil && !s.beginOnMember(j) {
		return
	}
	a, o := s.runPinned(j, tx.route.StatementTimeout-answerMargin)
	switch o {
	case direct.Denied:
		s.refuseDenied(j)
		return
	case direct.NotSent:
		s.tx = nil
		s.answerError(platform.CodeAborted, "the commit was not sent; the transaction is rolled back")
		return
	case direct.ConnLost:
		s.tx = nil
		s.logDecision("commit not answered", "id", j.id)
		if !tx.wrote {
			s.answerError(platform.CodeAborted, "the commit was not answered; nothing was written")
			return
		}
		s.answerError(platform.CodeInDoubt, "the commit was not answered")
		return
	}
	s.finishCommit(j, &a, o)
}

// finishCommit relays the answer to a commit, and ends the transaction if the member has
// ended it.
func (s *session) finishCommit(j *job, a *platform.Answer, o direct.Outcome) {
	tx := s.tx
	if a.State != platform.StateIdle {
		s.relayPinnedAnswer(a)
		return
	}
	s.tx = nil
	if o == direct.Succeeded && tx.wrote && !s.confirmCommit(tx.group, tx.conn.member, a) {
		s.releaseConn(tx)
		s.answerUnconfirmed(j)
		return
	}
	if o == direct.Succeeded {
		s.p.stats.recordServed(tx.place.Primary, now().Sub(j.arrived))
	}
	s.relayAnswer(tx.conn, tx.group, a)
	tx.conn = nil
}

// serveRollback answers the caller before it rolls back on the member.
func (s *session) serveRollback() error {
	tx := s.tx
	if tx == nil {
		s.answerError(platform.CodeMalformed, "no transaction is open")
		return s.flush()
	}
	s.tx = nil
	s.answerComplete()
	err := s.flush()
	s.rollback(tx)
	return err
}

// rollbackTimeout bounds a rollback, which occupies no slot on the member.
const rollbackTimeout = 300 * time.Millisecond

// rollback rolls the transaction back on the member and releases its connection.
func (s *session) rollback(tx *transaction) {
	if tx.forwarded {
		s.forwardRollback(tx)
		return
	}
	if tx.conn == nil {
		return
	}
	if err := tx.conn.Rollback(time.Now().Add(rollbackTimeout)); err != nil {
		s.discardConn(tx)
		return
	}
	s.releaseConn(tx)
}

// abort marks the transaction as failed and rolls it back. The caller still has to end it.
func (s *session) abort(tx *transaction) {
	tx.failed = true
	s.rollback(tx)
}

func (s *session) releaseConn(tx *transaction) {
	if tx.conn != nil {
		tx.group.release(tx.conn)
		tx.conn = nil
	}
}

func (s *session) discardConn(tx *transaction) {
	if tx.conn != nil {
		tx.group.discard(tx.conn)
		tx.conn = nil
	}
}
