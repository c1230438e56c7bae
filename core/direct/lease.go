package direct

import (
	"sort"

	"limpetspan/core"
)

// lockRead is the newest read of the group's promotion lock: the term that its holder
// wants to begin, and when the read was sent.
type lockRead struct {
	term         core.Term
	isLeadership bool
	sentAt       core.Time
	// askedAt is when the last read was ordered.
	requestedAt core.Time
	// aheadSince is since when reads name a newer term than any that leads.
	aheadSince core.Time
	// lostSince is since when reads show a record of an earlier era of the store.
	lostSince core.Time
}

// LeaseUntil returns until when the primary may be used. Every event that can
// extend the lease ends with it.
func (g *Group) LeaseExpiry(now core.Time) core.Time {
	p := g.usablePrimary()
	if p == nil {
		g.leaseExpiry = 0
		return 0
	}
	g.leaseExpiry = max(g.leaseExpiry, g.lockLeaseExpiry(), g.peerLeaseExpiry)
	// Replicas only extend a lease that has not run out. Their fences stand until the
	// promotion takes effect, which is not before all leases have run out; it ends
	// them, and a replica that has not heard of the new term then confirms the old
	// one. Whoever has held a lease without a gap cannot have met that.
	if now < g.leaseExpiry || !g.enforces(GuardUnbrokenLease) {
		extended := g.replicaLeaseExpiry(now, p)
		if g.enforces(GuardPrimaryRole) {
			// A planned change demotes the primary first, which the replicas need not
			// notice. What it is asked then, as from a replica, may lack commits.
			extended = min(extended, p.leadSeen.forTerm(g.term).Add(RoleTTL))
		}
		g.leaseExpiry = max(g.leaseExpiry, extended)
	}
	return g.leaseExpiry
}

// leaseOfLock is the lease that a read of the store gives: nobody had claimed
// a newer term when it was sent, or that claim's promotion has had its effect.
func (g *Group) lockLeaseExpiry() core.Time {
	if g.promotionLock.sentAt == 0 || g.isLockAhead() && g.enforces(GuardLockTerm) {
		return 0
	}
	return g.promotionLock.sentAt.Add(LeaseDuration)
}

// lockAhead says whether the last read of the promotion lock names a newer term than the
// present one, for a promotion that is not known to have had its effect.
func (g *Group) isLockAhead() bool {
	resolved := !g.promotionLock.isLeadership && g.promotionLock.term <= g.effectiveTerm
	return g.promotionLock.term > g.term && !resolved
}

// superseded says whether a promotion to a higher term was ordered. The old
// primary must not be used from then on, even if it and a replica answer: the
// promotion ends the replica's fence, also where the replica does not reach the
// new primary and goes on to confirm the old term.
func (g *Group) isSuperseded() bool {
	return g.orderedTerm > g.term && g.orderedTerm > g.effectiveTerm && g.enforces(GuardSuperseded)
}

// learnOrdered takes that a promotion was ordered, of successor if that is known.
func (g *Group) recordOrder(now core.Time, t core.Term, successor core.MemberID) {
	known := t == g.orderedTerm && (successor == "" || g.successor != "")
	if t < g.orderedTerm || t == 0 || known {
		return
	}
	g.orderedTerm, g.successor, g.orderedAt = t, successor, now
	if m := g.members[successor]; m != nil && g.primary == successor {
		m.probeSentAt = 0
	}
}

// noteEffect takes that the member has answered a probe, which was sent at sent,
// as primary. Whom a promotion is ordered for was fenced as a replica before, so
// that its leadership is the effect of the order. Its term may be lower than the order
// counts on: where an earlier order may have had an effect that nobody has seen,
// the next one names one term more than it may come to.
func (g *Group) recordPromotionEffect(sent core.Time, id core.MemberID) {
	if id == g.successor && sent > g.orderedAt {
		g.effectiveTerm = g.orderedTerm
	}
}

