// Package exchange defines the exchange: one request of a caller and its complete
// answer. Exchanges pass from the front through the entry to the home.
package exchange

import (
	"context"

	"limpetspan/core"
)

// Request is the request of an exchange: frontend messages that end with Query or
// Sync.
type Request struct {
	Caller core.CallerID
	core.Directives
	// Messages are the raw frontend messages, with type byte and length. They
	// belong to the code that calls Do, which may reuse them once Do returns.
	Messages []byte
	// Prepared are the named and unnamed statements that Messages use but do not
	// define; the home prepares those that the connection lacks.
	Prepared []Prepared
	// TxStatus is the caller's ReadyForQuery status before the request:
	// 'I' idle, 'T' in a transaction, 'E' in a failed one.
	TxStatus byte
	// Group is set by the router from kind, key and configuration.
	Group core.GroupID
	// Revision is the configuration revision on which the routing is based.
	Revision uint64
	// Durable requests a confirmed write; it is set by the router.
	Durable bool
	// Floors are the positions of the caller's connection by group, kept by its
	// entry. It is nil at a home that received the request from a peer.
	Floors *Floors
	// Floor is the session's last position in Group that the entry knows.
	Floor core.Position
	// Deadline is when the caller stops waiting, on this process's clock.
	Deadline core.Time
}

// Prepared is a statement that the caller prepared earlier.
type Prepared struct {
	Name string
	// Parse is the raw Parse message that defined it.
	Parse []byte
}

// Result is the result of an exchange.
type Result struct {
	// TxStatus is the ReadyForQuery status after the request.
	TxStatus byte
	// Position is the latest position that the session has seen; zero means
	// unchanged.
	Position core.Position
	// Group is the group to which the position belongs.
	Group core.GroupID
	// Hint is the group's home. It is set if the request was refused because this
	// daemon is not the home.
	Hint core.DaemonID
}

// Writer receives the backend messages of the answer. Each call passes complete
// messages; the last message of an answer is ReadyForQuery. The buffer is valid
// only during the call.
type Writer interface {
	Write(messages []byte) (int, error)
}

// Handler runs exchanges. If Do returns an error (an *errs.Error), it has not
// written ReadyForQuery. The error must then be sent to the caller and ends the
// answer written so far, if any. Result.TxStatus is then 'T' or 'E' if the caller's
// transaction is still open at its target, and 'I' or 0 if the caller has no open
// transaction.
type Handler interface {
	Do(ctx context.Context, req *Request, w Writer) (Result, error)
	// Cancel cancels what the caller is running, in response to a CancelRequest.
	Cancel(caller core.CallerID)
	// Hangup reports that the caller's connection is closed; an open transaction is
	// rolled back. It may be called while Do runs, and more than once.
	Hangup(caller core.CallerID)
}

// Floors holds the last position that one caller connection has seen in each group.
// It must not be used concurrently.
type Floors struct {
	byGroup map[core.GroupID]core.Position
}

// Get returns the last position seen in the group.
func (f *Floors) Get(group core.GroupID) core.Position { return f.byGroup[group] }

// Raise records a position unless a later one is already recorded.
func (f *Floors) Raise(group core.GroupID, p core.Position) {
	if !f.byGroup[group].Less(p) {
		return
	}
	if f.byGroup == nil {
		f.byGroup = make(map[core.GroupID]core.Position, 1)
	}
	f.byGroup[group] = p
}

// Forget removes the position of a group, after a lost write was reported to the
// caller.
func (f *Floors) Forget(group core.GroupID) { delete(f.byGroup, group) }
