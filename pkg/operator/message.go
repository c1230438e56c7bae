// Package operator is the HTTP interface that a daemon offers to operators on
// its operator address: the paths, the JSON messages and a client. The daemon
// serves them; the operator program asks.
package operator

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/takeover"
)

// Paths of the interface.
const (
	// PathStatus (GET) answers a Status; with the query FleetQuery it includes
	// the daemon's view of the fleet.
	PathStatus = "/status"
	FleetQuery = "fleet=true"
	// PathDrain (POST) begins the daemon's planned stop and answers 202.
	PathDrain = "/drain"
	// PathVerify (POST, query kind=KIND) compares both sides of a take-over
	// bucket by bucket and answers a Verification.
	PathVerify = "/takeover/verify"
)

// Status is what a daemon says about itself.
type Status struct {
	ID     core.DaemonID `json:"id"`
	Zone   core.Zone     `json:"zone"`
	Region core.Region   `json:"region,omitempty"`
	// State is alive or leaving.
	State string `json:"state"`
	// ConfigRevision and ConfigChangeID name the configuration in force.
	ConfigRevision uint64 `json:"config_revision"`
	ConfigChangeID string `json:"config_change_id,omitempty"`
	// Callers counts open caller connections, InFlight requests that run.
	Callers  int `json:"callers"`
	InFlight int `json:"in_flight"`
	// Homes are the groups this daemon is home of.
	Homes []Home `json:"homes,omitempty"`
	// Versions counts requests by kind and schema version.
	Versions []VersionUse `json:"versions,omitempty"`
	// Takeovers are those this daemon works on.
	Takeovers []TakeoverWork `json:"takeovers,omitempty"`
	// Fleet is the daemon's view of all daemons, itself included; only when asked for.
	Fleet []Peer `json:"fleet,omitempty"`
}

// Home is a group the daemon is home of.
type Home struct {
	Group   core.GroupID  `json:"group"`
	Term    core.Term     `json:"term"`
	Primary core.MemberID `json:"primary"`
}

// VersionUse counts the requests of one schema version in the last window.
type VersionUse struct {
	Kind     string `json:"kind"`
	Version  string `json:"version"`
	Requests int64  `json:"requests"`
	// Window is the time the count covers, in nanoseconds.
	Window time.Duration `json:"window_ns"`
}

// TakeoverWork is a take-over worked on by the daemon.
type TakeoverWork struct {
	Kind string `json:"kind"`
	// Elapsed is the time since this daemon took it up, in nanoseconds.
	Elapsed  time.Duration     `json:"elapsed_ns"`
	Progress takeover.Progress `json:"progress"`
	// LastError is the latest failure of a step, LastStep, which may have been
	// repeated with success since. Empty: none.
	LastError string    `json:"last_error,omitempty"`
	LastStep  string    `json:"last_error_step,omitempty"`
	LastAt    time.Time `json:"last_error_at,omitzero"`
}

// Peer is another daemon as seen by the one asked.
type Peer struct {
	ID           core.DaemonID `json:"id"`
	Zone         core.Zone     `json:"zone"`
	OperatorAddr string        `json:"operator_addr"`
	// State is alive, suspect, leaving or dead.
	State string `json:"state"`
}

// Verification is the result of comparing both sides of a take-over.
type Verification struct {
	Kind    string `json:"kind"`
	Buckets int    `json:"buckets"`
	Equal   int    `json:"equal"`
	// Different are the buckets whose count or checksum differ; while callers
	// write, buckets that are not held may differ for a moment.
	Different []int `json:"different,omitempty"`
}
