package group

import (
	"time"

	"limpetspan/core"
)

// vote is a member's answer in the ballot of the claim in progress.
type vote uint8

const (
	votePending vote = iota
	// voteFenced: the member accepted this ballot's fence.
	voteFenced
	// voteTied: the member was already fenced at this ballot's term by another
	// candidate. It is no vote, but its position is frozen.
	voteTied
	// voteRefused: the member is at a higher term, or leads at this one.
	voteRefused
	// voteFailed: no answer.
	voteFailed
)

// member is what the reducer knows of one target.
type member struct {
	Member
	// gone marks a member that the configuration no longer names; its
	// connections end as they come free.
	removed bool

	// Last report: when its probe was sent, and what it said.
	reportedAt core.Time
	reported   bool
	term       core.Term
	role       core.Role
	// connections and claimPosition are as reported, for claims.
	connections      int
	reportedPosition core.Position
	// stopping is set by the member's own word that it shuts down.
	stopping bool
	// roundTrip is the smoothed time that an answered probe takes.
	roundTrip time.Duration
	// failures counts failed probes since the last answer.
	failures int
	// position is known to be applied in the present leadership since positionAt, if
	// located.
	position      core.Position
	positionKnown bool
	positionAt    core.Time
	// leaseAt is when the last probe was sent that reported the home's term.
	leaseProbeAt core.Time
	// oddAt is since when the member reports a term that the leadership has to deal
	// with: above it, or so low that the member cannot follow.
	termMismatchSince core.Time
	// lostAt is when a connection to the member was last lost.
	connLostAt core.Time
	// foreign counts work connections there that are not this home's.
	foreignConns int

	probe probeState
	lag   lagModel

	vote       vote
	voteStatus core.Status

	conns         int
	opening       int
	running       int
	pinned        int
	idle          []*conn
	openNotBefore core.Time
	openBackoff   time.Duration
	// service is the smoothed time a statement takes.
	serviceTime time.Duration
}

// leaving reports whether the member is to receive no new work.
func (m *member) leaving() bool { return m.Leaving || m.stopping || m.removed }

func (g *Group) member(id core.MemberID) *member {
	for _, m := range g.members {
		if m.ID == id && !m.removed {
			return m
		}
	}
	return nil
}

// size is the number of configured members.
func (g *Group) size() int {
	n := 0
	for _, m := range g.members {
		if !m.removed {
			n++
		}
	}
	return n
}

// majority is the number of members of which any two sets share one.
func (g *Group) majority() int { return g.size()/2 + 1 }

// isPrimary reports whether m is primary of the leadership held here.
func (g *Group) isPrimary(m *member) bool { return g.leadership.term != 0 && m == g.leadership.primary }

// serving reports whether a replica takes part in serving reads: it follows
// the leadership's primary, answers probes and is not leaving.
func (g *Group) isServing(m *member) bool {
	return g.leadership.term != 0 && m != g.leadership.primary && !m.leaving() && m.reported &&
		m.term == g.leadership.term && m.role == core.RoleReplica && m.failures < failureThreshold &&
		m.positionKnown
}

// servingFailures is the number of failed probes at which a replica stops serving.
const failureThreshold = 2

// report takes in what a member said about itself.
func (g *Group) report(m *member, s *core.Status, sentAt core.Time) {
	if m.reported && sentAt < m.reportedAt {
		return // An answer that was overtaken by a later probe's.
	}
	if s.Term < g.leadership.term && sentAt < g.leadership.since && g.monitorsPrimary() {
		return // Asked before the promotion was known; it says nothing new.
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

// learnPosition raises the position that a member is known to have applied.
//
// Guard: a member that held more of an older term's log than the leadership began
// with has diverged; its offset says nothing about this log. It would show as
// a replica that serves a read without the session's write. Positions of older
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
