package proxy

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/policy"
	"limpetspan/platform"
)

// transaction is a caller's open transaction. It gets a connection with its
// first statement and keeps it to its end.
type transaction struct {
	readOnly bool
	route    direct.Route
	arrived  core.Time
	g        *group
	conn     *memberConn
	place    direct.Placement
	// wrote is set once a write was sent.
	wrote  bool
	failed bool
	// forward is set if a home runs the transaction; home is the link to it, nil
	// before the first statement.
	forward bool
	home    *link
}

// begin opens a transaction without a member yet, so that a caller's pause
// before the first statement costs no connection.
func (s *session) begin(st *direct.Statement, route direct.Route, arrived core.Time) {
	if s.tx != nil {
		s.answerError(platform.CodeMalformed, "a transaction is open")
		return
	}
	s.tx = &transaction{readOnly: st.Kind == direct.StatementBeginRead, route: route, arrived: arrived, forward: s.forwards(route, st.Kind != direct.StatementBeginRead)}
	if !s.tx.forward {
		s.tx.g = s.p.groupForStatement(route.Group)
	}
	s.answerDone()
}

// open gives the transaction a connection on which it has begun; false: it
// could not be had, and the caller was told.
func (s *session) open(j *job) bool {
	tx := s.tx
	if !s.admit(j) {
		return false
	}
	if !s.payFor(j) {
		return s.unpaidTransaction(j)
	}
	deadline := j.deadline()
	primary := !tx.readOnly
	w := s.waiter(j, s.need(tx.route, primary, tx.arrived))
	if w.requirement.Primary {
		// Nothing was sent for the transaction yet, so what matters is the lease now.
		w.requirement.Arrived = j.arrived
	}
	begin := job{id: j.id, kind: direct.StatementBegin, text: tx.beginText(), route: tx.route, arrived: j.arrived, paidAt: j.paidAt}
	if tx.readOnly {
		begin.kind = direct.StatementBeginRead
	}
	for attempt := 1; ; attempt++ {
		conn, place, ok := tx.g.acquire(w, j.holdUntil())
		if !ok {
			return s.notOpened(j, noMember, attempt, "group", tx.g.id, "members", tx.g.explain(w))
		}
		a, _, o := s.runOn(tx.g, conn, place, &begin, platform.ProxyStatementID, deadline)
		if o == direct.Succeeded && a.State == platform.StateInTransaction {
			tx.conn, tx.place = conn, place
			return true
		}
		switch o {
		case direct.Denied:
			tx.g.release(conn)
			s.barred(j)
			return false
		case direct.OverQuota:
			tx.g.release(conn)
			return s.unpaidTransaction(j)
		}
		s.debug("begin", "id", j.id, "member", place.Member, "outcome", int(o), "code", a.Code)
		switch {
		case o == direct.ConnLost || o == direct.NotSent:
		case a.State == platform.StateIdle && o != direct.Succeeded:
			tx.g.release(conn)
		default:
			tx.g.discard(conn)
		}
		if attempt >= maxAttempts || now() >= deadline {
			return s.notOpened(j, "refused by the members", attempt)
		}
		w.requirement.Exclude = avoid(w.requirement.Exclude, place, o)
	}
}

func (tx *transaction) beginText() string {
	if tx.readOnly {
		return platform.TextBeginRead
	}
	return platform.TextBegin
}

// notOpened tells that the transaction could not begin; it has failed, or is over if
// this was its commit. It returns false.
func (s *session) notOpened(j *job, why string, attempt int, inputs ...any) bool {
	s.tx.failed = true
	if j.kind == direct.StatementCommit {
		s.tx = nil
	}
	s.notRun(j, why, attempt, inputs...)
	return false
}

