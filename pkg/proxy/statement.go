package proxy

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/execution"
	"limpetspan/core/policy"
	"limpetspan/pkg/memberconn"
	"limpetspan/platform"
)

// job is one statement that the proxy runs for a session.
type job struct {
	id   string
	kind direct.StatementKind
	// text is what a member runs.
	text string
	// memberText and memberPrepared are the text and the prepared statement that a member of this
	// daemon's groups runs, also if the statement was forwarded before.
	memberText     string
	memberPrepared *preparedStatement
	// callerText is the text that the caller sent. It is what a home receives.
	callerText string
	writes     bool
	prepared   *preparedStatement
	// reservedAt is when the statement was counted against its team's limit, 0 if it
	// was not.
	reservedAt core.Time
	// overflowed is set once the other holder of the team's split limit has been asked. overflowHome is
	// that holder, "" if it is this daemon.
	overflowed   bool
	overflowHome core.DaemonID
	route        direct.Route
	arrived      core.Time
	// history holds the statement's sends. It decides whether a refusal may say "not run".
	history execution.History
	// attempt is the number of the current attempt, 0 before the first.
	attempt int
	// failed is the last answer to a read that has failed on a member.
	failed *failedRead
	// waiter is the statement's queue entry once admit has made it, under overload control only.
	waiter *waiter
}

// deadline is the time by which a member must have answered, so that the answer reaches the
// caller within the statement's timeout.
func (j *job) deadline() core.Time { return j.arrived.Add(j.route.StatementTimeout - answerMargin) }

// waitDeadline is when a statement that still waits for a member is refused. It leaves the
// caller time for a retry.
func (j *job) waitDeadline() core.Time {
	return j.arrived.Add(fractionOf(j.route.StatementTimeout, maxWaitShare))
}

// requirement returns what a statement of the session requires of a member.
func (s *session) requirement(route direct.Route, primary bool, arrived core.Time) direct.Requirement {
	required := direct.Requirement{Primary: primary || route.Consistency == direct.PrimaryReads, MaxAge: route.MaxAge, Arrived: arrived, Team: s.p.access.teamOf(s.key), Kind: route.Database}
	if route.Consistency == direct.ReadYourWrites {
		commit := s.commits.In(route.Group)
		required.Session, required.SessionAt = commit.Position, commit.At
	}
	return required
}

// newWaiter returns the queue entry of a statement. A statement that follows a refusal
// within retryWindow counts as its retry. Its latency goal then runs from the first
// refused statement, so that it counts as late however soon it runs.
func (s *session) newWaiter(j *job, requirement direct.Requirement) *waiter {
	if j.waiter != nil {
		j.waiter.requirement = requirement
		return j.waiter
	}
	since := j.arrived
	if s.refusedAt != 0 && j.arrived.Sub(s.refusedAt) < retryWindow {
		since = s.refusedSince
	}
	w := newWaiter(s, requirement)
	w.Arrived, w.Aim, w.Database, w.Priority = j.arrived, since.Add(j.route.LatencyGoal), j.route.Database, j.route.Priority
	w.Deadline = j.waitDeadline()
	w.prepare = j.prepared
	return w
}

// recordRefusal records a refusal and the start of the series of refusals that it belongs to.
func (s *session) recordRefusal(arrived core.Time) {
	if s.refusedAt == 0 || arrived.Sub(s.refusedAt) >= retryWindow {
		s.refusedSince = arrived
	}
	s.refusedAt = now()
}

