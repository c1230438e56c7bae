package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/mirror"
	"limpetspan/core/spread"
	"limpetspan/platform"
)

// runRegistration joins the fleet, maintains this daemon's entry if it has one, and writes the
// records of the fleet if this daemon is the one to do so. It ends once a planned stop accepts no
// more work, and then removes the entry. At the end of the process that would be too late: if the
// store is slow or down, the call could outlast the grace period, and the process would be killed.
func (p *Proxy) runRegistration() {
	r := &registration{p: p}
	select {
	case l := <-p.initialDaemons:
		p.join(r, l)
	case <-p.done:
		return
	}
	for ; !p.closing(); p.sleepInterruptible(fleetCheckInterval, p.closed) {
		at := now()
		r.maintain(at)
		r.updateBurden(at, p.hostLoad.observe(at))
		if p.peers.expireUnlisted(at) {
			p.homes.update()
		}
		l := p.view.daemonList()
		r.requireIfNeeded(at, l)
		if at.Sub(r.rosterCheckedAt) >= rosterCheckInterval && p.isFleetWriter(l) {
			r.rosterCheckedAt = at
			p.writeRoster(l)
			p.writeEraRecord(l)
		}
	}
	r.remove()
}

// asDaemon returns this daemon's description, as in the list of daemons.
func (p *Proxy) asDaemon() direct.Daemon {
	return direct.Daemon{ID: p.settings.Daemon, Zone: p.settings.Zone, Weight: p.settings.Weight}
}

// join decides how this daemon joins the fleet, registers it if it may become a home, and chooses
// homes from a list of daemons that is complete enough. l is the first list and may be stale.
func (p *Proxy) join(r *registration, l *daemonList) {
	l, joining := p.chooseJoinMode(l)
	if joining == direct.JoinAsEntry {
		p.chooseHomes(l)
		return
	}
	r.required = true
	if !p.settings.FirstStart && l.roster.Daemons > 0 && l.isComplete() {
		p.chooseHomes(l)
		r.maintain(now())
		return
	}
	if !p.settings.FirstStart {
		// The daemon watches the store itself until it knows the watchers.
		p.metadata.SetFleet(true, nil)
	}
	r.maintain(now())
	for p.running() {
		first, err := p.readCompleteList()
		if err == nil {
			p.chooseHomes(first)
			return
		}
		p.sleepInterruptible(firstListRetryInterval, p.closed)
		r.maintain(now())
	}
}

// chooseJoinMode returns how to join the fleet, and the list on which that is based. It reads the
// list again while it lacks hosts that the fleet is known to have. After maxWeakHostPolls reads this
// daemon joins as a home.
func (p *Proxy) chooseJoinMode(l *daemonList) (*daemonList, direct.JoinMode) {
	for range maxWeakHostPolls {
		joining := direct.ChooseJoinMode(p.asDaemon(), l.daemons(), l.roster)
		if joining != direct.JoinUndecided || !p.running() {
			return l, joining
		}
		p.sleep(weakHostPollInterval + time.Duration(rand.Float64()*float64(weakHostPollInterval)))
		if next, err := p.listDaemons(p.client.ListStale); err == nil {
			l = next
		}
	}
	return l, direct.JoinAsHome
}

// chooseHomes applies the list and chooses homes for the first time.
func (p *Proxy) chooseHomes(l *daemonList) {
	p.peers.updateListed(l.entries)
	p.homes.setFleetKnown(l.roster)
}

// fleetChanged handles a change of the list of daemons.
func (p *Proxy) fleetChanged() {
	p.peers.updateListed(p.view.daemonList().entries)
	p.homes.update()
}

// readCompleteList reads the list of daemons until it is complete enough to choose homes from it.
// After joinTimeout it returns the list even if it is incomplete.
func (p *Proxy) readCompleteList() (*daemonList, error) {
	if p.settings.FirstStart {
		// No caller is served yet, so a stale list suffices if it is complete.
		p.sleep(joinTimeout)
		l, err := p.listDaemons(p.client.ListStale)
		if _, listed := l.entry(p.settings.Daemon); err == nil && listed && l.isComplete() {
			return l, nil
		}
	}
	// An incomplete list is read again. After a power failure of all hosts, when the leases of the
	// entries have expired, the first daemons to start would otherwise treat a large fleet as a small
	// one, and all of them would open connections to all members.
	for deadline := now().Add(joinTimeout); ; p.sleep(joinPollInterval) {
		l, err := p.listDaemons(p.listConsistent)
		if err != nil || l.isComplete() || now() >= deadline || !p.running() {
			return l, err
		}
	}
}

// listConsistent reads the items under the prefix. The result is not stale.
func (p *Proxy) listConsistent(ctx context.Context, prefix string) ([]platform.Item, error) {
	items, _, err := p.client.List(ctx, prefix)
	return items, err
}

