package home

import (
	"limpetspan/core"
	"limpetspan/core/group"
)

// verdictKind says what the reducer decided about a request.
type verdictKind uint8

const (
	verdictDispatch verdictKind = iota
	verdictAcknowledge
	verdictFail
)

// verdict is one decision of the reducer about a request, copied from the
// effect.
type verdict struct {
	kind     verdictKind
	dispatch group.Dispatch
	// conn is the connection of a dispatch, nil if it is gone.
	conn *pooledConn
	// verify: the connection has to prove itself before use.
	verify   bool
	position core.Position
	fail     group.Fail
}

// maxVerdicts is how many verdicts a request may have unread: a dispatch and
// the failure that overtakes it.
const maxVerdicts = 2

// waiter is a request that waits for its verdicts. All but verdicts is guarded
// by the shard's mutex.
type waiter struct {
	id       core.RequestID
	caller   core.CallerID
	deadline core.Time
	verdicts chan verdict
	// conn is the connection the request was dispatched to, until it finished.
	conn *pooledConn
	// over: the last verdict was given.
	over bool
}

func newWaiter() *waiter { return &waiter{verdicts: make(chan verdict, maxVerdicts)} }

// reset makes the waiter ready for another request.
func (w *waiter) reset() { w.conn, w.over = nil, false }