// runSingle runs a statement outside a transaction. After a failure it is placed again
// if it certainly did not run, or if it is a read, which can run twice.
func (s *session) runSingle(j *job) {
	if !s.checkKey(j) {
		return
	}
	if inputs, ok := s.admit(j, j.writes); !ok {
		s.refuse(j, refusal{reason: reasonForecast, inputs: inputs})
		return
	}
	if !s.reserveQuota(j) {
		if s.shouldForwardToSlotOwner(j) {
			j.text, j.prepared, j.waiter = j.callerText, nil, nil
			s.forwardSingle(j)
			return
		}
		s.refuseOverQuota(j)
		return
	}
	g := s.p.groupForStatement(j.route.Group)
	w := s.newWaiter(j, s.requirement(j.route, j.writes, j.arrived))
	deadline := j.deadline()
	for attempt := 1; ; attempt++ {
		j.attempt = attempt
		conn, place, ok := g.acquire(w, j.waitDeadline())
		if !ok {
			s.finishUnplaced(j, refusal{reason: reasonNoMember, inputs: []any{"group", g.id, "members", g.explain(w)}})
			return
		}
		a, sent, o := s.runOnMember(g, conn, place, j, j.id, deadline)
		if o == direct.Succeeded {
			s.finishSingle(g, conn, place, j, &a)
			return
		}
		switch o {
		case direct.Denied:
			g.release(conn)
			s.refuseDenied(j)
			return
		case direct.OverQuota:
			g.release(conn)
			s.refuseOverQuota(j)
			return
		case direct.ConnLost, direct.Failed:
			// It may have run, so its reservation is used up.
			j.reservedAt = 0
		}
		resolution := direct.Resolve(j.kind, j.writes, false, o)
		s.logDecision("answer", "id", j.id, "member", place.Member, "outcome", int(o), "code", a.Code, "attempt", attempt, "ms", now().Sub(sent).Milliseconds())
		switch resolution {
		case direct.ReportAnswer:
			if j.writes || j.failed != nil || place.Primary {
				s.relayAnswer(conn, g, &a)
				return
			}
			// A faulty replica may fail every read and still report that it is healthy.
			// A read changes nothing, so another member runs it. If the read itself is
			// wrong, that member fails it as well.
			j.failed = newFailedRead(&a)
		case direct.ReportUnknown:
			s.answerError(platform.CodeInDoubt, "no whole answer from "+string(place.Member))
			return
		}
		if o != direct.ConnLost && o != direct.NotSent {
			g.release(conn)
		}
		if attempt >= maxAttempts || now() >= deadline {
			s.finishUnplaced(j, refusal{reason: "refused by the members"})
			return
		}
		w.requirement.Exclude = excludeMember(w.requirement.Exclude, place, o)
	}
}

// finishUnplaced answers a statement for which no further member is tried. A read that
// has failed on a member is answered with that member's error. Any other statement is
// refused.
func (s *session) finishUnplaced(j *job, r refusal) {
	if j.failed == nil {
		s.refuse(j, r)
		return
	}
	s.relayFailedRead(j.failed)
}

// excludeMember excludes a replica from the next attempts of a read if the replica did not
// answer it or lacks the position that it requires. The primary and a busy replica are not
// excluded.
func excludeMember(excluded []core.MemberID, place direct.Placement, o direct.Outcome) []core.MemberID {
	if place.Primary || o == direct.Busy {
		return excluded
	}
	return append(excluded, place.Member)
}

