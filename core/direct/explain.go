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
func (g *Group) Explain(now core.Time, n Need) string {
	since, sampled := g.requirement(n)
	var parts []string
	for _, id := range g.order {
		m := g.members[id]
		parts = append(parts, string(id)+": "+g.whyNot(now, id, m, n, since, sampled))
	}
	if len(parts) == 0 {
		return "no member is known"
	}
	return strings.Join(parts, "; ")
}

func (g *Group) whyNot(now core.Time, id core.MemberID, m *member, n Need, since sample, sampled bool) string {
	_, room := g.room(now, m, n.Team)
	switch {
	case slices.Contains(n.Avoid, id):
		return "tried before"
	case m.leaving(now):
		return "leaving"
	case m.suspect:
		return "silent for " + milliseconds(now.Sub(m.heardAt))
	case id == g.primary && !g.Leased(now):
		return "primary without a lease"
	case id != g.primary && (n.Primary || !sampled):
		return "replica"
	case m.busy(now):
		return "full " + milliseconds(now.Sub(m.busyAt)) + " ago"
	case id != g.primary && !g.readable(now, id, m, since):
		return fmt.Sprintf("behind by %d ms, has %v of %v, said so %d ms ago", m.lag.Milliseconds(), m.position, since.position, now.Sub(m.positionAt).Milliseconds())
	case !room:
		return fmt.Sprintf("no room: %d of %d connections in use, window %.1f, %d known in all", m.inUse(), m.open, m.window, g.conns(now, id, m))
	}
	return "free"
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }

// Belief is what the daemon takes to be true of the group, for people.
type Belief struct {
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
	LockTerm  core.Term                      `json:"lock_term"`
	LockAgeMS int64                          `json:"lock_age_ms"`
	Members   map[core.MemberID]MemberBelief `json:"members"`
}

// MemberBelief is what the daemon takes to be true of a member.
type MemberBelief struct {
	Role     core.Role `json:"role"`
	Term     core.Term `json:"term"`
	Position string    `json:"position"`
	// Trouble says what keeps statements from it; "": nothing.
	Trouble string  `json:"trouble"`
	Open    int     `json:"open"`
	InUse   int     `json:"in_use"`
	Window  float64 `json:"window"`
}

var phaseNames = [...]string{"none", "claiming", "demoting", "fencing", "awaiting leases", "promoting"}

// Belief returns the present belief.
func (g *Group) Belief(now core.Time) Belief {
	b := Belief{
		Home: g.home, Settled: g.settled(), Primary: g.primary, Term: g.term, LeaseLeftMS: max(0, g.LeaseUntil(now).Sub(now).Milliseconds()),
		Claim: phaseNames[g.claim.phase], Ordered: g.ordered, LockTerm: g.promotionLock.term,
		LockAgeMS: now.Sub(g.promotionLock.at).Milliseconds(), Members: make(map[core.MemberID]MemberBelief),
	}
	for id, m := range g.members {
		b.Members[id] = MemberBelief{
			Role: m.status.Role, Term: m.status.Term, Position: fmt.Sprint(m.position), Trouble: m.trouble(now),
			Open: m.open, InUse: m.inUse(), Window: m.window,
		}
	}
	return b
}

// trouble names what keeps all statements from the member.
func (m *member) trouble(now core.Time) string {
	switch {
	case m.elsewhere:
		return "another member answers at its address"
	case m.suspect:
		return "silent for " + milliseconds(now.Sub(m.heardAt))
	case m.leaving(now):
		return "leaving"
	case m.unreadable:
		return "entry cannot be read"
	case m.fencedAt != 0:
		return "fenced"
	case m.busy(now):
		return "full"
	}
	return ""
}
