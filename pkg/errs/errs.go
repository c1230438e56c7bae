// Package errs is the error of limpetspan: what failed (an errorx type with a
// SQLSTATE), what is known of the statement's execution, and the step and the
// peer at which it arose.
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

// Kind is a class of failure with its SQLSTATE (PostgreSQL, appendix A).
type Kind struct {
	SQLState string
	Type     *errorx.Type
}

// kinds are all classes by name, filled while the package is initialised.
var kinds = make(map[string]*Kind)

func newKind(name, state string) *Kind {
	k := &Kind{SQLState: state, Type: namespace.NewType(name)}
	kinds[k.Name()] = k
	return k
}

// Name is the name under which the kind crosses between daemons.
func (k *Kind) Name() string { return k.Type.FullName() }

// KindByName returns the kind of that name, Internal if there is none, as when
// a newer daemon sends a kind that this one does not know.
func KindByName(name string) *Kind {
	if k, ok := kinds[name]; ok {
		return k
	}
	return Internal
}

// The classes of failure.
var (
	// NotHome: the daemon asked is not the home of the group. Never reaches a caller.
	NotHome = newKind("not_home", "57P03")
	// Overloaded: shed, with the time after which to come back.
	Overloaded = newKind("overloaded", "53300")
	// DeadlineExceeded: the request's deadline passed.
	DeadlineExceeded = newKind("deadline_exceeded", "57014")
	// Cancelled: the caller asked for it.
	Cancelled = newKind("cancelled", "57014")
	// Unavailable: no home or no serving member now.
	Unavailable = newKind("unavailable", "57P03")
	// ConnectionLost: the peer went away during the request.
	ConnectionLost = newKind("connection_lost", "08006")
	// NotConfirmed: the write ran but its confirmation is missing.
	NotConfirmed = newKind("not_confirmed", "40003")
	// WriteLost: a promotion lost a write of this session.
	WriteLost = newKind("write_lost", "40001")
	// BadRequest: the caller's message or directive is malformed.
	BadRequest = newKind("bad_request", "08P01")
	// UnknownKind and VersionNotInService: refused by the declared schema.
	UnknownKind         = newKind("unknown_kind", "42704")
	VersionNotInService = newKind("version_not_in_service", "0A000")
	// Unsupported: the proxy does not carry this.
	Unsupported = newKind("unsupported", "0A000")
	// NotOwner: under the home's configuration another group owns the record; the
	// entry catches up and routes again. Reaches a caller only at its deadline.
	NotOwner = newKind("not_owner", "57P03")
	// Held: the record is about to move to another group; come back soon.
	Held = newKind("held", "55P03")
	// HoldRefused and ClaimLost: answers of a home to a daemon that works a
	// take-over: the hold has ended, or another daemon has the take-over.
	HoldRefused = newKind("hold_refused", "55000")
	ClaimLost   = newKind("claim_lost", "55000")
	// OnceRepeated: the must-not-repeat key has run and its rows are not kept.
	OnceRepeated = newKind("once_repeated", "23505")
	// Authentication: wrong user or password.
	Authentication = newKind("authentication", "28P01")
	// ShuttingDown: planned stop.
	ShuttingDown = newKind("shutting_down", "57P01")
	// Internal: a fault of limpetspan itself.
	Internal = newKind("internal", "XX000")
)

// Error is a failure with its outcome, step and peer.
type Error struct {
	Kind    *Kind
	Outcome core.Outcome
	// Step is the part of the path, such as "entry.route" or "home.queue".
	Step string
	// Peer is the daemon, member or address at the other end.
	Peer string
	// RetryAfter tells the caller when to come back; zero: unsaid.
	RetryAfter time.Duration
	// Hint, for NotHome, is the daemon believed to be home.
	Hint core.DaemonID
	// text is the errorx error, whose type is Kind.Type.
	text *errorx.Error
	// cause is what was wrapped, if anything.
	cause error
}

// New returns an error of the kind.
func New(kind *Kind, outcome core.Outcome, step, peer, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: outcome, Step: step, Peer: peer, text: kind.Type.New(format, args...)}
}

// Wrap returns an error of the kind that was caused by err.
func Wrap(err error, kind *Kind, outcome core.Outcome, step, peer, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: outcome, Step: step, Peer: peer, text: kind.Type.Wrap(err, format, args...), cause: err}
}

// WithRetryAfter sets RetryAfter.
func (e *Error) WithRetryAfter(d time.Duration) *Error { e.RetryAfter = d; return e }

// Message is the text without the outcome, for an ErrorResponse's MESSAGE.
func (e *Error) Message() string { return e.text.Message() }

// Detail is the text of an ErrorResponse's DETAIL:
// outcome=… step=… peer=… and, where known, retry_after_ms=….
func (e *Error) Detail() string {
	var b strings.Builder
	fmt.Fprintf(&b, "outcome=%s step=%s peer=%s", e.Outcome, e.Step, orDash(e.Peer))
	if e.RetryAfter > 0 {
		fmt.Fprintf(&b, " retry_after_ms=%d", e.RetryAfter.Milliseconds())
	}
	return b.String()
}

func (e *Error) Error() string { return e.text.Error() + " (" + e.Detail() + ")" }

// Unwrap gives the errorx error and the cause: errorx hides the cause from
// errors.Is and errors.As, so that a wrapped context.DeadlineExceeded would not
// be found.
func (e *Error) Unwrap() []error {
	if e.cause == nil {
		return []error{e.text}
	}
	return []error{e.text, e.cause}
}

// As returns err as an *Error, or wraps it as Internal with outcome unknown.
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
