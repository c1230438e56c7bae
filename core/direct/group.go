package direct

import (
	"fmt"
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/policy"
)

// Group is one daemon's view of a database group. It is not safe for concurrent use.
type Group struct {
	id      core.GroupID
	self    core.DaemonID
	zone    core.Zone
	spec    GroupSpec
	daemons int
	members map[core.MemberID]*member
	// order are the members' ids, sorted, so that decisions repeat.
	order []core.MemberID
	// term is the newest one seen, primary the member that leads in it.
	term    core.Term
	primary core.MemberID
	samples samples
	// longest is the furthest position of the primary in this term of which this daemon
	// has heard, longestAt when it has.
	maxPosition   core.Position
	maxPositionAt core.Time
	// began is the earliest known position of the primary in this term; Term is 0 if none is.
	termStart     core.Position
	peers         map[core.DaemonID]peerReport
	homeCount     int
	claim         claim
	promotionLock lockRead
	// lease is until when the primary may be used, peerLease until when another daemon
	// holds a lease on it.
	leaseExpiry, peerLeaseExpiry core.Time
	// home is set if this daemon is one of the group's homes, which alone change its
	// primary.
	isHome bool
	// ordered is the highest term for which a promotion is known to have been
	// ordered, by any daemon, of the member successor if that is known; orderedAt is
	// when it was learnt. effective is the highest of these terms whose promotion is
	// known to have had its effect.
	orderedTerm, effectiveTerm core.Term
	successor                  core.MemberID
	orderedAt                  core.Time
	effects                    []Effect
	// knownSince is since when this daemon has followed the host list without a pause,
	// listedAsOf as of when it knows the list, and tickedAt when time last passed here.
	listedSince, listedAsOf, lastTickAt core.Time
	// unusableSince is since when the primary cannot be used here; 0: it can.
	unusableSince core.Time
	// policy is the mechanisms in use.
	policy policy.Set
	// disabled are the guards that model checking has switched off.
	disabled Guard
}

// NewGroup returns the view of a daemon that has heard nothing yet.
func NewGroup(id core.GroupID, self core.DaemonID, zone core.Zone) *Group {
	return &Group{id: id, self: self, zone: zone, daemons: 1, homeCount: 1, policy: policy.All,
		members: make(map[core.MemberID]*member), peers: make(map[core.DaemonID]peerReport)}
}

// SetPolicy says which mechanisms are in use; all are if it is not called.
func (g *Group) SetPolicy(set policy.Set) { g.policy = set }

// Configure takes the configuration's word on the group.
func (g *Group) Configure(spec GroupSpec) { g.spec = spec }

// SetHomes says how many daemons share the group's connections, and whether this
// is one of them.
func (g *Group) SetHomes(n int, here bool) {
	g.daemons, g.homeCount, g.isHome = max(1, n), max(1, n), here
}

// List takes the host list's entries of the group, complete as of that moment.
func (g *Group) UpdateMembers(now, asOf core.Time, listed []Member) []Effect {
	g.ConfirmMembers(asOf)
	seen := make(map[core.MemberID]bool, len(listed))
	for _, l := range listed {
		seen[l.ID] = true
		g.updateMember(now, l)
	}
	slices.Sort(g.order)
	for _, id := range slices.Clone(g.order) {
		m := g.members[id]
		if seen[id] {
			continue
		}
		if m.unlistedAt == 0 {
			m.unlistedAt = now
		}
		if now.Sub(m.unlistedAt) > UnlistedRetention && m.open == 0 {
			g.removeMember(id)
		}
	}
	return g.takeEffects()
}

// Followed takes that the entries which were listed last are still complete as of that moment.
func (g *Group) ConfirmMembers(asOf core.Time) {
	if g.listedSince == 0 {
		g.listedSince = asOf
	}
	g.listedAsOf = max(g.listedAsOf, asOf)
}

// listOne takes one entry. An entry that cannot be read names nobody new. Of a member
// that is known it says nothing: the primary goes on while it answers by itself, so
// that a stray write into the host list costs no failover; replicas get no new reads.
func (g *Group) updateMember(now core.Time, l Member) {
	m := g.members[l.ID]
	switch {
	case l.Unreadable && m == nil:
		return
	case l.Unreadable:
		m.unreadable = true
	case m == nil:
		m = &member{Member: l, lastSeen: now, window: maxWindow}
		g.members[l.ID] = m
		g.order = append(g.order, l.ID)
	default:
		m.unreadable = false
		m.addressReused = m.addressReused && m.unlistedAt == 0
		g.updateEntry(now, m, l)
	}
	m.unlistedAt = 0
}

