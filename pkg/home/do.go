package home

import (
	"context"
	"sync"
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/pgframe"
	"limpetspan/pkg/target"
)

// The steps named in errors of the data path.
const (
	stepArrive   = "home.arrive"
	stepExchange = "home.exchange"
	stepHold     = "home.hold"
	stepOnce     = "home.once"
)

// defaultTimeout is the deadline of a request that has none.
const defaultTimeout = 30 * time.Second

// call is one request in the goroutine of its caller. Calls are pooled.
type call struct {
	shard  *Shard
	req    *exchange.Request
	out    exchange.Writer
	runner *target.Runner
	waiter *waiter
	batch  target.Batch
	spans  callSpans
	// ran is how the last dispatch ended.
	ran run
	// onDone abandons the request; made once, with the call.
	onDone func()
}

var calls = sync.Pool{New: func() any {
	c := &call{waiter: newWaiter()}
	c.onDone = func() { c.shard.abandon(c.waiter.id) }
	return c
}}

// run is how a dispatch ended at the member.
type run struct {
	result group.Result
	answer target.Answer
	// abandon: the request must not be tried again, although its result would
	// allow it; told is what the caller is told then.
	abandon bool
	told    *errs.Error
	// silent: the connection gave no sign of life.
	silent bool
}

func (s *Shard) do(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	s.metrics.requests.Add(1)
	c := calls.Get().(*call)
	c.shard, c.req, c.out, c.runner = s, req, w, target.NewRunner()
	result, reusable, err := c.run(ctx)
	c.runner.Free()
	if reusable {
		c.release()
	}
	return result, err
}

// release returns the call to the pool. Its last verdict was received, so that
// nothing can send to its waiter any more.
func (c *call) release() {
	c.shard, c.req, c.out, c.runner = nil, nil, nil, nil
	c.batch, c.spans, c.ran = target.Batch{}, callSpans{}, run{}
	c.waiter.reset()
	calls.Put(c)
}

// run takes the request through the reducer. The call is not reusable once
// onDone has begun to run: it could then abandon the call's next request.
func (c *call) run(ctx context.Context) (result exchange.Result, reusable bool, err error) {
	if err := c.check(); err != nil {
		return exchange.Result{TxStatus: c.shard.txStatus(c.req), Group: c.shard.id}, true, err
	}
	c.spans.start(ctx, c.shard, c.req)
	c.shard.arrive(c.req, c.waiter)
	reusable = true
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, c.onDone)
		result, err = c.await()
		reusable = stop()
	} else {
		result, err = c.await()
	}
	c.spans.end(err)
	return result, reusable, err
}

// check refuses malformed messages before anything of them is sent: bytes that
// are not a complete message would run into the next request on the connection.
func (c *call) check() error {
	if err := c.runner.Plan.Parse(c.req.Messages); err != nil {
		return errs.Wrap(err, errs.BadRequest, core.OutcomeNotRun, stepArrive, "", "malformed request")
	}
	for i := range c.req.Prepared {
		message, rest, err := pgframe.Split(c.req.Prepared[i].Parse, 0)
		if err != nil || message == nil || len(rest) > 0 || message.Type() != 'P' {
			return errs.New(errs.BadRequest, core.OutcomeNotRun, stepArrive, "",
				"malformed prepared statement %q", c.req.Prepared[i].Name)
		}
	}
	return nil
}

