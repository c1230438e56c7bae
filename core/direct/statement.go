package direct

// StatementKind classifies a statement as far as the proxy needs to know.
type StatementKind uint8

// The kinds of statements.
const (
	StatementUnknown StatementKind = iota
	StatementBegin
	StatementBeginRead
	StatementCommit
	StatementRollback
	StatementRead
	StatementWrite
	StatementSet
	StatementPrepare
	StatementExecute
	StatementDeallocate
)

// Statement is one request of a caller.
type Statement struct {
	// ID is the caller's identifier of the request; it is forwarded unchanged.
	ID string
	// Text is the statement as it was sent.
	Text string
	Kind StatementKind
	// Name is the name of the session value or of the prepared statement.
	Name string
	// Argument is the text after the name: the value to set, the shape to prepare (the text of a
	// statement without its arguments), or the arguments to execute a prepared statement with.
	Argument string
	// Writes is set if a prepared statement writes.
	Writes bool
}

// Outcome is the result of sending a statement to a member, or of not sending it.
type Outcome uint8

// The outcomes of a statement.
const (
	// Succeeded: the complete answer arrived, with the member's position.
	Succeeded Outcome = iota
	// Busy, Lagging and NotPrimary are refusals: the statement did not run.
	Busy
	Lagging
	NotPrimary
	// WrongMember: another member answers at the address; nothing ran.
	WrongMember
	// ConnectionLimit: the member has reached its connection limit; nothing ran.
	ConnectionLimit
	// NotPrepared: the connection lacks the prepared statement; nothing ran.
	NotPrepared
	// Failed: the statement ran and failed, or the member aborted it.
	Failed
	// ConnLost: the connection ended or was silent before a complete answer arrived.
	ConnLost
	// NotSent: the statement never left the daemon.
	NotSent
	// Denied: the caller is not authorized for the statement. OverQuota: the caller's team is at
	// its limit. Neither was sent.
	Denied
	OverQuota
)

// ProvesNotRun reports whether a statement with this outcome certainly did not run.
func (o Outcome) ProvesNotRun() bool {
	switch o {
	case Busy, Lagging, NotPrimary, WrongMember, ConnectionLimit, NotPrepared, NotSent, Denied, OverQuota:
		return true
	}
	return false
}

// Resolution is what the daemon does about a statement's outcome: which result it reports to the
// caller, or a retry.
type Resolution uint8

// The resolutions of a statement.
const (
	// ReportNotRun: nothing ran, and the caller may send the statement again.
	ReportNotRun Resolution = iota
	// ReportAborted: the transaction is rolled back and has no effect.
	ReportAborted
	// ReportUnknown: the statement may have run.
	ReportUnknown
	// ReportAnswer: the statement ran, and the member's answer, a result or an error, is relayed.
	ReportAnswer
	// RetryElsewhere: the statement provably did not run, or may run twice without harm; the daemon
	// retries it itself.
	RetryElsewhere
)

// Resolve returns the resolution of an outcome. inTransaction is set for the statements after the
// first of a transaction. The first one, which begins the transaction on the member, counts as
// outside.
//
// A read outside a transaction changes nothing, so it may run again even after its answer was lost.
// A write or a commit may not: if the connection is lost, it is unknown whether it ran. A member
// rolls back a transaction whose commit was never sent when its connection closes.
func Resolve(kind StatementKind, writes, inTransaction bool, o Outcome) Resolution {
	switch o {
	case Succeeded, Failed:
		return ReportAnswer
	case Denied, OverQuota:
		return ReportNotRun
	}
	switch {
	case o.ProvesNotRun() && inTransaction:
		return ReportAborted
	case o.ProvesNotRun():
		return RetryElsewhere
	case kind == StatementCommit:
		return ReportUnknown
	case inTransaction:
		return ReportAborted
	case writes:
		return ReportUnknown
	}
	return RetryElsewhere
}
