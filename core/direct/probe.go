package direct

import (
	"sort"
	"time"

	"limpetspan/core"
)

// Tick lets time pass: probes become due and take-overs get on.
func (g *Group) Tick(now core.Time) []Effect {
	g.checkFollowGap(now)
	g.LeaseExpiry(now)
	g.updateUsability(now)
	g.sendDueProbes(now)
	g.renewLeaseByLock(now)
	g.demoteStalePrimaries(now)
	g.advanceClaim(now)
	return g.takeEffects()
}

// probe orders the probes that are due.
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

// ask orders a probe of the member.
func (g *Group) sendProbe(now core.Time, m *member) {
	m.probing, m.probeSentAt = true, now
	g.emit(Effect{Kind: EffectProbe, Member: m.ID})
}

// renewByLock reads the promotion lock while the replicas' confirmations fail to come.
func (g *Group) renewLeaseByLock(now core.Time) {
	p := g.members[g.primary]
	if p == nil || p.suspect || g.claim.phase != noClaim || p.isLeaving(now) && g.isPeerClaiming(now) {
		return
	}
	if g.LeaseExpiry(now).Sub(now) >= LockReadMargin || now.Sub(g.promotionLock.requestedAt) < LockReadInterval || g.isSuperseded() {
		return
	}
	g.promotionLock.requestedAt = now
	g.emit(Effect{Kind: EffectReadLock})
}

// dueProbes are members without a known role, the primary if nothing has been
// heard of it, and replicas if the lease needs their confirmation.
func (g *Group) dueProbes(now core.Time) []core.MemberID {
	var due, replicas []core.MemberID
	for _, id := range g.order {
		m := g.members[id]
		age := now.Sub(m.probeSentAt)
		switch {
		case m.addressReused && age < WrongMemberProbeInterval, m.probing && age < 2*ProbeTimeout:
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

// primaryDue says whether the primary has to be asked whether it lives, soon if a
// statement waits for it, or whether it leads, unless another daemon has asked.
func (g *Group) isPrimaryProbeDue(now core.Time, m *member) bool {
	age, silent := now.Sub(m.probeSentAt), now.Sub(m.lastSeen)
	quiet := ProbeInterval
	if m.open == m.idle && g.rank(now) > 0 {
		quiet = IdleProbeInterval
	}
	waitLimit := RoleProbeInterval + min(ProbeStagger*time.Duration(g.rank(now)), RoleProbeInterval/2)
	return age >= ProbeInterval && (silent >= quiet || now.Sub(m.leadSeen.forTerm(g.term)) >= waitLimit)
}

// dueReplicas are the replicas to be probed for the lease, those first whose
// probe is oldest. One daemon's probe serves all: the others probe only if no
// confirmation has reached them, each a little later than the one before it.
func (g *Group) dueReplicas(now core.Time, replicas []core.MemberID) []core.MemberID {
	need := g.majoritySize(now) / 2
	if g.primary == "" || need == 0 {
		return nil
	}
	waitLimit := ProbeInterval + min(ProbeStagger*time.Duration(g.rank(now)), LeaseDuration/2-ProbeStagger)
	fresh := 0
	for id, m := range g.members {
		if id != g.primary && now.Sub(max(g.confirmedAt(m), m.probeSentAt)) < waitLimit {
			fresh++
		}
	}
	sort.SliceStable(replicas, func(i, j int) bool {
		return g.members[replicas[i]].probeSentAt < g.members[replicas[j]].probeSentAt
	})
	return replicas[:min(len(replicas), max(0, need-fresh))]
}

// demoteStrays demotes members that still think they lead in an older term.
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
