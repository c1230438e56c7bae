package membership

import (
	"net/netip"
	"time"

	"limpetspan/core"
)

// State is a daemon's state in this view. Within one incarnation a higher state
// supersedes a lower one.
type State uint8

// The states of a daemon.
const (
	Alive State = iota
	// Suspect failed to answer probes. It still counts as alive when homes are
	// chosen.
	Suspect
	// Leaving is shutting down as planned; it gets no new homes.
	Leaving
	Dead
)

// Daemon is the record of one daemon.
type Daemon struct {
	ID     core.DaemonID `json:"id"`
	Zone   core.Zone     `json:"zone"`
	Region core.Region   `json:"region"`
	// PeerAddr, GossipAddr and OperatorAddr have the form IP:port.
	PeerAddr     string `json:"peer_addr"`
	GossipAddr   string `json:"gossip_addr"`
	OperatorAddr string `json:"operator_addr"`
	// Weight multiplies the share of homes. 0 counts as 1, the maximum is
	// MaxWeight.
	Weight uint32 `json:"weight,omitempty"`
	State  State  `json:"state,omitempty"`
	// Incarnation rises with each restart and each refuted suspicion.
	Incarnation uint64 `json:"incarnation"`
	// ConfigRevision is the revision that the daemon last reported as in force.
	// It is learned from the daemon's own messages only, so it may be outdated.
	ConfigRevision uint64 `json:"config_revision,omitempty"`
}

// Home names the daemon that serves a group. The higher term is newer; within a
// term, the release is newer.
type Home struct {
	Group    core.GroupID  `json:"group"`
	Term     core.Term     `json:"term"`
	Daemon   core.DaemonID `json:"daemon"`
	Primary  core.MemberID `json:"primary"`
	Released bool          `json:"released,omitempty"`
}

// Target states whether a target host is leaving; the higher version is newer.
type Target struct {
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving"`
	Version uint64 `json:"version"`
	// TTL is the time for which the entry is still kept.
	TTL time.Duration `json:"ttl"`
}

// Group is a configured database group, with the zones of its members.
type Group struct {
	ID    core.GroupID `json:"id"`
	Zones []core.Zone  `json:"zones,omitempty"`
}

// Limits on received data, so that a faulty or malicious sender can neither
// exhaust the memory nor cause a message that exceeds a datagram.
const (
	// MaxDatagramBytes bounds an encoded message with its envelope.
	MaxDatagramBytes = 1200
	// MaxNameBytes bounds identifiers, zones, regions and addresses.
	MaxNameBytes = 64
	// MaxWeight bounds Daemon.Weight.
	MaxWeight = 16
	// MaxDaemons, MaxHomes and MaxTargets bound the entries of one view.
	MaxDaemons = 16384
	MaxHomes   = 32768
	MaxTargets = 8192
	// maxVersion bounds incarnations, terms and versions, so that a higher one
	// always exists.
	maxVersion = 1 << 62
)

// Settings are the timings and sizes of the protocol.
type Settings struct {
	// ProbeInterval is the time between two probes by one daemon.
	ProbeInterval time.Duration
	// AckTimeout is the time after which helpers are asked to probe.
	AckTimeout time.Duration
	// ProbeTimeout is the time after which an unanswered probe has failed.
	ProbeTimeout time.Duration
	// Helpers is the number of daemons asked for an indirect probe.
	Helpers int
	// SuspicionMultiplier times log10(daemons) times ProbeInterval is the time
	// that a suspect has to refute the suspicion.
	SuspicionMultiplier int
	// GossipInterval is the time between two gossip rounds, Fanout the number of
	// receivers per round.
	GossipInterval time.Duration
	Fanout         int
	// RetransmitMultiplier times log10(daemons) is how often a daemon sends an
	// update, but it sends it at least minTransmissions times. A share of
	// e^-transmissions of the fleet still misses the update and receives it after a
	// digest comparison.
	RetransmitMultiplier int
	// UpdateBytesPerSecond limits the updates that a daemon sends, beyond a burst
	// of UpdateBurstBytes: when a zone or a region is lost, dissemination slows
	// down instead of using more bandwidth. With the defaults a daemon sends and
	// receives 8 KB/s over the worst minute.
	UpdateBytesPerSecond int
	UpdateBurstBytes     int
	// SyncInterval is the time between two digest comparisons.
	SyncInterval time.Duration
	// PullInterval is the time between two pulls of differing buckets while a
	// daemon catches up after its start, SlowPullInterval at other times.
	PullInterval     time.Duration
	SlowPullInterval time.Duration
	// DiscoveryInterval is the time between two attempts to reach a seed or a
	// dead daemon that may have returned.
	DiscoveryInterval time.Duration
	// DeadRetention is how long a dead daemon and its address are remembered. It
	// must exceed the longest partition of regions that has to heal automatically.
	DeadRetention time.Duration
	// TargetRetention is how long the entry of a leaving target is kept.
	TargetRetention time.Duration
}

// DefaultSettings returns the settings for a fleet of some 1,700 daemons in four
// regions.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:        time.Second,
		AckTimeout:           400 * time.Millisecond,
		ProbeTimeout:         time.Second,
		Helpers:              3,
		SuspicionMultiplier:  4,
		GossipInterval:       200 * time.Millisecond,
		Fanout:               3,
		RetransmitMultiplier: 3,
		UpdateBytesPerSecond: 2400,
		UpdateBurstBytes:     96 << 10,
		SyncInterval:         5 * time.Second,
		PullInterval:         100 * time.Millisecond,
		SlowPullInterval:     time.Second,
		DiscoveryInterval:    5 * time.Second,
		DeadRetention:        3 * time.Hour,
		TargetRetention:      24 * time.Hour,
	}
}

// member is the state of one daemon, which may be this one.
type member struct {
	Daemon
	addr netip.AddrPort
	// recordHash is the hash of the fields that change only on a restart.
	recordHash uint32
	// entryHash is the member's contribution to the digest; zero while dead.
	entryHash uint64
	broadcastState
	// liveIndex, deadIndex and suspectIndex are the positions in the Reducer's
	// lists live, dead and suspects; -1 if absent.
	liveIndex, deadIndex, suspectIndex int
	// stateSince is when the member entered its state.
	stateSince core.Time
	// leftPlanned is set for a daemon that died while leaving and will not return.
	leftPlanned bool
	// announceFull is set while the update to be sent is the whole record.
	announceFull bool
}

type home struct {
	Home
	entryHash uint64
	broadcastState
}

type target struct {
	Target
	expires   core.Time
	entryHash uint64
	broadcastState
}
