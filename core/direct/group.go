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
	longest   core.Position
	longestAt core.Time
	// began is the earliest known position of the primary in this term; Term is 0 if none is.
	began         core.Position
	peers         map[core.DaemonID]peerReport
	knownPeers    int
	claim         claim
	promotionLock lockRead
	// lease is until when the primary may be used, peerLease until when another daemon
	// holds a lease on it.
	lease, peerLease core.Time
	// home is set if this daemon is one of the group's homes, which alone change its
	// primary.
	home bool
	// ordered is the highest term for which a promotion is known to have been
	// ordered, by any daemon, of the member successor if that is known; orderedAt is
	// when it was learnt. effective is the highest of these terms whose promotion is
	// known to have had its effect.
	ordered, effective core.Term
	successor          core.MemberID
	orderedAt          core.Time
	effects            []Effect
	// knownSince is since when this daemon has followed the host list without a pause,
	// listedAsOf as of when it knows the list, and tickedAt when time last passed here.
	knownSince, listedAsOf, tickedAt core.Time
	// unusableSince is since when the primary cannot be used here; 0: it can.
	unusableSince core.Time
	// policy is the mechanisms in use.
	policy policy.Set
	// disabled are the guards that model checking has switched off.
	disabled Guard
}

// NewGroup returns the view of a daemon that has heard nothing yet.
func NewGroup(id core.GroupID, self core.DaemonID, zone core.Zone) *Group {
	return &Group{id: id, self: self, zone: zone, daemons: 1, knownPeers: 1, policy: policy.All,
		members: make(map[core.MemberID]*member), peers: make(map[core.DaemonID]peerReport)}
}

// SetPolicy says which mechanisms are in use; all are if it is not called.
func (g *Group) SetPolicy(set policy.Set) { g.policy = set }

// Configure takes the configuration's word on the group.
func (g *Group) Configure(spec GroupSpec) { g.spec = spec }

// SetHomes says how many daemons share the group's connections, and whether this
// is one of them.
func (g *Group) SetHomes(n int, here bool) {
	g.daemons, g.knownPeers, g.home = max(1, n), max(1, n), here
}

// List takes the host list's entries of the group, complete as of that moment.
func (g *Group) List(now, asOf core.Time, listed []Member) []Effect {
	g.Followed(asOf)
	seen := make(map[core.MemberID]bool, len(listed))
	for _, l := range listed {
		seen[l.ID] = true
		g.listOne(now, l)
	}
	slices.Sort(g.order)
	for _, id := range slices.Clone(g.order) {
		m := g.members[id]
		if seen[id] {
			continue
		}
		if m.vanishedAt == 0 {
			m.vanishedAt = now
		}
		if now.Sub(m.vanishedAt) > VanishedKeep && m.open == 0 {
			g.forget(id)
		}
	}
	return g.take()
}

// Followed takes that the entries which were listed last are still complete as of that moment.
func (g *Group) Followed(asOf core.Time) {
	if g.knownSince == 0 {
		g.knownSince = asOf
	}
	g.listedAsOf = max(g.listedAsOf, asOf)
}

// listOne takes one entry. An entry that cannot be read names nobody new. Of a member
// that is known it says nothing: the primary goes on while it answers by itself, so
// that a stray write into the host list costs no failover; replicas get no new reads.
func (g *Group) listOne(now core.Time, l Member) {
	m := g.members[l.ID]
	switch {
	case l.Unreadable && m == nil:
		return
	case l.Unreadable:
		m.unreadable = true
	case m == nil:
		m = &member{Member: l, heardAt: now, window: mostWindow}
		g.members[l.ID] = m
		g.order = append(g.order, l.ID)
	default:
		m.unreadable = false
		m.elsewhere = m.elsewhere && m.vanishedAt == 0
		g.relist(now, m, l)
	}
	m.vanishedAt = 0
}

func (g *Group) forget(id core.MemberID) {
	delete(g.members, id)
	g.order = slices.DeleteFunc(g.order, func(o core.MemberID) bool { return o == id })
	if g.primary == id {
		g.primary = ""
	}
}

