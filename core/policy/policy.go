// Package policy names the mechanisms by which a daemon decides who waits, who is
// turned away and where statements run. All are on; each can be switched off by
// itself, so that a test or a measurement tells what it is worth.
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
	// WindowByRefusals cuts a member's window of statements when it refuses for load.
	WindowByRefusals Set = 1 << iota
	// WindowByAimShare cuts it when statements take a great part of their aims there.
	WindowByAimShare
	// BusyBackoff keeps new statements from a member for a moment after it has refused.
	BusyBackoff
	// OrderByWork has the statements of the database with the least work go first.
	OrderByWork
	// InTimeFirst serves statements that can be in time before those that cannot.
	InTimeFirst
	// NewestFirst serves the newest first while the queue stands.
	NewestFirst
	// Shedding refuses what cannot be in time while the queue stands and others are served.
	Shedding
	// AnswerTimeouts gives up an answer that is many times later than usual.
	AnswerTimeouts
	// RelayedConfirmations lets one daemon's probe of a replica extend all leases.
	RelayedConfirmations
	// SuspicionByThird replaces a silent primary only if a third of the homes miss it.
	SuspicionByThird
	// PassOnWhenCut runs statements for a primary that is cut from this home at another.
	PassOnWhenCut
	// ClaimAgain follows a promotion whose member is lost at once by another one.
	ClaimAgain
	// PlaceByLoad sends reads to the primary as far as it has slots to spare.
	PlaceByLoad
	// PlaceBySlots counts a member's waiting time by its slots rather than by statements.
	PlaceBySlots
	// RefuseHopeless refuses at once what waits for a primary that has long been away.
	RefuseHopeless
	// AvoidFailing sends reads to members whose answers fail less often.
	AvoidFailing
	// GatherTeams has one home of each group serve all of a team's statements.
	GatherTeams
	end
)

// All is every mechanism.
const All = end - 1

var names = [...]string{
	"window-by-refusals", "window-by-aim-share", "busy-backoff", "order-by-work", "in-time-first", "newest-first", "shedding",
	"answer-timeouts", "relayed-confirmations", "suspicion-by-third", "pass-on-when-cut", "claim-again",
	"place-by-load", "place-by-slots", "refuse-hopeless", "avoid-failing", "gather-teams",
}

// renamed leads from a mechanism's old name to its present one.
var renamed = map[string]string{"window-by-strain": "window-by-aim-share"}

// Names lists the mechanisms.
func Names() []string { return slices.Clone(names[:]) }

// Has says whether the mechanism is in the set.
func (s Set) Has(m Set) bool { return s&m != 0 }

// Without returns the set without the named mechanisms.
func (s Set) Without(list ...string) (Set, error) {
	for _, name := range list {
		i := slices.Index(names[:], name)
		if to, old := renamed[name]; old {
			return s, fmt.Errorf("mechanism %q is called %q now", name, to)
		}
		if i < 0 {
			return s, fmt.Errorf("unknown mechanism %q; known are %s", name, strings.Join(names[:], ", "))
		}
		s &^= 1 << i
	}
	return s, nil
}

// Off lists the mechanisms that the set lacks.
func (s Set) Off() []string {
	var off []string
	for i, name := range names {
		if !s.Has(1 << i) {
			off = append(off, name)
		}
	}
	return off
}
