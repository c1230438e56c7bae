package entry

import (
	"context"
	"time"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
)

// serve runs the request at the place.
func (e *Entry) serve(ctx context.Context, at place, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	if at.local() {
		e.metrics.local.Add(1)
		return e.options.Local.Do(ctx, req, w)
	}
	e.metrics.forwarded.Add(1)
	e.callers.update(req.Caller, func(work *work) { work.at, work.group = at, req.Group })
	result, err := e.options.Remote.Exchange(ctx, at.addr, req, w)
	e.callers.update(req.Caller, func(work *work) { work.at = place{} })
	if err != nil && !req.Read && errs.As(err).Outcome == core.OutcomeUnknown && ctx.Err() == nil {
		// The statement may have begun a transaction that nobody will end. Of
		// callers that are gone the front tells, and a read is repeated: the
		// hang-up could overtake and end the repetition.
		go e.hangUpAt(at, req.Caller, req.Group)
	}
	return result, err
}

// wait returns nil when the news arrives or the time has come, and the
// request's final error when its deadline has passed or it was given up.
// because is why it waits.
func (e *Entry) wait(ctx context.Context, req *exchange.Request, news <-chan struct{}, until core.Time, because *errs.Error) error {
	now := e.options.Now()
	if now >= req.Deadline {
		return waitedTooLong(because)
	}
	cancelled := make(chan struct{})
	e.callers.update(req.Caller, func(w *work) { w.cancelled = cancelled })
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case <-news:
	case <-timer.C:
	case <-cancelled:
		return errs.New(errs.Cancelled, core.OutcomeNotRun, stepWait, "", "cancelled while it waited to run")
	case <-ctx.Done():
		e.endWait(req.Caller)
		return errs.Wrap(ctx.Err(), errs.Cancelled, core.OutcomeNotRun, stepWait, "", "given up while it waited to run")
	}
	e.endWait(req.Caller)
	if e.options.Now() >= req.Deadline {
		return waitedTooLong(because)
	}
	return nil
}

func (e *Entry) endWait(caller core.CallerID) {
	e.callers.update(caller, func(w *work) { w.cancelled = nil })
}

// waitedTooLong is the error of a request whose deadline passed before it ran.
func waitedTooLong(because *errs.Error) error {
	retryAfter := because.RetryAfter
	if retryAfter == 0 {
		retryAfter = waitRetryAfter
	}
	return errs.New(errs.DeadlineExceeded, core.OutcomeNotRun, stepWait, because.Peer,
		"the deadline passed before the request could run: %s", because.Message()).WithRetryAfter(retryAfter)
}
