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
	asked   string
	writes  bool
	prepare *prepared
	// paidAt is when its team paid for it; 0: it has not.
	paidAt  core.Time
	route   direct.Route
	arrived core.Time
}

func (j *job) deadline() core.Time { return j.arrived.Add(j.route.StatementTimeout - answerMargin) }

// holdUntil is until when the statement waits for a member. Later it is refused,
// so that its caller still has time to come back.
func (j *job) holdUntil() core.Time {
	return j.arrived.Add(fractionOf(j.route.StatementTimeout, holdShare))
}

// need is what the statement asks of a member when it runs outside a transaction.
func (s *session) need(route direct.Route, primary bool, arrived core.Time) direct.Requirement {
	n := direct.Requirement{Primary: primary || route.Consistency == direct.PrimaryReads, MaxAge: route.MaxAge, Arrived: arrived, Team: s.p.access.team(s.key)}
	if route.Consistency == direct.ReadYourWrites {
		n.Session, n.SessionAt = s.last, s.lastAt
	}
	return n
}

// waiter is the statement as it waits for a connection. What was refused lately is
// taken to come again: its answer is late however soon it runs now.
func (s *session) waiter(j *job, need direct.Requirement) *waiter {
	since := j.arrived
	if s.refusedAt != 0 && j.arrived.Sub(s.refusedAt) < retryWithin {
		since = s.refusedSince
	}
	w := newWaiter(s, need)
	w.Arrived, w.Aim, w.Database, w.Priority = j.arrived, since.Add(j.route.LatencyGoal), j.route.Database, j.route.Priority
	w.prepare = j.prepare
	return w
}

// noteRefusal remembers since when the operation has been refused.
func (s *session) noteRefusal(arrived core.Time) {
	if s.refusedAt == 0 || arrived.Sub(s.refusedAt) >= retryWithin {
		s.refusedSince = arrived
	}
	s.refusedAt = now()
}

