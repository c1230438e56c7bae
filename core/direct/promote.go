package direct

import (
	"fmt"
	"slices"

	"limpetspan/core"
	"limpetspan/core/policy"
)

// sendFences orders the fences that are not confirmed yet, and the demotion of the old primary if
// that is not confirmed.
func (g *Group) sendFences(now core.Time) {
	c := &g.claim
	c.phase, c.orderedAt = fencing, now
	for _, id := range g.order {
		m := g.members[id]
		if id == c.old || !m.isAlive(now) {
			continue
		}
		if _, done := c.fenced[id]; !done {
			g.emit(Effect{Kind: EffectFence, Member: id, Term: c.term + 1, SendDeadline: c.sendDeadline})
		}
	}
	if c.old != "" && !c.demoted {
		g.emit(Effect{Kind: EffectDemote, Member: c.old, Term: c.term + 1, SendDeadline: c.sendDeadline})
	}
}

// updateClaim records which fence or demotion a status confirms.
func (g *Group) updateClaim(now core.Time, id core.MemberID, st Status) {
	c := &g.claim
	if c.phase != demoting && c.phase != fencing && c.phase != awaitingLeases && c.phase != promoting {
		return
	}
	if id == c.old {
		if st.Role == core.RoleReplica && !c.demoted {
			c.demoted, c.demotedAt, c.finalPosition = true, now, st.Position
		}
		return
	}
	if st.FencedTerm > c.term && st.Role == core.RoleReplica {
		if _, done := c.fenced[id]; !done {
			c.fenced[id] = now
		}
	}
}

func (g *Group) advanceDemoting(now core.Time) {
	c := &g.claim
	waited := now.Sub(c.orderedAt)
	if !c.demoted {
		if waited >= 2*FenceTimeout {
			c.planned = false
			g.sendFences(now)
		}
		return
	}
	// With no successor left, fences show which member can lead: replicas that do not know the term
	// cannot learn it while no member leads. Where commits wait for replicas, such a replica may lack
	// acknowledged ones, which the demoted primary has.
	s := g.members[g.plannedSuccessor(now)]
	if s != nil && !s.position.Less(c.finalPosition) || waited >= CatchUpTimeout && (s != nil || !g.mustKeepSyncCommits()) {
		g.sendFences(now)
		return
	}
	if s != nil && now.Sub(s.probeSentAt) >= PromotePollInterval {
		g.sendProbe(now, s)
	}
}

// requiredFences returns how many replicas must be fenced so that every set of replicas that could
// confirm a lease contains a fenced one. A single fence, that of the successor, is enough once the
// old primary has been demoted for so long that no daemon can still extend a lease on it.
func (g *Group) requiredFences(now core.Time) int {
	if !g.enforces(GuardFences) {
		return 1
	}
	c := &g.claim
	if c.demoted && now.Sub(c.demotedAt) >= RoleTTL-MinPromoteDuration {
		return max(1, g.requiredSyncFences())
	}
	n := g.majoritySize(now)
	if p := g.members[c.old]; p == nil || !p.isAlive(now) {
		n++ // the old primary counts even after its entry has gone
	}
	replicas := n - 1
	return max(1, replicas-n/2+1, g.requiredSyncFences())
}

// requiredSyncFences returns how many members must be fenced so that every set of members that
// holds an acknowledged commit (the primary and the replicas that it waited for) contains a fenced
// one. The most advanced fenced member then has all such commits. Unreachable members count too: a
// promotion without them may lose acknowledged commits.
//
// It returns 0 in a planned change once a fenced replica has the complete log of the demoted
// primary. Otherwise the old primary, which is demoted and not fenced, and members that left within
// UnlistedRetention would each require a fence that they cannot have. The group would be without a
// primary until the claim ends, for 2.4 s each time.
func (g *Group) requiredSyncFences() int {
	if !g.mustKeepSyncCommits() || g.fencedHasFullLog() {
		return 0
	}
	return len(g.members) - g.spec.SyncReplicas
}

// mustKeepSyncCommits reports whether a promotion must preserve every commit that was acknowledged
// after waiting for replicas.
func (g *Group) mustKeepSyncCommits() bool { return g.spec.SyncReplicas > 0 && g.enforces(GuardSync) }

// fencedHasFullLog reports whether a fenced replica has the complete log of the primary that this
// planned change has demoted.
func (g *Group) fencedHasFullLog() bool {
	c := &g.claim
	if !c.planned || !c.demoted || c.finalPosition.IsZero() || c.finalPosition.Less(c.minPosition) {
		// A shorter log than before belongs to a member that has restarted.
		return false
	}
	for id := range c.fenced {
		if m := g.members[id]; m != nil && !m.suspect && !m.position.Less(c.finalPosition) {
			return true
		}
	}
	return false
}

