package direct

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/auth"
)

// Consistency is what the reads of a route may miss.
type Consistency uint8

// The consistencies of a route.
const (
	// PrimaryReads see every acknowledged commit: they run on the primary.
	PrimaryReads Consistency = iota
	// BoundedAge reads may miss commits that are younger than the route's MaxAge.
	BoundedAge
	// ReadYourWrites is BoundedAge, and a session sees all its own commits.
	ReadYourWrites
)

// Route says how the statements for one database are served.
type Route struct {
	Database    string
	Group       core.GroupID
	Consistency Consistency
	// MaxAge bounds the age of reads; unused for PrimaryReads.
	MaxAge time.Duration
	// StatementTimeout bounds one statement.
	StatementTimeout time.Duration
	// LatencyAim is how long an operation may take at full value to the caller.
	LatencyGoal time.Duration
	// Priority orders waiting statements; 0 goes first.
	Priority int
	// Public says that callers need no key.
	Public bool
}

// GroupSpec is what the configuration says of a database group.
type GroupSpec struct {
	ID core.GroupID
	// MaxConns is what a member accepts from all daemons together.
	MaxConns int
	// SyncReplicas is how many replicas have received a commit before it is acknowledged.
	SyncReplicas int
}

// Catalog is one accepted configuration, whole.
type Catalog struct {
	Version uint64
	Routes  map[string]Route
	Groups  map[core.GroupID]GroupSpec
	// IdleTransaction is after how long a transaction without a statement may be ended.
	IdleTransaction time.Duration
	// Teams are the callers' teams; nil: the configuration names none.
	Teams *auth.Directory
	// Problems are what could not be used of it, in words without any key.
	Problems []string
}

// Member is a target as the host list knows it.
type Member struct {
	ID    core.MemberID
	Group core.GroupID
	Addr  string
	Zone  core.Zone
	// Slots is how many statements the member runs at once.
	Slots int
	// Leaving is set before a planned stop.
	Leaving bool
	// Role is the member's own view, which lags behind a promotion.
	Role core.Role
	// Started is when the member's process has started, by its own time of day; 0: it
	// does not say. It tells one life of the member from another and is compared with
	// nothing else.
	Started int64
	// Unreadable says that the entry could not be read; only ID and Group are set then.
	Unreadable bool
}

// Status is a member's answer to a probe.
type Status struct {
	Role core.Role
	// Term is the newest leadership that the member knows.
	Term core.Term
	// Position is the end of the log that the member has received.
	Position core.Position
	// FencedTerm is the term of the fence that holds the member back; 0: none.
	FencedTerm core.Term
	// Lag is how far applying is behind.
	Lag time.Duration
	// Busy is how many statements of all daemons are running.
	RunningStatements int
	// Conns is how many connections of all daemons are open.
	Conns int
}
