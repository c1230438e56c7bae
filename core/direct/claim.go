package direct

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/policy"
	"limpetspan/core/spread"
)

// phase is how far a take-over of the group has come.
type phase uint8

const (
	noClaim phase = iota
	// claiming: the store was asked for the promotion lock.
	claiming
	// demoting: a planned change stops the old primary and waits for the rest of its log.
	demoting
	// fencing: replicas are being fenced.
	fencing
	// awaitingLeases: leases of other daemons run out.
	awaitingLeases
	// promoting: the order was given, its effect is awaited.
	promoting
)

// claim is this daemon's attempt to change the primary.
type claim struct {
	phase   phase
	started core.Time
	// planned: the primary is leaving and still serves.
	planned bool
	// repair: nothing is wrong but a fence that somebody left behind.
	repair bool
	// old is the primary to replace, term its term; number is the term that the
	// promotion lock names.
	old      core.MemberID
	term     core.Term
	lockTerm core.Term
	// left is the leadership that the last promotion lock left, if a repair took this one; this
	// daemon may not have heard of it.
	releasedTerm core.Term
	// highest is the highest term that a promotion lock has named.
	highest core.Term
	// token and until come with the promotion lock.
	token        uint64
	sendDeadline core.Time
	// claimedAt is when the promotion lock was taken: leases by reads of the store that
	// did not show it run out LeaseDuration later.
	claimedAt core.Time
	// demoted is set once the old primary has confirmed, at demotedAt; last is its
	// final position.
	demoted       bool
	demotedAt     core.Time
	finalPosition core.Position
	orderedAt     core.Time
	// notBefore is when the promotion may be ordered at the earliest.
	earliestOrder core.Time
	// least is the end of the old primary's log as it was known when the claim began.
	minPosition core.Position
	fenced      map[core.MemberID]core.Time
	candidate   core.MemberID
	// retryAt is when the next attempt may begin.
	retryAt core.Time
	// wantedSince is since when a reason for a change has stood.
	reasonSince core.Time
}

// reason is why the primary should be changed.
type claimReason uint8

const (
	noReason claimReason = iota
	unreachable
	leavingPrimary
	noPrimary
	promotionFailed
	orphanedFence
	lostLock
)

func (r claimReason) String() string {
	return [...]string{"none", "primary does not answer", "primary is leaving", "no member leads", "a promotion had no effect", "a fence was left behind", "the store has lost the promotion lock"}[r]
}

func (g *Group) reason(now core.Time) claimReason {
	p := g.members[g.primary]
	switch {
	case p == nil && g.anyMemberAnswers(now) && !g.peerReachesPrimary(now) && g.isPrimaryMissing(now):
		return noPrimary
	case p == nil:
		return noReason
	case p.suspect && g.isPrimarySuspected(now):
		return unreachable
	case p.isLeaving(now) && g.plannedSuccessor(now) != "":
		return leavingPrimary
	case g.isSuperseded() && now.Sub(g.orderedAt) > PromoteTimeout:
		return promotionFailed
	}
	for _, m := range g.members {
		if m.fencedAt != 0 && now.Sub(m.fencedAt) > OrphanedFenceAge {
			return orphanedFence
		}
	}
	if g.promotionLock.lostSince != 0 && g.attests(now) {
		return lostLock
	}
	return noReason
}

// someMember says whether the group has a member that answers, and all that do
// not are silent rather than not asked yet.
func (g *Group) anyMemberAnswers(now core.Time) bool {
	answering := false
	for _, m := range g.members {
		if m.unlistedAt != 0 {
			continue
		}
		if m.statusAt == 0 && !m.suspect {
			return false
		}
		if m.statusAt != 0 && !m.suspect {
			answering = true
		}
	}
	return answering
}

// suspected says whether a third of the daemons gets no answer from the primary.
// Fewer do without it rather than interrupt the others.
func (g *Group) isPrimarySuspected(now core.Time) bool {
	return g.reportedByThird(now, func(p *peerReport) bool { return p.suspect && p.primary == g.primary })
}

