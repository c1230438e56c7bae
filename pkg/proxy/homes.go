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
	"limpetspan/core/policy"
	"limpetspan/core/quota"
	"limpetspan/pkg/proxy/reportpb"
)

// homeTable says which daemons are homes of a group; direct.HomeTable is one.
type homeTable interface {
	Update(fleet direct.Fleet) (changed []core.GroupID)
	Homes(group core.GroupID, maxConns int) []core.DaemonID
	Forget(group core.GroupID)
	IsDirect(maxConns int) bool
	IsEligible(daemon core.DaemonID) bool
}

// homes knows which daemons reach the members of which group.
type homes struct {
	p  *Proxy
	mu sync.Mutex
	// fleetKnown is set once the list of daemons was read after this one joined it.
	fleetKnown bool
	// ready is closed once homes have been chosen for the first time.
	ready   chan struct{}
	daemons []direct.Daemon
	// size is how large the fleet is.
	size direct.FleetSize
	// catalog and chosenBy are the configuration and size by which homes were chosen last.
	catalog       *direct.Catalog
	chosenForSize int
	// lastChosenSize is chosenBy for those who do not hold the lock.
	lastChosenSize atomic.Int64
	// minMaxConns is what the members of some group take at least.
	minMaxConns int
	table       homeTable
	// ownGroups are the groups of which this daemon is a home.
	ownGroups map[core.GroupID]bool
	// slotOrders keeps the order of daemons for a slot of teams in a group until the daemons
	// or the homes change: each statement asks for it.
	slotOrders map[groupSlot][]core.DaemonID
	// slotOwners are the daemons that are known to count the operations of slots of teams, where
	// these are not the first in the order.
	slotOwners map[quota.Slot]core.DaemonID
	// backoffUntil is until when a daemon that did not answer is not asked again, avoidFor until
	// when one is not asked for a group that it does not serve.
	backoffUntil      map[core.DaemonID]core.Time
	groupBackoffUntil map[groupDaemon]core.Time
	// teamBackoffUntil is until when a daemon is not asked for a team that it has declined.
	teamBackoffUntil map[teamDaemon]core.Time
	// nextRecheck is when it may be looked next whether a daemon that is avoided lives.
	nextRecheck map[core.DaemonID]core.Time
	// lastSeen is when a daemon last answered on any link.
	lastSeen map[core.DaemonID]core.Time
}

// groupSlot is a slot of teams in a group.
type groupSlot struct {
	group core.GroupID
	slot  quota.Slot
}

// teamDaemon is a team at a daemon.
type teamDaemon struct {
	team   core.TeamID
	daemon core.DaemonID
}

// groupDaemon is a group at a daemon.
type groupDaemon struct {
	group  core.GroupID
	daemon core.DaemonID
}

func newHomes(p *Proxy) *homes {
	return &homes{p: p, ready: make(chan struct{}), table: direct.NewHomeTable(), ownGroups: make(map[core.GroupID]bool), slotOrders: make(map[groupSlot][]core.DaemonID), backoffUntil: make(map[core.DaemonID]core.Time), groupBackoffUntil: make(map[groupDaemon]core.Time), teamBackoffUntil: make(map[teamDaemon]core.Time), slotOwners: make(map[quota.Slot]core.DaemonID), lastSeen: make(map[core.DaemonID]core.Time), nextRecheck: make(map[core.DaemonID]core.Time)}
}

// update chooses the homes anew from the daemons and groups that are known now, if
// either has changed.
func (h *homes) update() {
	for _, id := range h.choose() {
		// A home reaches the members before the first caller comes, and has to know them.
		h.p.metadata.IncludeMembers()
		h.p.group(id)
	}
}

// choose is update without its consequences; it returns the groups of which this daemon has
// become a home.
func (h *homes) choose() (gained []core.GroupID) {
	catalog := h.p.catalog.Load()
	daemons := h.p.peers.daemons()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.fleetKnown {
		return nil
	}
	size := h.size.Observe(now(), max(len(daemons), h.p.view.daemonList().roster.MinSize()))
	newCatalog := h.catalog != catalog
	if !newCatalog && h.chosenForSize == size && slices.Equal(daemons, h.daemons) {
		return nil
	}
	h.catalog, h.chosenForSize, h.daemons = catalog, size, daemons
	h.lastChosenSize.Store(int64(size))
	h.slotOrders = make(map[groupSlot][]core.DaemonID)
	h.updateWatchers(size)
	if catalog == nil {
		return nil
	}
	changed := h.table.Update(direct.Fleet{Daemons: daemons, Size: size, Groups: len(catalog.Groups)})
	if newCatalog {
		changed = h.applyGroups(catalog)
	}
	gained = h.updateOwnGroups(changed)
	if len(catalog.Groups) > 0 && !h.chosen() {
		close(h.ready)
	}
	return gained
}

