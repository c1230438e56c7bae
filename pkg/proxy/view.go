package proxy

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/pkg/proxy/metadata"
	"limpetspan/platform"
)

// view is what the items of the daemon's copy of the store mean: the members of groups, the
// other daemons and the promotion locks. It decodes each item once, when it changes, and
// tells the groups that are in use here.
type view struct {
	p *Proxy
	// installing lets one configuration at a time be put in force.
	installMu sync.Mutex

	mu sync.Mutex
	// listed are the entries of members, of groups those of each group. An entry that has
	// become unreadable stays with the group that it had.
	members        map[core.MemberID]direct.Member
	membersByGroup map[core.GroupID]map[core.MemberID]bool
	locks          map[core.GroupID]platform.Item
	// daemons is replaced by each change.
	daemons *daemonList
	// hasMembers is set once the copy holds members; asOf is as of when it is complete.
	hasMembers bool
	asOf       core.Time
}

func newView(p *Proxy) *view {
	return &view{
		p: p, members: make(map[core.MemberID]direct.Member), membersByGroup: make(map[core.GroupID]map[core.MemberID]bool),
		locks: make(map[core.GroupID]platform.Item), daemons: newDaemonList(),
	}
}

// Addr implements metadata.Owner.
func (v *view) Addr(id core.DaemonID) (string, bool) { return v.p.peers.homeAddr(id) }

// ReportDependency implements metadata.Owner.
func (v *view) ReportDependency(name string, err error) { v.p.reportDependency(name, err) }

// DaemonsListed implements metadata.Owner.
func (v *view) DaemonsListed(items []platform.Item) {
	v.p.initialDaemons <- v.p.parseDaemons(items)
}

// effects are what a change of the copy means for the daemon.
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
}

// apply decodes the items of a change.
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
			v.locks[id], e.locks[id] = item, true
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

// applyMember takes a change of a member's entry, and notes the groups that it concerns; the
// lock is held.
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
		v.p.log.Error("host list entry cannot be read", "revision", item.Revision, "error", err.Error())
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

// ProofAdvanced implements metadata.Owner.
func (v *view) ProofAdvanced(at core.Time) {
	v.mu.Lock()
	v.asOf = max(v.asOf, at)
	has := v.hasMembers
	v.mu.Unlock()
	if !has {
		return
	}
	for _, g := range v.p.activeGroups() {
		g.mu.Lock()
		g.core.ConfirmMembers(at)
		g.mu.Unlock()
	}
}

// tell tells a group its entries, and its promotion lock if that has changed.
func (v *view) updateGroup(g *group, lock bool) {
	listed, asOf, ok := v.membersOf(g.id)
	if !ok {
		return
	}
	seen, readable := v.lockState(g.id)
	// Before the era has settled a copy may lack a claim that is still acted on.
	readable = readable && v.p.eras.isSettled()
	g.update(func(c *direct.Group, at core.Time) []direct.Effect {
		effects := c.UpdateMembers(at, asOf, listed)
		if lock && readable {
			effects = append(effects, c.LockRead(at, asOf, seen)...)
		}
		return append(effects, c.Tick(at)...)
	})
}

// membersOf are the entries of the group, and as of when they are complete; false: members
// are not known yet.
func (v *view) membersOf(id core.GroupID) ([]direct.Member, core.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]direct.Member, 0, len(v.membersByGroup[id]))
	for _, member := range slices.Sorted(maps.Keys(v.membersByGroup[id])) {
		list = append(list, v.members[member])
	}
	return list, v.asOf, v.hasMembers
}

// lockOf is the group's promotion lock; false: it cannot be read.
func (v *view) lockState(id core.GroupID) (direct.LockState, bool) {
	v.mu.Lock()
	item, ok := v.locks[id]
	v.mu.Unlock()
	return v.p.claims.lockState(item, ok && !item.Deleted)
}

// knowsMembers says whether the copy holds members.
func (v *view) membersKnown() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hasMembers
}

// current says whether the copy holds members as they were a moment ago.
func (v *view) isCurrent(at core.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hasMembers && at.Sub(v.asOf) < maxMembersAge
}

func (v *view) daemonList() *daemonList {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.daemons
}
