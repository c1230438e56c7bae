package direct

import "limpetspan/core"

// ConnOpened records a new connection for statements to the member.
func (g *Group) ConnOpened(id core.MemberID) {
	if m := g.members[id]; m != nil {
		m.open++
	}
}

// ConnIdle records that a connection of the team has become idle.
func (g *Group) ConnIdle(id core.MemberID, team core.TeamID) { g.countIdle(id, team, 1) }

// ConnTaken records that an idle connection of the team is in use.
func (g *Group) ConnTaken(id core.MemberID, team core.TeamID) { g.countIdle(id, team, -1) }

// ConnClosed records that a connection that was in use has closed.
func (g *Group) ConnClosed(id core.MemberID) {
	if m := g.members[id]; m != nil {
		m.open--
	}
}

// ConnIdleInTransaction records that a connection's transaction waits for its caller.
func (g *Group) ConnIdleInTransaction(id core.MemberID) { g.countIdleInTransaction(id, 1) }

// ConnResumedTransaction records that the transaction has continued or ended.
func (g *Group) ConnResumedTransaction(id core.MemberID) { g.countIdleInTransaction(id, -1) }

func (g *Group) countIdleInTransaction(id core.MemberID, idleInTransaction int) {
	if m := g.members[id]; m != nil {
		m.idleInTransaction += idleInTransaction
	}
}

func (g *Group) countIdle(id core.MemberID, team core.TeamID, n int) {
	m := g.members[id]
	if m == nil {
		return
	}
	if m.idleByTeam == nil {
		m.idleByTeam = make(map[core.TeamID]int)
	}
	m.idle += n
	if m.idleByTeam[team] += n; m.idleByTeam[team] == 0 {
		delete(m.idleByTeam, team)
	}
}

// ConnFailed handles a connection attempt, started at sent, that failed.
func (g *Group) ConnFailed(now, sent core.Time, id core.MemberID, o Outcome) []Effect {
	m := g.members[id]
	if m == nil {
		return nil
	}
	switch o {
	case ConnectionLimit:
		g.markSeen(now, id, m)
		m.connLimitUntil = now.Add(ConnLimitBackoff)
	case WrongMember:
		g.markAddressReused(now, m)
	default:
		m.dialBlockedUntil = now.Add(DialBackoff)
		g.suspectIfSilent(now, sent, id, m)
	}
	return g.takeEffects()
}

// markAddressReused records that another member answers at the address. This member is gone, and
// nothing is sent to it until the host list names another address.
func (g *Group) markAddressReused(now core.Time, m *member) {
	if m.addressReused {
		return
	}
	m.addressReused = true
	g.emit(Effect{Kind: EffectDecision, Member: m.ID, Term: g.term, Reason: "another member answers at its address"})
	g.suspect(now, m.ID, m)
}

// softLimit returns how many connections all daemons together may open before each is limited to
// its fair share. After a power failure of many hosts, members drop the connections of dead hosts
// only after seconds; until then only the remaining connections are available.
func (g *Group) softLimit(id core.MemberID) int {
	share := replicaConnShare
	if id == g.primary {
		share = primaryConnShare
	}
	return max(1, int(share*float64(g.spec.MaxConns)))
}

// GuaranteedConns returns how many connections to a member each daemon may always open.
func (g *Group) GuaranteedConns(id core.MemberID) int {
	return max(1, g.softLimit(id)/g.daemons)
}

// knownConns returns how many connections all daemons are known to have to the member.
func (g *Group) knownConns(now core.Time, id core.MemberID, m *member) int {
	n := m.open
	for _, p := range g.peers {
		if p.isFresh(now) {
			n += p.openConns[id]
		}
	}
	return n
}
