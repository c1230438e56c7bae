package relay

import (
	"math"
	"strconv"
	"time"

	"limpetspan/core"
	"limpetspan/core/mirror"
	"limpetspan/core/spread"
)

// StepKind is the kind of a Step.
type StepKind int

// The kinds of steps.
const (
	// Pause does nothing for Wait.
	Pause StepKind = iota
	// ListDaemons reads the list of daemons, which may be stale, as the relays are not known yet.
	ListDaemons
	// Load reads the configuration from the store.
	Load
	// Watch waits at the store for a change, at most for Wait.
	Watch
	// Check reads the position of the store, without its contents.
	Check
	// Ask asks Peer for a younger proof. Peer may wait for one, at most for Wait.
	Ask
)

// Step is the next action of a daemon to keep its copy up to date.
type Step struct {
	Kind StepKind
	Peer core.DaemonID
	Wait time.Duration
	// Timeout is the time after which a question to Peer or a load is aborted. For a load, 0 means
	// that the caller decides.
	Timeout time.Duration
}

// Follower decides how one daemon keeps its configuration up to date. It is not safe for
// concurrent use.
type Follower struct {
	self core.DaemonID
	// budget is the age of the proof at which the daemon reads the store itself.
	budget time.Duration
	// watchesPerBudget is the number of watches that fit into the budget.
	watchesPerBudget time.Duration
	// watcher is set if this daemon watches the store. relays are the daemons that it asks, best
	// first. Until the fleet is known it does neither.
	watcher bool
	relays  []core.DaemonID
	// listAt is when the list of daemons is first read. listed is set once it has been read.
	// fleetKnownAt is when SetFleet was first called; 0: it has not been called.
	listAt       core.Time
	listed       bool
	fleetKnownAt core.Time
	// proof is the latest time as of which the configuration was the newest one in the store; 0:
	// there is no proof yet.
	proof core.Time
	// trustsWatches is set if a watch that returned changes counts as a proof.
	trustsWatches bool
	// reached is the position up to which the copy holds every change.
	reached mirror.Position
	// incomplete is set if the latest watch returned changes, so that there may be more.
	incomplete bool
	// checked is the position at which the store was when it answered a Check, which was sent at
	// checkedAt; 0: the copy has reached it, or there was no such call.
	checked   mirror.Position
	checkedAt core.Time
	// watchesAfterCheck counts the watches that were sent without a pause to reach that position.
	watchesAfterCheck int
	// answered is when the latest call to the store was sent that was answered.
	answered core.Time
	// proofValidFrom is the time from which calls to the store give a proof.
	proofValidFrom core.Time
	// watchable is set once a read has returned a revision from which to watch.
	watchable bool
	// failures counts the calls to the store that have failed in a row, the first one at failedAt.
	// retryAt is when the next one may be sent.
	failures int
	failedAt core.Time
	retryAt  core.Time
	// unusableWatches counts the watches since the last usable one whose response could not be used.
	unusableWatches int
	// refreshNow is set if the daemon needs data that its copy lacks.
	refreshNow bool
	// watchAt is when the next watch may be sent. batchDelay is the delay of a watch after events.
	watchAt    core.Time
	batchDelay time.Duration
	// consulted is set if no further relay is asked after the latest failure: one had a young
	// proof, or too many did not answer. failedConsults counts those that did not answer.
	consulted      bool
	failedConsults int
	// backoffUntil is the time until which a relay is not asked.
	backoffUntil map[core.DaemonID]core.Time
}

// NewFollower returns a follower that lists the daemons at listAt and then waits for SetFleet.
// bound is the time within which a change has to take effect.
func NewFollower(self core.DaemonID, bound time.Duration, listAt core.Time) *Follower {
	return &Follower{
		self: self, budget: min(maxBudget, max(minBudget, bound-OwnReadMargin)), watchesPerBudget: defaultWatchesPerBudget, listAt: listAt,
		backoffUntil: make(map[core.DaemonID]core.Time),
	}
}

// UseShortWatches renews proofs more often. It is meant for a fleet that rejects callers without a
// proof younger than the bound: the older the proof is when the store goes down, the earlier
// callers are rejected.
func (f *Follower) UseShortWatches() { f.watchesPerBudget = shortWatchesPerBudget }

