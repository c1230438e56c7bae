package group

import (
	"time"

	"limpetspan/core"
)

// phase is where this daemon stands between following and serving.
type phase uint8

const (
	// phaseFollowing: another daemon is home, or nobody is.
	phaseFollowing phase = iota
	// phaseProbing: claiming, asks the members for their terms.
	phaseProbing
	// phaseFencing: claiming, fences the members at the ballot's term.
	phaseFencing
	// phasePromoting: claiming, promotes the chosen member.
	phasePromoting
	// phaseWaiting: home, waits for the old home's lease to lapse.
	phaseWaiting
	// phaseServing: home.
	phaseServing
)

var phaseNames = [...]string{"following", "probing", "fencing", "promoting", "waiting", "serving"}

// peerHomes is what is known of homes elsewhere.
type knownHome struct {
	// home is the daemon last known as home, of term, with the primary.
	daemon  core.DaemonID
	term    core.Term
	primary core.MemberID
	// released is the highest term whose home said that it serves no more.
	releasedTerm core.Term
	// own is the highest term held by this daemon, as far as it knows.
	ownTerm core.Term
	// claimAt is when this daemon claims if it hears of no home until then.
	claimAt core.Time
	// heardAt and delay are what claimAt is worked out from.
	delayStart core.Time
	claimDelay time.Duration
	// deposed counts the homes lost here since another was heard.
	lostLeaderships int
}

// maxDeposedShift bounds the doubling of the claim delay.
const maxClaimDelayShift = 5

// rank is this daemon's place among the candidates, not counting the home that
// went silent; -1 if it is no candidate.
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

// postponeClaim starts the delay after which this daemon claims the group.
//
// The delay doubles each time this daemon lost the group without ever hearing
// the other home: two candidates that reach the members but not each other
// would otherwise depose each other for ever.
func (g *Group) delayClaim(delay time.Duration) {
	g.knownHome.delayStart, g.knownHome.claimDelay = g.now, delay
	g.scheduleClaim()
}

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
		g.stepDown("another home was announced")
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

// heartbeatsMissed is the least number of heartbeats that a heard home must
// have missed before it is replaced, however short ClaimDelay is.
const minMissedHeartbeats = 2

// onOwnNews: the fleet names this daemon as home of a term that it never held
// in this process. It restarted, so nobody is home and it can claim at once.
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

// onReleased: the home of the term said that it serves no more, so there is
// nothing to wait for but one's turn.
func (g *Group) onReleased(term core.Term) {
	g.knownHome.releasedTerm = max(g.knownHome.releasedTerm, term)
	if g.phase == phaseFollowing {
		g.delayClaim(0)
	}
}

// runClaim does what a claim has due.
func (g *Group) runClaim() {
	switch g.phase {
	case phaseFollowing:
		if g.now >= g.knownHome.claimAt && g.rank() >= 0 {
			g.startClaim("no home is heard")
		} else if g.knownHome.claimAt != never {
			g.scheduleAt(g.knownHome.claimAt)
		}
	case phaseProbing, phaseFencing, phasePromoting:
		g.runBallot()
	case phaseWaiting:
		g.serveIfDue()
	}
}

// startClaim begins to take the group, or to take it again with another
// primary while this daemon is home.
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

// suspendLeadership ends the work of the leadership before this daemon replaces it.
// What may have run is unknown; what waits keeps its place and its deadline.
func (g *Group) suspendLeadership() {
	g.detect.reset()
	g.failRunningWrites(ReasonReplaced)
	g.failHeld(ReasonReplaced)
	g.closeAll()
	g.phase = phaseFencing
}

// stepDown: the leadership was lost to another home.
func (g *Group) stepDown(reason string) {
	g.counters.StepDowns++
	g.logEvent("no longer home", nil, g.leadership.term, reason)
	g.endLeadership()
	g.knownHome.lostLeaderships++
	g.delayClaim(g.tuning.ClaimDelay)
}

// endLeadership fails what is here and forgets the leadership. Nothing of the term is
// acknowledged after it.
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

// successor is the best other candidate.
func (g *Group) successor() core.DaemonID {
	for _, c := range g.candidates {
		if c.ID != g.self {
			return c.ID
		}
	}
	return ""
}

// hint is the daemon that a refused request should try.
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
