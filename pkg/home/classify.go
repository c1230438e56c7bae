package home

import (
	"errors"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/pgframe"
	"limpetspan/pkg/target"
)

// classifyAnswer says what a complete answer means to the reducer. A refusal counts
// as one only while nothing of the exchange can have run or have been written:
// otherwise it is an ordinary answer.
func classifyAnswer(answer target.Answer, idleBefore bool) run {
	r := run{result: group.ResultOK, answer: answer}
	if answer.Completed > 0 || answer.Streamed || !idleBefore || answer.TxStatus != pgframe.StatusIdle {
		return r
	}
	switch answer.Code {
	case target.CodeReadOnly:
		r.result = group.ResultReadOnly
	case target.CodeAdminShutdown, target.CodeCannotConnectNow:
		r.result = group.ResultLeaving
	}
	return r
}

// classifyBroken says what the end of a connection means to the reducer.
func classifyBroken(err error, answer *target.Answer) run {
	broken, ok := errors.AsType[*target.Broken](err)
	if !ok {
		return run{result: group.ResultLost}
	}
	r := run{result: group.ResultLost, answer: target.Answer{Streamed: answer.Streamed}}
	leaving := broken.Code == target.CodeAdminShutdown || broken.Code == target.CodeCannotConnectNow
	switch {
	case !broken.Sent && leaving:
		r.result = group.ResultLeaving
	case !broken.Sent:
		r.result = group.ResultNotSent
	case broken.Code == target.CodeCannotConnectNow && !broken.Started:
		r.result = group.ResultLeaving
	case answer.Streamed:
		// The reducer may repeat a read that was lost. The caller has rows of this
		// run already and would get them twice.
		r.abandon = true
		r.told = errs.Wrap(err, errs.ConnectionLost, core.OutcomeUnknown, stepExchange, "", "the connection to the member broke within the answer")
	}
	// A fatal 57P01 after something was sent stays ResultLost: it may have come
	// after the commit and before its answer.
	return r
}

// noteBroken counts and logs a connection that ended because its answers were out of step.
func (s *Shard) noteBroken(member core.MemberID, err error) {
	if !errors.Is(err, target.ErrOutOfStep) {
		return
	}
	s.metrics.outOfStep.Add(1)
	s.logger.Warn("member answered out of step", "member", string(member), "error", err)
}

// failError makes the caller's error out of the reducer's.
func failError(f *group.Fail) *errs.Error {
	kind, text := reasonKind(f)
	e := errs.New(kind, f.Outcome, f.Step, f.Peer, "%s", text)
	e.Hint = f.Hint
	return e.WithRetryAfter(f.RetryAfter)
}

func reasonKind(f *group.Fail) (*errs.Kind, string) {
	switch f.Reason {
	case group.ReasonNotHome:
		return errs.NotHome, "this daemon is not home of the group"
	case group.ReasonOverloaded:
		return errs.Overloaded, "the group has more requests than it can serve in time"
	case group.ReasonDeadline:
		return errs.DeadlineExceeded, "the request's deadline passed"
	case group.ReasonCancelled:
		return errs.Cancelled, "the request was cancelled"
	case group.ReasonUnavailable:
		return errs.Unavailable, "no member serves the request at present"
	case group.ReasonConnectionLost:
		return errs.ConnectionLost, "the connection to the member broke"
	case group.ReasonNotConfirmed:
		return errs.NotConfirmed, "the write ran, and no second member has confirmed it"
	case group.ReasonWriteLost:
		return errs.WriteLost, "a change of primary lost a write of this session"
	case group.ReasonShuttingDown:
		return errs.ShuttingDown, "the daemon is shutting down"
	case group.ReasonTransactionLost:
		return errs.ConnectionLost, "the transaction's connection is gone"
	case group.ReasonReplaced:
		if f.Outcome == core.OutcomeNotRun {
			return errs.Unavailable, "the primary was replaced"
		}
		return errs.NotConfirmed, "the primary was replaced while the request ran"
	default:
		return errs.Internal, "the request failed"
	}
}
