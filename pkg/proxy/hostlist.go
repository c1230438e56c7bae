package proxy

import (
	"context"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/platform"
)

// hostList is the host list as it was last read. Only followMembers uses it.
type hostList struct {
	// byGroup are the readable entries, unreadable the ids of the others.
	byGroup    map[core.GroupID][]direct.Member
	unreadable []core.MemberID
	// told are the revisions of entries that were logged as unreadable.
	told map[string]platform.Revision
}

// followMembers reads the host list again and again, as long as this daemon
// reaches members. A failed read leaves what is known in force.
func (p *Proxy) followMembers() {
	for p.running() {
		pause := membersEvery
		if len(p.activeGroups()) > 0 {
			err := p.readMembers()
			p.dependency(hostListDependency, err)
			if err != nil {
				pause = 2 * storeRetry
			}
		} else if p.homes.chosen() {
			p.membersListed.Store(true)
		} else {
			pause = storeRetry / 5
		}
		p.await(pause, p.membersWanted)
	}
}

// wakeMembers has the host list read at once.
func (p *Proxy) wakeMembers() {
	select {
	case p.membersWanted <- struct{}{}:
	default:
	}
}

func (p *Proxy) readMembers() error {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	items, _, err := p.client.List(ctx, platform.MembersPrefix)
	if err != nil {
		return err
	}
	p.decodeMembers(items)
	p.listMembers()
	return nil
}

// decodeMembers sorts the entries into readable ones and others. What is wrong with an
// entry is logged once for each of its revisions, not at every read.
func (p *Proxy) decodeMembers(items []platform.Item) {
	old := p.hostList.told
	l := hostList{byGroup: make(map[core.GroupID][]direct.Member), told: make(map[string]platform.Revision)}
	for _, item := range items {
		m, err := platform.ParseMember(item.Key, item.Value)
		if err == nil {
			l.byGroup[m.Group] = append(l.byGroup[m.Group], m)
			continue
		}
		l.unreadable = append(l.unreadable, platform.MemberID(item.Key))
		l.told[item.Key] = item.Revision
		if old[item.Key] != item.Revision {
			p.log.Error("host list entry cannot be read", "revision", item.Revision, "error", err.Error())
		}
	}
	p.hostList = l
}

// listMembers tells each group its entries. Groups come from the configuration alone:
// an entry of another service names a member that nobody asks for.
func (p *Proxy) listMembers() {
	for _, g := range p.allGroups() {
		listed := p.hostList.byGroup[g.id]
		for _, id := range p.hostList.unreadable {
			listed = append(listed, direct.Member{ID: id, Group: g.id, Unreadable: true})
		}
		g.update(func(c *direct.Group, at core.Time) []direct.Effect {
			return append(c.List(at, listed), c.Tick(at)...)
		})
	}
	p.membersListed.Store(true)
}
