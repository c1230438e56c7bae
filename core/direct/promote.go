package direct

import (
	"fmt"

	"limpetspan/core"
	"limpetspan/core/policy"
)

// beginFencing orders the fences, and the demotion of the old primary, that are not
// confirmed yet.
func (g *Group) sendFences(now core.Time) {
	c := &g.claim
	c.phase, c.orderedAt = fencing, now
	for _, id := range g.order {
		m := g.members[id]
		if id == c.old || !m.isAlive(now) {
			continue
		}
		if _, done := c.fenced[id]; !done {
			g.emit(Effect{Kind: EffectFence, Member: id, Term: c.term + 1})
		}
	}
	if c.old != "" && !c.demoted {
		g.emit(Effect{Kind: EffectDemote, Member: c.old, Term: c.term + 1})
	}
}

// claimProbed learns from a status what a fence or demotion has reached.
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
	s := g.members[g.plannedSuccessor(now)]
	if s != nil && (!s.position.Less(c.finalPosition) || waited >= CatchUpTimeout) {
		g.sendFences(now)
		return
	}
	if s != nil && now.Sub(s.probeSentAt) >= PromotePollInterval {
		g.sendProbe(now, s)
	}
}

// fencesNeeded is how many replicas must be fenced so that each set of replicas
// that could confirm a lease has a fenced one in it. One does, the successor
// itself, once the old primary has been demoted for so long that nobody can still
// believe that it leads.
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
		n++ // the old primary's place counts although it has gone
	}
	replicas := n - 1
	return max(1, replicas-n/2+1, g.requiredSyncFences())
}

// fencesForSync is how many members must be fenced so that each set of members that
// has an acknowledged commit, the primary and those it waited for, has a fenced one
// in it: the furthest of these has all such commits. Members count that cannot be
// reached; to promote without them may lose what was acknowledged.
//
// None is needed in a planned change once a fenced replica has all that the demoted
// primary had. Otherwise the old primary, which is demoted and not fenced, and members
// that have left within UnlistedRetention would each take a fence that nobody can give: the
// primary would stand demoted until the claim ends, for 2.4 s each time.
func (g *Group) requiredSyncFences() int {
	if !g.mustKeepSyncCommits() || g.fencedHasFullLog() {
		return 0
	}
	return len(g.members) - g.spec.SyncReplicas
}

// syncMatters says whether a promotion has to find every commit for which a replica
// was waited.
func (g *Group) mustKeepSyncCommits() bool { return g.spec.SyncReplicas > 0 && g.enforces(GuardSync) }

