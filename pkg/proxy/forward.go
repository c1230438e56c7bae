package proxy

import (
	"errors"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/platform"
)

// forwardDeadline is the time until which an entry waits for a home's answer. The home
// subtracts a larger margin from the same timeout, so that it answers first.
func (j *job) forwardDeadline() time.Time {
	return time.Now().Add(until(j.arrived.Add(j.route.StatementTimeout-answerMargin/2), time.Millisecond))
}

// forwardSingle forwards a statement outside a transaction to a home.
func (s *session) forwardSingle(j *job) {
	if !s.checkForward(j) {
		return
	}
	if s.mayHedge(j) {
		s.forwardHedged(j)
		return
	}
	for attempt := 1; ; attempt++ {
		j.attempt = attempt
		l, err := s.connectHome(j.route.Group, j.deadline())
		if err != nil {
			s.refuse(j, refusal{reason: err.Error()})
			return
		}
		a, sent, err := s.runAtHome(j, l, []string{j.text}, j.writes)
		if err == nil && s.runsSecondPart(j, &a) {
			s.runSingle(j)
			return
		}
		if err == nil && s.shouldAskElsewhere(j, l, &a, attempt) && now() < j.deadline() {
			continue
		}
		if err == nil {
			s.relayHomeAnswer(j, l, &a, true)
			return
		}
		o := s.handleHomeLoss(j, l, sent, err)
		if direct.Resolve(j.kind, j.writes, false, o) != direct.RetryElsewhere {
			s.answerError(platform.CodeInDoubt, "no whole answer from "+string(l.home))
			return
		}
		if attempt >= maxAttempts || now() >= j.deadline() {
			s.refuse(j, refusal{reason: "the home did not answer"})
			return
		}
	}
}

// maxDeclines bounds the homes that decline a statement before it is refused. The first one
// may have lost the team's slot, and the second one then names the slot's owner.
const maxDeclines = 3

// handleDecline closes the link to a home that has declined, records the slot owner that the
// answer names, and reports whether to try another home. It does so after the first decline,
// and after later ones that name an owner. While the only home that can run the statement is
// down, all others decline, and further attempts would add load to homes that may already be
// overloaded.
func (s *session) handleDecline(l *link, a *platform.Answer, attempt int) bool {
	s.logDecision("home declined", "home", l.home, "text", a.Text)
	team := s.p.access.teamOf(s.key)
	if attempt == 1 && s.askForSecondPart(l, a, team) {
		return true
	}
	s.p.homes.teamDeclined(l.home, team)
	owner := parseSlotOwner(a.Text)
	if owner != "" {
		s.p.homes.setSlotOwner(team, owner)
	}
	s.closeLink()
	return attempt == 1 || owner != "" && attempt < maxDeclines
}

// isDecline reports whether the home did not run the statement and asked this entry to move
// the session to another home.
func (l *link) isDecline(a *platform.Answer) bool {
	return l.moveRequested && a.Code == platform.CodeBusy
}

// isUnprovedDecline is isDecline for a read that the home could not serve, without a proof that it
// did not run. A read may run again.
func (l *link) isUnprovedDecline(a *platform.Answer) bool {
	return l.moveRequested && a.Code == platform.CodeTimeout
}

// runAtHome runs texts at the home, of which the last one is the job's statement, and records the
// send in the job's history.
func (s *session) runAtHome(j *job, l *link, texts []string, waitToDeadline bool) (platform.Answer, bool, error) {
	send := j.history.Begin(string(l.home))
	a, sent, err := l.run(s, j.id, texts, j.forwardDeadline(), waitToDeadline)
	j.history.End(send, sendOutcome(&a, sent, err))
	return a, sent, err
}

// sendOutcome returns the outcome of a statement that was to be sent to a home.
func sendOutcome(a *platform.Answer, sent bool, err error) direct.Outcome {
	switch {
	case err == nil:
		return homeOutcome(a)
	case sent:
		return direct.ConnLost
	}
	return direct.NotSent
}

// handleHomeLoss closes a link that has failed, and returns the outcome of its statement. A
// home that has closed the link is not tried again for a while. A home that did not answer is
// checked first.
func (s *session) handleHomeLoss(j *job, l *link, sent bool, err error) direct.Outcome {
	s.p.stats.connsBroken.Add(1)
	s.logDecision("home lost", "id", j.id, "home", l.home, "sent", sent, "error", err)
	switch {
	case s.p.homes.health.enabled():
		// The next attempt to open a link, or the check that has begun, gives the verdict.
		if closedByPeer(err) {
			s.p.homes.health.replaced(l.home)
		}
	case closedByPeer(err):
		s.p.homes.backOff(l.home)
	default:
		go s.p.checkHome(l.home, j.arrived)
	}
	s.closeLink()
	if !sent {
		return direct.NotSent
	}
	return direct.ConnLost
}

