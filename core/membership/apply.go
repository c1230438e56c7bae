package membership

import (
	"slices"

	"limpetspan/core"
)

func (r *Reducer) applyHome(u *Home) {
	if !u.valid() {
		return
	}
	h := r.homes[u.Group]
	if h == nil {
		if len(r.homes) >= MaxHomes {
			return
		}
		h = &home{Home: Home{Group: u.Group}}
		h.nameHash = hashName(string(u.Group))
		r.homes[u.Group] = h
		r.digest.homes.add(h.bucket(), h)
	} else if !u.isNewer(&h.Home) {
		return
	}
	group := h.Group
	h.Home = *u
	h.Group = group
	if m := r.members[u.Daemon]; m != nil {
		h.Daemon = m.ID // shares one copy of the string
	}
	r.updateHomeDigest(h)
	r.enqueue(h)
	r.out.Change.Homes = append(r.out.Change.Homes, group)
}

func (h *Home) isNewer(o *Home) bool {
	if h.Term != o.Term {
		return h.Term > o.Term
	}
	return h.Released && !o.Released
}

func (r *Reducer) announceTarget(addr string, leaving bool) {
	t := r.targets[addr]
	if t == nil && !leaving || t != nil && t.Leaving == leaving {
		return
	}
	u := Target{Addr: addr, Leaving: leaving, Version: 1, TTL: r.settings.TargetRetention}
	if t != nil {
		u.Version = t.Version + 1
	}
	r.applyTarget(&u)
}

func (r *Reducer) applyTarget(u *Target) {
	if !u.valid() {
		return
	}
	t := r.targets[u.Addr]
	if t == nil {
		if len(r.targets) >= MaxTargets {
			return
		}
		t = &target{Target: Target{Addr: u.Addr}}
		t.nameHash = hashName(u.Addr)
		r.targets[u.Addr] = t
		r.digest.targets.add(t.bucket(), t)
	} else if u.Version < t.Version || u.Version == t.Version && (t.Leaving || !u.Leaving) {
		return // older, or the same version and not newly leaving
	}
	t.Leaving, t.Version = u.Leaving, u.Version
	t.expires = r.now.Add(min(u.TTL, r.settings.TargetRetention))
	r.updateTargetDigest(t)
	r.enqueue(t)
	r.out.Change.Targets = true
}

// setGroups replaces the configured groups and removes the homes of all others.
func (r *Reducer) setGroups(groups []Group) {
	r.assignment.SetGroups(groups)
	r.groups = make(map[core.GroupID]struct{}, len(groups))
	for _, g := range groups {
		r.groups[g.ID] = struct{}{}
	}
	for id, h := range r.homes {
		if _, ok := r.groups[id]; !ok {
			r.removeHome(h)
			r.out.Change.Homes = append(r.out.Change.Homes, id)
			continue
		}
		r.updateHomeDigest(h)
	}
	slices.Sort(r.out.Change.Homes) // makes the effects independent of the map order
}
