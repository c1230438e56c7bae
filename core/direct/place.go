package direct

import (
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/policy"
)

// Need is what a statement, or the first of a transaction, asks of a member.
type Requirement struct {
	// Primary is set for writes, transactions that may write, and reads that
	// must see every acknowledged commit.
	Primary bool
	// MaxAge bounds what a read may miss, counted back from Arrived.
	MaxAge  time.Duration
	Arrived core.Time
	// Session is the position of the session's last commit, whose term is the leadership
	// that took it; SessionAt is when it was acknowledged.
	Session   core.Position
	SessionAt core.Time
	// Avoid are members that were tried before.
	Exclude []core.MemberID
	// Team is whose connections can be used.
	Team core.TeamID
}

// Place says on which member a statement is to run.
type Placement struct {
	Member core.MemberID
	// Since is what the member's log has to cover for a read; zero: nothing.
	MinPosition core.Position
	// Primary is set if the member is used as the primary, under the lease.
	Primary bool
	// Dial is set if a connection has to be opened first, Replace if an idle one of
	// another team has to be closed for it.
	Dial, Replace bool
	// AnswerTimeout is how long to wait for an answer that may be given up.
	AnswerTimeout time.Duration
}

// Place returns where the statement may run now; false: nowhere yet.
func (g *Group) Place(now core.Time, n Requirement) (Placement, bool) {
	if n.Primary {
		return g.placePrimary(now, n)
	}
	since, ok := g.readRequirement(n)
	if !ok {
		return g.placePrimary(now, n)
	}
	return g.placeRead(now, n, since)
}

func (g *Group) placePrimary(now core.Time, n Requirement) (Placement, bool) {
	m := g.members[g.primary]
	if m == nil || !g.HasLease(now) || !g.hasOwnStatus(m) || m.isBusy(now) {
		return Placement{}, false
	}
	way, ok := g.findConn(now, m, n.Team)
	return Placement{Member: m.ID, MinPosition: g.requiredPrimaryPosition(), Primary: true, Dial: way != reuseConn, Replace: way == replaceConn, AnswerTimeout: m.answerTimeout()}, ok
}

// askedIt says whether this daemon itself has a status of the primary's present life.
// What others say of it may be of the life before, and without a position of its own to
// go by the daemon would not notice an empty log.
func (g *Group) hasOwnStatus(m *member) bool { return m.statusAt != 0 || !g.enforces(GuardRestart) }

// ownLog is what the primary's log has to cover: what is known of it. A primary that
// has started again has an empty log, and as a replica would answer reads from it until
// this daemon notices; so it refuses them instead.
func (g *Group) requiredPrimaryPosition() core.Position {
	if !g.enforces(GuardRestart) {
		return core.Position{}
	}
	return g.lastKnownPosition()
}

// requirement is what a replica must cover for the read: a position, and since
// when the primary has had it.
func (g *Group) readRequirement(n Requirement) (sample, bool) {
	since, ok := g.samples.since(n.Arrived.Add(-n.MaxAge))
	if !ok || n.Session.IsZero() || !g.enforces(GuardSessionPosition) {
		return since, ok
	}
	if n.Session.Term < g.term {
		// The session's commit may have been lost with its primary, and then no log
		// covers its position. The newest sample of this leadership covers what was kept.
		return g.samples.newest()
	}
	if since.position.Less(n.Session) {
		return sample{n.SessionAt, n.Session}, true
	}
	return since, true
}

func (g *Group) placeRead(now core.Time, n Requirement, since sample) (Placement, bool) {
	var best Placement
	var bestCost time.Duration
	found := false
	faults := g.minFailureRate(now)
	for _, id := range g.order {
		m := g.members[id]
		if slices.Contains(n.Exclude, id) || !g.canServeRead(now, id, m, since) {
			continue
		}
		way, ok := g.findConn(now, m, n.Team)
		if !ok {
			continue
		}
		cost := g.cost(now, id, m, faults)
		if !found || cost < bestCost {
			best, bestCost, found = Placement{Member: id, MinPosition: since.position, Dial: way != reuseConn, Replace: way == replaceConn, AnswerTimeout: m.answerTimeout()}, cost, true
		}
	}
	if found && best.Member == g.primary {
		best.MinPosition, best.Primary = g.requiredPrimaryPosition(), true
	}
	return best, found
}

func (g *Group) canServeRead(now core.Time, id core.MemberID, m *member, since sample) bool {
	if m.isLeaving(now) || m.suspect || m.lastSeen == 0 || m.isBusy(now) || m.unreadable && id != g.primary {
		return false
	}
	if id == g.primary {
		return g.HasLease(now) && g.hasOwnStatus(m)
	}
	if !m.position.Less(since.position) || now.Sub(since.at) > m.lag+LagMargin {
		return true
	}
	// Nobody else tells that a replica has caught up: it is tried again.
	return now.Sub(m.positionAt) > max(LagMargin, m.lag/4)
}

// cost is the time that a read on the member is expected to take, or to cost others.
// leastFaults is the share that fails on the best replica.
func (g *Group) cost(now core.Time, id core.MemberID, m *member, leastFaults float64) time.Duration {
	latency := m.latency
	if latency == 0 {
		latency = initialLatency
	}
	cost := latency + g.queueDelay(m, latency)
	if m.Zone != g.zone {
		cost += crossZoneCost
	}
	if g.policy.Has(policy.AvoidFailing) {
		cost += expectedFailureCost(m.failures.current(now) - leastFaults)
	}
	switch {
	case id != g.primary:
	case g.policy.Has(policy.PlaceByLoad):
		cost += g.primaryReadCost(now, m, latency)
	default:
		cost += maxPrimaryReadCost
	}
	return cost
}

// way is how a connection to a member is had.
type connSource int

const (
	// reuse takes an idle connection of the team.
	reuseConn connSource = iota
	// dial opens one.
	dialConn
	// replace closes an idle one of another team and opens one: with more teams than
	// connections a team that asks seldom would otherwise wait for ever.
	replaceConn
)

// room says how a connection to the member can be had for the team; false: not now.
func (g *Group) findConn(now core.Time, m *member, team core.TeamID) (connSource, bool) {
	switch {
	case m.addressReused || float64(m.inUse()) >= m.window:
		return dialConn, false
	case m.idleByTeam[team] > 0:
		return reuseConn, true
	case now < m.dialBlockedUntil:
		return dialConn, false
	case now >= m.connLimitUntil && (m.open < g.GuaranteedConns(m.ID) || g.knownConns(now, m.ID, m) < g.softLimit(m.ID)):
		return dialConn, true
	}
	// Also at a full member: after a loss of power it counts the connections of the dead for
	// seconds, and a home with idle ones of other teams would refuse all teams that have none.
	return replaceConn, m.idle > 0
}