// Idle says whether this daemon has no connection to a member and no change of the primary
// under way.
func (g *Group) Idle() bool {
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
func (g *Group) Known() bool { return len(g.members) > 0 }

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
func (g *Group) size(now core.Time) int {
	n := 0
	for _, m := range g.members {
		if m.alive(now) {
			n++
		}
	}
	return n
}

// sawTerm learns of a newer term: whoever led before does so no longer.
func (g *Group) sawTerm(t core.Term) {
	if t <= g.term {
		return
	}
	g.term = t
	g.primary = ""
	g.lease, g.peerLease = 0, 0
	g.samples.clear()
	g.longest, g.longestAt = core.Position{}, 0
	g.began = core.Position{}
}

// sample keeps a position of the primary that covers every commit acknowledged before
// at, and has come now.
func (g *Group) sample(now, at core.Time, p core.Position) {
	g.samples.add(at, p)
	if g.longest.Less(p) {
		g.longest, g.longestAt = p, now
	}
}

// Probed takes the answer to a probe, fence or demotion that was sent at sent.
func (g *Group) Probed(now, sent core.Time, id core.MemberID, st Status) []Effect {
	m := g.members[id]
	if m == nil {
		return nil
	}
	m.probing, m.elsewhere = false, false
	g.heard(now, id, m)
	if sent < m.statusAt {
		return g.take()
	}
	if m.hasForgotten(sent, st) {
		g.startAnew(now, m, fmt.Sprintf("it says term %d, log %v after term %d, log %v", st.Term, st.Position, m.status.Term, m.position))
	}
	m.status, m.statusAt = st, sent
	m.load.saw(sent, st.Busy)
	m.saw(st.Position, now)
	g.noteFence(now, m)
	g.sawTerm(st.Term)
	if st.Role == core.RolePrimary && st.Term == g.term && g.shortened(sent, st.Position) {
		m.forgotTerm = g.term
	}
	if st.Role == core.RolePrimary && st.Term == g.term && m.mayLead(st.Term) {
		m.leads, m.refused = st.Term, 0
		m.led.note(st.Term, sent)
		g.noteBegan(st.Position)
		g.leads(now, id)
		g.noteEffect(sent, id)
	} else if g.primary == id {
		g.primary = ""
	}
	if until := g.LeaseUntil(now); now < until && g.primary == id {
		g.sample(now, sent, st.Position)
	}
	g.claimProbed(now, id, st)
	return g.take()
}

func (g *Group) noteFence(now core.Time, m *member) {
	if m.status.FencedTerm > 0 {
		if m.fencedAt == 0 {
			m.fencedAt = now
		}
		return
	}
	m.fencedAt = 0
}

func (g *Group) leads(now core.Time, id core.MemberID) {
	if g.primary == id {
		return
	}
	g.primary = id
	g.lease, g.peerLease = 0, 0
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
	if m.heardAt < sent || refused {
		g.suspect(now, id, m)
	}
	return g.take()
}

// ProbeRefused takes that the member lives but has no room for a probe.
func (g *Group) ProbeRefused(now core.Time, id core.MemberID) []Effect {
	m := g.members[id]
	if m == nil {
		return nil
	}
	m.probing = false
	g.heard(now, id, m)
	return g.take()
}

func (g *Group) suspect(now core.Time, id core.MemberID, m *member) {
	if m.suspect {
		return
	}
	m.suspect = true
	g.emit(Effect{Kind: EffectDecision, Member: id, Term: g.term,
		Reason: fmt.Sprintf("suspect: silent for %d ms", now.Sub(m.heardAt).Milliseconds())})
	if id == g.primary {
		g.emit(Effect{Kind: EffectReport})
	}
}

// heard takes that something came from the member.
func (g *Group) heard(now core.Time, id core.MemberID, m *member) {
	m.heardAt = max(m.heardAt, now)
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
func (g *Group) Unanswered(now, sent core.Time, id core.MemberID) []Effect {
	if m := g.members[id]; m != nil {
		m.faults.note(now, true)
		g.unheard(now, sent, id, m)
	}
	return g.take()
}

// unheard suspects a member from which nothing has come since sent, if it had time
// to answer.
func (g *Group) unheard(now, sent core.Time, id core.MemberID, m *member) {
	if m.heardAt < sent && now.Sub(sent) >= ProbeTimeout {
		g.suspect(now, id, m)
	}
}

// Answered takes a member's whole answer to a statement that was sent at sent.
func (g *Group) Answered(now, sent core.Time, id core.MemberID, p core.Position, o Outcome) []Effect {
	m := g.members[id]
	if m == nil {
		return nil
	}
	g.heard(now, id, m)
	if g.lacksItsLog(sent, id, m, p, o) {
		g.startAnew(now, m, fmt.Sprintf("its log ends at %v after %v", p, m.position))
	}
	switch o {
	case Succeeded:
		m.measured(now.Sub(sent))
		m.uncongested()
		m.faults.note(now, false)
	case Failed:
		m.faults.note(now, true)
	case Busy:
		if g.policy.Has(policy.BusyBackoff) {
			m.busyAt = now
		}
		if g.policy.Has(policy.WindowByRefusals) {
			m.congested()
		}
	case NotPrimary:
		g.notPrimary(now, id, m)
	}
	m.saw(p, now)
	if id != g.primary && !p.IsZero() {
		m.lag = g.samples.lag(now, p)
	}
	if p.Term > g.term {
		g.sawTerm(p.Term)
	}
	if id == g.primary && !p.IsZero() && g.Leased(now) {
		g.sample(now, sent, p)
	}
	return g.take()
}

// TookOfAim takes how long a statement took of its caller's aim.
func (g *Group) TookOfAim(id core.MemberID, took, aim time.Duration) {
	if m := g.members[id]; m != nil && g.policy.Has(policy.WindowByAimShare) {
		m.tookOfAim(took, aim)
	}
}

// notPrimary forgets the primary that has refused a write as a replica does.
func (g *Group) notPrimary(now core.Time, id core.MemberID, m *member) {
	// Its last status is no longer true. Until it says again that it leads, the word
	// of other daemons, which may not know yet, does not count.
	m.statusAt, m.probeAt = 0, 0
	m.leads, m.refused = 0, g.term
	m.led = seen{}
	if g.primary == id {
		g.primary = ""
		g.emit(Effect{Kind: EffectReport})
	}
}

func (g *Group) emit(e Effect) {
	e.Group = g.id
	g.effects = append(g.effects, e)
}

func (g *Group) take() []Effect {
	e := g.effects
	g.effects = nil
	return e
}
