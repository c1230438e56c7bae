package proxy

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strings"
	"sync"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/pkg/proxy/metadata"
	"limpetspan/platform"
)

// view is the decoded content of the daemon's copy of the store: the members of groups, the other
// daemons and the promotion locks. It decodes each item once, when it changes, and passes changes to
// the groups that this daemon uses.
type view struct {
	p *Proxy
	// installMu serializes changes of the configuration in force.
	installMu sync.Mutex

	mu sync.Mutex
	// members holds the decoded entries of members, membersByGroup the members of each group. A member
	// whose entry has become unreadable stays in its group.
	members        map[core.MemberID]direct.Member
	membersByGroup map[core.GroupID]map[core.MemberID]bool
	locks          map[core.GroupID]platform.Item
	// unprovedLocks are the groups whose changed promotion lock was passed to them, with the time as of
	// which the copy was known to be complete then. Only the goroutine of Copy.Run uses it.
	unprovedLocks map[core.GroupID]core.Time
	// daemons is replaced, not modified, by each change.
	daemons *daemonList
	// hasMembers is set once the copy holds members. asOf is the time as of which the copy is complete.
	hasMembers bool
	asOf       core.Time
	// unreadable is the digest of the last configuration that cannot be decoded.
	unreadable [sha256.Size]byte
}

func newView(p *Proxy) *view {
	return &view{
		p: p, members: make(map[core.MemberID]direct.Member), membersByGroup: make(map[core.GroupID]map[core.MemberID]bool),
		locks: make(map[core.GroupID]platform.Item), daemons: newDaemonList(),
		unprovedLocks: make(map[core.GroupID]core.Time),
	}
}

// Addr implements metadata.Owner.
func (v *view) Addr(id core.DaemonID) (string, bool) { return v.p.peers.homeAddr(id) }

// ReportDependency implements metadata.Owner.
func (v *view) ReportDependency(name string, err error) { v.p.dependencies.report(name, now(), err) }

// WatchUnusable implements metadata.Owner.
func (v *view) WatchUnusable(reason error) {
	v.p.stats.watchesUnusable.Add(1)
	v.p.log.Warn("watch of the store cannot be used; the copy is loaded", "reason", boundText(reason.Error()))
}

// DaemonsListed implements metadata.Owner.
func (v *view) DaemonsListed(items []platform.Item) {
	v.p.initialDaemons <- v.p.parseDaemons(items)
}

// changeEffects says what a change of the copy affects: the groups with changed members, those with
// a changed promotion lock, and the list of daemons.
type changeEffects struct {
	members map[core.GroupID]bool
	locks   map[core.GroupID]bool
	daemons bool
}

// Changed implements metadata.Owner.
func (v *view) Changed(change metadata.Change) {
	e := v.apply(change)
	if e.daemons {
		v.p.fleetChanged()
	}
	for _, g := range v.p.allGroups() {
		switch {
		case change.Full && change.HasMembers:
			v.updateGroup(g, true)
		case e.members[g.id] || e.locks[g.id]:
			v.updateGroup(g, e.locks[g.id])
		}
	}
	for id := range e.locks {
		v.unprovedLocks[id] = change.AsOf
	}
	for _, item := range change.Items {
		if strings.HasPrefix(item.Key, platform.LocksPrefix) {
			v.p.claims.recheckOverwritten(item)
		}
	}
}

// apply decodes the items of a change and returns what it affects.
func (v *view) apply(change metadata.Change) changeEffects {
	e := changeEffects{members: make(map[core.GroupID]bool), locks: make(map[core.GroupID]bool)}
	var locks []platform.Item
	daemons := v.daemonList()
	v.mu.Lock()
	for _, item := range change.Items {
		switch {
		case strings.HasPrefix(item.Key, platform.MembersPrefix):
			v.applyMember(item, e.members)
		case strings.HasPrefix(item.Key, platform.LocksPrefix):
			id := groupOfLock(item)
			e.locks[id] = true
			if v.locks[id] = item; item.Deleted {
				delete(v.locks, id)
			}
			locks = append(locks, item)
		default:
			if !e.daemons {
				daemons, e.daemons = daemons.clone(), true
			}
			v.p.applyDaemon(daemons, item)
		}
	}
	v.daemons = daemons
	v.hasMembers = v.hasMembers || change.HasMembers
	v.asOf = max(v.asOf, change.AsOf)
	v.mu.Unlock()
	v.p.claims.observe(locks)
	return e
}

