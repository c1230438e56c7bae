package home

import (
	"sync"

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
	conn     *pooledConn
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

var waiters = sync.Pool{New: func() any {
	return &waiter{verdicts: make(chan verdict, maxVerdicts)}
}}

// newWaiter takes a waiter from the pool. It may go back only after its last
// verdict was received, when nothing can send to it any more.
func newWaiter() *waiter {
	w := waiters.Get().(*waiter)
	w.conn, w.over = nil, false
	return w
}
