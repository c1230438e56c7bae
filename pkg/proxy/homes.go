package proxy

import (
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/health"
	"limpetspan/core/policy"
	"limpetspan/core/quota"
	"limpetspan/pkg/proxy/reportpb"
)

// homeTable assigns homes to groups. direct.HomeTable implements it.
type homeTable interface {
	Update(fleet direct.Fleet) (changed []core.GroupID)
	Homes(group core.GroupID, maxConns int) []core.DaemonID
	Forget(group core.GroupID)
	IsDirect(maxConns int) bool
	IsEligible(daemon core.DaemonID) bool
}

// homes holds the homes of all groups, and records which daemons this one does not ask for a while.
type homes struct {
	p  *Proxy
	mu sync.Mutex
	// fleetKnown is set once a list of daemons was read that is complete enough to choose homes.
	fleetKnown bool
	// ready is closed once homes have been chosen for the first time.
	ready chan struct{}
	// daemons are the known daemons, as of the last choice of homes.
	daemons []direct.Daemon
	// unevenHosts is set if hosts of the fleet differ in their weight.
	unevenHosts bool
	// size estimates the size of the fleet.
	size direct.FleetSize
	// catalog and chosenForSize are the configuration and the fleet size of the last choice.
	catalog       *direct.Catalog
	chosenForSize int
	// lastChosenSize equals chosenForSize and can be read without the lock.
	lastChosenSize atomic.Int64
	// minMaxConns is the smallest connection limit of the members of any group.
	minMaxConns int
	table       homeTable
	// ownGroups holds the groups of which this daemon is a home.
	ownGroups map[core.GroupID]bool
	// slotOrders caches the order of daemons for a slot of teams in a group, which each statement
	// needs, until the daemons or the homes change.
	slotOrders map[groupSlot][]core.DaemonID
	// homeOrders holds the order in which daemons are asked for a group without team affinity, and
	// burdened the daemons whose hosts are overloaded, until the daemons or the homes change.
	homeOrders map[core.GroupID][]core.DaemonID
	burdened   map[core.DaemonID]bool
	// slotOwners holds the daemons that are known to count the operations of a slot's teams. They may
	// differ from the first daemon in the slot's order.
	slotOwners map[quota.Slot]core.DaemonID
	// backoffUntil is the time until which a daemon is not asked because it did not answer, could not
	// be reached or refused all sessions.
	backoffUntil map[core.DaemonID]core.Time
	// groupBackoffUntil is the time until which a daemon is not asked for a group that it refused.
	groupBackoffUntil map[groupDaemon]core.Time
	// teamBackoffUntil is the time until which a daemon is not asked for a team that it declined.
	teamBackoffUntil map[teamDaemon]core.Time
	// overLimit holds the daemons to which no statements over another part of a team's limit are sent.
	overLimit map[teamDaemon]overLimitBackoff
	// nextRecheck is the earliest time of the next liveness check of a daemon in backoff.
	nextRecheck map[core.DaemonID]core.Time
	// lastSeen is when a daemon last answered on any link.
	lastSeen map[core.DaemonID]core.Time
	// health replaces the backoffs above where shared health is in use.
	health  *peerHealth
	hedging *hedger
}

// groupSlot identifies a slot of teams in a group.
type groupSlot struct {
	group core.GroupID
	slot  quota.Slot
}

// teamDaemon identifies a team at a daemon.
type teamDaemon struct {
	team   core.TeamID
	daemon core.DaemonID
}

// groupDaemon identifies a group at a daemon.
type groupDaemon struct {
	group  core.GroupID
	daemon core.DaemonID
}

