package proxy

import (
	"strings"
	"time"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/quota"
)

// reservationResult is the result of counting an operation against its team's limit.
type reservationResult int

const (
	// reserved: the operation may run. It was counted, unless its team has no limit.
	reserved reservationResult = iota
	// overLimit: the team is at its limit.
	overLimit
	// slotNotHeld: this daemon does not hold the team's slot.
	slotNotHeld
	// burstNotRecorded: the store has to record first that the team uses its burst.
	burstNotRecorded
)

// quotaReservation describes whether an operation was counted. If it was not, retryAfter is when
// its caller should try again, and owner is the daemon that counts the team's operations, if that
// is known to be another one. slot is the slot whose record of the burst is missing.
type quotaReservation struct {
	result     reservationResult
	retryAfter time.Duration
	owner      core.DaemonID
	slot       quota.Slot
}

// dependsOnStore reports whether the operation may be counted after a call to the store.
func (r quotaReservation) dependsOnStore() bool {
	return r.result == slotNotHeld || r.result == burstNotRecorded
}

// textAtLimit is the reason of a refusal if the team is at its limit, or at the part of its limit that
// the daemon gives out. Entries look for it in the refusals of homes.
const textAtLimit = "the team is at its limit"

// textSlotOwner precedes the daemon that counts a team's operations in a refusal. Entries parse
// the daemon from the text.
const textSlotOwner = "the team's operations are counted at "

// String returns the reason of a refusal as the caller receives it.
func (r quotaReservation) String() string {
	switch {
	case r.result == overLimit:
		return textAtLimit
	case r.result == burstNotRecorded:
		return "the team's burst is not opened yet"
	case r.owner == "":
		return "the team's operations are counted elsewhere"
	}
	return textSlotOwner + string(r.owner)
}

// parseSlotOwner returns the daemon that counts the team's operations according to a refusal's
// text, "" if the text names none.
func parseSlotOwner(text string) core.DaemonID {
	_, rest, _ := strings.Cut(text, textSlotOwner)
	owner, _, _ := strings.Cut(rest, ";")
	return core.DaemonID(owner)
}

// reserveQuota counts a job's operation against its team's limit: before the operation waits for
// a member, and again right before it is sent if the reservation has expired meanwhile. It returns
// false if the operation is refused; s.quotaReservation then has the reason.
func (s *session) reserveQuota(j *job) bool {
	if !s.p.limits.enabled || j.reservedAt != 0 && now().Sub(j.reservedAt) < quota.ReservationTTL {
		return true
	}
	team, verdict := s.p.access.check(s.database, s.key)
	if verdict != auth.Granted {
		// The check right before the statement is sent refuses it.
		return true
	}
	// A daemon that is no home takes slots only for statements of entries that reach no home. It
	// takes none for its own callers: after a network partition in which it reached no other
	// daemon, the homes run their statements again. Otherwise slots would move to all daemons that
	// were cut off, and back again.
	mayTakeSlot := s.fromEntry || s.p.homes.isHomeOfAny()
	useSecond := j.overflowed || s.mayUseSecondPart(team.ID)
	s.quotaReservation = s.p.limits.reserve(team, mayTakeSlot, useSecond)
	if s.quotaReservation.dependsOnStore() && j.reservedAt == 0 && mayTakeSlot {
		s.p.limits.awaitReservation(team, s.quotaReservation, min(j.waitDeadline(), j.arrived.Add(slotWaitTimeout)))
		s.quotaReservation = s.p.limits.reserve(team, mayTakeSlot, useSecond)
	}
	if s.quotaReservation.result != reserved {
		return false
	}
	j.reservedAt = now()
	return true
}

// shouldForwardToSlotOwner reports whether a caller's own entry, which is a home as well, forwards
// a refused statement to the daemon that counts the team's operations. It records that daemon as
// the slot's owner. A statement over this daemon's part of the limit is forwarded to the other
// holder.
func (s *session) shouldForwardToSlotOwner(j *job) bool {
	if !s.fromEntry && s.quotaReservation.result == overLimit {
		return s.overflowTo(j, s.p.settings.Daemon)
	}
	if s.fromEntry || s.quotaReservation.owner == "" {
		return false
	}
	s.p.homes.setSlotOwner(s.p.access.teamOf(s.key), s.quotaReservation.owner)
	return true
}

// refuseOverQuota refuses an operation that was not counted. Earlier attempts may have been counted
// and sent. If another daemon may count the team's operations, the entry is asked to choose another home.
func (s *session) refuseOverQuota(j *job) {
	s.p.stats.overQuota.Add([...]string{"", "over the limit", "counted elsewhere", "burst not opened"}[s.quotaReservation.result], 1)
	if s.quotaReservation.result == slotNotHeld {
		s.redirectEntry()
	}
	s.answerRefusal(j, refusal{s.quotaReservation.String(), s.quotaReservation.retryAfter, []any{"key", s.key.String(), "team", s.p.access.teamOf(s.key)}})
}
