package group

import (
	"time"

	"limpetspan/core"
)

// probeState is the state of the probes of one member. At most one probe is in
// flight.
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

// probesMembers reports whether this daemon probes the members: as home, or
// while it claims the group.
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
		return // A claim probes each member once.
	}
	due := min(p.next, g.probeDue(m))
	if m == g.leadership.primary {
		due = min(due, g.stallProbeDue(m))
	}
	if m.connLostAt >= p.sentAt {
		due = p.sentAt.Add(g.tuning.FastProbeInterval) // Check whether the member is still in the term.
	}
	if g.now >= due {
		g.sendProbe(m, false)
		return
	}
	g.scheduleAt(due)
}

// probeFastUntil makes the replicas be probed at the fast interval until t.
func (g *Group) probeFastUntil(t core.Time) {
	if t <= g.fastProbesUntil {
		return
	}
	g.fastProbesUntil = t
	g.scheduleProbes()
}

// scheduleProbes schedules the timers for the next probe that is due.
func (g *Group) scheduleProbes() {
	for _, m := range g.members {
		if m.removed || m.probe.inFlight {
			continue
		}
		g.scheduleAt(max(g.now, g.probeDue(m)))
	}
}

// probeNow makes the next probe of m due immediately.
func (g *Group) probeNow(m *member) {
	m.probe.next = g.now
	g.scheduleAt(g.now)
}

// The timeout of a probe on the open control connection is probeTimeoutFactor
// times the smoothed round-trip time, but at least minProbeTimeout. It may be
// short, because exceeding it costs only a new connection and a few opinions.
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

// observeRoundTrip updates the smoothed round-trip time. The first sample is
// taken as it is.
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
	case g.isPrimary(m) && err == FailureBusy && g.toleratesBusyPrimary():
		m.probe.next = g.now.Add(g.tuning.ProbeInterval)
		g.scheduleAt(m.probe.next)
	case g.isPrimary(m):
		g.primaryProbeFailed(m, fresh)
	case !fresh && g.leadership.term != 0:
		// Guard: an open connection can hang forever while new ones work. The
		// replica would then never serve again. A probe on a new connection
		// distinguishes a hanging connection from a failed member.
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
