// Package era decides what a daemon may do after the platform's store has come back from an
// older copy of itself.
//
// Such a store has lost what it acknowledged last, leases among it, and gives out their
// revisions again. Each of its answers names the era, which rises by one each time. The
// package does no I/O and reads no clock.
//
// # Contract
//
// Whoever hears of a new era stops to rely on what the store said before. Whoever has not
// heard goes on until his lease ends by his own clock. So nobody acts on a lock or slot that
// he takes in a new era before Settle has passed since he first heard of it: it began
// before that, and everything that was given out earlier has run out by then.
//
// The operator and the members write again what is lost. Until RewrittenWithin has passed, an
// answer of the store proves nothing about what is in force.
//
// A daemon that has just started cannot tell a new era from one that has long settled. It
// waits as well, unless another daemon vouches for the era: one that has seen it for Settle
// writes so into the store, and a restored store names an earlier era there. The first era
// has none before it.
package era

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/mirror"
)

const (
	// Settle is longer than anybody acts on what an earlier era has given him: a promotion lock
	// is good for 2.5 s, and its order takes effect within as long again; a slot of teams is
	// held for 4 s.
	Settle = 5 * time.Second
	// RewrittenWithin is how long the operator and the members take to write again what the
	// store has lost.
	RewrittenWithin = 2 * time.Second
)

// Tracker is what one daemon knows of the store's era. It is not safe for concurrent use.
type Tracker struct {
	current mirror.Era
	// seen is when the daemon first heard of the era; 0: it has heard of none.
	seen core.Time
	// vouched says that the era is known to have settled.
	vouched bool
}

// Saw takes the era of an answer, and says whether it ends an earlier one. An answer of an
// earlier era comes late and changes nothing.
func (t *Tracker) Saw(now core.Time, e mirror.Era) (ended bool) {
	if t.seen != 0 && e <= t.current {
		return false
	}
	ended = t.seen != 0
	t.current, t.seen, t.vouched = e, now, e == 0
	return ended
}

// Vouch takes that the era has settled for somebody who has seen it long enough.
func (t *Tracker) Vouch(e mirror.Era) {
	if t.seen != 0 && e == t.current {
		t.vouched = true
	}
}

// Current is the newest era that the daemon has heard of.
func (t *Tracker) Current() mirror.Era { return t.current }

// Settled says whether everything that an earlier era has given out has run out.
func (t *Tracker) Settled(now core.Time) bool {
	return t.seen != 0 && (t.vouched || now.Sub(t.seen) >= Settle)
}

// ProvesFrom is from when on answers of the store prove what is in force.
func (t *Tracker) ProvesFrom() core.Time {
	if t.vouched {
		return 0
	}
	return t.seen.Add(RewrittenWithin)
}
