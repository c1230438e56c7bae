package quota

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"limpetspan/core"
)

// Slots is how many parts the teams fall into. A slot's teams are counted at one daemon.
// More than there are daemons to count in a fleet of any size, and few enough for one list.
const SlotCount = 1024

// Slot is a part of the teams.
type Slot uint16

// SlotOf is the slot of a team.
func SlotOf(team core.TeamID) Slot {
	h := fnv.New64a()
	_, _ = h.Write([]byte(team))
	return Slot(h.Sum64() % SlotCount)
}

// Owner is who holds a slot as the store tells it.
type Owner struct {
	Daemon core.DaemonID
	// Boot tells one process of the daemon from another.
	Boot int64
	// Lease is the one to which the slot is bound.
	Lease uint64
	// Revision is that of the slot's key.
	Revision uint64
	// Open says that more than the calm part of some team's burst may have been used in the
	// last window. A key of an earlier era of the store may have told so without a trace.
	BurstInUse bool
}

// StepKind says what a daemon does next about its slots.
type StepKind int

// The kinds of steps.
const (
	// Pause does nothing for Wait, or until a slot is wanted.
	Pause StepKind = iota
	// Grant asks the store for a lease.
	Grant
	// Renew renews Lease.
	Renew
	// List reads who holds which slot.
	List
	// Take takes Slots under Lease; each key's revision is still as given, 0 for none.
	Take
	// Release removes the keys of Slots, which are used no more.
	Release
	// Open writes that the bursts of Slots' teams may be used, Shut that they are not.
	RecordBurst
	ClearBurst
)

// Step is what a daemon does next about its slots.
type Step struct {
	Kind  StepKind
	Wait  time.Duration
	Lease uint64
	Slots map[Slot]uint64
}

// slot is what a daemon knows of one that it wants or holds.
type slot struct {
	held bool
	// since is when this daemon took it.
	since core.Time
	// requestedAt is when it was last asked for.
	requestedAt core.Time
	// revision is that of the key that this daemon has written.
	revision uint64
	// releasing says that it is to be given back.
	releasing bool
	// previousBurstUnused says that the last holder had used no burst.
	previousBurstUnused bool
	// priorEraUntil is until when the slot is held by a lease of an earlier era of the store, which
	// has lost it; 0: it is held by the daemon's lease.
	priorEraUntil core.Time
	// open says that the store has been told of the use of bursts; recordRequested that it is to be
	// told, clearRequested that it is to be told of the contrary, and that no burst is used now.
	burstRecorded, recordRequested, clearRequested bool
}

// Holder is which slots one daemon holds. It is not safe for concurrent use.
type Holder struct {
	self core.DaemonID
	boot int64
	// lease is the daemon's lease, good until the moment, and renewed when it was last
	// asked for.
	lease                uint64
	expiresAt, renewedAt core.Time
	slots                map[Slot]*slot
	// owners is the list as it was last read, at listedAt; 0: it has to be read.
	owners   map[Slot]Owner
	listedAt core.Time
	// ownersAt is when the list was last read.
	ownersAt core.Time
	// requestedAt is when a slot was wanted that is not held.
	requestedAt core.Time
	// relistAt is when the list is read again for slots that others held, retryAt when the store
	// is called again after a call that failed.
	relistAt, retryAt core.Time
	// failing is set while the store does not answer.
	storeFailing bool
}

// NewHolder returns a daemon that holds nothing. boot tells this process from others of the
// daemon.
func NewHolder(self core.DaemonID, boot int64) *Holder {
	return &Holder{self: self, boot: boot, slots: make(map[Slot]*slot)}
}

// Holds returns the daemon's holding of the slot; false: it has none now.
func (h *Holder) Holds(now core.Time, id Slot) (Holding, bool) {
	s := h.slots[id]
	if s == nil || !s.held || s.releasing || now >= h.heldUntil(s) {
		return Holding{}, false
	}
	return s.holding(id), true
}

// heldUntil is until when a slot that is held may be used.
func (h *Holder) heldUntil(s *slot) core.Time {
	if s.priorEraUntil != 0 {
		return s.priorEraUntil
	}
	return h.expiresAt
}

// NewEra takes that the store has come back from an older copy, which may lack the lease, its
// keys and what these told. What is held stays so until the end of the lease by this
// daemon's clock, as nobody else takes a slot before: it is taken once more under a new
// lease, under which its teams go on.
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
	h.owners = nil
}

