// Package fleet is what a daemon knows about the other daemons: who lives
// where, who is home of which group, which targets are leaving and which
// configuration is in force. Package gossip keeps it up to date.
package fleet

import (
	"limpetspan/core"
)

// State is a daemon's state as seen by the fleet.
type State uint8

// The states of a daemon.
const (
	StateAlive State = iota
	// StateSuspect: missed probes; still counted as alive for the choice of homes.
	StateSuspect
	// StateLeaving: stopping in a planned way; gets no new homes.
	StateLeaving
	StateDead
)

// Daemon is one limpetspand process.
type Daemon struct {
	ID     core.DaemonID
	Zone   core.Zone
	Region core.Region
	// PeerAddr takes yamux connections, GossipAddr datagrams, OperatorAddr HTTP.
	PeerAddr     string
	GossipAddr   string
	OperatorAddr string
	State        State
	// Incarnation rises when the daemon refutes a suspicion or restarts.
	Incarnation uint64
	// ConfigRevision is the configuration the daemon last said to have in force.
	ConfigRevision uint64
}

// Home says which daemon is home of a group; the higher term is the newer news.
type Home struct {
	Group    core.GroupID
	Term     core.Term
	Daemon   core.DaemonID
	Primary  core.MemberID
	Released bool
}

// Change tells a subscriber what changed; several may be set.
type Change struct {
	Membership bool
	// Homes are the groups whose home news changed.
	Homes []core.GroupID
	// Candidates are the groups whose candidates for the home changed.
	Candidates []core.GroupID
	// Leaving: the set of leaving target hosts changed.
	Leaving bool
	// ConfigRevision is the highest revision a peer offers, when it rose.
	ConfigRevision uint64
	// ConfigPeer is a peer that has ConfigRevision.
	ConfigPeer core.DaemonID
}

// View is the daemon's view of the fleet. All methods may be called from any
// goroutine; the returned slices must not be changed.
type View interface {
	Self() Daemon
	// Daemons are all known daemons that are not dead, self included, by id.
	Daemons() []Daemon
	// Home returns the newest news of a group's home.
	Home(group core.GroupID) (Home, bool)
	// AnnounceHome spreads news of a home to the fleet.
	AnnounceHome(Home)
	// AnnounceConfig spreads that this daemon has a revision in force.
	AnnounceConfig(revision uint64)
	// AnnounceLeaving spreads whether a target host (its address) is leaving.
	AnnounceLeaving(addr string, leaving bool)
	// TargetLeaving reports whether a target host is known to be leaving.
	TargetLeaving(addr string) bool
	// Leave spreads that this daemon stops.
	Leave()
	// Subscribe calls f, never concurrently, after each change.
	Subscribe(f func(Change))
}
