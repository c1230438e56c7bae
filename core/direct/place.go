package direct

import (
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/placement"
	"limpetspan/core/policy"
)

// Requirement is what a statement, or the first statement of a transaction, requires of a member.
type Requirement struct {
	// Primary is set for writes, transactions that may write, and reads that must see every
	// acknowledged commit.
	Primary bool
	// MaxAge bounds the age of the commits that a read may miss, counted back from Arrived.
	MaxAge  time.Duration
	Arrived core.Time
	// Session is the position of the session's last commit, whose term is that of the primary that
	// executed it. SessionAt is when the commit was acknowledged.
	Session   core.Position
	SessionAt core.Time
	// Exclude lists the members that were tried before.
	Exclude []core.MemberID
	// Team is the team whose connections can be used.
	Team core.TeamID
	// Kind is the kind of statement whose service time is learned.
	Kind string
}

// Placement is the member on which a statement is to run.
type Placement struct {
	Member core.MemberID
	// MinPosition is the position that the member's log must cover; zero if there is none.
	MinPosition core.Position
	// Primary is set if the member is used as the primary, under the lease.
	Primary bool
	// Dial is set if a connection must be opened first, Replace if an idle one of another team must
	// be closed to make room for it.
	Dial, Replace bool
	// AnswerTimeout is how long to wait for the answer if the statement can be retried.
	AnswerTimeout time.Duration
	// Wait is the expected wait for a slot, if load is shared.
	Wait placement.Wait
}

// Place returns the member on which the statement can run now, and false if there is none.
func (g *Group) Place(now core.Time, req Requirement) (Placement, bool) {
	g.observeRunning(now)
	if req.Primary {
		return g.placePrimary(now, req)
	}
	required, ok := g.readRequirement(req)
	if !ok {
		return g.placePrimary(now, req)
	}
	return g.placeRead(now, req, required)
}

func (g *Group) placePrimary(now core.Time, req Requirement) (Placement, bool) {
	m := g.members[g.primary]
	if m == nil || !g.HasLease(now) || !g.hasOwnStatus(m) || m.isBusy(now) || g.isDrained(now, m) {
		return Placement{}, false
	}
	source, ok := g.findConn(now, m, req.Team)
	return Placement{Member: m.ID, MinPosition: g.requiredPrimaryPosition(), Primary: true, Dial: source != reuseConn, Replace: source == replaceConn, AnswerTimeout: m.answerTimeout(), Wait: g.waitAtPlacement(m)}, ok
}

// isDrained reports whether the member has been leaving for so long that it must get no new work,
// even if no other member can take it over.
func (g *Group) isDrained(now core.Time, m *member) bool {
	since := m.goneSince()
	return g.drainLimit > 0 && since != 0 && now.Sub(since) >= g.drainLimit
}

// IsPrimaryDrained reports whether the requirement cannot be served because the primary is leaving,
// gets no new work any more and has no successor. When a member will be able to take over is not
// known. A read waits for a replica that answers, which may catch up.
func (g *Group) IsPrimaryDrained(now core.Time, req Requirement) bool {
	p := g.members[g.primary]
	if p == nil || !g.isDrained(now, p) || g.isChangingPrimary(now) {
		return false
	}
	_, sampled := g.readRequirement(req)
	return req.Primary || !sampled || !g.anyReplicaAnswers(now)
}

// anyReplicaAnswers reports whether a replica that stays answers.
func (g *Group) anyReplicaAnswers(now core.Time) bool {
	for id, m := range g.members {
		if id != g.primary && !m.isLeaving(now) && !m.suspect && !m.unreadable && m.lastSeen != 0 {
			return true
		}
	}
	return false
}

// hasOwnStatus reports whether this daemon itself has a status of the primary's current
// incarnation. Reports of other daemons may be about an earlier incarnation, and without a position
// of its own to compare with the daemon would not detect an empty log.
func (g *Group) hasOwnStatus(m *member) bool { return m.statusAt != 0 || !g.enforces(GuardRestart) }

