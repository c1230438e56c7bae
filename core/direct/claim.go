package direct

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/policy"
	"limpetspan/core/spread"
)

// phase is the progress of a change of the primary.
type phase uint8

const (
	noClaim phase = iota
	// claiming: the promotion lock was requested from the store.
	claiming
	// demoting: a planned change demotes the old primary and waits until a replica has the rest of
	// its log.
	demoting
	// fencing: replicas are being fenced.
	fencing
	// awaitingLeases: leases of other daemons are expiring.
	awaitingLeases
	// promoting: the promotion was ordered and has not taken effect yet.
	promoting
)

// claim is this daemon's attempt to change the primary.
type claim struct {
	phase   phase
	started core.Time
	// planned is set if the primary is leaving and still serves.
	planned bool
	// repair is set if the claim does not change the primary: it removes abandoned fences or writes
	// a lost lock again.
	repair bool
	// old is the primary to replace, term its term; lockTerm is the term that the promotion lock
	// names.
	old      core.MemberID
	term     core.Term
	lockTerm core.Term
	// releasedTerm is the term in which the previous promotion lock left the group, 0 if that is not
	// known. This daemon may not have seen that term.
	releasedTerm core.Term
	// highest is the highest term that a promotion lock has named.
	highest core.Term
	// token is the fencing token of the promotion lock, sendDeadline the end of its send window.
	token        uint64
	sendDeadline core.Time
	// claimedAt is when the promotion lock was acquired. Leases from reads of the store that did
	// not show it expire LeaseDuration later.
	claimedAt core.Time
	// demoted is set once the old primary has confirmed its demotion, at demotedAt; finalPosition
	// is the end of its log.
	demoted       bool
	demotedAt     core.Time
	finalPosition core.Position
	// orderedAt is when the demotion, the fences or the promotion of the current phase were last
	// ordered.
	orderedAt core.Time
	// earliestOrder is the earliest time at which the promotion may be ordered.
	earliestOrder core.Time
	// minPosition is the end of the old primary's log as known when the claim began.
	minPosition core.Position
	// fenced holds the replicas whose fences are confirmed, with the time of the confirmation.
	fenced map[core.MemberID]core.Time
	// candidate is the replica that is being promoted.
	candidate core.MemberID
	// retryAt is when the next attempt may begin.
	retryAt core.Time
	// reasonSince is the time since which there has been a reason for a change.
	reasonSince core.Time
}

// claimReason is why the primary should be changed, or its fences or lock repaired.
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

// anyMemberAnswers reports whether some listed member answers and every other one has been found
// silent rather than not yet probed.
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

// isPrimarySuspected reports whether at least a third of the daemons get no answer from the
// primary. If fewer do, they work without it rather than interrupt the others.
func (g *Group) isPrimarySuspected(now core.Time) bool {
	return g.reportedByThird(now, func(p *peerReport) bool { return p.suspect && p.primary == g.primary })
}

// isPrimaryMissing reports whether at least a third of the daemons, including this one, know of no
// primary. A daemon that has just become a home may hold a host list from which the store has lost
// the primary's entry, and may have received no reports yet. It would replace a primary that serves
// all others.
func (g *Group) isPrimaryMissing(now core.Time) bool {
	return g.reportedByThird(now, func(p *peerReport) bool { return p.primary == "" })
}

// reportedByThird reports whether at least a third of the daemons, including this one, report the
// same. Of two homes both must, unless the other one has sent no recent report.
func (g *Group) reportedByThird(now core.Time, matches func(p *peerReport) bool) bool {
	n, fresh := 1, 1
	for _, p := range g.peers {
		if !p.isFresh(now) {
			continue
		}
		fresh++
		if matches(&p) {
			n++
		}
	}
	agreed := 3*n >= g.homeCount && (g.homeCount != 2 || n == fresh)
	return agreed || !g.policy.Has(policy.SuspicionByThird)
}

// plannedSuccessor returns the replica that would take over from a leaving primary, and "" if none
// can.
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

// advanceClaim starts a change of the primary, or continues it.
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

// isOvertaken reports whether a newer term has become known before the promotion was ordered. The
// fences were made for the old term: they do not keep other daemons from using the new primary, and
// the order would end its leadership unnoticed.
func (g *Group) isOvertaken() bool {
	switch g.claim.phase {
	case demoting, fencing, awaitingLeases:
		return g.term > g.claim.term && g.enforces(GuardNewerTerm)
	}
	return false
}

// checkFollowGap detects that this daemon has not followed the group for a while, because it was
// frozen or did not serve the group. What it knows of the members is outdated then.
func (g *Group) checkFollowGap(now core.Time) {
	if g.lastTickAt != 0 && now.Sub(g.lastTickAt) > MaxFollowGap {
		g.listedSince = 0
	}
	g.lastTickAt = now
}