// applyMember applies a change of a member's entry, and adds the groups that it affects to affected.
// The lock is held.
func (v *view) applyMember(item platform.Item, affected map[core.GroupID]bool) {
	id := platform.MemberID(item.Key)
	old, known := v.members[id]
	if known {
		affected[old.Group] = true
		delete(v.membersByGroup[old.Group], id)
		delete(v.members, id)
	}
	if item.Deleted {
		return
	}
	m, err := platform.ParseMember(item.Key, item.Value)
	if err != nil {
		v.p.unreadable.report(kindMember, item, err)
		if !known {
			return
		}
		m = direct.Member{ID: id, Group: old.Group, Unreadable: true}
	}
	affected[m.Group] = true
	if v.membersByGroup[m.Group] == nil {
		v.membersByGroup[m.Group] = make(map[core.MemberID]bool)
	}
	v.membersByGroup[m.Group][id] = true
	v.members[id] = m
}

// ProofAdvanced implements metadata.Owner. A promotion lock that was passed to its group as of an earlier
// time is passed again, as it now shows that there was no later one until the proof.
func (v *view) ProofAdvanced(at core.Time) {
	v.mu.Lock()
	v.asOf = max(v.asOf, at)
	has := v.hasMembers
	v.mu.Unlock()
	if !has {
		return
	}
	for _, g := range v.p.allGroups() {
		if asOf, changed := v.unprovedLocks[g.id]; changed && asOf < at {
			v.updateGroup(g, true)
		}
	}
	clear(v.unprovedLocks)
	for _, g := range v.p.activeGroups() {
		g.mu.Lock()
		g.core.ConfirmMembers(at)
		g.mu.Unlock()
	}
}

// updateGroup passes a group's members to its reducer, and its promotion lock if that has changed.
func (v *view) updateGroup(g *group, lockChanged bool) {
	members, asOf, ok := v.membersOf(g.id)
	if !ok {
		return
	}
	state, readable := v.lockState(g.id)
	// Before the era has settled, the copy may lack a claim that its holder still acts on.
	readable = readable && v.p.eras.isSettled()
	g.update(func(c *direct.Group, at core.Time) []direct.Effect {
		effects := c.UpdateMembers(at, asOf, members)
		if lockChanged && readable {
			effects = append(effects, c.LockRead(at, asOf, state)...)
		}
		return append(effects, c.Tick(at)...)
	})
}

// membersOf returns the members of the group and the time as of which they are complete. It returns
// false if no members are known yet.
func (v *view) membersOf(id core.GroupID) ([]direct.Member, core.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]direct.Member, 0, len(v.membersByGroup[id]))
	for _, member := range slices.Sorted(maps.Keys(v.membersByGroup[id])) {
		list = append(list, v.members[member])
	}
	return list, v.asOf, v.hasMembers
}

// lockState returns the state of the group's promotion lock, false if it must not be acted on.
func (v *view) lockState(id core.GroupID) (direct.LockState, bool) {
	v.mu.Lock()
	item, ok := v.locks[id]
	v.mu.Unlock()
	return v.p.claims.lockState(item, ok)
}

// membersKnown reports whether the copy holds members.
func (v *view) membersKnown() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hasMembers
}

// isCurrent reports whether the copy holds members and was complete less than maxMembersAge ago.
func (v *view) isCurrent(at core.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hasMembers && at.Sub(v.asOf) < maxMembersAge
}

// daemonList returns the current list of daemons.
func (v *view) daemonList() *daemonList {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.daemons
}

// daemonListAsOf returns the current list of daemons and the time as of which it is complete.
func (v *view) daemonListAsOf() (*daemonList, core.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.daemons, v.asOf
}
