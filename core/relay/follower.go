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
	// ListDaemons reads the list of daemons, which may be old: whom to ask is not known yet.
	ListDaemons
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
	watchesPerBudget time.Duration
	// watches says that this daemon watches the store; relays are whom it asks
	// otherwise, best first. Until the fleet is known it does neither.
	watcher bool
	relays  []core.DaemonID
	// listAt is when the list of daemons is read first. started is set once it was, and
	// fleetKnownAt when the daemon was told of the fleet; 0: it was not.
	listAt       core.Time
	listed       bool
	fleetKnownAt core.Time
	// proof is the newest moment as of which the configuration was the store's
	// newest; 0: there is none yet.
	proof core.Time
	// proofValidFrom is from when on answers of the store are proofs.
	proofValidFrom core.Time
	// watchable is set once a read has given a revision from which to watch.
	watchable bool
	// failures counts reads of the store that have failed in a row, since failedAt;
	// retryAt is when the next one may be sent.
	failures int
	failedAt core.Time
	retryAt  core.Time
	// refreshNow is set when the daemon needs more than it has.
	refreshNow bool
	// watchAt is when the next watch may be sent, batchDelay how long it waits after events.
	watchAt    core.Time
	batchDelay time.Duration
	// consulted is set once relays were asked after the latest failure: one had a young proof,
	// or failedConsults were silent.
	consulted      bool
	failedConsults int
	// avoid is until when a relay is not asked.
	backoffUntil map[core.DaemonID]core.Time
}

// NewFollower returns a follower that looks for other daemons at listAt, and waits for
// SetFleet then. bound is within what time a change has to be in force.
func NewFollower(self core.DaemonID, bound time.Duration, listAt core.Time) *Follower {
	return &Follower{
		self: self, budget: min(maxBudget, max(minBudget, bound-OwnReadMargin)), watchesPerBudget: defaultWatchesPerBudget, listAt: listAt,
		backoffUntil: make(map[core.DaemonID]core.Time),
	}
}

// UseShortWatches has proofs renewed more often: callers of this fleet are refused without one that
// is younger than the bound, so that its age when the store goes away is time in which
// they are not served.
func (f *Follower) UseShortWatches() { f.watchesPerBudget = shortWatchesPerBudget }

// SetFleet says whether this daemon watches the store, and whom it may ask, best first.
func (f *Follower) SetFleet(now core.Time, watcher bool, relays []core.DaemonID) {
	if f.fleetKnownAt == 0 {
		f.fleetKnownAt = now
	}
	f.watcher = watcher
	f.relays = relays[:min(len(relays), maxRelays)]
}

// Proof is the newest moment as of which the configuration is known to have been the
// store's newest; 0: it never was.
func (f *Follower) Proof() core.Time { return f.proof }

// Source is the daemon that would be asked first; false: this one watches the store itself.
func (f *Follower) Source() (core.DaemonID, bool) {
	if f.watcher || len(f.relays) == 0 {
		return "", false
	}
	return f.relays[0], true
}

// Watches says whether this daemon watches the store.
func (f *Follower) IsWatcher() bool { return f.watcher }

// SetProofValidFrom says from when on answers of the store are proofs. A store that has come back
// from an older copy may lack the newest configuration until the operator writes it again.
func (f *Follower) SetProofValidFrom(at core.Time) { f.proofValidFrom = at }

// RefreshNow has the next step bring what the daemon lacks at once, whatever its proof.
func (f *Follower) RefreshNow() {
	f.refreshNow, f.watchable = true, false
}

// Next is the step to take now.
func (f *Follower) Next(now core.Time) Step {
	if f.fleetKnownAt == 0 {
		return f.startStep(now)
	}
	if peer, ok := f.relayToConsult(now); ok {
		return Step{Kind: Ask, Peer: peer, Timeout: answerTimeout}
	}
	due := f.storeCallDue()
	if now >= due {
		return f.storeStep(now)
	}
	left := due.Sub(now)
	if f.proof != 0 && left < minAskTime && !f.refreshNow {
		return Step{Kind: Pause, Wait: left}
	}
	resumeAt := due
	for _, id := range f.relays {
		if now >= f.backoffUntil[id] {
			wait := f.askWait(now, left)
			return Step{Kind: Ask, Peer: id, Wait: wait, Timeout: wait + answerTimeout}
		}
		resumeAt = min(resumeAt, f.backoffUntil[id])
	}
	return Step{Kind: Pause, Wait: resumeAt.Sub(now)}
}