// LockRead takes a read of the group's promotion lock that was sent at sent.
func (g *Group) LockRead(now, sent core.Time, seen LockState) []Effect {
	term := seen.Term
	if sent < g.promotionLock.sentAt {
		return g.takeEffects()
	}
	if seen.EarlierEra && g.enforces(GuardLockEra) {
		g.handleLostLock(now, term)
		return g.takeEffects()
	}
	g.promotionLock.lostSince = 0
	g.promotionLock.term, g.promotionLock.isLeadership, g.promotionLock.sentAt = term, seen.IsLeadership, sent
	switch {
	case term <= g.term:
		g.promotionLock.aheadSince = 0
	case g.promotionLock.aheadSince == 0:
		g.promotionLock.aheadSince = now
	case now.Sub(g.promotionLock.aheadSince) > OrphanedFenceAge && !g.isPeerClaiming(now):
		// Its holder is gone, and may have ordered the promotion.
		g.recordOrder(now, term, "")
	}
	g.LeaseExpiry(now)
	return g.takeEffects()
}

// lockLost takes a record of an earlier era of the store: the next one may have been taken,
// and a promotion to the term or a lower one have been ordered, of which the store has lost
// all. It gives no lease.
func (g *Group) handleLostLock(now core.Time, term core.Term) {
	l := &g.promotionLock
	switch {
	case l.lostSince == 0:
		l.lostSince = now
	case now.Sub(l.lostSince) > OrphanedFenceAge && !g.isPeerClaiming(now) && !g.attests(now):
		g.recordOrder(now, term, "")
	}
}

// needsLock says whether the lease is about to expire without a read of the promotion lock.
func (g *Group) leaseNeedsLock(now core.Time) bool {
	asked := g.promotionLock.requestedAt
	return asked != 0 && now.Sub(asked) < 2*LockReadInterval
}

// vouches says whether it is known that no promotion after the present leadership was ordered
// in an earlier era of the store. Such an order has taken effect by the time at which the
// first lost record is taken, or never will. A lease that is held then was held since
// before the promotion, which would have waited for its end; and a member that was
// promoted would name its term.
func (g *Group) attests(now core.Time) bool {
	if g.HasLease(now) {
		return true
	}
	p, since := g.usablePrimary(), g.promotionLock.lostSince
	if p == nil || p.leadSeen.forTerm(g.term) < since {
		return false
	}
	for _, m := range g.members {
		if m.statusAt < since || m.addressReused || m.status.Term > g.term {
			return false
		}
	}
	return true
}

func (g *Group) replicaLeaseExpiry(now core.Time, p *member) core.Time {
	need := g.majoritySize(now) / 2
	if need == 0 {
		return p.lastSeen.Add(LeaseDuration)
	}
	var at []core.Time
	for id, m := range g.members {
		if c := g.confirmedAt(m); id != g.primary && c != 0 {
			at = append(at, c)
		}
	}
	if len(at) < need {
		return 0
	}
	sort.Slice(at, func(i, j int) bool { return at[i] > at[j] })
	return at[need-1].Add(LeaseDuration)
}

// confirmedAt is when a probe was sent, by this or another daemon, in which the
// replica supported the present term; 0: none is known, or a later one showed
// that it does so no longer.
func (g *Group) confirmedAt(m *member) core.Time {
	at := m.peerConfirmed.forTerm(g.term)
	if m.confirmsTerm(g.term) {
		if g.mayHaveLostFence(m) {
			return at
		}
		return max(at, m.statusAt)
	}
	if m.statusAt > at {
		return 0
	}
	return at
}

// usablePrimary is the member that leads, if no promotion is known to replace it;
// nil: there is none.
func (g *Group) usablePrimary() *member {
	p := g.members[g.primary]
	if p == nil || !p.isPrimary(g.term) || g.isSuperseded() {
		return nil
	}
	return p
}

// Leased says whether the primary may be used now. Events that extend the lease
// have computed it; it is computed anew only once it has run out. A statement for
// the primary then costs 50 ns here in place of 750 (BenchmarkPlacePrimary).
func (g *Group) HasLease(now core.Time) bool {
	if !g.enforces(GuardReadLease) || now < g.leaseExpiry && g.usablePrimary() != nil {
		return true
	}
	return now < g.LeaseExpiry(now)
}

// Confirms says whether a commit that the member answered with the position p may
// be acknowledged: the member leads under the lease, and in the term of the
// commit. A member that was replaced and promoted again may have lost it between.
func (g *Group) CanAcknowledge(now core.Time, id core.MemberID, p core.Position) bool {
	sameTerm := p.Term == g.term || !g.enforces(GuardSameTerm)
	return g.primary == id && sameTerm && g.HasLease(now)
}