func newHomes(p *Proxy) *homes {
	return &homes{
		p:                 p,
		ready:             make(chan struct{}),
		table:             direct.NewHomeTable(),
		ownGroups:         make(map[core.GroupID]bool),
		slotOrders:        make(map[groupSlot][]core.DaemonID),
		backoffUntil:      make(map[core.DaemonID]core.Time),
		groupBackoffUntil: make(map[groupDaemon]core.Time),
		teamBackoffUntil:  make(map[teamDaemon]core.Time),
		slotOwners:        make(map[quota.Slot]core.DaemonID),
		lastSeen:          make(map[core.DaemonID]core.Time),
		nextRecheck:       make(map[core.DaemonID]core.Time),
		health:            newPeerHealth(p),
		hedging:           newHedger(),
		homeOrders:        make(map[core.GroupID][]core.DaemonID),
		overLimit:         make(map[teamDaemon]overLimitBackoff),
	}
}

// update chooses the homes again if the known daemons or groups have changed.
func (h *homes) update() {
	for _, id := range h.choose() {
		// A home connects to the members before the first caller needs them.
		h.p.metadata.IncludeMembers()
		h.p.group(id)
	}
}

// choose chooses the homes and returns the groups of which this daemon has become a home.
func (h *homes) choose() (gained []core.GroupID) {
	catalog := h.p.catalog.Load()
	daemons := h.p.peers.daemons()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.fleetKnown {
		return nil
	}
	size := h.size.Observe(now(), max(len(daemons), h.p.view.daemonList().roster.MinSize()))
	// The roster may change while the known daemons do not.
	h.updateUnevenHosts(daemons)
	newCatalog := h.catalog != catalog
	if !newCatalog && h.chosenForSize == size && slices.Equal(daemons, h.daemons) {
		return nil
	}
	h.catalog, h.chosenForSize, h.daemons = catalog, size, daemons
	h.lastChosenSize.Store(int64(size))
	h.slotOrders = make(map[groupSlot][]core.DaemonID)
	h.updateBurdened()
	h.health.retain(daemons)
	h.updateWatchers(size)
	if catalog == nil {
		return nil
	}
	changed := h.table.Update(direct.Fleet{Daemons: daemons, Size: size, Groups: len(catalog.Groups)})
	if newCatalog {
		h.hedging.retain(catalog.Routes)
		changed = h.applyGroups(catalog)
	}
	h.health.forwards.Store(!h.table.IsDirect(h.minMaxConns))
	gained = h.updateOwnGroups(changed)
	if len(catalog.Groups) > 0 && !h.chosen() {
		close(h.ready)
	}
	return gained
}

// applyGroups applies the groups of a new configuration, and returns those whose homes may have
// changed with it. The lock is held.
func (h *homes) applyGroups(catalog *direct.Catalog) []core.GroupID {
	h.minMaxConns = math.MaxInt
	for _, spec := range catalog.Groups {
		h.minMaxConns = min(h.minMaxConns, spec.MaxConns)
	}
	return slices.AppendSeq(slices.Collect(maps.Keys(h.ownGroups)), maps.Keys(catalog.Groups))
}

// updateOwnGroups updates for each of the groups whether this daemon is a home of it, and returns
// those of which it has become a home. The lock is held.
func (h *homes) updateOwnGroups(groups []core.GroupID) (gained []core.GroupID) {
	self := h.p.settings.Daemon
	eligible := h.table.IsEligible(self)
	lost := 0
	for _, id := range groups {
		_, configured := h.catalog.Groups[id]
		if !configured {
			h.table.Forget(id)
		}
		isHome := configured && eligible && slices.Contains(h.homesOf(id), self)
		switch {
		case isHome && !h.ownGroups[id]:
			h.ownGroups[id] = true
			gained = append(gained, id)
		case !isHome && h.ownGroups[id]:
			delete(h.ownGroups, id)
			lost++
		}
	}
	if len(gained)+lost > 0 {
		h.p.log.Info("homes", "gained", len(gained), "lost", lost, "own", len(h.ownGroups), "of", len(h.catalog.Groups), "daemons", len(h.daemons))
	}
	return gained
}

