package group

// controlConnsPerMember is the number of control connections to each member that
// count against MaxConnections: one of this home, one reserved for another
// candidate.
const controlConnsPerMember = 2

// budget returns the number of work connections that this home may have open.
//
// Guard: MaxConnections holds for the whole fleet, also while the home changes.
// If it were exceeded, members would refuse connections. Only a home opens work
// connections, and the fence that made it home ended those of earlier homes.
// Connections that a member reports beyond this home's own count against the
// budget, and mayOpen prevents a replaced home from opening new ones.
func (g *Group) budget() int {
	if !g.guardEnabled(GuardBudget) {
		return 1 << 20
	}
	return max(1, g.maxConns-controlConnsPerMember*g.size())
}

// countConns returns the number of work connections that count against the
// budget.
func (g *Group) countConns() int {
	n := len(g.conns) + len(g.closing)
	for _, m := range g.members {
		n += m.foreignConns
	}
	return n
}

// countClosingAt returns the number of connections to a member that are being
// closed.
func (g *Group) countClosingAt(m *member) int {
	n := 0
	for _, c := range g.closing {
		if c.member == m {
			n++
		}
	}
	return n
}

// assumeForeign sets foreignConns of a member that the fence did not reach to
// the number of connections that the previous home may have open there. The
// member's next report replaces the number.
func (g *Group) assumeForeign(m *member) {
	share := g.connLimit(m)
	if m.ID == g.knownHome.primary {
		share = max(share, g.budget()-share*(g.size()-1))
	}
	m.foreignConns = share
}

// statementCap returns the maximum number of statements dispatched to one member
// at a time.
func (g *Group) statementCap() int { return max(1, g.slots) + g.tuning.SlotOverlap }

// hasSlot reports whether another statement may be dispatched to the member.
func (g *Group) hasSlot(m *member) bool {
	return m.running < g.statementCap() || m.running < g.statementCap()+g.releasedPlaces(m)
}

// connLimit returns a member's share of the budget. A replica gets the
// connections that its slots can use, and those for released places; the primary gets
// the rest, because open transactions hold connections there.
func (g *Group) connLimit(m *member) int {
	size := max(1, g.size())
	replica := max(1, min(g.statementCap(), g.budget()/size))
	if m != g.leadership.primary {
		return replica + g.releasedPlaces(m)
	}
	return max(1, g.budget()-replica*(size-1))
}

// mustDisconnect reports whether a member must have no connections because it is
// leaving. A leaving primary keeps its connections until another member is
// promoted.
func (g *Group) mustDisconnect(m *member) bool { return m.removed || (m.leaving() && !g.isPrimary(m)) }

// fillPool opens connections in advance: as many as the member's slots can use,
// in addition to those held by open transactions and by silent statements.
func (g *Group) fillPool(m *member) {
	if g.phase < phaseWaiting || g.mustDisconnect(m) || !(g.isPrimary(m) || g.isServing(m)) {
		return
	}
	target := min(g.connLimit(m), g.statementCap()+m.pinned+g.releasedPlaces(m))
	if m.conns >= target || !g.mayOpen(m) {
		return
	}
	for m.conns < target && g.countConns() < g.budget() {
		g.openConn(m)
	}
}

// mayOpen reports whether connections to a member may be opened now.
//
// Guard: a home that does not know that it was replaced would open connections
// again after the new home's fence ended them. Therefore the lease must hold,
// and after a lost connection the member must first report that it is still in
// this term. A new home opens connections only shortly before the lease of the
// old one expires.
func (g *Group) mayOpen(m *member) bool {
	if g.now < m.openNotBefore {
		g.scheduleAt(m.openNotBefore)
		return false
	}
	if g.phase == phaseWaiting {
		ready := g.leadership.waitUntil.Add(-2 * g.tuning.ConnectCost)
		if g.now < ready {
			g.scheduleAt(ready)
			return false
		}
	}
	if !g.guardEnabled(GuardBudget) {
		return true
	}
	return g.now < g.leadership.leaseUntil && m.term == g.leadership.term && m.reportedAt >= m.connLostAt
}

// fillPools fills the pools of all members, the primary's first.
func (g *Group) fillPools() {
	if g.phase < phaseWaiting {
		return
	}
	g.fillPool(g.leadership.primary)
	for _, m := range g.members {
		g.fillPool(m)
	}
}

func (g *Group) closeIdle(m *member) {
	for len(m.idle) > 0 {
		g.closeConn(m.idle[0])
	}
}

// closeAll closes all connections of a leadership that ends. A connection on
// which a read still runs is closed when the read ends.
func (g *Group) closeAll() {
	for i := len(g.conns) - 1; i >= 0; i-- {
		c := g.conns[i]
		if c.request != nil {
			c.closeAfterRequest = true
			continue
		}
		g.closeConn(c)
	}
}

// runPool drops closing connections whose grace period is over, closes surplus
// idle connections and expired transactions, and fills the pools.
func (g *Group) runPool() {
	kept := g.closing[:0]
	for _, c := range g.closing {
		if g.now < c.until {
			g.scheduleAt(c.until)
			kept = append(kept, c)
		}
	}
	g.closing = kept
	for i := len(g.conns) - 1; i >= 0; i-- {
		c := g.conns[i]
		m := c.member
		switch {
		case c.state == connIdle && (g.mustDisconnect(m) || m.conns > g.connLimit(m)):
			g.closeConn(c)
		case c.state == connPinned && g.writes.len() > 0:
			g.expirePinned(c)
		}
	}
	g.fillPools()
}
