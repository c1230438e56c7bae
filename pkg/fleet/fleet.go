// Package fleet defines what a daemon knows about the fleet: its daemons and their
// locations, the home of each group, the targets that are leaving, and the
// configuration in force. Package gossip keeps this view up to date.
package fleet

import (
	"limpetspan/core"
)

// State is a daemon's state as the fleet sees it.
type State uint8

// The states of a daemon.
const (
	StateAlive State = iota
	// StateSuspect means that the daemon missed probes. It still counts as alive
	// when homes are chosen.
	StateSuspect
	// StateLeaving means that the daemon is stopping as planned. It gets no new
	// homes.
	StateLeaving
	StateDead
)

// Daemon is one limpetspand process.
type Daemon struct {
	ID     core.DaemonID
	Zone   core.Zone
	Region core.Region
	// PeerAddr accepts yamux connections, GossipAddr datagrams and OperatorAddr
	// HTTP requests.
	PeerAddr     string
	GossipAddr   string
	OperatorAddr string
	State        State
	// Incarnation increases when the daemon refutes a suspicion or restarts.
	Incarnation uint64
	// ConfigRevision is the configuration revision that the daemon last reported as
	// in force.
	ConfigRevision uint64
}

// Home names the daemon that is home of a group. Of two records of a group, the one
// with the higher term is newer.
type Home struct {
	Group    core.GroupID
	Term     core.Term
	Daemon   core.DaemonID
	Primary  core.MemberID
	Released bool
}

// Change describes a change of the view; several fields may be set.
type Change struct {
	Membership bool
	// Homes are the groups whose home record changed.
	Homes []core.GroupID
	// Candidates are the groups whose candidates for the home changed.
	Candidates []core.GroupID
	// Leaving means that the set of leaving target hosts changed.
	Leaving bool
	// ConfigRevision is the highest revision that a peer offers. It is set if that
	// revision rose.
	ConfigRevision uint64
	// ConfigPeer is a peer that has ConfigRevision.
	ConfigPeer core.DaemonID
}

// View is a daemon's view of the fleet. Its methods are safe for concurrent use;
// the returned slices must not be modified.
type View interface {
	Self() Daemon
	// Daemons returns all known daemons that are not dead, including this one,
	// sorted by ID.
	Daemons() []Daemon
	// Home returns the newest known home record of a group.
	Home(group core.GroupID) (Home, bool)
	// AnnounceHome announces a home record to the fleet.
	AnnounceHome(Home)
	// AnnounceConfig announces that this daemon has a revision in force.
	AnnounceConfig(revision uint64)
	// AnnounceLeaving announces whether the target host with this address is
	// leaving.
	AnnounceLeaving(addr string, leaving bool)
	// TargetLeaving reports whether the target host with this address is known to
	// be leaving.
	TargetLeaving(addr string) bool
	// Leave announces that this daemon is stopping.
	Leave()
	// Subscribe registers f, which is called after each change and never
	// concurrently.
	Subscribe(f func(Change))
}
