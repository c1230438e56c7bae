package proxy

import (
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/policy"
	"limpetspan/platform"
)

// job is one statement on its way through the proxy.
type job struct {
	id   string
	kind direct.StatementKind
	text string
	// asked is the text as the caller sent it, which a home takes.
	callerText string
	writes     bool
	prepared   *preparedStatement
	// paidAt is when its team paid for it; 0: it has not.
	reservedAt core.Time
	route      direct.Route
	arrived    core.Time
}

func (j *job) deadline() core.Time { return j.arrived.Add(j.route.StatementTimeout - answerMargin) }

// holdUntil is until when the statement waits for a member. Later it is refused,
// so that its caller still has time to come back.
func (j *job) waitDeadline() core.Time {
	return j.arrived.Add(fractionOf(j.route.StatementTimeout, maxWaitShare))
}

// need is what the statement asks of a member when it runs outside a transaction.
func (s *session) requirement(route direct.Route, primary bool, arrived core.Time) direct.Requirement {
	n := direct.Requirement{Primary: primary || route.Consistency == direct.PrimaryReads, MaxAge: route.MaxAge, Arrived: arrived, Team: s.p.access.teamOf(s.key)}
	if route.Consistency == direct.ReadYourWrites {
		n.Session, n.SessionAt = s.lastCommit, s.lastCommitAt
	}
	return n
}

// waiter is the statement as it waits for a connection. What was refused lately is
// taken to come again: its answer is late however soon it runs now.
func (s *session) newWaiter(j *job, need direct.Requirement) *waiter {
	since := j.arrived
	if s.refusedAt != 0 && j.arrived.Sub(s.refusedAt) < retryWindow {
		since = s.refusedSince
	}
	w := newWaiter(s, need)
	w.Arrived, w.Aim, w.Database, w.Priority = j.arrived, since.Add(j.route.LatencyGoal), j.route.Database, j.route.Priority
	w.prepare = j.prepared
	return w
}

// noteRefusal remembers since when the operation has been refused.
func (s *session) recordRefusal(arrived core.Time) {
	if s.refusedAt == 0 || arrived.Sub(s.refusedAt) >= retryWindow {
		s.refusedSince = arrived
	}
	s.refusedAt = now()
}

// runSingle runs a statement outside a transaction. It is placed again as long
// as it is proved that it has not run, or running twice does no harm.
func (s *session) runSingle(j *job) {
	if !s.checkKey(j) {
		return
	}
	if !s.reserveQuota(j) {
		if s.shouldForwardToSlotOwner() {
			j.text, j.prepared = j.callerText, nil
			s.forwardSingle(j)
			return
		}
		s.refuseOverQuota(j)
		return
	}
	g := s.p.groupForStatement(j.route.Group)
	w := s.newWaiter(j, s.requirement(j.route, j.writes, j.arrived))
	deadline := j.deadline()
	var failed *failedRead
	for attempt := 1; ; attempt++ {
		conn, place, ok := g.acquire(w, j.waitDeadline())
		if !ok {
			s.finishUnplaced(j, failed, reasonNoMember, attempt, "group", g.id, "members", g.explain(w))
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
			// It may have run, and counts.
			j.reservedAt = 0
		}
		resolution := direct.Resolve(j.kind, j.writes, false, o)
		s.logDecision("answer", "id", j.id, "member", place.Member, "outcome", int(o), "code", a.Code, "attempt", attempt, "ms", now().Sub(sent).Milliseconds())
		switch resolution {
		case direct.ReportFailed:
			if j.writes || failed != nil || place.Primary {
				s.relayAnswer(conn, g, &a)
				return
			}
			// A replica that is ill fails every read and says that it is well. The read
			// changes nothing; if it is at fault itself, another member says so as well.
			failed = newFailedRead(&a)
		case direct.ReportUnknown:
			s.answerError(platform.CodeInDoubt, "no whole answer from "+string(place.Member))
			return
		}
		if o != direct.ConnLost && o != direct.NotSent {
			g.release(conn)
		}
		if attempt >= maxAttempts || now() >= deadline {
			s.finishUnplaced(j, failed, "refused by the members", attempt)
			return
		}
		w.requirement.Exclude = excludeMember(w.requirement.Exclude, place, o)
	}
}

// giveUp ends a statement that no further member takes: a read that has failed on one was
// run, and its caller gets that member's answer.
func (s *session) finishUnplaced(j *job, failed *failedRead, why string, attempt int, inputs ...any) {
	if failed == nil {
		s.refuse(j, why, attempt, inputs...)
		return
	}
	s.out = append(s.out, failed.body...)
	s.out = platform.AppendReady(s.out, s.state(), failed.positionText)
}

