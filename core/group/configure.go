package group

import "limpetspan/core"

// onConfigure applies new settings, also while requests run.
//
// Members must be added or removed one at a time. Only then does any majority of
// the old set share a member with any majority of the new one, as fencing
// requires.
func (g *Group) onConfigure(ev *Configure) {
	if g.configured && ev.Revision < g.revision {
		return // A configuration never goes back to an older revision.
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

// setMembers applies a new list of members. A member that is no longer listed
// gets no new work. It is kept, marked as removed, as long as it has connections,
// is the primary or is the target of the ballot.
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

// memberOrRemoved returns the member with the given ID, even if it was removed
// from the configuration, or nil.
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
