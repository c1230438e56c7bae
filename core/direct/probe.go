package direct

import (
	"sort"
	"time"

	"limpetspan/core"
)

// Tick advances the time: it orders the probes that are due and continues a change of the primary.
func (g *Group) Tick(now core.Time) []Effect {
	g.checkFollowGap(now)
	g.LeaseExpiry(now)
	g.updateUsability(now)
	g.observeRunning(now)
	g.expireOthers(now)
	g.sendDueProbes(now)
	g.renewLeaseByLock(now)
	g.demoteStalePrimaries(now)
	g.advanceClaim(now)
	return g.takeEffects()
}

// sendDueProbes marks members with an unanswered probe as suspect and orders the probes that are
// due.
func (g *Group) sendDueProbes(now core.Time) {
	for _, id := range g.order {
		m := g.members[id]
		if m.probing && now.Sub(m.probeSentAt) >= ProbeTimeout && m.lastSeen < m.probeSentAt {
			g.suspect(now, id, m)
		}
	}
	for _, id := range g.dueProbes(now) {
		g.sendProbe(now, g.members[id])
	}
}

// sendProbe orders a probe of the member.
func (g *Group) sendProbe(now core.Time, m *member) {
	m.probing, m.probeSentAt = true, now
	g.emit(Effect{Kind: EffectProbe, Member: m.ID})
}

// renewLeaseByLock reads the promotion lock if the replicas' confirmations have not extended the
// lease in time.
func (g *Group) renewLeaseByLock(now core.Time) {
	p := g.members[g.primary]
	if p == nil || p.suspect || g.claim.phase != noClaim || p.isLeaving(now) && g.isPeerClaiming(now) {
		return
	}
	if g.LeaseExpiry(now).Sub(now) >= g.lockReadMargin(now) || now.Sub(g.promotionLock.requestedAt) < LockReadInterval || g.isSuperseded() {
		return
	}
	g.promotionLock.requestedAt = now
	g.emit(Effect{Kind: EffectReadLock})
}

// lockReadMargin returns how long before the lease expires the promotion lock is read. In a group of
// one, where nothing else extends the lease, the daemon that is first by rank reads it earlier, so that
// its reports normally serve all.
func (g *Group) lockReadMargin(now core.Time) time.Duration {
	if g.majoritySize(now) > 1 {
		return LockReadMargin
	}
	return max(LockReadMargin, LoneLockReadMargin-ProbeStagger*time.Duration(g.rank(now)))
}

// dueProbes returns the members to probe: those without a known role, a silent primary, and
// replicas whose confirmation the lease needs.
func (g *Group) dueProbes(now core.Time) []core.MemberID {
	var due, replicas []core.MemberID
	for _, id := range g.order {
		m := g.members[id]
		age := now.Sub(m.probeSentAt)
		switch {
		case m.addressReused && age < WrongMemberProbeInterval, m.probing && age < 2*ProbeTimeout:
			// Not due. A member whose address another one uses is probed only rarely, in case it
			// answers there again. An unanswered probe may wait behind statements and is repeated
			// only after twice the timeout.
		case m.probeSentAt == 0, g.claim.phase == promoting && id == g.claim.candidate && age >= PromotePollInterval:
			due = append(due, id)
		case m.suspect || m.unlistedAt != 0 || m.statusAt == 0 || g.primary == "":
			if age >= SuspectProbeInterval || g.primary == "" && age >= ProbeInterval/2 {
				due = append(due, id)
			}
		case id == g.primary:
			if g.isPrimaryProbeDue(now, m) {
				due = append(due, id)
			}
		case m.fencedAt != 0 && age >= ProbeInterval:
			due = append(due, id)
		default:
			replicas = append(replicas, id)
		}
	}
	return append(due, g.dueReplicas(now, replicas)...)
}

// isPrimaryProbeDue reports whether the primary must be probed: because nothing has been received
// from it for too long, or because no daemon has recently seen that it leads. The silence
// limit is longer for a daemon without a statement on the primary, unless the daemon is the first by
// rank. The second limit, roleProbeDelay, grows with the rank, so that one daemon's probe normally
// serves all.
func (g *Group) isPrimaryProbeDue(now core.Time, m *member) bool {
	age, silent := now.Sub(m.probeSentAt), now.Sub(m.lastSeen)
	silenceLimit := ProbeInterval
	if m.open == m.idle && g.rank(now) > 0 {
		silenceLimit = IdleProbeInterval
	}
	roleProbeDelay := RoleProbeInterval + min(ProbeStagger*time.Duration(g.rank(now)), RoleProbeInterval/2)
	return age >= ProbeInterval && (silent >= silenceLimit || now.Sub(m.leadSeen.forTerm(g.term)) >= roleProbeDelay)
}

// dueReplicas returns the replicas to probe for the lease, the one with the oldest probe first. One
// daemon's probe serves all: the other daemons probe only if no confirmation has reached them, each
// a little later than the one before it.
func (g *Group) dueReplicas(now core.Time, replicas []core.MemberID) []core.MemberID {
	need := g.majoritySize(now) / 2
	if g.primary == "" || need == 0 {
		return nil
	}
	maxConfirmationAge := ProbeInterval + min(ProbeStagger*time.Duration(g.rank(now)), LeaseDuration/2-ProbeStagger)
	fresh := 0
	for id, m := range g.members {
		if id != g.primary && now.Sub(max(g.confirmedAt(m), m.probeSentAt)) < maxConfirmationAge {
			fresh++
		}
	}
	sort.SliceStable(replicas, func(i, j int) bool {
		return g.members[replicas[i]].probeSentAt < g.members[replicas[j]].probeSentAt
	})
	return replicas[:min(len(replicas), max(0, need-fresh))]
}

// demoteStalePrimaries demotes members that still believe they lead in an older term.
func (g *Group) demoteStalePrimaries(now core.Time) {
	if g.primary == "" {
		return
	}
	for _, id := range g.order {
		m := g.members[id]
		if m.addressReused || m.statusAt == 0 || m.status.Role != core.RolePrimary || m.status.Term >= g.term || now.Sub(m.demoteSentAt) < FenceTimeout {
			continue
		}
		m.demoteSentAt = now
		g.emit(Effect{Kind: EffectDemote, Member: id, Term: g.term})
	}
}
