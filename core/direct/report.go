package direct

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/policy"
)

// peerReport is the last report of another daemon about the group.
type peerReport struct {
	at      core.Time
	suspect bool
	primary core.MemberID
	term    core.Term
	// leased is set if the daemon holds a lease on the primary.
	leased bool
	// claiming is set while the daemon is changing the primary.
	claiming bool
	// openConns counts the daemon's connections by member.
	openConns map[core.MemberID]int
	// sharesLoad is set if the daemon reports what it has running on the members.
	sharesLoad bool
}

// isFresh reports whether the report is recent enough to be used.
func (p *peerReport) isFresh(now core.Time) bool { return now.Sub(p.at) < PeerReportTTL }

// termTime is a time at which a member confirmed a term or led in it. The time is of this daemon's
// clock and is not later than the probe that showed it, whichever daemon sent that probe.
type termTime struct {
	term core.Term
	at   core.Time
}

// update adopts the term and time if they are newer.
func (s *termTime) update(term core.Term, at core.Time) {
	if term > s.term || term == s.term && at > s.at {
		*s = termTime{term, at}
	}
}

// forTerm returns the time for the term; 0 if there is none.
func (s *termTime) forTerm(term core.Term) core.Time {
	if s.term != term {
		return 0
	}
	return s.at
}

// Report is what a daemon reports to the others about a group.
type Report struct {
	Group   core.GroupID
	Primary core.MemberID
	// PrimaryStarted is the start of Primary as the sender's host list names it; 0 if unknown.
	PrimaryStarted int64
	Term           core.Term
	// Suspect is set if the sender gets no answer from Primary, Claiming while it is changing the
	// primary.
	Suspect  bool
	Claiming bool
	// OrderedTerm is the highest term for which a promotion is known to be ordered.
	OrderedTerm core.Term
	// Successor is the member that this promotion is for; "" if unknown.
	Successor core.MemberID
	// LeaseRemaining is how long after the report the sender's lease on Primary lasts.
	LeaseRemaining time.Duration
	// PrimarySeen is set if Primary was seen to lead, PrimarySeenAge before the report.
	PrimarySeen    bool
	PrimarySeenAge time.Duration
	// Load is the mean number of statements that Primary has had in progress, according to a status
	// requested LoadAge before the report; LoadAge is 0 if unknown.
	Load    float64
	LoadAge time.Duration
	// Sample is a position of the primary that was requested SampleAge before the report; zero if
	// there is none.
	Sample    core.Position
	SampleAge time.Duration
	// TermStart is an upper bound of the position at which Term begins in the log; zero if unknown.
	TermStart core.Position
	// SharesLoad is set if the sender reports what it has running on the members.
	SharesLoad bool
	Members    []MemberReport
}

// MemberReport is what a daemon reports about one member.
type MemberReport struct {
	Member core.MemberID
	// Started is the member's start as the sender's host list names it; 0 if unknown.
	Started int64
	// OpenConns is how many connections the sender has to the member.
	OpenConns int
	// Running is the mean number of statements that the sender has had running on the member during
	// the last second, if Report.SharesLoad is set.
	Running float64
	// ConfirmedTerm, if not 0, is the term that the member confirmed as a replica: when it was
	// probed, ConfirmationAge before the report, it knew no newer term and was not fenced.
	ConfirmedTerm   core.Term
	ConfirmationAge time.Duration
}

// Report returns this daemon's report to the others.
func (g *Group) Report(now core.Time) Report {
	p := g.members[g.primary]
	r := Report{
		Group: g.id, Primary: g.primary, Term: g.term,
		Suspect: p != nil && p.suspect, Claiming: g.claim.phase != noClaim, OrderedTerm: g.orderedTerm, Successor: g.successor,
		TermStart: g.termStart,
	}
	g.observeRunning(now)
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
		out := MemberReport{Member: id, Started: m.Started, OpenConns: m.open, Running: m.running.Value()}
		if m.confirmsTerm(g.term) && !g.mayHaveLostFence(m) && now.Sub(m.statusAt) < LeaseDuration {
			out.ConfirmedTerm, out.ConfirmationAge = g.term, now.Sub(m.statusAt)
		}
		if out.OpenConns > 0 || out.ConfirmedTerm != 0 {
			r.Members = append(r.Members, out)
		}
	}
	// A daemon that is neither a home nor connected to a member must not be counted as a home.
	r.SharesLoad = g.sharedLoad && (g.isHome || !g.IsIdle())
	return r
}

// maxTermGap exceeds the number of promotions of a group that a daemon can have missed: a promotion names one term
// more, a restored store maxLostTerms more, and each takes a second or longer.
const maxTermGap core.Term = 1 << 16

// IsPlausible reports whether the group can have reached the terms in the report, as far as this daemon knows. Reports are
// datagrams, so one that is ignored counts as lost, and a probe of a member shows the true term.
func (g *Group) IsPlausible(r *Report) bool {
	if g.term == 0 {
		return true
	}
	highest := max(r.Term, r.OrderedTerm)
	for i := range r.Members {
		highest = max(highest, r.Members[i].ConfirmedTerm)
	}
	return highest <= max(g.term, g.orderedTerm, g.promotionLock.term)+maxTermGap
}