// homesOf returns the group's homes. The lock is held.
func (h *homes) homesOf(id core.GroupID) []core.DaemonID {
	maxConns := 0
	if h.catalog != nil {
		maxConns = h.catalog.Groups[id].MaxConns
	}
	return h.table.Homes(id, maxConns)
}

// awaitChosen waits until homes have been chosen, or until the deadline. A starting daemon receives
// the configuration about 0.2 s before the list of daemons. Callers that connect in between would
// otherwise be refused and use up their attempts within milliseconds. After a power failure of a
// whole fleet, this affected all callers.
func (h *homes) awaitChosen(deadline core.Time) {
	if h.chosen() {
		return
	}
	timer := time.NewTimer(until(deadline, 0))
	defer timer.Stop()
	select {
	case <-h.ready:
	case <-timer.C:
	case <-h.p.done:
	}
}

// updateWatchers chooses the daemons that watch the store's configuration, and passes them to the copy
// of the store. The lock is held.
func (h *homes) updateWatchers(size int) {
	self := h.p.settings.Daemon
	watchers := direct.Watchers(size, h.daemons)
	if direct.IsSmallFleet(size) {
		h.p.metadata.SetFleet(true, nil)
		return
	}
	isWatcher := slices.Contains(watchers, self)
	h.p.log.Info("configuration", "watchers", len(watchers), "of", len(h.daemons), "here", isWatcher)
	h.p.metadata.SetFleet(isWatcher, direct.WatcherOrder(self, h.p.settings.Zone, watchers, h.daemons))
}

// setFleetKnown records that the list of daemons is complete enough, and chooses homes.
func (h *homes) setFleetKnown(roster direct.Roster) {
	h.mu.Lock()
	h.fleetKnown = true
	h.size.Observe(now(), roster.Daemons)
	h.mu.Unlock()
	h.update()
}

// observeSize records a count of the daemons and returns the estimated size of the fleet.
func (h *homes) observeSize(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.size.Observe(now(), n)
}

// ownRole reports whether this daemon is a home of the group, and returns the number of homes, which
// is at least 1.
func (h *homes) ownRole(id core.GroupID) (bool, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ownGroups[id], max(1, len(h.homesOf(id)))
}

// updateUnevenHosts updates whether hosts differ. The lock is held.
func (h *homes) updateUnevenHosts(daemons []direct.Daemon) {
	h.unevenHosts = h.p.view.daemonList().roster.HasUnevenHosts(daemons)
}

// sharesLoad reports whether the group's homes may tell each other their load of its members: the
// group has several homes that are not all daemons. unevenHosts is set if hosts of the fleet differ in
// their weight.
func (h *homes) sharesLoad(id core.GroupID) (severalHomes, unevenHosts bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.catalog == nil || !h.fleetKnown {
		return false, false
	}
	severalHomes = !h.table.IsDirect(h.catalog.Groups[id].MaxConns) && len(h.homesOf(id)) > 1
	return severalHomes, h.unevenHosts
}

// chosen reports whether homes have been chosen at least once.
func (h *homes) chosen() bool { return isClosed(h.ready) }

// allAreHomes reports whether all daemons are homes of all groups.
func (h *homes) allAreHomes() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fleetKnown && (h.catalog == nil || h.table.IsDirect(h.minMaxConns))
}

// isHomeOfAny reports whether this daemon is a home of any group.
func (h *homes) isHomeOfAny() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ownGroups) > 0
}

// isFirstOfAny reports whether this daemon is the first available one in the team's order for any of
// the groups.
func (h *homes) isFirstOfAny(groups []*group, team core.TeamID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	return slices.ContainsFunc(groups, func(g *group) bool { return h.firstAvailable(at, g.id, team) == h.p.settings.Daemon })
}

// teamAffinity reports whether all statements of the team in a group are sent to one home.
func (h *homes) teamAffinity(team core.TeamID) bool {
	return team != "" && (h.p.policy.Has(policy.GatherTeams) || h.p.limits.enabled)
}

