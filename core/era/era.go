// Package era decides what a daemon may do after the platform's store was restored from an older
// copy of itself.
//
// A restored store has lost the writes that it acknowledged last, leases among them, and assigns
// their revisions again. Each of its responses names the era, which rises by one with each
// restore. The package does no I/O and reads no clock.
//
// # Contract
//
// A daemon that observes a new era no longer relies on earlier responses of the store. A daemon
// that has not observed it yet continues until its leases expire by its own clock. A lock or slot
// of a new era is therefore not acted on before SettleDuration has passed since the daemon first
// observed the era: all leases of earlier eras have expired by then.
//
// The operator and the members write the lost data again. Before RewriteDuration has passed, a
// response of the store does not prove which configuration is in force.
//
// A daemon that starts cannot tell a new era from one that has settled. It waits as well, unless
// another daemon attests the era: a daemon that has observed an era for SettleDuration writes an
// attestation to the store, which a restored copy lacks. Era 0 needs no attestation, as no era
// precedes it.
//
// # First start
//
// The platform tells a process if the whole fleet starts for the first time. That settles no era but
// era 0. In an era e > 0, the process cannot exclude either of these orders of events:
//
//   - Daemon a starts, takes a lock or slot in era e-1, and acts on it. The store is restored from a
//     copy without it. Daemon b, which started at the same time, gets its first response now, from
//     era e. If b did not wait, it would take the same lock or slot while a still acts on it.
//   - The fleet has started in era e-1. A daemon is started again in era e with unchanged settings.
//     The restored copy may be older than the first start, so that it holds nothing of the fleet.
//
// In both, the store holds no trace of what it has lost, as it would after a first start in era e.
// For the same reason a missing promotion lock may have been lost, except in era 0. What callers wait
// for if a fleet starts for the first time in a later era is what they wait for after a restore.
package era

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/mirror"
)

const (
	// SettleDuration exceeds every lease of an earlier era: that of a promotion lock, with the time
	// in which a promotion under it takes effect, and that of a slot of teams.
	SettleDuration = 5 * time.Second
	// RewriteDuration is the time within which the operator and the members write the data again
	// that the store has lost.
	RewriteDuration = 2 * time.Second
)

// Tracker tracks the store's era for one daemon. It is not safe for concurrent use.
type Tracker struct {
	current mirror.Era
	// seenAt is when the daemon first observed the current era; 0: it has observed none.
	seenAt core.Time
	// attested is set if the era is known to have settled.
	attested bool
}

// Observe records the era of a response, and reports whether it ends an earlier era. A late
// response of an earlier era changes nothing.
func (t *Tracker) Observe(now core.Time, e mirror.Era) (ended bool) {
	if t.seenAt != 0 && e <= t.current {
		return false
	}
	ended = t.seenAt != 0
	t.current, t.seenAt, t.attested = e, now, e == 0
	return ended
}

// Attest records that the era has settled according to a daemon that has observed it long enough.
func (t *Tracker) Attest(e mirror.Era) {
	if t.seenAt != 0 && e == t.current {
		t.attested = true
	}
}

// Current returns the newest era that the daemon has observed.
func (t *Tracker) Current() mirror.Era { return t.current }

// Settled reports whether all leases of earlier eras have expired.
func (t *Tracker) Settled(now core.Time) bool {
	return t.seenAt != 0 && (t.attested || now.Sub(t.seenAt) >= SettleDuration)
}

// ProofValidFrom returns the time from which responses of the store prove which configuration is in
// force.
func (t *Tracker) ProofValidFrom() core.Time {
	if t.attested {
		return 0
	}
	return t.seenAt.Add(RewriteDuration)
}
