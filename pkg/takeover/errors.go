package takeover

import (
	"errors"
	"fmt"
	"time"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/core/takeover"
	"limpetspan/pkg/errs"
)

// Errors of a worker's configuration changes.
var (
	// ErrUnsettled: a configuration change may or may not take effect.
	ErrUnsettled = errors.New("takeover: the outcome of the configuration change is not known")
	// ErrClaimLost: another worker has the take-over.
	ErrClaimLost = errors.New("takeover: another worker has the take-over")
	// ErrState: the operator's state of the take-over does not allow it.
	ErrState = errors.New("takeover: the take-over is not in a state for it")
)

// BucketError: a record or key is in another bucket than its table says.
type BucketError struct {
	Kind, Key  string
	Want, Have int
}

func (e *BucketError) Error() string {
	return fmt.Sprintf("record %q of kind %q belongs in bucket %d, its row says %d", e.Key, e.Kind, e.Want, e.Have)
}

// ColumnsError: a declared statement returned too few columns.
type ColumnsError struct {
	Statement  string
	Want, Have int
}

func (e *ColumnsError) Error() string {
	return fmt.Sprintf("%s returned %d columns, at least %d are needed", e.Statement, e.Have, e.Want)
}

// RouteError turns an error of config.Document.Route into what a caller is
// told: the statement did not run.
func RouteError(err error, step string) *errs.Error {
	kind := errs.BadRequest
	var after time.Duration
	switch err.(type) {
	case *config.UnknownKindError:
		kind = errs.UnknownKind
	case *config.VersionNotInServiceError:
		kind = errs.VersionNotInService
	case *config.FencedError:
		kind, after = errs.Held, retryAfter
	case *config.NoDefaultGroupError:
		kind = errs.Unavailable
	}
	return errs.New(kind, core.OutcomeNotRun, step, "", "%s", err).WithRetryAfter(after)
}

// failureOf classifies an error for the machine.
func failureOf(err error) takeover.Failure {
	if err == nil {
		return takeover.FailureNone
	}
	switch {
	case errors.Is(err, ErrClaimLost), errs.Is(err, errs.ClaimLost):
		return takeover.FailureClaimLost
	case errors.Is(err, ErrUnsettled):
		return takeover.FailureUnknown
	case errors.Is(err, ErrState), errs.Is(err, errs.HoldRefused):
		return takeover.FailureRefused
	}
	if e, ok := errors.AsType[*SQLError](err); ok {
		return failureOfSQL(e.Code)
	}
	if isDeclarationError(err) {
		return takeover.FailureInvalid
	}
	if e, ok := errors.AsType[*errs.Error](err); ok && e.Outcome == core.OutcomeUnknown {
		return takeover.FailureUnknown
	}
	return takeover.FailureRetryable
}

func isDeclarationError(err error) bool {
	if _, ok := errors.AsType[*BucketError](err); ok {
		return true
	}
	_, ok := errors.AsType[*ColumnsError](err)
	return ok
}

// SQLSTATE codes that mean something to a take-over.
const (
	// codeNotNull is what a refused token looks like, see checkTokenSQL.
	codeNotNull        = "23502"
	codeUndefinedTable = "42P01"
)

// failureOfSQL sorts SQLSTATE classes (PostgreSQL, appendix A): 08 connection,
// 25 transaction state, 40 rollback, 53 resources, 55 object state, 57 operator.
func failureOfSQL(code string) takeover.Failure {
	if len(code) != 5 {
		return takeover.FailureInvalid
	}
	switch code[:2] {
	case "08", "25", "40", "53", "55", "57":
		return takeover.FailureRetryable
	}
	return takeover.FailureInvalid
}

// isSQLState reports whether the database answered with the code.
func isSQLState(err error, code string) bool {
	e, ok := errors.AsType[*SQLError](err)
	return ok && e.Code == code
}