// applyGroups takes the groups of a new configuration, and returns all whose homes may have
// changed by it. The lock is held.
func (h *homes) applyGroups(catalog *direct.Catalog) []core.GroupID {
	h.minMaxConns = math.MaxInt
	for _, spec := range catalog.Groups {
		h.minMaxConns = min(h.minMaxConns, spec.MaxConns)
	}
	return slices.AppendSeq(slices.Collect(maps.Keys(h.ownGroups)), maps.Keys(catalog.Groups))
}

// updateOwnGroups decides for each of the groups whether this daemon is a home of it, and returns
// those of which it has become one. The lock is held.
func (h *homes) updateOwnGroups(groups []core.GroupID) (gained []core.GroupID) {
	self := h.p.settings.Daemon
	fit := h.table.IsEligible(self)
	lost := 0
	for _, id := range groups {
		_, configured := h.catalog.Groups[id]
		if !configured {
			h.table.Forget(id)
		}
		here := configured && fit && slices.Contains(h.homesOf(id), self)
		switch {
		case here && !h.ownGroups[id]:
			h.ownGroups[id] = true
			gained = append(gained, id)
		case !here && h.ownGroups[id]:
			delete(h.ownGroups, id)
			lost++
		}
	}
	if len(gained)+lost > 0 {
		h.p.log.Info("homes", "gained", len(gained), "lost", lost, "own", len(h.ownGroups), "of", len(h.catalog.Groups), "daemons", len(h.daemons))
	}
	return gained
}

// homesOf are the group's homes; the lock is held.
func (h *homes) homesOf(id core.GroupID) []core.DaemonID {
	maxConns := 0
	if h.catalog != nil {
		maxConns = h.catalog.Groups[id].MaxConns
	}
	return h.table.Homes(id, maxConns)
}

// awaitChosen waits until homes have been chosen, but not beyond the deadline. A daemon
// that starts has the configuration some 0.2 s before it knows the others. Callers that
// come meanwhile would be refused, and use up their attempts within milliseconds: after a
// loss of power of a whole fleet that was every caller of this moment.
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

// updateWatchers says who watches the store's configuration.
func (h *homes) updateWatchers(size int) {
	self := h.p.settings.Daemon
	watchers := direct.Watchers(size, h.daemons)
	if direct.IsSmallFleet(size) {
		h.p.metadata.SetFleet(true, nil)
		return
	}
	here := slices.Contains(watchers, self)
	h.p.log.Info("configuration", "watchers", len(watchers), "of", len(h.daemons), "here", here)
	h.p.metadata.SetFleet(here, direct.WatcherOrder(self, h.p.settings.Zone, watchers, h.daemons))
}

// setFleetKnown allows the choice: the list of daemons is complete enough.
func (h *homes) setFleetKnown(roster direct.Roster) {
	h.mu.Lock()
	h.fleetKnown = true
	h.size.Observe(now(), roster.Daemons)
	h.mu.Unlock()
	h.update()
}

// observeSize takes a count of the daemons and returns how large the fleet is.
func (h *homes) observeSize(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.size.Observe(now(), n)
}

// ownRole says whether this daemon is a home of the group, and how many there are.
func (h *homes) ownRole(id core.GroupID) (bool, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ownGroups[id], max(1, len(h.homesOf(id)))
}

// chosen says whether homes have been chosen at all.
func (h *homes) chosen() bool { return isClosed(h.ready) }

// allAreHomes says whether all daemons are homes of all groups.
func (h *homes) allAreHomes() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fleetKnown && (h.catalog == nil || h.table.IsDirect(h.minMaxConns))
}

// isHomeOfAny says whether this daemon is a home of any group.
func (h *homes) isHomeOfAny() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ownGroups) > 0
}

// isFirstOfAny says whether this daemon is the one to run the team's statements for one of the
// groups.
func (h *homes) isFirstOfAny(groups []*group, team core.TeamID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	return slices.ContainsFunc(groups, func(g *group) bool { return h.firstAvailable(at, g.id, team) == h.p.settings.Daemon })
}

// teamAffinity says whether the team's statements are to meet at one home of a group.
func (h *homes) teamAffinity(team core.TeamID) bool {
	return team != "" && (h.p.policy.Has(policy.GatherTeams) || h.p.limits.enabled)
}

