package group

import "limpetspan/core"

// planned is the reason of a promotion that need not cut off anything.
type planned uint8

const (
	plannedNone planned = iota
	// plannedLeaving: the primary is leaving.
	plannedLeaving
	// plannedRepair: a member was left fenced above the present term.
	plannedRepair
)

// checkLeaving plans a promotion when the primary is leaving and another
// member can take over.
func (g *Group) checkLeaving() {
	if g.phase != phaseServing || g.detect.planned != plannedNone || !g.leadership.primary.leaving() {
		return
	}
	if g.heir() != nil {
		g.plan(plannedLeaving)
	}
}

// heir is the serving replica that is furthest in the log.
func (g *Group) heir() *member {
	var best *member
	for _, m := range g.members {
		if g.serving(m) && (best == nil || best.position.Less(m.position)) {
			best = m
		}
	}
	return best
}

func (g *Group) plan(why planned) {
	d := &g.detect
	if d.planned != plannedNone || g.phase != phaseServing || g.now < d.planAfter {
		return
	}
	d.planned, d.plannedAt = why, g.now
	g.logEvent("promotion planned", g.leadership.primary, g.leadership.term, "")
	g.wakeBy(g.now)
}

// pausesWrites reports whether new writes wait for a planned promotion. Those
// in a transaction go on, so that it can end.
func (g *Group) pausesWrites() bool { return g.detect.planned != plannedNone }

// runPlanned begins the planned promotion once no write runs and, for a
// leaving primary, a replica has all of its log. After PlannedWait it begins
// anyway; the choice of the furthest member still loses nothing.
func (g *Group) runPlanned() {
	d := &g.detect
	if d.planned == plannedNone {
		return
	}
	if d.planned == plannedLeaving && !g.leadership.primary.leaving() {
		d.planned = plannedNone
		g.pump()
		return
	}
	until := d.plannedAt.Add(g.tuning.PlannedWait)
	quiet := g.writesRunning == 0 && len(g.held) == 0 && g.leadership.primary.pinned == 0
	ready := quiet && (d.planned == plannedRepair || g.heirCaughtUp())
	if ready || g.now >= until {
		d.planAfter = g.now.Add(g.tuning.RepairWait)
		g.startClaim("planned promotion")
		return
	}
	g.wakeBy(until)
	g.wakeIn(g.tuning.FastProbeInterval)
}

// heirCaughtUp reports whether a replica has the primary's log up to a report
// that was asked for after the writes paused. A primary that is not
// asked or does not answer any more is known by what it answered to writes.
func (g *Group) heirCaughtUp() bool {
	heir := g.heir()
	p := g.leadership.primary
	if heir == nil || (!p.gone && p.failures == 0 && p.reportedAt < g.detect.plannedAt) {
		return false
	}
	return !heir.position.Less(g.latest())
}

// latest is the furthest position known of the primary.
func (g *Group) latest() core.Position { return g.leadership.primary.position }
