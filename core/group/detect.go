package group

import (
	"time"

	"limpetspan/core"
)

// suspicion is how far the doubt about the primary has gone.
type suspicion uint8

const (
	suspicionNone suspicion = iota
	// suspicionFresh: the kept connection failed, a new one is tried.
	suspicionFresh
	// suspicionConfirmed: a new connection failed too; opinions are awaited.
	suspicionConfirmed
)

// detector decides when the primary is to be replaced, and by whom.
type detector struct {
	suspicion suspicion
	// late: this process itself stood still while it waited for the probe, so
	// the missing answer says little about the connection.
	pausedWhileProbing bool
	// askedUntil bounds the wait for opinions.
	opinionsUntil    core.Time
	opinionsAsked    int
	opinionsReceived int
	// reachableFrom is a candidate that reaches the primary.
	reachableFrom core.DaemonID
	// contestedAt is since when the leadership is doubtful because a higher term
	// was seen at the primary or a majority; zero: it is not.
	contestedSince core.Time
	// planned is the planned promotion under way, since plannedAt.
	planned   planReason
	plannedAt core.Time
	// planAfter keeps planned promotions apart.
	nextPlanAt core.Time
	// handedOverAt is when the last handover for an unreachable primary was.
	handedOverAt core.Time
	heartbeatAt  core.Time
	isolation    isolation
}

// reset forgets the doubts about a leadership that ends.
func (d *detector) reset() {
	*d = detector{
		handedOverAt: d.handedOverAt, heartbeatAt: d.heartbeatAt, nextPlanAt: d.nextPlanAt,
		isolation: isolation{replacements: d.isolation.replacements},
	}
}

// lateMargin is how late a time limit may be noticed by a process that runs.
const maxTimerDelay = 20 * time.Millisecond

// maxOpinions is the number of candidates asked about a primary.
const maxOpinions = 3

// primaryProbeFailed raises the doubt about the primary by one step.
//
// Guard: an open connection can be silent for good while new ones work. It
// would show as a needless promotion, which loses unconfirmed writes. Only a
// failed new connection counts against the primary.
func (g *Group) primaryProbeFailed(m *member, fresh bool) {
	if !g.monitorsPrimary() {
		return
	}
	d := &g.detect
	if !fresh {
		if d.suspicion == suspicionNone {
			d.suspicion = suspicionFresh
			d.pausedWhileProbing = g.now.Sub(m.probe.sentAt) > m.probe.timeout+maxTimerDelay
			g.logEvent("primary suspected", m, g.leadership.term, "")
			g.askOpinions(m)
		}
		g.sendProbe(m, true)
		return
	}
	if d.suspicion == suspicionNone {
		d.suspicion = suspicionFresh
		g.askOpinions(m)
	}
	if d.suspicion == suspicionFresh {
		d.suspicion = suspicionConfirmed
	}
	m.probe.next = g.now.Add(g.tuning.ProbeInterval)
	g.scheduleAt(m.probe.next)
	g.evaluatePrimary()
}

// detecting reports whether this daemon watches its primary.
func (g *Group) monitorsPrimary() bool {
	return g.leadership.term != 0 && (g.phase == phaseWaiting || g.phase == phaseServing)
}

// askOpinions asks other candidates, those of other zones first, at the same
// time as the new connection is tried, so that the answers cost no time.
func (g *Group) askOpinions(m *member) {
	d := &g.detect
	d.opinionsAsked, d.opinionsReceived, d.reachableFrom = 0, 0, ""
	d.opinionsUntil = g.now.Add(g.tuning.OpinionTimeout)
	g.scheduleAt(d.opinionsUntil)
	for _, otherZone := range []bool{true, false} {
		for _, c := range g.candidates {
			if c.ID == g.self || d.opinionsAsked == maxOpinions || (c.Zone != g.zone) != otherZone {
				continue
			}
			d.opinionsAsked++
			g.effects.add(&AskOpinion{Member: m.ID, Peer: c.ID, Timeout: g.tuning.OpinionTimeout})
		}
	}
}

