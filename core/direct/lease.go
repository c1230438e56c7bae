package direct

import (
	"sort"

	"limpetspan/core"
)

// ticketRead is the newest read of the group's ticket: the term that its holder
// wants to begin, and when the read was sent.
type ticketRead struct {
	term core.Term
	at   core.Time
	// askedAt is when the last read was ordered.
	askedAt core.Time
	// aheadSince is since when reads name a newer term than any that reigns.
	aheadSince core.Time
}

// LeaseUntil returns until when the primary may be used. Every event that can
// extend the lease ends with it.
func (g *Group) LeaseUntil(now core.Time) core.Time {
	p := g.members[g.primary]
	if p == nil || !p.isPrimary(g.term) || g.superseded() {
		g.lease = 0
		return 0
	}
	g.lease = max(g.lease, g.leaseOfTicket(), g.peerLease)
	// Replicas only extend a lease that has not run out. Their fences stand until the
	// promotion takes effect, which is not before all leases have run out; it ends
	// them, and a replica that has not heard of the new term then confirms the old
	// one. Whoever has held a lease without a gap cannot have met that.
	if now < g.lease {
		g.lease = max(g.lease, g.leaseOfReplicas(now, p))
	}
	return g.lease
}

// leaseOfTicket is the lease that a read of the store gives: nobody had claimed
// a newer term when it was sent.
func (g *Group) leaseOfTicket() core.Time {
	if g.ticket.at == 0 || g.ticket.term > g.term {
		return 0
	}
	return g.ticket.at.Add(LeaseFor)
}

// superseded says whether a promotion to a higher term was ordered. The old
// primary must not be used from then on, even if it and a replica answer: the
// promotion ends the replica's fence, also where the replica does not reach the
// new primary and goes on to confirm the old term.
func (g *Group) superseded() bool { return g.ordered > g.term }

func (g *Group) learnOrdered(now core.Time, t core.Term) {
	if t > g.ordered {
		g.ordered, g.orderedAt = t, now
	}
}

// TicketRead takes the term of the group's ticket, 0 if there is none, from a
// read that was sent at sent.
func (g *Group) TicketRead(now, sent core.Time, term core.Term) []Effect {
	if sent > g.ticket.at {
		g.ticket.term, g.ticket.at = term, sent
	}
	switch {
	case term <= g.term:
		g.ticket.aheadSince = 0
	case g.ticket.aheadSince == 0:
		g.ticket.aheadSince = now
	case now.Sub(g.ticket.aheadSince) > OrphanedFence && !g.peerClaims(now):
		// Its holder is gone, and may have ordered the promotion.
		g.learnOrdered(now, term)
	}
	g.LeaseUntil(now)
	return g.take()
}

func (g *Group) leaseOfReplicas(now core.Time, p *member) core.Time {
	need := g.size(now) / 2
	if need == 0 {
		return p.heardAt.Add(LeaseFor)
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
	return at[need-1].Add(LeaseFor)
}

// confirmedAt is when a probe was sent, by this or another daemon, in which the
// replica supported the present term; 0: none is known, or a later one showed
// that it does so no longer.
func (g *Group) confirmedAt(m *member) core.Time {
	var at core.Time
	if m.relayed.term == g.term {
		at = m.relayed.at
	}
	if m.confirms(g.term) {
		return max(at, m.statusAt)
	}
	if m.statusAt > at {
		return 0
	}
	return at
}

// Leased says whether the primary may be used now.
func (g *Group) Leased(now core.Time) bool { return now < g.LeaseUntil(now) }
