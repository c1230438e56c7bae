package group

import (
	"time"

	"limpetspan/core"
)

// vote is a member's answer in the current ballot.
type vote uint8

const (
	votePending vote = iota
	// voteFenced: the member accepted this ballot's fence.
	voteFenced
	// voteTied: another candidate has already fenced the member at this ballot's
	// term. The answer does not count as a vote, but the member's position no
	// longer changes.
	voteTied
	// voteRefused: the member is at a higher term, or at this one without being
	// fenced.
	voteRefused
	// voteFailed: the member did not answer.
	voteFailed
)

// member is the reducer's state of one target.
type member struct {
	Member
	// removed marks a member that is no longer in the configuration. Its
	// connections are closed when they become idle.
	removed bool

	// The last report: when its probe was sent, and its contents. reported is
	// set once there is one; a new claim clears it.
	reportedAt core.Time
	reported   bool
	term       core.Term
	role       core.Role
	// connections and reportedPosition are used by claims.
	connections      int
	reportedPosition core.Position
	// stopping is set while the member itself reports that it is shutting down.
	stopping bool
	// roundTrip is the smoothed round-trip time of answered probes.
	roundTrip time.Duration
	// failures counts failed probes since the last answer.
	failures int
	// position is the position that the member has applied in the current
	// leadership, as of positionAt. It is valid if positionKnown is set.
	position      core.Position
	positionKnown bool
	positionAt    core.Time
	// leaseProbeAt is when the last probe was sent whose answer counts towards
	// the lease.
	leaseProbeAt core.Time
	// termMismatchSince is when the member began to report a term above the
	// leadership's, or a lower one in which it cannot follow the primary; zero:
	// it does neither.
	termMismatchSince core.Time
	// connLostAt is when a connection to the member was last lost.
	connLostAt core.Time
	// foreignConns counts the member's work connections that are not this home's.
	foreignConns int

	probe probeState
	lag   lagModel

	vote       vote
	voteStatus core.Status

	// conns counts this home's connections to the member; opening, running and
	// pinned count those that are being opened, run a statement or are pinned.
	// idle lists the idle ones.
	conns   int
	opening int
	running int
	pinned  int
	idle    []*conn
	// After a failed attempt no connection is opened before openNotBefore, and
	// openBackoff is the current backoff.
	openNotBefore core.Time
	openBackoff   time.Duration
	// silentFrom is the earliest time at which a statement that was running at the last check can be
	// silent.
	silentFrom core.Time
	// serviceTime is the smoothed execution time of a statement.
	serviceTime time.Duration
}

// leaving reports whether the member must not receive new work.
func (m *member) leaving() bool { return m.Leaving || m.stopping || m.removed }

func (g *Group) member(id core.MemberID) *member {
	for _, m := range g.members {
		if m.ID == id && !m.removed {
			return m
		}
	}
	return nil
}

// size returns the number of configured members.
func (g *Group) size() int {
	n := 0
	for _, m := range g.members {
		if !m.removed {
			n++
		}
	}
	return n
}

// majority returns the size of a majority. Any two majorities share a member.
func (g *Group) majority() int { return g.size()/2 + 1 }

// isPrimary reports whether m is the primary of this daemon's leadership.
func (g *Group) isPrimary(m *member) bool { return g.leadership.term != 0 && m == g.leadership.primary }

// isServing reports whether m is a replica that may serve reads: it follows the
// leadership's primary, answers probes and is not leaving.
func (g *Group) isServing(m *member) bool {
	return g.leadership.term != 0 && m != g.leadership.primary && !m.leaving() && m.reported &&
		m.term == g.leadership.term && m.role == core.RoleReplica && m.failures < failureThreshold &&
		m.positionKnown
}

// failureThreshold is the number of consecutive failed probes at which a replica
// stops serving.
const failureThreshold = 2

// report records a member's status.
func (g *Group) report(m *member, s *core.Status, sentAt core.Time) {
	if m.reported && sentAt < m.reportedAt {
		return // A later probe was answered first.
	}
	if s.Term < g.leadership.term && sentAt < g.leadership.since && g.monitorsPrimary() {
		return // The probe was sent before the promotion was known.
	}
	m.reported, m.reportedAt, m.failures = true, sentAt, 0
	m.term, m.role = s.Term, s.Role
	m.stopping = s.Leaving
	m.connections, m.reportedPosition = s.Connections, s.Position()
	g.ballot.highestTerm = max(g.ballot.highestTerm, s.Term)
	if g.leadership.term == 0 {
		return
	}
	m.foreignConns = max(0, s.Connections-m.conns-g.countClosingAt(m))
	g.extendLease(m, s.Term, sentAt)
	if s.Term == g.leadership.term {
		g.learnPosition(m, s.Position(), sentAt)
	}
	if m == g.leadership.primary && s.Term == g.leadership.term {
		g.leadership.updateHistory(s.History)
		g.history.add(sentAt, s.Position())
		g.sessions.resolve(sentAt, s.Position())
	}
}

// learnPosition updates the position that a member is known to have applied.
//
// Guard: a member whose log of an older term extends past the start of the
// leadership has diverged, so its offset cannot be compared with this log. Such
// a replica might serve a read without the session's write. Positions of older
// terms therefore count only up to the start of the leadership.
func (g *Group) learnPosition(m *member, p core.Position, at core.Time) {
	if p.Term > g.leadership.term || (p.Term < g.leadership.term && p.LSN > g.leadership.start.LSN) {
		return
	}
	if p.Less(m.position) && at <= m.positionAt {
		return
	}
	if m != g.leadership.primary && m.position.Less(p) {
		g.detect.isolation.since = 0
	}
	m.position, m.positionAt, m.positionKnown = p, max(at, m.positionAt), true
	if m != g.leadership.primary {
		g.observeLag(m, at)
	}
}
