package direct

import (
	"fmt"
	"sort"
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
	// old is the primary to replace, term its reign.
	old  core.MemberID
	term core.Term
	// token and until come with the ticket.
	token uint64
	until core.Time
	// claimedAt is when the ticket was taken: leases by reads of the store that
	// did not show it run out LeaseFor later.
	claimedAt core.Time
	// demoted is set once the old primary has confirmed; last is its final position.
	demoted   bool
	last      core.Position
	orderedAt core.Time
	fenced    map[core.MemberID]core.Time
	candidate core.MemberID
	// retryAt is when the next attempt may begin.
	retryAt core.Time
	// wantedSince is since when a reason for a change has stood.
	wantedSince core.Time
}

// peerReport is what another daemon believes of the group.
type peerReport struct {
	at      core.Time
	suspect bool
	primary core.MemberID
	term    core.Term
	// claiming is set while that daemon works a change of the primary.
	claiming bool
	// open counts its connections by member.
	open map[core.MemberID]int
}

// relayed is a replica's confirmation of a term that another daemon has got; at
// is a moment of this daemon's clock that was not after that daemon's probe.
type relayed struct {
	term core.Term
	at   core.Time
}

// Report is what a daemon tells the others of a group.
type Report struct {
	Group    core.GroupID
	Primary  core.MemberID
	Term     core.Term
	Suspect  bool
	Claiming bool
	// Ordered is the highest term for which a promotion is known to be ordered.
	Ordered core.Term
	// LeaseLeft is for how long after the report the sender holds a lease on Primary.
	LeaseLeft time.Duration
	// Sample is a position of the primary, SampleAge how long before the report
	// it was asked for; zero: none.
	Sample    core.Position
	SampleAge time.Duration
	Members   []MemberReport
}

// MemberReport is what a daemon tells of one member.
type MemberReport struct {
	Member core.MemberID
	// Open is how many connections the sender has to it.
	Open int
	// Confirmed, if not 0, is the term that the member, as a replica, confirmed: it
	// knew no newer one and was not fenced when it was probed, Age before the report.
	Confirmed core.Term
	Age       time.Duration
}

// Report returns what to tell the other daemons.
func (g *Group) Report(now core.Time) Report {
	p := g.members[g.primary]
	r := Report{
		Group: g.id, Primary: g.primary, Term: g.term,
		Suspect: p != nil && p.suspect, Claiming: g.claim.phase != noClaim, Ordered: g.ordered,
	}
	r.LeaseLeft = max(0, g.LeaseUntil(now).Sub(now))
	if newest, ok := g.samples.newest(); ok {
		r.Sample, r.SampleAge = newest.position, now.Sub(newest.at)
	}
	for _, id := range g.order {
		m := g.members[id]
		out := MemberReport{Member: id, Open: m.open}
		if m.confirms(g.term) && now.Sub(m.statusAt) < LeaseFor {
			out.Confirmed, out.Age = g.term, now.Sub(m.statusAt)
		}
		if out.Open > 0 || out.Confirmed != 0 {
			r.Members = append(r.Members, out)
		}
	}
	return r
}

// PeerReported takes another daemon's report. sent is a moment of this daemon's
// clock that was not after the report was sent; 0: none is known.
func (g *Group) PeerReported(now, sent core.Time, from core.DaemonID, r Report) []Effect {
	p := peerReport{at: now, suspect: r.Suspect, primary: r.Primary, term: r.Term, claiming: r.Claiming, open: make(map[core.MemberID]int)}
	for _, x := range r.Members {
		p.open[x.Member] = x.Open
		if m := g.members[x.Member]; m != nil && x.Confirmed != 0 {
			m.relay(x.Confirmed, sent.Add(-x.Age))
		}
	}
	g.peers[from] = p
	g.learnOrdered(now, r.Ordered)
	if r.Term > g.term {
		// Its primary reigns; whom this daemon used does so no longer.
		g.sawTerm(r.Term)
		for _, m := range g.members {
			m.probeAt = 0
		}
	}
	g.believe(now, sent, &r)
	g.LeaseUntil(now)
	return g.take()
}

// believe takes another daemon's word on the primary of the present term, and a
// sample of its position. Both are true whoever has seen them; whether the
// primary may be used still takes a lease.
func (g *Group) believe(now, sent core.Time, r *Report) {
	m := g.members[r.Primary]
	if m == nil || r.Term != g.term || m.refused == r.Term {
		return
	}
	if g.primary == "" {
		m.reigns = r.Term
		g.reigns(now, r.Primary)
	}
	if g.primary == r.Primary && sent != 0 && r.LeaseLeft > 0 {
		// Nobody else takes over while that daemon holds its lease.
		g.peerLease = max(g.peerLease, sent.Add(r.LeaseLeft))
	}
	if g.primary == r.Primary && sent != 0 && !r.Sample.IsZero() {
		g.samples.add(sent.Add(-r.SampleAge), r.Sample)
	}
}

