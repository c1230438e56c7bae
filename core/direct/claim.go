package direct

import (
	"fmt"
	"time"

	"limpetspan/core"
)

// phase is how far a take-over of the group has come.
type phase uint8

const (
	noClaim phase = iota
	// claiming: the store was asked for the ticket.
	claiming
	// demoting: a planned change stops the old primary and waits for the rest of its log.
	demoting
	// fencing: replicas are being fenced.
	fencing
	// outwaiting: leases of other daemons run out.
	outwaiting
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
	// old is the primary to replace, term its reign; number is the term that the
	// ticket names.
	old    core.MemberID
	term   core.Term
	number core.Term
	// highest is the highest term that a ticket has named.
	highest core.Term
	// token and until come with the ticket.
	token uint64
	until core.Time
	// claimedAt is when the ticket was taken: leases by reads of the store that
	// did not show it run out LeaseFor later.
	claimedAt core.Time
	// demoted is set once the old primary has confirmed, at demotedAt; last is its
	// final position.
	demoted   bool
	demotedAt core.Time
	last      core.Position
	orderedAt core.Time
	fenced    map[core.MemberID]core.Time
	candidate core.MemberID
	// retryAt is when the next attempt may begin.
	retryAt core.Time
	// wantedSince is since when a reason for a change has stood.
	wantedSince core.Time
}

// reason is why the primary should be changed.
type reason uint8

const (
	noReason reason = iota
	unreachable
	leavingPrimary
	missing
	withoutSuccessor
	orphanedFence
)

func (r reason) String() string {
	return [...]string{"none", "primary does not answer", "primary is leaving", "no member reigns", "a promotion had no effect", "a fence was left behind"}[r]
}

func (g *Group) reason(now core.Time) reason {
	p := g.members[g.primary]
	switch {
	case p == nil && g.someMember(now) && !g.peerReigns(now) && g.missed(now):
		return missing
	case p == nil:
		return noReason
	case p.suspect && g.suspected(now):
		return unreachable
	case p.leaving(now) && g.candidate(now) != "":
		return leavingPrimary
	case g.superseded() && now.Sub(g.orderedAt) > PromoteTimeout:
		return withoutSuccessor
	}
	for _, m := range g.members {
		if m.fencedAt != 0 && now.Sub(m.fencedAt) > OrphanedFence {
			return orphanedFence
		}
	}
	return noReason
}

