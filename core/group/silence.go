package group

import "time"

// silenceFactor is the number of stall timeouts after which an unanswered statement counts as silent.
// A statement that takes 32 times the usual service time is rare enough to give its place away.
const silenceFactor = 8

// silentAfter returns how long a statement at the member may stay unanswered before it counts as
// silent: long enough to find out with a probe on the open control connection and one on a new
// connection whether the member answers, and well beyond its usual service time.
func (g *Group) silentAfter(m *member) time.Duration {
	return max(g.tuning.ProbeTimeout+g.tuning.FreshTimeout+probeGrace, silenceFactor*m.stallTimeout())
}

// releasedPlaces returns how many of the member's places are given to waiting requests although silent
// statements hold them. A silent statement counts less the longer it is silent, down to nothing after
// twice silentAfter, if the member has answered a probe that was sent since the statement is silent.
//
// Guard: if connections lose their packets while new ones work, the statements on them hold all places
// until their deadlines, and all other requests wait although the member is idle. A member that
// answers no probe gets no further statements, and one that runs slowly gets at most as many again as
// it has places.
func (g *Group) releasedPlaces(m *member) int {
	if m.running == 0 || g.now < m.silentFrom || g.writes.len()+g.reads.len() == 0 {
		return 0
	}
	after := g.silentAfter(m)
	oldest, released := never, time.Duration(0)
	for _, c := range g.conns {
		if c.member != m || c.request == nil {
			continue
		}
		oldest = min(oldest, c.stateSince)
		since := c.stateSince.Add(after)
		if g.now > since && m.reportedAt >= since && m.failures == 0 {
			released += min(g.now.Sub(since), after)
		}
	}
	m.silentFrom = oldest.Add(after)
	return min(int(released/after), g.statementCap())
}