// servesTeam reports whether, as far as this daemon knows, it runs the team's statements for the
// group itself: it is a home or, with team affinity, the team's preferred daemon.
func (h *homes) servesTeam(id core.GroupID, team core.TeamID) bool {
	if !h.teamAffinity(team) {
		isHome, _ := h.ownRole(id)
		return isHome
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.preferredDaemon(now(), id, team) == h.p.settings.Daemon
}

// preferredDaemon returns the daemon that is known to count the team's operations, if it is
// available, else the first available daemon in the team's order. The lock is held.
func (h *homes) preferredDaemon(at core.Time, id core.GroupID, team core.TeamID) core.DaemonID {
	if owner := h.slotOwners[quota.SlotOf(team)]; owner != "" && h.isAvailable(at, owner, id, team) {
		return owner
	}
	return h.firstAvailable(at, id, team)
}

// firstAvailable returns the first available daemon in the team's order, "" if there is none. The
// lock is held.
func (h *homes) firstAvailable(at core.Time, id core.GroupID, team core.TeamID) core.DaemonID {
	for _, d := range h.teamOrder(id, team) {
		if h.isAvailable(at, d, id, team) {
			return d
		}
	}
	return ""
}

// teamOrder returns the order in which daemons are asked for the team in the group. The lock is held.
func (h *homes) teamOrder(id core.GroupID, team core.TeamID) []core.DaemonID {
	key := groupSlot{id, quota.SlotOf(team)}
	order, ok := h.slotOrders[key]
	if !ok {
		order = direct.TeamOrder(id, key.slot, h.homesOf(id), h.daemons)
		h.slotOrders[key] = order
	}
	return order
}

// mayKeepLink reports whether a session may keep its link to the daemon.
//
// With team affinity, it may if the daemon is the preferred one, or if no daemon is available for the
// team. Without it, the daemon must not be in backoff, and must be a home of the group unless all its
// homes are in backoff.
func (h *homes) mayKeepLink(id core.GroupID, team core.TeamID, daemon core.DaemonID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	if h.teamAffinity(team) {
		preferred := h.preferredDaemon(at, id, team)
		return preferred == daemon || preferred == "" || h.isFirstIfSlow(at, id, team, daemon)
	}
	if !h.isReachable(at, daemon) && !h.isSlowToConnect(at, daemon, health.Scope{}) {
		// Each session that asked the unresponsive daemon again would wait for its statement's whole
		// timeout.
		return false
	}
	available := false
	for _, home := range h.homesOf(id) {
		if home == daemon {
			return !h.burdened[daemon] || h.firstHome(at, id) == daemon
		}
		available = available || h.isReachable(at, home)
	}
	return !available
}

// isFirstIfSlow reports whether the daemon is slow to connect and would be the preferred one for the team
// otherwise. The lock is held.
func (h *homes) isFirstIfSlow(at core.Time, id core.GroupID, team core.TeamID, daemon core.DaemonID) bool {
	if !h.isSlowToConnect(at, daemon, health.Scope{Group: id, Team: team}) {
		return false
	}
	if owner := h.slotOwners[quota.SlotOf(team)]; owner == daemon || owner != "" && h.isAvailable(at, owner, id, team) {
		return owner == daemon
	}
	for _, d := range h.teamOrder(id, team) {
		if d == daemon || h.isAvailable(at, d, id, team) {
			return d == daemon
		}
	}
	return false
}

// isSlowToConnect reports whether nothing is known against the daemon but that links to it opened
// slowly, which concerns new links only. The lock is held.
func (h *homes) isSlowToConnect(at core.Time, id core.DaemonID, s health.Scope) bool {
	return h.health.enabled() && h.health.isSlowToConnect(at, id, s)
}

// isReachable reports whether no backoff of the daemon itself applies. The lock is held.
func (h *homes) isReachable(at core.Time, id core.DaemonID) bool {
	if h.health.enabled() {
		return h.health.isReachable(at, id)
	}
	return at >= h.backoffUntil[id]
}

// order returns the other daemons that may be asked for the group, best first, whether or not they are
// in backoff.
func (h *homes) order(id core.GroupID, team core.TeamID) []core.DaemonID {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.teamAffinity(team) {
		return h.homeOrder(id)
	}
	list := slices.Clone(h.teamOrder(id, team))
	if owner := h.slotOwners[quota.SlotOf(team)]; owner != "" {
		list = slices.Insert(slices.DeleteFunc(list, func(d core.DaemonID) bool { return d == owner }), 0, owner)
	}
	return slices.DeleteFunc(list, func(d core.DaemonID) bool { return d == h.p.settings.Daemon })
}

// homeOrder returns the order in which daemons are asked for the group without team affinity. The lock
// is held.
func (h *homes) homeOrder(id core.GroupID) []core.DaemonID {
	order, ok := h.homeOrders[id]
	if !ok {
		order = direct.HomeOrder(id, h.p.settings.Daemon, h.p.settings.Zone, h.homesOf(id), h.daemons)
		h.homeOrders[id] = order
	}
	return order
}

// firstHome returns the first available daemon in the group's order, "" if there is none. The lock is
// held.
func (h *homes) firstHome(at core.Time, id core.GroupID) core.DaemonID {
	for _, d := range h.homeOrder(id) {
		if h.isAvailable(at, d, id, "") {
			return d
		}
	}
	return ""
}

// updateBurdened records the overloaded daemons. The lock is held.
func (h *homes) updateBurdened() {
	h.homeOrders, h.burdened = make(map[core.GroupID][]core.DaemonID), make(map[core.DaemonID]bool)
	for _, d := range h.daemons {
		if d.Burden > 0 {
			h.burdened[d.ID] = true
		}
	}
}

// areHomesByLoad reports whether this daemon is a home in a fleet in which homes are chosen by load:
// not all daemons are homes, and hosts differ in their weight.
func (h *homes) areHomesByLoad() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.catalog == nil || !h.fleetKnown || len(h.ownGroups) == 0 || h.table.IsDirect(h.minMaxConns) {
		return false
	}
	return h.p.view.daemonList().roster.HasUnevenHosts(h.daemons)
}

