package proxy

import (
	"strings"
	"time"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/quota"
	"limpetspan/platform"
)

// payment is what came of paying for an operation.
type reservationResult int

const (
	// paid: it may run.
	reserved reservationResult = iota
	// overLimit: the team is at its limit.
	overLimit
	// countedElsewhere: this daemon does not hold the team's slot.
	slotNotHeld
	// burstUntold: the store has to be told first that the team uses its burst.
	burstNotRecorded
)

// receipt is what came of paying, when to come back if it was not paid for, and who counts
// the team's operations if that is known to be another daemon.
type quotaReservation struct {
	result     reservationResult
	retryAfter time.Duration
	owner      core.DaemonID
}

// waits says whether an operation is worth a wait for the store.
func (r quotaReservation) dependsOnStore() bool {
	return r.result == slotNotHeld || r.result == burstNotRecorded
}

// textCountedAt precedes the daemon that counts a team's operations in a refusal; an entry
// takes it from there.
const textSlotOwner = "the team's operations are counted at "

func (r quotaReservation) String() string {
	switch {
	case r.result == overLimit:
		return "the team is at its limit"
	case r.result == burstNotRecorded:
		return "the team's burst is not opened yet"
	case r.owner == "":
		return "the team's operations are counted elsewhere"
	}
	return textSlotOwner + string(r.owner)
}

// ownerIn is the daemon that a refusal names as the one that counts the team's operations;
// "": it names none.
func parseSlotOwner(text string) core.DaemonID {
	_, rest, _ := strings.Cut(text, textSlotOwner)
	owner, _, _ := strings.Cut(rest, ";")
	return core.DaemonID(owner)
}

// payFor pays for the operation of a job before it waits for a member, and again right before
// it is sent if it has waited. false: it is refused; why it is, is kept for its answer.
func (s *session) reserveQuota(j *job) bool {
	if !s.p.limits.enabled || j.reservedAt != 0 && now().Sub(j.reservedAt) < quota.ReservationTTL {
		return true
	}
	team, verdict := s.p.access.check(s.database, s.key)
	if verdict != auth.Granted {
		// Whoever sends the statement finds out, and says so.
		return true
	}
	// A daemon that is no home runs only what entries send it that can ask no home. What its
	// own callers ask after a cut, in which it could ask nobody, is for the homes: slots would
	// move to all daemons that were cut off, and back again.
	mayTakeSlot := s.fromEntry || s.p.homes.isHomeOfAny()
	s.quotaReservation = s.p.limits.reserve(team, mayTakeSlot)
	if s.quotaReservation.dependsOnStore() && j.reservedAt == 0 && mayTakeSlot {
		s.p.limits.awaitSlot(team, s.quotaReservation.result == burstNotRecorded, min(j.waitDeadline(), j.arrived.Add(slotWaitTimeout)))
		s.quotaReservation = s.p.limits.reserve(team, mayTakeSlot)
	}
	if s.quotaReservation.result != reserved {
		return false
	}
	j.reservedAt = now()
	return true
}

// passOnUnpaid says whether a caller's own entry, which is a home as well, is to pass a
// statement on to the daemon that counts the team's operations.
func (s *session) shouldForwardToSlotOwner() bool {
	if s.fromEntry || s.quotaReservation.owner == "" {
		return false
	}
	s.p.homes.setSlotOwner(s.p.access.teamOf(s.key), s.quotaReservation.owner)
	return true
}

// refuseUnpaid refuses an operation of which nothing was sent. Where another daemon counts
// the team's operations, the entry looks for it.
func (s *session) refuseOverQuota(j *job) {
	s.p.stats.overQuota.Add([...]string{"", "over the limit", "counted elsewhere", "burst not opened"}[s.quotaReservation.result], 1)
	s.logDecision("refused", "id", j.id, "reason", s.quotaReservation.String(), "key", s.key.String(), "team", s.p.access.teamOf(s.key), "come_back_ms", s.quotaReservation.retryAfter.Milliseconds())
	if s.quotaReservation.result == slotNotHeld {
		s.redirectEntry()
	}
	s.answerError(platform.CodeBusy, "not run: "+s.quotaReservation.String()+retryAfterText(s.quotaReservation.retryAfter))
}
