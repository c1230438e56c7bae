package group

import "limpetspan/core"

// onConfigure brings settings in force, also while requests run.
//
// Members are to be added or removed one at a time: then any majority of the
// old set and any of the new share a member, on which the fencing rests.
func (g *Group) onConfigure(ev *Configure) {
	if g.configured && ev.Revision < g.revision {
		return // A configuration never goes back.
	}
	first := !g.configured
	g.configured, g.revision = true, ev.Revision
	g.self, g.zone = ev.Self, ev.Zone
	g.maxConns, g.slots = ev.MaxConnections, ev.Slots
	if first {
		g.random.state = ev.Seed
	}
	g.setMembers(ev.Members)
	if first {
		g.delayClaim(g.tuning.ClaimDelay)
		return
	}
	if g.leadership.term != 0 {
		g.computeLease()
		g.releaseHeld()
		g.checkPrimaryLeaving()
	}
	g.scheduleAt(g.now)
	g.dispatchQueued()
}

// setMembers takes over the list of members. One that is no longer named gets
// no new work and is forgotten with its last connection.
func (g *Group) setMembers(list []Member) {
	kept := make([]*member, 0, len(list))
	for i := range list {
		m := g.memberOrRemoved(list[i].ID)
		if m == nil {
			m = &member{}
			m.probe.next = g.now
		}
		m.Member, m.removed = list[i], false
		kept = append(kept, m)
	}
	for _, m := range g.members {
		if containsMember(kept, m) {
			continue
		}
		m.removed = true
		g.closeIdle(m)
		if m.conns > 0 || m == g.leadership.primary || m == g.ballot.target {
			kept = append(kept, m)
		}
	}
	g.members = kept
}

func (g *Group) memberOrRemoved(id core.MemberID) *member {
	for _, m := range g.members {
		if m.ID == id {
			return m
		}
	}
	return nil
}

func containsMember(list []*member, m *member) bool {
	for _, x := range list {
		if x == m {
			return true
		}
	}
	return false
}
