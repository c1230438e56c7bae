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
	// decided is set once the list of daemons was read after this one joined it.
	decided bool
	// ready is closed once homes have been chosen for the first time.
	ready   chan struct{}
	daemons []direct.Daemon
	// size is how large the fleet is.
	size direct.FleetSize
	// catalog and chosenBy are the configuration and size by which homes were chosen last.
	catalog  *direct.Catalog
	chosenBy int
	// lastSize is chosenBy for those who do not hold the lock.
	lastSize atomic.Int64
	// leastConns is what the members of some group take at least.
	leastConns int
	table      homeTable
	// own are the groups of which this daemon is a home.
	own map[core.GroupID]bool
	// slotOrders keeps the order of daemons for a slot of teams in a group until the daemons
	// or the homes change: each statement asks for it.
	slotOrders map[slotGroup][]core.DaemonID
	// owners are the daemons that are known to count the operations of slots of teams, where
	// these are not the first in the order.
	owners map[quota.Slot]core.DaemonID
	// avoid is until when a daemon that did not answer is not asked again, avoidFor until
	// when one is not asked for a group that it does not serve.
	avoid    map[core.DaemonID]core.Time
	avoidFor map[groupAt]core.Time
	// avoidTeam is until when a daemon is not asked for a team that it has declined.
	avoidTeam map[teamAt]core.Time
	// recheckAt is when it may be looked next whether a daemon that is avoided lives.
	recheckAt map[core.DaemonID]core.Time
	// heardAt is when a daemon last answered on any link.
	heardAt map[core.DaemonID]core.Time
}

// slotGroup is a slot of teams in a group.
type slotGroup struct {
	group core.GroupID
	slot  quota.Slot
}

// teamAt is a team at a daemon.
type teamAt struct {
	team   core.TeamID
	daemon core.DaemonID
}

// groupAt is a group at a daemon.
type groupAt struct {
	group  core.GroupID
	daemon core.DaemonID
}

func newHomes(p *Proxy) *homes {
	return &homes{p: p, ready: make(chan struct{}), table: direct.NewHomeTable(), own: make(map[core.GroupID]bool), slotOrders: make(map[slotGroup][]core.DaemonID), avoid: make(map[core.DaemonID]core.Time), avoidFor: make(map[groupAt]core.Time), avoidTeam: make(map[teamAt]core.Time), owners: make(map[quota.Slot]core.DaemonID), heardAt: make(map[core.DaemonID]core.Time), recheckAt: make(map[core.DaemonID]core.Time)}
}

// update chooses the homes anew from the daemons and groups that are known now, if
// either has changed.
func (h *homes) update() {
	for _, id := range h.choose() {
		// A home reaches the members before the first caller comes, and has to know them.
		h.p.metadata.Widen()
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
	if !h.decided {
		return nil
	}
	size := h.size.Observe(now(), max(len(daemons), h.p.view.daemonList().roster.MinSize()))
	newCatalog := h.catalog != catalog
	if !newCatalog && h.chosenBy == size && slices.Equal(daemons, h.daemons) {
		return nil
	}
	h.catalog, h.chosenBy, h.daemons = catalog, size, daemons
	h.lastSize.Store(int64(size))
	h.slotOrders = make(map[slotGroup][]core.DaemonID)
	h.chooseWatchers(size)
	if catalog == nil {
		return nil
	}
	changed := h.table.Update(direct.Fleet{Daemons: daemons, Size: size, Groups: len(catalog.Groups)})
	if newCatalog {
		changed = h.takeGroups(catalog)
	}
	gained = h.chooseOwn(changed)
	if len(catalog.Groups) > 0 && !h.chosen() {
		close(h.ready)
	}
	return gained
}

// takeGroups takes the groups of a new configuration, and returns all whose homes may have
// changed by it. The lock is held.
func (h *homes) takeGroups(catalog *direct.Catalog) []core.GroupID {
	h.leastConns = math.MaxInt
	for _, spec := range catalog.Groups {
		h.leastConns = min(h.leastConns, spec.MaxConns)
	}
	return slices.AppendSeq(slices.Collect(maps.Keys(h.own)), maps.Keys(catalog.Groups))
}

// chooseOwn decides for each of the groups whether this daemon is a home of it, and returns
// those of which it has become one. The lock is held.
func (h *homes) chooseOwn(groups []core.GroupID) (gained []core.GroupID) {
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
		case here && !h.own[id]:
			h.own[id] = true
			gained = append(gained, id)
		case !here && h.own[id]:
			delete(h.own, id)
			lost++
		}
	}
	if len(gained)+lost > 0 {
		h.p.log.Info("homes", "gained", len(gained), "lost", lost, "own", len(h.own), "of", len(h.catalog.Groups), "daemons", len(h.daemons))
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

// awaitChoice waits until homes have been chosen, but not beyond the deadline. A daemon
// that starts has the configuration some 0.2 s before it knows the others. Callers that
// come meanwhile would be refused, and use up their attempts within milliseconds: after a
// loss of power of a whole fleet that was every caller of this moment.
func (h *homes) awaitChoice(deadline core.Time) {
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

// chooseWatchers says who watches the store's configuration.
func (h *homes) chooseWatchers(size int) {
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

// decide allows the choice: the list of daemons is complete enough.
func (h *homes) decide(roster direct.Roster) {
	h.mu.Lock()
	h.decided = true
	h.size.Observe(now(), roster.Daemons)
	h.mu.Unlock()
	h.update()
}

// fleetSize takes a count of the daemons and returns how large the fleet is.
func (h *homes) fleetSize(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.size.Observe(now(), n)
}

// here says whether this daemon is a home of the group, and how many there are.
func (h *homes) here(id core.GroupID) (bool, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.own[id], max(1, len(h.homesOf(id)))
}

// chosen says whether homes have been chosen at all.
func (h *homes) chosen() bool { return isClosed(h.ready) }

// everywhere says whether all daemons are homes of all groups.
func (h *homes) everywhere() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.decided && (h.catalog == nil || h.table.IsDirect(h.leastConns))
}

// anywhere says whether this daemon is a home of any group.
func (h *homes) anywhere() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.own) > 0
}

