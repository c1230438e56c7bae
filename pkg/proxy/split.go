package proxy

import (
	"maps"
	"slices"
	"strings"
	"time"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/policy"
	"limpetspan/core/quota"
	"limpetspan/platform"
)

const (
	// overflowRetention is how long a session stays at the other holder of its team's limit. Each
	// move opens a link, so it is much longer than the time between two statements of a session.
	overflowRetention = 2 * time.Second
	// minOverLimitBackoff is how long an entry does not send a team's statements on to a daemon that had
	// no token for one of them. It doubles while the daemon has none, up to maxOverLimitBackoff. At the
	// limit, a part has a token again within the former; a team far above its limit must not cost a
	// further hop for each refused statement.
	minOverLimitBackoff = 100 * time.Millisecond
	maxOverLimitBackoff = time.Second
	// secondRequestInterval is the time between a home's requests for second slots that it should
	// hold. If another daemon holds one, a request costs a read of all slots.
	secondRequestInterval = 5 * time.Second
	// secondRelistInterval is the time after which a home reads all slots again although another
	// daemon, which is alive, held the second slot at the last read. Homes whose lists of daemons
	// differ, or that are homes of different groups, each consider themselves assigned.
	secondRelistInterval = 10 * time.Second
)

// setSplit creates the holder of slots, with split limits if the command line asks for them and the
// deployment and the policy say so.
func (l *limits) setSplit() {
	l.split = l.enabled && l.p.settings.SplitLimits && l.p.settings.OverloadControl && l.p.policy.Has(policy.SplitLimits)
	l.holder = quota.NewHolder(l.p.settings.Daemon, l.p.boot)
	if l.split {
		l.holder = quota.NewSplitHolder(l.p.settings.Daemon, l.p.boot)
	}
}

// holdsSecond reports whether this daemon holds the slot's second slot. The lock is held.
func (l *limits) holdsSecond(at core.Time, slot quota.Slot) bool {
	if !l.split {
		return false
	}
	_, ok := l.holder.Holds(at, slot.Second())
	return ok
}

// reserveSecond counts an operation against the second part of the team's limit. The lock is held.
func (l *limits) reserveSecond(at core.Time, team auth.Team) quotaReservation {
	slot := quota.SlotOf(team.ID).Second()
	held, _ := l.holder.Holds(at, slot)
	l.holder.Request(at, slot)
	r := l.count(at, held, team, quota.SecondPart)
	if r.result == reserved {
		l.p.stats.onSecondPart.Add(1)
	}
	return r
}

// requestLost requests a slot whose holder is lost or not known. The lock is held.
func (l *limits) requestLost(at core.Time, slot quota.Slot, mayTakeSlot bool) {
	if owner := l.holder.OtherOwner(slot); mayTakeSlot && (owner == "" || !l.p.peers.seenRecently(owner)) {
		l.holder.Request(at, slot)
		l.notify()
	}
}

// slotOwner returns the daemon that counts the team's operations according to the last list, "" if
// it is not known.
func (l *limits) slotOwner(team core.TeamID) core.DaemonID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.OtherOwner(quota.SlotOf(team))
}

// assignedSecondSlots returns the second slots that this daemon should hold: those of slots for
// whose teams it is the best available home besides the slot's holder.
func (l *limits) assignedSecondSlots() map[quota.Slot]bool {
	assigned := make(map[quota.Slot]bool)
	catalog := l.p.catalog.Load()
	if !l.split || catalog == nil || catalog.Teams == nil || !l.p.homes.isHomeOfAny() {
		return assigned
	}
	groups := l.p.activeGroups()
	for _, id := range catalog.Teams.IDs() {
		slot := quota.SlotOf(id)
		if !assigned[slot.Second()] && l.p.homes.isSecondOfAny(groups, id, l.firstHolder(slot)) {
			assigned[slot.Second()] = true
		}
	}
	return assigned
}

// firstHolder returns the holder of the slot, "" if none is known.
func (l *limits) firstHolder(slot quota.Slot) core.DaemonID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.holder.Holds(now(), slot); ok {
		return l.p.settings.Daemon
	}
	return l.holder.OtherOwner(slot)
}

// requestFreeSecond requests the second slots that no other daemon holds according to the last list.
// The lock is held.
func (l *limits) requestFreeSecond(at core.Time, assigned map[quota.Slot]bool) {
	for slot := range assigned {
		if _, ok := l.holder.Holds(at, slot); !ok && l.holder.OtherOwner(slot) == "" {
			l.holder.Request(at, slot)
		}
	}
}

