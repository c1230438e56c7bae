package group

import (
	"time"

	"limpetspan/core"
)

// positionPaceMax bounds the pace at which a slow replica is asked whether it
// has a position.
const maxPositionProbeInterval = 10 * time.Millisecond

// confirmWaitLimit is the longest time after a write at which a replica is
// first asked whether it has it.
const maxConfirmDelay = 30 * time.Millisecond

// probeDue is when a member is to be probed: at the slow pace, which keeps the
// lease, or sooner while something waits for its report. A member that failed
// its last probe is left to the slow pace.
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

// awaits reports whether a step waits for the very next report of a member:
// any member's for the term lease or a planned promotion, the primary's for a
// position that is not known.
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

// positionDue is when a replica is to be asked whether it has the position
// that reads or held writes wait for. A write is expected after the usual
// delay and asked for at the replicas that are quickest to have it, the others
// only if those are late. What a read brought along counts as a report.
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

// quick reports whether m is among the replicas that are expected to make up a
// majority with the primary first.
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

// stalledAt is when the oldest statement at a member has taken so much longer
// than usual that a probe is to look, rather than wait for its turn; never if
// one did since. It takes most of the probe interval out of the failover gap.
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

// stallMin and stallFactor say how long a statement may take, beside what is
// usual, before the primary is looked at.
const (
	minStallTimeout    = 15 * time.Millisecond
	stallTimeoutFactor = 4
)

func (m *member) stallTimeout() time.Duration {
	return max(minStallTimeout, stallTimeoutFactor*m.serviceTime)
}
