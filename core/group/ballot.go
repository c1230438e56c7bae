package group

import (
	"time"

	"limpetspan/core"
)

// ballot is one attempt to fence a majority and promote a member.
type ballot struct {
	// term is the odd term to fence at; the leadership has term+1.
	term core.Term
	// highestTerm is the highest term seen in any report.
	highestTerm core.Term
	// fencesSentAt is when the fences were sent.
	fencesSentAt core.Time
	// majorityAt is when the answer that completed the majority arrived.
	majorityAt core.Time
	// stepDeadline is when the current step times out.
	stepDeadline core.Time
	// retryAt is when the next attempt begins; zero: none is scheduled.
	retryAt core.Time
	backoff time.Duration
	// watching is set while the claim checks whether the log of a primary with
	// open connections advances past watchedPosition.
	watching        bool
	watchedPosition core.Position
	// target is the member to promote. It is chosen only once for each ballot:
	// after a lost answer a second choice could make two primaries of one term.
	target *member
	// attempts counts the calls that promote the target.
	attempts int
	// excluded is a primary that must not be chosen again, see
	// checkPrimaryIsolated.
	excluded *member
	// promoteSentAt is when the first of the calls was sent.
	promoteSentAt core.Time
}

// nextFenceTerm returns the lowest odd term above seen.
func nextFenceTerm(seen core.Term) core.Term { return seen + 1 + seen%2 }

// retryClaim schedules the next attempt after an exponential backoff with
// jitter, so that two candidates do not block each other indefinitely.
func (g *Group) retryClaim() {
	b := &g.ballot
	b.backoff = min(max(2*b.backoff, g.tuning.ClaimBackoff), g.tuning.ClaimBackoffMax)
	b.retryAt = g.now.Add(b.backoff/2 + g.random.upTo(b.backoff))
	b.stepDeadline = never
	g.scheduleAt(b.retryAt)
}

// runBallot begins the next attempt when it is due and handles the timeout of
// the current step.
func (g *Group) runBallot() {
	b := &g.ballot
	if b.retryAt != 0 {
		if g.now >= b.retryAt {
			g.probeForClaim()
		} else {
			g.scheduleAt(b.retryAt)
		}
		return
	}
	if g.now < b.stepDeadline {
		if b.stepDeadline != never {
			g.scheduleAt(b.stepDeadline)
		}
		return
	}
	switch g.phase {
	case phaseProbing:
		answered := 0
		for _, m := range g.members {
			if !m.removed && m.reported {
				answered++
			}
		}
		g.finishProbing(answered)
	case phaseFencing:
		g.countVotes()
	case phasePromoting:
		g.promoteFailed()
	}
}

// fence sends the ballot's fence to all members.
func (g *Group) fence(term core.Term) {
	g.phase = phaseFencing
	b := &g.ballot
	b.term, b.highestTerm = term, max(b.highestTerm, term)
	b.fencesSentAt, b.majorityAt, b.retryAt = g.now, 0, 0
	b.target, b.attempts = nil, 0
	b.stepDeadline = g.now.Add(g.tuning.FenceTimeout)
	g.scheduleAt(b.stepDeadline)
	for _, m := range g.members {
		if m.removed {
			continue
		}
		m.vote = votePending
		g.effects.add(&Fence{Member: m.ID, Term: term, Timeout: g.tuning.FenceTimeout})
	}
}

func (g *Group) onFenced(ev *Fenced) {
	m := g.member(ev.Member)
	if m == nil {
		return
	}
	if ev.Status.Term != 0 {
		g.ballot.highestTerm = max(g.ballot.highestTerm, ev.Status.Term)
	}
	if ev.Term != g.ballot.term || m.vote != votePending {
		return // The fence of a repair, or of an earlier attempt.
	}
	m.vote = fenceVote(ev)
	m.voteStatus = ev.Status
	if m.vote == voteFenced {
		g.forgetClosingAt(m)
	}
	if g.phase == phaseFencing {
		g.countVotes()
	}
}

func fenceVote(ev *Fenced) vote {
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

// countVotes promotes a member once a majority is fenced and the other members
// have answered or had time to do so; it does not wait for members that fail
// their probes. If a majority is out of reach, it schedules another attempt.
func (g *Group) countVotes() {
	b := &g.ballot
	fenced, pending, answering := 0, 0, 0
	for _, m := range g.members {
		switch {
		case m.removed:
		case m.vote == voteFenced:
			fenced++
		case m.vote == votePending:
			pending++
			if m.failures < failureThreshold {
				answering++
			}
		}
	}
	if g.now >= b.stepDeadline {
		pending, answering = 0, 0
	}
	need := g.majority()
	if !g.guardEnabled(GuardMajority) {
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
		b.stepDeadline = min(b.stepDeadline, g.now.Add(g.tuning.GatherWait))
		g.scheduleAt(b.stepDeadline)
	}
	if answering > 0 {
		return
	}
	if g.oldPrimaryRefused() {
		g.retryClaim()
		return
	}
	g.promote(g.furthest())
}

// oldPrimaryRefused reports whether the old primary refused the fence, usually
// because it is at a higher term. It may hold writes that no other member has,
// so the next attempt fences at a term above that one and includes it.
func (g *Group) oldPrimaryRefused() bool {
	for _, m := range g.members {
		if !m.removed && m.vote == voteRefused && m.ID == g.oldPrimary() {
			return true
		}
	}
	return false
}

// oldPrimary returns the primary of the last leadership known to this daemon.
func (g *Group) oldPrimary() core.MemberID {
	if g.leadership.primary != nil {
		return g.leadership.primary.ID
	}
	return g.knownHome.primary
}

// furthest chooses the member to promote among the fenced ones, whose positions
// no longer change: the member with the furthest position. On a tie a member
// that is not leaving is preferred, then the old primary, then the first one in
// the configuration.
func (g *Group) furthest() *member {
	var best *member
	exclude := g.mayExclude()
	for _, m := range g.members {
		if m.removed || (m.vote != voteFenced && m.vote != voteTied) {
			continue
		}
		if exclude && m == g.ballot.excluded {
			continue
		}
		if best == nil || (g.guardEnabled(GuardFurthest) && g.isBetter(m, best)) {
			best = m
		}
	}
	return best
}

func (g *Group) isBetter(m, best *member) bool {
	p, q := m.voteStatus.Position(), best.voteStatus.Position()
	if p != q {
		return q.Less(p)
	}
	if l := m.leaving() || m.voteStatus.Leaving; l != (best.leaving() || best.voteStatus.Leaving) {
		return !l
	}
	return m.ID == g.oldPrimary()
}
