package group

import (
	"time"

	"limpetspan/core"
)

// Effect is one action for the shell. The concrete types are pointers into the
// Effects buffer.
type Effect interface{ effect() }

// Dispatch runs the request on the connection, which is reserved for the
// request until Finished.
type Dispatch struct {
	Request core.RequestID `json:"request"`
	Conn    ConnID         `json:"conn"`
	Member  core.MemberID  `json:"member"`
	// WantPosition: query the member's position after the statement.
	WantPosition bool `json:"want_position,omitempty"`
	// Hold: withhold the answer, starting at the first CommandComplete, until
	// Acknowledge or Fail if the answer ends with TxStatus 'I'.
	Hold bool `json:"hold,omitempty"`
}

// Acknowledge releases the withheld part of a request's answer and ends the
// request. Every Arrived is answered by exactly one Acknowledge or Fail, even
// if nothing was withheld.
type Acknowledge struct {
	Request core.RequestID `json:"request"`
	// Position is the position that the session has now seen.
	Position core.Position `json:"position"`
}

// Reason says why a request failed; the shell maps it to an errs.Kind.
type Reason uint8

// The reasons of Fail.
const (
	ReasonNotHome Reason = iota
	ReasonOverloaded
	ReasonDeadline
	ReasonCancelled
	ReasonUnavailable
	ReasonConnectionLost
	ReasonNotConfirmed
	ReasonWriteLost
	ReasonShuttingDown
	// ReasonReplaced: the term changed while the request ran.
	ReasonReplaced
	// ReasonTransactionLost: the caller's pinned connection was closed.
	ReasonTransactionLost
)

// Fail ends a request with an error. If the request was dispatched and has not
// Finished, the shell drops its connection without reporting Finished. A
// CloseConn for that connection follows, because a Finished may already be
// queued.
type Fail struct {
	Request core.RequestID `json:"request"`
	Reason  Reason         `json:"reason"`
	Outcome core.Outcome   `json:"outcome"`
	// Step and Peer have the meaning they have in errs.Error.
	Step       string        `json:"step"`
	Peer       string        `json:"peer,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	Hint       core.DaemonID `json:"hint,omitempty"`
}

// OpenConn opens a work connection; answered by ConnOpened.
type OpenConn struct {
	Conn   ConnID        `json:"conn"`
	Member core.MemberID `json:"member"`
}

// CloseConn closes a connection. No event needs to follow, but a ConnClosed
// frees the connection's share of the budget at once. CloseConn is also sent
// for a connection that opened after the reducer had dropped it.
type CloseConn struct {
	Conn ConnID `json:"conn"`
}

// Probe queries a member's status; answered by Probed. Fresh opens a new control
// connection for the query.
type Probe struct {
	Member  core.MemberID `json:"member"`
	Fresh   bool          `json:"fresh,omitempty"`
	Timeout time.Duration `json:"timeout"`
}

// Fence raises a member's term; answered by Fenced.
type Fence struct {
	Member  core.MemberID `json:"member"`
	Term    core.Term     `json:"term"`
	Timeout time.Duration `json:"timeout"`
}

// Promote makes a member primary; answered by Promoted.
type Promote struct {
	Member  core.MemberID `json:"member"`
	Term    core.Term     `json:"term"`
	Timeout time.Duration `json:"timeout"`
}

// AskOpinion asks another candidate to try a new connection to the member.
type AskOpinion struct {
	Member  core.MemberID `json:"member"`
	Peer    core.DaemonID `json:"peer"`
	Timeout time.Duration `json:"timeout"`
}

// Beat is the home's heartbeat to the other candidates. With Announce set, the
// whole fleet is notified too; that happens once for each change.
type Beat struct {
	Term     core.Term     `json:"term"`
	Primary  core.MemberID `json:"primary"`
	Released bool          `json:"released,omitempty"`
	Announce bool          `json:"news,omitempty"`
}

// SendHandover releases the term to another candidate.
type SendHandover struct {
	To       core.DaemonID     `json:"to"`
	Term     core.Term         `json:"term"`
	Sessions []SessionPosition `json:"sessions,omitempty"`
}

// Drained reports that a Drain is complete and that nothing runs here any more.
type Drained struct{}

// Log is a log entry for operators about a decision of the reducer.
type Log struct {
	// Message is a constant text such as "primary suspected".
	Message string        `json:"message"`
	Member  core.MemberID `json:"member,omitempty"`
	Peer    core.DaemonID `json:"peer,omitempty"`
	Term    core.Term     `json:"term,omitempty"`
	Detail  string        `json:"detail,omitempty"`
}

// WakeAt requests a Tick at the given time. It replaces any earlier WakeAt of
// the same or a previous Reduce call.
type WakeAt struct {
	At core.Time `json:"at"`
}

func (*Dispatch) effect()     {}
func (*Acknowledge) effect()  {}
func (*Fail) effect()         {}
func (*OpenConn) effect()     {}
func (*CloseConn) effect()    {}
func (*Probe) effect()        {}
func (*Fence) effect()        {}
func (*Promote) effect()      {}
func (*AskOpinion) effect()   {}
func (*Beat) effect()         {}
func (*SendHandover) effect() {}
func (*Drained) effect()      {}
func (*Log) effect()          {}
func (*WakeAt) effect()       {}

// Effects collects the effects of one Reduce call in order. Its memory is
// reused, so the steady state does not allocate.
type Effects struct {
	List []Effect

	dispatches   arena[Dispatch]
	acknowledges arena[Acknowledge]
	fails        arena[Fail]
	opens        arena[OpenConn]
	closes       arena[CloseConn]
	probes       arena[Probe]
	beats        arena[Beat]
	logs         arena[Log]
	wakeAts      arena[WakeAt]
}

// Reset empties the buffer and keeps its memory for reuse.
func (e *Effects) Reset() {
	clear(e.List)
	e.List = e.List[:0]
	e.dispatches.reset()
	e.acknowledges.reset()
	e.fails.reset()
	e.opens.reset()
	e.closes.reset()
	e.probes.reset()
	e.beats.reset()
	e.logs.reset()
	e.wakeAts.reset()
}

// arena returns pointers to reused values of one type. A value's address stays
// valid until reset, because the arena grows by whole blocks and moves nothing.
type arena[T any] struct {
	blocks [][]T
	used   int
}

// arenaBlock is the number of values allocated at a time.
const arenaBlock = 16

func (a *arena[T]) put(v T) *T {
	block, index := a.used/arenaBlock, a.used%arenaBlock
	if block == len(a.blocks) {
		a.blocks = append(a.blocks, make([]T, arenaBlock))
	}
	a.used++
	p := &a.blocks[block][index]
	*p = v
	return p
}

func (a *arena[T]) reset() { a.used = 0 }