func (g *Group) advanceFencing(now core.Time) {
	c := &g.claim
	if g.hasPrimaryRecovered(now) {
		g.endClaim(now, "the primary answers again")
		return
	}
	if len(c.fenced) >= g.requiredFences(now) && g.bestFenced(now) != "" {
		c.phase = awaitingLeases
		g.advanceAwaitingLeases(now)
		return
	}
	if now.Sub(c.started) > ClaimTimeout || now > c.sendDeadline && g.enforces(GuardSendWindow) {
		g.endClaim(now, fmt.Sprintf("%d of %d fences confirmed", len(c.fenced), g.requiredFences(now)))
		return
	}
	if now.Sub(c.orderedAt) >= FenceTimeout {
		g.sendFences(now)
	}
}

// hasPrimaryRecovered reports whether the reason for an unplanned change no longer exists.
func (g *Group) hasPrimaryRecovered(now core.Time) bool {
	p := g.members[g.claim.old]
	if g.isSuperseded() {
		return false
	}
	return !g.claim.planned && !g.claim.demoted && p != nil && !p.suspect && !p.isLeaving(now) && p.isPrimary(g.claim.term) && p.lastSeen > g.claim.started
}

// advanceAwaitingLeases orders the promotion once no daemon can hold a lease from before the fences
// at the time the promotion takes effect.
func (g *Group) advanceAwaitingLeases(now core.Time) {
	c := &g.claim
	if g.hasPrimaryRecovered(now) {
		g.endClaim(now, "the primary answers again")
		return
	}
	last := c.claimedAt
	for _, at := range c.fenced {
		last = max(last, at)
	}
	if now.Sub(last) < LeaseDuration-MinPromoteDuration && g.enforces(GuardLeaseWait) || now < c.earliestOrder {
		return
	}
	if now >= c.sendDeadline && g.enforces(GuardSendWindow) {
		g.endClaim(now, "the promotion lock expired")
		return
	}
	if c.candidate = g.bestFenced(now); c.candidate == "" {
		g.endClaim(now, "no fenced replica is left")
		return
	}
	c.phase, c.orderedAt = promoting, now
	g.recordOrder(now, c.lockTerm, c.candidate)
	g.emit(Effect{Kind: EffectReport})
	g.emit(Effect{Kind: EffectPromote, Member: c.candidate, Term: c.lockTerm, Token: c.token, SendDeadline: c.sendDeadline})
}

// canLeadNext reports whether the member may become the next primary. A member that has not seen
// the current term was not reached by the current primary and lacks everything written in that
// term. It may lead only if all other live members have been probed since the claim began and none
// of them is a better candidate.
//
// The old primary, which the claim replaces, is not a candidate and does not have to be probed. If
// it is alive, it only rules out a member that has diverged, which may lead only if no other live
// member can.
func (g *Group) canLeadNext(now core.Time, m *member) bool {
	if g.knowsCurrentTerm(m) || !g.enforces(GuardKnownTerm) {
		return true
	}
	diverged := g.hasDiverged(m)
	for id, o := range g.members {
		probed := o.statusAt >= g.claim.started
		switch {
		case o == m || !o.isAlive(now):
		case id == g.claim.old:
			if diverged {
				return false
			}
		case !probed, g.knowsCurrentTerm(o), diverged && !g.hasDiverged(o):
			return false
		}
	}
	return true
}

// knowsCurrentTerm reports whether the member knows the newest term.
func (g *Group) knowsCurrentTerm(m *member) bool { return m.statusAt != 0 && m.status.Term >= g.term }

// hasDiverged reports whether the member has commits that the promotion to a term which it does not
// know rolled back. If it were promoted, these commits would reappear after reads that did not see
// them.
func (g *Group) hasDiverged(m *member) bool {
	if g.knowsCurrentTerm(m) {
		return false
	}
	rolledBack := func(start core.Position) bool {
		return start.Term > m.status.Term && start.LSN < m.position.LSN
	}
	return rolledBack(g.termStart) || slices.ContainsFunc(g.earlierStarts, rolledBack)
}

// maxEarlierStarts bounds Group.earlierStarts. A member that has missed more promotions may be taken
// for one that has not diverged.
const maxEarlierStarts = 16

// keepTermStart moves the bound of the term that has just ended to those of the earlier terms.
func (g *Group) keepTermStart() {
	if g.termStart.Term != 0 {
		g.earlierStarts = append(g.earlierStarts, g.termStart)
		g.earlierStarts = g.earlierStarts[max(0, len(g.earlierStarts)-maxEarlierStarts):]
	}
	g.termStart = core.Position{}
}

// observeTermStart derives an upper bound of the newest term's start from a position of its
// primary.
func (g *Group) observeTermStart(p core.Position) {
	if p.IsZero() {
		return
	}
	if p.Term == g.term {
		p.LSN--
	}
	g.updateTermStart(core.Position{Term: g.term, LSN: p.LSN})
}

// updateTermStart adopts another bound of the newest term's start if it is lower.
func (g *Group) updateTermStart(p core.Position) {
	if p.Term == g.term && (g.termStart.Term == 0 || p.LSN < g.termStart.LSN) {
		g.termStart = p
	}
}

