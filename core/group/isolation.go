package group

import "limpetspan/core"

// isolation is what is known of the primary's being cut off from its peers.
type isolation struct {
	// since is since when durable writes have waited without any replica
	// advancing; zero: none wait, or one advanced.
	since core.Time
	// unconfirmed is the furthest position acknowledged without a second member
	// having it: of kinds that are not durable.
	unconfirmed core.Position
	// replaced counts the primaries replaced for it since a durable write was
	// last confirmed.
	replacements int
}

// maxIsolationShift bounds the doubling of the wait.
const maxIsolationShift = 6

// checkIsolated replaces a primary whose log reaches no other member.
//
// Guard: a primary that is cut off from its peers only answers every probe, so
// it is never suspected. Durable writes would wait for a confirmation that
// cannot come and end at their deadline, all of them, for as long as the cut
// lasts. A sudden lag looks the same until it has passed. The wait is therefore
// longer while acknowledged writes would be lost, and doubles with each
// replacement that led to no confirmed write, so that replicas which are slower
// than the wait do not take turns for ever.
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

// holdsUnconfirmed reports whether the primary alone holds acknowledged writes.
func (g *Group) primaryHoldsUnconfirmed() bool {
	for _, m := range g.members {
		if m != g.leadership.primary && g.isServing(m) && !m.position.Less(g.detect.isolation.unconfirmed) {
			return false
		}
	}
	return true
}

// noteAcknowledged keeps what the check for isolation needs of an answer.
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
		// Guard: a statement that wrote nothing is confirmed without any
		// replica advancing. Counted on from it, the wait would be over when
		// the next write begins, and a healthy primary be replaced.
		i.since, i.replacements = 0, 0
	}
}

// isolatedSince is since when durable writes wait while none of the other
// members, a majority of the group that answers, has received anything. It
// outlasts the writes themselves, whose deadlines may be shorter.
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

// mayAvoid reports whether a ballot can do without the member to avoid: the
// others that it fenced are a majority by themselves.
//
// Guard: a confirmed write is on the primary and at least one replica. Passing
// over the primary with only one replica fenced could miss it; the write would
// be lost after its acknowledgment.
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
