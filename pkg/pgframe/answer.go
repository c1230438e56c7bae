package pgframe

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"limpetspan/pkg/errs"
)

// Severity is the severity of an ErrorResponse.
type Severity string

// The severities: a fatal error ends the connection.
const (
	SeverityError Severity = "ERROR"
	SeverityFatal Severity = "FATAL"
)

// The transaction states of a ReadyForQuery message.
const (
	StatusIdle          byte = 'I'
	StatusInTransaction byte = 'T'
	StatusFailed        byte = 'E'
)

// AppendError appends an ErrorResponse that says e.
func AppendError(dst []byte, severity Severity, e *errs.Error) []byte {
	return appendMessage(dst, &pgproto3.ErrorResponse{
		Severity:            string(severity),
		SeverityUnlocalized: string(severity),
		Code:                e.Kind.SQLState,
		Message:             e.Message(),
		Detail:              e.Detail(),
		Hint:                hint(e.RetryAfter),
	})
}

func hint(retryAfter time.Duration) string {
	if retryAfter <= 0 {
		return ""
	}
	return fmt.Sprintf("Come back after %d ms.", retryAfter.Milliseconds())
}

// AppendReadyForQuery appends a ReadyForQuery with the transaction status.
func AppendReadyForQuery(dst []byte, status byte) []byte {
	return append(dst, 'Z', 0, 0, 0, 5, status)
}

// AppendQuery appends a Query message.
func AppendQuery(dst []byte, sql string) []byte {
	return appendMessage(dst, &pgproto3.Query{String: sql})
}

// appendMessage encodes m. Encoding fails only above a gigabyte, which none of
// these messages comes near.
func appendMessage(dst []byte, m pgproto3.Message) []byte {
	out, err := m.Encode(dst)
	if err != nil {
		return dst
	}
	return out
}