// PeerReported handles another daemon's report and ignores one that is not plausible. sent is a time of this daemon's
// clock that is not later than the sending of the report; 0 if none is known.
func (g *Group) PeerReported(now, sent core.Time, from core.DaemonID, r Report) []Effect {
	if !g.IsPlausible(&r) {
		return nil
	}
	p := peerReport{at: now, suspect: r.Suspect, primary: r.Primary, term: r.Term, claiming: r.Claiming, leased: r.LeaseRemaining > 0, sharesLoad: r.SharesLoad, openConns: make(map[core.MemberID]int)}
	for _, x := range r.Members {
		p.openConns[x.Member] = x.OpenConns
		if m := g.members[x.Member]; m != nil && x.ConfirmedTerm != 0 && x.Started == m.Started && g.policy.Has(policy.RelayedConfirmations) {
			// The confirmation of another incarnation of the member says nothing about this one.
			m.peerConfirmed.update(x.ConfirmedTerm, sent.Add(-x.ConfirmationAge))
		}
	}
	g.peers[from] = p
	g.recordPeerRunning(now, from, &r)
	g.recordOrder(now, r.OrderedTerm, r.Successor)
	if r.Term > g.term {
		// The reported primary leads; the one that this daemon has used no longer does.
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

// probeSuspectedPrimary probes the primary at once if the other one of two homes suspects it: both
// must agree before it is replaced.
func (g *Group) probeSuspectedPrimary(r *Report) {
	m := g.members[r.Primary]
	if g.homeCount != 2 || !r.Suspect || m == nil || r.Primary != g.primary || r.Term != g.term {
		return
	}
	if !m.suspect && !m.probing {
		m.probeSentAt = 0
	}
}

// applyPeerPrimary adopts what another daemon reports about the primary of the current term, and a
// sample of its position. Both are true whichever daemon has seen them, but using the primary still
// requires a lease.
func (g *Group) applyPeerPrimary(now, sent core.Time, r *Report) {
	m := g.members[r.Primary]
	if m == nil || r.Term != g.term || m.refusedTerm == r.Term || !m.canLead(r.Term) {
		return
	}
	if r.PrimaryStarted < m.Started {
		// The report is about an earlier incarnation of the member.
		return
	}
	g.observeTermStart(r.Sample)
	g.updateTermStart(r.TermStart)
	if g.primary == "" && !g.deniesLeading(m, sent, r) {
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
		// No other daemon promotes a member while the sender holds its lease. No lease lasts longer
		// than LeaseDuration, so a longer one in a report is cut to that.
		g.peerLeaseExpiry = max(g.peerLeaseExpiry, sent.Add(min(r.LeaseRemaining, LeaseDuration)))
	}
	if g.primary == r.Primary && sent != 0 && !r.Sample.IsZero() {
		g.addSample(now, sent.Add(-r.SampleAge), r.Sample)
	}
}

// IsCutOff reports whether this daemon has been unable to use the primary for CutOffDelay while
// another daemon reaches it and holds a lease on it. Statements for the primary run on that daemon
// then.
func (g *Group) IsCutOff(now core.Time) bool {
	// A primary that has become usable since the last tick is used at once. Otherwise daemons that
	// all considered themselves cut off would forward statements to each other and refuse them.
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

// OutageDuration returns how long this daemon has been unable to serve the requirement without
// knowing when that will end. It is 0 if the primary is usable, if a replica can serve the read, or
// if the primary is being changed, because a statement can wait until the change has ended.
func (g *Group) OutageDuration(now core.Time, req Requirement) time.Duration {
	g.updateUsability(now)
	if g.IsPrimaryDrained(now, req) {
		return now.Sub(g.members[g.primary].goneSince().Add(g.drainLimit))
	}
	if g.unusableSince == 0 || g.isChangingPrimary(now) || !g.policy.Has(policy.RefuseHopeless) || g.canReplicaServe(now, req) {
		return 0
	}
	return now.Sub(g.unusableSince)
}

// isChangingPrimary reports whether the primary is being changed.
func (g *Group) isChangingPrimary(now core.Time) bool {
	return g.claim.phase != noClaim || g.isPeerClaiming(now) || g.isSuperseded()
}

// IsSteady reports whether past waits say how long a statement with the requirement will wait: for
// SteadyDelay the primary has been usable and was not being changed, and no member that may serve the
// statement has refused one because of load. Until then, few statements run at a member that has just come
// back, and the waits of the disturbance are no measure.
func (g *Group) IsSteady(now core.Time, req Requirement) bool {
	g.updateUsability(now)
	if g.unusableSince == 0 && (g.isChangingPrimary(now) || !g.hasOwnStatus(g.members[g.primary])) {
		g.unsteadyAt = now
	}
	if g.unsteadyAt != 0 && now.Sub(g.unsteadyAt) < SteadyDelay || g.IsPrimaryDrained(now, req) {
		return false
	}
	for id, m := range g.members {
		if (id == g.primary || !req.Primary) && m.refusedBusyAt != 0 && now.Sub(m.refusedBusyAt) < SteadyDelay {
			return false
		}
	}
	return true
}

// canReplicaServe reports whether a replica could run the read if it had a free connection.
func (g *Group) canReplicaServe(now core.Time, req Requirement) bool {
	required, ok := g.readRequirement(req)
	if req.Primary || !ok {
		return false
	}
	for id, m := range g.members {
		if id != g.primary && g.canServeRead(now, id, m, required) {
			return true
		}
	}
	return false
}

// updateUsability records since when the primary has been unusable here.
func (g *Group) updateUsability(now core.Time) {
	p := g.members[g.primary]
	switch {
	case p != nil && !p.suspect && g.HasLease(now):
		g.unusableSince = 0
	case g.unusableSince == 0:
		g.unusableSince = now
	}
	if g.unusableSince != 0 {
		g.unsteadyAt = now
	}
}

// peerReachesPrimary reports whether another daemon reaches a primary of the newest term.
func (g *Group) peerReachesPrimary(now core.Time) bool {
	for _, p := range g.peers {
		if p.isFresh(now) && p.primary != "" && !p.suspect && p.term >= g.term {
			return true
		}
	}
	return false
}

// rank returns the position of this daemon, by id, among those with recent reports.
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
