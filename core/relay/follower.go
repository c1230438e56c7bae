package relay

import (
	"strconv"
	"time"

	"limpetspan/core"
	"limpetspan/core/spread"
)

// StepKind says what a daemon does next about its configuration.
type StepKind int

// The kinds of steps.
const (
	// Pause does nothing for Wait.
	Pause StepKind = iota
	// Load reads the configuration from the store.
	Load
	// Watch waits at the store for a change, for Wait at most.
	Watch
	// Ask asks Peer for a younger proof, which it may take Wait to get.
	Ask
)

// Step is what a daemon does next about its configuration.
type Step struct {
	Kind StepKind
	Peer core.DaemonID
	Wait time.Duration
	// Timeout is when a question to Peer is given up.
	Timeout time.Duration
}

// Follower is how one daemon keeps its configuration current.
type Follower struct {
	self   core.DaemonID
	budget time.Duration
	// parts is how many watches fit into the budget.
	parts time.Duration
	// watches says that this daemon watches the store; relays are whom it asks
	// otherwise, best first. Until the fleet is known it does neither.
	watches bool
	relays  []core.DaemonID
	// proof is the newest moment as of which the configuration was the store's
	// newest; 0: there is none yet.
	proof core.Time
	// watchable is set once a read has given a revision from which to watch.
	watchable bool
	// failures counts reads of the store that have failed in a row, since failedAt;
	// retryAt is when the next one may be sent.
	failures int
	failedAt core.Time
	retryAt  core.Time
	// consulted is set once relays were asked after the latest failure: one had a young proof,
	// or silentConsulted were silent.
	consulted       bool
	silentConsulted int
	// avoid is until when a relay is not asked.
	avoid map[core.DaemonID]core.Time
}

// NewFollower returns a follower that reads the store once per budget until it is told
// of the fleet. bound is within what time a change has to be in force.
func NewFollower(self core.DaemonID, bound time.Duration) *Follower {
	return &Follower{
		self: self, budget: min(mostBudget, max(leastBudget, bound-OwnReadMargin)), parts: watchParts,
		avoid: make(map[core.DaemonID]core.Time),
	}
}

// KeepYoung has proofs renewed more often: callers of this fleet are refused without one that
// is younger than the bound, so that its age when the store goes away is time in which
// they are not served.
func (f *Follower) KeepYoung() { f.parts = youngParts }

// SetFleet says whether this daemon watches the store, and whom it may ask, best first.
func (f *Follower) SetFleet(watches bool, relays []core.DaemonID) {
	f.watches = watches
	f.relays = relays[:min(len(relays), mostAsked)]
}

// Proof is the newest moment as of which the configuration is known to have been the
// store's newest; 0: it never was.
func (f *Follower) Proof() core.Time { return f.proof }

// Source is the daemon that would be asked first; false: this one watches the store itself.
func (f *Follower) Source() (core.DaemonID, bool) {
	if f.watches || len(f.relays) == 0 {
		return "", false
	}
	return f.relays[0], true
}

// Next is the step to take now.
func (f *Follower) Next(now core.Time) Step {
	if peer, ok := f.consults(now); ok {
		return Step{Kind: Ask, Peer: peer, Timeout: answerTimeout}
	}
	due := f.storeDue()
	if now >= due {
		if f.watches && f.watchable {
			return Step{Kind: Watch, Wait: f.watchFor()}
		}
		return Step{Kind: Load}
	}
	left := due.Sub(now)
	if f.proof != 0 && left < leastAsk {
		return Step{Kind: Pause, Wait: left}
	}
	wakeAt := due
	for _, id := range f.relays {
		if now >= f.avoid[id] {
			wait := min(f.watchFor()+answerSlack, max(0, left-answerTimeout))
			if now.Sub(f.proof) >= 2*f.watchFor() {
				// Two watches have passed: another relay is behind as well, or tells at once.
				wait = 0
			}
			return Step{Kind: Ask, Peer: id, Wait: wait, Timeout: wait + answerTimeout}
		}
		wakeAt = min(wakeAt, f.avoid[id])
	}
	return Step{Kind: Pause, Wait: wakeAt.Sub(now)}
}

// consults says whom a daemon asks that watches the store and gets no answer there: once
// after each failure, as soon as its proof is as old as half of the budget. The store may
// turn it away alone, and then others have a young proof; without one its callers' keys
// cannot be checked, and it refuses all of them until the store answers it again.
func (f *Follower) consults(now core.Time) (core.DaemonID, bool) {
	if !f.watches || f.failures == 0 || f.consulted || f.proof == 0 || now.Sub(f.proof) < f.budget/2 {
		return "", false
	}
	for _, id := range f.relays {
		if now >= f.avoid[id] {
			return id, true
		}
	}
	return "", false
}

