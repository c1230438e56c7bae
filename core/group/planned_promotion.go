package group

import "limpetspan/core"

// planReason is the reason for a planned promotion, which waits for running
// writes to end.
type planReason uint8

const (
	planNone planReason = iota
	// planPrimaryLeaving: the primary is leaving.
	planPrimaryLeaving
	// planTermRepair: a member is fenced above the current term.
	planTermRepair
)

// checkPrimaryLeaving plans a promotion when the primary is leaving and a
// replica can replace it.
func (g *Group) checkPrimaryLeaving() {
	if g.phase != phaseServing || g.detect.planned != planNone || !g.leadership.primary.leaving() {
		return
	}
	if g.mostAdvancedReplica() != nil {
		g.planPromotion(planPrimaryLeaving)
	}
}

// mostAdvancedReplica returns the serving replica with the furthest position,
// or nil if no replica serves.
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

// writesPaused reports whether new writes wait for a planned promotion. Writes
// in an open transaction still run, so that the transaction can end.
func (g *Group) writesPaused() bool { return g.detect.planned != planNone }

// runPlanned begins the planned promotion once no write runs and, for a leaving
// primary, a replica has caught up with its log. After PlannedWait it begins
// regardless; no write is lost, because the furthest member is promoted.
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

// replicaCaughtUp reports whether a replica has the primary's log up to a report
// that was requested after the writes paused. If the primary is no longer probed
// or does not answer, the last position known from its answers to writes counts.
func (g *Group) replicaCaughtUp() bool {
	replica := g.mostAdvancedReplica()
	p := g.leadership.primary
	if replica == nil || (!p.removed && p.failures == 0 && p.reportedAt < g.detect.plannedAt) {
		return false
	}
	return !replica.position.Less(g.primaryPosition())
}

// primaryPosition returns the furthest known position of the primary.
func (g *Group) primaryPosition() core.Position { return g.leadership.primary.position }
