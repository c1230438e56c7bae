package group

import (
	"time"

	"limpetspan/core"
)

// ConnID identifies one caller-work connection of this home; the reducer
// numbers them, beginning with 1.
type ConnID uint64

// Event is one input of the reducer. The concrete types are pointers to the
// structs of this file, so that the shell may reuse their memory.
type Event interface{ event() }

// Member is a configured member of the group.
type Member struct {
	ID      core.MemberID `json:"id"`
	Zone    core.Zone     `json:"zone"`
	Leaving bool          `json:"leaving,omitempty"`
}

// Configure brings the group's settings in force; sent first, and on change.
type Configure struct {
	Revision       uint64        `json:"revision"`
	Self           core.DaemonID `json:"self"`
	Zone           core.Zone     `json:"zone"`
	Members        []Member      `json:"members"`
	MaxConnections int           `json:"max_connections"`
	Slots          int           `json:"slots"`
	// Seed feeds the jitter of retries and claims.
	Seed uint64 `json:"seed"`
}

// Candidate is a daemon that may be home, best first.
type Candidate struct {
	ID   core.DaemonID `json:"id"`
	Zone core.Zone     `json:"zone"`
}

// Candidates tells who may be home by the present membership.
type Candidates struct {
	List []Candidate `json:"list"`
}

// HomeNews says that a daemon is home of a term. Direct marks a heartbeat
// from that daemon itself; other news is second hand and proves no life.
// Released says that it gave the term up and serves no more.
type HomeNews struct {
	Home     core.DaemonID `json:"home"`
	Term     core.Term     `json:"term"`
	Primary  core.MemberID `json:"primary"`
	Direct   bool          `json:"direct,omitempty"`
	Released bool          `json:"released,omitempty"`
}

// Failure classifies why a call to a member failed.
type Failure uint8

// The failures of calls to members.
const (
	FailureNone Failure = iota
	// FailureRefused: the connection was refused: no process there.
	FailureRefused
	// FailureTimeout: no answer in time.
	FailureTimeout
	// FailureLost: the connection broke.
	FailureLost
	// FailureRejected: the member answered with an error, such as a term
	// that is not above its own; Status holds what it said where it did.
	FailureRejected
	// FailureBusy: the member has no connection left (SQLSTATE 53300).
	FailureBusy
	// FailureLeaving: the member says that it is shutting down (57P01, 57P03).
	FailureLeaving
)

// Probed is the result of a Probe effect.
type Probed struct {
	Member core.MemberID `json:"member"`
	// SentAt is when the probe was sent: the lease counts from there.
	SentAt core.Time   `json:"sent_at"`
	Fresh  bool        `json:"fresh,omitempty"`
	Status core.Status `json:"status"`
	Err    Failure     `json:"err,omitempty"`
}

// Fenced is the result of a Fence effect.
type Fenced struct {
	Member core.MemberID `json:"member"`
	Term   core.Term     `json:"term"`
	Status core.Status   `json:"status"`
	Err    Failure       `json:"err,omitempty"`
}

// Promoted is the result of a Promote effect.
type Promoted struct {
	Member core.MemberID `json:"member"`
	Term   core.Term     `json:"term"`
	Status core.Status   `json:"status"`
	Err    Failure       `json:"err,omitempty"`
}

// Opinion is another candidate's answer to AskOpinion: whether a fresh
// connection from there reached the member as primary of its term.
type Opinion struct {
	Member    core.MemberID `json:"member"`
	From      core.DaemonID `json:"from"`
	Zone      core.Zone     `json:"zone"`
	Reachable bool          `json:"reachable"`
}

// Arrived is a caller's request at this daemon, believed to be home.
type Arrived struct {
	Request core.RequestID `json:"request"`
	Caller  core.CallerID  `json:"caller"`
	// Session may point into reused memory; the reducer copies what it keeps.
	Session      core.SessionID `json:"session"`
	Read         bool           `json:"read,omitempty"`
	MaxStaleness time.Duration  `json:"max_staleness,omitempty"`
	Durable      bool           `json:"durable,omitempty"`
	// InTransaction: the caller has an open transaction, so the request
	// belongs on the connection pinned to the caller.
	InTransaction bool      `json:"in_transaction,omitempty"`
	Deadline      core.Time `json:"deadline"`
	// Floor is the session's position that the entry knows; may be zero.
	Floor core.Position `json:"floor"`
}

// Result classifies how a dispatched request ended.
type Result uint8

// The ends of a dispatched request.
const (
	// ResultOK: the whole answer arrived, with or without an SQL error.
	ResultOK Result = iota
	// ResultNotSent: nothing of the request was sent: it did not run.
	ResultNotSent
	// ResultLost: the connection broke after something was sent.
	ResultLost
	// ResultLeaving: the member refused because it is shutting down: not run.
	ResultLeaving
	// ResultReadOnly: the member refused the write (25006): not run, and it is
	// no primary any more.
	ResultReadOnly
)

// Finished is the end of a dispatched request at the member. The connection
// is clean, at TxStatus, exactly when Result is ResultOK or ResultReadOnly.
type Finished struct {
	Request core.RequestID `json:"request"`
	Result  Result         `json:"result,omitempty"`
	// TxStatus is 'I', 'T' or 'E'.
	TxStatus byte `json:"tx_status"`
	// Position is the member's position after the statement, zero if unasked.
	Position core.Position `json:"position"`
}

// Abandoned: the caller cancelled the request or went away.
type Abandoned struct {
	Request core.RequestID `json:"request"`
}

// HungUp: the caller's connection is gone; its pinned connection, if any, is closed.
type HungUp struct {
	Caller core.CallerID `json:"caller"`
}

// ConnOpened is the result of an OpenConn effect.
type ConnOpened struct {
	Conn   ConnID        `json:"conn"`
	Member core.MemberID `json:"member"`
	Took   time.Duration `json:"took"`
	Err    Failure       `json:"err,omitempty"`
}

// ConnClosed: an idle or pinned connection broke, or a CloseConn was carried out.
type ConnClosed struct {
	Conn ConnID `json:"conn"`
}

// SessionPosition is one session's last position.
type SessionPosition struct {
	Session  core.SessionID `json:"session"`
	Position core.Position  `json:"position"`
}

// HandedOver: the old home released its term to this daemon, with the
// positions it knew.
type HandedOver struct {
	From     core.DaemonID     `json:"from"`
	Term     core.Term         `json:"term"`
	Sessions []SessionPosition `json:"sessions,omitempty"`
}

// Drain: this daemon stops in a planned way; the home is handed over once
// what runs has ended, or at Deadline.
type Drain struct {
	Deadline core.Time `json:"deadline"`
}

// Tick passes time; sent at the latest when the last WakeAt asked for it.
type Tick struct{}

func (*Configure) event()  {}
func (*Candidates) event() {}
func (*HomeNews) event()   {}
func (*Probed) event()     {}
func (*Fenced) event()     {}
func (*Promoted) event()   {}
func (*Opinion) event()    {}
func (*Arrived) event()    {}
func (*Finished) event()   {}
func (*Abandoned) event()  {}
func (*HungUp) event()     {}
func (*ConnOpened) event() {}
func (*ConnClosed) event() {}
func (*HandedOver) event() {}
func (*Drain) event()      {}
func (*Tick) event()       {}
