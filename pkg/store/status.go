package store

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// StatusError is an answer of the service other than success.
type StatusError struct {
	Call     string
	Endpoint string
	// Status is the HTTP status.
	Status int
	// Message is the service's own text.
	Message string
	// class is ErrRefused, ErrUnknown or ErrLeaseGone.
	class error
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%v: %s at %s: HTTP %d: %s", e.class, e.Call, e.Endpoint, e.Status, e.Message)
}

// Unwrap returns the classes of the error. A missing lease is also a refusal.
func (e *StatusError) Unwrap() []error {
	if e.class == ErrLeaseGone {
		return []error{ErrLeaseGone, ErrRefused}
	}
	return []error{e.class}
}

const maxErrorBody = 4 << 10

func newStatusError(k call, endpoint string, resp *http.Response) *StatusError {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	var message struct {
		Message string `json:"message"`
	}
	if json.Unmarshal(body, &message) != nil {
		message.Message = string(body)
	}
	return &StatusError{Call: k.name(), Endpoint: endpoint, Status: resp.StatusCode,
		Message: message.Message, class: k.classOf(resp.StatusCode)}
}

// classOf classifies a status. The service answers 4xx before it touches its
// state. A 5xx proves nothing: a change that timed out inside the service is
// answered so and may still be carried out.
func (k call) classOf(status int) error {
	switch {
	case status == http.StatusNotFound && (k == callTxn || k == callRevoke || k == callKeepAlive):
		return ErrLeaseGone
	case status < http.StatusInternalServerError || !k.changes:
		return ErrRefused
	}
	return ErrUnknown
}
