package direct

import "limpetspan/core"

// ConnOpened, ConnIdle, ConnTaken and ConnClosed count the connections for
// statements towards a member.
func (g *Group) ConnOpened(id core.MemberID) {
	if m := g.members[id]; m != nil {
		m.open++
	}
}

// ConnIdle says that a connection of the team waits for a statement.
func (g *Group) ConnIdle(id core.MemberID, team core.TeamID) { g.countIdle(id, team, 1) }

// ConnTaken says that an idle connection of the team is in use.
func (g *Group) ConnTaken(id core.MemberID, team core.TeamID) { g.countIdle(id, team, -1) }

// ConnClosed says that a connection which was in use is gone.
func (g *Group) ConnClosed(id core.MemberID) {
	if m := g.members[id]; m != nil {
		m.open--
	}
}

// ConnIdleInTransaction says that a connection's transaction waits for its caller.
func (g *Group) ConnIdleInTransaction(id core.MemberID) { g.countIdleInTransaction(id, 1) }

// ConnResumesTransaction says that the transaction goes on, or has ended.
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

// ConnRefused takes that a connection which was tried at sent could not be opened.
func (g *Group) ConnFailed(now, sent core.Time, id core.MemberID, o Outcome) []Effect {
	m := g.members[id]
	if m == nil {
		return nil
	}
	switch o {
	case TooManyConns:
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

// answersElsewhere takes that another member lives at the address: this one has gone,
// and nothing is sent there for it until the host list names another address.
func (g *Group) markAddressReused(now core.Time, m *member) {
	if m.addressReused {
		return
	}
	m.addressReused = true
	g.emit(Effect{Kind: EffectDecision, Member: m.ID, Term: g.term, Reason: "another member answers at its address"})
	g.suspect(now, m.ID, m)
}

// softLimit is how many connections all daemons together may have before each
// keeps to its share. When all lose power at once, members drop the connections
// of the dead only after seconds; until then the rest is all there is.
func (g *Group) softLimit(id core.MemberID) int {
	share := replicaConnShare
	if id == g.primary {
		share = primaryConnShare
	}
	return max(1, int(share*float64(g.spec.MaxConns)))
}

// FairConns is how many connections to a member a daemon may have in any case.
func (g *Group) GuaranteedConns(id core.MemberID) int {
	return max(1, g.softLimit(id)/g.daemons)
}

// conns is how many connections all daemons have to the member, as far as known.
func (g *Group) knownConns(now core.Time, id core.MemberID, m *member) int {
	n := m.open
	for _, p := range g.peers {
		if p.isFresh(now) {
			n += p.openConns[id]
		}
	}
	return n
}