func (s *slot) holding(id Slot) Holding {
	return Holding{Slot: id, Since: s.since, RequestedAt: s.requestedAt, PreviousBurstUnused: s.previousBurstUnused, FullBurst: s.burstRecorded && !s.clearRequested && !s.recordRequested}
}

// RequestBurst asks to tell the store that bursts are used in the slot. After a wish to the
// contrary it has to be told in any case: a call that says so may be on its way.
func (h *Holder) RequestBurst(id Slot) {
	if s := h.slots[id]; s != nil && s.held {
		s.recordRequested = s.recordRequested || !s.burstRecorded || s.clearRequested
		s.clearRequested = false
	}
}

// ReleaseBurst tells the store that no burst is used in the slot any more, as from now on.
func (h *Holder) ReleaseBurst(id Slot) {
	if s := h.slots[id]; s != nil && s.held && s.burstRecorded {
		s.clearRequested = true
	}
}

// Want asks for a slot, or says that it is in use.
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

// Leave gives a slot back, which another daemon is to hold. From now on Holds denies it.
func (h *Holder) Release(id Slot) {
	if s := h.slots[id]; s != nil && s.held {
		s.releasing = true
	}
}

// Holding is a slot that a daemon holds.
type Holding struct {
	Slot Slot
	// Since is when it was taken, RequestedAt when it was last asked for.
	Since, RequestedAt core.Time
	// PreviousBurstUnused says that its last holder had not used the bursts of its teams, Open that
	// this one may.
	PreviousBurstUnused, FullBurst bool
}

// Held are the slots that the daemon holds and keeps.
func (h *Holder) Held() (list []Holding) {
	for id, s := range h.slots {
		if s.held && !s.releasing {
			list = append(list, s.holding(id))
		}
	}
	return list
}

// Failing says whether the store has not answered the last call: no slot can be taken soon.
func (h *Holder) StoreFailing() bool { return h.storeFailing }

// HasRequests says whether a slot is wanted that is not held.
func (h *Holder) HasRequests() bool { return h.requestedAt != 0 }

// OtherOwner is the other daemon that holds the slot by the last list; "": none does.
func (h *Holder) OtherOwner(id Slot) core.DaemonID {
	if owner := h.owners[id]; owner.Daemon != h.self {
		return owner.Daemon
	}
	return ""
}

// OwnersAge is how old the list is by which OtherOwner answers.
func (h *Holder) OwnersAge(now core.Time) time.Duration { return now.Sub(h.ownersAt) }

// Close ends all holdings for good, and returns the lease that binds them; 0: there is none.
func (h *Holder) Close() (lease uint64) {
	lease = h.lease
	h.lease, h.expiresAt = 0, 0
	h.slots = make(map[Slot]*slot)
	return lease
}

// requestTTL is for how long a wish for a slot counts.
const requestTTL = time.Second

