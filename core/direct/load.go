package direct

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/policy"
)

// loadWeight is the weight of a new status in a member's mean load, 1/4: a probe of
// the primary comes every RoleProbeInterval, so that the mean follows within 3 s.
const loadWeight = 4

// load is how many statements of all daemons a member has had under way lately,
// running and waiting in its own queue. A daemon knows only its own statements; the
// member's status counts all.
type loadEstimate struct {
	mean float64
	// at is when the newest status in it was asked for; 0: none is.
	at core.Time
}

// saw takes a status that was asked for at sent. The status itself takes a slot.
func (l *loadEstimate) observe(sent core.Time, busy int) {
	others := float64(max(0, busy-1))
	if l.at == 0 {
		l.mean = others
	}
	l.mean += (others - l.mean) / loadWeight
	l.at = sent
}

// told takes another daemon's mean, if that is newer.
func (l *loadEstimate) updateFromPeer(at core.Time, mean float64) {
	if at > l.at {
		l.mean, l.at = mean, at
	}
}

// queueing is how long a statement waits for a slot: a member with slots to spare runs
// it at once. Each that is under way beyond them takes its part of a slot's time.
func (g *Group) queueDelay(m *member, latency time.Duration) time.Duration {
	if !g.policy.Has(policy.PlaceBySlots) {
		return latency * time.Duration(m.inUse())
	}
	slots := max(1, m.Slots)
	return latency * time.Duration(max(0, m.inUse()+1-slots)) / time.Duration(slots)
}

// reserve is the cost of a read on the primary beyond the time that it takes there
// itself: the time by which it delays statements that only the primary can run. Of a
// statement of the given length it is latency x u^2 / (1-u)^2, where u is the share
// of the primary's slots that are in use: as in a queue with few servers, it is next
// to nothing at a quarter, half a statement at 0.4, and outweighs every other way at
// 0.8. Without a status that is young enough the primary is spared.
func (g *Group) primaryReadCost(now core.Time, m *member, latency time.Duration) time.Duration {
	if m.load.at == 0 || now.Sub(m.load.at) > loadTTL {
		return maxPrimaryReadCost
	}
	use := max(m.load.mean, float64(m.inUse())) / float64(max(1, m.Slots))
	if use >= 1 {
		return maxPrimaryReadCost
	}
	spent := use / (1 - use)
	return min(maxPrimaryReadCost, time.Duration(float64(latency)*spent*spent))
}

const (
	// loadFresh is how long a status tells a primary's load: the time of some probes.
	loadTTL = 3 * RoleProbeInterval
	// mostReserve is more than a read takes in any queue that is still in time.
	maxPrimaryReadCost = 60 * time.Millisecond
)
