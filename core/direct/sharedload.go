package direct

import (
	"fmt"
	"time"

	"limpetspan/core"
	"limpetspan/core/placement"
	"limpetspan/core/policy"
)

// SetSharedLoad sets whether reads are placed by what all homes of the group have running on its
// members. It is meant for groups with several homes in a fleet of uneven hosts, or with members of
// uneven slots; see the package placement. It reports whether that has changed.
func (g *Group) SetSharedLoad(on bool) (changed bool) {
	before := g.sharedLoad
	g.sharedLoad = on && g.policy.Has(policy.SharedLoad)
	return g.sharedLoad != before
}

// SetPlacement sets how a member is chosen by its cost. Only comparisons change it.
func (g *Group) SetPlacement(v placement.Variant) { g.variant = v }

// HasUnevenMembers reports whether the members run different numbers of statements at once.
func (g *Group) HasUnevenMembers() bool {
	slots := 0
	for _, m := range g.members {
		if slots != 0 && m.Slots != slots {
			return true
		}
		slots = m.Slots
	}
	return false
}

// observeRunning updates the mean numbers of this daemon's statements on the members.
func (g *Group) observeRunning(now core.Time) {
	if !g.sharedLoad {
		return
	}
	for _, m := range g.members {
		m.running.Observe(now, m.inUse())
	}
}

// expireOthers removes reports of other homes that are too old.
func (g *Group) expireOthers(now core.Time) {
	for _, m := range g.members {
		m.others.Expire(now.Add(-PeerReportTTL))
	}
}

// assumeIdleAtPeers enters the other homes for a member that is new or has restarted, as if they had
// reported no statement there. All of them find it idle, and each would otherwise send it reads until
// their next reports show that it is not.
func (g *Group) assumeIdleAtPeers(now core.Time, m *member) {
	if !g.sharedLoad {
		return
	}
	for id, p := range g.peers {
		if p.sharesLoad && p.isFresh(now) {
			m.others.Reported(p.at, id, 0, 0)
		}
	}
}

// recordPeerRunning records what another home has running on the members. A member that its report
// does not contain has no statement of that home. The report of a home that does not share its load
// is ignored, and so is what it reports about another incarnation of a member.
func (g *Group) recordPeerRunning(now core.Time, from core.DaemonID, r *Report) {
	if !g.sharedLoad || !r.SharesLoad {
		return
	}
	g.observeRunning(now)
	for id, m := range g.members {
		if mean, ok := m.runningIn(id, r); ok {
			m.others.Reported(now, from, mean, m.running.Value())
		}
	}
}

// runningIn returns what the report contains about the member, false if that is about another
// incarnation.
func (m *member) runningIn(id core.MemberID, r *Report) (mean float64, ok bool) {
	for i := range r.Members {
		if x := &r.Members[i]; x.Member == id {
			// No more statements can be running than the sender has connections.
			return min(x.Running, float64(x.OpenConns)), x.Started == 0 || m.Started == 0 || x.Started == m.Started
		}
	}
	return 0, true
}

// RecordService records that a read of the kind succeeded where it was placed.
func (g *Group) RecordService(now core.Time, p *Placement, kind string, took time.Duration) {
	if m := g.members[p.Member]; m != nil && g.sharedLoad {
		m.times.Observe(now, &g.times, kind, took, p.Wait)
	}
}

// waitAtPlacement returns the expected wait on the member, zero if load is not shared.
func (g *Group) waitAtPlacement(m *member) (w placement.Wait) {
	if g.sharedLoad {
		w = m.expectedWait(m.inUse())
	}
	return w
}

// expectedWait returns the expected wait on the member behind own statements of this daemon and those
// of the other homes.
func (m *member) expectedWait(own int) placement.Wait {
	return placement.Expect(m.Slots, own, m.others.Expected(m.running.Value()))
}

// readCost returns the cost of a read of the kind on the member.
func (g *Group) readCost(now core.Time, id core.MemberID, m *member, minRate float64, kind string) time.Duration {
	if !g.sharedLoad {
		return g.cost(now, id, m, minRate)
	}
	service, mean := m.times.Of(now, &g.times, kind), float64(g.times.Mean())
	wait := m.expectedWait(m.inUse())
	cost := service + time.Duration(mean*(wait.Turns+wait.Caused))
	if m.Zone != g.zone {
		cost += crossZoneCost
	}
	if g.policy.Has(policy.AvoidFailing) {
		cost += expectedFailureCost(m.failures.current(now)-minRate) + g.silenceCost(now, m)
	}
	if id == g.primary {
		cost += g.sharedPrimaryReadCost(now, m, service)
	}
	return cost
}

// silenceCost returns what a read is expected to lose on the member because the member does not
// answer, beyond the cost of other failures: the read runs elsewhere only after the answer timeout.
// A member that hangs on part of its work has the usual service time for the rest.
func (g *Group) silenceCost(now core.Time, m *member) time.Duration {
	rate := m.unanswered.current(now)
	if rate == 0 {
		return 0
	}
	lowest := rate
	for _, o := range g.members {
		lowest = min(lowest, o.unanswered.current(now))
	}
	return time.Duration((rate - lowest) * float64(max(0, m.answerTimeout()-failureCost)))
}

// sharedPrimaryReadCost is primaryReadCost with the load that all homes report. While the report of some
// home is missing, it is not less than by the primary's own status, which counts the statements of all;
// without a recent status it is maxPrimaryReadCost. The status alone, a mean over 3 s, follows changes
// later than the reports.
func (g *Group) sharedPrimaryReadCost(now core.Time, m *member, service time.Duration) time.Duration {
	if !g.policy.Has(policy.PlaceByLoad) {
		return maxPrimaryReadCost
	}
	use := (float64(m.inUse()) + m.others.Expected(m.running.Value())) / float64(max(1, m.Slots))
	cost := costOfUse(use, service)
	if m.others.Homes() < g.otherHomes() || !m.load.isRecent(now) {
		cost = max(cost, g.primaryReadCost(now, m, service))
	}
	return cost
}

// otherHomes returns the number of the group's homes without this daemon.
func (g *Group) otherHomes() int {
	if g.isHome {
		return g.homeCount - 1
	}
	return g.homeCount
}

// countOutOfZone counts a read that is placed on the member, if that is in another zone.
func (g *Group) countOutOfZone(id core.MemberID) {
	if g.sharedLoad && g.members[id].Zone != g.zone {
		g.readsOutOfZone++
	}
}

// loadView returns the view of the member's load, nil if load is not shared.
func (g *Group) loadView(now core.Time, m *member) *LoadView {
	if !g.sharedLoad {
		return nil
	}
	v := &LoadView{Own: m.running.Value(), Others: m.others.Expected(m.running.Value()), Homes: m.others.Homes(), ServiceMS: make(map[string]float64)}
	for _, kind := range g.times.Kinds() {
		v.ServiceMS[kind] = inMilliseconds(m.times.Of(now, &g.times, kind))
	}
	v.WaitMS = m.expectedWait(m.inUse()).Turns * inMilliseconds(g.times.Mean())
	return v
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// explainLoad returns the other homes' load of the member, for the log; "" if load is not shared.
func (g *Group) explainLoad(m *member) string {
	if !g.sharedLoad {
		return ""
	}
	return fmt.Sprintf(", %.1f in use by %d other homes", m.others.Expected(m.running.Value()), m.others.Homes())
}

// draw returns a number that differs from one placement to the next. It is derived from the time and
// is random enough to choose between two members.
func (g *Group) draw(now core.Time) uint64 {
	g.placed++
	x := uint64(now) + g.placed*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
