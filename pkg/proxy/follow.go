package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/platform"
)

// followConfiguration keeps the catalog current. A catalog is replaced only by
// one of a higher version, whatever the store answers after a gap.
func (p *Proxy) followConfiguration() {
	after := platform.Revision(0)
	pause := storeRetry
	for p.running() {
		var err error
		if after == 0 {
			after, err = p.loadConfiguration()
		} else {
			after, err = p.watchConfiguration(after)
		}
		if err != nil && p.running() {
			p.dependency("configuration", err)
			p.sleep(pause)
			if p.catalog.Load() != nil {
				pause = min(2*pause, storeRetryMost)
			}
		} else {
			p.dependency("configuration", nil)
			pause = storeRetry
		}
	}
}

func (p *Proxy) loadConfiguration() (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	item, err := p.client.Get(ctx, platform.ConfigurationKey)
	if err != nil {
		return 0, err
	}
	p.accept(item.Value)
	return item.StoreRevision, nil
}

// watchConfiguration waits for the next change; 0 as the revision asks for a
// whole read, as after a gap in the history.
func (p *Proxy) watchConfiguration(after platform.Revision) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(p.ctx, watchWait+storeTimeout)
	defer cancel()
	events, next, err := p.client.Watch(ctx, platform.ConfigurationKey, after, watchWait)
	if errors.Is(err, platform.ErrCompacted) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	for _, e := range events {
		if e.Key == platform.ConfigurationKey && !e.Deleted {
			p.accept(e.Value)
		}
	}
	return max(after, next), nil
}

func (p *Proxy) accept(value []byte) {
	c, err := platform.ParseConfiguration(value)
	if err != nil {
		p.log.Error("configuration cannot be read", "error", err.Error())
		return
	}
	if old := p.catalog.Load(); old != nil && old.Version >= c.Version {
		return
	}
	p.catalog.Store(c)
	p.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes))
	for id, spec := range c.Groups {
		p.group(id).update(func(g *direct.Group, _ core.Time) []direct.Effect {
			g.Configure(spec)
			return nil
		})
	}
}

// followMembers reads the host list again and again. A failed read leaves what
// is known in force.
func (p *Proxy) followMembers() {
	for p.running() {
		err := p.readMembers()
		p.dependency("host list", err)
		if err != nil {
			p.sleep(2 * storeRetry)
			continue
		}
		p.sleep(membersEvery)
	}
}

func (p *Proxy) readMembers() error {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	items, _, err := p.client.List(ctx, platform.MembersPrefix)
	if err != nil {
		return err
	}
	byGroup := make(map[core.GroupID][]direct.Member)
	for _, item := range items {
		m, err := platform.ParseMember(item.Key, item.Value)
		if err != nil {
			p.log.Error("host list entry cannot be read", "error", err.Error())
			continue
		}
		byGroup[m.Group] = append(byGroup[m.Group], m)
	}
	p.listMembers(byGroup)
	return nil
}

func (p *Proxy) listMembers(byGroup map[core.GroupID][]direct.Member) {
	for id := range byGroup {
		p.group(id)
	}
	for _, g := range p.allGroups() {
		g.update(func(c *direct.Group, at core.Time) []direct.Effect {
			c.List(at, byGroup[g.id])
			return c.Tick(at)
		})
	}
	p.membersListed.Store(true)
}

// daemonEntry is what a daemon writes of itself into the store.
type daemonEntry struct {
	IP string `json:"ip"`
}

// followDaemons keeps this daemon's own entry and the list of the others.
func (p *Proxy) followDaemons() {
	var lease uint64
	var renewed, listed core.Time
	for ; p.running(); p.sleep(2 * storeRetry) {
		at := now()
		if lease == 0 || at.Sub(renewed) >= renewalEvery {
			lease = p.register(lease)
			renewed = at
		}
		if listed == 0 || at.Sub(listed) >= daemonsEvery {
			if err := p.readDaemons(); err == nil {
				listed = at
			}
		}
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := p.client.End(ctx, lease); err != nil {
			p.log.Warn("own entry stays until its lease ends", "error", err.Error())
		}
	}
}

// register writes the own entry or renews its lease; it returns the lease, 0 if
// there is none.
func (p *Proxy) register(lease uint64) uint64 {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	if lease != 0 {
		err := p.client.Renew(ctx, lease)
		if err == nil || !errors.Is(err, platform.ErrNotFound) {
			return lease
		}
	}
	lease, err := p.client.Grant(ctx, max(registrationLease, p.settings.MinLease))
	if err != nil {
		return 0
	}
	value, err := json.Marshal(daemonEntry{IP: p.settings.IP})
	if err != nil {
		return 0
	}
	if _, err := p.client.Put(ctx, nil, []platform.Write{{Key: platform.DaemonsPrefix + string(p.settings.Daemon), Value: value, Lease: lease}}); err != nil {
		p.log.Warn("own entry not written", "error", err.Error())
		return 0
	}
	return lease
}

func (p *Proxy) readDaemons() error {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	items, _, err := p.client.List(ctx, platform.DaemonsPrefix)
	if err != nil {
		return err
	}
	for _, item := range items {
		var e daemonEntry
		if err := json.Unmarshal(item.Value, &e); err != nil {
			p.log.Error("daemon's entry cannot be read", "key", item.Key, "error", err.Error())
			continue
		}
		p.peers.listed(core.DaemonID(strings.TrimPrefix(item.Key, platform.DaemonsPrefix)), e.IP)
	}
	tickets, _, err := p.client.List(ctx, platform.TicketsPrefix)
	if err != nil {
		return err
	}
	p.claims.observe(tickets)
	return nil
}