// requiredPrimaryPosition returns the position that the primary's log must cover: the last one
// known. A primary that has restarted has an empty log and would answer reads from it, as a
// replica, until this daemon detects the restart. With this position it refuses them.
func (g *Group) requiredPrimaryPosition() core.Position {
	if !g.enforces(GuardRestart) {
		return core.Position{}
	}
	return g.lastKnownPosition()
}

// readRequirement returns the position that a replica must cover for the read, and the time since
// which the primary has had it.
func (g *Group) readRequirement(req Requirement) (sample, bool) {
	required, ok := g.samples.since(req.Arrived.Add(-req.MaxAge))
	if !ok || req.Session.IsZero() || !g.enforces(GuardSessionPosition) {
		return required, ok
	}
	if req.Session.Term < g.term {
		// The session's commit may have been lost with its primary, in which case no log covers its
		// position. The newest sample of the current term covers everything that was kept.
		return g.samples.newest()
	}
	if required.position.Less(req.Session) {
		return sample{req.SessionAt, req.Session}, true
	}
	return required, true
}

func (g *Group) placeRead(now core.Time, req Requirement, required sample) (Placement, bool) {
	minRate := g.minFailureRate(now)
	found, costs := g.candidates[:0], g.costs[:0]
	for _, id := range g.order {
		m := g.members[id]
		if slices.Contains(req.Exclude, id) || !g.canServeRead(now, id, m, required) {
			continue
		}
		source, ok := g.findConn(now, m, req.Team)
		if !ok {
			continue
		}
		found = append(found, Placement{Member: id, MinPosition: required.position, Dial: source != reuseConn, Replace: source == replaceConn, AnswerTimeout: m.answerTimeout()})
		costs = append(costs, g.readCost(now, id, m, minRate, req.Kind))
	}
	g.candidates, g.costs = found, costs
	if len(found) == 0 {
		return Placement{}, false
	}
	best := found[placement.Choose(g.variant, costs, g.draw(now))]
	best.Wait = g.waitAtPlacement(g.members[best.Member])
	g.countOutOfZone(best.Member)
	if best.Member == g.primary {
		best.MinPosition, best.Primary = g.requiredPrimaryPosition(), true
	}
	return best, true
}

func (g *Group) canServeRead(now core.Time, id core.MemberID, m *member, required sample) bool {
	if m.isLeaving(now) || m.suspect || m.lastSeen == 0 || m.isBusy(now) || m.unreadable && id != g.primary {
		return false
	}
	if id == g.primary {
		return g.HasLease(now) && g.hasOwnStatus(m)
	}
	if !m.position.Less(required.position) || now.Sub(required.at) > m.lag+LagMargin {
		return true
	}
	// No event announces that a replica has caught up, so it is tried again.
	return now.Sub(m.positionAt) > max(LagMargin, m.lag/4)
}

// cost returns the expected time of a read on the member, plus the delay that the read causes to
// other statements. minRate is the failure rate of the best replica.
func (g *Group) cost(now core.Time, id core.MemberID, m *member, minRate float64) time.Duration {
	latency := m.latency
	if latency == 0 {
		latency = initialLatency
	}
	cost := latency + g.queueDelay(m, latency)
	if m.Zone != g.zone {
		cost += crossZoneCost
	}
	if g.policy.Has(policy.AvoidFailing) {
		cost += expectedFailureCost(m.failures.current(now) - minRate)
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

// connSource is how a connection to a member is obtained.
type connSource int

const (
	// reuseConn takes an idle connection of the team.
	reuseConn connSource = iota
	// dialConn opens a connection.
	dialConn
	// replaceConn closes an idle connection of another team and opens one. With more teams than
	// connections, a team with few statements would otherwise wait forever.
	replaceConn
)

// findConn returns how a connection to the member can be obtained for the team, and false if that
// is not possible now.
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
	// An idle connection is replaced even if the member is at its connection limit. After a power
	// failure the member counts the connections of dead hosts for seconds, and a home whose idle
	// connections belong to other teams would otherwise refuse every team that has none.
	return replaceConn, m.idle > 0
}
