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
type payment int

const (
	// paid: it may run.
	paid payment = iota
	// overLimit: the team is at its limit.
	overLimit
	// countedElsewhere: this daemon does not hold the team's slot.
	countedElsewhere
	// burstUntold: the store has to be told first that the team uses its burst.
	burstUntold
)

// receipt is what came of paying, when to come back if it was not paid for, and who counts
// the team's operations if that is known to be another daemon.
type receipt struct {
	result   payment
	comeBack time.Duration
	owner    core.DaemonID
}

// waits says whether an operation is worth a wait for the store.
func (r receipt) waits() bool { return r.result == countedElsewhere || r.result == burstUntold }

// textCountedAt precedes the daemon that counts a team's operations in a refusal; an entry
// takes it from there.
const textCountedAt = "the team's operations are counted at "

func (r receipt) String() string {
	switch {
	case r.result == overLimit:
		return "the team is at its limit"
	case r.result == burstUntold:
		return "the team's burst is not opened yet"
	case r.owner == "":
		return "the team's operations are counted elsewhere"
	}
	return textCountedAt + string(r.owner)
}

// ownerIn is the daemon that a refusal names as the one that counts the team's operations;
// "": it names none.
func ownerIn(text string) core.DaemonID {
	_, rest, _ := strings.Cut(text, textCountedAt)
	owner, _, _ := strings.Cut(rest, ";")
	return core.DaemonID(owner)
}

// payFor pays for the operation of a job before it waits for a member, and again right before
// it is sent if it has waited. false: it is refused; why it is, is kept for its answer.
func (s *session) payFor(j *job) bool {
	if !s.p.limits.inForce || j.reservedAt != 0 && now().Sub(j.reservedAt) < quota.ReservationTTL {
		return true
	}
	team, v := s.p.access.check(s.database, s.key)
	if v != auth.Granted {
		// Whoever sends the statement finds out, and says so.
		return true
	}
	// A daemon that is no home runs only what entries send it that can ask no home. What its
	// own callers ask after a cut, in which it could ask nobody, is for the homes: slots would
	// move to all daemons that were cut off, and back again.
	wants := s.fromEntry || s.p.homes.isHomeOfAny()
	s.quotaReservation = s.p.limits.pay(team, wants)
	if s.quotaReservation.waits() && j.reservedAt == 0 && wants {
		s.p.limits.await(team, s.quotaReservation.result == burstUntold, min(j.waitDeadline(), j.arrived.Add(slotWait)))
		s.quotaReservation = s.p.limits.pay(team, wants)
	}
	if s.quotaReservation.result != paid {
		return false
	}
	j.reservedAt = now()
	return true
}

// passOnUnpaid says whether a caller's own entry, which is a home as well, is to pass a
// statement on to the daemon that counts the team's operations.
func (s *session) passOnUnpaid() bool {
	if s.fromEntry || s.quotaReservation.owner == "" {
		return false
	}
	s.p.homes.setSlotOwner(s.p.access.teamOf(s.key), s.quotaReservation.owner)
	return true
}

// refuseUnpaid refuses an operation of which nothing was sent. Where another daemon counts
// the team's operations, the entry looks for it.
func (s *session) refuseUnpaid(j *job) {
	s.p.stats.unpaid.Add([...]string{"", "over the limit", "counted elsewhere", "burst not opened"}[s.quotaReservation.result], 1)
	s.logDecision("refused", "id", j.id, "reason", s.quotaReservation.String(), "key", s.key.String(), "team", s.p.access.teamOf(s.key), "come_back_ms", s.quotaReservation.comeBack.Milliseconds())
	if s.quotaReservation.result == countedElsewhere {
		s.redirectEntry()
	}
	s.answerError(platform.CodeBusy, "not run: "+s.quotaReservation.String()+retryAfter(s.quotaReservation.comeBack))
}
