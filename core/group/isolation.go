package group

import "limpetspan/core"

// checkIsolated replaces a primary whose log reaches no other member.
//
// Guard: a primary that is cut off from its peers only answers every probe, so
// it is never suspected. Durable writes would wait for a confirmation that
// cannot come and end at their deadline, all of them, for as long as the cut
// lasts. Replicas that merely lag still advance, and are left alone.
func (g *Group) checkIsolated() {
	since, stuck := g.isolatedSince()
	if !stuck {
		return
	}
	until := max(since.Add(g.tuning.IsolationTimeout), g.detect.planAfter)
	if g.now < until {
		g.wakeBy(until)
		return
	}
	g.detect.planAfter = g.now.Add(g.tuning.RepairWait)
	p := g.reign.primary
	g.startClaim("primary is cut off from its peers")
	g.ballot.avoid = p
}

// isolatedSince is since when durable writes wait while none of the other
// members, a majority of the group that answers, has received anything. It
// outlasts the writes themselves, whose deadlines may be shorter.
func (g *Group) isolatedSince() (since core.Time, stuck bool) {
	if g.phase != phaseServing || !g.holdsDurable() {
		return 0, false
	}
	if g.detect.unconfirmedSince == 0 {
		g.detect.unconfirmedSince = g.now
	}
	replicas := 0
	for _, m := range g.members {
		if m == g.reign.primary || !g.serving(m) {
			continue
		}
		if !m.position.Less(g.reign.primary.position) {
			return 0, false
		}
		replicas++
	}
	return g.detect.unconfirmedSince, replicas >= g.majority()
}

func (g *Group) holdsDurable() bool {
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
func (g *Group) mayAvoid() bool {
	if g.ballot.avoid == nil {
		return false
	}
	fenced := 0
	for _, m := range g.members {
		if !m.gone && m != g.ballot.avoid && m.vote == voteFenced {
			fenced++
		}
	}
	return fenced >= g.majority()
}
