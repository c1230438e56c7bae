package group

import (
	"time"

	"limpetspan/core"
)

// ballot is one attempt to fence a majority and promote a member.
type ballot struct {
	// term is the odd term to fence at; the reign will be term+1.
	term core.Term
	// seen is the highest term heard of.
	seen core.Term
	// startedAt is when the fences were sent.
	startedAt core.Time
	// majorityAt is when the last fence of the majority was known.
	majorityAt core.Time
	// until is when the present step is given up.
	until core.Time
	// retryAt is when the next attempt begins; zero: none is planned.
	retryAt core.Time
	backoff time.Duration
	// watched is set while the claim waits for watchedAt, the position of a
	// primary with connections, to move.
	watched   bool
	watchedAt core.Position
	// target is promoted. It is chosen once for each ballot: a second choice
	// could make two primaries of one term when an answer was lost.
	target     *member
	attempts   int
	promotedAt core.Time
}

// promoteAttempts bounds the calls to the one target of a ballot.
const promoteAttempts = 3

// probeForClaim asks all members for their terms. A claim fences only when a
// majority answers: one that cannot win must not disturb the home that serves.
func (g *Group) probeForClaim() {
	g.phase = phaseProbing
	g.ballot.retryAt = 0
	g.ballot.until = g.now.Add(g.tuning.FreshTimeout)
	g.wakeBy(g.ballot.until)
	for _, m := range g.members {
		if !m.gone {
			m.known = false
			g.sendProbe(m, true)
		}
	}
}

func (g *Group) claimProbeFailed(m *member) {
	m.probe.next = never
	g.claimProbeAnswered()
}

// claimProbeAnswered goes on once all have answered, or a majority has and the
// others had GatherWait; see runBallot.
func (g *Group) claimProbeAnswered() {
	answered, open := 0, 0
	for _, m := range g.members {
		switch {
		case m.gone:
		case m.known:
			answered++
		case m.probe.inFlight:
			open++
		}
	}
	switch {
	case open == 0:
		g.probesCounted(answered)
	case answered >= g.majority():
		b := &g.ballot
		b.until = min(b.until, g.now.Add(g.tuning.GatherWait))
		g.wakeBy(b.until)
	}
}

func (g *Group) probesCounted(answered int) {
	if answered < g.majority() && g.guarded(GuardMajority) {
		g.retryClaim()
		return
	}
	if g.reign.term == 0 && g.unheardHome() {
		return
	}
	g.fence(nextBallot(g.ballot.seen))
}

// unheardHome reports whether the claim is to wait, because a home that is not
// heard here may be at work: its connections are open at the primary.
//
// Guard: two candidates that reach the members but not each other would depose
// each other for ever, and callers would see one gap after the other. If the
// primary's log moves within ActivityWait the home is alive, and the claim is
// given up; if it does not, taking over interrupts nobody.
func (g *Group) unheardHome() bool {
	b := &g.ballot
	p := g.reportedPrimary()
	if p == nil || p.connections == 0 {
		b.watched = false
		return false
	}
	if !b.watched {
		b.watched, b.watchedAt = true, p.claimPosition
		b.retryAt, b.until = g.now.Add(g.tuning.ActivityWait), never
		g.wakeBy(b.retryAt)
		return true
	}
	b.watched = false
	if p.claimPosition == b.watchedAt {
		return false
	}
	g.logEvent("a home is not heard but at work", p, p.term, "")
	g.phase = phaseFollowing
	g.failQueue(ReasonNotHome)
	g.peers.deposed++
	g.postponeClaim(g.tuning.ClaimDelay)
	return true
}

// reportedPrimary is the primary of the highest term by the claim's probes.
func (g *Group) reportedPrimary() *member {
	var best *member
	for _, m := range g.members {
		if !m.gone && m.known && m.role == core.RolePrimary && (best == nil || best.term < m.term) {
			best = m
		}
	}
	return best
}

// nextBallot is the first odd term above a term.
func nextBallot(seen core.Term) core.Term { return seen + 1 + seen%2 }

// retryClaim plans the next attempt after a pause that doubles, with jitter,
// so that two candidates do not refuse each other for ever.
func (g *Group) retryClaim() {
	b := &g.ballot
	b.backoff = min(max(2*b.backoff, g.tuning.ClaimBackoff), g.tuning.ClaimBackoffMax)
	b.retryAt = g.now.Add(b.backoff/2 + g.random.upTo(b.backoff))
	b.until = never
	g.wakeBy(b.retryAt)
}

