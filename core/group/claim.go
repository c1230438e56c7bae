package group

import (
	"time"

	"limpetspan/core"
)

// phase is the state of this daemon between following and serving.
type phase uint8

const (
	// phaseFollowing: another daemon is home, or none is.
	phaseFollowing phase = iota
	// phaseProbing: claiming; probes the members for their terms.
	phaseProbing
	// phaseFencing: claiming; fences the members at the ballot's term.
	phaseFencing
	// phasePromoting: claiming; promotes the chosen member.
	phasePromoting
	// phaseWaiting: home; waits for the old home's lease to expire.
	phaseWaiting
	// phaseServing: home; serves while its lease holds.
	phaseServing
)

var phaseNames = [...]string{"following", "probing", "fencing", "promoting", "waiting", "serving"}

// knownHome is what this daemon knows about the group's home, and when it claims
// the group itself.
type knownHome struct {
	// daemon is the last known home, term its term, primary its primary.
	daemon  core.DaemonID
	term    core.Term
	primary core.MemberID
	// releasedTerm is the highest term that its home has released.
	releasedTerm core.Term
	// ownTerm is the highest known term that this daemon held.
	ownTerm core.Term
	// claimAt is when this daemon claims the group unless it receives a heartbeat
	// of a home before.
	claimAt core.Time
	// claimAt is computed from delayStart and claimDelay.
	delayStart core.Time
	claimDelay time.Duration
	// lostLeaderships counts how often this daemon lost the group to another
	// home, or abandoned a claim because of one, since the last heartbeat.
	lostLeaderships int
}

// maxClaimDelayShift bounds the doubling of the claim delay.
const maxClaimDelayShift = 5

// rank returns this daemon's place among the candidates, not counting the last
// known home, or -1 if this daemon is not a candidate.
func (g *Group) rank() int {
	rank := 0
	for _, c := range g.candidates {
		if c.ID == g.self {
			return rank
		}
		if c.ID != g.knownHome.daemon {
			rank++
		}
	}
	return -1
}

// delayClaim starts the delay after which this daemon claims the group.
//
// The delay doubles each time this daemon loses the group without a heartbeat
// from the other home. Otherwise two candidates that reach the members but not
// each other would replace each other indefinitely.
func (g *Group) delayClaim(delay time.Duration) {
	g.knownHome.delayStart, g.knownHome.claimDelay = g.now, delay
	g.scheduleClaim()
}

// scheduleClaim sets the time of the claim. Each candidate that is preferred to
// this daemon adds ClaimStep. A daemon that is not a candidate, or that drains,
// does not claim.
func (g *Group) scheduleClaim() {
	rank := g.rank()
	if rank < 0 || g.drain.requested {
		g.knownHome.claimAt = never
		return
	}
	delay := g.knownHome.claimDelay << min(g.knownHome.lostLeaderships, maxClaimDelayShift)
	delay += time.Duration(rank)*g.tuning.ClaimStep + g.random.upTo(g.tuning.ClaimJitter)
	g.knownHome.claimAt = g.knownHome.delayStart.Add(delay)
	g.scheduleAt(g.knownHome.claimAt)
}

func (g *Group) onCandidates(ev *Candidates) {
	g.candidates = append(g.candidates[:0], ev.List...)
	if g.phase == phaseFollowing {
		g.scheduleClaim()
	}
	g.checkDisplaced()
	g.scheduleAt(g.now)
}

func (g *Group) onHomeNews(ev *HomeNews) {
	if ev.Home == g.self {
		g.onOwnHomeNews(ev)
		return
	}
	if ev.Term < g.knownHome.term {
		return
	}
	g.knownHome.daemon, g.knownHome.term, g.knownHome.primary = ev.Home, ev.Term, ev.Primary
	g.ballot.highestTerm = max(g.ballot.highestTerm, ev.Term)
	if g.leadership.term != 0 && ev.Term > g.leadership.term {
		g.stepDown("another home announced a higher term")
	}
	if ev.Released {
		g.onReleased(ev.Term)
		return
	}
	if !ev.Direct {
		return
	}
	g.knownHome.lostLeaderships = 0
	claiming := g.leadership.term == 0 && g.phase != phaseFollowing
	if claiming && (g.phase == phaseProbing || ev.Term > g.ballot.term) {
		g.phase = phaseFollowing
		g.failQueued(ReasonNotHome)
	}
	if g.phase == phaseFollowing {
		g.delayClaim(max(g.tuning.ClaimDelay, minMissedHeartbeats*g.tuning.BeatInterval))
	}
}

