package target

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/jackc/pgx/v5/pgconn"

	"limpetspan/core/group"
)

// SQLSTATEs that the data path and the decisions tell apart (PostgreSQL,
// appendix A).
const (
	CodeTooManyConnections = "53300"
	CodeQueryCanceled      = "57014"
	CodeAdminShutdown      = "57P01"
	CodeCannotConnectNow   = "57P03"
	CodeReadOnly           = "25006"
	CodeUniqueViolation    = "23505"
	CodeUndefinedTable     = "42P01"
)

// Classify says which failure an error of a dial or a control call is.
func Classify(err error) group.Failure {
	if err == nil {
		return group.FailureNone
	}
	if pg, ok := errors.AsType[*pgconn.PgError](err); ok {
		return classifyCode(pg.Code)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return group.FailureRefused
	}
	if isTimeout(err) {
		return group.FailureTimeout
	}
	return group.FailureLost
}

func classifyCode(code string) group.Failure {
	switch code {
	case CodeTooManyConnections:
		return group.FailureBusy
	case CodeAdminShutdown, CodeCannotConnectNow:
		return group.FailureLeaving
	default:
		return group.FailureRejected
	}
}

func isTimeout(err error) bool {
	if errors.Is(err, context.DeadlineExceeded) || pgconn.Timeout(err) {
		return true
	}
	n, ok := errors.AsType[net.Error](err)
	return ok && n.Timeout()
}
