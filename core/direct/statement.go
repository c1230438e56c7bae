package direct

// StatementKind says what a statement does, as far as the proxy has to know.
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
	// ID is the caller's name for the request; it is passed on unchanged.
	ID string
	// Text is the statement as it was sent.
	Text string
	Kind StatementKind
	// Name is the value's or prepared statement's name.
	Name string
	// Argument is what follows the name: a value, a shape, or the parameters.
	Argument string
	// Writes says of a prepared statement whether it writes.
	Writes bool
}

// Outcome is how a statement that a member answered, or did not, has ended.
type Outcome uint8

// The outcomes.
const (
	// Succeeded: the whole answer came, with the member's receipt.
	Succeeded Outcome = iota
	// Busy, Behind and NotPrimary are refusals: the statement did not run.
	Busy
	Behind
	NotPrimary
	// WrongMember: another member answers at the address; nothing ran.
	WrongMember
	// TooManyConns: the member has no connection left; nothing ran.
	TooManyConns
	// NotPrepared: the connection lacks the prepared statement; nothing ran.
	NotPrepared
	// Failed: the statement ran and failed, or the member gave it up.
	Failed
	// Broken: the connection ended, or stayed silent, before a whole answer came.
	ConnLost
	// NotSent: the statement never left the daemon.
	NotSent
	// Barred: it was kept back, as its caller may not ask for it; Unpaid: as its team is at
	// its limit.
	Denied
	OverQuota
)

// Verdict is what a caller is told of a statement that did not succeed.
type Resolution uint8

// The verdicts.
const (
	// ReportNotRun: nothing of it ran, and it may be sent again.
	ReportNotRun Resolution = iota
	// ReportAborted: its transaction is rolled back and nothing is kept.
	ReportAborted
	// ReportUnknown: it may have run.
	ReportUnknown
	// ReportFailed: it ran and failed; the member's own words are passed on.
	ReportFailed
	// RetryElsewhere: it is proved not to have run, or may run twice without harm;
	// the daemon tries again itself.
	RetryElsewhere
)

// Settle decides what follows from an outcome. inTransaction is about
// statements after the first of a transaction; the first, which opens it on
// the member, counts as outside.
//
// A read outside a transaction changes nothing, so it may run again even after
// its answer was lost. A write or a commit may not: when the connection breaks,
// nobody knows whether it ran. A transaction whose commit was never sent is
// rolled back by the member when the connection goes away.
func Resolve(kind StatementKind, writes, inTransaction bool, o Outcome) Resolution {
	switch o {
	case Succeeded, Failed:
		return ReportFailed
	case Denied, OverQuota:
		return ReportNotRun
	case NotSent, Busy, Behind, NotPrimary, WrongMember, TooManyConns, NotPrepared:
		if inTransaction {
			return ReportAborted
		}
		return RetryElsewhere
	}
	switch {
	case kind == StatementCommit:
		return ReportUnknown
	case inTransaction:
		return ReportAborted
	case writes:
		return ReportUnknown
	}
	return RetryElsewhere
}
