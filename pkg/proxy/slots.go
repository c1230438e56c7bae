package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strconv"
	"strings"
	"time"

	"limpetspan/core"
	"limpetspan/core/mirror"
	"limpetspan/core/quota"
	"limpetspan/platform"
)

// run executes the holder's steps until the daemon accepts no new work, and then releases all
// slots.
func (l *limits) run() {
	if !l.enabled {
		return
	}
	var checkedAt core.Time
	for !l.p.closing() {
		if at := now(); at.Sub(checkedAt) >= slotCheckInterval {
			checkedAt = at
			l.releaseUnassigned()
		}
		l.requestAssigned()
		settled := l.p.eras.isSettled()
		l.mu.Lock()
		step := l.holder.Next(now(), settled)
		l.mu.Unlock()
		if step.Kind == quota.Pause {
			l.pause(step.Wait)
			continue
		}
		err := l.execute(step)
		l.p.dependencies.report("slots of teams", now(), err)
	}
	l.mu.Lock()
	lease := l.holder.Close()
	l.mu.Unlock()
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := l.p.client.Revoke(ctx, lease); err != nil {
			l.p.log.Warn("slots of teams are held until their lease expires", "error", err.Error())
		}
	}
}

// pause waits for the duration, or until notify is called or the daemon accepts no new work.
func (l *limits) pause(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.signal:
	case <-l.p.closed:
	}
}

// requestAssigned requests all slots that are assigned to this daemon once any slot is requested.
// After a start the daemon's callers connect one after the other within half a second, and otherwise
// each new team among them would cost a call to the store.
func (l *limits) requestAssigned() {
	l.mu.Lock()
	requested := l.holder.HasRequests()
	l.mu.Unlock()
	if !requested {
		return
	}
	assigned := l.assignedSlots()
	second := l.assignedSecondSlots()
	l.mu.Lock()
	defer l.mu.Unlock()
	at := now()
	for slot := range assigned {
		l.holder.Request(at, slot)
	}
	l.requestFreeSecond(at, second)
}

// assignedSlots returns the slots that this daemon should hold according to its list of daemons.
func (l *limits) assignedSlots() map[quota.Slot]bool {
	assigned := make(map[quota.Slot]bool)
	catalog := l.p.catalog.Load()
	if catalog == nil || catalog.Teams == nil {
		return assigned
	}
	groups := l.p.activeGroups()
	for _, id := range catalog.Teams.IDs() {
		if l.p.homes.isFirstOfAny(groups, id) {
			assigned[quota.SlotOf(id)] = true
		}
	}
	return assigned
}

// releaseUnassigned releases slots that are assigned to another daemon. A home releases them once
// no operation has requested them for unusedSlotRetention, as entries follow the holder wherever
// it is. A daemon that took them as a fallback while no home was reachable releases them
// fallbackSlotRetention after it took them, used or not.
func (l *limits) releaseUnassigned() {
	l.mu.Lock()
	held := l.holder.Held()
	l.mu.Unlock()
	isHome := l.p.homes.isHomeOfAny()
	if len(held) == 0 && !(l.split && isHome) {
		return
	}
	assigned, second, at := l.assignedSlots(), l.assignedSecondSlots(), now()
	maps.Copy(assigned, second)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseUnusedBursts(at, held)
	for _, s := range held {
		unused := at.Sub(s.RequestedAt) >= unusedSlotRetention
		if !assigned[s.Slot] && (unused || !isHome && at.Sub(s.Since) >= fallbackSlotRetention) {
			l.holder.Release(s.Slot)
		}
	}
	l.requestMissingSecond(at, second)
}

// releaseUnusedBursts ends the use of bursts in slots whose teams have used none for a window, and
// requests that the store records this. A process that replaces this one can then use these bursts
// for the callers that all reconnect at once. The lock is held.
func (l *limits) releaseUnusedBursts(at core.Time, held []quota.Holding) {
	skip := make(map[quota.Slot]bool)
	bySlot := make(map[quota.Slot]quota.Holding, len(held))
	for _, s := range held {
		bySlot[s.Slot] = s
		skip[s.Slot] = !s.FullBurst || at.Sub(s.Since) < l.tolerance.Window+quota.ReservationTTL
	}
	skipUsed := func(slot quota.Slot, c *teamCounter) {
		if s, ok := bySlot[slot]; ok && !skip[slot] && !c.BurstUnused(at, s, l.tolerance) {
			skip[slot] = true
		}
	}
	for id, c := range l.counters {
		skipUsed(quota.SlotOf(id), c)
	}
	for id, c := range l.secondCounters {
		skipUsed(quota.SlotOf(id).Second(), c)
	}
	for _, s := range held {
		if !skip[s.Slot] {
			l.holder.ReleaseBurst(s.Slot)
		}
	}
}