// bestFenced returns the fenced replica that has received most of the log, and "" if none can lead
// next. A replica that stays is preferred to one that is leaving. If commits wait for replicas the
// most advanced one is chosen, because only that one certainly has every acknowledged commit.
func (g *Group) bestFenced(now core.Time) core.MemberID {
	if g.mustKeepSyncCommits() {
		return g.mostAdvancedFenced(now)
	}
	var best core.MemberID
	for _, id := range g.order {
		m := g.members[id]
		if _, ok := g.claim.fenced[id]; !ok || m.suspect || !g.canLeadNext(now, m) {
			continue
		}
		if best == "" || g.isPreferred(now, m, g.members[best]) {
			best = id
		}
	}
	return best
}

// mostAdvancedFenced returns the fenced replica that has received most of the log, and "" if that
// one does not answer. Among equally advanced replicas it prefers one that answers and stays: a
// leaving member that is promoted would get work until the next change, beyond the time by which it
// should have none.
func (g *Group) mostAdvancedFenced(now core.Time) core.MemberID {
	var best *member
	for _, id := range g.order {
		m := g.members[id]
		if _, ok := g.claim.fenced[id]; ok && (best == nil || g.isMoreAdvanced(now, m, best)) {
			best = m
		}
	}
	if best == nil || best.suspect {
		return ""
	}
	return best.ID
}

// isMoreAdvanced reports whether a is a better choice than b, comparing their positions first.
func (g *Group) isMoreAdvanced(now core.Time, a, b *member) bool {
	switch {
	case a.position != b.position:
		return b.position.Less(a.position)
	case a.suspect != b.suspect:
		return b.suspect
	}
	return g.isPreferred(now, a, b)
}

func (g *Group) isPreferred(now core.Time, a, b *member) bool {
	if a.isLeaving(now) != b.isLeaving(now) {
		return b.isLeaving(now)
	}
	if a.position != b.position {
		return b.position.Less(a.position)
	}
	return a.Zone == g.zone && b.Zone != g.zone
}

// PromoteRefused records that the order to promote was refused and has no effect.
func (g *Group) PromoteRefused(now core.Time, reason string) []Effect {
	if g.claim.phase == promoting {
		g.endClaim(now, "order refused: "+reason)
	}
	return g.takeEffects()
}

func (g *Group) advancePromoting(now core.Time) {
	c := &g.claim
	switch {
	case g.primary == c.candidate && g.term > c.term:
		if g.orderedTerm == c.lockTerm {
			g.effectiveTerm = c.lockTerm
		}
		g.endClaim(now, "promoted")
	case g.primary != "" && g.term > c.term:
		g.endClaim(now, "another member was promoted")
	case now.Sub(c.orderedAt) > PromoteTimeout:
		g.endClaim(now, "the promotion did not take effect")
	case g.policy.Has(policy.ClaimAgain) && g.isSuccessorLost(now):
		g.restartClaim(now)
	}
}

// isSuccessorLost reports whether the member that was ordered to take over has become silent before
// the promotion was seen to take effect.
func (g *Group) isSuccessorLost(now core.Time) bool {
	m := g.members[g.claim.candidate]
	return m == nil || m.addressReused || m.suspect && now.Sub(m.lastSeen) >= SuccessorTimeout
}

// restartClaim claims the group again for another member, under a higher token, instead of waiting
// for a promotion that will probably not take effect. This reduces the wait of 2.5 s and the pauses
// around it to 0.7 s. The first order may still take effect unseen, and some daemon may then use
// the lost member. Leases given by reads that show the first promotion lock expire LeaseDuration
// after the second one is acquired, and the second promotion takes effect no earlier. No fence of
// the first claim is relied on: all are made again.
//
// The call of the first order is ended, and the second order is given so late that the first one, if it
// was received before, has its effect first. Otherwise it would replace the second member without a
// wait for the leases on that one.
//
// A primary that was demoted is a replica now and is fenced like the others; otherwise it could
// confirm the lost member's leadership. It was last seen as primary before its demotion, and every
// lease on it ends at most RoleTTL after that, whichever replica confirms it.
func (g *Group) restartClaim(now core.Time) {
	lost := g.claim
	g.emit(Effect{Kind: EffectEndPromote, Member: lost.candidate, Token: lost.token})
	g.emit(Effect{Kind: EffectDecision, Member: lost.candidate, Term: lost.term, Reason: "claiming again: the promoted member is silent"})
	g.claim = claim{
		phase: claiming, started: now, old: lost.old, term: g.term, minPosition: lost.minPosition,
		earliestOrder: max(lost.earliestOrder, now.Add(MaxPromoteDuration-MinPromoteDuration)), fenced: make(map[core.MemberID]core.Time),
	}
	if lost.demoted {
		g.claim.old = ""
		g.claim.earliestOrder = max(g.claim.earliestOrder, lost.demotedAt.Add(RoleTTL-MinPromoteDuration))
	}
	g.emit(Effect{Kind: EffectClaim, Member: lost.old, Term: g.term + 1})
}