// requestMissingSecond requests the assigned second slots that this daemon does not hold, rarely, as
// another daemon may hold them. The lock is held.
func (l *limits) requestMissingSecond(at core.Time, assigned map[quota.Slot]bool) {
	if at.Sub(l.secondRequestedAt) < secondRequestInterval {
		return
	}
	l.secondRequestedAt = at
	for slot := range assigned {
		if _, ok := l.holder.Holds(at, slot); ok {
			continue
		}
		owner := l.holder.OtherOwner(slot)
		if owner == "" || l.holder.OwnersAge(at) >= secondRelistInterval || !l.p.peers.seenRecently(owner) {
			l.holder.Request(at, slot)
		}
	}
}

// usage returns the team's usage at this daemon. second counts the second part, nil if there is none.
func (c *teamCounter) usage(team core.TeamID, second *teamCounter) TeamUsage {
	u := TeamUsage{team, c.served, c.denied, c.limit.Rate, c.limit.Burst}
	if second != nil {
		u.Served += second.served
		u.Denied += second.denied
		u.Rate += second.limit.Rate
		u.Burst += second.limit.Burst
	}
	return u
}

// isSecondOfAny reports whether this daemon is, for any of the groups, the best available home of the
// team besides the holder of its slot. If that is not known or not available, the best available home
// counts as the holder.
func (h *homes) isSecondOfAny(groups []*group, team core.TeamID, holder core.DaemonID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	return slices.ContainsFunc(groups, func(g *group) bool {
		if !h.ownGroups[g.id] {
			return false
		}
		homes := h.homesOf(g.id)
		order := slices.DeleteFunc(slices.Clone(h.teamOrder(g.id, team)), func(d core.DaemonID) bool {
			return !slices.Contains(homes, d) || !h.isReachable(at, d)
		})
		if len(order) == 0 {
			return false
		}
		first := holder
		if !slices.Contains(order, first) {
			first = order[0]
		}
		return quota.SecondHolder(order, first) == h.p.settings.Daemon
	})
}

// otherHolder returns the daemon that probably gives out the other part of the team's limit than the
// given one, "" if it is this daemon, cannot be asked, or refused a statement of the team that was
// sent on to it within the last backoff of up to maxOverLimitBackoff.
func (h *homes) otherHolder(id core.GroupID, team core.TeamID, not core.DaemonID) core.DaemonID {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	order := h.teamOrder(id, team)
	first := h.slotOwners[quota.SlotOf(team)]
	if first == "" && len(order) > 0 {
		first = order[0]
	}
	other := first
	if first == not {
		other = ""
		if i := slices.IndexFunc(order, func(d core.DaemonID) bool { return d != not && h.isAvailable(at, d, id, team) }); i >= 0 {
			other = order[i]
		}
	}
	if other == "" || other == h.p.settings.Daemon || !h.isAvailable(at, other, id, team) || at < h.overLimit[teamDaemon{team, other}].until {
		return ""
	}
	return other
}

// isFirstHolder reports whether, as far as this daemon knows, the daemon counts the team's operations.
func (h *homes) isFirstHolder(id core.GroupID, team core.TeamID, daemon core.DaemonID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if owner := h.slotOwners[quota.SlotOf(team)]; owner != "" {
		return owner == daemon
	}
	order := h.teamOrder(id, team)
	return len(order) > 0 && order[0] == daemon
}

// canReach reports whether no backoff applies to the daemon.
func (h *homes) canReach(id core.DaemonID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isReachable(now(), id)
}

// overLimitBackoff is the time until which no statement of a team is sent on to a daemon, and the
// length of that backoff.
type overLimitBackoff struct {
	until  core.Time
	length time.Duration
}

// backOffOverLimit starts a backoff for a daemon that refused a statement of the team that was sent on
// to it, as the team was at the daemon's part of the limit. Entries that no longer affect the length of
// a backoff are removed.
func (h *homes) backOffOverLimit(id core.DaemonID, team core.TeamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key, at := teamDaemon{team, id}, now()
	maps.DeleteFunc(h.overLimit, func(k teamDaemon, b overLimitBackoff) bool {
		return k != key && at.Sub(b.until) >= maxOverLimitBackoff
	})
	b := h.overLimit[key]
	if at.Sub(b.until) < b.length {
		b.length = min(maxOverLimitBackoff, 2*b.length)
	} else {
		b.length = minOverLimitBackoff
	}
	b.until = at.Add(b.length)
	h.overLimit[key] = b
}

