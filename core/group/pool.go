package group

// controlPerMember counts the control connections to each member against the
// group's budget: one of this home, one kept free for another candidate.
const controlConnsPerMember = 2

// budget is the number of work connections that this home may have open.
//
// Guard: MaxConnections holds for the whole fleet, also while the group
// changes hands. It would show as members that refuse connections. Only a home
// opens work connections, and the fence that made it home ended those of the
// homes before. Connections that a member reports beyond this home's own are
// counted, and mayOpen keeps a home that was replaced from opening new ones.
func (g *Group) budget() int {
	if !g.guardEnabled(GuardBudget) {
		return 1 << 20
	}
	return max(1, g.maxConns-controlConnsPerMember*g.size())
}

func (g *Group) countConns() int {
	n := len(g.conns) + len(g.closing)
	for _, m := range g.members {
		n += m.foreignConns
	}
	return n
}

// closingAt counts the connections to a member that are being closed.
func (g *Group) countClosingAt(m *member) int {
	n := 0
	for _, c := range g.closing {
		if c.member == m {
			n++
		}
	}
	return n
}

// assumeForeign counts, for a member that the fence did not reach, what the
// home before may have open there, until the member reports.
func (g *Group) assumeForeign(m *member) {
	share := g.connLimit(m)
	if m.ID == g.knownHome.primary {
		share = max(share, g.budget()-share*(g.size()-1))
	}
	m.foreignConns = share
}

// statementCap is how many statements one member is given at a time.
func (g *Group) statementCap() int { return max(1, g.slots) + g.tuning.SlotOverlap }

func (g *Group) hasSlot(m *member) bool { return m.running < g.statementCap() }

// connLimit divides the budget: replicas get what their slots can use, the
// primary the rest, as open transactions keep connections there.
func (g *Group) connLimit(m *member) int {
	size := max(1, g.size())
	replica := max(1, min(g.statementCap(), g.budget()/size))
	if m != g.leadership.primary {
		return replica
	}
	return max(1, g.budget()-replica*(size-1))
}

// avoids reports whether a member is to have no connections: it is leaving.
// A leaving primary keeps them until another is promoted.
func (g *Group) mustDisconnect(m *member) bool { return m.removed || (m.leaving() && !g.isPrimary(m)) }

// warm opens connections ahead of need: as many as the member's slots can use,
// besides those that open transactions hold.
func (g *Group) fillPool(m *member) {
	if g.phase < phaseWaiting || g.mustDisconnect(m) || !(g.isPrimary(m) || g.isServing(m)) {
		return
	}
	target := min(g.connLimit(m), g.statementCap()+m.pinned)
	if m.conns >= target || !g.mayOpen(m) {
		return
	}
	for m.conns < target && g.countConns() < g.budget() {
		g.openConn(m)
	}
}

// mayOpen reports whether connections to a member may be opened now.
//
// Guard: a home that was replaced and does not know it would open connections
// again after the new home's fence ended them. So the lease must hold, after a
// lost connection the member must first report that it is still in this term,
// and a new home opens only when the lease of the old one is about to lapse.
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

func (g *Group) fillPools() {
	if g.phase < phaseWaiting {
		return
	}
	g.fillPool(g.leadership.primary)
	for _, m := range g.members {
		g.fillPool(m)
	}
}

// closeIdle closes the idle connections of a member.
func (g *Group) closeIdle(m *member) {
	for len(m.idle) > 0 {
		g.closeConn(m.idle[0])
	}
}

// closeAll closes every connection of a leadership that ends; those on which a read
// runs close when it ends.
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

// runPool lets connections go that are not wanted any more and opens those
// that are.
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
