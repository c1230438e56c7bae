package front

import (
	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/pgframe"
)

// exchange answers the batch at hand, which ends with a message of the kind.
// An error ends the connection.
func (c *caller) exchange(kind byte) error {
	arrived := c.server.options.Clock()
	c.server.busy.add(c, c.server.tick.Load())
	defer c.server.busy.remove(c)

	out := &c.ws.out
	out.reset((*socketWriter)(c))
	out.onError = c.server.countError
	var broken error
	if c.skipping {
		c.skipping = false
		c.ready()
	} else {
		broken = c.answer(kind, arrived)
	}
	out.flush()
	c.ws.in.done()
	c.server.metrics.countRequest(c.id.Number, c.server.options.Clock().Sub(arrived))
	if broken != nil {
		return broken
	}
	return out.err
}

// answer looks through the batch and has it answered by whom it concerns.
func (c *caller) answer(kind byte, arrived core.Time) error {
	b, in, out := &c.ws.batch, &c.ws.in, &c.ws.out
	b.reset()
	b.kept, b.settings, b.maxPrepared = &c.statements, &c.settings, c.server.options.MaxPrepared
	b.read(in.batch())
	if kind != messageFlush {
		return c.dispatch(arrived)
	}
	if b.err == nil && b.portals && c.tx.idle() {
		b.err = notRun(errs.Unsupported, stepMessage, "a Flush after Bind or Execute is not carried outside a transaction; send Sync")
	}
	in.flushToSync()
	out.buffered = true
	broken := c.dispatch(arrived)
	if broken == nil {
		out.dropReady()
		c.skipping = out.failed
	}
	return broken
}

// dispatch chooses between refusing, answering here and passing on.
func (c *caller) dispatch(arrived core.Time) error {
	b := &c.ws.batch
	switch {
	case b.err != nil:
		c.refuse(b.err)
	case c.tx.failed && b.mentioned > 0:
		return c.dispatchFailed(arrived)
	case c.forTarget(b):
		return c.forward(arrived)
	case b.remote > 0:
		c.refuse(notRun(errs.Unsupported, stepStatement,
			"one batch mixes statements that limpetspan answers itself with others; send them apart"))
	default:
		c.answerHere()
	}
	return nil
}

// forTarget reports whether the entire batch concerns the target. One that
// only closes statements, or is empty, does not; nor does a portal outside a
// transaction, as it cannot exist any more.
func (c *caller) forTarget(b *batch) bool {
	if b.mentioned == 0 {
		return b.portals && c.tx.remote != pgframe.StatusIdle && !c.tx.failed
	}
	return b.local == 0
}

// dispatchFailed lets only the end of a failed transaction through.
func (c *caller) dispatchFailed(arrived core.Time) error {
	b := &c.ws.batch
	switch {
	case b.only != nil && b.only.action.kind == actionEnd:
		c.answerHere()
	case b.only != nil && b.only.action.kind == actionRollbackTo && c.tx.remote != pgframe.StatusIdle:
		return c.forward(arrived)
	default:
		c.refuse(notRun(kindFailedTransaction, stepStatement,
			"current transaction is aborted, commands ignored until end of transaction block"))
	}
	return nil
}

// refuse answers a batch that is not passed on.
func (c *caller) refuse(e *errs.Error) {
	c.tx.refused()
	c.sayError(e)
	c.ready()
}

func (c *caller) sayError(e *errs.Error) {
	out := &c.ws.out
	out.buf = pgframe.AppendError(out.buf, pgframe.SeverityError, e)
	out.failed = true
	c.server.metrics.countError(e.Kind.SQLState)
}

func (c *caller) ready() {
	c.ws.out.buf = pgframe.AppendReadyForQuery(c.ws.out.buf, c.tx.status())
}