// start is the step of a daemon that does not know the fleet. It tries the store for all
// that the daemon needs of it with one cheap read.
func (f *Follower) startStep(now core.Time) Step {
	due := max(f.listAt, f.retryAt)
	switch {
	case f.listed:
		return Step{Kind: Pause, Wait: f.budget}
	case now < due:
		return Step{Kind: Pause, Wait: due.Sub(now)}
	}
	return Step{Kind: ListDaemons}
}

// DaemonsListed takes that the list of daemons was read. Whom to ask follows by SetFleet.
func (f *Follower) DaemonsListed() {
	f.listed = true
	f.failures, f.retryAt = 0, 0
}

func (f *Follower) storeStep(now core.Time) Step {
	switch {
	case !f.watcher || !f.watchable:
		return Step{Kind: Load}
	case now < f.watchAt:
		return Step{Kind: Pause, Wait: f.watchAt.Sub(now)}
	}
	return Step{Kind: Watch, Wait: f.watchDuration()}
}

// askWait is how long a relay may take to get a younger proof, if this daemon's own read is
// due after left.
func (f *Follower) askWait(now core.Time, left time.Duration) time.Duration {
	wait := min(f.watchDuration()+answerSlack, max(0, left-answerTimeout))
	switch {
	case f.refreshNow:
		return 0
	case f.proof == 0:
		// The relay may have started just now as well; another one may have been faster.
		return min(wait, noCopyAskWait)
	case now.Sub(f.proof) >= 2*f.watchDuration():
		// Two watches have passed: another relay is behind as well, or tells at once.
		return 0
	}
	return wait
}

// consults says whom a daemon asks that watches the store and gets no answer there: once
// after each failure, as soon as its proof is as old as half of the budget. The store may
// turn it away alone, and then others have a young proof; without one its callers' keys
// cannot be checked, and it refuses all of them until the store answers it again.
func (f *Follower) relayToConsult(now core.Time) (core.DaemonID, bool) {
	if !f.watcher || f.failures == 0 || f.consulted || f.proof == 0 || now.Sub(f.proof) < f.budget/2 {
		return "", false
	}
	for _, id := range f.relays {
		if now >= f.backoffUntil[id] {
			return id, true
		}
	}
	return "", false
}

// storeDue is when this daemon is to call the store itself. Without the budget's end, a
// relay that is cut from the store while its followers are not would keep a change from
// them for as long as it goes on answering.
func (f *Follower) storeCallDue() core.Time {
	switch {
	case f.watcher, (f.proof == 0 || f.refreshNow) && len(f.relays) == 0:
		return f.retryAt
	case f.proof == 0:
		// A fleet that starts would fill the store's link with copies of the configuration.
		return max(f.retryAt, f.fleetKnownAt.Add(relaysOnlyDuration+time.Duration(f.jitter(0)*float64(relaysOnlyDuration))))
	}
	return max(f.retryAt, f.proof.Add(f.budget-f.readAdvance()))
}

// early is by how much this daemon's own read comes before the end of its budget, up to
// a tenth of it: a fleet whose relays are all cut off comes spread over that time.
func (f *Follower) readAdvance() time.Duration {
	return time.Duration(f.jitter(0) * float64(f.budget) / 10)
}

// watchDuration is how long a watch waits. A proof is as old as the watch that brought it when
// the next one begins. Where others depend on it, or callers are refused without a young one,
// it has to end early.
func (f *Follower) watchDuration() time.Duration {
	if len(f.relays) == 0 && f.watchesPerBudget != shortWatchesPerBudget {
		return f.budget
	}
	return f.budget / f.watchesPerBudget
}