// candidates returns the available other daemons to ask for the group, best first.
func (h *homes) candidates(id core.GroupID, team core.TeamID) []core.DaemonID {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	var list []core.DaemonID
	if h.teamAffinity(team) {
		list = slices.Clone(h.teamOrder(id, team))
		if owner := h.slotOwners[quota.SlotOf(team)]; owner != "" {
			list = slices.Insert(list, 0, owner)
		}
	} else {
		list = direct.HomeOrder(id, h.p.settings.Daemon, h.p.settings.Zone, h.homesOf(id), h.daemons)
	}
	return slices.DeleteFunc(list, func(d core.DaemonID) bool {
		return d == h.p.settings.Daemon || !h.isAvailable(at, d, id, team)
	})
}

// answered records that the daemon has answered a statement that was sent at the given time.
func (h *homes) answered(id core.DaemonID, sent core.Time) {
	h.markSeen(id)
	if h.health.enabled() {
		h.health.answered(id, sent)
	}
}

// markSeen records that the daemon has answered.
func (h *homes) markSeen(id core.DaemonID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastSeen[id] = now()
}

// seenSince reports whether the daemon has answered any session here since a statement was sent.
func (h *homes) seenSince(id core.DaemonID, sent core.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastSeen[id] >= sent
}

// backOffIfUnseen starts a backoff for a daemon that has answered no session here since a statement
// was sent to it. A daemon that has answered others is not down: the single statement may be slow
// because of its member. A backoff would then move all sessions of this entry to daemons that are not
// homes.
func (h *homes) backOffIfUnseen(id core.DaemonID, sent core.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastSeen[id] < sent {
		h.backoffUntil[id] = now().Add(homeBackoff)
	}
}

