package proxy

import (
	"slices"
	"strings"
	"time"

	"limpetspan/core/direct"
	"limpetspan/core/execution"
	"limpetspan/platform"
)

// refusal describes why a statement is not served, for the caller and for the log.
type refusal struct {
	reason string
	// retryAfter is when the caller should retry. 0 means the default by the age of the outage.
	retryAfter time.Duration
	// inputs are the inputs of the decision, as keys and values for the log.
	inputs []any
}

// reasonNoMember is the reason for a refusal if no member can run the statement in time.
const reasonNoMember = "no member for it in time"

// Beginnings of a refusal's text. Without a proof that nothing ran, textMayHaveRun is used for a read
// outside a transaction, and textUnknown for all other statements.
const (
	textNotRun     = "not run: "
	textMayHaveRun = "may have run; it changed nothing: "
	textUnknown    = "may have run: "
)

// notRunText returns the text of a refusal. It promises that nothing ran only with a valid proof.
func notRunText(proof execution.NotRun, reason string) string {
	if !proof.Proved() {
		return textUnknown + reason
	}
	return textNotRun + reason
}

// refuse refuses a statement. Where another home can reach the primary, the entry is asked to move
// the session there.
func (s *session) refuse(j *job, r refusal) {
	s.recordRefusal(j.arrived)
	if s.p.isCutOff(j.route.Group) {
		s.redirectEntry()
	}
	// A caller whose statement may have run, or whose session moves, does not return here as promised.
	if r.retryAfter == 0 && !s.entryNotified.Load() && j.history.NotRun().Proved() {
		after, inputs := s.scheduleReturn(j)
		r.retryAfter, r.inputs = after, append(r.inputs, inputs...)
	}
	if r.retryAfter == 0 {
		r.retryAfter = outageRetryAfter(s.p.outageDuration(j.route.Group))
	}
	s.answerRefusal(j, r)
}

// answerRefusal logs the refusal and answers the caller. The answer says that the statement did not
// run only if its history proves that.
func (s *session) answerRefusal(j *job, r refusal) {
	proof := j.history.NotRun()
	s.logRefusal(j, r, proof.Proved())
	text := r.reason + retryAfterText(r.retryAfter)
	if !proof.Proved() {
		s.answerUnproved(j, text)
		return
	}
	s.answerError(platform.CodeBusy, notRunText(proof, text))
}

// logRefusal logs a refusal with the inputs of the decision, and with the statement's sends if they
// do not prove that it did not run.
func (s *session) logRefusal(j *job, r refusal, proved bool) {
	args := []any{"id", j.id, "reason", r.reason, "attempt", max(1, j.attempt), "ms", now().Sub(j.arrived).Milliseconds()}
	if r.retryAfter > 0 {
		args = append(args, "come_back_ms", r.retryAfter.Milliseconds())
	}
	decision := "refused"
	if !proved {
		decision = "refused without proof"
		args = append(args, "sends", j.history.String())
	}
	s.logDecision(decision, append(args, r.inputs...)...)
}

// answerUnproved answers a statement that is not served and may have run. A read that has failed on a
// member is answered with that member's error, unless the entry has been asked to move the session:
// it retries a read elsewhere after a timeout, but not after a member's error.
func (s *session) answerUnproved(j *job, text string) {
	s.p.stats.refusalsUnproved.Add(1)
	switch {
	case j.failed != nil && !s.entryNotified.Load():
		s.relayFailedRead(j.failed)
	case j.writes || j.kind == direct.StatementCommit:
		s.answerError(platform.CodeInDoubt, textUnknown+text)
	default:
		s.answerError(platform.CodeTimeout, textMayHaveRun+text)
	}
}

// rejectStartupUnproved answers the startup message of a caller whose key cannot be checked. The
// session has sent no statement yet.
func (s *session) rejectStartupUnproved() error {
	return s.rejectStartup(platform.CodeBusy, notRunText(execution.NeverSent(), textUnproved)+retryAfterText(jittered(unprovedRetryAfter)))
}

// homeOutcome returns the outcome of a statement from a home's answer.
func homeOutcome(a *platform.Answer) direct.Outcome {
	if a.Code == platform.CodeUnknownKey {
		return direct.Denied
	}
	return a.Outcome()
}

// contradictsHistory reports whether a home's answer says that the statement did not run although an
// earlier send of it may have run.
func (j *job) contradictsHistory(a *platform.Answer) bool {
	return !j.history.NotRun().Proved() && homeOutcome(a).ProvesNotRun()
}

// answerContradicted answers a statement that a home refused and that may have run elsewhere before.
func (s *session) answerContradicted(j *job, a *platform.Answer) {
	reason, proved := strings.CutPrefix(a.Text, textNotRun)
	if !proved && a.Code != platform.CodeUnknownKey {
		reason = a.Code + " " + a.Text
	}
	s.logRefusal(j, refusal{reason: reason}, false)
	s.answerUnproved(j, reason)
}

// failedRead is a member's answer to a read that failed there. It is kept for the caller
// while the read runs on another member.
type failedRead struct {
	body         []byte
	positionText string
}

func newFailedRead(a *platform.Answer) *failedRead {
	return &failedRead{slices.Clone(a.Body), a.PositionText}
}

func (s *session) relayFailedRead(f *failedRead) {
	s.out = append(s.out, f.body...)
	s.out = platform.AppendReady(s.out, s.state(), f.positionText)
}

// redirectEntry asks the entry of a forwarded session to move it to another home. The
// request precedes the refusal, so that the entry knows that another home may run the
// statement, and retries it there. A transaction may move as long as it has not begun on a
// member.
func (s *session) redirectEntry() {
	begun := s.tx != nil && (s.tx.conn != nil || !s.tx.failed)
	if s.fromEntry && !begun && !s.entryNotified.Load() {
		s.entryNotified.Store(true)
		s.out = platform.AppendTerminate(s.out)
	}
}