// knowsAllMembers reports whether this daemon can rely on knowing all members: it has followed the
// host list for as long as members take to restore entries that the store has lost. A daemon that
// has just started may see a single replica of a group, would fence only that one and promote it,
// while the other replicas confirm the old primary and its callers are still served.
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
		attested := g.promotionLock.lostSince != 0 && g.attests(now)
		g.emit(Effect{Kind: EffectClaim, Member: g.primary, Term: g.term, Repair: true, Attested: attested})
	} else {
		g.emit(Effect{Kind: EffectClaim, Member: g.primary, Term: g.term + 1})
	}
	g.emit(Effect{Kind: EffectReport})
}

// lastKnownPosition returns the newest known position of the primary.
func (g *Group) lastKnownPosition() core.Position {
	if p := g.members[g.primary]; p != nil && g.maxPosition.Less(p.position) {
		return p.position
	}
	return g.maxPosition
}

// Claimed handles the acquisition of the promotion lock, which was requested at sent.
func (g *Group) Claimed(now, sent core.Time, lock PromotionLock) []Effect {
	c := &g.claim
	if c.phase != claiming {
		// The claim has ended meanwhile. A lock that nobody releases would count as an order.
		g.releaseLock(lock.Token, lock.Leadership, lock.Highest, lock.Unresolved)
		return g.takeEffects()
	}
	c.token, c.lockTerm, c.highest = lock.Token, lock.Term, lock.Highest
	c.sendDeadline, c.claimedAt = sent.Add(LockSendWindow), now
	g.recordOrder(now, lock.Unresolved, "")
	c.releasedTerm = lock.Leadership
	if c.repair {
		g.endClaim(now, "repaired")
		return g.takeEffects()
	}
	if g.hasPrimaryRecovered(now) && g.enforces(GuardRecovered) {
		g.endClaim(now, "the primary answers again")
		return g.takeEffects()
	}
	if c.planned {
		c.phase, c.orderedAt = demoting, now
		g.emit(Effect{Kind: EffectDemote, Member: c.old, Term: c.term + 1, SendDeadline: c.sendDeadline})
		return g.takeEffects()
	}
	g.sendFences(now)
	return g.takeEffects()
}

// ClaimRefused records that another daemon holds the promotion lock, or that the store does not
// answer.
func (g *Group) ClaimRefused(now core.Time, reason string) []Effect {
	if g.claim.phase == claiming {
		g.endClaim(now, reason)
	}
	return g.takeEffects()
}

// StoreRestored handles a restore of the store from an older copy. A promotion lock that this
// daemon holds may be lost; no other daemon acquires one before this one has expired. Members may
// be missing from the host list until they have written their entries again.
func (g *Group) StoreRestored(now core.Time) []Effect {
	g.listedSince, g.listedAsOf = 0, 0
	if p := g.claim.phase; p != noClaim && p != promoting {
		g.endClaim(now, "the store was restored from an older copy")
	}
	return g.takeEffects()
}

// releaseLock releases the promotion lock with the token, under which no order was sent or its effect is
// known. leadership is the term in which the lock before left the group, highest the highest term that
// any has named, unresolved that of an earlier order whose effect is not known; 0 if there is none.
func (g *Group) releaseLock(token uint64, leadership, highest, unresolved core.Term) {
	release := Effect{Kind: EffectReleaseLock, Token: token, Term: max(g.term, leadership), Highest: highest}
	if g.isSuperseded() {
		unresolved = max(unresolved, g.orderedTerm)
	}
	if unresolved > release.Term {
		release.Term, release.Pending = unresolved, true
	}
	release.Highest = max(release.Highest, release.Term)
	g.emit(release)
}

// endClaim ends the attempt and removes the fences it may have made, as long as this daemon
// certainly holds the promotion lock. Without the lock, or after it has expired, removing fences
// could remove those of the next holder.
func (g *Group) endClaim(now core.Time, reason string) {
	c := &g.claim
	owned := c.token != 0 && now < c.sendDeadline || !g.enforces(GuardOwnFences)
	for _, id := range g.order {
		m := g.members[id]
		if owned && (m.status.FencedTerm > 0 || c.fenced[id] != 0) {
			g.emit(Effect{Kind: EffectUnfence, Member: id, SendDeadline: c.sendDeadline})
		}
	}
	if done := c.phase == promoting && g.primary == c.candidate && g.term > c.term; c.token != 0 && (done || c.phase != promoting) {
		// No order can be sent under the token any more, so the next change need not wait until the
		// lock expires.
		g.releaseLock(c.token, c.releasedTerm, c.highest, 0)
	}
	g.emit(Effect{Kind: EffectDecision, Member: c.candidate, Term: c.term, Reason: "claim ended: " + reason})
	g.emit(Effect{Kind: EffectReport})
	g.claim = claim{retryAt: now.Add(ClaimRetryDelay)}
}
