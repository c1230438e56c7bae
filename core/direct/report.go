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
	open map[core.MemberID]int
}

// fresh says whether the report is young enough to be believed.
func (p *peerReport) fresh(now core.Time) bool { return now.Sub(p.at) < PeerFresh }

// seen is a moment at which a member supported a term, or led in it: one of this
// daemon's clock that was not after the probe, whichever daemon sent it.
type seen struct {
	term core.Term
	at   core.Time
}

// note takes what is newer.
func (s *seen) note(term core.Term, at core.Time) {
	if term > s.term || term == s.term && at > s.at {
		*s = seen{term, at}
	}
}

// of is the moment for the term; 0: there is none.
func (s *seen) of(term core.Term) core.Time {
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
	Ordered core.Term
	// Successor is whom that promotion makes primary; "": not known.
	Successor core.MemberID
	// LeaseLeft is for how long after the report the sender holds a lease on Primary.
	LeaseLeft time.Duration
	// Led says that Primary was seen to lead, LedAge before the report.
	Led    bool
	LedAge time.Duration
	// Load is how many statements Primary has had under way lately, by a status that was
	// asked for LoadAge before the report; LoadAge 0: not known.
	Load    float64
	LoadAge time.Duration
	// Sample is a position of the primary, SampleAge how long before the report
	// it was asked for; zero: none.
	Sample    core.Position
	SampleAge time.Duration
	// Began is where the leadership of Term begins in the log at the latest; zero: not known.
	Began   core.Position
	Members []MemberReport
}