// listDaemons reads the list of daemons with read, which is a stale or a consistent call.
func (p *Proxy) listDaemons(read func(context.Context, string) ([]platform.Item, error)) (*daemonList, error) {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	items, err := read(ctx, platform.FleetPrefix)
	if err != nil {
		return nil, err
	}
	return p.parseDaemons(items), nil
}

// registration is the state of this daemon's entry in the store.
type registration struct {
	p *Proxy
	// required is set if this daemon must have an entry.
	required bool
	// neededSince is the time since which the list has lacked eligible hosts while this daemon had no
	// entry, 0 if it lacks none.
	neededSince core.Time
	// lease is the lease of the entry, 0 if there is no entry.
	lease uint64
	// renewedAt is when this daemon last tried to write the entry or to renew its lease. writtenAt is when
	// it last wrote the entry.
	renewedAt, writtenAt core.Time
	// rosterCheckedAt is when this daemon last checked the roster and did not have to write it, or
	// wrote it.
	rosterCheckedAt core.Time
	// burden is the burden in the entry, burdenTriedAt when this daemon last tried to change it.
	burden        direct.Burden
	burdenTriedAt core.Time
}

// maintain writes the entry if it is required, and renews its lease when that is due.
func (r *registration) maintain(at core.Time) {
	if r.p.reregister.Swap(false) {
		r.lease = 0
	}
	if !r.required || r.lease != 0 && at.Sub(r.renewedAt) < renewalInterval {
		return
	}
	r.lease, r.renewedAt = r.register(), at
}

// register writes the entry or renews its lease. It returns the lease, 0 if there is none.
func (r *registration) register() uint64 {
	p := r.p
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	if r.lease != 0 {
		_, err := p.client.Renew(ctx, r.lease)
		if err == nil && r.isOverwritten() {
			return r.write(ctx, r.lease)
		}
		if err == nil || !errors.Is(err, platform.ErrNotFound) {
			return r.lease
		}
	}
	lease, _, err := p.client.Grant(ctx, max(registrationTTL, p.settings.MinLease))
	if err != nil {
		return 0
	}
	return r.write(ctx, lease)
}

// isOverwritten reports whether a list that was read after this daemon wrote its entry lacks the entry:
// another writer has removed it, or has replaced it by something that cannot be decoded.
func (r *registration) isOverwritten() bool {
	l, asOf := r.p.view.daemonListAsOf()
	_, listed := l.entry(r.p.settings.Daemon)
	return !listed && asOf > r.writtenAt
}

// write writes the entry under the lease. It returns the lease, 0 if the entry was not written.
func (r *registration) write(ctx context.Context, lease uint64) uint64 {
	value, err := json.Marshal(r.entry(r.burden))
	if err == nil {
		_, err = r.p.client.Put(ctx, nil, []platform.Write{{Key: platform.DaemonsPrefix + string(r.p.settings.Daemon), Value: value, Lease: lease}})
	}
	if err != nil {
		r.p.log.Warn("the daemon's own entry was not written", "error", err.Error())
		return 0
	}
	r.writtenAt = now()
	return lease
}

// requireIfNeeded makes an unlisted daemon register once the list has lacked hosts that are eligible
// as homes for a while. The delay depends on a hash of the daemon's ID, so that not all daemons
// register at the same time.
func (r *registration) requireIfNeeded(at core.Time, l *daemonList) {
	p := r.p
	if r.required || !p.homes.chosen() {
		return
	}
	if direct.ChooseJoinMode(p.asDaemon(), l.daemons(), direct.Roster{Daemons: l.roster.MinSize()}) == direct.JoinAsEntry {
		r.neededSince = 0
		r.recordUneven(at, l)
		return
	}
	if r.neededSince == 0 {
		r.neededSince = at
	}
	wait := registrationDelay + time.Duration(spread.Unit("/needed", string(p.settings.Daemon))*float64(registrationDelay))
	if at.Sub(r.neededSince) >= wait {
		p.log.Info("registering the daemon, as the list lacks eligible hosts", "listed", len(l.entries))
		r.required = true
	}
}

// recordUneven records in the roster that the fleet has weak hosts such as this daemon's, which the
// list does not contain. The delay depends on a hash of the daemon's ID, so that one daemon writes and
// most others see it.
func (r *registration) recordUneven(at core.Time, l *daemonList) {
	p := r.p
	next := l.roster.WithEntry(p.asDaemon())
	if l.roster.Daemons == 0 || next.Uneven == l.roster.Uneven || r.rosterCheckedAt == 0 {
		r.rosterCheckedAt = at
		return
	}
	wait := rosterCheckInterval + time.Duration(spread.Unit("/uneven", string(p.settings.Daemon))*float64(rosterCheckInterval))
	if at.Sub(r.rosterCheckedAt) < wait {
		return
	}
	r.rosterCheckedAt = at
	p.putRoster(l, next)
}

