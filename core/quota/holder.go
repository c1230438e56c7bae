package quota

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"limpetspan/core"
)

// SlotCount is the number of slots. It exceeds the number of daemons of any fleet, so that each
// daemon can hold some, and is small enough for one list call to read all slots.
const SlotCount = 1024

// Slot is the number of a slot. The operations of the teams of a slot are counted at one daemon.
type Slot uint16

// SlotOf returns the slot of a team.
func SlotOf(team core.TeamID) Slot {
	h := fnv.New64a()
	_, _ = h.Write([]byte(team))
	return Slot(h.Sum64() % SlotCount)
}

// Owner is the holder of a slot according to the store.
type Owner struct {
	Daemon core.DaemonID
	// Boot identifies the process of the daemon.
	Boot int64
	// Lease is the lease to which the slot is bound.
	Lease uint64
	// Revision is the revision of the slot's key.
	Revision uint64
	// BurstInUse is set if more than the unreported part of some team's burst may have been used
	// in the last window. It is also set for a key written in an earlier era of the store, as the
	// store may have lost a later record.
	BurstInUse bool
	// Split is set if the holder gives out only one part of each limit.
	Split bool
	// Unknown is set if no daemon can have written the key as it is: it cannot be decoded, or is bound to
	// no lease. The key of a daemon that may still hold the slot was overwritten.
	Unknown bool
}

// StepKind is the kind of a Step.
type StepKind int

// The kinds of steps.
const (
	// Pause does nothing for Wait, or until a slot is requested.
	Pause StepKind = iota
	// Grant asks the store for a lease.
	Grant
	// Renew renews Lease.
	Renew
	// List reads the owners of all slots.
	List
	// Take takes Slots under Lease, on condition that each key still has the given revision; 0
	// means that there is no key.
	Take
	// Release deletes the keys of Slots, which are no longer used.
	Release
	// RecordBurst records in the keys of Slots that the bursts of their teams may be in use,
	// ClearBurst that they are not.
	RecordBurst
	ClearBurst
)

// Step is the next action of a daemon concerning its slots.
type Step struct {
	Kind  StepKind
	Wait  time.Duration
	Lease uint64
	// Slots maps the slots of the step to the revisions of their keys.
	Slots map[Slot]uint64
}

// slot is the state of a slot that a daemon requests or holds.
type slot struct {
	held bool
	// since is when this daemon took the slot.
	since core.Time
	// requestedAt is when the slot was last requested.
	requestedAt core.Time
	// revision is the revision of the key that this daemon wrote; 0: not known.
	revision uint64
	// releasing is set if the slot is to be released.
	releasing bool
	// previousBurstUnused is set if the previous holder used no burst.
	previousBurstUnused bool
	// priorEraUntil is set if the slot is held under a lease of an earlier era, which the store
	// has lost, and is when that lease ends; 0: the slot is held under the daemon's lease.
	priorEraUntil core.Time
	// burstRecorded is set if the slot's key records the use of bursts. recordRequested asks for
	// that record. clearRequested asks to clear it; the full burst is not used meanwhile.
	burstRecorded, recordRequested, clearRequested bool
}

// overwrittenKey is the revision of a key with an unknown owner, and when a list first showed it.
type overwrittenKey struct {
	revision uint64
	since    core.Time
}

// Holder decides which slots one daemon holds. It is not safe for concurrent use.
type Holder struct {
	self core.DaemonID
	boot int64
	// split is set if limits are split and this daemon takes second slots.
	split bool
	// lease is the daemon's lease, 0 if there is none. It may be used until expiresAt; renewedAt
	// is when the last successful renewal was sent.
	lease                uint64
	expiresAt, renewedAt core.Time
	slots                map[Slot]*slot
	// owners is the last list of owners. listedAt is when it was read, 0 if it has to be read
	// again.
	owners   map[Slot]Owner
	listedAt core.Time
	// ownersAt is when owners was last read; unlike listedAt it is not reset.
	ownersAt core.Time
	// overwritten holds the slots with an unknown owner.
	overwritten map[Slot]overwrittenKey
	// requestedAt is when a slot that is not held was first requested; 0: no request is pending.
	requestedAt core.Time
	// relistAt is when the owners are next read because other daemons hold requested slots.
	// retryAt is when the store may be called again after a failed call.
	relistAt, retryAt core.Time
	// storeFailing is set by a failed call, and reset by a successful renewal or list.
	storeFailing bool
}