// storeDue is when this daemon is to call the store itself. Without the budget's end, a
// relay that is cut from the store while its followers are not would keep a change from
// them for as long as it goes on answering.
func (f *Follower) storeDue() core.Time {
	if f.watches || f.proof == 0 {
		return f.retryAt
	}
	return max(f.retryAt, f.proof.Add(f.budget-f.early()))
}

// early is by how much this daemon's own read comes before the end of its budget, up to
// a tenth of it: a fleet whose relays are all cut off comes spread over that time.
func (f *Follower) early() time.Duration {
	return time.Duration(f.draw(0) * float64(f.budget) / 10)
}

// watchFor is how long a watch waits. Where others depend on it, it has to end so often
// that their proofs stay young.
func (f *Follower) watchFor() time.Duration {
	if len(f.relays) == 0 {
		return f.budget
	}
	return f.budget / f.parts
}

// Loaded takes that a read of the store sent at that time was answered, and that the
// configuration in it has been accepted.
func (f *Follower) Loaded(sent core.Time) {
	f.watchable = true
	f.answered(sent)
}

// Watched takes that a watch sent at that time has ended, and that the configuration in
// it, if any, has been accepted.
func (f *Follower) Watched(sent core.Time) { f.answered(sent) }

func (f *Follower) answered(sent core.Time) {
	f.failures, f.retryAt = 0, 0
	f.proof = max(f.proof, sent)
}

// HistoryGone takes that the store cannot go on from the revision of the last read.
func (f *Follower) HistoryGone() { f.watchable = false }

// StoreFailed takes that a call to the store was refused or not answered.
func (f *Follower) StoreFailed(now core.Time) {
	if f.failures == 0 {
		f.failedAt = now
	}
	f.failures++
	f.consulted, f.silentConsulted = false, 0
	pause := f.pause(now)
	f.retryAt = now.Add(pause - time.Duration(retryJitter*f.draw(f.failures)*float64(pause)))
}

// pause is how long to leave the store alone after the latest failure.
func (f *Follower) pause(now core.Time) time.Duration {
	switch {
	case f.proof == 0:
		part := time.Duration(emptyShare * float64(now.Sub(f.failedAt)))
		return min(emptyRetryMost, max(emptyRetry, part))
	case f.watches:
		return grown(watcherRetry, watcherRetryMost, watcherGrowth, f.failures)
	}
	return grown(followerRetry, followerRetryMost, followerGrowth, f.failures)
}

// grown is the pause after so many failures in a row.
func grown(first, most, growth time.Duration, failures int) time.Duration {
	pause := first
	for ; failures > 1 && pause < most; failures-- {
		pause *= growth
	}
	return min(pause, most)
}

// Told takes a relay's proof, whose configuration has been accepted. A relay whose own
// proof is older than two of its watches, or that has none that is younger after the time
// of a watch, is cut from the store itself; another one may not be.
func (f *Follower) Told(now core.Time, relay core.DaemonID, proof core.Time) {
	f.consulted = now.Sub(proof) < f.budget/2
	behind := now.Sub(proof) > 2*f.watchFor()+answerSlack || f.watches && !f.consulted
	if behind || proof <= f.proof {
		f.avoid[relay] = now.Add(f.avoidance(now))
	}
	if proof <= f.proof {
		return
	}
	f.proof = proof
	if !f.watches {
		f.failures = 0
	}
}

// Silent takes that a relay did not answer, or has no configuration.
func (f *Follower) Silent(now core.Time, relay core.DaemonID) {
	f.avoid[relay] = now.Add(f.avoidance(now))
	f.silentConsulted++
	f.consulted = f.consulted || f.silentConsulted >= mostSilent
}

// avoidance is for how long a relay is not asked that was silent: not for long once this
// daemon's proof has run out, as it refuses callers until it hears from anybody.
func (f *Follower) avoidance(now core.Time) time.Duration {
	if now.Sub(f.proof) >= f.budget {
		return avoidWithoutProof
	}
	return avoidFor
}

// draw is a number between 0 and 1 that differs between daemons and between n.
func (f *Follower) draw(n int) float64 {
	return spread.Unit(string(f.self), strconv.Itoa(n))
}
