package group

import (
	"time"

	"limpetspan/core"
)

// Counters count events since the reducer was created.
type Counters struct {
	Arrived       uint64 `json:"arrived"`
	Dispatched    uint64 `json:"dispatched"`
	Acknowledged  uint64 `json:"acknowledged"`
	Failed        uint64 `json:"failed"`
	Shed          uint64 `json:"shed"`
	Retried       uint64 `json:"retried"`
	ReadsReplica  uint64 `json:"reads_replica"`
	ReadsPrimary  uint64 `json:"reads_primary"`
	ReadsWaited   uint64 `json:"reads_waited"`
	Held          uint64 `json:"held"`
	WritesLost    uint64 `json:"writes_lost"`
	Probes        uint64 `json:"probes"`
	ProbeFailures uint64 `json:"probe_failures"`
	ConnsOpened   uint64 `json:"conns_opened"`
	ConnsLost     uint64 `json:"conns_lost"`
	PinsExpired   uint64 `json:"pins_expired"`
	// PlacesReleased counts dispatches to places that silent statements hold.
	PlacesReleased uint64 `json:"places_released"`
	Claims         uint64 `json:"claims"`
	StepDowns      uint64 `json:"step_downs"`
	Handovers      uint64 `json:"handovers"`
}

// MemberSnapshot is the reducer's state of one member.
type MemberSnapshot struct {
	ID   core.MemberID `json:"id"`
	Zone core.Zone     `json:"zone"`
	Role string        `json:"role"`
	Term core.Term     `json:"term"`
	// Position is the last known applied position in the current leadership.
	Position core.Position `json:"position"`
	Serving  bool          `json:"serving"`
	Leaving  bool          `json:"leaving"`
	// Delay is how long after a write the replica is expected to have it.
	Delay time.Duration `json:"delay_ns"`
	// Behind is for how long the replica has been known to lack a write.
	Behind time.Duration `json:"behind_ns"`
	// ProbeAge is the time since the last answered probe was sent, or -1 if none
	// was answered.
	ProbeAge    time.Duration `json:"probe_age_ns"`
	Failures    int           `json:"failures"`
	Connections int           `json:"connections"`
	Idle        int           `json:"idle"`
	Pinned      int           `json:"pinned"`
	Running     int           `json:"running"`
	Service     time.Duration `json:"service_ns"`
}

// Snapshot is the state of a group after the last event, for operators.
type Snapshot struct {
	Group core.GroupID `json:"group"`
	Phase string       `json:"phase"`
	// Home is set while this daemon is home, Serving while it may serve requests.
	Home     bool          `json:"home"`
	Serving  bool          `json:"serving"`
	Draining bool          `json:"draining,omitempty"`
	Term     core.Term     `json:"term"`
	Primary  core.MemberID `json:"primary,omitempty"`
	// LeaseLeft is the remaining time of the term lease. It is zero or negative
	// if the lease has expired.
	LeaseLeft time.Duration `json:"lease_left_ns"`
	// KnownHome and KnownTerm are the last known other home and its term.
	KnownHome   core.DaemonID    `json:"known_home,omitempty"`
	KnownTerm   core.Term        `json:"known_term,omitempty"`
	Revision    uint64           `json:"revision"`
	Members     []MemberSnapshot `json:"members"`
	Connections int              `json:"connections"`
	Closing     int              `json:"closing"`
	Budget      int              `json:"budget"`
	Queued      int              `json:"queued"`
	Delayed     int              `json:"delayed"`
	Held        int              `json:"held"`
	Requests    int              `json:"requests"`
	// Sessions counts the session positions held in memory.
	Sessions int           `json:"sessions"`
	Floor    core.Position `json:"floor"`
	Counters Counters      `json:"counters"`
}

// Snapshot returns a copy of the group's state.
func (g *Group) Snapshot() Snapshot {
	s := Snapshot{
		Group: g.id, Phase: phaseNames[g.phase], Revision: g.revision,
		Home: g.leadership.term != 0, Serving: g.mayServe(), Draining: g.drain.requested,
		Term: g.leadership.term, KnownHome: g.knownHome.daemon, KnownTerm: g.knownHome.term,
		Connections: len(g.conns), Closing: len(g.closing), Budget: g.budget(),
		Queued: g.writes.len() + g.reads.len(), Delayed: len(g.delayed), Held: len(g.held),
		Requests: len(g.requests), Sessions: len(g.sessions.byHash),
		Floor: g.sessions.floor, Counters: g.counters,
	}
	if g.leadership.term != 0 {
		s.Primary = g.leadership.primary.ID
		s.LeaseLeft = g.leadership.leaseUntil.Sub(g.now)
	}
	for _, m := range g.members {
		s.Members = append(s.Members, g.memberSnapshot(m))
	}
	return s
}

func (g *Group) memberSnapshot(m *member) MemberSnapshot {
	s := MemberSnapshot{
		ID: m.ID, Zone: m.Zone, Role: m.role.String(), Term: m.term, Position: m.position,
		Serving: g.isServing(m), Leaving: m.leaving(), Delay: m.lag.expectedDelay(), Behind: m.lag.behind(g.now),
		ProbeAge: -1, Failures: m.failures, Connections: m.conns, Idle: len(m.idle),
		Pinned: m.pinned, Running: m.running, Service: m.serviceTime,
	}
	if m.reported {
		s.ProbeAge = g.now.Sub(m.reportedAt)
	}
	return s
}