// missed says whether a third of the daemons, this one among them, knows of no
// primary. One that has just become a home may have a host list from which the
// store has lost the primary's entry, and has not heard of the others yet; it would
// replace a primary that serves them all.
func (g *Group) isPrimaryMissing(now core.Time) bool {
	return g.reportedByThird(now, func(p *peerReport) bool { return p.primary == "" })
}

// third says whether a third of the daemons, this one among them, find the same; of two
// homes both have to, unless the other one says nothing.
func (g *Group) reportedByThird(now core.Time, same func(p *peerReport) bool) bool {
	n, fresh := 1, 1
	for _, p := range g.peers {
		if !p.isFresh(now) {
			continue
		}
		fresh++
		if same(&p) {
			n++
		}
	}
	agreed := 3*n >= g.homeCount && (g.homeCount != 2 || n == fresh)
	return agreed || !g.policy.Has(policy.SuspicionByThird)
}

// candidate is the replica that would take over from a primary that leaves; "": none can.
func (g *Group) plannedSuccessor(now core.Time) core.MemberID {
	var best core.MemberID
	for _, id := range g.order {
		m := g.members[id]
		if id == g.primary || id == g.claim.old || m.isLeaving(now) || m.suspect || m.unreadable || m.statusAt == 0 {
			continue
		}
		if !g.knowsCurrentTerm(m) && g.enforces(GuardKnownTerm) {
			continue
		}
		if best == "" || g.members[best].position.Less(m.position) {
			best = id
		}
	}
	return best
}

// stepClaim begins a change of the primary, or gets on with it.
func (g *Group) advanceClaim(now core.Time) {
	if g.isOvertaken() {
		g.endClaim(now, "another member leads")
		return
	}
	switch g.claim.phase {
	case noClaim:
		g.startClaimIfNeeded(now)
	case claiming:
		if now.Sub(g.claim.started) > ClaimTimeout {
			g.endClaim(now, "the store did not answer")
		}
	case demoting:
		g.advanceDemoting(now)
	case fencing:
		g.advanceFencing(now)
	case awaitingLeases:
		g.advanceAwaitingLeases(now)
	case promoting:
		g.advancePromoting(now)
	}
}

// outrun says whether a newer leadership has become known before the order. The fences
// were for the old one: they keep nobody from using the new primary, whose leadership
// the order would end unseen.
func (g *Group) isOvertaken() bool {
	switch g.claim.phase {
	case demoting, fencing, awaitingLeases:
		return g.term > g.claim.term && g.enforces(GuardNewerTerm)
	}
	return false
}

// noteGap takes that this daemon has not followed the group for a while: it was frozen,
// or had no part in it. What it knows of the members is old.
func (g *Group) checkFollowGap(now core.Time) {
	if g.lastTickAt != 0 && now.Sub(g.lastTickAt) > MaxFollowGap {
		g.listedSince = 0
	}
	g.lastTickAt = now
}

// settled says whether this daemon knows all members: it has read the host list for as
// long as entries that the store has lost take to come back. One that has just started
// may see one replica of a group, would fence that alone and have it promoted, while
// the others serve the primary's callers and confirm it.
func (g *Group) knowsAllMembers() bool {
	known := g.listedSince != 0 && g.listedAsOf.Sub(g.listedSince) >= ListSettleTime
	return known || !g.enforces(GuardMemberList)
}

func (g *Group) startClaimIfNeeded(now core.Time) {
	r := g.reason(now)
	if r == noReason || !g.isHome || !g.knowsAllMembers() {
		g.claim.reasonSince = 0
		return
	}
	if g.claim.reasonSince == 0 {
		g.claim.reasonSince = now
	}
	stagger := ClaimStagger
	if r == leavingPrimary || r == noPrimary {
		stagger = 3 * ClaimStagger
	}
	wait := stagger * time.Duration(g.rank(now))
	if r == noPrimary {
		wait += 3 * ProbeTimeout
	}
	if r == lostLock && !g.leaseNeedsLock(now) {
		wait += time.Duration(spread.Unit("/lost", string(g.id)) * float64(LostLockSpread))
	}
	if now < g.claim.retryAt || now.Sub(g.claim.reasonSince) < wait || g.isPeerClaiming(now) {
		return
	}
	g.claim = claim{
		phase: claiming, started: now, old: g.primary, term: g.term,
		planned: r == leavingPrimary, repair: r == orphanedFence || r == lostLock, fenced: make(map[core.MemberID]core.Time),
		minPosition: g.lastKnownPosition(),
	}
	g.emit(Effect{Kind: EffectDecision, Member: g.primary, Term: g.term, Reason: "claim: " + r.String()})
	if g.claim.repair {
		vouched := g.promotionLock.lostSince != 0 && g.attests(now)
		g.emit(Effect{Kind: EffectClaim, Member: g.primary, Term: g.term, Repair: true, Attested: vouched})
	} else {
		g.emit(Effect{Kind: EffectClaim, Member: g.primary, Term: g.term + 1})
	}
	g.emit(Effect{Kind: EffectReport})
}