// someMember says whether the group has a member that answers, and all that do
// not are silent rather than not asked yet.
func (g *Group) someMember(now core.Time) bool {
	answering := false
	for _, m := range g.members {
		if m.vanishedAt != 0 {
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

// suspected says whether a third of the daemons, this one among them, gets no
// answer from the primary. Fewer do without it rather than interrupt the others.
func (g *Group) suspected(now core.Time) bool {
	n := 1
	for _, p := range g.peers {
		if p.fresh(now) && p.suspect && p.primary == g.primary {
			n++
		}
	}
	return 3*n >= g.knownPeers
}

// missed says whether a third of the daemons, this one among them, knows of no
// primary. One that has just become a home may have a host list from which the
// store has lost the primary's entry, and has not heard of the others yet; it would
// replace a primary that serves them all.
func (g *Group) missed(now core.Time) bool {
	n := 1
	for _, p := range g.peers {
		if p.fresh(now) && p.primary == "" {
			n++
		}
	}
	return 3*n >= g.knownPeers
}

// candidate is the replica that would take over; "": none can.
func (g *Group) candidate(now core.Time) core.MemberID {
	var best core.MemberID
	for _, id := range g.order {
		m := g.members[id]
		if id == g.primary || id == g.claim.old || m.leaving(now) || m.suspect || m.statusAt == 0 {
			continue
		}
		if best == "" || g.members[best].position.Less(m.position) {
			best = id
		}
	}
	return best
}

// stepClaim begins a change of the primary, or gets on with it.
func (g *Group) stepClaim(now core.Time) {
	if g.outrun() {
		g.endClaim(now, "another member reigns")
		return
	}
	switch g.claim.phase {
	case noClaim:
		g.maybeClaim(now)
	case claiming:
		if now.Sub(g.claim.started) > ClaimTimeout {
			g.endClaim(now, "the store did not answer")
		}
	case demoting:
		g.stepDemoting(now)
	case fencing:
		g.stepFencing(now)
	case outwaiting:
		g.stepOutwaiting(now)
	case promoting:
		g.stepPromoting(now)
	}
}

// outrun says whether a newer reign has become known before the order. The fences
// were for the old one: they keep nobody from using the new primary, whose reign
// the order would end unseen.
func (g *Group) outrun() bool {
	switch g.claim.phase {
	case demoting, fencing, outwaiting:
		return g.term > g.claim.term && g.guarded(GuardOutrun)
	}
	return false
}

func (g *Group) maybeClaim(now core.Time) {
	r := g.reason(now)
	if r == noReason || !g.home {
		g.claim.wantedSince = 0
		return
	}
	if g.claim.wantedSince == 0 {
		g.claim.wantedSince = now
	}
	stagger := ClaimStagger
	if r == leavingPrimary || r == missing {
		stagger = 3 * ClaimStagger
	}
	wait := stagger * time.Duration(g.rank(now))
	if r == missing {
		wait += 3 * ProbeTimeout
	}
	if now < g.claim.retryAt || now.Sub(g.claim.wantedSince) < wait || g.peerClaims(now) {
		return
	}
	g.claim = claim{
		phase: claiming, started: now, old: g.primary, term: g.term,
		planned: r == leavingPrimary, repair: r == orphanedFence, fenced: make(map[core.MemberID]core.Time),
	}
	g.emit(Effect{Kind: EffectDecision, Member: g.primary, Term: g.term, Reason: "claim: " + r.String()})
	if r == orphanedFence {
		g.emit(Effect{Kind: EffectClaim, Member: g.primary, Term: g.term, Repair: true})
	} else {
		g.emit(Effect{Kind: EffectClaim, Member: g.primary, Term: g.term + 1})
	}
	g.emit(Effect{Kind: EffectReport})
}

// Ticket is the right to order a promotion.
type Ticket struct {
	// Token is the fencing token, which rises from one ticket to the next.
	Token uint64
	// Term is the one that the ticket names. It is higher than that of every ticket
	// before it, so that daemons do not take it for a promotion which has had its
	// effect.
	Term core.Term
	// Highest is the highest term that any ticket so far has named.
	Highest core.Term
	// Unresolved is the term of the ticket before it if that was not given back:
	// its holder may have ordered a promotion of which nobody here has heard.
	Unresolved core.Term
}

// Claimed takes the ticket, which was asked for at sent.
func (g *Group) Claimed(now, sent core.Time, t Ticket) []Effect {
	c := &g.claim
	if c.phase != claiming {
		return g.take()
	}
	c.token, c.number, c.highest = t.Token, t.Term, t.Highest
	c.until, c.claimedAt = sent.Add(TicketSendWindow), now
	g.learnOrdered(now, t.Unresolved, "")
	if c.repair {
		g.endClaim(now, "fence removed")
		return g.take()
	}
	if c.planned {
		c.phase, c.orderedAt = demoting, now
		g.emit(Effect{Kind: EffectDemote, Member: c.old, Term: c.term + 1})
		return g.take()
	}
	g.beginFencing(now)
	return g.take()
}

// ClaimRefused takes that the ticket is another daemon's, or that the store
// does not answer.
func (g *Group) ClaimRefused(now core.Time, why string) []Effect {
	if g.claim.phase == claiming {
		g.endClaim(now, why)
	}
	return g.take()
}

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
	if c.phase != demoting && c.phase != fencing && c.phase != outwaiting && c.phase != promoting {
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
func (g *Group) fencesForSync() int {
	if g.spec.SyncReplicas == 0 || !g.guarded(GuardSync) {
		return 0
	}
	return len(g.members) - g.spec.SyncReplicas
}

func (g *Group) stepFencing(now core.Time) {
	c := &g.claim
	if g.recovered(now) {
		g.endClaim(now, "the primary answers again")
		return
	}
	if len(c.fenced) >= g.fencesNeeded(now) {
		c.phase = outwaiting
		g.stepOutwaiting(now)
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

// stepOutwaiting orders the promotion once no daemon can hold a lease that was
// confirmed before the fences when the promotion takes effect.
func (g *Group) stepOutwaiting(now core.Time) {
	c := &g.claim
	if g.recovered(now) {
		g.endClaim(now, "the primary answers again")
		return
	}
	last := c.claimedAt
	for _, at := range c.fenced {
		last = max(last, at)
	}
	if now.Sub(last) < LeaseFor-PromoteAtLeast && g.guarded(GuardOutwait) {
		return
	}
	if now >= c.until && g.guarded(GuardSendWindow) {
		g.endClaim(now, "the ticket ran out")
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

// bestFenced is the fenced replica that has received most; one that stays is
// preferred to one that is leaving, unless commits wait for replicas: then only
// the furthest surely has all that were acknowledged.
func (g *Group) bestFenced(now core.Time) core.MemberID {
	if g.spec.SyncReplicas > 0 && g.guarded(GuardSync) {
		return g.furthestFenced()
	}
	var best core.MemberID
	for _, id := range g.order {
		m := g.members[id]
		if _, ok := g.claim.fenced[id]; !ok || m.suspect {
			continue
		}
		if best == "" || g.better(now, m, g.members[best]) {
			best = id
		}
	}
	return best
}

// furthestFenced is the fenced replica that has received most; "" if it does not answer.
func (g *Group) furthestFenced() core.MemberID {
	var best *member
	for _, id := range g.order {
		m := g.members[id]
		if _, ok := g.claim.fenced[id]; ok && (best == nil || best.position.Less(m.position)) {
			best = m
		}
	}
	if best == nil || best.suspect {
		return ""
	}
	return best.ID
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
	}
}

// endClaim ends the attempt and removes the fences it may have left, while the
// ticket is surely still its own: an order that comes later, or from a claim
// without a ticket, would remove those of the next holder.
func (g *Group) endClaim(now core.Time, why string) {
	c := &g.claim
	owned := c.token != 0 && now < c.until || !g.guarded(GuardOwnFences)
	for _, id := range g.order {
		m := g.members[id]
		if owned && (m.status.FencedTerm > 0 || c.fenced[id] != 0) {
			g.emit(Effect{Kind: EffectUnfence, Member: id})
		}
	}
	if done := c.phase == promoting && g.primary == c.candidate && g.term > c.term; c.token != 0 && (done || c.phase != promoting) {
		// Nothing can be ordered under the token any more, so nobody has to wait for
		// its end before the next change.
		back := Effect{Kind: EffectReleaseTicket, Token: c.token, Term: g.term, Highest: c.highest}
		if g.superseded() {
			back.Term, back.Pending = g.ordered, true
		}
		back.Highest = max(back.Highest, back.Term)
		g.emit(back)
	}
	g.emit(Effect{Kind: EffectDecision, Member: c.candidate, Term: c.term, Reason: "claim ended: " + why})
	g.emit(Effect{Kind: EffectReport})
	g.claim = claim{retryAt: now.Add(ClaimRetry)}
}