// runOnMember runs the statement on the connection. After ConnLost and NotSent the
// connection is closed; otherwise the caller of runOnMember still owns it.
func (s *session) runOnMember(g *group, conn *memberConn, place direct.Placement, j *job, id string, deadline core.Time) (platform.Answer, core.Time, direct.Outcome) {
	connDeadline := time.Now().Add(until(deadline, time.Millisecond))
	if !j.writes && j.kind != direct.StatementCommit && s.p.policy.Has(policy.AnswerTimeouts) {
		if answerDeadline := time.Now().Add(place.AnswerTimeout); answerDeadline.Before(connDeadline) {
			connDeadline = answerDeadline
		}
	}
	if err := conn.SyncState(s.values, j.prepared.forMember(), connDeadline); err != nil {
		s.logDecision("session state not set", "id", j.id, "member", conn.member, "error", err)
		g.discard(conn)
		return platform.Answer{}, now(), direct.NotSent
	}
	if !s.reserveQuota(j) {
		return platform.Answer{State: platform.StateIdle}, now(), direct.OverQuota
	}
	// Lease and key are checked last, after every step that may take time, such as a quota
	// reservation that waits for the store. A read that is sent under the lease sees all
	// commits that were acknowledged before it arrived.
	if place.Primary && !g.isLeasedPrimary(place.Member) {
		return platform.Answer{State: platform.StateIdle}, now(), direct.NotPrimary
	}
	if !s.checkSend(conn.team) {
		return platform.Answer{State: platform.StateIdle}, now(), direct.Denied
	}
	minPosition := place.MinPosition
	if j.writes {
		minPosition = core.Position{}
	}
	sent := now()
	end := s.startSpan("member.exchange", j.id, string(conn.member))
	send := j.history.Begin(string(conn.member))
	a, wrote, err := runOn(conn, memberconn.Statement{ID: id, Text: j.text, MinPosition: minPosition, Commits: j.writes}, connDeadline)
	end(outcomeText(a.Code, err))
	o := exchangeOutcome(&a, wrote, err)
	j.history.End(send, o)
	if o == direct.NotPrepared {
		conn.ForgetPrepared(j.prepared.forMember())
	}
	if err != nil {
		s.p.stats.connsBroken.Add(1)
		g.statementUnanswered(conn, sent, err)
		return a, sent, o
	}
	var read *direct.Placement
	if !j.writes && id != platform.ProxyStatementID {
		read = &place
	}
	g.statementAnswered(conn.member, sent, &a, o, &j.route, read)
	return a, sent, o
}

// runOn runs the statement on the connection. The proxy itself issues only those that begin a transaction.
func runOn(conn *memberConn, st memberconn.Statement, deadline time.Time) (a platform.Answer, sent bool, err error) {
	if st.ID == platform.ProxyStatementID {
		return conn.Begin(st.Text, st.MinPosition, deadline)
	}
	return conn.Run(st, deadline)
}

// exchangeOutcome returns the outcome of an exchange with a member.
func exchangeOutcome(a *platform.Answer, wrote bool, err error) direct.Outcome {
	switch {
	case err == nil:
		return a.Outcome()
	case !wrote:
		return direct.NotSent
	}
	return direct.ConnLost
}

// finishSingle relays the answer to a statement that succeeded. The answer to a write is
// relayed only if the lease is held after the answer has arrived, which shows that the
// member was the primary when the write ran.
func (s *session) finishSingle(g *group, conn *memberConn, place direct.Placement, j *job, a *platform.Answer) {
	if j.writes && !s.confirmCommit(g, conn.member, a) {
		g.release(conn)
		s.answerUnconfirmed(j)
		return
	}
	s.refusedAt = 0
	s.p.stats.recordServed(place.Primary, now().Sub(j.arrived))
	s.relayAnswer(conn, g, a)
}

// confirmCommit reports whether a commit may be acknowledged to the caller, and records its
// position. It waits up to leaseWaitTimeout for an expired lease to be renewed.
func (s *session) confirmCommit(g *group, id core.MemberID, a *platform.Answer) bool {
	deadline := now().Add(leaseWaitTimeout)
	for !g.canAcknowledge(id, a.Position) {
		if now() >= deadline {
			return false
		}
		time.Sleep(tickInterval)
	}
	s.commits.Record(direct.SessionCommit{Group: g.id, Position: a.Position, At: now()})
	return true
}

// answerUnconfirmed answers that a write's outcome is in doubt, because the member that ran
// it may have been replaced.
func (s *session) answerUnconfirmed(j *job) {
	s.logDecision("commit not confirmed", "id", j.id)
	s.answerError(platform.CodeInDoubt, "the member may have been replaced when it ran")
}

// relayAnswer relays the member's answer to the caller unchanged and releases the connection.
func (s *session) relayAnswer(conn *memberConn, g *group, a *platform.Answer) {
	s.out = append(s.out, a.Body...)
	s.out = platform.AppendReady(s.out, s.state(), a.PositionText)
	g.release(conn)
}
