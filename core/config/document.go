// Package config defines the declared configuration of the fleet: database
// groups, kinds of records with the schema versions in service, and take-overs.
// It is pure: it contains the checks, the differences and the rule that a daemon
// never goes back to a lower revision. Storage and dissemination are in other packages.
package config

import (
	"limpetspan/core"
	"time"
)

// Revision numbers the accepted configurations. It rises by one with each change,
// and a daemon never goes back to a lower one.
type Revision uint64

// Document is one whole configuration. Each decision uses a single Document, so
// that no request sees part of a change. A Document in force is immutable.
type Document struct {
	Revision Revision `json:"revision"`
	// ChangeID is the unique id of the change that created this revision. It shows
	// whether a change took effect when the store's reply was lost.
	ChangeID string `json:"change_id"`
	// Author and Reason are for the history only.
	Author string `json:"author,omitempty"`
	Reason string `json:"reason,omitempty"`
	// DefaultGroup serves statements that name no kind.
	DefaultGroup core.GroupID `json:"default_group"`
	// Groups maps ids to groups.
	Groups map[core.GroupID]*Group `json:"groups"`
	// Kinds maps names to kinds.
	Kinds map[string]*Kind `json:"kinds,omitempty"`
	// Takeovers maps the name of a kind to the take-over that moves it.
	Takeovers map[string]*Takeover `json:"takeovers,omitempty"`
}

// Group declares a database group.
type Group struct {
	Members []Member `json:"members"`
	// MaxConnections bounds the open connections to the whole group from all
	// daemons, including probe connections.
	MaxConnections int `json:"max_connections"`
	// Slots is the number of statements that one member runs concurrently.
	Slots int `json:"slots"`
	// Durable is the default for statements that name no kind: a write is
	// acknowledged only after a second member has confirmed it.
	Durable bool `json:"durable"`
	// Database is the database name on the members.
	Database string `json:"database"`
}

// Member declares one member of a group.
type Member struct {
	ID   core.MemberID `json:"id"`
	Addr string        `json:"addr"`
	Zone core.Zone     `json:"zone"`
	// Leaving marks a member that receives no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Kind declares a kind of record.
type Kind struct {
	// Group serves the kind; an active take-over overrides it by bucket.
	Group core.GroupID `json:"group"`
	// Versions are the schema versions in service. If it is empty, versions are
	// not checked for this kind.
	Versions []string `json:"versions,omitempty"`
	// Durable is the default for statements of this kind, as in Group.
	Durable bool `json:"durable"`
	// MaxStaleness is the staleness that reads of this kind accept if the
	// statement does not specify one.
	MaxStaleness time.Duration `json:"max_staleness,omitempty"`
}

// TakeoverState is the state of a take-over that the operator requested.
type TakeoverState string

// The states of a take-over.
const (
	TakeoverPlanned    TakeoverState = "planned"
	TakeoverRunning    TakeoverState = "running"
	TakeoverPaused     TakeoverState = "paused"
	TakeoverRollback   TakeoverState = "rollback"
	TakeoverComplete   TakeoverState = "complete"
	TakeoverRolledBack TakeoverState = "rolled_back"
)

// Takeover declares the move of one kind of record from a source group and
// version to a destination group and version.
type Takeover struct {
	State              TakeoverState `json:"state"`
	SourceGroup        core.GroupID  `json:"source_group"`
	SourceVersion      string        `json:"source_version"`
	DestinationGroup   core.GroupID  `json:"destination_group"`
	DestinationVersion string        `json:"destination_version"`
	// Buckets is the number of hash buckets for record keys, see Bucket. The
	// tables of both sides store each record's bucket in an integer column, which
	// the statements select by.
	Buckets int `json:"buckets"`
	// ReadSQL reads a page of records of one bucket in key order:
	// $1 bucket, $2 last key seen (empty: from the start), $3 page size. The
	// first column is the record key, the second its change marker.
	ReadSQL string `json:"read_sql"`
	// ChangedSQL reads records of one bucket changed after a marker:
	// $1 bucket, $2 marker, $3 page size; columns as ReadSQL.
	ChangedSQL string `json:"changed_sql"`
	// UpsertSQL writes one record idempotently; its parameters are the columns of
	// ReadSQL in order.
	UpsertSQL string `json:"upsert_sql"`
	// SourceVerifySQL and DestinationVerifySQL return the count and checksum of
	// one bucket: $1 bucket.
	SourceVerifySQL      string `json:"source_verify_sql"`
	DestinationVerifySQL string `json:"destination_verify_sql"`
	// ClearSQL deletes one bucket's records from the destination: $1 bucket.
	// Optional; it allows a bucket that failed verification to be copied again.
	ClearSQL string `json:"clear_sql,omitempty"`
	// Reverse moves flipped buckets back in a rollback. Optional; without it
	// only buckets that have not flipped can be rolled back.
	Reverse *Reverse `json:"reverse,omitempty"`
	// Worker is the claim of the daemon that runs the take-over; only flips under
	// this claim are accepted.
	Worker string `json:"worker,omitempty"`
	// Flipped is the bit set of the buckets owned by the destination.
	Flipped []byte `json:"flipped,omitempty"`
	// Fenced is the bit set of the buckets that currently accept no writes.
	Fenced []byte `json:"fenced,omitempty"`
}

// Reverse holds the statements that move records from a take-over's destination
// back to its source. Each corresponds to the field of the same name in Takeover.
type Reverse struct {
	ReadSQL    string `json:"read_sql"`
	ChangedSQL string `json:"changed_sql"`
	UpsertSQL  string `json:"upsert_sql"`
	ClearSQL   string `json:"clear_sql,omitempty"`
}
