package group

import "limpetspan/core"

// planned is the reason of a promotion that need not cut off anything.
type planReason uint8

const (
	planNone planReason = iota
	// plannedLeaving: the primary is leaving.
	planPrimaryLeaving
	// plannedRepair: a member was left fenced above the present term.
	planTermRepair
)

// checkLeaving plans a promotion when the primary is leaving and another
// member can take over.
func (g *Group) checkPrimaryLeaving() {
	if g.phase != phaseServing || g.detect.planned != planNone || !g.leadership.primary.leaving() {
		return
	}
	if g.mostAdvancedReplica() != nil {
		g.planPromotion(planPrimaryLeaving)
	}
}

// heir is the serving replica that is furthest in the log.
func (g *Group) mostAdvancedReplica() *member {
	var best *member
	for _, m := range g.members {
		if g.isServing(m) && (best == nil || best.position.Less(m.position)) {
			best = m
		}
	}
	return best
}

func (g *Group) planPromotion(reason planReason) {
	d := &g.detect
	if d.planned != planNone || g.phase != phaseServing || g.now < d.nextPlanAt {
		return
	}
	d.planned, d.plannedAt = reason, g.now
	g.logEvent("promotion planned", g.leadership.primary, g.leadership.term, "")
	g.scheduleAt(g.now)
}

// pausesWrites reports whether new writes wait for a planned promotion. Those
// in a transaction go on, so that it can end.
func (g *Group) writesPaused() bool { return g.detect.planned != planNone }

// runPlanned begins the planned promotion once no write runs and, for a
// leaving primary, a replica has all of its log. After PlannedWait it begins
// anyway; the choice of the furthest member still loses nothing.
func (g *Group) runPlanned() {
	d := &g.detect
	if d.planned == planNone {
		return
	}
	if d.planned == planPrimaryLeaving && !g.leadership.primary.leaving() {
		d.planned = planNone
		g.dispatchQueued()
		return
	}
	until := d.plannedAt.Add(g.tuning.PlannedWait)
	writesEnded := g.writesRunning == 0 && len(g.held) == 0 && g.leadership.primary.pinned == 0
	ready := writesEnded && (d.planned == planTermRepair || g.replicaCaughtUp())
	if ready || g.now >= until {
		d.nextPlanAt = g.now.Add(g.tuning.RepairWait)
		g.startClaim("planned promotion")
		return
	}
	g.scheduleAt(until)
	g.scheduleIn(g.tuning.FastProbeInterval)
}

// heirCaughtUp reports whether a replica has the primary's log up to a report
// that was asked for after the writes paused. A primary that is not
// asked or does not answer any more is known by what it answered to writes.
func (g *Group) replicaCaughtUp() bool {
	replica := g.mostAdvancedReplica()
	p := g.leadership.primary
	if replica == nil || (!p.removed && p.failures == 0 && p.reportedAt < g.detect.plannedAt) {
		return false
	}
	return !replica.position.Less(g.primaryPosition())
}

// latest is the furthest position known of the primary.
func (g *Group) primaryPosition() core.Position { return g.leadership.primary.position }
