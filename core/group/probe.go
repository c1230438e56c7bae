package group

import (
	"time"

	"limpetspan/core"
)

// probeState paces the probes of one member; at most one is under way.
type probeState struct {
	inFlight bool
	fresh    bool
	sentAt   core.Time
	timeout  time.Duration
	next     core.Time
}

// probeGrace is how much longer than its timeout a probe may stay unanswered
// before it counts as failed.
const probeGrace = 100 * time.Millisecond

// probing reports whether this daemon watches the members: as home, or while
// it claims the group.
func (g *Group) probesMembers() bool { return g.leadership.term != 0 || g.phase == phaseProbing }

func (g *Group) runProbes() {
	if !g.probesMembers() {
		return
	}
	for _, m := range g.members {
		if !m.removed {
			g.runProbe(m)
		}
	}
}

func (g *Group) runProbe(m *member) {
	p := &m.probe
	if p.inFlight {
		limit := p.sentAt.Add(p.timeout + probeGrace)
		if g.now < limit {
			g.scheduleAt(limit)
			return
		}
		fresh := p.fresh
		p.inFlight = false
		g.probeFailed(m, FailureTimeout, fresh)
		if p.inFlight {
			return
		}
	}
	if g.phase == phaseProbing {
		return // A claim asks each member once.
	}
	due := min(p.next, g.probeDue(m))
	if m == g.leadership.primary {
		due = min(due, g.stallProbeDue(m))
	}
	if m.connLostAt >= p.sentAt {
		due = p.sentAt.Add(g.tuning.FastProbeInterval) // Whether it is still in the term.
	}
	if g.now >= due {
		g.sendProbe(m, false)
		return
	}
	g.scheduleAt(due)
}

// hurryProbes brings the next probe of each member forward to the fast pace
// until t.
func (g *Group) probeFastUntil(t core.Time) {
	if t <= g.fastProbesUntil {
		return
	}
	g.fastProbesUntil = t
	g.scheduleProbes()
}

// hurry brings the wake-up forward to when the present pace has probes due.
func (g *Group) scheduleProbes() {
	for _, m := range g.members {
		if m.removed || m.probe.inFlight {
			continue
		}
		g.scheduleAt(max(g.now, g.probeDue(m)))
	}
}

// probeSoon makes the next probe of m due now.
func (g *Group) probeNow(m *member) {
	m.probe.next = g.now
	g.scheduleAt(g.now)
}

// probeTimeoutMin and probeTimeoutFactor adapt the time limit of a probe on the
// kept connection to the round trips seen. Exceeding it costs no more than a
// new connection and a few questions, so it may be short.
const (
	minProbeTimeout    = 40 * time.Millisecond
	probeTimeoutFactor = 8
)

func (g *Group) sendProbe(m *member, fresh bool) {
	timeout := g.tuning.ProbeTimeout
	switch {
	case fresh:
		timeout = g.tuning.FreshTimeout
	case m.roundTrip > 0:
		timeout = min(timeout, max(minProbeTimeout, probeTimeoutFactor*m.roundTrip))
	}
	m.probe = probeState{
		inFlight: true, fresh: fresh, sentAt: g.now, timeout: timeout, next: never,
	}
	g.scheduleIn(timeout + probeGrace)
	g.effects.probe(Probe{Member: m.ID, Fresh: fresh, Timeout: timeout})
}

func (g *Group) onProbed(ev *Probed) {
	m := g.member(ev.Member)
	if m == nil {
		return
	}
	g.counters.Probes++
	if m.probe.inFlight && m.probe.fresh == ev.Fresh && ev.SentAt >= m.probe.sentAt {
		m.probe.inFlight = false
	}
	if ev.Err != FailureNone {
		g.probeFailed(m, ev.Err, ev.Fresh)
	} else {
		m.observeRoundTrip(g.now.Sub(ev.SentAt))
		g.report(m, &ev.Status, ev.SentAt)
		g.probeAnswered(m)
	}
	if g.probesMembers() && !m.probe.inFlight {
		g.scheduleAt(min(m.probe.next, g.probeDue(m)))
	}
	g.releaseHeld()
	g.evictReplicatedSessions()
	g.fillPools()
	g.dispatchQueued()
}

// observeRoundTrip smooths the time that probes take; the first counts whole.
func (m *member) observeRoundTrip(d time.Duration) {
	if m.roundTrip == 0 {
		m.roundTrip = d
		return
	}
	m.roundTrip += (d - m.roundTrip) / 8
}

func (g *Group) probeFailed(m *member, err Failure, fresh bool) {
	m.failures++
	g.counters.ProbeFailures++
	if err == FailureLeaving {
		m.stopping = true
	}
	switch {
	case g.phase == phaseProbing:
		g.claimProbeFailed(m)
	case g.isPrimary(m) && err == FailureLeaving:
		m.probe.next = g.now.Add(g.tuning.ProbeInterval)
		g.scheduleAt(m.probe.next)
		g.checkPrimaryLeaving()
	case g.isPrimary(m):
		g.primaryProbeFailed(m, fresh)
	case !fresh && g.leadership.term != 0:
		// Guard: a kept connection can be silent for good while new ones work.
		// It would show as a replica that never serves again. A new connection
		// tells the two apart.
		g.sendProbe(m, true)
	default:
		m.probe.next = g.now.Add(g.tuning.ProbeInterval)
		g.scheduleAt(m.probe.next)
	}
}

func (g *Group) probeAnswered(m *member) {
	if g.phase == phaseProbing {
		g.claimProbeAnswered()
		return
	}
	if g.leadership.term != 0 {
		g.memberAnswered(m)
	}
}