// Next is the step to take now. settled says whether everything that an earlier era of the
// store has given out has run out; before that nobody takes a slot that he does not hold.
func (h *Holder) Next(now core.Time, settled bool) Step {
	if now < h.retryAt {
		return Step{Kind: Pause, Wait: h.retryAt.Sub(now)}
	}
	if h.lease != 0 && now >= h.expiresAt {
		// It may have ended at the store, and others may hold what it bound.
		h.dropLease()
	}
	h.dropExpiredPriorEra(now)
	if releasing := h.slotsWhere(func(s *slot) bool { return s.held && s.releasing }); len(releasing) > 0 {
		return Step{Kind: Release, Slots: batch(releasing)}
	}
	h.dropStaleRequests(now)
	requested := h.slotsWhere(func(s *slot) bool { return s.priorEraUntil != 0 || settled && !s.held })
	if h.lease != 0 && now.Sub(h.renewedAt) >= RenewInterval && len(h.slots) > 0 {
		return Step{Kind: Renew, Lease: h.lease}
	}
	if step, ok := h.burstStep(); ok {
		return step
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

// dropExpiredPriorEra ends what was held by a lease of an earlier era and could not be taken again.
func (h *Holder) dropExpiredPriorEra(now core.Time) {
	for _, s := range h.slots {
		if s.priorEraUntil != 0 && now >= s.priorEraUntil {
			*s = slot{requestedAt: s.requestedAt}
		}
	}
}

// dropStaleRequests forgets slots that were wanted and are no more.
func (h *Holder) dropStaleRequests(now core.Time) {
	for id, s := range h.slots {
		if !s.held && now.Sub(s.requestedAt) >= requestTTL {
			delete(h.slots, id)
		}
	}
}

// flag is the step that tells the store of the use of bursts. A slot whose key's revision is
// not known, as a call has had no answer, is read first.
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

// BurstRecorded takes that the keys of the slots tell of the use of bursts, or of the contrary, and
// have the revision.
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

// BurstRecordFailed takes that the keys of the slots were not as expected, or that the store did not
// answer: what they tell is not known, and no burst is used until it is.
func (h *Holder) BurstRecordFailed(now core.Time, slots map[Slot]uint64) {
	for id := range slots {
		if s := h.slots[id]; s != nil && s.held {
			s.revision = 0
		}
	}
	h.listedAt = 0
	h.retryAt = now.Add(RetryDelay / 4)
}

// which are the slots of which it is true, with the revisions that their keys have.
func (h *Holder) slotsWhere(is func(s *slot) bool) map[Slot]uint64 {
	found := make(map[Slot]uint64)
	for id, s := range h.slots {
		if is(s) {
			found[id] = s.revision
		}
	}
	return found
}

// take takes those of the wanted slots that nobody else holds by the last list, or looks
// again later. Until then others that come to be wanted are still taken: a daemon that waits
// for the slot of one that has died must not keep all its other teams waiting.
func (h *Holder) takeStep(now core.Time, requested map[Slot]uint64) Step {
	free := make(map[Slot]uint64)
	for id := range requested {
		// What the daemon holds by an earlier era is nobody else's, whoever the copy names.
		if owner, taken := h.owners[id]; !taken || owner.Daemon == h.self || h.slots[id].priorEraUntil != 0 {
			free[id] = owner.Revision
		}
	}
	if len(free) == 0 {
		if h.listedAt != 0 {
			h.listedAt, h.relistAt = 0, now.Add(RelistInterval)
		}
		return Step{Kind: Pause, Wait: min(RetryDelay, h.relistAt.Sub(now))}
	}
	return Step{Kind: Take, Lease: h.lease, Slots: batch(free)}
}

// some are as many of the slots as one call may name.
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

// forget drops the lease and all that it bound.
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

// Granted takes a new lease that was asked for at sent and lasts for ttl.
func (h *Holder) Granted(sent core.Time, lease uint64, ttl time.Duration) {
	h.lease = lease
	h.Renewed(sent, ttl)
}

// Renewed takes that the lease lasts for ttl from sent at least.
func (h *Holder) Renewed(sent core.Time, ttl time.Duration) {
	h.storeFailing = false
	h.renewedAt = sent
	h.expiresAt = max(h.expiresAt, sent.Add(ttl-LeaseMargin))
}

// LeaseGone takes that the store knows the lease no more.
func (h *Holder) LeaseGone() { h.dropLease() }

// Listed takes who holds which slot, read at sent. What this process holds by the list and
// does not know of, a call without an answer took: it is taken again if it is wanted, and
// given back if not, as nobody else could have it for as long as the lease is renewed.
func (h *Holder) Listed(sent core.Time, owners map[Slot]Owner) {
	h.owners, h.listedAt, h.ownersAt, h.storeFailing = owners, sent, sent, false
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
			// The key has gone: the lease must have ended at the store.
			s.held = false
		}
	}
}

// Taken takes that the slots are this daemon's, whose keys now have the revision. sent is
// when they were asked for; nothing was run for them before now.
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
		*s = slot{held: true, since: now, requestedAt: s.requestedAt, revision: revision, burstRecorded: true, previousBurstUnused: known && !owner.BurstInUse}
	}
}

// Conflict takes that a slot was not as it was listed.
func (h *Holder) Conflict(now core.Time) {
	h.listedAt, h.relistAt = 0, 0
	h.retryAt = now.Add(RetryDelay / 4)
}

// Released takes that the keys of the slots are gone, or somebody else's.
func (h *Holder) Released(slots map[Slot]uint64) {
	for id := range slots {
		delete(h.slots, id)
	}
	h.listedAt = 0
}

// Failed takes that a call was refused or not answered.
func (h *Holder) Failed(now core.Time) {
	h.storeFailing = true
	h.listedAt = 0
	h.retryAt = now.Add(RetryDelay)
}
