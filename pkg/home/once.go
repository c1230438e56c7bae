package home

import (
	"context"
	"errors"
	"fmt"
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/oncetable"
	"limpetspan/pkg/pgframe"
	"limpetspan/pkg/target"
)

// A write with a must-not-repeat key runs in one transaction with a row that
// holds the key. A caller whose answer was lost asks again, through any daemon
// and also after a failover; without the row a charge would be made twice. It
// holds because the row commits with the write or not at all, travels with it
// to every replica, and its primary key admits one of them: a second run waits
// for a first one under way and then finds the row.

// createTimeout bounds the making of the table of keys, createTimeoutJoined that
// for a request inside a caller's transaction.
const (
	createTimeout       = 2 * time.Second
	createTimeoutJoined = 500 * time.Millisecond
)

// onceRun is one try of a guarded request on a connection.
type onceRun struct {
	*call
	conn   *target.Conn
	member core.MemberID
	// joined: the caller's own transaction is open, and the guard joins it.
	joined       bool
	wantPosition bool
}

// guarded reports whether the request runs under a must-not-repeat key.
func (c *call) guarded() bool {
	return c.req.Once != "" && !c.req.Read && c.runner.Plan.Executes > 0 &&
		c.req.TxStatus != pgframe.StatusFailed
}

func (c *call) executeOnce(v *verdict) run {
	o := onceRun{
		call: c, conn: v.conn.conn, member: v.dispatch.Member,
		joined:       v.conn.conn.TxStatus() != pgframe.StatusIdle,
		wantPosition: v.dispatch.WantPosition,
	}
	reply, err := o.claim()
	if err != nil {
		return o.brokenBefore(err)
	}
	switch {
	case reply.Code == "":
		return o.runFirst()
	case reply.Code == target.CodeUniqueViolation:
		return o.runRepeated()
	default:
		return o.refuse(reply)
	}
}

// claim inserts the key, and makes the table first where there is none.
func (o *onceRun) claim() (target.Reply, error) {
	reply, err := o.ask(o.claimMessages(), 1)
	if err != nil || reply.Code != target.CodeUndefinedTable {
		return reply, err
	}
	if _, err := o.undo(); err != nil {
		return reply, err
	}
	if err := o.createTable(); err != nil {
		return reply, err
	}
	return o.ask(o.claimMessages(), 1)
}

// createTable makes the table over a control connection, outside of any caller's
// transaction, so that it neither holds locks for long nor goes away with a
// ROLLBACK. Where the caller's own transaction is what keeps it from being made,
// it is made in there.
func (o *onceRun) createTable() error {
	timeout := createTimeout
	if o.joined {
		timeout = createTimeoutJoined
	}
	err := o.shard.createOnceTable(o.member, timeout)
	if err == nil {
		return nil
	}
	o.shard.logger.Warn("table of must-not-repeat keys not made", "member", string(o.member), "error", err)
	if o.joined {
		_, err = o.ask(appendQuery(nil, oncetable.CreateScript), 1)
		return err
	}
	return nil // The second claim reports what is wrong.
}

// claimMessages open the transaction and insert the key, in one part: had the
// first failed by itself, the key would be inserted without a transaction.
func (o *onceRun) claimMessages() []byte {
	open := beginSQL
	if o.joined {
		open = savepointSQL
	}
	return o.appendClaim(appendUnsynced(nil, open))
}

func (o *onceRun) appendClaim(dst []byte) []byte {
	req := o.req
	bucket := o.shard.manager.options.Bucket(req.Kind, req.Key)
	return appendStatement(dst, claimOnceSQL,
		textParam(req.Once), textParam(req.Kind), textParam(req.Key),
		intParam(oidInt4, int64(bucket)), textParam(""), intParam(oidInt8, time.Now().UnixMilli()))
}

// undo takes the claim back.
func (o *onceRun) undo() (target.Reply, error) { return o.ask(appendQuery(nil, o.undoSQL()), 1) }

func (o *onceRun) undoSQL() string {
	if o.joined {
		return rollbackToSQL
	}
	return rollbackSQL
}

func (o *onceRun) ask(messages []byte, groups int) (target.Reply, error) {
	reply, err := o.runner.Ask(o.conn, messages, groups)
	if err != nil {
		o.shard.noteBroken(o.member, err)
	}
	return reply, err
}

// runFirst runs the caller's messages behind the claim. Their answer is held
// until the transaction has committed.
func (o *onceRun) runFirst() run {
	o.batch = target.Batch{
		Messages: o.req.Messages, Prepared: o.req.Prepared, Hold: true, KeepTag: true, Out: o.out,
	}
	answer, err := o.runner.Run(o.conn, &o.batch)
	if err != nil {
		o.shard.noteBroken(o.member, err)
		return o.lost(answer)
	}
	switch {
	case o.joined:
		return o.endJoined(answer)
	case answer.TxStatus == pgframe.StatusInTransaction:
		return o.commit(answer)
	case answer.TxStatus == pgframe.StatusFailed:
		return o.rollBack(answer)
	default:
		return o.recordLate(answer)
	}
}