// runBallot gives up steps that take too long and begins planned attempts.
func (g *Group) runBallot() {
	b := &g.ballot
	if b.retryAt != 0 {
		if g.now >= b.retryAt {
			g.probeForClaim()
		} else {
			g.wakeBy(b.retryAt)
		}
		return
	}
	if g.now < b.until {
		if b.until != never {
			g.wakeBy(b.until)
		}
		return
	}
	switch g.phase {
	case phaseProbing:
		answered := 0
		for _, m := range g.members {
			if !m.gone && m.known {
				answered++
			}
		}
		g.probesCounted(answered)
	case phaseFencing:
		g.tally()
	case phasePromoting:
		g.promoteFailed()
	}
}

// fence sends the ballot's fence to all members.
func (g *Group) fence(term core.Term) {
	g.phase = phaseFencing
	b := &g.ballot
	b.term, b.seen = term, max(b.seen, term)
	b.startedAt, b.majorityAt, b.retryAt = g.now, 0, 0
	b.target, b.attempts = nil, 0
	b.until = g.now.Add(g.tuning.FenceTimeout)
	g.wakeBy(b.until)
	for _, m := range g.members {
		if m.gone {
			continue
		}
		m.vote = votePending
		g.fx.add(&Fence{Member: m.ID, Term: term, Timeout: g.tuning.FenceTimeout})
	}
}

func (g *Group) onFenced(ev *Fenced) {
	m := g.member(ev.Member)
	if m == nil {
		return
	}
	if ev.Status.Term != 0 {
		g.ballot.seen = max(g.ballot.seen, ev.Status.Term)
	}
	if ev.Term != g.ballot.term || m.vote != votePending {
		return // A repair, or the answer of an attempt that was given up.
	}
	m.vote = judgeFence(ev)
	m.voteStatus = ev.Status
	if m.vote == voteFenced {
		g.fencedOff(m)
	}
	if g.phase == phaseFencing {
		g.tally()
	}
}

func judgeFence(ev *Fenced) vote {
	switch {
	case ev.Err == FailureNone:
		return voteFenced
	case ev.Err != FailureRejected:
		return voteFailed
	case ev.Status.Term == ev.Term && ev.Status.Role == core.RoleFenced:
		return voteTied
	default:
		return voteRefused
	}
}

// tally promotes once a majority is fenced and the others had time to tell
// their positions, and starts over above when that cannot be.
func (g *Group) tally() {
	b := &g.ballot
	fenced, pending := 0, 0
	for _, m := range g.members {
		switch {
		case m.gone:
		case m.vote == voteFenced:
			fenced++
		case m.vote == votePending:
			pending++
		}
	}
	if g.now >= b.until {
		pending = 0
	}
	need := g.majority()
	if !g.guarded(GuardMajority) {
		need = 1
	}
	if fenced+pending < need {
		g.retryClaim()
		return
	}
	if fenced < need {
		return
	}
	if b.majorityAt == 0 {
		b.majorityAt = g.now
		b.until = min(b.until, g.now.Add(g.tuning.GatherWait))
		g.wakeBy(b.until)
	}
	if pending > 0 && g.now < b.until {
		return
	}
	if g.oldPrimaryAbove() {
		g.retryClaim()
		return
	}
	g.promote(g.furthest())
}

// oldPrimaryAbove reports whether the old primary refused for a higher term.
// It may hold writes that no other member has, so the next attempt goes above
// that term and takes it in.
func (g *Group) oldPrimaryAbove() bool {
	for _, m := range g.members {
		if !m.gone && m.vote == voteRefused && m.ID == g.oldPrimary() {
			return true
		}
	}
	return false
}

// oldPrimary is the primary of the last reign known here.
func (g *Group) oldPrimary() core.MemberID {
	if g.reign.primary != nil {
		return g.reign.primary.ID
	}
	return g.peers.primary
}

// furthest picks the member to promote among those whose position is frozen:
// the furthest in the log; on a tie one that is not leaving, then the old
// primary, then by configuration.
func (g *Group) furthest() *member {
	var best *member
	for _, m := range g.members {
		if m.gone || (m.vote != voteFenced && m.vote != voteTied) {
			continue
		}
		if best == nil || (g.guarded(GuardFurthest) && g.better(m, best)) {
			best = m
		}
	}
	return best
}

func (g *Group) better(m, best *member) bool {
	p, q := m.voteStatus.Position(), best.voteStatus.Position()
	if p != q {
		return q.Less(p)
	}
	if l := m.leaving() || m.voteStatus.Leaving; l != (best.leaving() || best.voteStatus.Leaving) {
		return !l
	}
	return m.ID == g.oldPrimary()
}