// TrustWatches takes each watch for a proof, also one that returned changes, of which the store may
// have more. It saves calls in a fleet that serves callers without a young proof.
func (f *Follower) TrustWatches() { f.trustsWatches = true }

// CompleteAsOf returns the time as of which the copy is complete with the changes of a watch that was
// sent at the given time.
func (f *Follower) CompleteAsOf(sent core.Time) core.Time {
	if f.trustsWatches {
		return sent
	}
	return f.proof
}

// SetFleet sets whether this daemon watches the store, and which relays it may ask, best first.
func (f *Follower) SetFleet(now core.Time, watcher bool, relays []core.DaemonID) {
	if f.fleetKnownAt == 0 {
		f.fleetKnownAt = now
	}
	f.watcher = watcher
	f.relays = relays[:min(len(relays), maxRelays)]
}

// Proof returns the latest time as of which the configuration is known to have been the newest one
// in the store, 0 if there is none.
func (f *Follower) Proof() core.Time { return f.proof }

// Source returns the daemon that is asked first. It returns false if this daemon watches the store
// itself or knows no relay.
func (f *Follower) Source() (core.DaemonID, bool) {
	if f.watcher || len(f.relays) == 0 {
		return "", false
	}
	return f.relays[0], true
}

// IsWatcher reports whether this daemon watches the store.
func (f *Follower) IsWatcher() bool { return f.watcher }

// SetProofValidFrom sets the time from which calls to the store give a proof. A store that was
// restored from an older copy may lack the newest configuration until the operator writes it
// again.
func (f *Follower) SetProofValidFrom(at core.Time) { f.proofValidFrom = at }

// RefreshNow makes the next step fetch at once what the copy lacks, whatever the age of the proof.
func (f *Follower) RefreshNow() {
	f.refreshNow, f.watchable = true, false
}

// Next returns the step to take now.
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

// startStep returns the step of a daemon that does not know the fleet yet. While the store does not
// answer, only this cheap read is retried; all other data that the daemon needs from the store has
// to wait for it.
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

// DaemonsListed records that the list of daemons was read. The caller sets the relays by SetFleet.
func (f *Follower) DaemonsListed() {
	f.listed = true
	f.failures, f.retryAt = 0, 0
}

// storeStep returns the step that calls the store itself.
func (f *Follower) storeStep(now core.Time) Step {
	switch {
	case !f.watcher || !f.watchable:
		return Step{Kind: Load}
	case f.triesOtherCall(now):
		return Step{Kind: Load, Timeout: time.Duration(f.failures) * trialLoadTimeout / minFailuresOfOneCall}
	case now >= f.checkDue():
		return Step{Kind: Check}
	case now < f.watchAt && !f.catchesUp():
		return Step{Kind: Pause, Wait: min(f.watchAt, f.checkDue()).Sub(now)}
	case f.failures > 0 || now.Sub(f.answered) > f.budget+answerSlack:
		// This daemon has failed to reach the store or was frozen. If the store does not answer, a call
		// that waits for changes takes as long to fail. A short one returns what was missed.
		return Step{Kind: Watch, Wait: shortWatch}
	case f.incomplete:
		// A watch that ends without a change is the cheapest proof.
		return Step{Kind: Watch, Wait: max(shortWatch, min(f.watchDuration(), f.checkAge()-now.Sub(f.proof)))}
	}
	return Step{Kind: Watch, Wait: f.watchDuration()}
}

// checkDue returns when a watcher reads the position of the store, if its watches have returned changes for
// so long that none of them has proved the copy. After a failure it watches first.
func (f *Follower) checkDue() core.Time {
	if !f.incomplete || f.checkedAt != 0 || f.failures > 0 {
		return math.MaxInt64
	}
	return max(f.proofValidFrom, f.proof.Add(f.checkAge()))
}

// checkAge returns the age of the proof from which the position of the store is read. Without changes, a
// proof is two watches old at most.
func (f *Follower) checkAge() time.Duration { return 2 * f.watchDuration() }

