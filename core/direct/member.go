package direct

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/placement"
)

// member is what the group knows about one target.
type member struct {
	Member
	// unlistedAt is when the entry disappeared from the host list; 0 if it is listed.
	unlistedAt core.Time
	// leavingSince is the time since which it may have been leaving; 0 if its entry does not say that it is.
	leavingSince core.Time
	// status is the answer to the last probe, statusAt the time at which that probe was sent.
	status   Status
	statusAt core.Time
	// peerConfirmed is the newest confirmation by the replica that another daemon has reported.
	// leadSeen is when the member was last known to lead, by a probe of any daemon.
	peerConfirmed, leadSeen termTime
	// leadsTerm is the term in which the member was seen as primary by any daemon, refusedTerm the
	// term in which it has refused a write as a replica.
	leadsTerm, refusedTerm core.Term
	// lastSeen is when anything was last received from the member. When the corresponding request
	// was sent is not known.
	lastSeen core.Time
	// position is the newest known position, positionAt the time at which it was received.
	position   core.Position
	positionAt core.Time
	// probeSentAt is when the outstanding or last probe was sent.
	probeSentAt core.Time
	probing     bool
	suspect     bool
	// fencedAt is the time since which the member has reported a fence; 0 if it reports none.
	fencedAt core.Time
	// lag is the time by which the replica's log was behind the primary's at its last answer.
	lag time.Duration
	// unreadable is set while the member's entry cannot be parsed.
	unreadable bool
	// addressReused is set once another member has answered at the address.
	addressReused bool
	// olderStartSince is the time since which entries have named an older start; 0 if they do not.
	olderStartSince core.Time
	// lostLogTerm is the term whose log the member has lost in a restart while it led.
	lostLogTerm core.Term
	// connLostAt is when the member's side last closed a connection.
	connLostAt core.Time
	// refusedBusyAt is when the member last refused a statement because of load.
	refusedBusyAt core.Time
	// dialBlockedUntil is the time before which no connection is attempted, because one has failed.
	dialBlockedUntil core.Time
	// connLimitUntil is the time until which a new connection must replace another one of this
	// daemon, because the member refused one at its connection limit.
	connLimitUntil core.Time
	// demoteSentAt is when a demotion was last ordered because the member leads an older term.
	demoteSentAt core.Time
	// load estimates the statements of all daemons on the member.
	load loadEstimate
	// running is the mean number of this daemon's statements on the member, others are those of the
	// other homes, and times its service times. They are kept only for shared load.
	running placement.Mean
	others  placement.Others
	times   placement.Times
	// failures is the rate of recent failed answers.
	failures failureRate
	// unanswered is the part of failures that got no answer at all.
	unanswered failureRate
	// latency is the mean time of a statement.
	latency time.Duration
	// open and idle count connections for statements; idleInTransaction counts those whose
	// transactions wait for their callers.
	open, idle, idleInTransaction int
	// idleByTeam counts the idle connections of each team: a connection serves only one team.
	idleByTeam map[core.TeamID]int
	// window is how many connections may be in use at once; further statements wait.
	window float64
	// goalShare is the mean share of their latency goals that statements have recently taken.
	goalShare float64
}

// inUse returns how many connections have a statement in progress.
func (m *member) inUse() int { return m.open - m.idle - m.idleInTransaction }

// shrinkWindow reduces the window after the member refused a statement because its queue was full.
// Statements in that queue are late when they run and everything sent in addition is refused, so
// that a short overload would last for as long as callers retry.
func (m *member) shrinkWindow() {
	m.cutWindow(windowCutFactor)
}

// recordGoalShare reduces the window if statements take a large share of their callers' latency
// goals: they wait in the member's own queue, where they can no longer be reordered.
func (m *member) recordGoalShare(took, goal time.Duration) {
	if goal <= 0 {
		return
	}
	m.goalShare += (float64(took)/float64(goal) - m.goalShare) / goalShareWeight
	if m.goalShare < maxGoalShare {
		return
	}
	m.goalShare = resetGoalShare
	m.cutWindow(goalShareCutFactor)
}

// cutWindow reduces the window to a share of the connections in use.
func (m *member) cutWindow(share float64) { m.window = max(minWindow, share*float64(m.inUse())) }

// widenWindow widens the window after a successful answer.
func (m *member) widenWindow() {
	m.window = min(maxWindow, m.window+windowGrowth/m.window)
}

// isLeaving reports whether the member should get no new work. An entry that has disappeared from
// the host list may come back: the store drops the entries of members that it cannot reach.
func (m *member) isLeaving(now core.Time) bool {
	return m.Leaving || m.unlistedAt != 0 && now.Sub(m.unlistedAt) > UnlistedGrace
}

// trackLeaving records since when the member may have been leaving: its entry was not when the entries
// were last complete. A daemon that was cut off from the store learns late of a change. An entry that
// takes the leaving back permits new work again.
func (m *member) trackLeaving(now, complete core.Time) {
	switch {
	case !m.Leaving:
		m.leavingSince = 0
	case m.leavingSince != 0:
	case complete != 0:
		m.leavingSince = min(now, complete)
	default:
		m.leavingSince = now
	}
}

// goneSince returns the time since which the host list has shown that the member is leaving or
// gone, and 0 if it does not.
func (m *member) goneSince() core.Time {
	if m.leavingSince == 0 {
		return m.unlistedAt
	}
	return m.leavingSince
}

// isAlive reports whether the member counts towards the majority of its group. The store may lose
// entries during an outage. A daemon that ignored such members would fence too few, and an
// uncounted replica could confirm a replaced primary to other daemons.
func (m *member) isAlive(now core.Time) bool {
	return m.unlistedAt == 0 || now.Sub(m.unlistedAt) < UnlistedGrace || now.Sub(m.lastSeen) < UnlistedContactTTL
}

func (m *member) isPrimary(term core.Term) bool {
	return m.leadsTerm == term && term != 0
}

// canLead reports whether the member can be the primary of the term. A member that has lost its log
// in that term has lost acknowledged commits and must not lead it any more.
func (m *member) canLead(term core.Term) bool { return m.lostLogTerm != term || term == 0 }

// confirmsTerm reports whether the member confirmed the term in its last status: it is a replica,
// knows no newer term and is not fenced for one.
func (m *member) confirmsTerm(term core.Term) bool {
	return m.statusAt != 0 && m.status.Role == core.RoleReplica && m.status.Term == term && m.status.FencedTerm <= term
}

func (m *member) recordLatency(d time.Duration) {
	if m.latency == 0 {
		m.latency = initialLatency
	}
	m.latency += (d - m.latency) / latencyWeight
}

// isBusy reports whether the member has refused statements because of load so recently that it gets
// no new ones.
func (m *member) isBusy(now core.Time) bool {
	return m.refusedBusyAt != 0 && now.Sub(m.refusedBusyAt) < BusyBackoff
}

// answerTimeout returns how long to wait for the answer to a statement that can be retried.
func (m *member) answerTimeout() time.Duration {
	return min(maxAnswerTimeout, max(minAnswerTimeout, answerTimeoutFactor*m.latency))
}

func (m *member) recordPosition(p core.Position, at core.Time) {
	if at >= m.positionAt && !p.IsZero() {
		m.position, m.positionAt = p, at
	}
}
