// Package exchange defines one request of a caller and its whole answer, the
// unit that travels from the front through the entry to the home.
package exchange

import (
	"context"

	"limpetspan/core"
)

// Request is one exchange: frontend messages that end with Query or Sync.
type Request struct {
	Caller core.CallerID
	core.Directives
	// Messages are the raw frontend messages, type byte and length included.
	// They are owned by the caller of Do until Do returns.
	Messages []byte
	// Prepared are the named and unnamed statements that Messages use but do
	// not define; the home makes sure the connection has them.
	Prepared []Prepared
	// TxStatus is the caller's ReadyForQuery status before the request:
	// 'I' idle, 'T' in a transaction, 'E' in a failed one.
	TxStatus byte
	// Group is filled in by the router from kind, key and configuration.
	Group core.GroupID
	// Revision is the configuration revision the routing was decided under.
	Revision uint64
	// Durable asks for a confirmed write; filled in by the router.
	Durable bool
	// Floors are the caller connection's positions by group, kept by its entry;
	// nil at a home that got the request from a peer.
	Floors *Floors
	// Floor is the session's last position that the entry knows, in Group.
	Floor core.Position
	// Deadline is when the caller gives up, on this process's clock.
	Deadline core.Time
}

// Prepared is a statement prepared earlier by the caller.
type Prepared struct {
	Name string
	// Parse is the raw Parse message that defined it.
	Parse []byte
}

// Result is what is known when the answer is complete.
type Result struct {
	// TxStatus is the ReadyForQuery status after the request.
	TxStatus byte
	// Position is what the session has now seen; zero: unchanged.
	Position core.Position
	// Group is the group the position belongs to.
	Group core.GroupID
	// Hint names the group's home when a request was refused for "not home".
	Hint core.DaemonID
}

// Writer receives the backend messages of the answer. Complete messages only;
// the last one is ReadyForQuery. The buffer is only valid during the call.
type Writer interface {
	Write(messages []byte) (int, error)
}

// Handler runs exchanges. A returned error means that no ReadyForQuery was
// written and the caller is to be told err (an *errs.Error); the answer
// written so far, if any, is ended by it. With an error, Result.TxStatus is
// 'T' or 'E' when the caller's transaction still lives at its target, and 'I'
// or 0 when there is none or it is gone.
type Handler interface {
	Do(ctx context.Context, req *Request, w Writer) (Result, error)
	// Cancel ends what the caller is running, as a CancelRequest asks.
	Cancel(caller core.CallerID)
	// Hangup says that the caller's connection is gone: an open transaction
	// is rolled back. It may come while Do runs, and twice.
	Hangup(caller core.CallerID)
}

// Floors remembers the last position one caller connection has seen in each
// group. It is used by one goroutine at a time.
type Floors struct {
	byGroup map[core.GroupID]core.Position
}

// Get returns the position seen in the group.
func (f *Floors) Get(group core.GroupID) core.Position { return f.byGroup[group] }

// Raise records a position, unless a later one is known.
func (f *Floors) Raise(group core.GroupID, p core.Position) {
	if !f.byGroup[group].Less(p) {
		return
	}
	if f.byGroup == nil {
		f.byGroup = make(map[core.GroupID]core.Position, 1)
	}
	f.byGroup[group] = p
}

// Forget drops the position of a group, after the caller was told of a lost write.
func (f *Floors) Forget(group core.GroupID) { delete(f.byGroup, group) }
