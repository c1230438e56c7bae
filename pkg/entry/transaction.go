package entry

import (
	"context"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
)

const stepTransaction = "entry.transaction"

// continueTransaction serves a statement of an open transaction where the
// transaction is, and nowhere else.
func (e *Entry) continueTransaction(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	pin := e.callers.get(req.Caller).pin
	if pin == nil {
		return exchange.Result{}, errs.New(errs.ConnectionLost, core.OutcomeNotRun, stepTransaction, "",
			"the transaction is gone; roll it back and begin again")
	}
	req.Group = pin.group
	if err := e.stay(req, pin); err != nil {
		return exchange.Result{TxStatus: req.TxStatus, Group: pin.group}, err
	}
	result, err := e.serve(ctx, pin.place, req, w)
	if err == nil {
		e.notePin(req, pin.place, result.TxStatus)
		return result, nil
	}
	if inTransaction(result.TxStatus) {
		return result, err
	}
	return e.loseTransaction(req, pin, err)
}

// stay fills in what the routing decides within a transaction, and refuses a
// statement that belongs elsewhere.
func (e *Entry) stay(req *exchange.Request, pin *pin) error {
	req.Durable = pin.durable
	if req.Floors != nil {
		req.Floor = req.Floors.Get(pin.group)
	}
	doc := e.document.Load()
	if doc != nil {
		req.Revision = uint64(doc.Revision)
	}
	if req.Kind == "" {
		return nil
	}
	if steersTransaction(req) {
		// It belongs to no kind at the home either.
		req.Kind, req.Version, req.Key = "", "", ""
		return nil
	}
	r, _, err := route(doc, req)
	if err != nil {
		// A fenced bucket is refused too: waiting here would keep the
		// transaction open, and the fence waits for its end.
		return err
	}
	if r.Group != pin.group {
		return errs.New(errs.Unsupported, core.OutcomeNotRun, stepTransaction, string(pin.daemon),
			"the statement belongs to group %s and its transaction runs in group %s", r.Group, pin.group)
	}
	req.Durable = pin.durable || r.Durable
	return nil
}

// loseTransaction gives the transaction up on both sides.
func (e *Entry) loseTransaction(req *exchange.Request, pin *pin, err error) (exchange.Result, error) {
	e.callers.update(req.Caller, func(w *work) { w.pin = nil })
	if pin.local() {
		e.options.Local.Hangup(req.Caller)
	} else {
		go e.hangUpAt(pin.place, req.Caller, pin.group)
	}
	if !errs.Is(err, errs.NotHome) {
		return exchange.Result{Group: pin.group}, err
	}
	return exchange.Result{Group: pin.group}, errs.Wrap(err, errs.ConnectionLost, errs.As(err).Outcome, stepTransaction, string(pin.daemon),
		"the transaction was lost because the home of group %s changed", pin.group)
}

// notePin keeps where the caller's transaction is, or that there is none.
func (e *Entry) notePin(req *exchange.Request, at place, status byte) {
	before := inTransaction(req.TxStatus)
	after := inTransaction(status)
	if !before && !after {
		return
	}
	e.callers.update(req.Caller, func(w *work) {
		if !after {
			w.pin = nil
			return
		}
		// A new value each time: others may hold the old one.
		w.pin = &pin{place: at, group: req.Group, durable: req.Durable}
	})
}