func (g *Group) removeMember(id core.MemberID) {
	delete(g.members, id)
	g.order = slices.DeleteFunc(g.order, func(o core.MemberID) bool { return o == id })
	if g.primary == id {
		g.primary = ""
	}
}

// Idle says whether this daemon has no connection to a member and no change of the primary
// under way.
func (g *Group) IsIdle() bool {
	if g.claim.phase != noClaim {
		return false
	}
	for _, m := range g.members {
		if m.open > 0 {
			return false
		}
	}
	return true
}

// Known says whether the host list has had members of the group.
func (g *Group) HasMembers() bool { return len(g.members) > 0 }

// Addr returns where the member is reached.
func (g *Group) Addr(id core.MemberID) (string, bool) {
	m := g.members[id]
	if m == nil {
		return "", false
	}
	return m.Addr, true
}

// Primary returns the member that leads as far as this daemon knows, and its term.
func (g *Group) Primary() (core.MemberID, core.Term) { return g.primary, g.term }

// size is the number of members that count towards a majority.
func (g *Group) majoritySize(now core.Time) int {
	n := 0
	for _, m := range g.members {
		if m.isAlive(now) {
			n++
		}
	}
	return n
}

// sawTerm learns of a newer term: whoever led before does so no longer.
func (g *Group) observeTerm(t core.Term) {
	if t <= g.term {
		return
	}
	g.term = t
	g.primary = ""
	g.leaseExpiry, g.peerLeaseExpiry = 0, 0
	g.samples.clear()
	g.maxPosition, g.maxPositionAt = core.Position{}, 0
	g.termStart = core.Position{}
}

// sample keeps a position of the primary that covers every commit acknowledged before
// at, and has come now.
func (g *Group) addSample(now, at core.Time, p core.Position) {
	g.samples.add(at, p)
	if g.maxPosition.Less(p) {
		g.maxPosition, g.maxPositionAt = p, now
	}
}

// Probed takes the answer to a probe, fence or demotion that was sent at sent.
func (g *Group) Probed(now, sent core.Time, id core.MemberID, st Status) []Effect {
	m := g.members[id]
	if m == nil {
		return nil
	}
	m.probing, m.addressReused = false, false
	g.markSeen(now, id, m)
	if sent < m.statusAt {
		return g.takeEffects()
	}
	if m.hasRegressed(sent, st) {
		g.resetMember(now, m, fmt.Sprintf("it says term %d, log %v after term %d, log %v", st.Term, st.Position, m.status.Term, m.position))
	}
	m.status, m.statusAt = st, sent
	m.load.observe(sent, st.RunningStatements)
	m.recordPosition(st.Position, now)
	g.trackFence(now, m)
	g.observeTerm(st.Term)
	if st.Role == core.RolePrimary && st.Term == g.term && g.isLogTruncated(sent, st.Position) {
		m.lostLogTerm = g.term
	}
	if st.Role == core.RolePrimary && st.Term == g.term && m.canLead(st.Term) {
		m.leadsTerm, m.refusedTerm = st.Term, 0
		m.leadSeen.update(st.Term, sent)
		g.observeTermStart(st.Position)
		g.setPrimary(now, id)
		g.recordPromotionEffect(sent, id)
	} else if g.primary == id {
		g.primary = ""
	}
	if until := g.LeaseExpiry(now); now < until && g.primary == id {
		g.addSample(now, sent, st.Position)
	}
	g.updateClaim(now, id, st)
	return g.takeEffects()
}

func (g *Group) trackFence(now core.Time, m *member) {
	if m.status.FencedTerm > 0 {
		if m.fencedAt == 0 {
			m.fencedAt = now
		}
		return
	}
	m.fencedAt = 0
}

func (g *Group) setPrimary(now core.Time, id core.MemberID) {
	if g.primary == id {
		return
	}
	g.primary = id
	g.leaseExpiry, g.peerLeaseExpiry = 0, 0
	g.samples.clear()
	g.emit(Effect{Kind: EffectDecision, Member: id, Term: g.term, Reason: "leads"})
	g.emit(Effect{Kind: EffectReport})
}

