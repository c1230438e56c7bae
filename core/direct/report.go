package direct

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/policy"
)

// peerReport is what another daemon believes of the group.
type peerReport struct {
	at      core.Time
	suspect bool
	primary core.MemberID
	term    core.Term
	// leased is set if it holds a lease on the primary.
	leased bool
	// claiming is set while that daemon works a change of the primary.
	claiming bool
	// open counts its connections by member.
	openConns map[core.MemberID]int
}

// fresh says whether the report is young enough to be believed.
func (p *peerReport) isFresh(now core.Time) bool { return now.Sub(p.at) < PeerReportTTL }

// seen is a moment at which a member supported a term, or led in it: one of this
// daemon's clock that was not after the probe, whichever daemon sent it.
type termSupport struct {
	term core.Term
	at   core.Time
}

// note takes what is newer.
func (s *termSupport) update(term core.Term, at core.Time) {
	if term > s.term || term == s.term && at > s.at {
		*s = termSupport{term, at}
	}
}

// of is the moment for the term; 0: there is none.
func (s *termSupport) forTerm(term core.Term) core.Time {
	if s.term != term {
		return 0
	}
	return s.at
}

// Report is what a daemon tells the others of a group.
type Report struct {
	Group   core.GroupID
	Primary core.MemberID
	// PrimaryStarted is the start of Primary as the sender's host list names it; 0: unknown.
	PrimaryStarted int64
	Term           core.Term
	Suspect        bool
	Claiming       bool
	// Ordered is the highest term for which a promotion is known to be ordered.
	OrderedTerm core.Term
	// Successor is whom that promotion makes primary; "": not known.
	Successor core.MemberID
	// LeaseLeft is for how long after the report the sender holds a lease on Primary.
	LeaseRemaining time.Duration
	// Led says that Primary was seen to lead, LedAge before the report.
	PrimarySeen    bool
	PrimarySeenAge time.Duration
	// Load is how many statements Primary has had under way lately, by a status that was
	// asked for LoadAge before the report; LoadAge 0: not known.
	Load    float64
	LoadAge time.Duration
	// Sample is a position of the primary, SampleAge how long before the report
	// it was asked for; zero: none.
	Sample    core.Position
	SampleAge time.Duration
	// Began is where the leadership of Term begins in the log at the latest; zero: not known.
	TermStart core.Position
	Members   []MemberReport
}

// MemberReport is what a daemon tells of one member.
type MemberReport struct {
	Member core.MemberID
	// Started is the member's start as the sender's host list names it; 0: unknown.
	Started int64
	// Open is how many connections the sender has to it.
	OpenConns int
	// Confirmed, if not 0, is the term that the member, as a replica, confirmed: it
	// knew no newer one and was not fenced when it was probed, Age before the report.
	ConfirmedTerm   core.Term
	ConfirmationAge time.Duration
}

// Report returns what to tell the other daemons.
func (g *Group) Report(now core.Time) Report {
	p := g.members[g.primary]
	r := Report{
		Group: g.id, Primary: g.primary, Term: g.term,
		Suspect: p != nil && p.suspect, Claiming: g.claim.phase != noClaim, OrderedTerm: g.orderedTerm, Successor: g.successor,
		TermStart: g.termStart,
	}
	if p != nil {
		r.PrimaryStarted = p.Started
		if p.load.at != 0 {
			r.Load, r.LoadAge = p.load.mean, max(1, now.Sub(p.load.at))
		}
	}
	r.LeaseRemaining = max(0, g.LeaseExpiry(now).Sub(now))
	if p != nil && p.leadSeen.forTerm(g.term) != 0 {
		r.PrimarySeen, r.PrimarySeenAge = true, now.Sub(p.leadSeen.at)
	}
	if newest, ok := g.samples.newest(); ok {
		r.Sample, r.SampleAge = newest.position, now.Sub(newest.at)
	}
	for _, id := range g.order {
		m := g.members[id]
		out := MemberReport{Member: id, Started: m.Started, OpenConns: m.open}
		if m.confirmsTerm(g.term) && !g.mayHaveLostFence(m) && now.Sub(m.statusAt) < LeaseDuration {
			out.ConfirmedTerm, out.ConfirmationAge = g.term, now.Sub(m.statusAt)
		}
		if out.OpenConns > 0 || out.ConfirmedTerm != 0 {
			r.Members = append(r.Members, out)
		}
	}
	return r
}

// PeerReported takes another daemon's report. sent is a moment of this daemon's
// clock that was not after the report was sent; 0: none is known.
func (g *Group) PeerReported(now, sent core.Time, from core.DaemonID, r Report) []Effect {
	p := peerReport{at: now, suspect: r.Suspect, primary: r.Primary, term: r.Term, claiming: r.Claiming, leased: r.LeaseRemaining > 0, openConns: make(map[core.MemberID]int)}
	for _, x := range r.Members {
		p.openConns[x.Member] = x.OpenConns
		if m := g.members[x.Member]; m != nil && x.ConfirmedTerm != 0 && x.Started == m.Started && g.policy.Has(policy.RelayedConfirmations) {
			// What another life of the member has confirmed says nothing of this one.
			m.peerConfirmed.update(x.ConfirmedTerm, sent.Add(-x.ConfirmationAge))
		}
	}
	g.peers[from] = p
	g.recordOrder(now, r.OrderedTerm, r.Successor)
	if r.Term > g.term {
		// Its primary leads; whom this daemon used does so no longer.
		g.observeTerm(r.Term)
		for _, m := range g.members {
			m.probeSentAt = 0
		}
	}
	g.applyPeerPrimary(now, sent, &r)
	g.probeSuspectedPrimary(&r)
	g.LeaseExpiry(now)
	return g.takeEffects()
}