// commit stores the tag for those who ask again, and commits.
func (o *onceRun) commit(answer target.Answer) run {
	messages, groups := o.tagMessages(answer)
	messages, groups = appendQuery(messages, commitSQL), groups+1
	committed := groups
	messages, groups = o.appendPosition(messages, groups)
	reply, err := o.ask(messages, groups)
	if err != nil {
		return o.lost(answer)
	}
	code := reply.CodeWithin(committed)
	if unclearCommit(code) {
		return o.lost(answer)
	}
	if code != "" {
		// The member rolled the transaction back.
		return o.inBand(o.notRun(&reply, "the transaction was not committed"), reply.TxStatus)
	}
	return o.ended(answer, &reply)
}

// ended completes the answer of a transaction that has ended.
func (o *onceRun) ended(answer target.Answer, reply *target.Reply) run {
	if o.wantPosition && reply.Position().IsZero() {
		// Without a position the session's next read could miss this write.
		return o.lost(answer)
	}
	answer.TxStatus, answer.Position = reply.TxStatus, reply.Position()
	rewriteReady(o.runner.Tail, reply.TxStatus)
	return run{result: group.ResultOK, answer: answer}
}

// lost is a run of which it is not known whether it took effect.
func (o *onceRun) lost(answer target.Answer) run {
	return run{result: group.ResultLost, answer: target.Answer{Streamed: answer.Streamed}}
}

func (o *onceRun) appendPosition(messages []byte, groups int) ([]byte, int) {
	if !o.wantPosition {
		return messages, groups
	}
	return append(messages, target.PositionQuery()...), groups + 1
}

// unclearCommit reports whether an error of COMMIT leaves open whether it took
// effect: statement completion unknown, or a connection exception.
func unclearCommit(code string) bool {
	return code == "40003" || (len(code) == 5 && code[:2] == "08")
}

// tagMessages stores the tag of the first run if an answer can be made of it.
func (o *onceRun) tagMessages(answer target.Answer) (messages []byte, groups int) {
	if answer.Completed != 1 || answer.Rows || answer.Tag == "" {
		return nil, 0
	}
	return appendStatement(nil, tagOnceSQL, textParam(answer.Tag), textParam(o.req.Once)), 1
}

// rollBack ends the transaction of a statement that failed: it did not run, and
// the key is free again.
func (o *onceRun) rollBack(answer target.Answer) run {
	reply, err := o.undo()
	if err != nil && answer.Streamed {
		return run{abandon: true, told: errs.Wrap(err, errs.ConnectionLost, core.OutcomeNotRun, stepOnce, string(o.member),
			"the statement failed, and then the connection to the member broke")}
	}
	if err != nil {
		return o.brokenBefore(err)
	}
	answer.TxStatus = reply.TxStatus
	rewriteReady(o.runner.Tail, reply.TxStatus)
	return classifyAnswer(answer, true)
}

// recordLate is for messages that ended the transaction themselves. A COMMIT
// among them committed the key with what ran before it; after a ROLLBACK the key
// is missing, and is recorded now.
func (o *onceRun) recordLate(answer target.Answer) run {
	messages, groups := o.appendPosition(o.appendClaim(nil), 1)
	reply, err := o.ask(messages, groups)
	if err != nil {
		return o.lost(answer)
	}
	if code := reply.CodeWithin(1); code != "" && code != target.CodeUniqueViolation {
		o.shard.logger.Warn("must-not-repeat key not recorded", "member", string(o.member), "sqlstate", code)
	}
	return o.ended(answer, &reply)
}

// endJoined ends a run inside the caller's own transaction.
func (o *onceRun) endJoined(answer target.Answer) run {
	if answer.TxStatus != pgframe.StatusInTransaction {
		return run{result: group.ResultOK, answer: answer}
	}
	messages, groups := o.tagMessages(answer)
	if groups == 0 {
		return run{result: group.ResultOK, answer: answer}
	}
	reply, err := o.ask(messages, groups)
	if err != nil {
		return o.lost(answer)
	}
	if reply.Code != "" {
		return o.inBand(o.notRun(&reply, "the must-not-repeat key was not recorded"), reply.TxStatus)
	}
	return run{result: group.ResultOK, answer: answer}
}

// brokenBefore classifies the end of the connection before the guard's
// transaction was committed: nothing of it took effect, so another try is safe.
// A caller's own transaction is lost with its connection.
func (o *onceRun) brokenBefore(err error) run {
	broken, ok := errors.AsType[*target.Broken](err)
	r := run{result: group.ResultLost}
	if !ok {
		return r
	}
	if !broken.Sent || !o.joined {
		r.result = group.ResultNotSent
	}
	if broken.Code == target.CodeAdminShutdown || broken.Code == target.CodeCannotConnectNow {
		r.result = group.ResultLeaving
	}
	return r
}

// createOnceTable makes the table of must-not-repeat keys at a member.
func (s *Shard) createOnceTable(member core.MemberID, timeout time.Duration) error {
	s.mu.Lock()
	control := s.control(member)
	s.mu.Unlock()
	if control == nil {
		return errNoMember
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	if _, err := control.Exec(ctx, oncetable.CreateScript); err != nil {
		return fmt.Errorf("create limpetspan_once: %w", err)
	}
	return nil
}