// Loaded takes that a read of the store sent at that time was answered, and that the
// configuration in it has been accepted.
func (f *Follower) Loaded(sent core.Time) {
	f.watchable = true
	f.storeAnswered(sent)
}

// Watched takes that a watch sent at that time has ended with so many events, which have
// been accepted. After events the next watch waits for others: changes come in bursts, and
// each that ended a watch of its own would be a call.
func (f *Follower) Watched(now, sent core.Time, events int) {
	f.storeAnswered(sent)
	switch {
	case events == 0:
		f.batchDelay = 0
		return
	case now.Sub(sent) > 2*f.batchDelay:
		f.batchDelay = minBatchDelay
	default:
		f.batchDelay = min(2*f.batchDelay, max(minBatchDelay, f.budget/maxBatchDelayParts))
	}
	f.watchAt = now.Add(f.batchDelay)
}

func (f *Follower) storeAnswered(sent core.Time) {
	f.failures, f.retryAt, f.refreshNow = 0, 0, false
	if sent >= f.proofValidFrom {
		f.proof = max(f.proof, sent)
	}
}

// HistoryGone takes that the store cannot go on from the revision of the last read.
func (f *Follower) HistoryGone() { f.watchable = false }

// StoreFailed takes that a call to the store was refused or not answered.
func (f *Follower) StoreFailed(now core.Time) {
	if f.failures == 0 {
		f.failedAt = now
	}
	f.failures++
	f.consulted, f.failedConsults = false, 0
	pause := f.retryDelay(now)
	f.retryAt = now.Add(pause - time.Duration(retryJitter*f.jitter(f.failures)*float64(pause)))
}

// pause is how long to leave the store alone after the latest failure.
func (f *Follower) retryDelay(now core.Time) time.Duration {
	switch {
	case f.proof == 0:
		part := time.Duration(noCopyRetryShare * float64(now.Sub(f.failedAt)))
		return min(noCopyRetryMax, max(noCopyRetry, part))
	case f.watcher:
		return exponentialDelay(watcherRetry, watcherRetryMax, watcherGrowth, f.failures)
	}
	return exponentialDelay(followerRetry, followerRetryMax, followerGrowth, f.failures)
}

// grown is the pause after so many failures in a row.
func exponentialDelay(first, limit, growth time.Duration, failures int) time.Duration {
	pause := first
	for ; failures > 1 && pause < limit; failures-- {
		pause *= growth
	}
	return min(pause, limit)
}

// RelayAnswered takes a relay's proof, whose configuration has been accepted. A relay whose own
// proof is older than two of its watches, or that has none that is younger after the time
// of a watch, is cut from the store itself; another one may not be.
func (f *Follower) RelayAnswered(now core.Time, relay core.DaemonID, proof core.Time) {
	f.refreshNow = false
	f.consulted = now.Sub(proof) < f.budget/2
	behind := now.Sub(proof) > 2*f.watchDuration()+answerSlack || f.watcher && !f.consulted
	if behind || proof <= f.proof {
		f.backoffUntil[relay] = now.Add(f.backoff(now))
	}
	if proof <= f.proof {
		return
	}
	f.proof = proof
	if !f.watcher {
		f.failures = 0
	}
}

// RelayFailed takes that a relay did not answer, or has no configuration.
func (f *Follower) RelayFailed(now core.Time, relay core.DaemonID) {
	f.backoffUntil[relay] = now.Add(f.backoff(now))
	f.failedConsults++
	f.consulted = f.consulted || f.failedConsults >= maxFailedConsults
}

// avoidance is for how long a relay is not asked that was silent: not for long once this
// daemon's proof has run out, as it refuses callers until it hears from anybody.
func (f *Follower) backoff(now core.Time) time.Duration {
	if now.Sub(f.proof) >= f.budget {
		return relayRetryDelayWithoutProof
	}
	return relayRetryDelay
}

// draw is a number between 0 and 1 that differs between daemons and between n.
func (f *Follower) jitter(n int) float64 {
	return spread.Unit(string(f.self), strconv.Itoa(n))
}
