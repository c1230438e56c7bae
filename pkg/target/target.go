// Package target is the client of the database members: it opens connections,
// carries exchanges over them and asks for and changes the members' state.
package target

import (
	"context"

	"limpetspan/core"
)

// The SQL functions a member offers besides ordinary statements. Each is
// called as a simple query and returns one row. A real platform may say them
// otherwise: only this package and the stand-in know the text.
const (
	// StatusSQL returns term, role, lsn, log_term, history
	// ("term:start,term:start"), connections, leaving ("t" or "f").
	StatusSQL = "SELECT * FROM limpetspan_status()"
	// PositionSQL returns log_term, lsn of the member's applied log. On a
	// connection outside a transaction that covers every earlier statement of
	// the connection.
	PositionSQL = "SELECT * FROM limpetspan_position()"
	// FenceSQL (term) raises the member's term, ends writing and following, and
	// terminates the member's caller-work connections; it is refused with
	// SQLSTATE 55000 unless term is above the member's own. Returns as StatusSQL.
	FenceSQL = "SELECT * FROM limpetspan_fence(%d)"
	// PromoteSQL (term) makes the member primary of the term; refused with 55000
	// unless term is above the member's own. Returns as StatusSQL.
	PromoteSQL = "SELECT * FROM limpetspan_promote(%d)"
)

// Application names by which a member tells connections apart. Control
// connections survive a fence.
const (
	ApplicationWork    = "limpetspan-work"
	ApplicationControl = "limpetspan-control"
)

// Controller asks and changes a member's state over a control connection.
type Controller interface {
	// Status asks over the kept control connection; fresh opens a new one
	// first, which tells a dead member from a silent connection.
	Status(ctx context.Context, fresh bool) (core.Status, error)
	// Fence and Promote return the state after the call.
	Fence(ctx context.Context, term core.Term) (core.Status, error)
	Promote(ctx context.Context, term core.Term) (core.Status, error)
	Close() error
}
