package group

import (
	"time"

	"limpetspan/core"
)

// ConnID identifies one work connection of this home: a connection to a member
// that runs callers' statements. The reducer assigns the numbers, starting at 1.
type ConnID uint64

// Event is one input of the reducer. The concrete types are pointers to the
// structs of this file, so that the shell can reuse their memory.
type Event interface{ event() }

// Member is a configured member of the group.
type Member struct {
	ID      core.MemberID `json:"id"`
	Zone    core.Zone     `json:"zone"`
	Leaving bool          `json:"leaving,omitempty"`
}

// Configure applies the group's settings. It is the first event and is sent
// again on every change.
type Configure struct {
	Revision       uint64        `json:"revision"`
	Self           core.DaemonID `json:"self"`
	Zone           core.Zone     `json:"zone"`
	Members        []Member      `json:"members"`
	MaxConnections int           `json:"max_connections"`
	Slots          int           `json:"slots"`
	// Seed initializes the random jitter of retries and claims.
	Seed uint64 `json:"seed"`
}

// Candidate is a daemon that may become home.
type Candidate struct {
	ID   core.DaemonID `json:"id"`
	Zone core.Zone     `json:"zone"`
}

// Candidates replaces the list of daemons that may become home, the most
// preferred first.
type Candidates struct {
	List []Candidate `json:"list"`
}

// HomeNews reports that a daemon is home of a term. Direct marks a heartbeat
// from that daemon itself; a report relayed by another daemon does not prove
// that the home is alive. Released means that the home has released the term and
// no longer serves.
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
	// FailureRefused: the connection was refused; no process listens there.
	FailureRefused
	// FailureTimeout: no answer in time.
	FailureTimeout
	// FailureLost: the connection broke.
	FailureLost
	// FailureRejected: the member answered with an error, for example because
	// the term is not above its own. Status holds its status if it sent one.
	FailureRejected
	// FailureBusy: the member has no free connection (SQLSTATE 53300).
	FailureBusy
	// FailureLeaving: the member is shutting down (SQLSTATE 57P01, 57P03).
	FailureLeaving
)

// Probed is the result of a Probe effect.
type Probed struct {
	Member core.MemberID `json:"member"`
	// SentAt is when the probe was sent. The lease counts from this time.
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

// Opinion is another candidate's answer to AskOpinion: whether it reached the
// member on a new connection and found it primary of its term.
type Opinion struct {
	Member    core.MemberID `json:"member"`
	From      core.DaemonID `json:"from"`
	Zone      core.Zone     `json:"zone"`
	Reachable bool          `json:"reachable"`
}

// Arrived is a request of a caller that was sent to this daemon as the home.
type Arrived struct {
	Request core.RequestID `json:"request"`
	Caller  core.CallerID  `json:"caller"`
	// Session may point into reused memory; the reducer copies it.
	Session      core.SessionID `json:"session"`
	Read         bool           `json:"read,omitempty"`
	MaxStaleness time.Duration  `json:"max_staleness,omitempty"`
	Durable      bool           `json:"durable,omitempty"`
	// InTransaction: the caller has an open transaction, so the request must
	// run on the connection pinned to the caller.
	InTransaction bool      `json:"in_transaction,omitempty"`
	Deadline      core.Time `json:"deadline"`
	// Floor is the last position of the session known to the entry, or zero.
	Floor core.Position `json:"floor"`
}

// Result classifies how a dispatched request ended.
type Result uint8

// The results of a dispatched request.
const (
	// ResultOK: the complete answer arrived, with or without an SQL error.
	ResultOK Result = iota
	// ResultNotSent: no part of the request was sent, so it did not run.
	ResultNotSent
	// ResultLost: the connection broke after a part of the request was sent.
	ResultLost
	// ResultLeaving: the member refused because it is shutting down; the
	// request did not run.
	ResultLeaving
	// ResultReadOnly: the member refused the write (SQLSTATE 25006). The request
	// did not run, and the member is no longer primary.
	ResultReadOnly
)

// Finished reports that a dispatched request has ended at the member. The
// connection is reusable, in state TxStatus, only if Result is ResultOK or
// ResultReadOnly.
type Finished struct {
	Request core.RequestID `json:"request"`
	Result  Result         `json:"result,omitempty"`
	// TxStatus is 'I', 'T' or 'E'.
	TxStatus byte `json:"tx_status"`
	// Position is the member's position after the statement, or zero if it was
	// not requested.
	Position core.Position `json:"position"`
}

// Abandoned reports that the caller cancelled the request or disconnected.
type Abandoned struct {
	Request core.RequestID `json:"request"`
}

// HungUp reports that the caller's connection has ended. The connection pinned
// to the caller, if any, is closed.
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

// ConnClosed reports that an idle or pinned connection broke, or that a
// CloseConn was carried out.
type ConnClosed struct {
	Conn ConnID `json:"conn"`
}

// SessionPosition is one session's last position.
type SessionPosition struct {
	Session  core.SessionID `json:"session"`
	Position core.Position  `json:"position"`
}

// HandedOver reports that the old home released its term to this daemon. It
// carries the session positions that the old home knew.
type HandedOver struct {
	From     core.DaemonID     `json:"from"`
	Term     core.Term         `json:"term"`
	Sessions []SessionPosition `json:"sessions,omitempty"`
}

// Drain begins a planned stop of this daemon. The group is handed over once the
// running requests have ended, or at Deadline.
type Drain struct {
	Deadline core.Time `json:"deadline"`
}

// Tick runs the timers that are due. The shell sends it no later than the time
// requested by the last WakeAt.
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
