// Package era decides what a daemon may do after the platform's store has come back from an
// older copy of itself.
//
// Such a store has lost what it acknowledged last, leases among it, and gives out their
// revisions again. Each of its answers names the era, which rises by one each time. The
// package does no I/O and reads no clock.
//
// # Contract
//
// A daemon that learns of a new era no longer relies on earlier answers of the store. One
// that has not learnt of it continues until its leases expire by its own clock. A lock or
// slot of a new era is therefore not acted on before SettleDuration has passed since the daemon first
// saw the era: all leases of earlier eras have expired by then.
//
// The operator and the members write again what is lost. Before RewriteDuration has passed, an
// answer of the store does not prove what is in force.
//
// A daemon that starts cannot tell a new era from one that has settled. It waits as well,
// unless another daemon vouches for the era: one that has seen it for SettleDuration writes a note to
// the store, which a restored copy lacks. Era 0 has none before it.
package era

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/mirror"
)

const (
	// SettleDuration exceeds every lease of an earlier era: a promotion lock with the time in which its
	// order takes effect, and a slot of teams.
	SettleDuration = 5 * time.Second
	// RewriteDuration is how long the operator and the members take to write again what the
	// store has lost.
	RewriteDuration = 2 * time.Second
)

// Tracker is what one daemon knows of the store's era. It is not safe for concurrent use.
type Tracker struct {
	current mirror.Era
	// seen is when the daemon first heard of the era; 0: it has heard of none.
	seenAt core.Time
	// attested says that the era is known to have settled.
	attested bool
}

// Saw takes the era of an answer, and says whether it ends an earlier one. An answer of an
// earlier era comes late and changes nothing.
func (t *Tracker) Observe(now core.Time, e mirror.Era) (ended bool) {
	if t.seenAt != 0 && e <= t.current {
		return false
	}
	ended = t.seenAt != 0
	t.current, t.seenAt, t.attested = e, now, e == 0
	return ended
}

// Vouch takes that the era has settled for somebody who has seen it long enough.
func (t *Tracker) Attest(e mirror.Era) {
	if t.seenAt != 0 && e == t.current {
		t.attested = true
	}
}

// Current is the newest era that the daemon has heard of.
func (t *Tracker) Current() mirror.Era { return t.current }

// Settled says whether everything that an earlier era has given out has run out.
func (t *Tracker) Settled(now core.Time) bool {
	return t.seenAt != 0 && (t.attested || now.Sub(t.seenAt) >= SettleDuration)
}

// ProofValidFrom is from when on answers of the store prove what is in force.
func (t *Tracker) ProofValidFrom() core.Time {
	if t.attested {
		return 0
	}
	return t.seenAt.Add(RewriteDuration)
}
