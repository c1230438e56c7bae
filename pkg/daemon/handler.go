package daemon

import (
	"context"
	"time"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/pgframe"
	"limpetspan/pkg/takeover"
)

// unknownLinger is how long a statement whose outcome is unknown still counts
// as in flight for a take-over. Its connection was dropped, but the member may
// run it to its end; a copy that ends before would miss what it wrote.
const unknownLinger = 5 * time.Second

// homeHandler serves the requests of groups whose home is here, for the entry
// of this daemon and for those of others. Statements of a kind pass the group's
// take-over gate.
type homeHandler struct{ d *Daemon }

// Do implements exchange.Handler.
func (h homeHandler) Do(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	h.d.hear(req.Caller.Entry, config.Revision(req.Revision))
	if req.Kind == "" && req.TxStatus == pgframe.StatusIdle {
		return h.d.homes.Do(ctx, req, w)
	}
	gate := h.d.gates.find(req.Group)
	if gate == nil {
		return h.d.homes.Do(ctx, req, w)
	}
	pass, err := gate.Enter(ctx, takeover.Request{
		Caller: req.Caller, Kind: req.Kind, Version: req.Version, Key: req.Key, Write: !req.Read,
	})
	if err != nil {
		return exchange.Result{TxStatus: req.TxStatus, Group: req.Group}, h.withHint(err, req.Group)
	}
	admitted := req
	if req.Floor.Less(pass.Floor) {
		raised := *req
		raised.Floor = pass.Floor
		admitted = &raised
	}
	result, err := h.d.homes.Do(ctx, admitted, w)
	h.leave(pass, req, result, err)
	return result, err
}

// leave ends the admission by what is known of the statement.
func (h homeHandler) leave(pass takeover.Pass, req *exchange.Request, result exchange.Result, err error) {
	switch {
	case err == nil:
		pass.Leave(result.TxStatus)
	case errs.As(err).Outcome == core.OutcomeNotRun:
		pass.Leave(req.TxStatus)
	case errs.As(err).Outcome == core.OutcomeUnknown && !req.Read:
		time.AfterFunc(unknownLinger, func() { pass.Leave(pgframe.StatusIdle) })
	default:
		pass.Leave(pgframe.StatusIdle)
	}
}

// withHint adds the home that gossip names to the error. A gate that is closed
// because this daemon is not home refuses before the shard could add the hint.
func (h homeHandler) withHint(err error, id core.GroupID) error {
	e := errs.As(err)
	if home, ok := h.d.gossip.Home(id); ok && !home.Released && home.Daemon != h.d.id && e.Hint == "" {
		e.Hint = home.Daemon
	}
	return e
}

// Cancel implements exchange.Handler.
func (h homeHandler) Cancel(caller core.CallerID) { h.d.homes.Cancel(caller) }

// Hangup implements exchange.Handler.
func (h homeHandler) Hangup(caller core.CallerID) {
	h.d.homes.Hangup(caller)
	h.d.gates.hungUp(caller)
}
