package membership

import (
	"net/netip"

	"limpetspan/core"
)

// Event is one input of the reducer.
type Event interface{ event() }

// Start is the first event.
type Start struct {
	// Self is this daemon; its Incarnation must be above that of its last
	// life, such as the wall clock in milliseconds.
	Self Daemon `json:"self"`
	// Seeds are gossip addresses of other daemons, from the settings.
	Seeds    []netip.AddrPort `json:"seeds,omitempty"`
	Seed     uint64           `json:"seed"`
	Settings Settings         `json:"settings"`
}

// Received is a message from another daemon.
type Received struct {
	From    netip.AddrPort `json:"from"`
	Message *Message       `json:"message"`
}

// Hosts is the platform's host list, as gossip addresses. It lags: it only
// adds addresses that are worth a try.
type Hosts struct {
	Addrs []netip.AddrPort `json:"addrs"`
}

// SetGroups gives the configured groups.
type SetGroups struct {
	Groups []Group `json:"groups"`
}

// AnnounceHome spreads news of a home.
type AnnounceHome struct {
	Home Home `json:"home"`
}

// AnnounceConfig says that this daemon has a revision in force.
type AnnounceConfig struct {
	Revision uint64 `json:"revision"`
}

// AnnounceTarget spreads whether a target host is leaving.
type AnnounceTarget struct {
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving"`
}

// Leave says that this daemon stops.
type Leave struct{}

// Tick passes time; sent at the latest at Effects.WakeAt.
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

// Change is what an event changed in the view.
type Change struct {
	// Membership: a daemon appeared, died, leaves or moved.
	Membership bool `json:"membership,omitempty"`
	// Homes are the groups with new news of their home.
	Homes []core.GroupID `json:"homes,omitempty"`
	// Candidates are the groups whose list of candidates changed.
	Candidates []core.GroupID `json:"candidates,omitempty"`
	// Targets: the set of leaving targets changed.
	Targets bool `json:"targets,omitempty"`
	// ConfigRevision above this daemon's own is offered by ConfigPeer. The
	// offer is repeated, about once a second, until the revision is announced
	// here, so that a fetch that failed is tried again with another peer.
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

// Log is a decision worth an operator's attention.
type Log struct {
	Message string        `json:"message"`
	Daemon  core.DaemonID `json:"daemon,omitempty"`
	Zone    core.Zone     `json:"zone,omitempty"`
}

// Effects is what the shell is to do after one event. The order between its
// parts does not matter. Its memory is reused by Reset.
type Effects struct {
	Sends  []Send    `json:"sends,omitempty"`
	Change Change    `json:"change"`
	Logs   []Log     `json:"logs,omitempty"`
	WakeAt core.Time `json:"wake_at"`
}

// Reset empties the effects and keeps their memory.
func (e *Effects) Reset() {
	e.Sends = e.Sends[:0]
	e.Change = Change{Homes: e.Change.Homes[:0], Candidates: e.Change.Candidates[:0]}
	e.Logs = e.Logs[:0]
	e.WakeAt = 0
}

// send returns the message of a new Send, valid until the next call.
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