func (g *Group) promote(m *member) {
	b := &g.ballot
	g.phase = phasePromoting
	b.target = m
	b.attempts++
	if b.attempts == 1 {
		b.promotedAt = g.now // The lease counts from the first call: it may be the one that is answered.
	}
	b.until = g.now.Add(g.tuning.PromoteTimeout)
	g.wakeBy(b.until)
	g.fx.add(&Promote{Member: m.ID, Term: b.term + 1, Timeout: g.tuning.PromoteTimeout})
}

// onPromoted ends a claim. A refusal by a primary of the very term counts as
// success: the answer of an earlier call was lost, and nobody but the holder
// of this ballot's majority promotes at its term.
func (g *Group) onPromoted(ev *Promoted) {
	b := &g.ballot
	if g.phase != phasePromoting || ev.Term != b.term+1 || ev.Member != b.target.ID {
		return
	}
	mine := ev.Status.Term == ev.Term && ev.Status.Role == core.RolePrimary
	switch {
	case ev.Err == FailureNone, ev.Err == FailureRejected && mine:
		g.becomeHome(&ev.Status)
	case ev.Err == FailureRejected:
		b.seen = max(b.seen, ev.Status.Term)
		g.retryClaim()
	default:
		g.promoteFailed()
	}
}

func (g *Group) promoteFailed() {
	if g.ballot.attempts < promoteAttempts {
		g.promote(g.ballot.target)
		return
	}
	g.retryClaim()
}

// becomeHome begins the reign that the promotion made.
func (g *Group) becomeHome(s *core.Status) {
	b := &g.ballot
	wait := g.leaseWait()
	sitting := g.reign.term != 0
	history := g.reign.history
	g.reign = reign{
		term: b.term + 1, primary: b.target, start: s.Position(), since: g.now, waitUntil: wait,
	}
	g.reign.history = append(history[:0], core.TermStart{Term: g.reign.term, Start: s.LSN})
	g.reign.learnHistory(s.History)
	g.peers.own = g.reign.term
	g.beginReign(s, sitting)
	g.logEvent("home of the group", b.target, g.reign.term, "")
	g.serveIfDue()
}

// leaseWait is when the lease of any earlier home has lapsed.
//
// Guard: without the wait an old home that has not noticed would serve beside
// this one; it would show as a stale read or a lost acknowledged write. There
// is nothing to wait for only if no reign can lie between this one and a reign
// that is known to be over: the ballot is the next after it, and the majority
// that accepted this ballot would have refused it after any other fence.
func (g *Group) leaseWait() core.Time {
	b := &g.ballot
	if !g.guarded(GuardClaimWait) {
		return 0
	}
	switch {
	case b.term == 1:
		return 0
	case g.reign.term != 0 && b.term == g.reign.term+1:
		return g.reign.waitUntil
	case b.term == g.peers.released+1:
		return 0
	}
	return b.majorityAt.Add(g.tuning.LeaseDuration + g.tuning.LeaseMargin)
}

func (g *Group) beginReign(s *core.Status, sitting bool) {
	b := &g.ballot
	g.phase = phaseWaiting
	b.retryAt, b.until, b.backoff = 0, never, 0
	g.history.reset()
	g.history.add(b.promotedAt, s.Position())
	for _, m := range g.members {
		m.position, m.positionAt, m.located = core.Position{}, 0, false
		m.leaseAt, m.oddAt = 0, 0
		if m.gone {
			continue
		}
		m.lag.restart()
		m.foreign = 0
		if m.vote != voteFenced && !sitting {
			g.assumeForeign(m)
		}
		if m.vote == voteFenced {
			m.leaseAt = b.startedAt
		}
		g.probeSoon(m)
	}
	p := b.target
	p.known, p.term, p.role, p.leaseAt = true, s.Term, core.RolePrimary, b.promotedAt
	p.reportedAt, p.failures, p.stopping = b.promotedAt, 0, s.Leaving
	g.learnPosition(p, s.Position(), b.promotedAt)
	g.computeLease()
	g.sessions.newReign(&g.reign)
	g.sendBeat()
	g.warmAll()
}

func (g *Group) serveIfDue() {
	if g.phase != phaseWaiting {
		return
	}
	if g.now < g.reign.waitUntil {
		g.wakeBy(g.reign.waitUntil)
		return
	}
	g.phase = phaseServing
	g.hurryProbes(g.now.Add(g.tuning.ProbeTimeout))
	g.pump()
}