// servesTeam says whether this daemon is the one to run the team's statements for the group, as
// far as it knows: it is a home, and where the team is gathered the first one.
func (h *homes) servesTeam(id core.GroupID, team core.TeamID) bool {
	if !h.teamAffinity(team) {
		here, _ := h.ownRole(id)
		return here
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.preferredDaemon(now(), id, team) == h.p.settings.Daemon
}

// preferredDaemon is the daemon that is known to count the team, else firstInOrder. The lock is held.
func (h *homes) preferredDaemon(at core.Time, id core.GroupID, team core.TeamID) core.DaemonID {
	if owner := h.slotOwners[quota.SlotOf(team)]; owner != "" && h.isAvailable(at, owner, id, team) {
		return owner
	}
	return h.firstAvailable(at, id, team)
}

// firstAvailable is the best daemon in the team's order that can be asked; "": there is none.
// The lock is held.
func (h *homes) firstAvailable(at core.Time, id core.GroupID, team core.TeamID) core.DaemonID {
	for _, d := range h.teamOrder(id, team) {
		if h.isAvailable(at, d, id, team) {
			return d
		}
	}
	return ""
}

// teamOrder is the team's order in the group; the lock is held.
func (h *homes) teamOrder(id core.GroupID, team core.TeamID) []core.DaemonID {
	key := groupSlot{id, quota.SlotOf(team)}
	order, ok := h.slotOrders[key]
	if !ok {
		order = direct.TeamOrder(id, key.slot, h.homesOf(id), h.daemons)
		h.slotOrders[key] = order
	}
	return order
}

// mayKeepLink says whether a link to the daemon may stay: it is a home of the group, and of a
// gathered team the first one, or none of the homes can be asked now.
func (h *homes) mayKeepLink(id core.GroupID, team core.TeamID, daemon core.DaemonID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	if h.teamAffinity(team) {
		first := h.preferredDaemon(at, id, team)
		return first == daemon || first == ""
	}
	if at < h.backoffUntil[daemon] {
		// It has answered nobody here. Each session that tried it once more would wait for
		// the whole time of a statement.
		return false
	}
	asked := false
	for _, home := range h.homesOf(id) {
		if home == daemon {
			return true
		}
		asked = asked || at >= h.backoffUntil[home]
	}
	return !asked
}

// candidates returns the daemons to ask for the group, best first, without those that
// have just failed to answer.
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

// markSeen notes that the daemon has answered.
func (h *homes) markSeen(id core.DaemonID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastSeen[id] = now()
}

// seenSince says whether the daemon has answered anybody here since a statement was sent.
func (h *homes) seenSince(id core.DaemonID, sent core.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastSeen[id] >= sent
}

// backOffIfUnseen keeps a daemon from being asked for a while that has answered nobody here
// since a statement was sent to it. One statement that takes too long, as where its
// member is slow, says nothing of the home: the entry would leave it with all its
// sessions for daemons that are no homes.
func (h *homes) backOffIfUnseen(id core.DaemonID, sent core.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastSeen[id] < sent {
		h.backoffUntil[id] = now().Add(homeBackoff)
	}
}

// sessionRefused takes that a daemon did not take a session, and why.
//
// One that lacks the session's database is asked again at once for others. Its
// configuration differs from this daemon's for a moment after each change; were it given
// up, a single caller of a new database would have the entry give up all homes of all
// groups in turn. Each entry then has daemons that are no homes reach the members, which
// refuse connections for seconds.
func (h *homes) sessionRefused(id core.DaemonID, group core.GroupID, err error) {
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

// teamDeclined keeps a daemon from being asked for a team for a moment that has told to ask
// another one.
func (h *homes) teamDeclined(id core.DaemonID, team core.TeamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.teamBackoffUntil[teamDaemon{team, id}] = now().Add(declineBackoff)
	if slot := quota.SlotOf(team); h.slotOwners[slot] == id {
		delete(h.slotOwners, slot)
	}
}

// setSlotOwner notes who counts the team's operations. Its statements go there, whoever is
// first in the order: lists of daemons differ for seconds after each change, and were each
// entry to go by its own, the slots would move to and fro between homes all that time.
func (h *homes) setSlotOwner(team core.TeamID, owner core.DaemonID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.teamBackoffUntil, teamDaemon{team, owner})
	h.slotOwners[quota.SlotOf(team)] = owner
	if at := now(); at < h.backoffUntil[owner] && at >= h.nextRecheck[owner] {
		h.nextRecheck[owner] = at.Add(homeRecheckInterval)
		go h.recheck(owner)
	}
}

// recheck has a daemon asked again at once that lives. One that was killed is back within a
// second, and nobody else may run what it counts; entries would leave it alone for longer.
func (h *homes) recheck(id core.DaemonID) {
	if h.p.isAlive(id) {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.backoffUntil, id)
	}
}

// isAvailable says whether the daemon can be asked for the team's statements in the group; the
// lock is held.
func (h *homes) isAvailable(at core.Time, id core.DaemonID, group core.GroupID, team core.TeamID) bool {
	return at >= h.backoffUntil[id] && at >= h.groupBackoffUntil[groupDaemon{group, id}] && at >= h.teamBackoffUntil[teamDaemon{team, id}]
}

// backOff keeps a daemon from being asked for a while.
func (h *homes) backOff(id core.DaemonID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.slotOwners, func(_ quota.Slot, owner core.DaemonID) bool { return owner == id })
	h.backoffUntil[id] = now().Add(homeBackoff)
}

// sharedGroups are the daemons that share groups with this one as homes, and which of the groups.
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