// execute makes a step's call to the store and reports its result to the holder.
func (l *limits) execute(step quota.Step) error {
	ctx, cancel := context.WithTimeout(l.p.ctx, storeTimeout)
	defer cancel()
	sent, era := now(), l.p.eras.current()
	report, err := l.call(ctx, step, sent)
	if err == nil && l.p.eras.current() != era {
		err = errStoreRestored
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil && (step.Kind == quota.RecordBurst || step.Kind == quota.ClearBurst):
		l.holder.BurstRecordFailed(now(), step.Slots)
		return err
	case err != nil:
		l.holder.Failed(now())
		return err
	}
	report(l.holder)
	if step.Kind == quota.List || step.Kind == quota.Take || step.Kind == quota.RecordBurst {
		close(l.slotsChanged)
		l.slotsChanged = make(chan struct{})
	}
	return nil
}

// errStoreRestored ends a call that began in an earlier era of the store, as the restored store may
// lack the data on which the call relied.
var errStoreRestored = errors.New("the store was restored from an older copy during the call")

// call makes a step's call to the store. The returned function reports the result to the holder.
func (l *limits) call(ctx context.Context, step quota.Step, sent core.Time) (report func(h *quota.Holder), err error) {
	switch step.Kind {
	case quota.Grant:
		lease, _, err := l.p.client.Grant(ctx, quota.LeaseTTL)
		return func(h *quota.Holder) { h.Granted(sent, lease, quota.LeaseTTL) }, err
	case quota.Renew:
		_, err := l.p.client.Renew(ctx, step.Lease)
		if errors.Is(err, platform.ErrNotFound) {
			return (*quota.Holder).LeaseGone, nil
		}
		return func(h *quota.Holder) { h.Renewed(sent, quota.LeaseTTL) }, err
	case quota.List:
		items, _, err := l.p.client.List(ctx, platform.LimitsPrefix)
		return func(h *quota.Holder) { h.Listed(sent, l.owners(items)) }, err
	case quota.Take:
		return l.takeSlots(ctx, step)
	case quota.RecordBurst, quota.ClearBurst:
		return l.recordBurst(ctx, step)
	}
	return l.releaseSlots(ctx, step)
}

// slotEntry is a slot's value in the store, which the slot's holder writes.
type slotEntry struct {
	Daemon core.DaemonID `json:"daemon"`
	Boot   int64         `json:"boot"`
	// BurstUnused is set if no team of the slot has used its burst for a window.
	BurstUnused bool `json:"calm,omitempty"`
	// Era is the store's era in which the entry was written.
	Era mirror.Era `json:"era,omitempty"`
	// Split is set if the holder gives out only one part of each limit.
	Split bool `json:"split,omitempty"`
}

// slotKey returns the slot's key in the store.
func slotKey(slot quota.Slot) string {
	return platform.LimitsPrefix + strconv.FormatUint(uint64(slot), 10)
}

// conditionsFor returns one condition for each slot of the step: that its key still has the revision
// in the step.
func conditionsFor(step quota.Step) (list []platform.Condition) {
	for slot, revision := range step.Slots {
		list = append(list, platform.Condition{Key: slotKey(slot), Revision: mirror.Revision(revision)})
	}
	return list
}

// takeSlots writes the entries of slots that this daemon takes.
func (l *limits) takeSlots(ctx context.Context, step quota.Step) (report func(h *quota.Holder), err error) {
	position, err := l.writeEntries(ctx, step, false)
	switch {
	case errors.Is(err, platform.ErrConflict):
		return func(h *quota.Holder) { h.Conflict(now()) }, nil
	case errors.Is(err, platform.ErrNotFound):
		return (*quota.Holder).LeaseGone, nil
	case err != nil:
		return nil, err
	}
	l.p.log.Info("slots of teams taken", "slots", len(step.Slots), "second", countSecond(step.Slots))
	return func(h *quota.Holder) { h.Taken(now(), step.Slots, uint64(position.Revision)) }, nil
}

