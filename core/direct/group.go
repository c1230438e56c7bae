package direct

import (
	"fmt"
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/placement"
	"limpetspan/core/policy"
)

// Group is one daemon's view of a database group. It is not safe for concurrent use.
type Group struct {
	id   core.GroupID
	self core.DaemonID
	zone core.Zone
	spec GroupSpec
	// daemons is how many daemons share the group's connections.
	daemons int
	members map[core.MemberID]*member
	// order holds the members' ids, sorted, so that decisions are deterministic.
	order []core.MemberID
	// term is the newest term seen, primary the member that leads in it.
	term    core.Term
	primary core.MemberID
	samples samples
	// maxPosition is the highest position of the primary in this term that this daemon has seen,
	// maxPositionAt the time at which it was seen.
	maxPosition   core.Position
	maxPositionAt core.Time
	// termStart is the lowest known upper bound of the position at which the term begins; its Term
	// is 0 if none is known.
	termStart core.Position
	// earlierStarts are such bounds of earlier terms, the oldest first.
	earlierStarts []core.Position
	peers         map[core.DaemonID]peerReport
	// homeCount is the number of the group's homes, whose agreement a change of the primary needs.
	homeCount     int
	claim         claim
	promotionLock lockRead
	// leaseExpiry is when this daemon's right to use the primary ends, peerLeaseExpiry when that of
	// another daemon ends.
	leaseExpiry, peerLeaseExpiry core.Time
	// isHome is set if this daemon is one of the group's homes; only homes change the group's
	// primary.
	isHome bool
	// orderedTerm is the highest term for which any daemon is known to have ordered a promotion,
	// successor the member that the promotion is for, if known, and orderedAt when this daemon
	// learnt of it. effectiveTerm is the highest ordered term whose promotion is known to have
	// taken effect.
	orderedTerm, effectiveTerm core.Term
	successor                  core.MemberID
	orderedAt                  core.Time
	effects                    []Effect
	// listedSince is the time since which this daemon has followed the host list without a gap,
	// listedAsOf the time as of which it knows the list, and lastTickAt the time of the last tick.
	listedSince, listedAsOf, lastTickAt core.Time
	// unusableSince is the time since which the primary cannot be used here; 0 if it can.
	unusableSince core.Time
	// unsteadyAt is when the primary was last seen to be unusable here or being changed, 0 if it was not.
	unsteadyAt core.Time
	// sharedLoad is set if reads are placed by the load of all homes; variant is how, times are the
	// group's service times.
	sharedLoad bool
	variant    placement.Variant
	times      placement.GroupTimes
	// candidates and costs are reused by each placement; placed counts the placements.
	candidates []Placement
	costs      []time.Duration
	placed     uint64
	// readsOutOfZone counts the reads that were placed in another zone while load was shared.
	readsOutOfZone int64
	// drainLimit is how long a leaving primary without a successor gets new work; 0 means for as long
	// as it answers.
	drainLimit time.Duration
	// policy is the set of enabled mechanisms.
	policy policy.Set
	// disabled are the guards that model checking has switched off.
	disabled Guard
}

// NewGroup returns the view of a daemon that has received no event yet.
func NewGroup(id core.GroupID, self core.DaemonID, zone core.Zone) *Group {
	return &Group{id: id, self: self, zone: zone, daemons: 1, homeCount: 1, policy: policy.All,
		members: make(map[core.MemberID]*member), peers: make(map[core.DaemonID]peerReport)}
}

// SetPolicy sets the enabled mechanisms; by default all are enabled.
func (g *Group) SetPolicy(set policy.Set) { g.policy = set }

// Configure sets the configuration of the group.
func (g *Group) Configure(spec GroupSpec) { g.spec = spec }

// SetDrainLimit sets how long a leaving primary without a successor gets new work. By default there
// is no limit.
func (g *Group) SetDrainLimit(d time.Duration) { g.drainLimit = d }

// SetHomes sets how many daemons share the group's connections, and whether this daemon is one of
// them.
func (g *Group) SetHomes(n int, isHome bool) {
	g.daemons, g.homeCount, g.isHome = max(1, n), max(1, n), isHome
}