func (g *Group) onOpinion(ev *Opinion) {
	d := &g.detect
	if d.suspicion == suspicionNone || !g.monitorsPrimary() || g.leadership.primary.ID != ev.Member {
		return
	}
	d.opinionsReceived++
	if ev.Reachable && ev.Zone != g.zone && d.reachableFrom == "" {
		d.reachableFrom = ev.From
	}
	g.evaluatePrimary()
}

// judgePrimary decides once a new connection has failed and the opinions are
// in or overdue.
//
// Guard: if another zone reaches the primary, it is this daemon that is cut
// off. Promoting would depose a primary that works; the group goes to the
// daemon that reaches it instead.
func (g *Group) evaluatePrimary() {
	d := &g.detect
	if d.suspicion != suspicionConfirmed {
		return
	}
	if d.reachableFrom != "" && g.mayHandOver() {
		d.handedOverAt = g.now
		g.handOver(d.reachableFrom, "another zone reaches the primary")
		return
	}
	if d.opinionsReceived < d.opinionsAsked && g.now < d.opinionsUntil {
		g.scheduleAt(d.opinionsUntil)
		return
	}
	if g.countHealthyReplicas() == 0 && g.size() > 1 {
		return // Nothing is reached: this daemon is alone, another will claim.
	}
	g.startClaim("primary unreachable")
}

// healthyOthers counts the members besides the primary that answer.
func (g *Group) countHealthyReplicas() int {
	n := 0
	for _, m := range g.members {
		if !m.removed && m != g.leadership.primary && m.failures == 0 && m.reported {
			n++
		}
	}
	return n
}

// mayHandOver bounds how often two daemons can pass a group to and fro. A
// leadership that still waits for an older lease cannot be released.
func (g *Group) mayHandOver() bool {
	last := g.detect.handedOverAt
	return g.phase == phaseServing && (last == 0 || g.now.Sub(last) >= g.tuning.HandoverInterval)
}

// memberAnswered looks at a report for what the leadership has to deal with.
func (g *Group) memberAnswered(m *member) {
	if !g.monitorsPrimary() {
		return
	}
	if m == g.leadership.primary {
		g.primaryAnswered(m)
	}
	g.checkContested()
	g.checkTermMismatch(m)
	g.checkPrimaryLeaving()
}

func (g *Group) primaryAnswered(m *member) {
	d := &g.detect
	if d.suspicion != suspicionNone {
		if d.suspicion == suspicionFresh && !d.pausedWhileProbing {
			g.closeIdle(m) // They may be as silent as the control connection was.
			g.logEvent("connection was silent, primary is alive", m, g.leadership.term, "")
		}
		d.suspicion = suspicionNone
	}
	if m.term < g.leadership.term || (m.term == g.leadership.term && m.role != core.RolePrimary) {
		g.startClaim("primary lost its term")
	}
}

func (g *Group) runDetect() {
	if !g.monitorsPrimary() {
		return
	}
	d := &g.detect
	if d.suspicion == suspicionConfirmed {
		g.evaluatePrimary()
	}
	if !g.monitorsPrimary() {
		return
	}
	if d.contestedSince != 0 {
		until := d.contestedSince.Add(g.tuning.ContestWait)
		if g.now >= until {
			g.startClaim("the contender is silent")
			return
		}
		g.scheduleAt(until)
	}
	g.runPlanned()
	g.checkPrimaryIsolated()
}

// reportSoon asks a member for a report at the fast pace, because work on it
// failed or its last report is too old for a read.
func (g *Group) requestReport(m *member) {
	if m.probe.inFlight {
		return
	}
	m.probe.next = max(g.now, m.probe.sentAt.Add(g.tuning.FastProbeInterval))
	g.scheduleAt(m.probe.next)
}
