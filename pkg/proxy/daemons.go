package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/mirror"
	"limpetspan/core/spread"
	"limpetspan/platform"
)

// daemonEntry is what a daemon writes of itself into the store.
type daemonEntry struct {
	IP     string    `json:"ip"`
	Zone   core.Zone `json:"zone"`
	Weight float64   `json:"weight"`
}

// runRegistration has this daemon take part in the fleet, and keeps its own entry if it has
// one. It ends when a stop takes no new work any more. The entry is removed then
// and not at the end of the process: with the store slow or away that call would outlast
// the grace time, and the process would be killed in it.
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

// asDaemon is this daemon as others see it.
func (p *Proxy) asDaemon() direct.Daemon {
	return direct.Daemon{ID: p.settings.Daemon, Zone: p.settings.Zone, Weight: p.settings.Weight}
}

// join decides how this daemon takes part in the fleet, of which l is a list that may be
// old, and chooses homes by a list that is complete enough.
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
		// Its own copy serves until it knows who watches the store.
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

// chooseJoinMode says how to take part, and reads the list again while it lacks hosts that the
// fleet is known to have.
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

// chooseHomes chooses homes by the list.
func (p *Proxy) chooseHomes(l *daemonList) {
	p.peers.updateListed(l.entries)
	p.homes.setFleetKnown(l.roster)
}

// fleetChanged takes a change of the list of daemons.
func (p *Proxy) fleetChanged() {
	p.peers.updateListed(p.view.daemonList().entries)
	p.homes.update()
}

// readCompleteList reads a list of daemons that is complete enough to choose homes by it.
func (p *Proxy) readCompleteList() (*daemonList, error) {
	if p.settings.FirstStart {
		// Nobody is served yet, so that a list which may be old will do if it is complete.
		p.sleep(joinTimeout)
		l, err := p.listDaemons(p.client.ListStale)
		if _, listed := l.entry(p.settings.Daemon); err == nil && listed && l.isComplete() {
			return l, nil
		}
	}
	// After a loss of power of all hosts, with the leases lapsed, the first daemons would
	// otherwise take a large fleet for a small one, and all would open connections to all
	// members.
	for deadline := now().Add(joinTimeout); ; p.sleep(joinPollInterval) {
		l, err := p.listDaemons(p.listConsistent)
		if err != nil || l.isComplete() || now() >= deadline || !p.running() {
			return l, err
		}
	}
}

