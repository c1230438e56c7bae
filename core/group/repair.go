package group

import "limpetspan/core"

// checkContested notes a higher term at the primary or at a majority: another
// candidate is about to take the group, or died while it did.
//
// Guard: if it died, nobody would bring the group back; writes would fail until
// an operator looks. After ContestWait without news this daemon claims again.
func (g *Group) checkContested() {
	if !g.monitorsPrimary() {
		return
	}
	above := 0
	for _, m := range g.members {
		if !m.removed && m.term > g.leadership.term {
			above++
		}
	}
	contested := g.leadership.primary.term > g.leadership.term || above >= g.majority()
	d := &g.detect
	switch {
	case !contested:
		d.contestedSince = 0
	case d.contestedSince == 0:
		d.contestedSince = g.now
		g.logEvent("a higher term was seen", g.leadership.primary, g.leadership.primary.term, "")
		g.scheduleIn(g.tuning.ContestWait)
	}
}

// checkOdd follows up members that came back in another term.
//
// A lower term: the member was away. It is fenced below the present term, so
// that an old primary stops writing and can be attached. A higher term: a
// candidate died after fencing it. It follows nobody until this leadership is above
// it, so the home takes a new term, planned, once the state lasts.
func (g *Group) checkTermMismatch(m *member) {
	if m == g.leadership.primary || !g.monitorsPrimary() {
		return
	}
	below := m.term < g.leadership.term && m.role != core.RoleFenced
	above := m.term > g.leadership.term
	if !below && !above {
		m.termMismatchSince = 0
		return
	}
	if m.termMismatchSince == 0 {
		m.termMismatchSince = g.now
		if !below || m.role != core.RolePrimary {
			return
		}
	}
	if below && (m.role == core.RolePrimary || g.now.Sub(m.termMismatchSince) >= g.tuning.RepairWait) {
		m.termMismatchSince = g.now
		g.effects.add(&Fence{Member: m.ID, Term: g.leadership.term - 1, Timeout: g.tuning.FenceTimeout})
		return
	}
	if above && g.now.Sub(m.termMismatchSince) >= g.tuning.RepairWait {
		m.termMismatchSince = g.now
		g.planPromotion(planTermRepair)
	}
}