// unpaidTransaction is notOpened for a team that may not begin another operation here. Where
// another daemon counts the team's operations, the transaction begins there instead.
func (s *session) unpaidTransaction(j *job) bool {
	if s.passOnUnpaid() {
		s.tx.forward, j.text, j.prepare = true, j.asked, nil
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
	s.refuseUnpaid(j)
	return false
}

// runInTransaction runs a statement of the open transaction.
func (s *session) runInTransaction(j *job) {
	tx := s.tx
	j.route = tx.route
	if tx.conn == nil && !s.open(j) {
		return
	}
	waitLimit := j.route.StatementTimeout - answerMargin
	if s.p.policy.Has(policy.AnswerTimeouts) {
		waitLimit = min(waitLimit, tx.place.AnswerTimeout)
	}
	a, o := s.runPinned(j, waitLimit)
	if o == direct.Denied {
		s.barred(j)
		return
	}
	if o == direct.ConnLost || o == direct.NotSent {
		s.aborted(j, o)
		return
	}
	tx.wrote = tx.wrote || j.writes
	s.passPinned(&a)
}

// runPinned runs a statement on the transaction's connection. After Broken and
// NotSent the connection is gone.
func (s *session) runPinned(j *job, waitLimit time.Duration) (platform.Answer, direct.Outcome) {
	tx := s.tx
	deadline := time.Now().Add(max(time.Millisecond, waitLimit-now().Sub(j.arrived)))
	if err := tx.conn.adopt(s.values, j.prepare, deadline); err != nil {
		s.debug("session state", "id", j.id, "member", tx.conn.member, "error", err)
		s.drop(tx)
		return platform.Answer{}, direct.NotSent
	}
	tx.g.markResumed(tx.conn)
	if !s.allowed(tx.conn.team) {
		return platform.Answer{}, direct.Denied
	}
	sent := now()
	end := s.hop("member.exchange", j.id, string(tx.conn.member))
	a, wrote, err := tx.conn.exchange(j.id, j.text, core.Position{}, deadline)
	end(outcomeText(a.Code, err))
	if err != nil {
		s.p.stats.broken.Add(1)
		s.debug("answer", "id", j.id, "member", tx.conn.member, "error", err, "ms", now().Sub(sent).Milliseconds())
		tx.g.statementUnanswered(tx.conn, sent, err)
		tx.conn = nil
		if !wrote {
			return a, direct.NotSent
		}
		return a, direct.ConnLost
	}
	o := a.Outcome()
	tx.g.statementAnswered(tx.conn.member, sent, &a, o, &tx.route)
	return a, o
}

// passPinned passes on an answer inside the transaction; the member says
// whether the transaction has failed.
func (s *session) passPinned(a *platform.Answer) {
	tx := s.tx
	tx.failed = a.State != platform.StateInTransaction
	if a.Code != "" {
		s.p.stats.refused(a.Code)
	}
	// The body is memory of the connection: it is copied before the connection
	// runs anything else, or the caller gets the answer to another statement.
	s.out = append(s.out, a.Body...)
	s.out = platform.AppendReady(s.out, s.state(), a.PositionText)
	switch a.State {
	case platform.StateInTransaction:
		tx.g.markIdleInTransaction(tx.conn)
	case platform.StateFailed:
		s.rollback(tx)
	case platform.StateIdle:
		s.giveBack(tx)
	}
}

// aborted tells that the transaction is lost before its commit was sent: the
// member rolls it back because its connection has ended.
func (s *session) aborted(j *job, o direct.Outcome) {
	s.tx.failed = true
	s.debug("transaction aborted", "id", j.id, "outcome", int(o))
	s.answerError(platform.CodeAborted, "the member did not answer; the transaction is rolled back")
}

// serveCommit runs the commit of the open transaction.
func (s *session) serveCommit(st *direct.Statement, arrived core.Time) {
	tx := s.tx
	if tx == nil {
		s.answerError(platform.CodeMalformed, "no transaction is open")
		return
	}
	j := &job{id: st.ID, kind: st.Kind, text: st.Text, asked: st.Text, route: tx.route, arrived: arrived}
	if tx.forward {
		s.forwardCommit(j)
		return
	}
	if tx.conn == nil && !s.open(j) {
		return
	}
	a, o := s.runPinned(j, tx.route.StatementTimeout-answerMargin)
	switch o {
	case direct.Denied:
		s.barred(j)
		return
	case direct.NotSent:
		s.tx = nil
		s.answerError(platform.CodeAborted, "the commit was not sent; the transaction is rolled back")
		return
	case direct.ConnLost:
		s.tx = nil
		s.debug("commit unknown", "id", j.id)
		if !tx.wrote {
			s.answerError(platform.CodeAborted, "the commit was not answered; nothing was written")
			return
		}
		s.answerError(platform.CodeInDoubt, "the commit was not answered")
		return
	}
	s.committed(j, &a, o)
}

func (s *session) committed(j *job, a *platform.Answer, o direct.Outcome) {
	tx := s.tx
	if a.State != platform.StateIdle {
		s.passPinned(a)
		return
	}
	s.tx = nil
	if o == direct.Succeeded && tx.wrote && !s.acknowledge(tx.g, tx.conn.member, a) {
		s.giveBack(tx)
		s.unconfirmed(j)
		return
	}
	if o == direct.Succeeded {
		s.p.stats.served(tx.place.Primary, now().Sub(j.arrived))
	}
	s.passOn(tx.conn, tx.g, a)
	tx.conn = nil
}

// serveRollback answers at once and tells the member afterwards.
func (s *session) serveRollback() error {
	tx := s.tx
	if tx == nil {
		s.answerError(platform.CodeMalformed, "no transaction is open")
		return s.flush()
	}
	s.tx = nil
	s.answerDone()
	err := s.flush()
	s.rollback(tx)
	return err
}

// rollbackWait bounds a rollback, which takes no slot on the member.
const rollbackWait = 300 * time.Millisecond

// rollback ends the transaction on the member and gives its connection back.
func (s *session) rollback(tx *transaction) {
	if tx.forward {
		s.forwardRollback(tx)
		return
	}
	if tx.conn == nil {
		return
	}
	a, err := tx.conn.own(platform.TextRollback, time.Now().Add(rollbackWait))
	if err != nil || a.State != platform.StateIdle {
		s.drop(tx)
		return
	}
	s.giveBack(tx)
}

// abort ends the transaction of a caller that is still there.
func (s *session) abort(tx *transaction) {
	tx.failed = true
	s.rollback(tx)
}

func (s *session) giveBack(tx *transaction) {
	if tx.conn != nil {
		tx.g.release(tx.conn)
		tx.conn = nil
	}
}

func (s *session) drop(tx *transaction) {
	if tx.conn != nil {
		tx.g.discard(tx.conn)
		tx.conn = nil
	}
}