// NewHolder returns the Holder of a daemon that holds no slots. boot distinguishes this process
// from other processes of the daemon.
func NewHolder(self core.DaemonID, boot int64) *Holder {
	return &Holder{self: self, boot: boot, slots: make(map[Slot]*slot)}
}

// NewSplitHolder returns the Holder of a daemon that gives out only one part of a limit for each
// slot that it holds.
func NewSplitHolder(self core.DaemonID, boot int64) *Holder {
	h := NewHolder(self, boot)
	h.split = true
	return h
}

// Holds returns the daemon's holding of the slot. It returns false if the daemon may not use the
// slot now.
func (h *Holder) Holds(now core.Time, id Slot) (Holding, bool) {
	s := h.slots[id]
	if s == nil || !s.held || s.releasing || now >= h.heldUntil(s) {
		return Holding{}, false
	}
	return s.holding(id), true
}

// heldUntil returns when the use of a held slot ends.
func (h *Holder) heldUntil(s *slot) core.Time {
	if s.priorEraUntil != 0 {
		return s.priorEraUntil
	}
	return h.expiresAt
}

// NewEra records that the store was restored from an older copy, which may lack the lease, the
// keys bound to it and what they recorded. Slots that are held stay in use until the lease ends by
// this daemon's clock, as no other daemon takes a slot before then. Meanwhile they are taken again
// under a new lease, under which their teams continue.
func (h *Holder) NewEra(now core.Time) {
	for id, s := range h.slots {
		if !s.held || s.releasing || now >= h.heldUntil(s) {
			*s = slot{requestedAt: s.requestedAt}
			if s.requestedAt == 0 {
				delete(h.slots, id)
			}
			continue
		}
		s.priorEraUntil, s.revision = h.heldUntil(s), 0
		s.recordRequested, s.clearRequested = false, false
	}
	h.lease, h.expiresAt, h.listedAt, h.ownersAt, h.relistAt = 0, 0, 0, 0, 0
	h.owners, h.overwritten = nil, nil
}

func (s *slot) holding(id Slot) Holding {
	return Holding{Slot: id, Since: s.since, RequestedAt: s.requestedAt, PreviousBurstUnused: s.previousBurstUnused, FullBurst: s.burstRecorded && !s.clearRequested && !s.recordRequested}
}

// RequestBurst asks to record in the store that bursts are used in the slot. If a clear was
// requested before, the use has to be recorded in any case, as a call that clears it may be in
// flight.
func (h *Holder) RequestBurst(id Slot) {
	if s := h.slots[id]; s != nil && s.held {
		s.recordRequested = s.recordRequested || !s.burstRecorded || s.clearRequested
		s.clearRequested = false
	}
}

// ReleaseBurst ends the use of bursts in the slot from now on and asks to clear their record in
// the store.
func (h *Holder) ReleaseBurst(id Slot) {
	if s := h.slots[id]; s != nil && s.held && s.burstRecorded {
		s.clearRequested = true
	}
}

// Request requests a slot. For a slot that is held, it records that the slot is in use.
func (h *Holder) Request(now core.Time, id Slot) {
	s := h.slots[id]
	if s == nil {
		s = &slot{}
		h.slots[id] = s
	}
	s.requestedAt = now
	if !s.held && h.requestedAt == 0 {
		h.requestedAt = now
	}
}

// Release asks to release a slot that another daemon is to hold. From now on Holds returns false
// for it.
func (h *Holder) Release(id Slot) {
	if s := h.slots[id]; s != nil && s.held {
		s.releasing = true
	}
}

// Holding is a slot that a daemon holds.
type Holding struct {
	Slot Slot
	// Since is when the slot was taken, RequestedAt when it was last requested.
	Since, RequestedAt core.Time
	// PreviousBurstUnused is set if the previous holder used no burst of the slot's teams.
	// FullBurst is set if this holder may use their full bursts.
	PreviousBurstUnused, FullBurst bool
}

// Held returns the slots that the daemon holds and is not releasing.
func (h *Holder) Held() (list []Holding) {
	for id, s := range h.slots {
		if s.held && !s.releasing {
			list = append(list, s.holding(id))
		}
	}
	return list
}

