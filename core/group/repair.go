package group

import "limpetspan/core"

// checkContested detects a higher term at the primary or at a majority: another
// candidate is claiming the group, or crashed during its claim.
//
// Guard: if the candidate crashed, no daemon would recover the group, and writes
// would fail until an operator intervenes. After ContestWait without a report of
// a new home this daemon claims the group again.
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

// checkTermMismatch handles members that report another term than the
// leadership's.
//
// A member at a lower term was unreachable. It is fenced just below the current
// term, so that an old primary stops accepting writes and can be attached to the
// new one. A member at a higher term was fenced by a candidate that then
// crashed. It follows no primary of a lower term, so after RepairWait the home
// plans a promotion at a term above it.
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
