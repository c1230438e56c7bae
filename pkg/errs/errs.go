// Package errs defines the error type of limpetspan. An error states what failed
// (an errorx type with a SQLSTATE), what is known about the execution of the
// statement, and the step and the peer at which the failure occurred.
package errs

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"limpetspan/core"
)

var namespace = errorx.NewNamespace("limpetspan")

// Kind is a class of failures with its SQLSTATE (PostgreSQL, appendix A).
type Kind struct {
	SQLState string
	Type     *errorx.Type
}

// kinds holds all kinds by name. It is filled during package initialisation.
var kinds = make(map[string]*Kind)

func newKind(name, state string) *Kind {
	k := &Kind{SQLState: state, Type: namespace.NewType(name)}
	kinds[k.Name()] = k
	return k
}

// Name returns the name by which daemons refer to the kind in messages to each
// other.
func (k *Kind) Name() string { return k.Type.FullName() }

// KindByName returns the kind of that name, or Internal if there is none, for
// example if a newer daemon sends a kind that this one does not know.
func KindByName(name string) *Kind {
	if k, ok := kinds[name]; ok {
		return k
	}
	return Internal
}

// The kinds of failures.
var (
	// NotHome means that the daemon is not the home of the group. It never reaches
	// a caller.
	NotHome = newKind("not_home", "57P03")
	// Overloaded means that the request was shed. RetryAfter says when to retry.
	Overloaded = newKind("overloaded", "53300")
	// DeadlineExceeded means that the request's deadline passed.
	DeadlineExceeded = newKind("deadline_exceeded", "57014")
	// Cancelled means that the caller cancelled the request.
	Cancelled = newKind("cancelled", "57014")
	// Unavailable means that there is currently no home or no serving member.
	Unavailable = newKind("unavailable", "57P03")
	// ConnectionLost means that the connection to the peer was lost during the
	// request.
	ConnectionLost = newKind("connection_lost", "08006")
	// NotConfirmed means that the write ran but was not confirmed.
	NotConfirmed = newKind("not_confirmed", "40003")
	// WriteLost means that a promotion lost a write of this session.
	WriteLost = newKind("write_lost", "40001")
	// BadRequest means that the caller's message or directive is malformed.
	BadRequest = newKind("bad_request", "08P01")
	// UnknownKind and VersionNotInService mean that the declared schema does not
	// allow the request.
	UnknownKind         = newKind("unknown_kind", "42704")
	VersionNotInService = newKind("version_not_in_service", "0A000")
	// Unsupported means that the proxy does not support the request.
	Unsupported = newKind("unsupported", "0A000")
	// NotOwner means that another group owns the record according to the home's
	// configuration. The entry updates its configuration and routes the request
	// again, so a caller sees this error only at its deadline.
	NotOwner = newKind("not_owner", "57P03")
	// Held means that the record is about to move to another group; the caller
	// should retry soon.
	Held = newKind("held", "55P03")
	// HoldRefused and ClaimLost are a home's answers to a daemon that carries out a
	// takeover: the hold has ended, or another daemon has claimed the takeover.
	HoldRefused = newKind("hold_refused", "55000")
	ClaimLost   = newKind("claim_lost", "55000")
	// OnceRepeated means that a request with this once key has already run and that
	// its rows were not kept.
	OnceRepeated = newKind("once_repeated", "23505")
	// Authentication means that the user or the password is wrong.
	Authentication = newKind("authentication", "28P01")
	// ShuttingDown means that the daemon is stopping as planned.
	ShuttingDown = newKind("shutting_down", "57P01")
	// Internal is a fault in limpetspan itself.
	Internal = newKind("internal", "XX000")
)

// Error is a failure with its outcome, step and peer.
type Error struct {
	Kind    *Kind
	Outcome core.Outcome
	// Step is the step of the request's path, such as "entry.route" or
	// "home.queue".
	Step string
	// Peer is the daemon, member or address at the other end.
	Peer string
	// RetryAfter is the time after which the caller should retry; 0 means that it
	// is not known.
	RetryAfter time.Duration
	// Hint is the daemon that is believed to be the home; it is set only for
	// NotHome.
	Hint core.DaemonID
	// errorxErr is the errorx error, whose type is Kind.Type.
	errorxErr *errorx.Error
	// cause is the wrapped error, or nil.
	cause error
}

// New returns an error of the kind.
func New(kind *Kind, outcome core.Outcome, step, peer, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: outcome, Step: step, Peer: peer, errorxErr: kind.Type.New(format, args...)}
}

// Wrap returns an error of the kind that was caused by err.
func Wrap(err error, kind *Kind, outcome core.Outcome, step, peer, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: outcome, Step: step, Peer: peer, errorxErr: kind.Type.Wrap(err, format, args...), cause: err}
}

// WithRetryAfter sets RetryAfter.
func (e *Error) WithRetryAfter(d time.Duration) *Error { e.RetryAfter = d; return e }

// Message returns the text without the outcome, for the MESSAGE field of an
// ErrorResponse.
func (e *Error) Message() string { return e.errorxErr.Message() }

// Detail returns the text of the DETAIL field of an ErrorResponse: outcome=… step=…
// peer=… and, if known, retry_after_ms=….
func (e *Error) Detail() string {
	var b strings.Builder
	fmt.Fprintf(&b, "outcome=%s step=%s peer=%s", e.Outcome, e.Step, orDash(e.Peer))
	if e.RetryAfter > 0 {
		fmt.Fprintf(&b, " retry_after_ms=%d", e.RetryAfter.Milliseconds())
	}
	return b.String()
}

func (e *Error) Error() string { return e.errorxErr.Error() + " (" + e.Detail() + ")" }

// Unwrap returns the errorx error and the cause. The cause is listed separately
// because errorx hides it from errors.Is and errors.As, which would not find a
// wrapped context.DeadlineExceeded.
func (e *Error) Unwrap() []error {
	if e.cause == nil {
		return []error{e.errorxErr}
	}
	return []error{e.errorxErr, e.cause}
}

// As returns err as an *Error, or wraps it as Internal with an unknown outcome.
func As(err error) *Error {
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return Wrap(err, Internal, core.OutcomeUnknown, "internal", "", "unexpected failure")
}

// Is reports whether err is of the kind.
func Is(err error, kind *Kind) bool {
	e, ok := errors.AsType[*Error](err)
	return ok && e.Kind == kind
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
