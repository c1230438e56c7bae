package daemon

import (
	"context"

	"limpetspan/core"
	"limpetspan/pkg/exchange"
)

// homeHandler serves the requests of groups whose home is here, for the entry
// of this daemon and for those of others.
type homeHandler struct{ d *Daemon }

// Do implements exchange.Handler.
func (h homeHandler) Do(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	return h.d.homes.Do(ctx, req, w)
}

// Cancel implements exchange.Handler.
func (h homeHandler) Cancel(caller core.CallerID) { h.d.homes.Cancel(caller) }

// Hangup implements exchange.Handler.
func (h homeHandler) Hangup(caller core.CallerID) { h.d.homes.Hangup(caller) }
