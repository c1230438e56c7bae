package direct

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/policy"
)

// A new status has the weight 1/loadWeight in a member's mean load. The primary is probed every
// RoleProbeInterval, so the mean follows within 3 s.
const loadWeight = 4

// loadEstimate is the recent mean number of statements of all daemons that a member runs or has in
// its own queue. A daemon knows only its own statements; the member's status counts those of all.
type loadEstimate struct {
	mean float64
	// at is when the newest status in the mean was requested; 0 if there is none.
	at core.Time
}

// observe adds a status that was requested at sent. running includes the status request, which
// uses a slot itself.
func (l *loadEstimate) observe(sent core.Time, running int) {
	others := float64(max(0, running-1))
	if l.at == 0 {
		l.mean = others
	}
	l.mean += (others - l.mean) / loadWeight
	l.at = sent
}

// updateFromPeer adopts another daemon's mean if it is newer.
func (l *loadEstimate) updateFromPeer(at core.Time, mean float64) {
	if at > l.at {
		l.mean, l.at = mean, at
	}
}

// isRecent reports whether a recent status is in the mean.
func (l *loadEstimate) isRecent(now core.Time) bool {
	return l.at != 0 && now.Sub(l.at) <= loadTTL
}

// queueDelay returns how long a statement waits for a slot. A member with free slots runs it at
// once. Otherwise each statement that must finish before it adds latency divided by the number of
// slots.
func (g *Group) queueDelay(m *member, latency time.Duration) time.Duration {
	if !g.policy.Has(policy.PlaceBySlots) {
		return latency * time.Duration(m.inUse())
	}
	slots := max(1, m.Slots)
	return latency * time.Duration(max(0, m.inUse()+1-slots)) / time.Duration(slots)
}

// InUse returns how many statements this daemon runs at the primary, and at all members.
func (g *Group) InUse() (primary, all int) {
	for id, m := range g.members {
		all += m.inUse()
		if id == g.primary {
			primary = m.inUse()
		}
	}
	return primary, all
}

// primaryReadCost returns the cost of a read on the primary in addition to its own time: the delay
// that it causes to statements that only the primary can run. For a statement of the given latency
// it is latency x u^2 / (1-u)^2, where u is the share of the primary's slots that are in use. As in
// a queue with few servers, that is close to nothing at a quarter, half a statement at 0.4, and
// more than any alternative at 0.8. Without a recent status it is maxPrimaryReadCost.
func (g *Group) primaryReadCost(now core.Time, m *member, latency time.Duration) time.Duration {
	if !m.load.isRecent(now) {
		return maxPrimaryReadCost
	}
	return costOfUse(max(m.load.mean, float64(m.inUse()))/float64(max(1, m.Slots)), latency)
}

// costOfUse returns primaryReadCost for the share of slots in use.
func costOfUse(use float64, latency time.Duration) time.Duration {
	if use >= 1 {
		return maxPrimaryReadCost
	}
	ratio := use / (1 - use)
	return min(maxPrimaryReadCost, time.Duration(float64(latency)*ratio*ratio))
}

const (
	// loadTTL is how long a status describes a primary's load: the time of a few probes.
	loadTTL = 3 * RoleProbeInterval
	// maxPrimaryReadCost exceeds the time of a read in any queue in which it can still meet its
	// latency goal.
	maxPrimaryReadCost = 60 * time.Millisecond
)