// failedRead is a member's answer to a read that failed there, kept for its caller while
// the read runs elsewhere.
type failedRead struct {
	body         []byte
	positionText string
}

func newFailedRead(a *platform.Answer) *failedRead {
	return &failedRead{slices.Clone(a.Body), a.PositionText}
}

// avoid keeps a read away from a member that did not answer it or lacks its
// position, until all have been tried.
func excludeMember(excluded []core.MemberID, place direct.Placement, o direct.Outcome) []core.MemberID {
	if place.Primary || o == direct.Busy {
		return excluded
	}
	return append(excluded, place.Member)
}

// runOn runs the statement on the connection. After Broken and NotSent the
// connection is gone; otherwise the caller of runOn still holds it.
func (s *session) runOnMember(g *group, conn *memberConn, place direct.Placement, j *job, id string, deadline core.Time) (platform.Answer, core.Time, direct.Outcome) {
	connDeadline := time.Now().Add(until(deadline, time.Millisecond))
	if !j.writes && j.kind != direct.StatementCommit && s.p.policy.Has(policy.AnswerTimeouts) {
		if answerDeadline := time.Now().Add(place.AnswerTimeout); answerDeadline.Before(connDeadline) {
			connDeadline = answerDeadline
		}
	}
	if err := conn.syncState(s.values, j.prepared, connDeadline); err != nil {
		s.logDecision("session state", "id", j.id, "member", conn.member, "error", err)
		g.discard(conn)
		return platform.Answer{}, now(), direct.NotSent
	}
	if !s.reserveQuota(j) {
		return platform.Answer{State: platform.StateIdle}, now(), direct.OverQuota
	}
	// Lease and key are checked after everything that may have taken time, payment
	// included, which may wait for the store: a read that is sent under the lease sees all
	// commits that were acknowledged before it came.
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
	a, wrote, err := conn.exchange(id, j.text, minPosition, connDeadline)
	end(outcomeText(a.Code, err))
	if err != nil {
		s.p.stats.connsBroken.Add(1)
		g.statementUnanswered(conn, sent, err)
		if !wrote {
			return a, sent, direct.NotSent
		}
		return a, sent, direct.ConnLost
	}
	o := a.Outcome()
	g.statementAnswered(conn.member, sent, &a, o, &j.route)
	return a, sent, o
}

// succeed passes on an answer. That of a write goes out only while the lease
// holds after the answer came: the member was primary when the write ran.
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

// acknowledge decides whether a commit may be told to the caller, and keeps its position.
func (s *session) confirmCommit(g *group, id core.MemberID, a *platform.Answer) bool {
	deadline := now().Add(leaseWaitTimeout)
	for !g.canAcknowledge(id, a.Position) {
		if now() >= deadline {
			return false
		}
		time.Sleep(tickInterval)
	}
	s.lastCommit, s.lastCommitAt = a.Position, now()
	return true
}

// unconfirmed tells that a write ran on a member that may have been replaced.
func (s *session) answerUnconfirmed(j *job) {
	s.logDecision("commit not confirmed", "id", j.id)
	s.answerError(platform.CodeInDoubt, "the member may have been replaced when it ran")
}

// passOn gives the member's answer to the caller as it came.
func (s *session) relayAnswer(conn *memberConn, g *group, a *platform.Answer) {
	s.out = append(s.out, a.Body...)
	s.out = platform.AppendReady(s.out, s.state(), a.PositionText)
	g.release(conn)
}

// noMember is why a statement is refused that no member could take in time.
const reasonNoMember = "no member for it in time"

// notRun refuses a statement of which nothing ran, and logs the inputs that decided it.
func (s *session) refuse(j *job, why string, attempt int, inputs ...any) {
	s.recordRefusal(j.arrived)
	args := []any{"id", j.id, "reason", why, "attempt", attempt, "ms", now().Sub(j.arrived).Milliseconds()}
	s.logDecision("refused", append(args, inputs...)...)
	if s.p.isCutOff(j.route.Group) {
		s.redirectEntry()
	}
	s.answerError(platform.CodeBusy, "not run: "+why+outageRetryText(s.p.outageDuration(j.route.Group)))
}

// sendElsewhere has the entry of a linked session look for another home, which can do what
// this one cannot. It goes before the refusal: the entry sees that another home may run
// the statement, and tries. A transaction that has not begun at a member may begin there.
func (s *session) redirectEntry() {
	begun := s.tx != nil && (s.tx.conn != nil || !s.tx.failed)
	if s.fromEntry && !begun && !s.entryNotified.Load() {
		s.entryNotified.Store(true)
		s.out = platform.AppendTerminate(s.out)
	}
}