// catchesUp reports whether the copy lacks changes that the store is known to have. The next watch returns
// them, or a part of them, at once.
func (f *Follower) catchesUp() bool {
	return f.checkedAt != 0 && f.watchesAfterCheck < maxWatchesAfterCheck
}

// triesOtherCall reports whether a watcher loads the copy, although it could watch. If it has followed
// nothing for its budget, the reason may be the watch itself rather than the store, and so every other
// call is a load. Its timeout grows, as it fails too if the store is unreachable.
func (f *Follower) triesOtherCall(now core.Time) bool {
	return f.failures >= minFailuresOfOneCall && f.failures%2 == 0 && now.Sub(f.proof) >= f.budget
}

// askWait returns how long a relay may wait for a younger proof if this daemon's own read is due
// after left.
func (f *Follower) askWait(now core.Time, left time.Duration) time.Duration {
	wait := min(f.watchDuration()+answerSlack, max(0, left-answerTimeout))
	switch {
	case f.refreshNow:
		return 0
	case f.proof == 0:
		// The relay may have just started as well, and another one may already have a copy.
		return min(wait, noCopyAskWait)
	case now.Sub(f.proof) >= 2*f.watchDuration():
		// Two watches have passed, so a relay either has a younger proof now or is behind as well.
		return 0
	}
	return wait
}

// relayToConsult returns the relay that a watcher asks when its calls to the store fail: once after
// each failure, as soon as its proof is as old as half of the budget. The store may reject this
// daemon alone, and then other daemons have a young proof. Without a young proof this daemon cannot
// check its callers' keys, and rejects all callers until the store answers again.
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

// storeCallDue returns when this daemon is to call the store itself. It does so at the end of the
// budget at the latest. Otherwise a relay that is partitioned from the store, while its followers
// are not, would withhold a change from them for as long as it answers.
func (f *Follower) storeCallDue() core.Time {
	switch {
	case f.watcher, (f.proof == 0 || f.refreshNow) && len(f.relays) == 0:
		return f.retryAt
	case f.proof == 0:
		// If all daemons of a fleet that starts read the store at once, copies of the configuration
		// would saturate its link.
		return max(f.retryAt, f.fleetKnownAt.Add(relaysOnlyDuration+time.Duration(f.jitter(0)*float64(relaysOnlyDuration))))
	}
	return max(f.retryAt, f.proof.Add(f.budget-f.readAdvance()))
}

// readAdvance returns by how much this daemon's own read precedes the end of its budget, up to a
// tenth of it. It spreads the reads of a fleet whose relays are all partitioned over that time.
func (f *Follower) readAdvance() time.Duration {
	return time.Duration(f.jitter(0) * float64(f.budget) / 10)
}

// watchDuration returns how long a watch waits. When a watch ends, its proof is as old as the
// watch. So a watch is shorter than the budget if other daemons depend on the proof, or if callers
// are rejected without a young one.
func (f *Follower) watchDuration() time.Duration {
	if len(f.relays) == 0 && f.watchesPerBudget != shortWatchesPerBudget {
		return f.budget
	}
	return f.budget / f.watchesPerBudget
}

// Loaded records that a read of the store, sent at the given time, was answered and that its
// configuration was accepted.
func (f *Follower) Loaded(sent core.Time) {
	f.watchable = true
	f.storeAnswered(sent)
	f.prove(sent)
}

// Reached records the position up to which the copy holds every change. If the store was at that position
// or at an earlier one when it was checked, the copy is proved as of the sending of that call.
func (f *Follower) Reached(copied mirror.Position) {
	f.reached = copied
	if f.checkedAt != 0 && copied.Era == f.checked.Era && !copied.Before(f.checked) {
		f.prove(f.checkedAt)
	}
}

// Checked records that the store, asked at the given time, was at that position.
func (f *Follower) Checked(sent core.Time, store mirror.Position) {
	f.storeAnswered(sent)
	f.checked, f.checkedAt, f.watchesAfterCheck = store, sent, 0
	f.Reached(f.reached)
}