// UpdateMembers handles the host list's entries of the group, which are complete as of asOf.
func (g *Group) UpdateMembers(now, asOf core.Time, listed []Member) []Effect {
	complete := g.listedAsOf
	g.ConfirmMembers(asOf)
	seen := make(map[core.MemberID]bool, len(listed))
	for _, l := range listed {
		seen[l.ID] = true
		g.updateMember(now, complete, l)
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

// ConfirmMembers records that the last listed entries are still complete as of asOf.
func (g *Group) ConfirmMembers(asOf core.Time) {
	if g.listedSince == 0 {
		g.listedSince = asOf
	}
	g.listedAsOf = max(g.listedAsOf, asOf)
}

// updateMember handles one entry; complete is the time as of which the entries of before were complete,
// 0 if there were none. An entry that cannot be parsed adds no member. For a known member
// it carries no information: the primary stays in use while it answers, so that a mistaken write to
// the host list does not cause a failover, and replicas get no new reads.
func (g *Group) updateMember(now, complete core.Time, l Member) {
	m := g.members[l.ID]
	switch {
	case l.Unreadable && m == nil:
		return
	case l.Unreadable:
		m.unreadable = true
	case m == nil:
		m = &member{Member: l, lastSeen: now, window: maxWindow}
		g.assumeIdleAtPeers(now, m)
		g.members[l.ID] = m
		g.order = append(g.order, l.ID)
	default:
		m.unreadable = false
		m.addressReused = m.addressReused && m.unlistedAt == 0
		g.updateEntry(now, m, l)
	}
	m.unlistedAt = 0
	m.trackLeaving(now, complete)
}

func (g *Group) removeMember(id core.MemberID) {
	delete(g.members, id)
	g.order = slices.DeleteFunc(g.order, func(o core.MemberID) bool { return o == id })
	if g.primary == id {
		g.primary = ""
	}
}

// IsIdle reports whether this daemon has no connection to a member and is not changing the primary.
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

// HasMembers reports whether the group has any known members.
func (g *Group) HasMembers() bool { return len(g.members) > 0 }

// Addr returns the address of the member.
func (g *Group) Addr(id core.MemberID) (string, bool) {
	m := g.members[id]
	if m == nil {
		return "", false
	}
	return m.Addr, true
}

// Primary returns the member that leads as far as this daemon knows, and its term.
func (g *Group) Primary() (core.MemberID, core.Term) { return g.primary, g.term }

// majoritySize returns the number of members that count towards a majority.
func (g *Group) majoritySize(now core.Time) int {
	n := 0
	for _, m := range g.members {
		if m.isAlive(now) {
			n++
		}
	}
	return n
}

// observeTerm adopts a newer term. The primary of the previous term no longer leads.
func (g *Group) observeTerm(t core.Term) {
	if t <= g.term {
		return
	}
	g.term = t
	g.primary = ""
	g.leaseExpiry, g.peerLeaseExpiry = 0, 0
	g.samples.clear()
	g.maxPosition, g.maxPositionAt = core.Position{}, 0
	g.keepTermStart()
}

// addSample records a position of the primary that covers every commit acknowledged before at and
// was received at now.
func (g *Group) addSample(now, at core.Time, p core.Position) {
	g.samples.add(at, p)
	if g.maxPosition.Less(p) {
		g.maxPosition, g.maxPositionAt = p, now
	}
}

// Probed handles the answer to a probe, fence or demotion that was sent at sent.
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
		g.resetMember(now, m, fmt.Sprintf("it reports term %d, log %v after term %d, log %v", st.Term, st.Position, m.status.Term, m.position))
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

// ProbeFailed records that a probe was not answered. refused is set if the host answers and no
// process listens on the port.
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

// ProbeRefused records that the member is running but has no connection left for a probe.
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

// markSeen records that the member has sent something.
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

// StatementUnanswered records that a statement sent at sent got no complete answer. closed is set if
// the member's side closed the connection: that costs a read no answer timeout, so it counts as a
// failure and not as silence.
func (g *Group) StatementUnanswered(now, sent core.Time, id core.MemberID, closed bool) []Effect {
	if m := g.members[id]; m != nil {
		m.failures.record(now, true)
		if !closed {
			m.unanswered.record(now, true)
		}
		g.suspectIfSilent(now, sent, id, m)
	}
	return g.takeEffects()
}

// suspectIfSilent marks the member as suspect if it has sent nothing since sent and had time to
// answer.
func (g *Group) suspectIfSilent(now, sent core.Time, id core.MemberID, m *member) {
	if m.lastSeen < sent && now.Sub(sent) >= ProbeTimeout {
		g.suspect(now, id, m)
	}
}

// StatementAnswered handles a member's complete answer to a statement sent at sent.
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
		m.unanswered.record(now, false)
		m.recordLatency(now.Sub(sent))
		m.widenWindow()
		m.failures.record(now, false)
	case Failed:
		m.unanswered.record(now, false)
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

// RecordLatency records the time that a statement took, for comparison with its caller's latency
// goal.
func (g *Group) RecordLatency(id core.MemberID, took, goal time.Duration) {
	if m := g.members[id]; m != nil && g.policy.Has(policy.WindowByAimShare) {
		m.recordGoalShare(took, goal)
	}
}

// handleNotPrimary removes the primary after it has refused a write because it is a replica.
func (g *Group) handleNotPrimary(now core.Time, id core.MemberID, m *member) {
	// Its last status is outdated. Until the member itself reports again that it leads, reports of
	// other daemons, which may not know yet, are ignored.
	m.statusAt, m.probeSentAt = 0, 0
	m.leadsTerm, m.refusedTerm = 0, g.term
	m.leadSeen = termTime{}
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
