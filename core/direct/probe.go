package direct

import (
	"sort"
	"time"

	"limpetspan/core"
)

// Tick lets time pass: probes become due and take-overs get on.
func (g *Group) Tick(now core.Time) []Effect {
	g.noteGap(now)
	g.LeaseUntil(now)
	g.noteUsable(now)
	g.probe(now)
	g.renewByLock(now)
	g.demoteStrays(now)
	g.stepClaim(now)
	return g.take()
}

// probe orders the probes that are due.
func (g *Group) probe(now core.Time) {
	for _, id := range g.order {
		m := g.members[id]
		if m.probing && now.Sub(m.probeAt) >= ProbeTimeout && m.heardAt < m.probeAt {
			g.suspect(now, id, m)
		}
	}
	for _, id := range g.dueProbes(now) {
		g.ask(now, g.members[id])
	}
}

// ask orders a probe of the member.
func (g *Group) ask(now core.Time, m *member) {
	m.probing, m.probeAt = true, now
	g.emit(Effect{Kind: EffectProbe, Member: m.ID})
}

// renewByLock reads the promotion lock while the replicas' confirmations fail to come.
func (g *Group) renewByLock(now core.Time) {
	p := g.members[g.primary]
	if p == nil || p.suspect || g.claim.phase != noClaim || p.leaving(now) && g.peerClaims(now) {
		return
	}
	if g.LeaseUntil(now).Sub(now) >= LockReadBefore || now.Sub(g.promotionLock.askedAt) < LockReadEvery || g.superseded() {
		return
	}
	g.promotionLock.askedAt = now
	g.emit(Effect{Kind: EffectReadLock})
}

// dueProbes are members without a known role, the primary if nothing has been
// heard of it, and replicas if the lease needs their confirmation.
func (g *Group) dueProbes(now core.Time) []core.MemberID {
	var due, replicas []core.MemberID
	for _, id := range g.order {
		m := g.members[id]
		age := now.Sub(m.probeAt)
		switch {
		case m.elsewhere && age < ElsewhereRetry, m.probing && age < 2*ProbeTimeout:
		case m.probeAt == 0, g.claim.phase == promoting && id == g.claim.candidate && age >= PollPromoted:
			due = append(due, id)
		case m.suspect || m.vanishedAt != 0 || m.statusAt == 0 || g.primary == "":
			if age >= SuspectProbeEvery || g.primary == "" && age >= ProbeEvery/2 {
				due = append(due, id)
			}
		case id == g.primary:
			if g.primaryDue(now, m) {
				due = append(due, id)
			}
		case m.fencedAt != 0 && age >= ProbeEvery:
			due = append(due, id)
		default:
			replicas = append(replicas, id)
		}
	}
	return append(due, g.dueReplicas(now, replicas)...)
}

// primaryDue says whether the primary has to be asked whether it lives, soon if a
// statement waits for it, or whether it leads, unless another daemon has asked.
func (g *Group) primaryDue(now core.Time, m *member) bool {
	age, silent := now.Sub(m.probeAt), now.Sub(m.heardAt)
	quiet := ProbeEvery
	if m.open == m.idle && g.rank(now) > 0 {
		quiet = IdleProbeEvery
	}
	waitLimit := RoleProbeEvery + min(ProbeStagger*time.Duration(g.rank(now)), RoleProbeEvery/2)
	return age >= ProbeEvery && (silent >= quiet || now.Sub(m.led.of(g.term)) >= waitLimit)
}

// dueReplicas are the replicas to be probed for the lease, those first whose
// probe is oldest. One daemon's probe serves all: the others probe only if no
// confirmation has reached them, each a little later than the one before it.
func (g *Group) dueReplicas(now core.Time, replicas []core.MemberID) []core.MemberID {
	need := g.size(now) / 2
	if g.primary == "" || need == 0 {
		return nil
	}
	waitLimit := ProbeEvery + min(ProbeStagger*time.Duration(g.rank(now)), LeaseFor/2-ProbeStagger)
	fresh := 0
	for id, m := range g.members {
		if id != g.primary && now.Sub(max(g.confirmedAt(m), m.probeAt)) < waitLimit {
			fresh++
		}
	}
	sort.SliceStable(replicas, func(i, j int) bool {
		return g.members[replicas[i]].probeAt < g.members[replicas[j]].probeAt
	})
	return replicas[:min(len(replicas), max(0, need-fresh))]
}

// demoteStrays demotes members that still think they lead in an older term.
func (g *Group) demoteStrays(now core.Time) {
	if g.primary == "" {
		return
	}
	for _, id := range g.order {
		m := g.members[id]
		if m.elsewhere || m.statusAt == 0 || m.status.Role != core.RolePrimary || m.status.Term >= g.term || now.Sub(m.demoteAt) < FenceTimeout {
			continue
		}
		m.demoteAt = now
		g.emit(Effect{Kind: EffectDemote, Member: id, Term: g.term})
	}
}