// runSingle runs a statement outside a transaction. It is placed again as long
// as it is proved that it has not run, or running twice does no harm.
func (s *session) runSingle(j *job) {
	if !s.admit(j) {
		return
	}
	if !s.payFor(j) {
		if s.passOnUnpaid() {
			j.text, j.prepare = j.asked, nil
			s.forwardSingle(j)
			return
		}
		s.refuseUnpaid(j)
		return
	}
	g := s.p.groupForStatement(j.route.Group)
	w := s.waiter(j, s.need(j.route, j.writes, j.arrived))
	deadline := j.deadline()
	var failed *failedRead
	for attempt := 1; ; attempt++ {
		conn, place, ok := g.acquire(w, j.holdUntil())
		if !ok {
			s.giveUp(j, failed, noMember, attempt, "group", g.id, "members", g.explain(w))
			return
		}
		a, sent, o := s.runOn(g, conn, place, j, j.id, deadline)
		if o == direct.Succeeded {
			s.succeed(g, conn, place, j, &a)
			return
		}
		switch o {
		case direct.Denied:
			g.release(conn)
			s.barred(j)
			return
		case direct.OverQuota:
			g.release(conn)
			s.refuseUnpaid(j)
			return
		case direct.ConnLost, direct.Failed:
			// It may have run, and counts.
			j.paidAt = 0
		}
		verdict := direct.Resolve(j.kind, j.writes, false, o)
		s.debug("answer", "id", j.id, "member", place.Member, "outcome", int(o), "code", a.Code, "attempt", attempt, "ms", now().Sub(sent).Milliseconds())
		switch verdict {
		case direct.ReportFailed:
			if j.writes || failed != nil || place.Primary {
				s.passOn(conn, g, &a)
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
			s.giveUp(j, failed, "refused by the members", attempt)
			return
		}
		w.requirement.Exclude = avoid(w.requirement.Exclude, place, o)
	}
}

// giveUp ends a statement that no further member takes: a read that has failed on one was
// run, and its caller gets that member's answer.
func (s *session) giveUp(j *job, failed *failedRead, why string, attempt int, inputs ...any) {
	if failed == nil {
		s.notRun(j, why, attempt, inputs...)
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
func avoid(tried []core.MemberID, place direct.Placement, o direct.Outcome) []core.MemberID {
	if place.Primary || o == direct.Busy {
		return tried
	}
	return append(tried, place.Member)
}

// runOn runs the statement on the connection. After Broken and NotSent the
// connection is gone; otherwise the caller of runOn still holds it.
func (s *session) runOn(g *group, conn *memberConn, place direct.Placement, j *job, id string, deadline core.Time) (platform.Answer, core.Time, direct.Outcome) {
	limit := time.Now().Add(until(deadline, time.Millisecond))
	if !j.writes && j.kind != direct.StatementCommit && s.p.policy.Has(policy.AnswerTimeouts) {
		if waitLimit := time.Now().Add(place.AnswerTimeout); waitLimit.Before(limit) {
			limit = waitLimit
		}
	}
	if err := conn.adopt(s.values, j.prepare, limit); err != nil {
		s.debug("session state", "id", j.id, "member", conn.member, "error", err)
		g.discard(conn)
		return platform.Answer{}, now(), direct.NotSent
	}
	if !s.payFor(j) {
		return platform.Answer{State: platform.StateIdle}, now(), direct.OverQuota
	}
	// Lease and key are checked after everything that may have taken time, payment
	// included, which may wait for the store: a read that is sent under the lease sees all
	// commits that were acknowledged before it came.
	if place.Primary && !g.isLeasedPrimary(place.Member) {
		return platform.Answer{State: platform.StateIdle}, now(), direct.NotPrimary
	}
	if !s.allowed(conn.team) {
		return platform.Answer{State: platform.StateIdle}, now(), direct.Denied
	}
	since := place.MinPosition
	if j.writes {
		since = core.Position{}
	}
	sent := now()
	end := s.hop("member.exchange", j.id, string(conn.member))
	a, wrote, err := conn.exchange(id, j.text, since, limit)
	end(outcomeText(a.Code, err))
	if err != nil {
		s.p.stats.broken.Add(1)
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
func (s *session) succeed(g *group, conn *memberConn, place direct.Placement, j *job, a *platform.Answer) {
	if j.writes && !s.acknowledge(g, conn.member, a) {
		g.release(conn)
		s.unconfirmed(j)
		return
	}
	s.refusedAt = 0
	s.p.stats.served(place.Primary, now().Sub(j.arrived))
	s.passOn(conn, g, a)
}

// acknowledge decides whether a commit may be told to the caller, and keeps its position.
func (s *session) acknowledge(g *group, id core.MemberID, a *platform.Answer) bool {
	limit := now().Add(leaseWait)
	for !g.canAcknowledge(id, a.Position) {
		if now() >= limit {
			return false
		}
		time.Sleep(tickEvery)
	}
	s.last, s.lastAt = a.Position, now()
	return true
}

// unconfirmed tells that a write ran on a member that may have been replaced.
func (s *session) unconfirmed(j *job) {
	s.debug("commit not confirmed", "id", j.id)
	s.answerError(platform.CodeInDoubt, "the member may have been replaced when it ran")
}

// passOn gives the member's answer to the caller as it came.
func (s *session) passOn(conn *memberConn, g *group, a *platform.Answer) {
	s.out = append(s.out, a.Body...)
	s.out = platform.AppendReady(s.out, s.state(), a.PositionText)
	g.release(conn)
}

// noMember is why a statement is refused that no member could take in time.
const noMember = "no member for it in time"

// notRun refuses a statement of which nothing ran, and logs the inputs that decided it.
func (s *session) notRun(j *job, why string, attempt int, inputs ...any) {
	s.noteRefusal(j.arrived)
	args := []any{"id", j.id, "reason", why, "attempt", attempt, "ms", now().Sub(j.arrived).Milliseconds()}
	s.debug("refused", append(args, inputs...)...)
	if s.p.cut(j.route.Group) {
		s.sendElsewhere()
	}
	s.answerError(platform.CodeBusy, "not run: "+why+comeBack(s.p.outage(j.route.Group)))
}

// sendElsewhere has the entry of a linked session look for another home, which can do what
// this one cannot. It goes before the refusal: the entry sees that another home may run
// the statement, and tries. A transaction that has not begun at a member may begin there.
func (s *session) sendElsewhere() {
	begun := s.tx != nil && (s.tx.conn != nil || !s.tx.failed)
	if s.linked && !begun && !s.toldEntry.Load() {
		s.toldEntry.Store(true)
		s.out = platform.AppendTerminate(s.out)
	}
}
