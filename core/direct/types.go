package direct

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/auth"
)

// Consistency is the consistency level of a route's reads.
type Consistency uint8

// The consistency levels of a route.
const (
	// PrimaryReads see every acknowledged commit: they run on the primary.
	PrimaryReads Consistency = iota
	// BoundedAge reads may miss commits that are younger than the route's MaxAge.
	BoundedAge
	// ReadYourWrites is BoundedAge, except that a session sees all its own commits.
	ReadYourWrites
)

// Route describes how the statements for one database are served.
type Route struct {
	Database    string
	Group       core.GroupID
	Consistency Consistency
	// MaxAge bounds the age of reads; it is unused for PrimaryReads.
	MaxAge time.Duration
	// StatementTimeout bounds one statement.
	StatementTimeout time.Duration
	// LatencyGoal is the time within which an operation should be answered; a later answer is of
	// less use to the caller.
	LatencyGoal time.Duration
	// Priority orders waiting statements; 0 is served first.
	Priority int
	// Public is set if callers need no key.
	Public bool
}

// GroupSpec is the configuration of a database group.
type GroupSpec struct {
	ID core.GroupID
	// MaxConns is the number of connections that a member accepts from all daemons together.
	MaxConns int
	// SyncReplicas is the number of replicas that must receive a commit before it is acknowledged.
	SyncReplicas int
}

// Catalog is one complete, accepted configuration.
type Catalog struct {
	Version uint64
	Routes  map[string]Route
	Groups  map[core.GroupID]GroupSpec
	// IdleTransaction is the time after which a transaction without a statement may be ended.
	IdleTransaction time.Duration
	// Teams are the callers' teams; nil if the configuration has none.
	Teams *auth.Directory
	// Problems describe the parts of the configuration that could not be used. They contain no
	// keys.
	Problems []string
}

// Member is a target as the host list describes it.
type Member struct {
	ID    core.MemberID
	Group core.GroupID
	Addr  string
	Zone  core.Zone
	// Slots is the number of statements that the member runs concurrently.
	Slots int
	// Leaving is set before a planned stop.
	Leaving bool
	// Role is the role that the member claims for itself; it lags behind a promotion.
	Role core.Role
	// Started is the start time of the member's process by the member's own clock; 0 if unknown. It
	// distinguishes incarnations of the member and is compared with nothing else.
	Started int64
	// Unreadable is set if the entry could not be parsed; only ID and Group are valid then.
	Unreadable bool
}

// Status is a member's answer to a probe.
type Status struct {
	Role core.Role
	// Term is the newest term that the member knows.
	Term core.Term
	// Position is the end of the log that the member has received.
	Position core.Position
	// FencedTerm is the term of the fence on the member; 0 if it is not fenced.
	FencedTerm core.Term
	// Lag is the delay with which the member applies its log.
	Lag time.Duration
	// RunningStatements counts the statements of all daemons that are running on the member.
	RunningStatements int
	// Conns counts the open connections of all daemons.
	Conns int
}
