package store

import (
	"errors"
	"net/http"
)

// The gRPC codes of the gateway's errors.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeOutOfRange        = 11
	codeUnavailable       = 14
)

// replyError writes an error as the gateway does, or cuts the connection.
func replyError(w http.ResponseWriter, err error) {
	if errors.Is(err, errCut) {
		panic(http.ErrAbortHandler)
	}
	status, code := statusOf(err)
	reply(w, status, &errorMessage{Error: err.Error(), Code: code, Message: err.Error()})
}

func statusOf(err error) (status, code int) {
	switch {
	case errors.Is(err, ErrLeaseNotFound):
		return http.StatusNotFound, codeNotFound
	case errors.Is(err, errLimited):
		return http.StatusTooManyRequests, codeResourceExhausted
	case errors.Is(err, errOutage):
		return http.StatusServiceUnavailable, codeUnavailable
	case errors.Is(err, ErrCompacted), errors.Is(err, ErrFuture):
		return http.StatusBadRequest, codeOutOfRange
	}
	return http.StatusBadRequest, codeInvalidArgument
}