// lookAfter has the primary asked at once that the other one of two homes suspects: both
// have to agree before it is replaced.
func (g *Group) probeSuspectedPrimary(r *Report) {
	m := g.members[r.Primary]
	if g.homeCount != 2 || !r.Suspect || m == nil || r.Primary != g.primary || r.Term != g.term {
		return
	}
	if !m.suspect && !m.probing {
		m.probeSentAt = 0
	}
}

// believe takes another daemon's word on the primary of the present term, and a
// sample of its position. Both are true whoever has seen them; whether the
// primary may be used still takes a lease.
func (g *Group) applyPeerPrimary(now, sent core.Time, r *Report) {
	m := g.members[r.Primary]
	if m == nil || r.Term != g.term || m.refusedTerm == r.Term || !m.canLead(r.Term) {
		return
	}
	if r.PrimaryStarted < m.Started {
		// The sender speaks of a life of the member that has ended.
		return
	}
	g.observeTermStart(r.Sample)
	g.updateTermStart(r.TermStart)
	if g.primary == "" {
		m.leadsTerm = r.Term
		g.setPrimary(now, r.Primary)
	}
	if r.PrimarySeen && sent != 0 {
		m.leadSeen.update(r.Term, sent.Add(-r.PrimarySeenAge))
	}
	if sent != 0 && r.LoadAge > 0 {
		m.load.updateFromPeer(sent.Add(-r.LoadAge), r.Load)
	}
	if g.primary == r.Primary && sent != 0 && r.LeaseRemaining > 0 {
		// Nobody else takes over while that daemon holds its lease.
		// No lease has more than LeaseDuration left; one that says so is not to be believed.
		g.peerLeaseExpiry = max(g.peerLeaseExpiry, sent.Add(min(r.LeaseRemaining, LeaseDuration)))
	}
	if g.primary == r.Primary && sent != 0 && !r.Sample.IsZero() {
		g.addSample(now, sent.Add(-r.SampleAge), r.Sample)
	}
}

// Cut says whether this daemon has been unable to use the primary for CutOffDelay
// while another one holds a lease on it and reaches it: statements for the primary
// run there.
func (g *Group) IsCutOff(now core.Time) bool {
	// A primary that has become usable since the last tick is used at once. Daemons that
	// all took themselves for cut passed statements around and refused them.
	g.updateUsability(now)
	if !g.policy.Has(policy.PassOnWhenCut) || g.unusableSince == 0 || now.Sub(g.unusableSince) < CutOffDelay || g.primary == "" {
		return false
	}
	for _, p := range g.peers {
		if p.isFresh(now) && p.leased && !p.suspect && p.primary == g.primary && p.term == g.term {
			return true
		}
	}
	return false
}

// Outage is for how long nobody has been able to serve the need here without anybody at
// work on it, as far as this daemon knows; 0: the primary is usable, a replica serves
// such reads, or a change of the primary is under way, whose end can be waited for.
func (g *Group) OutageDuration(now core.Time, n Requirement) time.Duration {
	g.updateUsability(now)
	changing := g.claim.phase != noClaim || g.isPeerClaiming(now) || g.isSuperseded()
	if g.unusableSince == 0 || changing || !g.policy.Has(policy.RefuseHopeless) || g.canReplicaServe(now, n) {
		return 0
	}
	return now.Sub(g.unusableSince)
}

// replicaServes says whether a replica could run the read, had it room.
func (g *Group) canReplicaServe(now core.Time, n Requirement) bool {
	since, ok := g.readRequirement(n)
	if n.Primary || !ok {
		return false
	}
	for id, m := range g.members {
		if id != g.primary && g.canServeRead(now, id, m, since) {
			return true
		}
	}
	return false
}

// noteUsable remembers since when the primary cannot be used here.
func (g *Group) updateUsability(now core.Time) {
	p := g.members[g.primary]
	switch {
	case p != nil && !p.suspect && g.HasLease(now):
		g.unusableSince = 0
	case g.unusableSince == 0:
		g.unusableSince = now
	}
}

// peerLeads says whether another daemon reaches a primary of the newest term.
func (g *Group) peerReachesPrimary(now core.Time) bool {
	for _, p := range g.peers {
		if p.isFresh(now) && p.primary != "" && !p.suspect && p.term >= g.term {
			return true
		}
	}
	return false
}

// rank is this daemon's place among those that hear each other.
func (g *Group) rank(now core.Time) int {
	n := 0
	for id, p := range g.peers {
		if p.isFresh(now) && id < g.self {
			n++
		}
	}
	return n
}

func (g *Group) isPeerClaiming(now core.Time) bool {
	for _, p := range g.peers {
		if p.isFresh(now) && p.claiming {
			return true
		}
	}
	return false
}