// StoreFailing reports whether calls to the store fail, so that no slot can be taken soon.
func (h *Holder) StoreFailing() bool { return h.storeFailing }

// HasRequests reports whether a slot is requested that is not held.
func (h *Holder) HasRequests() bool { return h.requestedAt != 0 }

// OtherOwner returns the other daemon that holds the slot according to the last list, "" if there
// is none.
func (h *Holder) OtherOwner(id Slot) core.DaemonID {
	if owner := h.owners[id]; owner.Daemon != h.self {
		return owner.Daemon
	}
	return ""
}

// OwnersAge returns the age of the list that OtherOwner uses.
func (h *Holder) OwnersAge(now core.Time) time.Duration { return now.Sub(h.ownersAt) }

// Close ends all holdings for good. It returns the lease that binds them, 0 if there is none.
func (h *Holder) Close() (lease uint64) {
	lease = h.lease
	h.lease, h.expiresAt = 0, 0
	h.slots = make(map[Slot]*slot)
	return lease
}

// requestTTL is how long a request for a slot is valid.
const requestTTL = time.Second

// Next returns the step to take now. settled says whether all leases of earlier eras of the store
// have expired; before that, no daemon takes a slot that it does not hold.
func (h *Holder) Next(now core.Time, settled bool) Step {
	if now < h.retryAt {
		return Step{Kind: Pause, Wait: h.retryAt.Sub(now)}
	}
	if h.lease != 0 && now >= h.expiresAt {
		// The lease may have ended at the store, and other daemons may hold its slots.
		h.dropLease()
	}
	releasing, recording := h.dropExpiredPriorEra(now)
	if releasing {
		return Step{Kind: Release, Slots: batch(h.slotsWhere(func(s *slot) bool { return s.held && s.releasing }))}
	}
	h.dropStaleRequests(now)
	requested := h.slotsWhere(func(s *slot) bool { return s.priorEraUntil != 0 || settled && !s.held })
	if h.lease != 0 && now.Sub(h.renewedAt) >= RenewInterval && len(h.slots) > 0 {
		return Step{Kind: Renew, Lease: h.lease}
	}
	if recording {
		if step, ok := h.burstStep(); ok {
			return step
		}
	}
	if len(requested) == 0 {
		h.requestedAt = 0
		return Step{Kind: Pause, Wait: RetryDelay}
	}
	if due := h.requestedAt.Add(BatchDelay); h.requestedAt != 0 && now < due {
		return Step{Kind: Pause, Wait: due.Sub(now)}
	}
	switch {
	case h.lease == 0:
		return Step{Kind: Grant}
	case h.listedAt == 0 && now >= h.relistAt:
		return Step{Kind: List}
	}
	return h.takeStep(now, requested)
}

// dropExpiredPriorEra ends the holdings under a lease of an earlier era that has expired before
// the slots could be taken again. It reports whether a held slot is to be released, and whether a
// record of bursts is to be changed, as Next is called for each request and the state of each slot is
// read only once for both.
func (h *Holder) dropExpiredPriorEra(now core.Time) (releasing, recording bool) {
	for _, s := range h.slots {
		if s.priorEraUntil != 0 && now >= s.priorEraUntil {
			*s = slot{requestedAt: s.requestedAt}
		}
		releasing = releasing || s.held && s.releasing
		recording = recording || s.held && (s.recordRequested || s.clearRequested)
	}
	return releasing, recording
}

// dropStaleRequests removes slots that are not held and whose request has expired.
func (h *Holder) dropStaleRequests(now core.Time) {
	for id, s := range h.slots {
		if !s.held && now.Sub(s.requestedAt) >= requestTTL {
			delete(h.slots, id)
		}
	}
}

// burstStep returns the step that records or clears the use of bursts. If a key's revision is not
// known, as a call got no response, the owners are listed first.
func (h *Holder) burstStep() (Step, bool) {
	for _, f := range []struct {
		kind StepKind
		is   func(s *slot) bool
	}{
		{RecordBurst, func(s *slot) bool { return s.held && s.recordRequested && s.priorEraUntil == 0 }},
		{ClearBurst, func(s *slot) bool { return s.held && s.clearRequested && !s.recordRequested && s.priorEraUntil == 0 }},
	} {
		slots := h.slotsWhere(f.is)
		if len(slots) == 0 {
			continue
		}
		for _, revision := range slots {
			if revision == 0 {
				return Step{Kind: List}, true
			}
		}
		return Step{Kind: f.kind, Lease: h.lease, Slots: batch(slots)}, true
	}
	return Step{}, false
}