// Watched records that a watch, sent at the given time, ended with this number of events, which
// were accepted. Without events it proves the copy: there was no change to return. With events it does
// not, as the store may have more of them than it has returned. After events the next watch is delayed:
// changes come in bursts, and without a delay each of them would end a watch and cost a call.
func (f *Follower) Watched(now, sent core.Time, events int) {
	f.unusableWatches = 0
	f.watchesAfterCheck++
	f.storeAnswered(sent)
	if events == 0 || f.trustsWatches {
		f.prove(sent)
	}
	switch {
	case events == 0:
		f.batchDelay = 0
		return
	case now.Sub(sent) > 2*f.batchDelay:
		f.batchDelay = minBatchDelay
	default:
		f.batchDelay = min(2*f.batchDelay, max(minBatchDelay, f.budget/maxBatchDelayDivisor))
	}
	f.incomplete = !f.trustsWatches
	f.watchAt = now.Add(f.batchDelay)
}

func (f *Follower) storeAnswered(sent core.Time) {
	f.failures, f.retryAt, f.refreshNow, f.answered = 0, 0, false, sent
}

// prove records that the copy was complete at the given time. That is a proof unless the store itself may
// lack the newest configuration.
func (f *Follower) prove(at core.Time) {
	f.incomplete, f.checkedAt = false, 0
	if at >= f.proofValidFrom {
		f.proof = max(f.proof, at)
	}
}

// HistoryGone records that the store can no longer watch from the revision of the last read.
func (f *Follower) HistoryGone() { f.watchable = false }

// WatchUnusable records that the store answered a watch with something that cannot be used, such as
// that the history is gone, or more changes than a response may hold. The same watch would be
// answered in the same way, so the copy is loaded: at once the first time, and with growing delays
// if the watch after a load cannot be used either.
func (f *Follower) WatchUnusable(now core.Time) {
	f.watchable = false
	if f.unusableWatches > 0 {
		f.retryAt = now.Add(exponentialDelay(watcherRetry, watcherRetryMax, watcherGrowth, f.unusableWatches))
	}
	f.unusableWatches++
}

// StoreFailed records that a call to the store was rejected or got no response.
func (f *Follower) StoreFailed(now core.Time) {
	if f.failures == 0 {
		f.failedAt = now
	}
	f.failures++
	f.consulted, f.failedConsults = false, 0
	pause := f.retryDelay(now)
	f.retryAt = now.Add(pause - time.Duration(retryJitter*f.jitter(f.failures)*float64(pause)))
}

// retryDelay returns the delay before the next call to the store after the latest failure, without
// jitter.
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

// exponentialDelay returns the delay after a number of failures in a row.
func exponentialDelay(first, limit, growth time.Duration, failures int) time.Duration {
	pause := first
	for ; failures > 1 && pause < limit; failures-- {
		pause *= growth
	}
	return min(pause, limit)
}

// RelayAnswered records a relay's proof, whose configuration was accepted. The relay is not asked
// for a while if its proof is older than two of its watches and answerSlack, if the answer has neither
// changes nor a proof younger than this daemon's own, or if this daemon is a watcher and the proof is as
// old as half of the budget. In these cases the relay itself is probably partitioned from the store, and another
// relay may reach it.
func (f *Follower) RelayAnswered(now core.Time, relay core.DaemonID, proof core.Time, changed bool) {
	f.refreshNow = false
	f.consulted = now.Sub(proof) < f.budget/2
	behind := now.Sub(proof) > 2*f.watchDuration()+answerSlack || f.watcher && !f.consulted
	if behind || proof <= f.proof && !changed {
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

// RelayFailed records that a relay did not answer or has no configuration.
func (f *Follower) RelayFailed(now core.Time, relay core.DaemonID) {
	f.backoffUntil[relay] = now.Add(f.backoff(now))
	f.failedConsults++
	f.consulted = f.consulted || f.failedConsults >= maxFailedConsults
}

// backoff returns for how long a relay is not asked after it failed or was behind. It is shorter
// once this daemon's proof has expired, as callers are rejected until the daemon has a new one.
func (f *Follower) backoff(now core.Time) time.Duration {
	if now.Sub(f.proof) >= f.budget {
		return relayRetryDelayWithoutProof
	}
	return relayRetryDelay
}

// jitter returns a number between 0 and 1 that depends on the daemon and on n.
func (f *Follower) jitter(n int) float64 {
	return spread.Unit(string(f.self), strconv.Itoa(n))
}