// arrive posts the request.
func (s *Shard) arrive(req *exchange.Request, w *waiter) {
	id := core.RequestID(s.manager.requests.Add(1))
	deadline := req.Deadline
	if deadline == 0 {
		deadline = s.manager.options.Now().Add(defaultTimeout)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.id, w.caller, w.deadline = id, req.Caller, deadline
	if s.closed {
		s.resolve(w, verdict{kind: verdictFail, fail: closedFail(w)})
		return
	}
	s.waiters[id] = w
	s.arrived = group.Arrived{
		Request: id, Caller: req.Caller, Session: req.Session, Read: req.Read,
		MaxStaleness: req.MaxStaleness, Durable: req.Durable,
		InTransaction: req.TxStatus == pgframe.StatusInTransaction || req.TxStatus == pgframe.StatusFailed,
		Deadline:      deadline, Floor: req.Floor,
	}
	s.reduce(&s.arrived)
}

// await goes through the reducer's verdicts up to the last one.
func (c *call) await() (exchange.Result, error) {
	for {
		v := <-c.waiter.verdicts
		switch v.kind {
		case verdictDispatch:
			c.dispatched(&v)
		case verdictAcknowledge:
			return c.acknowledged(v.position)
		case verdictFail:
			return c.failed(&v.fail)
		}
	}
}

// dispatched runs the request on its connection and reports how it ended.
func (c *call) dispatched(v *verdict) {
	c.spans.startTarget(&v.dispatch)
	c.ran = c.execute(v)
	c.spans.endTarget(&c.ran)
	if c.ran.abandon {
		c.shard.abandon(c.waiter.id)
		return
	}
	c.shard.finish(c.waiter, &c.ran, v)
}

// execute carries the request over the connection.
func (c *call) execute(v *verdict) run {
	if v.conn == nil || v.conn.conn == nil {
		return run{result: group.ResultNotSent}
	}
	if r, alive := c.prove(v); !alive {
		return r
	}
	if c.guarded() {
		return c.executeOnce(v)
	}
	idle := v.conn.conn.TxStatus() == pgframe.StatusIdle
	c.batch = target.Batch{
		Messages: c.req.Messages, Prepared: c.req.Prepared,
		WantPosition: v.dispatch.WantPosition, Hold: v.dispatch.Hold, Out: c.out,
	}
	answer, err := c.runner.Run(v.conn.conn, &c.batch)
	if err != nil {
		c.shard.noteBroken(v.dispatch.Member, err)
		return classifyBroken(err, &answer)
	}
	return classifyAnswer(answer, idle)
}

// acknowledged writes the end of the answer.
func (c *call) acknowledged(position core.Position) (exchange.Result, error) {
	result := exchange.Result{TxStatus: c.ran.answer.TxStatus, Position: position, Group: c.shard.id}
	if c.ran.answer.Overflowed {
		return result, errs.New(errs.Unsupported, core.OutcomeRan, stepHold, "",
			"the answer after the first result exceeds %d bytes while it is held for its acknowledgment; send fewer statements in one message", target.MaxHeld)
	}
	err := c.ran.answer.OutErr
	if err == nil {
		_, err = c.out.Write(c.runner.Tail)
	}
	if err != nil {
		return result, errs.Wrap(err, errs.ConnectionLost, core.OutcomeRan, stepExchange, string(c.req.Caller.Entry), "the caller takes no answer")
	}
	return result, nil
}

// failed tells the caller why the request failed.
func (c *call) failed(f *group.Fail) (exchange.Result, error) {
	result := exchange.Result{TxStatus: c.shard.txStatus(c.req), Group: c.shard.id, Hint: f.Hint}
	if c.ran.abandon && f.Reason == group.ReasonCancelled {
		return result, c.ran.told
	}
	return result, failError(f)
}

// finish reports the end of a dispatch, unless the reducer has already failed
// the request: then the connection is gone and nobody waits for the end.
func (s *Shard) finish(w *waiter, r *run, v *verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.over || s.closed {
		return
	}
	w.conn = nil
	p := v.conn
	if p != nil {
		s.putBack(p, r)
	}
	if r.silent {
		s.dropSilent(p)
	}
	s.notePinned(w.caller, p, r)
	s.finished = group.Finished{
		Request: w.id, Result: r.result, TxStatus: r.answer.TxStatus, Position: r.answer.Position,
	}
	s.reduce(&s.finished)
	switch {
	case p == nil:
		s.reduce(&group.ConnClosed{Conn: v.dispatch.Conn})
	case p.closing:
		s.closeNotReusable(p)
	}
}

// putBack frees the connection of a request. A connection that is not clean is
// dropped, one that is clean but not reusable is closed.
func (s *Shard) putBack(p *pooledConn, r *run) {
	p.busy = false
	if r.result != group.ResultOK && r.result != group.ResultReadOnly {
		s.suspect(p)
		s.discard(p)
		return
	}
	p.provenAt = s.manager.options.Now()
	p.closing = r.answer.TxStatus == pgframe.StatusIdle && !p.conn.Reusable()
}

// closeNotReusable closes a connection that is clean but not reusable. The
// reducer hears of it here, unless it dispatched a request to the connection
// when it heard of the one before: that request reports that it was not sent,
// and then that the connection is closed.
func (s *Shard) closeNotReusable(p *pooledConn) {
	delete(s.conns, p.id)
	s.metrics.open.Add(-1)
	go p.conn.Close()
	if !p.busy {
		s.reduce(&group.ConnClosed{Conn: p.id})
	}
}

func (s *Shard) notePinned(caller core.CallerID, p *pooledConn, r *run) {
	if r.result == group.ResultOK && r.answer.TxStatus != pgframe.StatusIdle {
		s.pinned[caller] = p
	} else if len(s.pinned) > 0 {
		delete(s.pinned, caller)
	}
}

// txStatus is the status of a failed request's transaction: what it was before,
// as long as the transaction's connection is there. A transaction that ended
// with its connection must not be reported as open: the caller's ROLLBACK would
// be sent here, fail for want of it and be reported as open again, for ever.
func (s *Shard) txStatus(req *exchange.Request) byte {
	if req.TxStatus == pgframe.StatusIdle {
		return req.TxStatus
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pinned[req.Caller]; p != nil && s.conns[p.id] == p {
		return req.TxStatus
	}
	return pgframe.StatusIdle
}