// firstOfAny says whether this daemon is the one to run the team's statements for one of the
// groups.
func (h *homes) firstOfAny(groups []*group, team core.TeamID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	return slices.ContainsFunc(groups, func(g *group) bool { return h.firstInOrder(at, g.id, team) == h.p.settings.Daemon })
}

// gathers says whether the team's statements are to meet at one home of a group.
func (h *homes) gathers(team core.TeamID) bool {
	return team != "" && (h.p.policy.Has(policy.GatherTeams) || h.p.limits.inForce)
}

// serves says whether this daemon is the one to run the team's statements for the group, as
// far as it knows: it is a home, and where the team is gathered the first one.
func (h *homes) serves(id core.GroupID, team core.TeamID) bool {
	if !h.gathers(team) {
		here, _ := h.here(id)
		return here
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.first(now(), id, team) == h.p.settings.Daemon
}

// first is the daemon that is known to count the team, else firstInOrder. The lock is held.
func (h *homes) first(at core.Time, id core.GroupID, team core.TeamID) core.DaemonID {
	if owner := h.owners[quota.SlotOf(team)]; owner != "" && h.asked(at, owner, id, team) {
		return owner
	}
	return h.firstInOrder(at, id, team)
}

// firstInOrder is the best daemon in the team's order that can be asked; "": there is none.
// The lock is held.
func (h *homes) firstInOrder(at core.Time, id core.GroupID, team core.TeamID) core.DaemonID {
	for _, d := range h.teamOrder(id, team) {
		if h.asked(at, d, id, team) {
			return d
		}
	}
	return ""
}

// teamOrder is the team's order in the group; the lock is held.
func (h *homes) teamOrder(id core.GroupID, team core.TeamID) []core.DaemonID {
	key := slotGroup{id, quota.SlotOf(team)}
	order, ok := h.slotOrders[key]
	if !ok {
		order = direct.TeamOrder(id, key.slot, h.homesOf(id), h.daemons)
		h.slotOrders[key] = order
	}
	return order
}

// is says whether a link to the daemon may stay: it is a home of the group, and of a
// gathered team the first one, or none of the homes can be asked now.
func (h *homes) is(id core.GroupID, team core.TeamID, daemon core.DaemonID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	if h.gathers(team) {
		first := h.first(at, id, team)
		return first == daemon || first == ""
	}
	if at < h.avoid[daemon] {
		// It has answered nobody here. Each session that tried it once more would wait for
		// the whole time of a statement.
		return false
	}
	asked := false
	for _, home := range h.homesOf(id) {
		if home == daemon {
			return true
		}
		asked = asked || at >= h.avoid[home]
	}
	return !asked
}

// order returns the daemons to ask for the group, best first, without those that
// have just failed to answer.
func (h *homes) order(id core.GroupID, team core.TeamID) []core.DaemonID {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	var list []core.DaemonID
	if h.gathers(team) {
		list = slices.Clone(h.teamOrder(id, team))
		if owner := h.owners[quota.SlotOf(team)]; owner != "" {
			list = slices.Insert(list, 0, owner)
		}
	} else {
		list = direct.HomeOrder(id, h.p.settings.Daemon, h.p.settings.Zone, h.homesOf(id), h.daemons)
	}
	return slices.DeleteFunc(list, func(d core.DaemonID) bool {
		return d == h.p.settings.Daemon || !h.asked(at, d, id, team)
	})
}

// heard notes that the daemon has answered.
func (h *homes) heard(id core.DaemonID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heardAt[id] = now()
}

// answers says whether the daemon has answered anybody here since a statement was sent.
func (h *homes) answers(id core.DaemonID, sent core.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heardAt[id] >= sent
}

// silent keeps a daemon from being asked for a while that has answered nobody here
// since a statement was sent to it. One statement that takes too long, as where its
// member is slow, says nothing of the home: the entry would leave it with all its
// sessions for daemons that are no homes.
func (h *homes) silent(id core.DaemonID, sent core.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.heardAt[id] < sent {
		h.avoid[id] = now().Add(avoidHome)
	}
}

// refusedBy takes that a daemon did not take a session, and why.
//
// One that lacks the session's database is asked again at once for others. Its
// configuration differs from this daemon's for a moment after each change; were it given
// up, a single caller of a new database would have the entry give up all homes of all
// groups in turn. Each entry then has daemons that are no homes reach the members, which
// refuse connections for seconds.
func (h *homes) refusedBy(id core.DaemonID, group core.GroupID, err error) {
	var r *refusal
	if !errors.As(err, &r) || r.kind == reportpb.Refusal_REFUSAL_DAEMON {
		h.failed(id)
		return
	}
	if r.kind == reportpb.Refusal_REFUSAL_GROUP {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.avoidFor[groupAt{group, id}] = now().Add(avoidHome)
	}
}

// declined keeps a daemon from being asked for a team for a moment that has told to ask
// another one.
func (h *homes) declined(id core.DaemonID, team core.TeamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoidTeam[teamAt{team, id}] = now().Add(declinedFor)
	if slot := quota.SlotOf(team); h.owners[slot] == id {
		delete(h.owners, slot)
	}
}

// countedAt notes who counts the team's operations. Its statements go there, whoever is
// first in the order: lists of daemons differ for seconds after each change, and were each
// entry to go by its own, the slots would move to and fro between homes all that time.
func (h *homes) countedAt(team core.TeamID, owner core.DaemonID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.avoidTeam, teamAt{team, owner})
	h.owners[quota.SlotOf(team)] = owner
	if at := now(); at < h.avoid[owner] && at >= h.recheckAt[owner] {
		h.recheckAt[owner] = at.Add(recheckEvery)
		go h.recheck(owner)
	}
}

