package group

import "limpetspan/core"

// isolation is the state of the check for a primary that is cut off from its
// peers.
type isolation struct {
	// since is the time from which durable writes have waited without progress
	// of any replica; zero: none waits, or a replica has advanced.
	since core.Time
	// unconfirmed is the furthest position that was acknowledged without a second
	// member having it, which happens for kinds that are not durable.
	unconfirmed core.Position
	// replacements counts the isolated primaries replaced since a durable write
	// was last confirmed.
	replacements int
}

// maxIsolationShift bounds the doubling of the isolation timeout.
const maxIsolationShift = 6

// checkPrimaryIsolated replaces a primary whose log reaches no other member.
//
// Guard: a primary that is cut off only from its peers answers every probe, so
// it is never suspected. All durable writes would wait for a confirmation that
// cannot arrive and fail at their deadline for as long as the partition lasts. A
// sudden replica lag looks the same until it is over. The timeout is therefore
// longer while a replacement would lose acknowledged writes. It doubles with
// each replacement that did not lead to a confirmed write. Otherwise replicas
// that lag by more than the timeout would cause replacements indefinitely.
func (g *Group) checkPrimaryIsolated() {
	since, stuck := g.isolatedSince()
	if !stuck {
		return
	}
	d := &g.detect
	wait := g.tuning.IsolationTimeout
	if g.primaryHoldsUnconfirmed() {
		wait = g.tuning.IsolationWaitLimit
	}
	until := max(since.Add(wait<<min(d.isolation.replacements, maxIsolationShift)), d.nextPlanAt)
	if g.now < until {
		g.scheduleAt(until)
		return
	}
	d.nextPlanAt = g.now.Add(g.tuning.RepairWait)
	d.isolation.replacements++
	p := g.leadership.primary
	g.startClaim("primary is cut off from its peers")
	g.ballot.excluded = p
}

// primaryHoldsUnconfirmed reports whether only the primary has some of the
// acknowledged writes.
func (g *Group) primaryHoldsUnconfirmed() bool {
	for _, m := range g.members {
		if m != g.leadership.primary && g.isServing(m) && !m.position.Less(g.detect.isolation.unconfirmed) {
			return false
		}
	}
	return true
}

// recordAcknowledged updates the state of the isolation check when a request is
// acknowledged.
func (g *Group) recordAcknowledged(r *request) {
	i := &g.detect.isolation
	switch {
	case r.read:
	case !r.durable:
		p := r.position
		if p.IsZero() && g.leadership.primary != nil {
			p = g.leadership.primary.position
		}
		i.unconfirmed = i.unconfirmed.Max(p)
	case r.state == stateHeld:
		// Guard: a statement that wrote nothing is confirmed without progress
		// of any replica. If the wait continued to count from it, the timeout
		// would have passed when the next write begins, and a healthy primary
		// would be replaced.
		i.since, i.replacements = 0, 0
	}
}

// isolatedSince returns the time from which durable writes have waited without
// progress of any replica. stuck is set if durable writes wait, the serving
// replicas alone form a majority of the group, and none of them has the primary's
// position. The time is kept when the writes end, because their deadlines may be
// shorter than the timeout.
func (g *Group) isolatedSince() (since core.Time, stuck bool) {
	if g.phase != phaseServing || !g.holdsDurableWrites() {
		return 0, false
	}
	if g.detect.isolation.since == 0 {
		g.detect.isolation.since = g.now
	}
	replicas := 0
	for _, m := range g.members {
		if m == g.leadership.primary || !g.isServing(m) {
			continue
		}
		if !m.position.Less(g.leadership.primary.position) {
			g.detect.isolation.since = 0
			return 0, false
		}
		replicas++
	}
	return g.detect.isolation.since, replicas >= g.majority()
}

func (g *Group) holdsDurableWrites() bool {
	for _, r := range g.held {
		if r.durable {
			return true
		}
	}
	return false
}

// mayExclude reports whether the choice of the member to promote may leave out
// the ballot's excluded member: the other members that the ballot fenced must
// form a majority.
//
// Guard: a confirmed write is on the primary and at least one replica. If the
// primary is excluded while only one replica is fenced, that replica may lack
// the write, and an acknowledged write would be lost.
func (g *Group) mayExclude() bool {
	if g.ballot.excluded == nil {
		return false
	}
	fenced := 0
	for _, m := range g.members {
		if !m.removed && m != g.ballot.excluded && m.vote == voteFenced {
			fenced++
		}
	}
	return fenced >= g.majority()
}