// sessionRefused handles a daemon's refusal of a session, or a failure to reach the daemon.
//
// A daemon that lacks the session's database gets no backoff. Its configuration differs from this
// daemon's for a moment after each change. With a backoff, a single caller of a new database would
// make the entry exclude all homes of all groups in turn. Each entry would then ask daemons that
// are not homes, which connect to the members as well, and members would refuse connections for
// seconds.
func (h *homes) sessionRefused(id core.DaemonID, group core.GroupID, err error) {
	if h.health.enabled() {
		h.health.sessionRefused(id, group, err)
		return
	}
	var r *linkRefusal
	if !errors.As(err, &r) || r.kind == reportpb.Refusal_REFUSAL_DAEMON {
		h.backOff(id)
		return
	}
	if r.kind == reportpb.Refusal_REFUSAL_GROUP {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.groupBackoffUntil[groupDaemon{group, id}] = now().Add(homeBackoff)
	}
}

// teamDeclined starts a backoff for the team at a daemon that has declined to count the team's
// operations.
func (h *homes) teamDeclined(id core.DaemonID, team core.TeamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.health.enabled() {
		h.health.teamDeclined(id, team)
	} else {
		h.teamBackoffUntil[teamDaemon{team, id}] = now().Add(declineBackoff)
	}
	if slot := quota.SlotOf(team); h.slotOwners[slot] == id {
		delete(h.slotOwners, slot)
	}
}

// setSlotOwner records which daemon counts the team's operations. The team's statements are sent
// there, whichever daemon is first in the order. The daemons' lists differ for seconds after each
// change, and if each entry used its own order, slots would move back and forth between homes during
// that time.
func (h *homes) setSlotOwner(team core.TeamID, owner core.DaemonID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.teamBackoffUntil, teamDaemon{team, owner})
	h.slotOwners[quota.SlotOf(team)] = owner
	if h.health.enabled() {
		h.health.ownerNamed(owner, team)
		return
	}
	if at := now(); at < h.backoffUntil[owner] && at >= h.nextRecheck[owner] {
		h.nextRecheck[owner] = at.Add(homeRecheckInterval)
		go h.recheck(owner)
	}
}

// recheck ends the backoff of a slot's owner early if the owner is alive. No other daemon may run the
// statements that it counts, and a killed daemon restarts within a second, before its backoff ends.
func (h *homes) recheck(id core.DaemonID) {
	if h.p.isAlive(id) {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.backoffUntil, id)
	}
}

// isAvailable reports whether the daemon may be asked for the team's statements in the group, which
// is the case if no backoff applies. The lock is held.
func (h *homes) isAvailable(at core.Time, id core.DaemonID, group core.GroupID, team core.TeamID) bool {
	if h.health.enabled() {
		return h.health.isUsable(at, id, health.Scope{Group: group, Team: team})
	}
	return at >= h.backoffUntil[id] && at >= h.groupBackoffUntil[groupDaemon{group, id}] && at >= h.teamBackoffUntil[teamDaemon{team, id}]
}

// backOff starts a backoff for a daemon and forgets which slots it owns.
func (h *homes) backOff(id core.DaemonID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.slotOwners, func(_ quota.Slot, owner core.DaemonID) bool { return owner == id })
	h.backoffUntil[id] = now().Add(homeBackoff)
}

// sharedGroups returns the daemons that are homes of any of the groups together with this one, each
// with these groups.
func (h *homes) sharedGroups(groups []core.GroupID) map[core.DaemonID][]core.GroupID {
	h.mu.Lock()
	defer h.mu.Unlock()
	shared := make(map[core.DaemonID][]core.GroupID)
	for _, id := range groups {
		if !h.ownGroups[id] {
			continue
		}
		for _, d := range h.homesOf(id) {
			shared[d] = append(shared[d], id)
		}
	}
	delete(shared, h.p.settings.Daemon)
	return shared
}
