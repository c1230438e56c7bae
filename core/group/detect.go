package group

import (
	"time"

	"limpetspan/core"
)

// suspicion is the state of the failure detection of the primary.
type suspicion uint8

const (
	suspicionNone suspicion = iota
	// suspicionFresh: the probe on the open control connection failed; a new
	// connection is tried.
	suspicionFresh
	// suspicionConfirmed: the new connection failed too; the opinions of other
	// candidates are awaited.
	suspicionConfirmed
)

// detector decides when the primary is to be replaced, and by whom.
type detector struct {
	suspicion suspicion
	// pausedWhileProbing: this process itself was paused during the probe, so the
	// missing answer does not mean that the connection is broken.
	pausedWhileProbing bool
	// opinionsUntil bounds the wait for opinions.
	opinionsUntil    core.Time
	opinionsAsked    int
	opinionsReceived int
	// reachableFrom is a candidate of another zone that reaches the primary.
	reachableFrom core.DaemonID
	// contestedSince is when a higher term was seen at the primary or at a
	// majority; zero: none is seen. While it is set, this home does not serve.
	contestedSince core.Time
	// planned is the reason of the pending planned promotion, which was planned
	// at plannedAt.
	planned   planReason
	plannedAt core.Time
	// nextPlanAt is the earliest time of the next planned promotion or
	// replacement of an isolated primary.
	nextPlanAt core.Time
	// handedOverAt is when the group was last handed over because of an
	// unreachable primary.
	handedOverAt core.Time
	// busySince is when the primary began to refuse probes for want of a free
	// connection; zero: it does not.
	busySince   core.Time
	heartbeatAt core.Time
	isolation   isolation
}

// reset clears the state that belongs to a leadership that ends.
func (d *detector) reset() {
	*d = detector{
		handedOverAt: d.handedOverAt, heartbeatAt: d.heartbeatAt, nextPlanAt: d.nextPlanAt,
		isolation: isolation{replacements: d.isolation.replacements},
	}
}

// maxTimerDelay is how late a process that is not paused may notice a timeout.
const maxTimerDelay = 20 * time.Millisecond

// maxOpinions bounds the number of candidates asked for an opinion.
const maxOpinions = 3

// primaryProbeFailed raises the suspicion of the primary by one step.
//
// Guard: an open connection can hang forever while new ones work. A promotion
// would then be needless and would lose unconfirmed writes. Only a failed new
// connection counts as evidence against the primary.
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

// monitorsPrimary reports whether this daemon is home and monitors its primary.
func (g *Group) monitorsPrimary() bool {
	return g.leadership.term != 0 && (g.phase == phaseWaiting || g.phase == phaseServing)
}

// askOpinions asks other candidates for their opinions of the primary, those of
// other zones first. It does so while the new connection is tried, so that the
// opinions do not delay the decision.
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

// evaluatePrimary decides whether to replace the primary. It does so once a new
// connection has failed and all opinions have arrived or timed out.
//
// Guard: if another zone reaches the primary, this daemon is the one that is cut
// off. A promotion would replace a working primary, so the group is handed over
// to the daemon that reaches it instead.
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
		return // This daemon is isolated; another one will claim the group.
	}
	g.startClaim("primary unreachable")
}

// countHealthyReplicas returns the number of members other than the primary that
// answer probes.
func (g *Group) countHealthyReplicas() int {
	n := 0
	for _, m := range g.members {
		if !m.removed && m != g.leadership.primary && m.failures == 0 && m.reported {
			n++
		}
	}
	return n
}

// mayHandOver reports whether the group may be handed over because of an
// unreachable primary. HandoverInterval bounds how often two daemons hand a
// group back and forth. A leadership that still waits for an older lease must
// not be released.
func (g *Group) mayHandOver() bool {
	last := g.detect.handedOverAt
	return g.phase == phaseServing && (last == 0 || g.now.Sub(last) >= g.tuning.HandoverInterval)
}

// memberAnswered runs the checks of the home on a member's new report.
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

// toleratesBusyPrimary reports whether a probe that the primary refused for want
// of a free connection is left out of account.
//
// Guard: such a primary is alive. Connections that went silent stay open at the
// member, so those that replace them may reach its limit for a while. A promotion
// would then be needless. A primary that takes no probe for IsolationTimeout is
// replaced, because its statements cannot be monitored.
func (g *Group) toleratesBusyPrimary() bool {
	d := &g.detect
	if d.busySince == 0 {
		d.busySince = g.now
	}
	return g.now.Sub(d.busySince) < g.tuning.IsolationTimeout
}

func (g *Group) primaryAnswered(m *member) {
	d := &g.detect
	d.busySince = 0
	if d.suspicion != suspicionNone {
		if d.suspicion == suspicionFresh && !d.pausedWhileProbing {
			g.closeIdle(m) // These connections may hang as well.
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

// requestReport schedules a probe of a member at the fast interval, because work
// on it failed or its last report is too old for a read.
func (g *Group) requestReport(m *member) {
	if m.probe.inFlight {
		return
	}
	m.probe.next = max(g.now, m.probe.sentAt.Add(g.tuning.FastProbeInterval))
	g.scheduleAt(m.probe.next)
}
