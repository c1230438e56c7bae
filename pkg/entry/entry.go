package entry

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/pgframe"
	"limpetspan/pkg/telemetry"
)

// remoteTimeout bounds telling another daemon that a caller cancelled or left.
const remoteTimeout = time.Second

// Entry is the exchange.Handler of the front.
type Entry struct {
	options  Options
	self     core.DaemonID
	document atomic.Pointer[config.Document]
	// homeNews and documentNews wake those who wait.
	homeNews, documentNews *news

	groups   *groups
	sessions *sessionLimit
	callers  *callers
	budget   *budget
	versions versions
	inflight atomic.Int64
	metrics  metrics
}

// New returns an Entry without a configuration.
func New(options Options) *Entry {
	options = options.withDefaults()
	return &Entry{
		options:      options,
		self:         options.Fleet.Self().ID,
		homeNews:     newNews(),
		documentNews: newNews(),
		groups:       newGroups(),
		sessions:     newSessionLimit(options.SessionInFlight),
		callers:      newCallers(),
		budget:       newBudget(options.RetryRatio),
	}
}

// SetDocument brings a configuration in force; requests that wait for a fence
// to be lifted are routed again.
func (e *Entry) SetDocument(doc *config.Document) {
	e.document.Store(doc)
	e.groups.keep(func(id core.GroupID) bool { return doc.Groups[id] != nil })
	e.documentNews.announce()
}

// HomesChanged says that there is news of the groups' homes; requests that
// wait for a home go on.
func (e *Entry) HomesChanged(ids []core.GroupID) {
	for _, id := range ids {
		if state := e.groups.find(id); state != nil {
			state.noteHome()
		}
	}
	e.homeNews.announce()
}

// InFlight returns the number of requests that wait or run.
func (e *Entry) InFlight() int { return int(e.inflight.Load()) }

// Do serves the request at the home of its group.
func (e *Entry) Do(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	e.inflight.Add(1)
	defer e.inflight.Add(-1)
	e.metrics.requests.Add(1)
	e.budget.request()
	e.versions.count(req.Kind, req.Version, e.options.Now())
	if req.Deadline == 0 {
		req.Deadline = e.options.Now().Add(e.options.DefaultTimeout)
	}
	began := e.options.Now()
	result, err := e.traced(ctx, req, w)
	e.groups.noteLatency(req.Group, e.options.Now().Sub(began))
	if req.Floors != nil && !result.Position.IsZero() {
		req.Floors.Raise(req.Group, result.Position)
	}
	if err != nil {
		e.metrics.failed.Add(1)
		e.noteFailure(req, err)
	}
	return result, err
}

// Direct serves a request of limpetspan itself in its Group, without a route.
func (e *Entry) Direct(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	if req.Deadline == 0 {
		req.Deadline = e.options.Now().Add(e.options.DefaultTimeout)
	}
	a := attempt{entry: e, ctx: ctx, req: req, out: trackedWriter{w: w}, pause: e.options.Backoff, fixed: req.Group}
	defer a.leave()
	return a.run()
}

// Latency returns the 99th percentile of the latency of callers' requests in
// the groups since the last call; zero: there were none. The first call begins
// the measuring.
func (e *Entry) Latency(ids ...core.GroupID) time.Duration { return e.groups.latency(ids) }

func (e *Entry) noteFailure(req *exchange.Request, err error) {
	switch {
	case errs.Is(err, errs.WriteLost) && req.Floors != nil:
		// The session was told; from now on it reads what there is.
		req.Floors.Forget(req.Group)
	case errs.As(err).Step == stepLimit:
		e.metrics.shed.Add(1)
	}
}

func (e *Entry) traced(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	if e.options.Tracer == nil {
		return e.dispatch(ctx, req, w)
	}
	ctx, span, next := telemetry.Start(ctx, e.options.Tracer, "entry", req.Traceparent,
		attribute.String("limpetspan.daemon", string(e.self)),
		attribute.String("limpetspan.kind", req.Kind),
		attribute.Bool("limpetspan.read", req.Read))
	req.Traceparent = next
	result, err := e.dispatch(ctx, req, w)
	span.SetAttributes(attribute.String("limpetspan.group", string(req.Group)))
	telemetry.End(span, err)
	return result, err
}

func (e *Entry) dispatch(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	if inTransaction(req.TxStatus) {
		return e.continueTransaction(ctx, req, w)
	}
	if err := e.sessions.acquire(req.Session); err != nil {
		return exchange.Result{}, err
	}
	defer e.sessions.release(req.Session)
	a := attempt{entry: e, ctx: ctx, req: req, out: trackedWriter{w: w}, pause: e.options.Backoff}
	defer a.leave()
	result, err := a.run()
	e.notePin(req, a.at, result.TxStatus)
	return result, err
}

// Cancel ends what the caller is running. It returns when the home has been
// told, so that the cancel cannot reach the caller's next request.
func (e *Entry) Cancel(caller core.CallerID) {
	var at place
	var group core.GroupID
	e.callers.update(caller, func(w *work) {
		at, group = w.at, w.group
		w.endWait()
	})
	if at.local() {
		e.options.Local.Cancel(caller)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	if err := e.options.Remote.Cancel(ctx, at.addr, caller, group); err != nil {
		e.options.Logger.Warn("cancel not delivered", "step", "entry.cancel", "peer", string(at.daemon), "error", err)
	}
}

// Hangup says that the caller is gone.
func (e *Entry) Hangup(caller core.CallerID) {
	w := e.callers.remove(caller)
	e.options.Local.Hangup(caller)
	at, group := w.at, w.group
	if w.pin != nil {
		at, group = w.pin.place, w.pin.group
	}
	if !at.local() {
		go e.hangUpAt(at, caller, group)
	}
}

// hangUpAt has another daemon end the caller's work. It may fail: that daemon
// ends the work by itself when the connection from here ends.
func (e *Entry) hangUpAt(at place, caller core.CallerID, group core.GroupID) {
	e.metrics.hangups.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	if err := e.options.Remote.Hangup(ctx, at.addr, caller, group); err != nil {
		e.options.Logger.Debug("hang-up not delivered", "step", "entry.hangup", "peer", string(at.daemon), "error", err)
	}
}

func inTransaction(status byte) bool {
	return status == pgframe.StatusInTransaction || status == pgframe.StatusFailed
}