// Tick lets time pass: probes become due and take-overs get on.
func (g *Group) Tick(now core.Time) []Effect {
	g.LeaseUntil(now)
	g.probe(now)
	g.renewByTicket(now)
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
		m := g.members[id]
		m.probing, m.probeAt = true, now
		g.emit(Effect{Kind: EffectProbe, Member: id})
	}
}

// renewByTicket reads the ticket while the replicas' confirmations fail to come.
func (g *Group) renewByTicket(now core.Time) {
	p := g.members[g.primary]
	if p == nil || p.suspect || g.claim.phase != noClaim || p.leaving(now) && g.peerClaims(now) {
		return
	}
	if g.LeaseUntil(now).Sub(now) >= TicketReadBefore || now.Sub(g.ticket.askedAt) < TicketReadEvery || g.superseded() {
		return
	}
	g.ticket.askedAt = now
	g.emit(Effect{Kind: EffectReadTicket})
}

// dueProbes are members without a known role, the primary if nothing has been
// heard of it, and replicas if the lease needs their confirmation.
func (g *Group) dueProbes(now core.Time) []core.MemberID {
	var due, replicas []core.MemberID
	for _, id := range g.order {
		m := g.members[id]
		age := now.Sub(m.probeAt)
		switch {
		case m.probing && age < 2*ProbeTimeout:
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

// primaryDue says whether the primary has to be asked whether it lives: soon if
// a statement waits for it.
func (g *Group) primaryDue(now core.Time, m *member) bool {
	age, silent := now.Sub(m.probeAt), now.Sub(m.heardAt)
	quiet := ProbeEvery
	if m.open == m.idle && g.rank(now) > 0 {
		quiet = IdleProbeEvery
	}
	return age >= ProbeEvery && silent >= quiet || age >= RoleProbeEvery
}

// dueReplicas are the replicas to be probed for the lease, those first whose
// probe is oldest. One daemon's probe serves all: the others probe only if no
// confirmation has reached them, each a little later than the one before it.
func (g *Group) dueReplicas(now core.Time, replicas []core.MemberID) []core.MemberID {
	need := g.size(now) / 2
	if g.primary == "" || need == 0 {
		return nil
	}
	patience := ProbeEvery + min(ProbeStagger*time.Duration(g.rank(now)), LeaseFor/2-ProbeStagger)
	fresh := 0
	for id, m := range g.members {
		if id != g.primary && now.Sub(max(g.confirmedAt(m), m.probeAt)) < patience {
			fresh++
		}
	}
	sort.SliceStable(replicas, func(i, j int) bool {
		return g.members[replicas[i]].probeAt < g.members[replicas[j]].probeAt
	})
	return replicas[:min(len(replicas), max(0, need-fresh))]
}

// demoteStrays demotes members that still think they reign in an older term.
func (g *Group) demoteStrays(now core.Time) {
	if g.primary == "" {
		return
	}
	for _, id := range g.order {
		m := g.members[id]
		if m.statusAt == 0 || m.status.Role != core.RolePrimary || m.status.Term >= g.term || now.Sub(m.demoteAt) < FenceTimeout {
			continue
		}
		m.demoteAt = now
		g.emit(Effect{Kind: EffectDemote, Member: id, Term: g.term})
	}
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
	case p == nil && g.someMember(now) && !g.peerReigns(now):
		return missing
	case p == nil:
		return noReason
	case p.suspect && g.suspected(now):
		return unreachable
	case p.leaving(now) && g.successor(now) != "":
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

// peerReigns says whether another daemon reaches a primary of the newest term.
func (g *Group) peerReigns(now core.Time) bool {
	for _, p := range g.peers {
		if now.Sub(p.at) < PeerFresh && p.primary != "" && !p.suspect && p.term >= g.term {
			return true
		}
	}
	return false
}

// suspected says whether a third of the daemons, this one among them, gets no
// answer from the primary. Fewer do without it rather than interrupt the others.
func (g *Group) suspected(now core.Time) bool {
	n := 1
	for _, p := range g.peers {
		if now.Sub(p.at) < PeerFresh && p.suspect && p.primary == g.primary {
			n++
		}
	}
	return 3*n >= g.knownPeers
}

// successor is the replica that would take over; "": none can.
func (g *Group) successor(now core.Time) core.MemberID {
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

// rank is this daemon's place among those that hear each other.
func (g *Group) rank(now core.Time) int {
	n := 0
	for id, p := range g.peers {
		if now.Sub(p.at) < PeerFresh && id < g.self {
			n++
		}
	}
	return n
}

func (g *Group) peerClaims(now core.Time) bool {
	for _, p := range g.peers {
		if now.Sub(p.at) < PeerFresh && p.claiming {
			return true
		}
	}
	return false
}

// stepClaim begins a change of the primary, or gets on with it.
func (g *Group) stepClaim(now core.Time) {
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
		phase: claiming, started: now, old: g.primary, term: g.term, wantedSince: g.claim.wantedSince,
		planned: r == leavingPrimary, repair: r == orphanedFence, fenced: make(map[core.MemberID]core.Time),
	}
	g.emit(Effect{Kind: EffectDecision, Member: g.primary, Term: g.term, Reason: "claim: " + r.String()})
	wanted := g.term + 1
	if r == orphanedFence {
		wanted = g.term
	}
	g.emit(Effect{Kind: EffectClaim, Member: g.primary, Term: wanted})
	g.emit(Effect{Kind: EffectReport})
}

// Claimed takes the ticket, which was asked for at sent.
func (g *Group) Claimed(now, sent core.Time, token uint64) []Effect {
	c := &g.claim
	if c.phase != claiming {
		return g.take()
	}
	c.token, c.until, c.claimedAt = token, sent.Add(TicketSendWindow), now
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
			c.demoted, c.last = true, st.Position
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
	s := g.members[g.successor(now)]
	if s != nil && (!s.position.Less(c.last) || waited >= CatchUpFor) {
		g.beginFencing(now)
		return
	}
	if s != nil && now.Sub(s.probeAt) >= PollPromoted {
		s.probing, s.probeAt = true, now
		g.emit(Effect{Kind: EffectProbe, Member: s.ID})
	}
}

// fencesNeeded is how many replicas must be fenced so that each set of replicas
// that could confirm a lease has a fenced one in it.
func (g *Group) fencesNeeded(now core.Time) int {
	n := g.size(now)
	if p := g.members[g.claim.old]; p == nil || !p.alive(now) {
		n++ // the old primary's place counts although it has gone
	}
	replicas := n - 1
	if g.claim.demoted {
		return 1
	}
	return max(1, replicas-n/2+1)
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
	if now.Sub(c.started) > ClaimTimeout || now > c.until {
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
	if now.Sub(last) < LeaseFor-PromoteAtLeast {
		return
	}
	if now >= c.until {
		g.endClaim(now, "the ticket ran out")
		return
	}
	if c.candidate = g.bestFenced(now); c.candidate == "" {
		g.endClaim(now, "no fenced replica is left")
		return
	}
	c.phase, c.orderedAt = promoting, now
	g.learnOrdered(now, c.term+1)
	g.emit(Effect{Kind: EffectReport})
	g.emit(Effect{Kind: EffectPromote, Member: c.candidate, Term: c.term + 1, Token: c.token, Until: c.until})
}

// bestFenced is the fenced replica that has received most; one that stays is
// preferred to one that is leaving.
func (g *Group) bestFenced(now core.Time) core.MemberID {
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
		g.endClaim(now, "promoted")
	case g.primary != "" && g.term > c.term:
		g.endClaim(now, "another member was promoted")
	case now.Sub(c.orderedAt) > PromoteTimeout:
		g.endClaim(now, "the promotion had no effect")
	}
}

// endClaim ends the attempt and removes the fences it may have left.
func (g *Group) endClaim(now core.Time, why string) {
	c := &g.claim
	for _, id := range g.order {
		m := g.members[id]
		if m.status.FencedTerm > 0 || c.fenced[id] != 0 {
			g.emit(Effect{Kind: EffectUnfence, Member: id})
		}
	}
	if done := c.phase == promoting && g.primary == c.candidate && g.term > c.term; c.token != 0 && (done || c.phase != promoting) {
		// Nothing can be ordered under the token any more, so nobody has to wait for
		// its end before the next change.
		g.emit(Effect{Kind: EffectReleaseTicket, Term: g.term, Token: c.token})
	}
	g.emit(Effect{Kind: EffectDecision, Member: c.candidate, Term: c.term, Reason: "claim ended: " + why})
	g.emit(Effect{Kind: EffectReport})
	g.claim = claim{retryAt: now.Add(ClaimRetry), wantedSince: 0}
}
