package membership

import (
	"net/netip"

	"limpetspan/core"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Start is the first event.
type Start struct {
	// Self is this daemon. Its Incarnation must be higher than that of its
	// previous run, for example the wall clock in milliseconds.
	Self Daemon `json:"self"`
	// Seeds are the configured gossip addresses of other daemons.
	Seeds    []netip.AddrPort `json:"seeds,omitempty"`
	Seed     uint64           `json:"seed"`
	Settings Settings         `json:"settings"`
}

// Received is a message from another daemon.
type Received struct {
	From    netip.AddrPort `json:"from"`
	Message *Message       `json:"message"`
}

// Hosts is the platform's host list, as gossip addresses. The list lags behind,
// so it only adds addresses to try.
type Hosts struct {
	Addrs []netip.AddrPort `json:"addrs"`
}

// SetGroups replaces the configured groups.
type SetGroups struct {
	Groups []Group `json:"groups"`
}

// AnnounceHome disseminates the home of a group.
type AnnounceHome struct {
	Home Home `json:"home"`
}

// AnnounceConfig records that this daemon has a revision in force.
type AnnounceConfig struct {
	Revision uint64 `json:"revision"`
}

// AnnounceTarget disseminates whether a target host is leaving.
type AnnounceTarget struct {
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving"`
}

// Leave announces that this daemon is shutting down.
type Leave struct{}

// Tick runs the actions that are due. It is sent at Effects.WakeAt at the latest.
type Tick struct{}

func (*Start) event()          {}
func (*Received) event()       {}
func (*Hosts) event()          {}
func (*SetGroups) event()      {}
func (*AnnounceHome) event()   {}
func (*AnnounceConfig) event() {}
func (*AnnounceTarget) event() {}
func (*Leave) event()          {}
func (*Tick) event()           {}

// Send is a message to be sent; it may be lost.
type Send struct {
	To      netip.AddrPort `json:"to"`
	Message Message        `json:"message"`
}

// Change describes what an event changed in the view.
type Change struct {
	// Membership is set when the state or the record of a daemon changed.
	Membership bool `json:"membership,omitempty"`
	// Homes are the groups whose home changed.
	Homes []core.GroupID `json:"homes,omitempty"`
	// Candidates are the groups whose list of candidates changed.
	Candidates []core.GroupID `json:"candidates,omitempty"`
	// Targets is set when the set of leaving targets changed.
	Targets bool `json:"targets,omitempty"`
	// ConfigRevision is a revision above this daemon's own that ConfigPeer has
	// in force. It is offered about once a second until it is announced here, so
	// that a failed fetch is retried with another peer.
	ConfigRevision uint64        `json:"config_revision,omitempty"`
	ConfigPeer     core.DaemonID `json:"config_peer,omitempty"`
}

// IsEmpty reports whether nothing changed.
func (c *Change) IsEmpty() bool {
	return !c.Membership && len(c.Homes) == 0 && len(c.Candidates) == 0 && !c.Targets && c.ConfigRevision == 0
}

// The messages of Log.
const (
	LogSuspected   = "daemon suspected"
	LogDead        = "daemon dead"
	LogLeft        = "daemon left"
	LogRefuted     = "suspicion of this daemon refuted"
	LogDuplicateID = "another daemon uses this id, or did before a restart"
)

// Log is a decision to be logged for operators.
type Log struct {
	Message string        `json:"message"`
	Daemon  core.DaemonID `json:"daemon,omitempty"`
	Zone    core.Zone     `json:"zone,omitempty"`
}

// Effects is what the shell has to do after one event. The order of its parts
// does not matter. Reset reuses its memory.
type Effects struct {
	Sends  []Send    `json:"sends,omitempty"`
	Change Change    `json:"change"`
	Logs   []Log     `json:"logs,omitempty"`
	WakeAt core.Time `json:"wake_at"`
}

// Reset clears the effects and keeps the allocated memory.
func (e *Effects) Reset() {
	e.Sends = e.Sends[:0]
	e.Change = Change{Homes: e.Change.Homes[:0], Candidates: e.Change.Candidates[:0]}
	e.Logs = e.Logs[:0]
	e.WakeAt = 0
}

// send appends a Send and returns its message, which is valid until the next
// call.
func (e *Effects) send(to netip.AddrPort) *Message {
	if len(e.Sends) < cap(e.Sends) {
		e.Sends = e.Sends[:len(e.Sends)+1]
	} else {
		e.Sends = append(e.Sends, Send{})
	}
	s := &e.Sends[len(e.Sends)-1]
	s.To = to
	s.Message.reset()
	return &s.Message
}
