package direct

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"limpetspan/core"
)

// Explain says for each member why a statement with the need cannot be placed on
// it now, for the log.
func (g *Group) Explain(now core.Time, n Requirement) string {
	since, sampled := g.readRequirement(n)
	var parts []string
	for _, id := range g.order {
		m := g.members[id]
		parts = append(parts, string(id)+": "+g.blockReason(now, id, m, n, since, sampled))
	}
	if len(parts) == 0 {
		return "no member is known"
	}
	return strings.Join(parts, "; ")
}

func (g *Group) blockReason(now core.Time, id core.MemberID, m *member, n Requirement, since sample, sampled bool) string {
	_, room := g.findConn(now, m, n.Team)
	switch {
	case slices.Contains(n.Exclude, id):
		return "tried before"
	case m.isLeaving(now):
		return "leaving"
	case m.suspect:
		return "silent for " + milliseconds(now.Sub(m.lastSeen))
	case id == g.primary && !g.HasLease(now):
		return "primary without a lease"
	case id != g.primary && (n.Primary || !sampled):
		return "replica"
	case m.isBusy(now):
		return "full " + milliseconds(now.Sub(m.refusedBusyAt)) + " ago"
	case id != g.primary && !g.canServeRead(now, id, m, since):
		return fmt.Sprintf("behind by %d ms, has %v of %v, said so %d ms ago", m.lag.Milliseconds(), m.position, since.position, now.Sub(m.positionAt).Milliseconds())
	case !room:
		return fmt.Sprintf("no room: %d of %d connections in use, window %.1f, %d known in all", m.inUse(), m.open, m.window, g.knownConns(now, id, m))
	}
	return "free"
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }

// Belief is what the daemon takes to be true of the group, for people.
type GroupView struct {
	Home bool `json:"home"`
	// Settled: the members are known for so long that this daemon may change the primary.
	Settled bool          `json:"settled"`
	Primary core.MemberID `json:"primary"`
	Term    core.Term     `json:"term"`
	// LeaseLeftMS is for how long the primary may still be used.
	LeaseLeftMS int64 `json:"lease_left_ms"`
	// Claim is how far this daemon's own change of the primary has come.
	Claim string `json:"claim"`
	// Ordered is the highest term for which a promotion is known to be ordered.
	Ordered core.Term `json:"ordered"`
	// LockTerm is what the last read of the promotion lock named, LockAgeMS how old it is.
	LockTerm  core.Term                    `json:"lock_term"`
	LockAgeMS int64                        `json:"lock_age_ms"`
	Members   map[core.MemberID]MemberView `json:"members"`
}

// MemberView is what the daemon takes to be true of a member.
type MemberView struct {
	Role     core.Role `json:"role"`
	Term     core.Term `json:"term"`
	Position string    `json:"position"`
	// Trouble says what keeps statements from it; "": nothing.
	Problem string  `json:"trouble"`
	Open    int     `json:"open"`
	InUse   int     `json:"in_use"`
	Window  float64 `json:"window"`
}

var phaseNames = [...]string{"none", "claiming", "demoting", "fencing", "awaiting leases", "promoting"}

// Belief returns the present belief.
func (g *Group) View(now core.Time) GroupView {
	b := GroupView{
		Home: g.isHome, Settled: g.knowsAllMembers(), Primary: g.primary, Term: g.term, LeaseLeftMS: max(0, g.LeaseExpiry(now).Sub(now).Milliseconds()),
		Claim: phaseNames[g.claim.phase], Ordered: g.orderedTerm, LockTerm: g.promotionLock.term,
		LockAgeMS: now.Sub(g.promotionLock.sentAt).Milliseconds(), Members: make(map[core.MemberID]MemberView),
	}
	for id, m := range g.members {
		b.Members[id] = MemberView{
			Role: m.status.Role, Term: m.status.Term, Position: fmt.Sprint(m.position), Problem: m.problem(now),
			Open: m.open, InUse: m.inUse(), Window: m.window,
		}
	}
	return b
}

// trouble names what keeps all statements from the member.
func (m *member) problem(now core.Time) string {
	switch {
	case m.addressReused:
		return "another member answers at its address"
	case m.suspect:
		return "silent for " + milliseconds(now.Sub(m.lastSeen))
	case m.isLeaving(now):
		return "leaving"
	case m.unreadable:
		return "entry cannot be read"
	case m.fencedAt != 0:
		return "fenced"
	case m.isBusy(now):
		return "full"
	}
	return ""
}