// knownLog is the newest position of the primary that is known.
func (g *Group) lastKnownPosition() core.Position {
	if p := g.members[g.primary]; p != nil && g.maxPosition.Less(p.position) {
		return p.position
	}
	return g.maxPosition
}

// Claimed takes the promotion lock, which was asked for at sent.
func (g *Group) Claimed(now, sent core.Time, t PromotionLock) []Effect {
	c := &g.claim
	if c.phase != claiming {
		return g.takeEffects()
	}
	c.token, c.lockTerm, c.highest = t.Token, t.Term, t.Highest
	c.sendDeadline, c.claimedAt = sent.Add(LockSendWindow), now
	g.recordOrder(now, t.Unresolved, "")
	if c.repair {
		if t.Unresolved == 0 {
			c.releasedTerm = t.Term
		}
		g.endClaim(now, "repaired")
		return g.takeEffects()
	}
	if g.hasPrimaryRecovered(now) && g.enforces(GuardRecovered) {
		g.endClaim(now, "the primary answers again")
		return g.takeEffects()
	}
	if c.planned {
		c.phase, c.orderedAt = demoting, now
		g.emit(Effect{Kind: EffectDemote, Member: c.old, Term: c.term + 1})
		return g.takeEffects()
	}
	g.sendFences(now)
	return g.takeEffects()
}

// ClaimRefused takes that the promotion lock is another daemon's, or that the store
// does not answer.
func (g *Group) ClaimRefused(now core.Time, why string) []Effect {
	if g.claim.phase == claiming {
		g.endClaim(now, why)
	}
	return g.takeEffects()
}

// NewEra takes that the store has come back from an older copy of itself. A promotion lock
// that this daemon held may be gone; nobody takes another one before this one has run out.
// Members may be missing from the list until they have written their entries again.
func (g *Group) StoreRestored(now core.Time) []Effect {
	g.listedSince, g.listedAsOf = 0, 0
	if p := g.claim.phase; p != noClaim && p != promoting {
		g.endClaim(now, "the store has come back from an older copy")
	}
	return g.takeEffects()
}

// endClaim ends the attempt and removes the fences it may have left, while the
// promotion lock is surely still its own: an order that comes later, or from a claim
// without a promotion lock, would remove those of the next holder.
func (g *Group) endClaim(now core.Time, why string) {
	c := &g.claim
	owned := c.token != 0 && now < c.sendDeadline || !g.enforces(GuardOwnFences)
	for _, id := range g.order {
		m := g.members[id]
		if owned && (m.status.FencedTerm > 0 || c.fenced[id] != 0) {
			g.emit(Effect{Kind: EffectUnfence, Member: id})
		}
	}
	if done := c.phase == promoting && g.primary == c.candidate && g.term > c.term; c.token != 0 && (done || c.phase != promoting) {
		// Nothing can be ordered under the token any more, so nobody has to wait for
		// its end before the next change.
		back := Effect{Kind: EffectReleaseLock, Token: c.token, Term: max(g.term, c.releasedTerm), Highest: c.highest}
		if g.isSuperseded() {
			back.Term, back.Pending = g.orderedTerm, true
		}
		back.Highest = max(back.Highest, back.Term)
		g.emit(back)
	}
	g.emit(Effect{Kind: EffectDecision, Member: c.candidate, Term: c.term, Reason: "claim ended: " + why})
	g.emit(Effect{Kind: EffectReport})
	g.claim = claim{retryAt: now.Add(ClaimRetryDelay)}
}