// minMissedHeartbeats is the number of heartbeats that a home must miss before
// it is replaced, however short ClaimDelay is.
const minMissedHeartbeats = 2

// onOwnHomeNews handles a report that this daemon is home of a term that it
// never held in this process. The daemon has restarted, so there is no home and
// it can claim the group at once.
func (g *Group) onOwnHomeNews(ev *HomeNews) {
	if ev.Released || ev.Term <= g.knownHome.ownTerm || ev.Term <= g.knownHome.term {
		return
	}
	g.knownHome.ownTerm, g.knownHome.primary = ev.Term, ev.Primary
	g.ballot.highestTerm = max(g.ballot.highestTerm, ev.Term)
	if g.phase == phaseFollowing {
		g.delayClaim(0)
	}
}

// onReleased handles the release of a term by its home. This daemon waits no
// longer for heartbeats, only for its turn among the candidates.
func (g *Group) onReleased(term core.Term) {
	g.knownHome.releasedTerm = max(g.knownHome.releasedTerm, term)
	if g.phase == phaseFollowing {
		g.delayClaim(0)
	}
}

// runClaim begins a claim that is due and runs the timers of the current one.
func (g *Group) runClaim() {
	switch g.phase {
	case phaseFollowing:
		if g.now >= g.knownHome.claimAt && g.rank() >= 0 {
			g.startClaim("no heartbeat from a home")
		} else if g.knownHome.claimAt != never {
			g.scheduleAt(g.knownHome.claimAt)
		}
	case phaseProbing, phaseFencing, phasePromoting:
		g.runBallot()
	case phaseWaiting:
		g.serveIfDue()
	}
}

// startClaim begins to claim the group. If this daemon is home, it claims the
// group again to choose another primary.
func (g *Group) startClaim(reason string) {
	g.counters.Claims++
	g.logEvent("claiming the group", nil, g.leadership.term, reason)
	g.ballot.backoff, g.ballot.watching, g.ballot.excluded = 0, false, nil
	if g.leadership.term == 0 {
		g.probeForClaim()
		return
	}
	g.suspendLeadership()
	g.fence(g.leadership.term + 1)
}

// suspendLeadership ends the running work of this daemon's leadership before the
// daemon replaces it with a new one. Running writes fail with an unknown outcome;
// queued requests keep their place and deadline.
func (g *Group) suspendLeadership() {
	g.detect.reset()
	g.failRunningWrites(ReasonReplaced)
	g.failHeld(ReasonReplaced)
	g.closeAll()
	g.phase = phaseFencing
}

// stepDown ends a leadership that was lost to another home.
func (g *Group) stepDown(reason string) {
	g.counters.StepDowns++
	g.logEvent("no longer home", nil, g.leadership.term, reason)
	g.endLeadership()
	g.knownHome.lostLeaderships++
	g.delayClaim(g.tuning.ClaimDelay)
}

// endLeadership ends the leadership. It fails the running writes and all held
// and queued requests, so no write of the term is acknowledged afterwards.
func (g *Group) endLeadership() {
	g.detect.reset()
	g.failRunningWrites(ReasonReplaced)
	g.failHeld(ReasonReplaced)
	g.leadership = leadership{}
	g.phase = phaseFollowing
	g.failQueued(ReasonNotHome)
	g.closeAll()
	g.sessions.clear()
}

// successor returns the most preferred other candidate.
func (g *Group) successor() core.DaemonID {
	for _, c := range g.candidates {
		if c.ID != g.self {
			return c.ID
		}
	}
	return ""
}

// redirectHint returns the daemon that a refused request should try next.
func (g *Group) redirectHint() core.DaemonID {
	if g.drain.requested || g.knownHome.daemon == "" || g.knownHome.releasedTerm >= g.knownHome.term {
		return g.successor()
	}
	return g.knownHome.daemon
}

func (g *Group) logEvent(message string, m *member, term core.Term, detail string) {
	l := Log{Message: message, Term: term, Detail: detail}
	if m != nil {
		l.Member = m.ID
	}
	g.effects.log(l)
}
