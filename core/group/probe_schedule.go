package group

import (
	"time"

	"limpetspan/core"
)

// maxPositionProbeInterval bounds the interval at which a slow replica is probed
// for a position.
const maxPositionProbeInterval = 10 * time.Millisecond

// maxConfirmDelay bounds the time between a held write and the first probe that
// checks whether a replica has it.
const maxConfirmDelay = 30 * time.Millisecond

// probeDue returns when a member must be probed next: at the slow interval,
// which maintains the lease, or sooner if something waits for its report. A
// member that failed its last probe is probed at the slow interval only.
func (g *Group) probeDue(m *member) core.Time {
	slow := m.probe.sentAt.Add(g.tuning.ProbeInterval)
	switch {
	case m.failures > 0:
		return slow
	case g.awaitsReport(m):
		return min(slow, m.probe.sentAt.Add(g.tuning.FastProbeInterval))
	case m == g.leadership.primary:
		return slow
	}
	return min(slow, g.positionProbeDue(m))
}

// awaitsReport reports whether something waits for the next report of a member:
// the term lease or a planned promotion for any member's, a pending position for
// the primary's.
func (g *Group) awaitsReport(m *member) bool {
	if g.detect.planned != planNone {
		return true
	}
	if g.phase == phaseServing && !g.leaseHolds() && len(g.requests) > 0 {
		return true
	}
	if m != g.leadership.primary {
		return false
	}
	return g.sessions.pending > 0 || len(g.held) > 0 && g.held[0].position.IsZero()
}

// positionProbeDue returns when a replica must be probed for the position that
// reads or held writes wait for. For a held write, the fastest replicas that
// complete a majority are probed shortly before their usual lag has passed; the
// others are probed only if those are late. A position returned by a read counts
// as a report.
func (g *Group) positionProbeDue(m *member) core.Time {
	interval := min(max(g.tuning.FastProbeInterval, m.lag.mean/4), maxPositionProbeInterval)
	next := max(m.probe.sentAt, m.positionAt).Add(interval)
	due := never
	if g.now < g.fastProbesUntil {
		due = next
	}
	if g.now < g.lagProbesUntil {
		due = min(due, max(m.probe.sentAt, m.positionAt).Add(maxPositionProbeInterval))
	}
	if len(g.held) > 0 {
		expected := m.lag.mean * 3 / 4
		if !g.inFastestMajority(m) {
			expected = 2*m.lag.expectedDelay() + maxPositionProbeInterval
		}
		expected = min(expected, maxConfirmDelay)
		due = min(due, max(g.held[0].dispatchedAt.Add(expected), next))
	}
	return due
}

// inFastestMajority reports whether m is one of the replicas that are expected
// to complete a majority with the primary first.
func (g *Group) inFastestMajority(m *member) bool {
	ahead := 0
	for _, x := range g.members {
		if x == m {
			continue
		}
		if g.isServing(x) && (x.lag.mean < m.lag.mean || x.lag.mean == m.lag.mean && x.ID < m.ID) {
			ahead++
		}
	}
	return ahead < g.majority()-1
}

// stallProbeDue returns when the oldest statement at a member has exceeded the
// stall timeout, so that the member is probed before its regular interval. It
// returns never if no statement runs or a probe was sent since. This shortens
// the detection of a failed primary by most of the probe interval.
func (g *Group) stallProbeDue(m *member) core.Time {
	oldest := never
	for _, c := range g.conns {
		if c.member == m && c.request != nil {
			oldest = min(oldest, c.stateSince)
		}
	}
	if oldest == never {
		return never
	}
	at := oldest.Add(m.stallTimeout())
	if m.probe.sentAt >= at {
		return never
	}
	return at
}

// The stall timeout of a statement is stallTimeoutFactor times the usual service
// time, but at least minStallTimeout. When it has passed, the primary is probed.
const (
	minStallTimeout    = 15 * time.Millisecond
	stallTimeoutFactor = 4
)

func (m *member) stallTimeout() time.Duration {
	return max(minStallTimeout, stallTimeoutFactor*m.serviceTime)
}
