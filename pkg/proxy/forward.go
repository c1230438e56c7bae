package proxy

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/platform"
)

// limit is until when an entry waits for a home, which keeps to the same time
// itself and answers before.
func (j *job) forwardDeadline() time.Time {
	return time.Now().Add(until(j.arrived.Add(j.route.StatementTimeout-answerMargin/2), time.Millisecond))
}

// forwardSingle has a home run a statement outside a transaction.
func (s *session) forwardSingle(j *job) {
	if !s.checkForward(j) {
		return
	}
	for attempt := 1; ; attempt++ {
		l, err := s.connectHome(j.route.Group, j.deadline())
		if err != nil {
			s.refuse(j, err.Error(), attempt)
			return
		}
		a, sent, err := l.run(s, j.id, []string{j.text}, j.forwardDeadline(), j.writes)
		if err == nil && l.isDecline(&a) {
			if s.handleDecline(l, &a, attempt) {
				continue
			}
		}
		if err == nil {
			s.relayHomeAnswer(j, &a, true)
			return
		}
		o := s.handleHomeLoss(j, l, sent, err)
		if direct.Resolve(j.kind, j.writes, false, o) != direct.RetryElsewhere {
			s.answerError(platform.CodeInDoubt, "no whole answer from "+string(l.home))
			return
		}
		if attempt >= maxAttempts || now() >= j.deadline() {
			s.refuse(j, "the home did not answer", attempt)
			return
		}
	}
}

// mostDeclined homes at most decline a statement before its caller is told. The first one may
// have lost what it counted, the second one knows who has it.
const maxDeclines = 3

// leaveDeclining ends a link whose home has declined, notes whom to ask instead, and says
// whether to go on: at once where somebody is named, and once to a home that may know. Where
// the home that could run it is gone all others decline, and more tries would be load on
// all homes at a time when there is too much already.
func (s *session) handleDecline(l *link, a *platform.Answer, attempt int) bool {
	s.logDecision("home declined", "home", l.home, "text", a.Text)
	team := s.p.access.teamOf(s.key)
	s.p.homes.teamDeclined(l.home, team)
	owner := parseSlotOwner(a.Text)
	if owner != "" {
		s.p.homes.setSlotOwner(team, owner)
	}
	s.closeLink()
	return attempt == 1 || owner != "" && attempt < maxDeclines
}

// declined says whether the home did not run a statement and has told this entry to ask
// another one, which may.
func (l *link) isDecline(a *platform.Answer) bool {
	return l.moveRequested && a.Code == platform.CodeBusy
}

// lostHome ends a link that has failed.
func (s *session) handleHomeLoss(j *job, l *link, sent bool, err error) direct.Outcome {
	s.p.stats.connsBroken.Add(1)
	s.logDecision("home lost", "id", j.id, "home", l.home, "sent", sent, "error", err)
	if closedByPeer(err) {
		s.p.homes.backOff(l.home)
	} else {
		go s.p.checkHome(l.home, j.arrived)
	}
	s.closeLink()
	if !sent {
		return direct.NotSent
	}
	return direct.ConnLost
}

// forwarded passes on a home's answer and keeps the position of a commit.
func (s *session) relayHomeAnswer(j *job, a *platform.Answer, commits bool) {
	if commits && j.writes && a.Code == "" {
		s.lastCommit, s.lastCommitAt = a.Position, now()
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

// begun returns what the home has to run for a statement of the transaction, with
// the begin before the first one; false: no home answers, the caller was told and
// the transaction has failed, or is over if this was its commit.
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
		return nil, s.failBegin(j, err.Error(), 1)
	}
	tx.homeLink = l
	return []string{tx.beginText(), j.text}, true
}

// forwardInTransaction has the home run a statement of the open transaction.
func (s *session) forwardInTransaction(j *job) {
	tx := s.tx
	texts, ok := s.homeTexts(j)
	if !ok {
		return
	}
	a, sent, err := tx.homeLink.run(s, j.id, texts, j.forwardDeadline(), false)
	for attempt := 1; err == nil && len(texts) > 1 && tx.homeLink.isDecline(&a) && s.handleDecline(tx.homeLink, &a, attempt); attempt++ {
		// Nothing of the transaction has run: it begins once more where it may.
		tx.homeLink = nil
		if texts, ok = s.homeTexts(j); !ok {
			return
		}
		a, sent, err = tx.homeLink.run(s, j.id, texts, j.forwardDeadline(), false)
	}
	if err != nil {
		o := s.handleHomeLoss(j, tx.homeLink, sent, err)
		tx.homeLink = nil
		s.answerAborted(j, o)
		return
	}
	tx.wrote = tx.wrote || j.writes
	tx.failed = a.State != platform.StateInTransaction
	s.relayHomeAnswer(j, &a, false)
	if a.State == platform.StateFailed {
		s.forwardRollback(tx)
	}
}

// forwardCommit has the home run the commit of the open transaction.
func (s *session) forwardCommit(j *job) {
	tx := s.tx
	texts, ok := s.homeTexts(j)
	if !ok {
		return
	}
	a, sent, err := tx.homeLink.run(s, j.id, texts, j.forwardDeadline(), true)
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
	s.relayHomeAnswer(j, &a, true)
	if a.State != platform.StateIdle {
		// The home keeps a transaction whose commit was refused; the caller's is over.
		s.forwardRollback(tx)
	}
}

// forwardRollback ends the transaction at the home.
func (s *session) forwardRollback(tx *transaction) {
	l := tx.homeLink
	if l == nil {
		return
	}
	tx.homeLink = nil
	l.out = platform.AppendStatement(l.out[:0], entryStatementID, platform.TextRollback, core.Position{})
	_ = l.c.SetDeadline(time.Now().Add(rollbackTimeout))
	_, err := l.c.Write(l.out)
	if err == nil {
		_, err = l.readAnswer()
	}
	if err != nil {
		s.logDecision("rollback not answered", "home", l.home, "error", err)
		s.closeLink()
	}
}