// remove removes the entry by revoking its lease.
func (r *registration) remove() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := r.p.client.Revoke(ctx, r.lease); err != nil {
		r.p.log.Warn("the daemon's own entry was not removed and stays until its lease expires", "error", err.Error())
	}
}

// daemonList is the store's list of daemons.
type daemonList struct {
	entries map[core.DaemonID]daemonEntry
	// roster is the fleet's last recorded roster, and rosterItem its item in the store.
	roster     direct.Roster
	rosterItem platform.Item
	// rosterUnreadable is set if rosterItem cannot be decoded; roster is then an earlier one.
	rosterUnreadable bool
	// settledEra is the newest era of the store that a daemon has attested as settled.
	settledEra mirror.Era
}

func newDaemonList() *daemonList {
	return &daemonList{entries: make(map[core.DaemonID]daemonEntry)}
}

// entry returns the daemon's entry, false if the list has none. l may be nil.
func (l *daemonList) entry(id core.DaemonID) (daemonEntry, bool) {
	if l == nil {
		return daemonEntry{}, false
	}
	e, ok := l.entries[id]
	return e, ok
}

func (l *daemonList) clone() *daemonList {
	c := *l
	c.entries = maps.Clone(l.entries)
	return &c
}

// daemons returns the daemons of the list.
func (l *daemonList) daemons() []direct.Daemon {
	list := make([]direct.Daemon, 0, len(l.entries))
	for id, e := range l.entries {
		list = append(list, direct.Daemon{ID: id, Zone: e.Zone, Weight: e.Weight, Burden: e.Burden})
	}
	return list
}

// isComplete reports whether the list has nearly all daemons that can be homes.
func (l *daemonList) isComplete() bool { return l.roster.IsComplete(l.daemons()) }

// parseDaemons decodes the items under platform.FleetPrefix.
func (p *Proxy) parseDaemons(items []platform.Item) *daemonList {
	l := newDaemonList()
	for _, item := range items {
		p.applyDaemon(l, item)
	}
	return l
}

// applyDaemon applies one item under platform.FleetPrefix to the list: a daemon's entry, the roster or
// the settled era.
func (p *Proxy) applyDaemon(l *daemonList, item platform.Item) {
	switch item.Key {
	case platform.EraKey:
		l.settledEra = p.applyEra(item)
	case platform.RosterKey:
		p.applyRoster(l, item)
	default:
		p.applyEntry(l, item)
	}
}

// isFleetWriter reports whether this daemon writes the records of the fleet. The listed daemon with
// the lowest ID does.
func (p *Proxy) isFleetWriter(l *daemonList) bool {
	if _, listed := l.entries[p.settings.Daemon]; !listed {
		return false
	}
	for id := range l.entries {
		if id < p.settings.Daemon {
			return false
		}
	}
	return true
}

// writeRoster writes the fleet's roster if rosterDiffers reports a relevant change. A smaller roster
// is written only once the estimated size of the fleet has shrunk, too. After a single incomplete
// list, starting daemons would otherwise treat the fleet as a small one.
func (p *Proxy) writeRoster(l *daemonList) {
	next := l.roster.Updated(l.daemons())
	if p.homes.observeSize(next.Daemons) > next.Daemons || !l.rosterUnreadable && !rosterDiffers(l.roster, next) {
		return
	}
	p.putRoster(l, next)
}

// putRoster writes the fleet's roster if it has not changed since the list was read.
func (p *Proxy) putRoster(l *daemonList, next direct.Roster) {
	err := p.writeFleetRecord(platform.RosterKey, next, platform.Condition{Key: platform.RosterKey, Revision: l.rosterItem.Revision})
	p.log.Info("roster of the fleet", "daemons", next.Daemons, "fit", next.Eligible, "uneven", next.Uneven, "before", l.roster.Daemons, "error", errorText(err))
}

// writeFleetRecord writes a record of the fleet, under the conditions.
func (p *Proxy) writeFleetRecord(key string, entry any, conditions ...platform.Condition) error {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(entry)
	if err == nil {
		_, err = p.client.Put(ctx, conditions, []platform.Write{{Key: key, Value: value}})
	}
	return err
}

// rosterDiffers reports whether the old roster would mislead a starting daemon.
func rosterDiffers(old, next direct.Roster) bool {
	differs := func(a, b int) bool { return math.Abs(float64(a-b)) > rosterChangeThreshold*float64(a) }
	return differs(old.Daemons, next.Daemons) || differs(old.Eligible, next.Eligible) || old.Uneven != next.Uneven || !maps.Equal(old.MaxWeights, next.MaxWeights)
}