// ProbeFailed takes that a probe was not answered. refused: the host answers
// and nothing listens there.
func (g *Group) ProbeFailed(now, sent core.Time, id core.MemberID, refused bool) []Effect {
	m := g.members[id]
	if m == nil {
		return nil
	}
	m.probing = false
	if m.lastSeen < sent || refused {
		g.suspect(now, id, m)
	}
	return g.takeEffects()
}

// ProbeRefused takes that the member lives but has no room for a probe.
func (g *Group) ProbeRefused(now core.Time, id core.MemberID) []Effect {
	m := g.members[id]
	if m == nil {
		return nil
	}
	m.probing = false
	g.markSeen(now, id, m)
	return g.takeEffects()
}

func (g *Group) suspect(now core.Time, id core.MemberID, m *member) {
	if m.suspect {
		return
	}
	m.suspect = true
	g.emit(Effect{Kind: EffectDecision, Member: id, Term: g.term,
		Reason: fmt.Sprintf("suspect: silent for %d ms", now.Sub(m.lastSeen).Milliseconds())})
	if id == g.primary {
		g.emit(Effect{Kind: EffectReport})
	}
}

// heard takes that something came from the member.
func (g *Group) markSeen(now core.Time, id core.MemberID, m *member) {
	m.lastSeen = max(m.lastSeen, now)
	if !m.suspect {
		return
	}
	m.suspect = false
	if id == g.primary {
		g.emit(Effect{Kind: EffectReport})
	}
	g.emit(Effect{Kind: EffectDecision, Member: id, Term: g.term, Reason: "answers again"})
}

// Unanswered takes that a statement which was sent at sent got no whole answer.
func (g *Group) StatementUnanswered(now, sent core.Time, id core.MemberID) []Effect {
	if m := g.members[id]; m != nil {
		m.failures.record(now, true)
		g.suspectIfSilent(now, sent, id, m)
	}
	return g.takeEffects()
}

// unheard suspects a member from which nothing has come since sent, if it had time
// to answer.
func (g *Group) suspectIfSilent(now, sent core.Time, id core.MemberID, m *member) {
	if m.lastSeen < sent && now.Sub(sent) >= ProbeTimeout {
		g.suspect(now, id, m)
	}
}

// Answered takes a member's whole answer to a statement that was sent at sent.
func (g *Group) StatementAnswered(now, sent core.Time, id core.MemberID, p core.Position, o Outcome) []Effect {
	m := g.members[id]
	if m == nil {
		return nil
	}
	g.markSeen(now, id, m)
	if g.primaryLostLog(sent, id, m, p, o) {
		g.resetMember(now, m, fmt.Sprintf("its log ends at %v after %v", p, m.position))
	}
	switch o {
	case Succeeded:
		m.recordLatency(now.Sub(sent))
		m.widenWindow()
		m.failures.record(now, false)
	case Failed:
		m.failures.record(now, true)
	case Busy:
		if g.policy.Has(policy.BusyBackoff) {
			m.refusedBusyAt = now
		}
		if g.policy.Has(policy.WindowByRefusals) {
			m.shrinkWindow()
		}
	case NotPrimary:
		g.handleNotPrimary(now, id, m)
	}
	m.recordPosition(p, now)
	if id != g.primary && !p.IsZero() {
		m.lag = g.samples.lag(now, p)
	}
	if p.Term > g.term {
		g.observeTerm(p.Term)
	}
	if id == g.primary && !p.IsZero() && g.HasLease(now) {
		g.addSample(now, sent, p)
	}
	return g.takeEffects()
}

// TookOfAim takes how long a statement took of its caller's aim.
func (g *Group) RecordLatency(id core.MemberID, took, aim time.Duration) {
	if m := g.members[id]; m != nil && g.policy.Has(policy.WindowByAimShare) {
		m.recordGoalShare(took, aim)
	}
}

// notPrimary forgets the primary that has refused a write as a replica does.
func (g *Group) handleNotPrimary(now core.Time, id core.MemberID, m *member) {
	// Its last status is no longer true. Until it says again that it leads, the word
	// of other daemons, which may not know yet, does not count.
	m.statusAt, m.probeSentAt = 0, 0
	m.leadsTerm, m.refusedTerm = 0, g.term
	m.leadSeen = termSupport{}
	if g.primary == id {
		g.primary = ""
		g.emit(Effect{Kind: EffectReport})
	}
}

func (g *Group) emit(e Effect) {
	e.Group = g.id
	g.effects = append(g.effects, e)
}

func (g *Group) takeEffects() []Effect {
	e := g.effects
	g.effects = nil
	return e
}