// relayHomeAnswer relays a home's answer. With commits set, the job commits its writes if it
// succeeds, and the position of the commit is recorded.
func (s *session) relayHomeAnswer(j *job, l *link, a *platform.Answer, commits bool) {
	if j.contradictsHistory(a) {
		s.answerContradicted(j, a)
		return
	}
	if commits && j.writes && a.Code == "" {
		l.commit = a.Position
		s.commits.Record(direct.SessionCommit{Group: j.route.Group, Position: a.Position, At: now()})
	}
	if a.Code != "" {
		s.p.stats.countRefusal(a.Code)
	}
	s.out = append(s.out, a.Body...)
	s.out = platform.AppendReady(s.out, s.state(), a.PositionText)
	if a.Code == "" {
		s.p.stats.recordServed(j.writes, now().Sub(j.arrived))
	}
}

// homeTexts returns the texts that the home has to run for a statement of the transaction,
// which include the BEGIN before the first statement. It returns false if no home answers.
// The caller has then been answered, and the transaction has failed, or has ended if the
// statement is its commit.
func (s *session) homeTexts(j *job) (texts []string, ok bool) {
	tx := s.tx
	if tx.homeLink != nil {
		return []string{j.text}, true
	}
	if !s.checkForward(j) {
		return nil, false
	}
	l, err := s.connectHome(tx.route.Group, j.deadline())
	if err != nil {
		return nil, s.failBegin(j, refusal{reason: err.Error()})
	}
	tx.homeLink = l
	return []string{tx.beginText(), j.text}, true
}

// forwardInTransaction forwards a statement of the open transaction to its home.
func (s *session) forwardInTransaction(j *job) {
	tx := s.tx
	texts, ok := s.homeTexts(j)
	if !ok {
		return
	}
	a, sent, err := s.runAtHome(j, tx.homeLink, texts, false)
	for attempt := 1; err == nil && len(texts) > 1 && s.shouldAskElsewhere(j, tx.homeLink, &a, attempt); attempt++ {
		// Nothing of the transaction has run, so it can begin at another home.
		tx.homeLink = nil
		if texts, ok = s.homeTexts(j); !ok {
			return
		}
		a, sent, err = s.runAtHome(j, tx.homeLink, texts, false)
	}
	if err != nil {
		o := s.handleHomeLoss(j, tx.homeLink, sent, err)
		tx.homeLink = nil
		s.answerAborted(j, o)
		return
	}
	tx.wrote = tx.wrote || j.writes
	tx.failed = a.State != platform.StateInTransaction
	s.relayHomeAnswer(j, tx.homeLink, &a, false)
	if a.State == platform.StateFailed {
		s.forwardRollback(tx)
	}
}

// forwardCommit forwards the commit of the open transaction to its home.
func (s *session) forwardCommit(j *job) {
	tx := s.tx
	texts, ok := s.homeTexts(j)
	if !ok {
		return
	}
	a, sent, err := s.runAtHome(j, tx.homeLink, texts, true)
	s.tx = nil
	if err != nil {
		s.handleHomeLoss(j, tx.homeLink, sent, err)
		if sent && tx.wrote {
			s.answerError(platform.CodeInDoubt, "the commit was not answered")
			return
		}
		s.answerError(platform.CodeAborted, "the commit did not arrive; nothing is kept")
		return
	}
	j.writes = tx.wrote
	if begun := len(texts) == 1; begun && homeOutcome(&a).ProvesNotRun() {
		// The commit did not run, but earlier statements of the transaction did.
		s.forwardRollback(tx)
		s.answerError(platform.CodeAborted, "the home refused the commit; the transaction is rolled back")
		return
	}
	s.relayHomeAnswer(j, tx.homeLink, &a, true)
	if a.State != platform.StateIdle {
		// The home keeps the transaction open if it has refused the commit, but for
		// the caller it has ended.
		s.forwardRollback(tx)
	}
}

// forwardRollback rolls the transaction back at its home.
func (s *session) forwardRollback(tx *transaction) {
	l := tx.homeLink
	if l == nil {
		return
	}
	tx.homeLink = nil
	if err := l.rollback(s); err != nil {
		s.logDecision("rollback not answered", "home", l.home, "error", err)
		s.closeLink()
	}
}

// rollback rolls back the transaction that is open on the link.
func (l *link) rollback(s *session) error {
	if err := l.checkUnread(s); err != nil {
		return err
	}
	l.out = platform.AppendStatement(l.out[:0], entryStatementID, platform.TextRollback, core.Position{})
	l.requests.Sent(1)
	_ = l.c.SetDeadline(time.Now().Add(rollbackTimeout))
	if _, err := l.c.Write(l.out); err != nil {
		return err
	}
	a, err := l.readAnswer(s)
	if err == nil && a.State != platform.StateIdle {
		err = errStillOpen
	}
	return err
}

var errStillOpen = errors.New("the transaction is still open after its rollback")
