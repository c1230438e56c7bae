package target

import (
	"errors"
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	sqlite3 "modernc.org/sqlite/lib"

	"limpetspan/standin/target/internal/engine"
)

// SQLSTATE codes that members answer with (PostgreSQL, appendix A).
const (
	stateProtocol           = "08P01"
	stateUnsupported        = "0A000"
	stateNumericRange       = "22003"
	stateInvalidText        = "22P02"
	stateInvalidBinary      = "22P03"
	stateConstraint         = "23000"
	stateNotNull            = "23502"
	stateForeignKey         = "23503"
	stateUnique             = "23505"
	stateCheck              = "23514"
	stateActiveTransaction  = "25001"
	stateReadOnly           = "25006"
	stateNoTransaction      = "25P01"
	stateAborted            = "25P02"
	stateNoStatement        = "26000"
	stateBadPassword        = "28P01"
	stateNoPortal           = "34000"
	stateNoSavepoint        = "3B001"
	stateNoDatabase         = "3D000"
	stateSerialization      = "40001"
	stateSyntax             = "42601"
	stateNoColumn           = "42703"
	stateNoFunction         = "42883"
	stateNoTable            = "42P01"
	stateDuplicateStatement = "42P05"
	stateDuplicateTable     = "42P07"
	stateTooMany            = "53300"
	stateNotInState         = "55000"
	stateCancelled          = "57014"
	stateShutdown           = "57P01"
	stateCannotConnect      = "57P03"
	stateInternal           = "XX000"
)

// Error is an answer to a client.
type Error struct {
	// State is the SQLSTATE.
	State   string
	Message string
	// Fatal ends the connection.
	Fatal bool
}

func (e *Error) Error() string { return e.Message + " (SQLSTATE " + e.State + ")" }

func (e *Error) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if e.Fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: e.State, Message: e.Message}
}

var (
	errCancelled = &Error{State: stateCancelled, Message: "canceling statement due to user request"}
	errAborted   = &Error{State: stateAborted, Message: "current transaction is aborted, commands ignored until end of transaction block"}
	errShutdown  = &Error{State: stateShutdown, Message: "terminating connection due to administrator command", Fatal: true}
	errReplaced  = &Error{State: stateShutdown, Message: "transaction aborted: the member is no longer primary of the term it began in"}
	errReadOnly  = &Error{State: stateReadOnly, Message: "cannot write: the member is not primary"}
	errReadTx    = &Error{State: stateReadOnly, Message: "cannot write in a read-only transaction"}
	errLeaving   = &Error{State: stateCannotConnect, Message: "the member is leaving and takes no new work"}
)

// constraintStates maps extended result codes to states.
var constraintStates = map[int]string{
	sqlite3.SQLITE_CONSTRAINT_UNIQUE:     stateUnique,
	sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY: stateUnique,
	sqlite3.SQLITE_CONSTRAINT_ROWID:      stateUnique,
	sqlite3.SQLITE_CONSTRAINT_NOTNULL:    stateNotNull,
	sqlite3.SQLITE_CONSTRAINT_CHECK:      stateCheck,
	sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY: stateForeignKey,
}

// messageStates maps the engine's messages to states; the first match counts.
var messageStates = []struct {
	pattern *regexp.Regexp
	state   string
}{
	{regexp.MustCompile(`^no such table|no such view`), stateNoTable},
	{regexp.MustCompile(`no such column|has no column named`), stateNoColumn},
	{regexp.MustCompile(`already exists`), stateDuplicateTable},
	{regexp.MustCompile(`no such function|wrong number of arguments`), stateNoFunction},
	{regexp.MustCompile(`syntax error|incomplete input|unrecognized token|values for \d+ columns|has \d+ columns but`), stateSyntax},
	{regexp.MustCompile(`datatype mismatch`), stateInvalidText},
	{regexp.MustCompile(`integer overflow`), stateNumericRange},
}

// asError turns any failure into an answer.
func asError(err error) *Error {
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	message := err.Error()
	if e, ok := errors.AsType[*engine.Error](err); ok {
		message = e.Message
		if state, ok := constraintStates[e.Code]; ok {
			return &Error{State: state, Message: strings.Replace(message, "UNIQUE constraint failed", "duplicate key value violates unique constraint", 1)}
		}
		if e.Code&0xff == sqlite3.SQLITE_CONSTRAINT {
			return &Error{State: stateConstraint, Message: message}
		}
	}
	for _, m := range messageStates {
		if m.pattern.MatchString(message) {
			return &Error{State: m.state, Message: message}
		}
	}
	return &Error{State: stateInternal, Message: message}
}