// writeEntries writes this daemon's entries of all slots of the step.
func (l *limits) writeEntries(ctx context.Context, step quota.Step, burstUnused bool) (mirror.Position, error) {
	value, err := json.Marshal(slotEntry{Daemon: l.p.settings.Daemon, Boot: l.p.boot, BurstUnused: burstUnused, Era: l.p.eras.current(), Split: l.split})
	if err != nil {
		return mirror.Position{}, err
	}
	var writes []platform.Write
	for slot := range step.Slots {
		writes = append(writes, platform.Write{Key: slotKey(slot), Value: value, Lease: step.Lease})
	}
	return l.p.client.Put(ctx, conditionsFor(step), writes)
}

// recordBurst records in the store that the bursts of the step's slots may be in use, or, for a
// ClearBurst step, that they are not.
func (l *limits) recordBurst(ctx context.Context, step quota.Step) (report func(h *quota.Holder), err error) {
	inUse := step.Kind == quota.RecordBurst
	position, err := l.writeEntries(ctx, step, !inUse)
	switch {
	case errors.Is(err, platform.ErrConflict):
		return func(h *quota.Holder) { h.BurstRecordFailed(now(), step.Slots) }, nil
	case errors.Is(err, platform.ErrNotFound):
		return (*quota.Holder).LeaseGone, nil
	case err != nil:
		return nil, err
	}
	return func(h *quota.Holder) { h.BurstRecorded(step.Slots, uint64(position.Revision), inUse) }, nil
}

// releaseSlots removes the entries of slots that this daemon releases.
func (l *limits) releaseSlots(ctx context.Context, step quota.Step) (report func(h *quota.Holder), err error) {
	err = l.p.client.Remove(ctx, conditionsFor(step))
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return nil, err
	}
	return func(h *quota.Holder) { h.Released(step.Slots) }, nil
}

// owners decodes the list of slots. A slot whose entry cannot be decoded, or is bound to no lease, has an
// unknown owner. An entry of an earlier era counts as using bursts: its holder may have recorded their use
// later, and the store has lost that write.
func (l *limits) owners(items []platform.Item) map[quota.Slot]quota.Owner {
	current := l.p.eras.current()
	owners := make(map[quota.Slot]quota.Owner, len(items))
	for _, item := range items {
		slot, err := parseSlotKey(item.Key)
		if err != nil {
			l.p.unreadable.report(kindSlot, item, err)
			continue
		}
		entry, err := parseSlotEntry(item)
		if err != nil {
			l.p.unreadable.report(kindSlot, item, err)
			owners[slot] = quota.Owner{Revision: uint64(item.Revision), BurstInUse: true, Unknown: true}
			continue
		}
		owners[slot] = quota.Owner{Daemon: entry.Daemon, Boot: entry.Boot, Lease: item.Lease, Revision: uint64(item.Revision), BurstInUse: !entry.BurstUnused || entry.Era != current, Split: entry.Split}
	}
	return owners
}

// parseSlotKey returns the slot of a key. A key that slotKey does not return, such as one with leading
// zeros, is not the key of a slot, and its revision is not that of the slot's key.
func parseSlotKey(key string) (quota.Slot, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, platform.LimitsPrefix), 10, 16)
	if slot := quota.Slot(n); err == nil && slotKey(slot) == key && n < 2*quota.SlotCount {
		return slot, nil
	}
	return 0, errors.New("the key contains no number of a slot")
}

// parseSlotEntry decodes the entry of a slot, which its holder writes under a lease.
func parseSlotEntry(item platform.Item) (entry slotEntry, err error) {
	if err := decodeRecord(item.Value, &entry); err != nil {
		return slotEntry{}, err
	}
	switch {
	case !isName(string(entry.Daemon)):
		return slotEntry{}, errors.New("daemon is missing or malformed")
	case item.Lease == 0:
		return slotEntry{}, errors.New("the entry is bound to no lease")
	}
	return entry, nil
}