// preferHome returns the list of homes with the given one first, if there is one.
func preferHome(list []core.DaemonID, first core.DaemonID) []core.DaemonID {
	if first == "" {
		return list
	}
	// The list may be a cached order.
	return slices.Insert(slices.DeleteFunc(slices.Clone(list), func(d core.DaemonID) bool { return d == first }), 0, first)
}

// staysAtOtherHolder reports whether the session was moved to the other holder of its team's limit
// and stays there for now.
func (s *session) staysAtOtherHolder() bool {
	return now() < s.link.overflowUntil && s.p.homes.canReach(s.link.home)
}

// countSecond returns the number of second slots among the slots.
func countSecond(slots map[quota.Slot]uint64) (n int) {
	for slot := range slots {
		if slot.IsSecond() {
			n++
		}
	}
	return n
}

// asksForSecondPart reports whether the entry asks the home for the second part of the team's limit:
// it was chosen because of that, or the daemon that counts the team's operations is not available.
func (s *session) asksForSecondPart(id core.GroupID, team core.TeamID, home, overflow core.DaemonID) bool {
	return s.p.limits.split && (home == overflow || !s.p.homes.isFirstHolder(id, team, home))
}

// mayUseSecondPart reports whether this daemon gives out the second part of the team's limit for the
// session although another daemon may hold the team's slot.
func (s *session) mayUseSecondPart(team core.TeamID) bool {
	if !s.p.limits.split || s.fromEntry {
		return s.secondPart
	}
	owner := s.p.limits.slotOwner(team)
	return owner != "" && !s.p.homes.canReach(owner)
}

// isAtLimit reports whether a home has refused a statement because it has no token of its part of the
// team's limit.
func (s *session) isAtLimit(a *platform.Answer) bool {
	return s.p.limits.split && a.Code == platform.CodeBusy && strings.Contains(a.Text, textAtLimit)
}

// runsSecondPart reports whether this daemon itself gives out the second part of the limit for a
// statement over the first, and prepares the statement to run here. A daemon that is no home of the
// group, or that forwarded the statement because it lacks the members for it, does not run it.
func (s *session) runsSecondPart(j *job, a *platform.Answer) bool {
	if j.overflowed || !s.isAtLimit(a) {
		return false
	}
	if isHome, _ := s.p.homes.ownRole(j.route.Group); !isHome || s.p.lacksMembersFor(j.route, j.writes) {
		return false
	}
	l := s.p.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holdsSecond(now(), quota.SlotOf(s.p.access.teamOf(s.key))) {
		return false
	}
	j.overflowed, j.text, j.prepared = true, j.memberText, j.memberPrepared
	s.p.stats.overflowed.Add(1)
	return true
}

// shouldAskElsewhere reports whether a home has refused a statement that another home may run, and
// prepares to ask that home.
func (s *session) shouldAskElsewhere(j *job, l *link, a *platform.Answer, attempt int) bool {
	if l.isDecline(a) || !j.writes && s.tx == nil && l.isUnprovedDecline(a) {
		return s.handleDecline(l, a, attempt)
	}
	if !s.isAtLimit(a) || !s.overflowTo(j, l.home) {
		return false
	}
	s.closeLink()
	return true
}

// overflowTo prepares to send a statement to the other holder of its team's limit, as the given
// daemon has no token. It returns false if there is none, or if the other holder has been asked for
// this statement already.
func (s *session) overflowTo(j *job, over core.DaemonID) bool {
	if !s.p.limits.split {
		return false
	}
	team := s.p.access.teamOf(s.key)
	if j.overflowed {
		if over == j.overflowHome {
			s.p.homes.backOffOverLimit(over, team)
		}
		return false
	}
	other := s.p.homes.otherHolder(j.route.Group, team, over)
	if other == "" {
		return false
	}
	j.overflowed, j.overflowHome = true, other
	s.overflowHome = other
	s.p.stats.overflowed.Add(1)
	s.logDecision("over one part of the limit", "id", j.id, "team", team, "at", over, "next", other)
	return true
}

// askForSecondPart handles a home's refusal that names a daemon that this entry cannot reach: it
// prepares to ask the same home for the second part of the team's limit. It returns false if the
// daemon can be asked.
func (s *session) askForSecondPart(l *link, a *platform.Answer, team core.TeamID) bool {
	owner := parseSlotOwner(a.Text)
	if !s.p.limits.split || owner == "" || s.p.homes.canReach(owner) {
		return false
	}
	s.p.homes.setSlotOwner(team, owner)
	s.overflowHome = l.home
	s.closeLink()
	return true
}
