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
type peerHomes struct {
	// home is the daemon last known as home, of term, with the primary.
	home    core.DaemonID
	term    core.Term
	primary core.MemberID
	// released is the highest term whose home said that it serves no more.
	released core.Term
	// own is the highest term held by this daemon, as far as it knows.
	own core.Term
	// claimAt is when this daemon claims if it hears of no home until then.
	claimAt core.Time
	// heardAt and delay are what claimAt is worked out from.
	heardAt core.Time
	delay   time.Duration
	// deposed counts the homes lost here since another was heard.
	deposed int
}

// maxDeposedShift bounds the doubling of the claim delay.
const maxDeposedShift = 5

// rank is this daemon's place among the candidates, not counting the home that
// went silent; -1 if it is no candidate.
func (g *Group) rank() int {
	rank := 0
	for _, c := range g.candidates {
		if c.ID == g.self {
			return rank
		}
		if c.ID != g.peers.home {
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
func (g *Group) postponeClaim(delay time.Duration) {
	g.peers.heardAt, g.peers.delay = g.now, delay
	g.setClaimAt()
}

func (g *Group) setClaimAt() {
	rank := g.rank()
	if rank < 0 || g.drain.requested {
		g.peers.claimAt = never
		return
	}
	delay := g.peers.delay << min(g.peers.deposed, maxDeposedShift)
	delay += time.Duration(rank)*g.tuning.ClaimStep + g.random.upTo(g.tuning.ClaimJitter)
	g.peers.claimAt = g.peers.heardAt.Add(delay)
	g.wakeBy(g.peers.claimAt)
}

func (g *Group) onCandidates(ev *Candidates) {
	g.candidates = append(g.candidates[:0], ev.List...)
	if g.phase == phaseFollowing {
		g.setClaimAt()
	}
	g.checkDisplaced()
	g.wakeBy(g.now)
}

func (g *Group) onHomeNews(ev *HomeNews) {
	if ev.Home == g.self {
		g.onOwnNews(ev)
		return
	}
	if ev.Term < g.peers.term {
		return
	}
	g.peers.home, g.peers.term, g.peers.primary = ev.Home, ev.Term, ev.Primary
	g.ballot.seen = max(g.ballot.seen, ev.Term)
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
	g.peers.deposed = 0
	claiming := g.leadership.term == 0 && g.phase != phaseFollowing
	if claiming && (g.phase == phaseProbing || ev.Term > g.ballot.term) {
		g.phase = phaseFollowing
		g.failQueue(ReasonNotHome)
	}
	if g.phase == phaseFollowing {
		g.postponeClaim(max(g.tuning.ClaimDelay, heartbeatsMissed*g.tuning.BeatInterval))
	}
}

// heartbeatsMissed is the least number of heartbeats that a heard home must
// have missed before it is replaced, however short ClaimDelay is.
const heartbeatsMissed = 2

// onOwnNews: the fleet names this daemon as home of a term that it never held
// in this process. It restarted, so nobody is home and it can claim at once.
func (g *Group) onOwnNews(ev *HomeNews) {
	if ev.Released || ev.Term <= g.peers.own || ev.Term <= g.peers.term {
		return
	}
	g.peers.own, g.peers.primary = ev.Term, ev.Primary
	g.ballot.seen = max(g.ballot.seen, ev.Term)
	if g.phase == phaseFollowing {
		g.postponeClaim(0)
	}
}

// onReleased: the home of the term said that it serves no more, so there is
// nothing to wait for but one's turn.
func (g *Group) onReleased(term core.Term) {
	g.peers.released = max(g.peers.released, term)
	if g.phase == phaseFollowing {
		g.postponeClaim(0)
	}
}

// runClaim does what a claim has due.
func (g *Group) runClaim() {
	switch g.phase {
	case phaseFollowing:
		if g.now >= g.peers.claimAt && g.rank() >= 0 {
			g.startClaim("no home is heard")
		} else if g.peers.claimAt != never {
			g.wakeBy(g.peers.claimAt)
		}
	case phaseProbing, phaseFencing, phasePromoting:
		g.runBallot()
	case phaseWaiting:
		g.serveIfDue()
	}
}

// startClaim begins to take the group, or to take it again with another
// primary while this daemon is home.
func (g *Group) startClaim(why string) {
	g.counters.Claims++
	g.logEvent("claiming the group", nil, g.leadership.term, why)
	g.ballot.backoff, g.ballot.watched, g.ballot.avoid = 0, false, nil
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
func (g *Group) stepDown(why string) {
	g.counters.StepDowns++
	g.logEvent("no longer home", nil, g.leadership.term, why)
	g.endLeadership()
	g.peers.deposed++
	g.postponeClaim(g.tuning.ClaimDelay)
}

// endLeadership fails what is here and forgets the leadership. Nothing of the term is
// acknowledged after it.
func (g *Group) endLeadership() {
	g.detect.reset()
	g.failRunningWrites(ReasonReplaced)
	g.failHeld(ReasonReplaced)
	g.leadership = leadership{}
	g.phase = phaseFollowing
	g.failQueue(ReasonNotHome)
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
func (g *Group) hint() core.DaemonID {
	if g.drain.requested || g.peers.home == "" || g.peers.released >= g.peers.term {
		return g.successor()
	}
	return g.peers.home
}

func (g *Group) logEvent(message string, m *member, term core.Term, detail string) {
	l := Log{Message: message, Term: term, Detail: detail}
	if m != nil {
		l.Member = m.ID
	}
	g.fx.log(l)
}
