package direct

import (
	"fmt"

	"limpetspan/core"
)

// A member may restart under the same id. The new incarnation has no state of the previous one: no
// log, term, fence or prepared statement. What this daemon knows about the previous incarnation
// must not be used any more. A restart shows in three ways, in no certain order: in the member's
// entry, in its status, and in connections that it has closed.

// updateEntry handles a readable entry of a known member.
func (g *Group) updateEntry(now core.Time, m *member, l Member) {
	if l.Started == 0 || m.Started == 0 {
		// At least one of the two entries has no start time, so they cannot be compared.
		l.Started = max(l.Started, m.Started)
		m.Started = l.Started
	}
	switch {
	case l.Started == m.Started:
		m.olderStartSince = 0
	case l.Started < m.Started && !g.olderStartPersists(now, m):
		// The previous incarnation wrote this entry, and the write arrived late. The current one
		// writes again within a heartbeat.
		return
	default:
		g.resetMember(now, m, fmt.Sprintf("its entry names another start: %d after %d", l.Started, m.Started))
	}
	if l.Addr != m.Addr {
		m.addressReused = false
	}
	m.Member = l
}

// olderStartPersists reports whether entries with an older start have arrived for so long that no
// ended incarnation can have written them: the member's clock was set back between incarnations.
// Ignoring these entries permanently would hide that the member is leaving.
func (g *Group) olderStartPersists(now core.Time, m *member) bool {
	if m.olderStartSince == 0 {
		m.olderStartSince = now
	}
	return now.Sub(m.olderStartSince) > UnlistedGrace
}

// hasRegressed reports whether a status requested at sent shows less than the member has reported
// before, which means that it has restarted. The host list shows the restart up to 1.5 s later. A
// log that was rolled back comes with a new term and does not count.
func (m *member) hasRegressed(sent core.Time, st Status) bool {
	if m.statusAt == 0 || sent < m.statusAt {
		return false
	}
	if st.Term != m.status.Term {
		return st.Term < m.status.Term
	}
	return m.positionAt <= sent && st.Position.Less(m.position)
}

// primaryLostLog reports whether the answer to a statement sent at sent shows that the primary has
// lost its log: it lacks what it has reported before.
func (g *Group) primaryLostLog(sent core.Time, id core.MemberID, m *member, p core.Position, o Outcome) bool {
	if id != g.primary || !g.enforces(GuardRestart) {
		return false
	}
	return o == Lagging || o == Succeeded && !p.IsZero() && m.positionAt <= sent && p.Less(m.position)
}

// isLogTruncated reports whether a log position from a probe sent at sent is behind what the
// primary of this term had before.
func (g *Group) isLogTruncated(sent core.Time, p core.Position) bool {
	return g.maxPositionAt != 0 && g.maxPositionAt <= sent && p.Less(g.maxPosition)
}

// resetMember discards what is known about a member's previous incarnation, whose connections have
// ended with it.
func (g *Group) resetMember(now core.Time, m *member, reason string) {
	wasPrimary := g.primary == m.ID
	*m = member{
		Member: m.Member, unlistedAt: m.unlistedAt, lastSeen: now, window: maxWindow,
		open: m.open, idle: m.idle, idleByTeam: m.idleByTeam, idleInTransaction: m.idleInTransaction,
		// Daemons that have not noticed the restart may still report that it leads; only its own
		// status counts.
		refusedTerm: g.term, lostLogTerm: m.lostLogTerm,
		running: m.running,
	}
	g.assumeIdleAtPeers(now, m)
	if wasPrimary {
		g.primary = ""
		g.leaseExpiry, g.peerLeaseExpiry = 0, 0
		g.emit(Effect{Kind: EffectReport})
	}
	g.dropFromClaim(now, m.ID)
	g.emit(Effect{Kind: EffectDecision, Member: m.ID, Term: g.term, Reason: "restarted: " + reason})
	g.emit(Effect{Kind: EffectDropConns, Member: m.ID})
}

// dropFromClaim removes what the member did for the claim in progress: its fence is gone, and its
// demotion was that of the previous incarnation.
func (g *Group) dropFromClaim(now core.Time, id core.MemberID) {
	c := &g.claim
	delete(c.fenced, id)
	if id == c.old && c.demoted {
		c.demoted, c.planned = false, false
	}
	if c.phase == awaitingLeases && len(c.fenced) < g.requiredFences(now) {
		g.sendFences(now)
	}
}

// ConnBroken records that the member's side has closed a connection, or that no process listens at
// its address: it may have restarted. A restarted replica has lost its fence, receives the log from
// a primary that is being replaced, and would extend this daemon's lease on that primary.
func (g *Group) ConnBroken(now core.Time, id core.MemberID) {
	if m := g.members[id]; m != nil {
		m.connLostAt = now
	}
}

// deniesLeading reports whether the member's own status, requested after the report's sender last saw
// it lead, shows that it does not lead: it has restarted, and the report is about the previous
// incarnation. Used as the primary, it would answer reads from its empty log.
func (g *Group) deniesLeading(m *member, sent core.Time, r *Report) bool {
	leads := m.status.Role == core.RolePrimary && m.status.Term == r.Term
	if m.statusAt == 0 || leads || !g.enforces(GuardRestart) {
		return false
	}
	return sent == 0 || !r.PrimarySeen || sent.Add(-r.PrimarySeenAge) < m.statusAt
}

// mayHaveLostFence reports whether the member's last confirmation may come from an incarnation that
// has lost a fence. A read of the promotion lock that was sent after the connection broke and shows
// that nobody has claimed the group proves that there was no fence. After OrphanedFenceAge an
// earlier claim has ended in any case.
func (g *Group) mayHaveLostFence(m *member) bool {
	if m.connLostAt == 0 || m.statusAt <= m.connLostAt || !g.enforces(GuardRestart) {
		return false
	}
	unclaimed := g.promotionLock.sentAt > m.connLostAt && !g.isLockAhead()
	return !unclaimed && m.statusAt.Sub(m.connLostAt) < OrphanedFenceAge
}