// recheck has a daemon asked again at once that lives. One that was killed is back within a
// second, and nobody else may run what it counts; entries would leave it alone for longer.
func (h *homes) recheck(id core.DaemonID) {
	if h.p.lives(id) {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.avoid, id)
	}
}

// asked says whether the daemon can be asked for the team's statements in the group; the
// lock is held.
func (h *homes) asked(at core.Time, id core.DaemonID, group core.GroupID, team core.TeamID) bool {
	return at >= h.avoid[id] && at >= h.avoidFor[groupAt{group, id}] && at >= h.avoidTeam[teamAt{team, id}]
}

// failed keeps a daemon from being asked for a while.
func (h *homes) failed(id core.DaemonID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.owners, func(_ quota.Slot, owner core.DaemonID) bool { return owner == id })
	h.avoid[id] = now().Add(avoidHome)
}

// partners are the daemons that share groups with this one as homes, and which of the groups.
func (h *homes) partners(groups []core.GroupID) map[core.DaemonID][]core.GroupID {
	h.mu.Lock()
	defer h.mu.Unlock()
	shared := make(map[core.DaemonID][]core.GroupID)
	for _, id := range groups {
		if !h.own[id] {
			continue
		}
		for _, d := range h.homesOf(id) {
			shared[d] = append(shared[d], id)
		}
	}
	delete(shared, h.p.settings.Daemon)
	return shared
}
