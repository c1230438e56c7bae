package direct

import (
	"fmt"

	"limpetspan/core"
	"limpetspan/core/policy"
)

// beginFencing orders the fences, and the demotion of the old primary, that are not
// confirmed yet.
func (g *Group) beginFencing(now core.Time) {
	c := &g.claim
	c.phase, c.orderedAt = fencing, now
	for _, id := range g.order {
		m := g.members[id]
		if id == c.old || !m.alive(now) {
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
func (g *Group) claimProbed(now core.Time, id core.MemberID, st Status) {
	c := &g.claim
	if c.phase != demoting && c.phase != fencing && c.phase != awaitingLeases && c.phase != promoting {
		return
	}
	if id == c.old {
		if st.Role == core.RoleReplica && !c.demoted {
			c.demoted, c.demotedAt, c.last = true, now, st.Position
		}
		return
	}
	if st.FencedTerm > c.term && st.Role == core.RoleReplica {
		if _, done := c.fenced[id]; !done {
			c.fenced[id] = now
		}
	}
}

func (g *Group) stepDemoting(now core.Time) {
	c := &g.claim
	waited := now.Sub(c.orderedAt)
	if !c.demoted {
		if waited >= 2*FenceTimeout {
			c.planned = false
			g.beginFencing(now)
		}
		return
	}
	s := g.members[g.candidate(now)]
	if s != nil && (!s.position.Less(c.last) || waited >= CatchUpFor) {
		g.beginFencing(now)
		return
	}
	if s != nil && now.Sub(s.probeAt) >= PollPromoted {
		g.ask(now, s)
	}
}

// fencesNeeded is how many replicas must be fenced so that each set of replicas
// that could confirm a lease has a fenced one in it. One does, the successor
// itself, once the old primary has been demoted for so long that nobody can still
// believe that it leads.
func (g *Group) fencesNeeded(now core.Time) int {
	if !g.guarded(GuardFences) {
		return 1
	}
	c := &g.claim
	if c.demoted && now.Sub(c.demotedAt) >= RoleFor-PromoteAtLeast {
		return max(1, g.fencesForSync())
	}
	n := g.size(now)
	if p := g.members[c.old]; p == nil || !p.alive(now) {
		n++ // the old primary's place counts although it has gone
	}
	replicas := n - 1
	return max(1, replicas-n/2+1, g.fencesForSync())
}

// fencesForSync is how many members must be fenced so that each set of members that
// has an acknowledged commit, the primary and those it waited for, has a fenced one
// in it: the furthest of these has all such commits. Members count that cannot be
// reached; to promote without them may lose what was acknowledged.
//
// None is needed in a planned change once a fenced replica has all that the demoted
// primary had. Otherwise the old primary, which is demoted and not fenced, and members
// that have left within VanishedKeep would each take a fence that nobody can give: the
// primary would stand demoted until the claim ends, for 2.4 s each time.
func (g *Group) fencesForSync() int {
	if !g.syncMatters() || g.coversDemoted() {
		return 0
	}
	return len(g.members) - g.spec.SyncReplicas
}

// syncMatters says whether a promotion has to find every commit for which a replica
// was waited.
func (g *Group) syncMatters() bool { return g.spec.SyncReplicas > 0 && g.guarded(GuardSync) }

// coversDemoted says whether a fenced replica has the whole log of the primary that
// this planned change has demoted.
func (g *Group) coversDemoted() bool {
	c := &g.claim
	if !c.planned || !c.demoted || c.last.IsZero() || c.last.Less(c.least) {
		// A log that has become shorter is that of a member which has started again.
		return false
	}
	for id := range c.fenced {
		if m := g.members[id]; m != nil && !m.suspect && !m.position.Less(c.last) {
			return true
		}
	}
	return false
}

func (g *Group) stepFencing(now core.Time) {
	c := &g.claim
	if g.recovered(now) {
		g.endClaim(now, "the primary answers again")
		return
	}
	if len(c.fenced) >= g.fencesNeeded(now) && g.bestFenced(now) != "" {
		c.phase = awaitingLeases
		g.stepAwaitingLeases(now)
		return
	}
	if now.Sub(c.started) > ClaimTimeout || now > c.until && g.guarded(GuardSendWindow) {
		g.endClaim(now, fmt.Sprintf("%d of %d fences confirmed", len(c.fenced), g.fencesNeeded(now)))
		return
	}
	if now.Sub(c.orderedAt) >= FenceTimeout {
		g.beginFencing(now)
	}
}

// recovered says whether the reason for an unplanned change has gone.
func (g *Group) recovered(now core.Time) bool {
	p := g.members[g.claim.old]
	if g.superseded() {
		return false
	}
	return !g.claim.planned && !g.claim.demoted && p != nil && !p.suspect && !p.leaving(now) && p.isPrimary(g.claim.term) && p.heardAt > g.claim.started
}

// stepAwaitingLeases orders the promotion once no daemon can hold a lease that was
// confirmed before the fences when the promotion takes effect.
func (g *Group) stepAwaitingLeases(now core.Time) {
	c := &g.claim
	if g.recovered(now) {
		g.endClaim(now, "the primary answers again")
		return
	}
	last := c.claimedAt
	for _, at := range c.fenced {
		last = max(last, at)
	}
	if now.Sub(last) < LeaseFor-PromoteAtLeast && g.guarded(GuardOutwait) || now < c.notBefore {
		return
	}
	if now >= c.until && g.guarded(GuardSendWindow) {
		g.endClaim(now, "the promotion lock ran out")
		return
	}
	if c.candidate = g.bestFenced(now); c.candidate == "" {
		g.endClaim(now, "no fenced replica is left")
		return
	}
	c.phase, c.orderedAt = promoting, now
	g.learnOrdered(now, c.number, c.candidate)
	g.emit(Effect{Kind: EffectReport})
	g.emit(Effect{Kind: EffectPromote, Member: c.candidate, Term: c.number, Token: c.token, Until: c.until})
}

// mayFollow says whether the member can lead next. One that has not heard of the leadership
// which ends was not reached by its primary and lacks all that was written there. It leads
// only if all others have been asked since the claim began, and none is better.
func (g *Group) mayFollow(now core.Time, m *member) bool {
	if g.heardOfLeadership(m) || !g.guarded(GuardHeard) {
		return true
	}
	diverged := g.diverged(m)
	for id, o := range g.members {
		asked := o.statusAt >= g.claim.started
		switch {
		case o == m || !o.alive(now):
		case id == g.claim.old:
			if diverged {
				return false
			}
		case !asked, g.heardOfLeadership(o), diverged && !g.diverged(o):
			return false
		}
	}
	return true
}

// heardOfLeadership says whether the member knows the newest leadership.
func (g *Group) heardOfLeadership(m *member) bool { return m.statusAt != 0 && m.status.Term >= g.term }

// diverged says whether the member has commits that the promotion to the newest leadership
// has rolled back. Were it promoted, they would come back, and reads that were served
// meanwhile would have missed them.
func (g *Group) diverged(m *member) bool {
	return !g.heardOfLeadership(m) && g.began.Term != 0 && g.began.LSN < m.position.LSN
}

// noteBegan takes a position of the primary of the newest leadership, in whose log the
// leadership begins there at the latest.
func (g *Group) noteBegan(p core.Position) {
	if p.IsZero() {
		return
	}
	if p.Term == g.term {
		p.LSN--
	}
	g.toldBegan(core.Position{Term: g.term, LSN: p.LSN})
}

// toldBegan takes where another daemon knows the newest leadership to begin.
func (g *Group) toldBegan(p core.Position) {
	if p.Term == g.term && (g.began.Term == 0 || p.LSN < g.began.LSN) {
		g.began = p
	}
}

// bestFenced is the fenced replica that has received most; one that stays is
// preferred to one that is leaving, unless commits wait for replicas: then only
// the furthest surely has all that were acknowledged. "": none can lead next.
func (g *Group) bestFenced(now core.Time) core.MemberID {
	if g.syncMatters() {
		return g.furthestFenced(now)
	}
	var best core.MemberID
	for _, id := range g.order {
		m := g.members[id]
		if _, ok := g.claim.fenced[id]; !ok || m.suspect || !g.mayFollow(now, m) {
			continue
		}
		if best == "" || g.better(now, m, g.members[best]) {
			best = id
		}
	}
	return best
}

// furthestFenced is the fenced replica that has received most; "" if it does not
// answer. Of several that have the same, it is one that answers and stays: a leaving
// member that is promoted gets work until the next change, beyond the time in which
// its stop has to be without any.
func (g *Group) furthestFenced(now core.Time) core.MemberID {
	var best *member
	for _, id := range g.order {
		m := g.members[id]
		if _, ok := g.claim.fenced[id]; ok && (best == nil || g.further(now, m, best)) {
			best = m
		}
	}
	if best == nil || best.suspect {
		return ""
	}
	return best.ID
}

// further orders by the log first.
func (g *Group) further(now core.Time, a, b *member) bool {
	switch {
	case a.position != b.position:
		return b.position.Less(a.position)
	case a.suspect != b.suspect:
		return b.suspect
	}
	return g.better(now, a, b)
}

func (g *Group) better(now core.Time, a, b *member) bool {
	if a.leaving(now) != b.leaving(now) {
		return b.leaving(now)
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
	return g.take()
}

func (g *Group) stepPromoting(now core.Time) {
	c := &g.claim
	switch {
	case g.primary == c.candidate && g.term > c.term:
		if g.ordered == c.number {
			g.effective = c.number
		}
		g.endClaim(now, "promoted")
	case g.primary != "" && g.term > c.term:
		g.endClaim(now, "another member was promoted")
	case now.Sub(c.orderedAt) > PromoteTimeout:
		g.endClaim(now, "the promotion had no effect")
	case g.policy.Has(policy.ClaimAgain) && g.successorLost(now):
		g.claimAgain(now)
	}
}

// successorLost says whether the member that was ordered to take over has gone silent
// before the effect was seen.
func (g *Group) successorLost(now core.Time) bool {
	m := g.members[g.claim.candidate]
	return m == nil || m.elsewhere || m.suspect && now.Sub(m.heardAt) >= SuccessorSilent
}

// claimAgain claims the group anew for another member, under a higher token, in place
// of waiting for an effect that will not come: of 2.5 s and the pauses around them
// 0.7 s are left. The order may still have its effect unseen, and some daemon may then
// use the lost member. The new promotion lock ends the leases that reads of the first one have
// given, and as no daemon counts on a fence of the first claim, all are made anew.
//
// A primary that was demoted is a replica now and is fenced like the others, or it
// would confirm the lost member's leadership. Its own leadership was last seen before it was
// demoted, and leases on it end RoleFor after that, whoever confirms them.
func (g *Group) claimAgain(now core.Time) {
	lost := g.claim
	g.emit(Effect{Kind: EffectDecision, Member: lost.candidate, Term: lost.term, Reason: "claim again: the promoted member is silent"})
	g.claim = claim{
		phase: claiming, started: now, old: lost.old, term: g.term, least: lost.least,
		notBefore: lost.notBefore, fenced: make(map[core.MemberID]core.Time),
	}
	if lost.demoted {
		g.claim.old = ""
		g.claim.notBefore = lost.demotedAt.Add(RoleFor - PromoteAtLeast)
	}
	g.emit(Effect{Kind: EffectClaim, Member: lost.old, Term: g.term + 1})
}
