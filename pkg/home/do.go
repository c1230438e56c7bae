package home

import (
	"context"
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

// call is one request in the goroutine of its caller.
type call struct {
	shard  *Shard
	req    *exchange.Request
	out    exchange.Writer
	runner *target.Runner
	waiter *waiter
	spans  callSpans
	// ran is how the last dispatch ended.
	ran run
}

// run is how a dispatch ended at the member.
type run struct {
	result group.Result
	answer target.Answer
	// abandon: the request must not be tried again, although its result would
	// allow it; told is what the caller is told then.
	abandon bool
	told    *errs.Error
}

func (s *Shard) do(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	s.metrics.requests.Add(1)
	c := call{shard: s, req: req, out: w, runner: target.NewRunner()}
	defer c.runner.Free()
	if err := c.check(); err != nil {
		return exchange.Result{TxStatus: req.TxStatus, Group: s.id}, err
	}
	c.spans.start(ctx, s, req)
	c.waiter = newWaiter()
	id := s.arrive(req, c.waiter)
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { s.abandon(id) })
		defer stop()
	}
	result, err := c.await()
	waiters.Put(c.waiter)
	c.spans.end(err)
	return result, err
}

// check refuses malformed messages before anything of them is sent: bytes that
// are no whole message would run into the next request on the connection.
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
func (s *Shard) arrive(req *exchange.Request, w *waiter) core.RequestID {
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
		return id
	}
	s.waiters[id] = w
	s.arrived = group.Arrived{
		Request: id, Caller: req.Caller, Session: req.Session, Read: req.Read,
		MaxStaleness: req.MaxStaleness, Durable: req.Durable,
		InTransaction: req.TxStatus == pgframe.StatusInTransaction || req.TxStatus == pgframe.StatusFailed,
		Deadline:      deadline, Floor: req.Floor,
	}
	s.reduce(&s.arrived)
	return id
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
	c.shard.finish(c.waiter, &c.ran, v.conn)
}

// execute carries the request over the connection.
func (c *call) execute(v *verdict) run {
	if v.conn == nil || v.conn.conn == nil {
		return run{result: group.ResultNotSent}
	}
	if c.guarded() {
		return c.executeOnce(v)
	}
	idle := v.conn.conn.TxStatus() == pgframe.StatusIdle
	answer, err := c.runner.Run(v.conn.conn, &target.Batch{
		Messages: c.req.Messages, Prepared: c.req.Prepared,
		WantPosition: v.dispatch.WantPosition, Hold: v.dispatch.Hold, Out: c.out,
	})
	if err != nil {
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
	result := exchange.Result{TxStatus: c.req.TxStatus, Group: c.shard.id, Hint: f.Hint}
	if c.ran.abandon && f.Reason == group.ReasonCancelled {
		return result, c.ran.told
	}
	return result, failError(f)
}

// finish reports the end of a dispatch, unless the reducer has already failed
// the request: then the connection is gone and nobody waits for the end.
func (s *Shard) finish(w *waiter, r *run, p *pooledConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.over || s.closed {
		return
	}
	w.conn = nil
	retired := s.putBack(p, r)
	s.notePinned(w.caller, r)
	s.finished = group.Finished{
		Request: w.id, Result: r.result, TxStatus: r.answer.TxStatus, Position: r.answer.Position,
	}
	s.reduce(&s.finished)
	if retired && !p.busy {
		delete(s.conns, p.id)
		s.metrics.open.Add(-1)
		go p.conn.Close()
		s.reduce(&group.ConnClosed{Conn: p.id})
	}
}

// putBack frees the connection of a request. A connection that is not clean is
// dropped. One that is clean but must not have a next user is retired: the
// reducer may dispatch a request to it before it hears so, and that request
// finds no connection and is not sent.
func (s *Shard) putBack(p *pooledConn, r *run) (retired bool) {
	if p == nil {
		return false
	}
	p.busy = false
	if r.result != group.ResultOK && r.result != group.ResultReadOnly {
		s.discard(p)
		return false
	}
	return r.answer.TxStatus == pgframe.StatusIdle && !p.conn.Reusable()
}

func (s *Shard) notePinned(caller core.CallerID, r *run) {
	if r.result == group.ResultOK && r.answer.TxStatus != pgframe.StatusIdle {
		s.pinned[caller] = struct{}{}
	} else if len(s.pinned) > 0 {
		delete(s.pinned, caller)
	}
}
