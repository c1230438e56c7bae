package takeover

import (
	"context"
	"time"

	"limpetspan/core"
	"limpetspan/core/config"
)

// Value is one column or parameter in PostgreSQL's text format.
type Value struct {
	Text string
	Null bool
}

// Row is one row of a result.
type Row []Value

// Statement is an SQL statement with parameters $1, $2 and so on.
type Statement struct {
	SQL  string
	Args []Value
}

// SQLError is an error that the database answered with.
type SQLError struct {
	// Code is the SQLSTATE.
	Code    string
	Message string
}

func (e *SQLError) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

// Databases runs statements on the primary of a group, over the same path as
// callers' statements, but past the Gate. A database's own answer is an
// *SQLError; any other error is an *errs.Error whose outcome says what is known.
type Databases interface {
	// Query runs one reading statement on the primary.
	Query(ctx context.Context, group core.GroupID, s Statement) ([]Row, error)
	// Apply runs the statements in one transaction, and returns when a second
	// member has confirmed it.
	Apply(ctx context.Context, group core.GroupID, list []Statement) error
}

// Operation is what an Order asks of a home.
type Operation string

// The operations.
const (
	// OperationHold admits no new write of the buckets and returns when none is
	// in flight. The hold ends by itself after Limit.
	OperationHold Operation = "hold"
	// OperationSeal makes a hold that has not ended yet lasting, in the group's
	// database, and holds reads too.
	OperationSeal Operation = "seal"
	// OperationSettle ends all holds of the kind once the home has Revision in
	// force; from then on no home serves the kind under a lower revision.
	OperationSettle Operation = "settle"
)

// Order is what a worker asks of the home of a group.
type Order struct {
	Operation Operation
	Group     core.GroupID
	Kind      string
	Buckets   []int
	// Fence names the batch, for OperationHold and OperationSeal.
	Fence string
	// Claim is the worker's.
	Claim string
	// Revision is the least revision the home must have in force.
	Revision config.Revision
	// Limit bounds a hold.
	Limit time.Duration
}

// Homes reaches the home of a group, in this or another daemon.
type Homes interface {
	Order(ctx context.Context, o Order) error
}

// Callers tells how callers fare.
type Callers interface {
	// Latency returns the 99th percentile of the latency of callers' statements
	// on both groups since the last call; zero: there were none.
	Latency(source, destination core.GroupID) time.Duration
}

// Configuration is the configuration as a worker uses it.
type Configuration interface {
	// Current is the document in force in this daemon.
	Current() *config.Document
	// Update edits the latest document in the store, again if another change
	// was faster, and puts the result in force here. An edit that changes
	// nothing gives the latest document. An error of edit is returned as it is.
	// ErrUnsettled: the change may take effect.
	Update(ctx context.Context, reason string, edit func(*config.Document) (*config.Document, error)) (*config.Document, error)
}
