package group

import (
	"time"

	"limpetspan/core"
)

// ballot is one attempt to fence a majority and promote a member.
type ballot struct {
	// term is the odd term to fence at; the leadership will be term+1.
	term core.Term
	// seen is the highest term heard of.
	highestTerm core.Term
	// startedAt is when the fences were sent.
	fencesSentAt core.Time
	// majorityAt is when the last fence of the majority was known.
	majorityAt core.Time
	// until is when the present step is given up.
	stepDeadline core.Time
	// retryAt is when the next attempt begins; zero: none is planned.
	retryAt core.Time
	backoff time.Duration
	// watched is set while the claim waits for watchedAt, the position of a
	// primary with connections, to move.
	watching        bool
	watchedPosition core.Position
	// target is promoted. It is chosen once for each ballot: a second choice
	// could make two primaries of one term when an answer was lost.
	target   *member
	attempts int
	// avoid is a primary that is not to be chosen again, see checkIsolated.
	excluded      *member
	promoteSentAt core.Time
}

// nextBallot is the first odd term above a term.
func nextFenceTerm(seen core.Term) core.Term { return seen + 1 + seen%2 }

// retryClaim plans the next attempt after a pause that doubles, with jitter,
// so that two candidates do not refuse each other for ever.
func (g *Group) retryClaim() {
	b := &g.ballot
	b.backoff = min(max(2*b.backoff, g.tuning.ClaimBackoff), g.tuning.ClaimBackoffMax)
	b.retryAt = g.now.Add(b.backoff/2 + g.random.upTo(b.backoff))
	b.stepDeadline = never
	g.scheduleAt(b.retryAt)
}

// runBallot gives up steps that take too long and begins planned attempts.
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
		return // A repair, or the answer of an attempt that was given up.
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

// tally promotes once a majority is fenced and the others, unless they failed
// their probes already, had time to tell their positions, and starts over above when that cannot be.
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

// oldPrimaryAbove reports whether the old primary refused for a higher term.
// It may hold writes that no other member has, so the next attempt goes above
// that term and takes it in.
func (g *Group) oldPrimaryRefused() bool {
	for _, m := range g.members {
		if !m.removed && m.vote == voteRefused && m.ID == g.oldPrimary() {
			return true
		}
	}
	return false
}

// oldPrimary is the primary of the last leadership known here.
func (g *Group) oldPrimary() core.MemberID {
	if g.leadership.primary != nil {
		return g.leadership.primary.ID
	}
	return g.knownHome.primary
}

// furthest picks the member to promote among those whose position is frozen:
// the furthest in the log; on a tie one that is not leaving, then the old
// primary, then by configuration.
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
