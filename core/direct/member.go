package direct

import (
	"time"

	"limpetspan/core"
)

// member is what the group knows of one target.
type member struct {
	Member
	// vanishedAt is when the entry left the host list; 0: it is listed.
	unlistedAt core.Time
	// status is the last probe's answer, statusAt when that probe was sent.
	status   Status
	statusAt core.Time
	// relayed is another daemon's confirmation of the replica. led is when the member
	// was known to lead, by a probe of this daemon or another one.
	peerConfirmed, leadSeen termSupport
	// leads is the term in which the member was seen as primary, by this daemon or
	// another one; refused is the term in which it has refused a write as a replica.
	leadsTerm, refusedTerm core.Term
	// heardAt is when anything was last heard; sentAt of that exchange is not known.
	lastSeen core.Time
	// position is the newest one known, positionAt when it was told.
	position   core.Position
	positionAt core.Time
	// probeAt is when the outstanding or last probe was sent.
	probeSentAt core.Time
	probing     bool
	suspect     bool
	fencedAt    core.Time // since when a fence is seen, 0: none
	// lag is how far the replica's log was behind the primary's at its last answer.
	lag time.Duration
	// unreadable is set while the member's entry cannot be read.
	unreadable bool
	// elsewhere is set once another member has answered at the address.
	addressReused bool
	// olderSince is since when entries have named an older start; 0: they do not.
	olderStartSince core.Time
	// forgotTerm is the leadership whose log the member has lost by starting again.
	lostLogTerm core.Term
	// doubtedAt is when the member's side last ended a connection.
	connLostAt       core.Time
	refusedBusyAt    core.Time
	dialBlockedUntil core.Time // until when no connection is tried
	// fullUntil is until when a connection is tried only in place of an own one: the member
	// has refused one for want of room.
	connLimitUntil core.Time
	demoteSentAt   core.Time
	// load is what the member has under way for all daemons.
	load loadEstimate
	// faults are the answers that have failed lately.
	failures failureRate
	// latency is the mean time of a statement.
	latency time.Duration
	// open and idle count connections for statements; idleInTransaction are those of open
	// transactions that wait for their callers.
	open, idle, idleInTransaction int
	// idleOf are the idle ones by team: a connection serves one team alone.
	idleByTeam map[core.TeamID]int
	// window is how many connections may be in use at once before new work waits.
	window float64
	// share of the aim is the mean share of their aims that statements have taken lately.
	goalShare float64
}

// inUse is how many connections have a statement under way.
func (m *member) inUse() int { return m.open - m.idle - m.idleInTransaction }

// congested narrows the window: the member's own queue was full. What waits there
// is late when it runs, and all that is sent on top of it is refused, so that a
// short overload would go on for as long as callers come back.
func (m *member) shrinkWindow() {
	m.cutWindow(windowCutFactor)
}

// tookOfAim narrows the window when statements take a great part of the time that
// their callers give them: they wait in the member's own queue, where they can no
// longer be put in order.
func (m *member) recordGoalShare(took, aim time.Duration) {
	if aim <= 0 {
		return
	}
	m.goalShare += (float64(took)/float64(aim) - m.goalShare) / goalShareWeight
	if m.goalShare < maxGoalShare {
		return
	}
	m.goalShare = resetGoalShare
	m.cutWindow(goalShareCutFactor)
}

// narrow cuts the window to a share of the present use.
func (m *member) cutWindow(share float64) { m.window = max(minWindow, share*float64(m.inUse())) }

// uncongested widens the window after an answer.
func (m *member) widenWindow() {
	m.window = min(maxWindow, m.window+windowGrowth/m.window)
}

// leaving says whether the member is to get no new work. An entry that is gone
// from the host list may come back: the store forgets entries of members that it
// cannot hear.
func (m *member) isLeaving(now core.Time) bool {
	return m.Leaving || m.unlistedAt != 0 && now.Sub(m.unlistedAt) > UnlistedGrace
}

// alive says whether the member counts towards the majority of its group. The store
// loses entries while it is away; who counted on them being gone would fence too few
// members, and one that is not counted would confirm a replaced primary to others.
func (m *member) isAlive(now core.Time) bool {
	return m.unlistedAt == 0 || now.Sub(m.unlistedAt) < UnlistedGrace || now.Sub(m.lastSeen) < UnlistedContactTTL
}

func (m *member) isPrimary(term core.Term) bool {
	return m.leadsTerm == term && term != 0
}

// mayLead says whether the member can be the primary of the term: one that has lost
// its log in that leadership has lost commits that were acknowledged, and leads it no more.
func (m *member) canLead(term core.Term) bool { return m.lostLogTerm != term || term == 0 }

// confirms says whether the last probe supports the term: a replica that knows
// no newer term and is not fenced for one.
func (m *member) confirmsTerm(term core.Term) bool {
	return m.statusAt != 0 && m.status.Role == core.RoleReplica && m.status.Term == term && m.status.FencedTerm <= term
}

func (m *member) recordLatency(d time.Duration) {
	if m.latency == 0 {
		m.latency = initialLatency
	}
	m.latency += (d - m.latency) / latencyWeight
}

// busy says whether the member has refused for load so lately that it gets no
// new statement.
func (m *member) isBusy(now core.Time) bool {
	return m.refusedBusyAt != 0 && now.Sub(m.refusedBusyAt) < BusyBackoff
}

// answerTimeout is how long an answer is waited for where it may be given up.
func (m *member) answerTimeout() time.Duration {
	return min(maxAnswerTimeout, max(minAnswerTimeout, answerTimeoutFactor*m.latency))
}

func (m *member) recordPosition(p core.Position, at core.Time) {
	if at >= m.positionAt && !p.IsZero() {
		m.position, m.positionAt = p, at
	}
}
