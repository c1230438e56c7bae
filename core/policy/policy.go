// Package policy names the mechanisms by which a daemon decides which statements wait, which are
// rejected and where statements run. All are on by default. Each can be switched off on its own, so
// that a test or a measurement shows its effect.
package policy

import (
	"fmt"
	"slices"
	"strings"
)

// Set is a set of mechanisms.
type Set uint32

// The mechanisms.
const (
	// WindowByRefusals reduces a member's window of concurrent statements when the member refuses
	// statements because of load.
	WindowByRefusals Set = 1 << iota
	// WindowByAimShare reduces the window when statements on the member take a large part of the
	// time to their latency aims.
	WindowByAimShare
	// BusyBackoff sends no new statements to a member for a short time after it has refused one.
	BusyBackoff
	// OrderByWork serves the statements of the database with the shortest service time first.
	OrderByWork
	// InTimeFirst serves statements whose answers can be in time before those that are late.
	InTimeFirst
	// NewestFirst serves the newest statements first during a standing queue.
	NewestFirst
	// Shedding rejects statements that cannot be in time during a standing queue, while others are
	// served.
	Shedding
	// AnswerTimeouts aborts the wait for an answer that takes many times longer than usual.
	AnswerTimeouts
	// RelayedConfirmations lets one daemon's probe of a replica extend the leases of all daemons.
	RelayedConfirmations
	// SuspicionByThird replaces an unresponsive primary only if at least a third of the homes suspect it.
	SuspicionByThird
	// PassOnWhenCut forwards statements for the primary to another home when this home is
	// partitioned from the primary.
	PassOnWhenCut
	// ClaimAgain promotes another member at once when the promoted member is lost.
	ClaimAgain
	// PlaceByLoad sends reads to the primary while it has free slots.
	PlaceByLoad
	// PlaceBySlots estimates the wait at a member from the statements beyond its free slots rather
	// than from all of its statements.
	PlaceBySlots
	// RefuseHopeless rejects a statement at once if the primary has been unavailable for much
	// longer than the statement can wait.
	RefuseHopeless
	// AvoidFailing sends reads preferably to members whose answers fail less often.
	AvoidFailing
	// GatherTeams lets one home of each group serve all statements of a team.
	GatherTeams
	// SharedHealth lets all sessions of an entry share one verdict about each home, which needs
	// silence towards echoes, and a backoff that grows from a tenth of a second.
	SharedHealth
	// Forecast rejects a statement on arrival that would get a place too late. Where it is in force,
	// it takes the place of NewestFirst and Shedding.
	Forecast
	// ScheduledReturns tells rejected callers to retry when there is capacity for them, and serves
	// those that do before newcomers of their kind.
	ScheduledReturns
	// SharedLoad places reads by what all homes have running on the members, where members or hosts
	// are uneven.
	SharedLoad
	// HomesByLoad gives overloaded hosts fewer groups and sessions as homes, where hosts are uneven.
	HomesByLoad
	// SplitLimits lets a second daemon give out a part of each team's limit, so that teams are served
	// while the holder of their slot is lost.
	SplitLimits
	// HedgedReads sends a read to a second home if the first one does not answer it in time.
	HedgedReads
	// HedgeAtPercentile hedges reads that take longer than nearly all others. Without it, only reads at
	// a home that is suspected to be lost are hedged.
	HedgeAtPercentile
	end
)

// All is the set of all mechanisms.
const All = end - 1

var names = [...]string{
	"window-by-refusals", "window-by-aim-share", "busy-backoff", "order-by-work", "in-time-first", "newest-first", "shedding",
	"answer-timeouts", "relayed-confirmations", "suspicion-by-third", "pass-on-when-cut", "claim-again",
	"place-by-load", "place-by-slots", "refuse-hopeless", "avoid-failing", "gather-teams",
	"shared-health", "forecast", "scheduled-returns", "shared-load", "homes-by-load", "split-limits", "hedged-reads", "hedge-at-percentile",
}

// renamed maps the old name of a mechanism to its present name.
var renamed = map[string]string{"window-by-strain": "window-by-aim-share"}

// Names returns the names of all mechanisms.
func Names() []string { return slices.Clone(names[:]) }

// Has reports whether the mechanism is in the set.
func (s Set) Has(m Set) bool { return s&m != 0 }

// Without returns the set without the named mechanisms.
func (s Set) Without(list ...string) (Set, error) {
	for _, name := range list {
		i := slices.Index(names[:], name)
		if to, old := renamed[name]; old {
			return s, fmt.Errorf("mechanism %q has been renamed to %q", name, to)
		}
		if i < 0 {
			return s, fmt.Errorf("unknown mechanism %q; known mechanisms: %s", name, strings.Join(names[:], ", "))
		}
		s &^= 1 << i
	}
	return s, nil
}

// Off returns the names of the mechanisms that are not in the set.
func (s Set) Off() []string {
	var off []string
	for i, name := range names {
		if !s.Has(1 << i) {
			off = append(off, name)
		}
	}
	return off
}
