package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"strings"
	"time"

	"limpetspan/core"
	"limpetspan/platform"
)

// daemonEntry is what a daemon writes of itself into the store.
type daemonEntry struct {
	IP     string    `json:"ip"`
	Zone   core.Zone `json:"zone"`
	Weight float64   `json:"weight"`
}

// followDaemons keeps this daemon's own entry and the list of the others. It begins
// once the store has answered a read of the configuration: while the store is away, that
// one tries for all, as a fleet that starts would otherwise fall upon it with each of
// its calls. It ends when a stop takes no new work any more. The entry is removed then
// and not at the end of the process: with the store slow or away that call would outlast
// the grace time, and the process would be killed in it.
func (p *Proxy) followDaemons() {
	select {
	case <-p.configuration.reached:
	case <-p.done:
		return
	}
	var lease uint64
	var renewed, listed core.Time
	pause := firstRetry
	for ; !p.closing(); p.await(pause, p.closed) {
		at := now()
		if lease == 0 || at.Sub(renewed) >= renewalEvery {
			lease = p.register(lease)
			renewed = at
		}
		switch {
		case listed == 0:
			if p.join(lease) {
				listed, pause = at, 2*storeRetry
			}
		case at.Sub(listed) >= p.daemonsPause():
			if p.relist() {
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

// join reads the list of daemons for the first time, chooses homes by it, and reads the
// promotion locks if this daemon is one; false: the store did not answer.
func (p *Proxy) join(lease uint64) bool {
	l, err := p.firstList(lease)
	if err != nil {
		return false
	}
	p.peers.listed(l.entries)
	p.homes.decide(l.size)
	p.wakeMembers()
	return len(p.activeGroups()) == 0 || p.tellLocks(storeTimeout) == nil
}

// firstList reads a list of daemons that is complete enough to choose homes by it.
func (p *Proxy) firstList(lease uint64) (*daemonList, error) {
	if p.settings.FirstStart {
		p.sleep(joinWait)
		return p.ownEntryListed(lease)
	}
	// After a loss of power of all hosts, with the leases lapsed, the first daemons would
	// otherwise take a large fleet for a small one, and all would open connections to all
	// members.
	for deadline := now().Add(joinWait); ; p.sleep(joinPause) {
		l, err := p.listDaemons(p.listCurrent)
		if err != nil || l.complete() || now() >= deadline || !p.running() {
			return l, err
		}
	}
}

// ownEntryListed reads a list of daemons that may be old, but has this daemon's entry.
// Nobody is served yet where the whole fleet starts for the first time. A daemon that
// starts later pays for a current list at once: old ones lack it for some 0.2 s, in which
// after a loss of power no caller is served.
func (p *Proxy) ownEntryListed(lease uint64) (*daemonList, error) {
	for range staleTries {
		if lease == 0 || !p.running() {
			break
		}
		if l, err := p.listDaemons(p.client.ListStale); err == nil && l.leases[p.settings.Daemon] == lease {
			return l, nil
		}
		p.sleep(joinPause)
	}
	return p.listDaemons(p.listCurrent)
}

// listCurrent is a list that is not old.
func (p *Proxy) listCurrent(ctx context.Context, prefix string) ([]platform.Item, error) {
	items, _, err := p.client.List(ctx, prefix)
	return items, err
}

// relist reads the list of daemons again, which may be old; false: the store did not
// answer. Only homes promote, and only they look since when promotion locks have stood.
func (p *Proxy) relist() bool {
	l, err := p.listDaemons(p.client.ListStale)
	if err != nil {
		return false
	}
	p.peers.listed(l.entries)
	p.noteSize(l)
	p.homes.update()
	return len(p.activeGroups()) == 0 || p.observeLocks() == nil
}

// daemonsPause is the pause between reads of the list of daemons. Where reports
// reach all of them, the list tells little that is new; nor does it while a relay, which
// goes on reading it, has the same.
func (p *Proxy) daemonsPause() time.Duration {
	switch {
	case p.homes.everywhere():
		return daemonsEvery
	case p.peers.agrees():
		return daemonsAgreed
	}
	return daemonsEvery / 3
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
	value, err := json.Marshal(daemonEntry{IP: p.settings.IP, Zone: p.settings.Zone, Weight: p.settings.Weight})
	if err != nil {
		return 0
	}
	if _, err := p.client.Put(ctx, nil, []platform.Write{{Key: platform.DaemonsPrefix + string(p.settings.Daemon), Value: value, Lease: lease}}); err != nil {
		p.log.Warn("own entry not written", "error", err.Error())
		return 0
	}
	return lease
}

// daemonList is the store's list of daemons.
type daemonList struct {
	entries map[core.DaemonID]daemonEntry
	// leases are those of the entries.
	leases map[core.DaemonID]uint64
	// size is how many there were when somebody last counted, sizeRevision that entry's.
	size         int
	sizeRevision platform.Revision
}

// complete says whether the list has about as many daemons as there last were.
func (l *daemonList) complete() bool {
	return float64(len(l.entries)) >= joinShare*float64(l.size)
}

// listDaemons reads the list of daemons.
func (p *Proxy) listDaemons(read func(context.Context, string) ([]platform.Item, error)) (*daemonList, error) {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	items, err := read(ctx, platform.FleetPrefix)
	if err != nil {
		return nil, err
	}
	return p.parseDaemons(items), nil
}

// observeLocks reads since when promotion locks have stood; what it reads may be old.
func (p *Proxy) observeLocks() error {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	locks, err := p.client.ListStale(ctx, platform.LocksPrefix)
	if err == nil {
		p.claims.observe(locks)
	}
	return err
}

// tellLocks reads the promotion locks as they are now: groups may use their primaries by what
// they say.
func (p *Proxy) tellLocks(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	sent := now()
	locks, _, err := p.client.List(ctx, platform.LocksPrefix)
	if err == nil {
		p.claims.observe(locks)
		p.claims.tell(sent, locks)
	}
	return err
}

// parseDaemons decodes the daemons' entries and the size of the fleet.
func (p *Proxy) parseDaemons(items []platform.Item) *daemonList {
	l := &daemonList{entries: make(map[core.DaemonID]daemonEntry), leases: make(map[core.DaemonID]uint64)}
	for _, item := range items {
		if item.Key == platform.FleetSizeKey {
			if err := json.Unmarshal(item.Value, &l.size); err != nil {
				p.log.Error("size of the fleet cannot be read", "error", err.Error())
			}
			l.sizeRevision = item.Revision
			continue
		}
		var e daemonEntry
		if err := json.Unmarshal(item.Value, &e); err != nil {
			p.log.Error("daemon's entry cannot be read", "key", item.Key, "error", err.Error())
			continue
		}
		id := core.DaemonID(strings.TrimPrefix(item.Key, platform.DaemonsPrefix))
		l.entries[id], l.leases[id] = e, item.Lease
	}
	return l
}

// noteSize has the daemon with the lowest id write the fleet's size if it has
// changed much. It is not written down with one short list: daemons that start would take
// the fleet for a small one.
func (p *Proxy) noteSize(l *daemonList) {
	for id := range l.entries {
		if id < p.settings.Daemon {
			return
		}
	}
	size := p.homes.fleetSize(len(l.entries))
	if math.Abs(float64(size-l.size)) <= sizeChange*float64(l.size) {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(size)
	if err == nil {
		_, err = p.client.Put(ctx, []platform.Condition{{Key: platform.FleetSizeKey, Revision: l.sizeRevision}},
			[]platform.Write{{Key: platform.FleetSizeKey, Value: value}})
	}
	p.log.Info("size of the fleet", "daemons", size, "before", l.size, "error", errorText(err))
}
