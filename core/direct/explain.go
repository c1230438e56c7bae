package direct

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"limpetspan/core"
)

// Explain returns, for the log, why a statement with the requirement cannot be placed on each of
// the members now.
func (g *Group) Explain(now core.Time, req Requirement) string {
	required, sampled := g.readRequirement(req)
	var parts []string
	for _, id := range g.order {
		m := g.members[id]
		parts = append(parts, string(id)+": "+g.blockReason(now, id, m, req, required, sampled))
	}
	if len(parts) == 0 {
		return "no member is known"
	}
	return strings.Join(parts, "; ")
}

func (g *Group) blockReason(now core.Time, id core.MemberID, m *member, req Requirement, required sample, sampled bool) string {
	_, hasConn := g.findConn(now, m, req.Team)
	switch {
	case slices.Contains(req.Exclude, id):
		return "already tried"
	case id == g.primary && g.isDrained(now, m):
		return "leaving for " + milliseconds(now.Sub(m.goneSince())) + " without a successor"
	case m.isLeaving(now):
		return "leaving"
	case m.suspect:
		return "silent for " + milliseconds(now.Sub(m.lastSeen))
	case id == g.primary && !g.HasLease(now):
		return "primary without a lease"
	case id != g.primary && (req.Primary || !sampled):
		return "is a replica"
	case m.isBusy(now):
		return "refused because of load " + milliseconds(now.Sub(m.refusedBusyAt)) + " ago"
	case id != g.primary && !g.canServeRead(now, id, m, required):
		return fmt.Sprintf("behind by %d ms: at %v, requires %v, reported %d ms ago", m.lag.Milliseconds(), m.position, required.position, now.Sub(m.positionAt).Milliseconds())
	case !hasConn:
		return fmt.Sprintf("no connection available: %d of %d in use, window %.1f, %d open from all daemons", m.inUse(), m.open, m.window, g.knownConns(now, id, m)) + g.explainLoad(m)
	}
	return "available"
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }

// GroupView is the daemon's view of the group, for operators.
type GroupView struct {
	Home bool `json:"home"`
	// Settled is set once the members have been known for long enough that this daemon may change
	// the primary.
	Settled bool          `json:"settled"`
	Primary core.MemberID `json:"primary"`
	Term    core.Term     `json:"term"`
	// SharedLoad is set if reads are placed by the load of all homes. ReadsOutOfZone counts the reads
	// that were placed in another zone since then.
	SharedLoad     bool  `json:"shared_load,omitempty"`
	ReadsOutOfZone int64 `json:"reads_out_of_zone,omitempty"`
	// LeaseLeftMS is how long the primary may still be used.
	LeaseLeftMS int64 `json:"lease_left_ms"`
	// Claim is the phase of this daemon's own change of the primary.
	Claim string `json:"claim"`
	// Ordered is the highest term for which a promotion is known to be ordered.
	Ordered core.Term `json:"ordered"`
	// LockTerm is the term that the last read of the promotion lock showed, LockAgeMS the age of
	// that read.
	LockTerm  core.Term                    `json:"lock_term"`
	LockAgeMS int64                        `json:"lock_age_ms"`
	Members   map[core.MemberID]MemberView `json:"members"`
}

// MemberView is the daemon's view of a member.
type MemberView struct {
	Role     core.Role `json:"role"`
	Term     core.Term `json:"term"`
	Position string    `json:"position"`
	// Problem is what keeps statements from the member; "" if nothing does.
	Problem string  `json:"trouble"`
	Open    int     `json:"open"`
	InUse   int     `json:"in_use"`
	Window  float64 `json:"window"`
	// Load is what is known of the member's load, if load is shared.
	Load *LoadView `json:"load,omitempty"`
}

// LoadView is the daemon's view of a member's load by all homes.
type LoadView struct {
	// Own is the mean number of this daemon's statements on the member, Others that of the other
	// homes, of which Homes have reported.
	Own    float64 `json:"own"`
	Others float64 `json:"others"`
	Homes  int     `json:"homes"`
	// ServiceMS is the learned service time by kind of statement, WaitMS the expected wait for a slot.
	ServiceMS map[string]float64 `json:"service_ms"`
	WaitMS    float64            `json:"wait_ms"`
}

var phaseNames = [...]string{"none", "claiming", "demoting", "fencing", "awaiting leases", "promoting"}

// View returns the current view.
func (g *Group) View(now core.Time) GroupView {
	v := GroupView{
		SharedLoad: g.sharedLoad, ReadsOutOfZone: g.readsOutOfZone,
		Home: g.isHome, Settled: g.knowsAllMembers(), Primary: g.primary, Term: g.term, LeaseLeftMS: max(0, g.LeaseExpiry(now).Sub(now).Milliseconds()),
		Claim: phaseNames[g.claim.phase], Ordered: g.orderedTerm, LockTerm: g.promotionLock.term,
		LockAgeMS: now.Sub(g.promotionLock.sentAt).Milliseconds(), Members: make(map[core.MemberID]MemberView),
	}
	for id, m := range g.members {
		v.Members[id] = MemberView{
			Role: m.status.Role, Term: m.status.Term, Position: fmt.Sprint(m.position), Problem: m.problem(now),
			Open: m.open, InUse: m.inUse(), Window: m.window, Load: g.loadView(now, m),
		}
	}
	return v
}

// problem returns what keeps all statements from the member.
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