// BurstRecorded records that the keys of the slots were written: they have the given revision and
// now record whether bursts are in use.
func (h *Holder) BurstRecorded(slots map[Slot]uint64, revision uint64, inUse bool) {
	for id := range slots {
		s := h.slots[id]
		if s == nil || !s.held {
			continue
		}
		s.revision, s.burstRecorded, s.clearRequested = revision, inUse, false
		s.recordRequested = s.recordRequested && !inUse
	}
}

// BurstRecordFailed records that the keys of the slots were not as expected, or that the store
// did not respond. What the keys record is then unknown, and the full bursts are not used until it
// is known.
func (h *Holder) BurstRecordFailed(now core.Time, slots map[Slot]uint64) {
	for id := range slots {
		if s := h.slots[id]; s != nil && s.held {
			s.revision = 0
		}
	}
	h.listedAt = 0
	h.retryAt = now.Add(RetryDelay / 4)
}

// slotsWhere returns the slots that satisfy the condition, with the revisions of their keys; nil if
// there are none.
func (h *Holder) slotsWhere(is func(s *slot) bool) map[Slot]uint64 {
	var found map[Slot]uint64
	for id, s := range h.slots {
		if is(s) {
			if found == nil {
				found = make(map[Slot]uint64)
			}
			found[id] = s.revision
		}
	}
	return found
}

// takeStep takes the requested slots that no other daemon holds according to the last list. If
// there are none, the owners are listed again later. Until then, slots that are newly requested
// are still taken: waiting for the slot of a dead daemon must not delay all other teams.
//
// A call takes either slots or second slots: a conflict about a second slot must not delay the
// teams of other slots.
func (h *Holder) takeStep(now core.Time, requested map[Slot]uint64) Step {
	free, freeSecond := make(map[Slot]uint64), make(map[Slot]uint64)
	for id := range requested {
		// A slot held under a lease of an earlier era belongs to no other daemon, whichever owner
		// the restored store names.
		if owner, taken := h.owners[id]; !taken || owner.Daemon == h.self || h.slots[id].priorEraUntil != 0 || h.isAbandoned(now, id) {
			switch {
			case !id.IsSecond():
				free[id] = owner.Revision
			case !h.firstIsWhole(id):
				freeSecond[id] = owner.Revision
			}
		}
	}
	if len(free) == 0 {
		free = freeSecond
	}
	if len(free) == 0 {
		if h.listedAt != 0 {
			h.listedAt, h.relistAt = 0, now.Add(RelistInterval)
		}
		return Step{Kind: Pause, Wait: min(RetryDelay, h.relistAt.Sub(now))}
	}
	return Step{Kind: Take, Lease: h.lease, Slots: batch(free)}
}

// isAbandoned reports whether the slot's key has been overwritten for so long that the lease of its last
// holder has ended, unless that one still renews it. Without this, an entry that nobody removes would
// leave the slot's teams unserved for good.
func (h *Holder) isAbandoned(now core.Time, id Slot) bool {
	key, ok := h.overwritten[id]
	return ok && now.Sub(key.since) >= LeaseTTL
}

// firstIsWhole reports whether, according to the last list, a daemon gives out whole limits for the
// slot whose second slot is id.
func (h *Holder) firstIsWhole(id Slot) bool {
	owner, taken := h.owners[id.first()]
	return taken && !owner.Split && owner.Daemon != h.self
}

// batch returns as many of the slots as one call may name, lowest first.
func batch(slots map[Slot]uint64) map[Slot]uint64 {
	few := make(map[Slot]uint64, min(len(slots), MaxSlotsPerCall))
	for _, id := range slices.Sorted(maps.Keys(slots)) {
		if len(few) == MaxSlotsPerCall {
			break
		}
		few[id] = slots[id]
	}
	return few
}