// answerHere answers a batch without the target.
func (c *caller) answerHere() {
	out, b := &c.ws.out, &c.ws.batch
	local := localAnswer{caller: c, batch: b, answer: out, out: out.buf}
	err := local.run(c.ws.in.batch())
	out.buf = local.out
	b.settle(local.parses, local.closes)
	if err != nil {
		c.refuse(err)
		return
	}
	c.ready()
}

// forward has the handler run the batch.
func (c *caller) forward(arrived core.Time) error {
	b, out, request := &c.ws.batch, &c.ws.out, &c.ws.request
	c.fillRequest(request, arrived)
	result, err := c.do(request, out)
	b.settle(out.parses, out.closes)
	switch {
	case out.ready != 0 && out.complete():
		c.endForward(out)
		return nil
	case err == nil:
		err = errs.New(errs.Internal, core.OutcomeUnknown, stepAnswer, "", "the answer ended without ReadyForQuery")
	}
	c.tx.lost(result.TxStatus, b.only != nil && b.only.action.kind == actionEnd)
	if out.err != nil {
		return out.err
	}
	e := errs.As(err)
	c.server.options.Logger.Debug("request failed", "caller", c.id.Number, "kind", request.Kind, "error", e)
	if !out.complete() {
		// The answer broke off inside a message: nothing more can be said on
		// this connection that the caller would understand.
		c.server.metrics.countError(e.Kind.SQLState)
		return errBrokenOff
	}
	c.sayError(e)
	c.ready()
	return nil
}

// endForward notes a complete answer. A ROLLBACK TO that failed leaves a
// transaction failed that the front had failed.
func (c *caller) endForward(out *answer) {
	if c.tx.failed && out.failed {
		c.tx.remote = out.ready
		return
	}
	c.tx.done(out.ready)
}

func (c *caller) fillRequest(request *exchange.Request, arrived core.Time) {
	b := &c.ws.batch
	directives := b.exchangeDirectives()
	if directives.Session == "" {
		directives.Session = c.session
	}
	timeout := directives.Timeout
	if timeout == 0 {
		timeout = c.server.options.RequestTimeout
	}
	*request = exchange.Request{
		Caller:     c.id,
		Directives: directives,
		Messages:   c.ws.in.batch(),
		Prepared:   b.uses,
		TxStatus:   c.tx.remote,
		Floors:     &c.floors,
		Deadline:   arrived.Add(timeout),
	}
}

// do calls the handler. Cancels are passed on only meanwhile.
func (c *caller) do(request *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	c.used = true
	c.setRunning(true)
	defer c.setRunning(false)
	return c.server.options.Handler.Do(c.ctx, request, w)
}

func (c *caller) setRunning(running bool) {
	c.cancelMu.Lock()
	c.running = running
	c.cancelMu.Unlock()
}

// cancelRunning passes a cancel on if an exchange is running.
func (c *caller) cancelRunning() {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	if c.running {
		c.server.options.Handler.Cancel(c.id)
	}
}

// rollBack ends a failed transaction, at its target too if it lives there.
func (c *caller) rollBack() (string, *errs.Error) {
	const tag = "ROLLBACK"
	if c.tx.remote == pgframe.StatusIdle {
		c.tx.done(pgframe.StatusIdle)
		return tag, nil
	}
	request := &exchange.Request{
		Caller:     c.id,
		Directives: c.settings.values,
		Messages:   pgframe.AppendQuery(nil, tag),
		TxStatus:   c.tx.remote,
		Floors:     &c.floors,
		Deadline:   c.server.options.Clock().Add(c.server.options.RequestTimeout),
	}
	request.Once = ""
	if request.Session == "" {
		request.Session = c.session
	}
	result, err := c.do(request, discard{})
	if err == nil {
		c.tx.done(pgframe.StatusIdle)
		return tag, nil
	}
	c.tx.lost(result.TxStatus, true)
	if c.tx.remote != pgframe.StatusIdle {
		return "", errs.As(err)
	}
	// The transaction is gone with its connection, which is as good.
	return tag, nil
}

// discard takes an answer that the caller is not to see.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
