package membership

import (
	"net/netip"
	"time"

	"limpetspan/core"
)

// State is a daemon's state as this view knows it. Within one incarnation a
// higher state supersedes a lower one.
type State uint8

// The states of a daemon.
const (
	Alive State = iota
	// Suspect missed probes; still counts as alive for the choice of homes.
	Suspect
	// Leaving stops in a planned way; gets no new homes.
	Leaving
	Dead
)

// Daemon is what the fleet knows of one daemon.
type Daemon struct {
	ID     core.DaemonID `json:"id"`
	Zone   core.Zone     `json:"zone"`
	Region core.Region   `json:"region"`
	// PeerAddr, GossipAddr and OperatorAddr are IP:port texts.
	PeerAddr     string `json:"peer_addr"`
	GossipAddr   string `json:"gossip_addr"`
	OperatorAddr string `json:"operator_addr"`
	// Weight multiplies the share of homes; 0 counts as 1, MaxWeight at most.
	Weight uint32 `json:"weight,omitempty"`
	State  State  `json:"state,omitempty"`
	// Incarnation rises with each restart and each refuted suspicion.
	Incarnation uint64 `json:"incarnation"`
	// ConfigRevision is what the daemon last said to have in force. It is
	// learned from the daemon's own messages only, so it may be old.
	ConfigRevision uint64 `json:"config_revision,omitempty"`
}

// Home is news of a group's home. The higher term is newer; within a term,
// the release is.
type Home struct {
	Group    core.GroupID  `json:"group"`
	Term     core.Term     `json:"term"`
	Daemon   core.DaemonID `json:"daemon"`
	Primary  core.MemberID `json:"primary"`
	Released bool          `json:"released,omitempty"`
}

// Target is news of whether a target host is leaving; the higher version is newer.
type Target struct {
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving"`
	Version uint64 `json:"version"`
	// TTL is how long the news is still kept.
	TTL time.Duration `json:"ttl"`
}

// Group is a configured database group, with the zones of its members.
type Group struct {
	ID    core.GroupID `json:"id"`
	Zones []core.Zone  `json:"zones,omitempty"`
}

// Limits of what is taken in, so that a faulty or hostile sender can neither
// exhaust the memory nor make a message that fits no datagram.
const (
	// MaxDatagramBytes bounds an encoded message with its envelope, in bytes.
	MaxDatagramBytes = 1200
	// MaxNameBytes bounds identifiers, zones, regions and addresses, in bytes.
	MaxNameBytes = 64
	// MaxWeight bounds Daemon.Weight.
	MaxWeight = 16
	// MaxDaemons, MaxHomes and MaxTargets bound the entries of one view.
	MaxDaemons = 16384
	MaxHomes   = 32768
	MaxTargets = 8192
	// maxVersion bounds incarnations, terms and versions, so that a successor
	// always exists.
	maxVersion = 1 << 62
)

// Settings are the timings and sizes of the protocol.
type Settings struct {
	// ProbeInterval is the time between two probes by one daemon.
	ProbeInterval time.Duration
	// AckTimeout is the time after which helpers are asked.
	AckTimeout time.Duration
	// ProbeTimeout is the time after which a probe without answer failed.
	ProbeTimeout time.Duration
	// Helpers is how many daemons probe indirectly.
	Helpers int
	// SuspicionMultiplier times log10(daemons) times ProbeInterval is how long
	// a suspect has to refute.
	SuspicionMultiplier int
	// GossipInterval is the time between two rounds of news, Fanout the number
	// of daemons told in a round.
	GossipInterval time.Duration
	Fanout         int
	// RetransmitMultiplier times log10(daemons) is how often a daemon repeats
	// one piece of news, minTransmissions at least. What a daemon misses all the
	// same, e^-repetitions of the fleet, the digests find.
	RetransmitMultiplier int
	// UpdateBytesPerSecond bounds the news that a daemon sends, beyond UpdateBurstBytes
	// bytes: when a zone or a region is lost, news gets slower and not dearer.
	// Sent and received, the defaults make 8 KB/s over the worst minute.
	UpdateBytesPerSecond int
	UpdateBurstBytes     int
	// SyncInterval is the time between two comparisons of digests.
	SyncInterval time.Duration
	// PullInterval is the time between two fetches of differing buckets while a
	// daemon catches up after its start, SlowPullInterval at other times.
	PullInterval     time.Duration
	SlowPullInterval time.Duration
	// DiscoveryInterval is the time between two attempts to reach a seed or a
	// dead daemon that may have come back.
	DiscoveryInterval time.Duration
	// DeadRetention is how long a dead daemon and its address are remembered;
	// it must exceed the longest separation of regions that is to heal by itself.
	DeadRetention time.Duration
	// TargetRetention is how long news of a leaving target is kept.
	TargetRetention time.Duration
}

// DefaultSettings are the timings for a fleet of the planned size.
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

// member is one other daemon, or this one.
type member struct {
	Daemon
	addr netip.AddrPort
	// recordHash is the hash of the fields that only a restart changes.
	recordHash uint32
	// entryHash is the entry's part of the digest; zero while dead.
	entryHash uint64
	broadcastState
	// liveIndex, deadIndex and suspectIndex are the positions in the Reducer's lists
	// live, dead and suspects; -1: none.
	liveIndex, deadIndex, suspectIndex int
	// stateSince is when the state was entered.
	stateSince core.Time
	// leftPlanned is set for a daemon that died while leaving: it will not come back.
	leftPlanned bool
	// announceFull is set while the news to be spread is the whole record.
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