// MemberReport is what a daemon tells of one member.
type MemberReport struct {
	Member core.MemberID
	// Started is the member's start as the sender's host list names it; 0: unknown.
	Started int64
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
		Suspect: p != nil && p.suspect, Claiming: g.claim.phase != noClaim, Ordered: g.ordered, Successor: g.successor,
		Began: g.began,
	}
	if p != nil {
		r.PrimaryStarted = p.Started
		if p.load.at != 0 {
			r.Load, r.LoadAge = p.load.mean, max(1, now.Sub(p.load.at))
		}
	}
	r.LeaseLeft = max(0, g.LeaseUntil(now).Sub(now))
	if p != nil && p.led.of(g.term) != 0 {
		r.Led, r.LedAge = true, now.Sub(p.led.at)
	}
	if newest, ok := g.samples.newest(); ok {
		r.Sample, r.SampleAge = newest.position, now.Sub(newest.at)
	}
	for _, id := range g.order {
		m := g.members[id]
		out := MemberReport{Member: id, Started: m.Started, Open: m.open}
		if m.confirms(g.term) && !g.doubtful(m) && now.Sub(m.statusAt) < LeaseFor {
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
	p := peerReport{at: now, suspect: r.Suspect, primary: r.Primary, term: r.Term, claiming: r.Claiming, leased: r.LeaseLeft > 0, open: make(map[core.MemberID]int)}
	for _, x := range r.Members {
		p.open[x.Member] = x.Open
		if m := g.members[x.Member]; m != nil && x.Confirmed != 0 && x.Started == m.Started && g.policy.Has(policy.RelayedConfirmations) {
			// What another life of the member has confirmed says nothing of this one.
			m.relayed.note(x.Confirmed, sent.Add(-x.Age))
		}
	}
	g.peers[from] = p
	g.learnOrdered(now, r.Ordered, r.Successor)
	if r.Term > g.term {
		// Its primary leads; whom this daemon used does so no longer.
		g.sawTerm(r.Term)
		for _, m := range g.members {
			m.probeAt = 0
		}
	}
	g.believe(now, sent, &r)
	g.lookAfter(&r)
	g.LeaseUntil(now)
	return g.take()
}

// lookAfter has the primary asked at once that the other one of two homes suspects: both
// have to agree before it is replaced.
func (g *Group) lookAfter(r *Report) {
	m := g.members[r.Primary]
	if g.knownPeers != 2 || !r.Suspect || m == nil || r.Primary != g.primary || r.Term != g.term {
		return
	}
	if !m.suspect && !m.probing {
		m.probeAt = 0
	}
}

// believe takes another daemon's word on the primary of the present term, and a
// sample of its position. Both are true whoever has seen them; whether the
// primary may be used still takes a lease.
func (g *Group) believe(now, sent core.Time, r *Report) {
	m := g.members[r.Primary]
	if m == nil || r.Term != g.term || m.refused == r.Term || !m.mayLead(r.Term) {
		return
	}
	if r.PrimaryStarted < m.Started {
		// The sender speaks of a life of the member that has ended.
		return
	}
	g.noteBegan(r.Sample)
	g.toldBegan(r.Began)
	if g.primary == "" {
		m.leads = r.Term
		g.leads(now, r.Primary)
	}
	if r.Led && sent != 0 {
		m.led.note(r.Term, sent.Add(-r.LedAge))
	}
	if sent != 0 && r.LoadAge > 0 {
		m.load.told(sent.Add(-r.LoadAge), r.Load)
	}
	if g.primary == r.Primary && sent != 0 && r.LeaseLeft > 0 {
		// Nobody else takes over while that daemon holds its lease.
		// No lease has more than LeaseFor left; one that says so is not to be believed.
		g.peerLease = max(g.peerLease, sent.Add(min(r.LeaseLeft, LeaseFor)))
	}
	if g.primary == r.Primary && sent != 0 && !r.Sample.IsZero() {
		g.sample(now, sent.Add(-r.SampleAge), r.Sample)
	}
}

// Cut says whether this daemon has been unable to use the primary for CutAfter
// while another one holds a lease on it and reaches it: statements for the primary
// run there.
func (g *Group) Cut(now core.Time) bool {
	// A primary that has become usable since the last tick is used at once. Daemons that
	// all took themselves for cut passed statements around and refused them.
	g.noteUsable(now)
	if !g.policy.Has(policy.PassOnWhenCut) || g.unusableSince == 0 || now.Sub(g.unusableSince) < CutAfter || g.primary == "" {
		return false
	}
	for _, p := range g.peers {
		if p.fresh(now) && p.leased && !p.suspect && p.primary == g.primary && p.term == g.term {
			return true
		}
	}
	return false
}

// Outage is for how long nobody has been able to serve the need here without anybody at
// work on it, as far as this daemon knows; 0: the primary is usable, a replica serves
// such reads, or a change of the primary is under way, whose end can be waited for.
func (g *Group) Outage(now core.Time, n Need) time.Duration {
	g.noteUsable(now)
	changing := g.claim.phase != noClaim || g.peerClaims(now) || g.superseded()
	if g.unusableSince == 0 || changing || !g.policy.Has(policy.RefuseHopeless) || g.replicaServes(now, n) {
		return 0
	}
	return now.Sub(g.unusableSince)
}

// replicaServes says whether a replica could run the read, had it room.
func (g *Group) replicaServes(now core.Time, n Need) bool {
	since, ok := g.requirement(n)
	if n.Primary || !ok {
		return false
	}
	for id, m := range g.members {
		if id != g.primary && g.readable(now, id, m, since) {
			return true
		}
	}
	return false
}

// noteUsable remembers since when the primary cannot be used here.
func (g *Group) noteUsable(now core.Time) {
	p := g.members[g.primary]
	switch {
	case p != nil && !p.suspect && g.Leased(now):
		g.unusableSince = 0
	case g.unusableSince == 0:
		g.unusableSince = now
	}
}

// peerLeads says whether another daemon reaches a primary of the newest term.
func (g *Group) peerLeads(now core.Time) bool {
	for _, p := range g.peers {
		if p.fresh(now) && p.primary != "" && !p.suspect && p.term >= g.term {
			return true
		}
	}
	return false
}

// rank is this daemon's place among those that hear each other.
func (g *Group) rank(now core.Time) int {
	n := 0
	for id, p := range g.peers {
		if p.fresh(now) && id < g.self {
			n++
		}
	}
	return n
}

func (g *Group) peerClaims(now core.Time) bool {
	for _, p := range g.peers {
		if p.fresh(now) && p.claiming {
			return true
		}
	}
	return false
}
