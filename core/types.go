package core

import "time"

// Time is an instant on the monotonic clock of one process, in nanoseconds
// since an arbitrary origin. Values of different processes must not be compared.
type Time int64

// Add returns the instant d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// GroupID names a database group (a primary and its replicas).
type GroupID string

// MemberID names a target: one member of a database group.
type MemberID string

// TeamID names a team, on whose behalf callers send statements; empty: no team.
type TeamID string

// DaemonID names one limpetspand process.
type DaemonID string

// SessionID names a caller's session. A session may roam between daemons.
type SessionID string

// Zone names an availability zone.
type Zone string

// Region names a region; a region holds several zones.
type Region string

// RequestID identifies a request within one process of a home.
type RequestID uint64

// CallerID identifies a caller connection in the whole fleet: the entry that accepted it, and a
// number that the entry does not reuse while it runs.
type CallerID struct {
	Entry  DaemonID `json:"entry"`
	Number uint64   `json:"number"`
}

// Term is the number of a primary's leadership. Odd terms only fence; a primary
// leads in an even term, see package group.
type Term uint64

// LSN is an offset in a group's log, in bytes.
type LSN uint64

// Position is a point in a group's log: the term in which the log was written there, and the offset.
type Position struct {
	Term Term `json:"term"`
	LSN  LSN  `json:"lsn"`
}

// IsZero reports whether p is the position before any write.
func (p Position) IsZero() bool { return p.Term == 0 && p.LSN == 0 }

// Less orders positions by term, then by offset.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.LSN < q.LSN
}

// Max returns the later of p and q.
func (p Position) Max(q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// TermStart is the offset at which a term's log begins. All log below it was written in earlier
// terms. Whatever an earlier term wrote at or above it is lost.
type TermStart struct {
	Term  Term `json:"term"`
	Start LSN  `json:"start"`
}

// Role is the role of a member in its group.
type Role uint8

// The roles a member reports.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
	// RoleFenced is a member that accepts no writes and replicates from no primary until it is
	// promoted or attached to a primary of a higher term.
	RoleFenced
)

var roleNames = [...]string{"unknown", "primary", "replica", "fenced"}

// String returns the role's name as targets report it.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return "unknown"
}

// ParseRole returns the role with the given name, or RoleUnknown if there is none.
func ParseRole(s string) Role {
	for i, n := range roleNames {
		if n == s {
			return Role(i)
		}
	}
	return RoleUnknown
}

// Status is what a member reports about itself.
type Status struct {
	Term Term `json:"term"`
	Role Role `json:"role"`
	// LSN is the offset up to which the member has applied the log.
	LSN LSN `json:"lsn"`
	// LogTerm is the term in which the last applied record was written.
	LogTerm Term `json:"log_term"`
	// History holds the starts of the latest terms in ascending order.
	History []TermStart `json:"history,omitempty"`
	// Connections counts the open caller-work connections of the member.
	Connections int `json:"connections"`
	// Leaving is set by a member that is shutting down or being removed.
	Leaving bool `json:"leaving"`
}

// Position returns the position up to which the member has applied the log.
func (s Status) Position() Position { return Position{Term: s.LogTerm, LSN: s.LSN} }

// Outcome is what is known about the execution of a request.
type Outcome uint8

// The outcomes reported to callers.
const (
	// OutcomeUnknown means that the statement may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the statement is known not to have run.
	OutcomeNotRun
	// OutcomeRan means that the statement ran.
	OutcomeRan
)

var outcomeNames = [...]string{"unknown", "not_run", "ran"}

// String returns the outcome as it appears in the DETAIL of an error.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Directives are a caller's instructions for a statement, given in a leading SQL comment or in
// session settings. The zero value is the safe default: the primary serves the statement, the
// statement may not be repeated, and it has no deadline of its own.
type Directives struct {
	Session SessionID `json:"session,omitempty"`
	// Kind is the kind of record that the statement accesses; empty: the default route.
	Kind string `json:"kind,omitempty"`
	// Version is the schema version that the statement is written for; empty: not specified.
	Version string `json:"version,omitempty"`
	// Key is the record key, by which the record's bucket is found during a takeover.
	Key string `json:"key,omitempty"`
	// Read declares that the statement writes nothing, so that it may be repeated.
	Read bool `json:"read,omitempty"`
	// MaxStaleness is the staleness that a read accepts; zero: the read must see the session's own
	// writes, while other sessions' writes may be missing by as much as the replica lags.
	MaxStaleness time.Duration `json:"max_staleness,omitempty"`
	// Once is the idempotency key of a statement that must not run twice; empty: none.
	Once string `json:"once,omitempty"`
	// Timeout is how long the caller waits for the statement; zero: the daemon's default.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Traceparent is the value of the W3C trace context header.
	Traceparent string `json:"traceparent,omitempty"`
}