// coversDemoted says whether a fenced replica has the whole log of the primary that
// this planned change has demoted.
func (g *Group) fencedHasFullLog() bool {
	c := &g.claim
	if !c.planned || !c.demoted || c.finalPosition.IsZero() || c.finalPosition.Less(c.minPosition) {
		// A log that has become shorter is that of a member which has started again.
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

// recovered says whether the reason for an unplanned change has gone.
func (g *Group) hasPrimaryRecovered(now core.Time) bool {
	p := g.members[g.claim.old]
	if g.isSuperseded() {
		return false
	}
	return !g.claim.planned && !g.claim.demoted && p != nil && !p.suspect && !p.isLeaving(now) && p.isPrimary(g.claim.term) && p.lastSeen > g.claim.started
}

// stepAwaitingLeases orders the promotion once no daemon can hold a lease that was
// confirmed before the fences when the promotion takes effect.
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
		g.endClaim(now, "the promotion lock ran out")
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

// mayFollow says whether the member can lead next. One that has not heard of the leadership
// which ends was not reached by its primary and lacks all that was written there. It leads
// only if all others have been asked since the claim began, and none is better.
func (g *Group) canLeadNext(now core.Time, m *member) bool {
	if g.knowsCurrentTerm(m) || !g.enforces(GuardKnownTerm) {
		return true
	}
	diverged := g.hasDiverged(m)
	for id, o := range g.members {
		asked := o.statusAt >= g.claim.started
		switch {
		case o == m || !o.isAlive(now):
		case id == g.claim.old:
			if diverged {
				return false
			}
		case !asked, g.knowsCurrentTerm(o), diverged && !g.hasDiverged(o):
			return false
		}
	}
	return true
}

// heardOfLeadership says whether the member knows the newest leadership.
func (g *Group) knowsCurrentTerm(m *member) bool { return m.statusAt != 0 && m.status.Term >= g.term }

// diverged says whether the member has commits that the promotion to the newest leadership
// has rolled back. Were it promoted, they would come back, and reads that were served
// meanwhile would have missed them.
func (g *Group) hasDiverged(m *member) bool {
	return !g.knowsCurrentTerm(m) && g.termStart.Term != 0 && g.termStart.LSN < m.position.LSN
}

// noteBegan takes a position of the primary of the newest leadership, in whose log the
// leadership begins there at the latest.
func (g *Group) observeTermStart(p core.Position) {
	if p.IsZero() {
		return
	}
	if p.Term == g.term {
		p.LSN--
	}
	g.updateTermStart(core.Position{Term: g.term, LSN: p.LSN})
}

// toldBegan takes where another daemon knows the newest leadership to begin.
func (g *Group) updateTermStart(p core.Position) {
	if p.Term == g.term && (g.termStart.Term == 0 || p.LSN < g.termStart.LSN) {
		g.termStart = p
	}
}

// bestFenced is the fenced replica that has received most; one that stays is
// preferred to one that is leaving, unless commits wait for replicas: then only
// the furthest surely has all that were acknowledged. "": none can lead next.
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

// furthestFenced is the fenced replica that has received most; "" if it does not
// answer. Of several that have the same, it is one that answers and stays: a leaving
// member that is promoted gets work until the next change, beyond the time in which
// its stop has to be without any.
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

// further orders by the log first.
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

// PromoteRefused takes that the order was refused and has no effect.
func (g *Group) PromoteRefused(now core.Time, why string) []Effect {
	if g.claim.phase == promoting {
		g.endClaim(now, "order refused: "+why)
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
		g.endClaim(now, "the promotion had no effect")
	case g.policy.Has(policy.ClaimAgain) && g.isSuccessorLost(now):
		g.restartClaim(now)
	}
}

// successorLost says whether the member that was ordered to take over has gone silent
// before the effect was seen.
func (g *Group) isSuccessorLost(now core.Time) bool {
	m := g.members[g.claim.candidate]
	return m == nil || m.addressReused || m.suspect && now.Sub(m.lastSeen) >= SuccessorTimeout
}

// claimAgain claims the group anew for another member, under a higher token, in place
// of waiting for an effect that will not come: of 2.5 s and the pauses around them
// 0.7 s are left. The order may still have its effect unseen, and some daemon may then
// use the lost member. The new promotion lock ends the leases that reads of the first one have
// given, and as no daemon counts on a fence of the first claim, all are made anew.
//
// A primary that was demoted is a replica now and is fenced like the others, or it
// would confirm the lost member's leadership. Its own leadership was last seen before it was
// demoted, and leases on it end RoleTTL after that, whoever confirms them.
func (g *Group) restartClaim(now core.Time) {
	lost := g.claim
	g.emit(Effect{Kind: EffectDecision, Member: lost.candidate, Term: lost.term, Reason: "claim again: the promoted member is silent"})
	g.claim = claim{
		phase: claiming, started: now, old: lost.old, term: g.term, minPosition: lost.minPosition,
		earliestOrder: lost.earliestOrder, fenced: make(map[core.MemberID]core.Time),
	}
	if lost.demoted {
		g.claim.old = ""
		g.claim.earliestOrder = lost.demotedAt.Add(RoleTTL - MinPromoteDuration)
	}
	g.emit(Effect{Kind: EffectClaim, Member: lost.old, Term: g.term + 1})
}