// dropLease drops the lease and all holdings bound to it. Slots that were requested stay
// requested, and slots held under a lease of an earlier era are kept.
func (h *Holder) dropLease() {
	h.lease, h.expiresAt, h.listedAt = 0, 0, 0
	for id, s := range h.slots {
		switch {
		case s.priorEraUntil != 0:
		case s.releasing || s.held && s.requestedAt == 0:
			delete(h.slots, id)
		default:
			*s = slot{requestedAt: s.requestedAt}
		}
	}
}

// Granted records a new lease with the given TTL. sent is when the call was sent.
func (h *Holder) Granted(sent core.Time, lease uint64, ttl time.Duration) {
	h.lease = lease
	h.Renewed(sent, ttl)
}

// Renewed records that the lease lasts for at least ttl after sent, the time at which the call was
// sent.
func (h *Holder) Renewed(sent core.Time, ttl time.Duration) {
	h.storeFailing = false
	h.renewedAt = sent
	h.expiresAt = max(h.expiresAt, sent.Add(ttl-LeaseMargin))
}

// LeaseGone records that the store no longer knows the lease.
func (h *Holder) LeaseGone() { h.dropLease() }

// Listed records the owners of all slots, as read by a call sent at the given time. A slot that
// this process holds according to the list, but not by its own state, was taken by a call that got
// no response. It is taken again if it is requested, and released otherwise: no other daemon could
// have it for as long as the lease is renewed.
func (h *Holder) Listed(sent core.Time, owners map[Slot]Owner) {
	h.owners, h.listedAt, h.ownersAt, h.storeFailing = owners, sent, sent, false
	h.recordOverwritten(sent, owners)
	for id, owner := range owners {
		if owner.Daemon != h.self || owner.Boot != h.boot {
			continue
		}
		if s := h.slots[id]; s == nil {
			h.slots[id] = &slot{held: true, releasing: true, revision: owner.Revision}
		} else if s.held && s.priorEraUntil == 0 {
			s.revision = owner.Revision
		}
	}
	for id, s := range h.slots {
		if owner := owners[id]; s.held && s.priorEraUntil == 0 && (owner.Daemon != h.self || owner.Boot != h.boot) {
			// The key is gone, so the lease must have ended at the store.
			s.held = false
		}
		if s.held && id.IsSecond() && h.firstIsWhole(id) {
			s.releasing = true
		}
	}
}

// recordOverwritten records which keys have an unknown owner, and since when they are unchanged.
func (h *Holder) recordOverwritten(sent core.Time, owners map[Slot]Owner) {
	known := h.overwritten
	h.overwritten = nil
	for id, owner := range owners {
		if !owner.Unknown {
			continue
		}
		if h.overwritten == nil {
			h.overwritten = make(map[Slot]overwrittenKey)
		}
		key, ok := known[id]
		if !ok || key.revision != owner.Revision {
			key = overwrittenKey{owner.Revision, sent}
		}
		h.overwritten[id] = key
	}
}

// Taken records that this daemon now holds the slots and that their keys have the revision. A slot
// that it still held under a lease of an earlier era keeps its state. Any other holding begins now:
// nothing was run under it before.
func (h *Holder) Taken(now core.Time, slots map[Slot]uint64, revision uint64) {
	for id := range slots {
		s := h.slots[id]
		if s == nil {
			s = &slot{}
			h.slots[id] = s
		}
		if s.priorEraUntil != 0 && now < s.priorEraUntil {
			s.priorEraUntil, s.revision, s.burstRecorded = 0, revision, true
			continue
		}
		owner, known := h.owners[id]
		*s = slot{held: true, since: now, requestedAt: s.requestedAt, revision: revision, burstRecorded: true, previousBurstUnused: known && !owner.BurstInUse && owner.Split == h.split}
	}
}

// Conflict records that a key did not have the listed revision. The owners are listed again.
func (h *Holder) Conflict(now core.Time) {
	h.listedAt, h.relistAt = 0, 0
	h.retryAt = now.Add(RetryDelay / 4)
}

// Released records that the keys of the slots are deleted or belong to another daemon.
func (h *Holder) Released(slots map[Slot]uint64) {
	for id := range slots {
		delete(h.slots, id)
	}
	h.listedAt = 0
}

// Failed records that a call was rejected or got no response.
func (h *Holder) Failed(now core.Time) {
	h.storeFailing = true
	h.listedAt = 0
	h.retryAt = now.Add(RetryDelay)
}
