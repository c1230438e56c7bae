package home

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/pgframe"
	"limpetspan/pkg/target"
)

// runRepeated answers a request whose key has run.
func (o *onceRun) runRepeated() run {
	o.shard.metrics.onceRepeated.Add(1)
	messages := appendStatement(appendQuery(nil, o.undoSQL()), lookupOnceSQL, textParam(o.req.Once))
	groups := 2
	if !o.joined {
		messages, groups = o.appendPosition(messages, groups)
	}
	reply, err := o.ask(messages, groups)
	if err != nil {
		return o.brokenBefore(err)
	}
	if reply.Code != "" {
		return o.refuse(reply)
	}
	repeated := errs.New(errs.OnceRepeated, core.OutcomeRan, stepOnce, string(o.member),
		"the must-not-repeat key has run; its first answer is not kept")
	r := o.inBand(repeated, reply.TxStatus)
	r.answer.Position = reply.Position()
	plan := &o.runner.Plan
	if reply.Value != "" && plan.Executes == 1 && !plan.DescribesStatement {
		o.runner.Tail = appendRepeated(o.runner.Tail[:0], o.req.Messages, reply.Value, string(o.member), reply.TxStatus)
		r.answer.Code = ""
	}
	return r
}

// refuse answers a request whose key could not be claimed, so that it did not
// run. The connection stays clean.
func (o *onceRun) refuse(reply target.Reply) run {
	if !o.joined {
		undone, err := o.undo()
		if err != nil {
			return o.brokenBefore(err)
		}
		undone.Code, undone.Message = reply.Code, reply.Message
		reply = undone
	}
	answer := target.Answer{TxStatus: reply.TxStatus, Code: reply.Code}
	if r := classifyAnswer(answer, !o.joined); r.result != group.ResultOK {
		return r
	}
	return o.inBand(o.notRun(&reply, "the must-not-repeat key could not be claimed"), reply.TxStatus)
}

// notRun is the error of a request that an error of the guard kept from running.
func (o *onceRun) notRun(reply *target.Reply, text string) *errs.Error {
	kind := errs.Unavailable
	if reply.Code == target.CodeQueryCanceled {
		kind = errs.Cancelled
	}
	return errs.New(kind, core.OutcomeNotRun, stepOnce, string(o.member), "%s: %s (SQLSTATE %s)", text, reply.Message, reply.Code)
}

// inBand answers with an error and the ReadyForQuery messages that the caller
// waits for. It is an ordinary answer: the caller learns its transaction status.
func (o *onceRun) inBand(e *errs.Error, status byte) run {
	tail := o.runner.Tail[:0]
	for range o.runner.Plan.Groups() {
		tail = pgframe.AppendError(tail, pgframe.SeverityError, e)
		tail = pgframe.AppendReadyForQuery(tail, status)
	}
	o.runner.Tail = tail
	return run{result: group.ResultOK, answer: target.Answer{TxStatus: status, Code: e.Kind.SQLState}}
}

// appendRepeated makes the answer that the messages had when they ran first,
// with a notice in front of the result.
func appendRepeated(dst, messages []byte, tag, member string, status byte) []byte {
	for len(messages) > 0 {
		message, rest, err := pgframe.Split(messages, 0)
		if err != nil || message == nil {
			break
		}
		messages = rest
		switch message.Type() {
		case 'Q':
			dst = appendResult(dst, tag, member)
			dst = pgframe.AppendReadyForQuery(dst, status)
		case 'P':
			dst = appendBackend(dst, &pgproto3.ParseComplete{})
		case 'B':
			dst = appendBackend(dst, &pgproto3.BindComplete{})
		case 'D':
			dst = appendBackend(dst, &pgproto3.NoData{})
		case 'E':
			dst = appendResult(dst, tag, member)
		case 'C':
			dst = appendBackend(dst, &pgproto3.CloseComplete{})
		case 'S':
			dst = pgframe.AppendReadyForQuery(dst, status)
		}
	}
	return dst
}

func appendResult(dst []byte, tag, member string) []byte {
	dst = appendBackend(dst, &pgproto3.NoticeResponse{
		Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: "00000",
		Message: "the must-not-repeat key has run before; this is the result of the first run",
		Detail:  "outcome=ran step=" + stepOnce + " peer=" + member + " repeated=true",
	})
	return appendBackend(dst, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func appendBackend(dst []byte, message pgproto3.BackendMessage) []byte {
	// Encoding fails only above a gigabyte.
	if out, err := message.Encode(dst); err == nil {
		return out
	}
	return dst
}

// rewriteReady sets the status of all ReadyForQuery messages of an answer: the
// guard's transaction is none of the caller's.
func rewriteReady(answer []byte, status byte) {
	for len(answer) >= pgframe.HeaderLen {
		size := int(binary.BigEndian.Uint32(answer[1:pgframe.HeaderLen])) + 1
		if size > len(answer) {
			return
		}
		if answer[0] == 'Z' && size == pgframe.HeaderLen+1 {
			answer[pgframe.HeaderLen] = status
		}
		answer = answer[size:]
	}
}