// listConsistent is a list that is not old.
func (p *Proxy) listConsistent(ctx context.Context, prefix string) ([]platform.Item, error) {
	items, _, err := p.client.List(ctx, prefix)
	return items, err
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

// registration is this daemon's own entry in the store.
type registration struct {
	p *Proxy
	// required says that others are to know this daemon.
	required bool
	// neededSince is since when the list has lacked it; 0: it does not.
	neededSince core.Time
	// lease is that of the entry, 0: there is none; renewed is when it was last asked for.
	lease     uint64
	renewedAt core.Time
	// rosterCheckedAt is when this daemon last looked whether the roster is to be written.
	rosterCheckedAt core.Time
}

// maintain writes the entry, or renews its lease when that is due.
func (r *registration) maintain(at core.Time) {
	if r.p.reregister.Swap(false) {
		r.lease = 0
	}
	if !r.required || r.lease != 0 && at.Sub(r.renewedAt) < renewalInterval {
		return
	}
	r.lease, r.renewedAt = r.register(), at
}

// register writes the entry or renews its lease; it returns the lease, 0 if there is none.
func (r *registration) register() uint64 {
	p := r.p
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	if r.lease != 0 {
		_, err := p.client.Renew(ctx, r.lease)
		if err == nil || !errors.Is(err, platform.ErrNotFound) {
			return r.lease
		}
	}
	lease, _, err := p.client.Grant(ctx, max(registrationTTL, p.settings.MinLease))
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

// requireIfNeeded registers a daemon that is not listed once the fleet lacks hosts that are fit
// to be homes. Daemons differ by their draws, so that they do not come in one moment.
func (r *registration) requireIfNeeded(at core.Time, l *daemonList) {
	p := r.p
	if r.required || !p.homes.chosen() {
		return
	}
	if direct.ChooseJoinMode(p.asDaemon(), l.daemons(), direct.Roster{Daemons: l.roster.MinSize()}) == direct.JoinAsEntry {
		r.neededSince = 0
		return
	}
	if r.neededSince == 0 {
		r.neededSince = at
	}
	wait := registrationDelay + time.Duration(spread.Unit("/needed", string(p.settings.Daemon))*float64(registrationDelay))
	if at.Sub(r.neededSince) >= wait {
		p.log.Info("daemon registers", "listed", len(l.entries))
		r.required = true
	}
}

// remove removes the entry.
func (r *registration) remove() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := r.p.client.Revoke(ctx, r.lease); err != nil {
		r.p.log.Warn("own entry stays until its lease ends", "error", err.Error())
	}
}

// daemonList is the store's list of daemons.
type daemonList struct {
	entries map[core.DaemonID]daemonEntry
	// roster is what they were when somebody last looked, rosterItem that entry.
	roster     direct.Roster
	rosterItem platform.Item
	// settledEra is the newest era of the store for which a daemon has vouched.
	settledEra mirror.Era
}

func newDaemonList() *daemonList {
	return &daemonList{entries: make(map[core.DaemonID]daemonEntry)}
}

// entry is the daemon's entry; false: the list has none, or there is no list.
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

// daemons are the daemons of the list.
func (l *daemonList) daemons() []direct.Daemon {
	list := make([]direct.Daemon, 0, len(l.entries))
	for id, e := range l.entries {
		list = append(list, direct.Daemon{ID: id, Zone: e.Zone, Weight: e.Weight})
	}
	return list
}

// isComplete says whether the list has about all daemons that can be homes.
func (l *daemonList) isComplete() bool { return l.roster.IsComplete(l.daemons()) }

// applyEra decodes for which era of the store a daemon has vouched; 0: for none.
func (p *Proxy) applyEra(item platform.Item) mirror.Era {
	var note eraRecord
	if item.Deleted {
		return 0
	}
	if err := json.Unmarshal(item.Value, &note); err != nil {
		p.log.Error("settled era cannot be read", "error", err.Error())
	}
	p.eras.attest(note)
	return note.Settled
}

// parseDaemons decodes the daemons' entries and the size of the fleet.
func (p *Proxy) parseDaemons(items []platform.Item) *daemonList {
	l := newDaemonList()
	for _, item := range items {
		p.applyDaemon(l, item)
	}
	return l
}

// applyDaemon takes one item of the list.
func (p *Proxy) applyDaemon(l *daemonList, item platform.Item) {
	if item.Key == platform.EraKey {
		l.settledEra = p.applyEra(item)
		return
	}
	if item.Key == platform.RosterKey {
		l.roster, l.rosterItem = direct.Roster{}, item
		if err := json.Unmarshal(item.Value, &l.roster); err != nil && !item.Deleted {
			p.log.Error("roster of the fleet cannot be read", "error", err.Error())
		}
		return
	}
	id := core.DaemonID(strings.TrimPrefix(item.Key, platform.DaemonsPrefix))
	if item.Deleted {
		delete(l.entries, id)
		return
	}
	var e daemonEntry
	if err := json.Unmarshal(item.Value, &e); err != nil {
		p.log.Error("daemon's entry cannot be read", "key", item.Key, "error", err.Error())
		return
	}
	l.entries[id] = e
}

// isFleetWriter says whether this daemon is the one to write what all agree on: it has the lowest id
// of those that are listed.
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

// writeRoster writes the fleet's roster if it has changed much. It is not written down with one short list: daemons that start would take the fleet
// for a small one.
func (p *Proxy) writeRoster(l *daemonList) {
	next := l.roster.Updated(l.daemons())
	if p.homes.observeSize(next.Daemons) > next.Daemons || !rosterDiffers(l.roster, next) {
		return
	}
	err := p.writeFleetEntry(platform.RosterKey, next, platform.Condition{Key: platform.RosterKey, Revision: l.rosterItem.Revision})
	p.log.Info("roster of the fleet", "daemons", next.Daemons, "fit", next.Eligible, "before", l.roster.Daemons, "error", errorText(err))
}

// writeFleetEntry writes an entry of the fleet as a whole, under the conditions.
func (p *Proxy) writeFleetEntry(key string, entry any, conditions ...platform.Condition) error {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(entry)
	if err == nil {
		_, err = p.client.Put(ctx, conditions, []platform.Write{{Key: key, Value: value}})
	}
	return err
}

// rosterDiffers says whether a daemon that starts would misjudge the fleet by the old roster.
func rosterDiffers(old, next direct.Roster) bool {
	differs := func(a, b int) bool { return math.Abs(float64(a-b)) > rosterChangeThreshold*float64(a) }
	return differs(old.Daemons, next.Daemons) || differs(old.Eligible, next.Eligible) || !maps.Equal(old.MaxWeights, next.MaxWeights)
}
