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
	// Look reads the list of daemons, which may be old: whom to ask is not known yet.
	Look
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
	// looksAt is when the list of daemons is read first. started is set once it was, and
	// fleetAt when the daemon was told of the fleet; 0: it was not.
	looksAt core.Time
	started bool
	fleetAt core.Time
	// proof is the newest moment as of which the configuration was the store's
	// newest; 0: there is none yet.
	proof core.Time
	// provesFrom is from when on answers of the store are proofs.
	provesFrom core.Time
	// watchable is set once a read has given a revision from which to watch.
	watchable bool
	// failures counts reads of the store that have failed in a row, since failedAt;
	// retryAt is when the next one may be sent.
	failures int
	failedAt core.Time
	retryAt  core.Time
	// hurried is set when the daemon needs more than it has.
	hurried bool
	// watchAt is when the next watch may be sent, gathering how long it waits after events.
	watchAt   core.Time
	gathering time.Duration
	// consulted is set once relays were asked after the latest failure: one had a young proof,
	// or silentConsulted were silent.
	consulted       bool
	silentConsulted int
	// avoid is until when a relay is not asked.
	avoid map[core.DaemonID]core.Time
}

// NewFollower returns a follower that looks for other daemons at looksAt, and waits for
// SetFleet then. bound is within what time a change has to be in force.
func NewFollower(self core.DaemonID, bound time.Duration, looksAt core.Time) *Follower {
	return &Follower{
		self: self, budget: min(mostBudget, max(leastBudget, bound-OwnReadMargin)), parts: watchParts, looksAt: looksAt,
		avoid: make(map[core.DaemonID]core.Time),
	}
}

// KeepYoung has proofs renewed more often: callers of this fleet are refused without one that
// is younger than the bound, so that its age when the store goes away is time in which
// they are not served.
func (f *Follower) KeepYoung() { f.parts = youngParts }

// SetFleet says whether this daemon watches the store, and whom it may ask, best first.
func (f *Follower) SetFleet(now core.Time, watches bool, relays []core.DaemonID) {
	if f.fleetAt == 0 {
		f.fleetAt = now
	}
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

// Watches says whether this daemon watches the store.
func (f *Follower) Watches() bool { return f.watches }

// ProveFrom says from when on answers of the store are proofs. A store that has come back
// from an older copy may lack the newest configuration until the operator writes it again.
func (f *Follower) ProveFrom(at core.Time) { f.provesFrom = at }

// Hurry has the next step bring what the daemon lacks at once, whatever its proof.
func (f *Follower) Hurry() {
	f.hurried, f.watchable = true, false
}

// Next is the step to take now.
func (f *Follower) Next(now core.Time) Step {
	if f.fleetAt == 0 {
		return f.start(now)
	}
	if peer, ok := f.consults(now); ok {
		return Step{Kind: Ask, Peer: peer, Timeout: answerTimeout}
	}
	due := f.storeDue()
	if now >= due {
		return f.callStore(now)
	}
	left := due.Sub(now)
	if f.proof != 0 && left < leastAsk && !f.hurried {
		return Step{Kind: Pause, Wait: left}
	}
	wakeAt := due
	for _, id := range f.relays {
		if now >= f.avoid[id] {
			wait := f.askFor(now, left)
			return Step{Kind: Ask, Peer: id, Wait: wait, Timeout: wait + answerTimeout}
		}
		wakeAt = min(wakeAt, f.avoid[id])
	}
	return Step{Kind: Pause, Wait: wakeAt.Sub(now)}
}

// start is the step of a daemon that does not know the fleet. It tries the store for all
// that the daemon needs of it with one cheap read.
func (f *Follower) start(now core.Time) Step {
	due := max(f.looksAt, f.retryAt)
	switch {
	case f.started:
		return Step{Kind: Pause, Wait: f.budget}
	case now < due:
		return Step{Kind: Pause, Wait: due.Sub(now)}
	}
	return Step{Kind: Look}
}

// Looked takes that the list of daemons was read. Whom to ask follows by SetFleet.
func (f *Follower) Looked() {
	f.started = true
	f.failures, f.retryAt = 0, 0
}

func (f *Follower) callStore(now core.Time) Step {
	switch {
	case !f.watches || !f.watchable:
		return Step{Kind: Load}
	case now < f.watchAt:
		return Step{Kind: Pause, Wait: f.watchAt.Sub(now)}
	}
	return Step{Kind: Watch, Wait: f.watchFor()}
}

// askFor is how long a relay may take to get a younger proof, if this daemon's own read is
// due after left.
func (f *Follower) askFor(now core.Time, left time.Duration) time.Duration {
	wait := min(f.watchFor()+answerSlack, max(0, left-answerTimeout))
	switch {
	case f.hurried:
		return 0
	case f.proof == 0:
		// The relay may have started just now as well; another one may have been faster.
		return min(wait, emptyAsk)
	case now.Sub(f.proof) >= 2*f.watchFor():
		// Two watches have passed: another relay is behind as well, or tells at once.
		return 0
	}
	return wait
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
	switch {
	case f.watches, (f.proof == 0 || f.hurried) && len(f.relays) == 0:
		return f.retryAt
	case f.proof == 0:
		// A fleet that starts would fill the store's link with copies of the configuration.
		return max(f.retryAt, f.fleetAt.Add(relaysFirst+time.Duration(f.draw(0)*float64(relaysFirst))))
	}
	return max(f.retryAt, f.proof.Add(f.budget-f.early()))
}

// early is by how much this daemon's own read comes before the end of its budget, up to
// a tenth of it: a fleet whose relays are all cut off comes spread over that time.
func (f *Follower) early() time.Duration {
	return time.Duration(f.draw(0) * float64(f.budget) / 10)
}

// watchFor is how long a watch waits. A proof is as old as the watch that brought it when
// the next one begins. Where others depend on it, or callers are refused without a young one,
// it has to end early.
func (f *Follower) watchFor() time.Duration {
	if len(f.relays) == 0 && f.parts != youngParts {
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

// Watched takes that a watch sent at that time has ended with so many events, which have
// been accepted. After events the next watch waits for others: changes come in bursts, and
// each that ended a watch of its own would be a call.
func (f *Follower) Watched(now, sent core.Time, events int) {
	f.answered(sent)
	switch {
	case events == 0:
		f.gathering = 0
		return
	case now.Sub(sent) > 2*f.gathering:
		f.gathering = gatherFor
	default:
		f.gathering = min(2*f.gathering, max(gatherFor, f.budget/gatherParts))
	}
	f.watchAt = now.Add(f.gathering)
}

func (f *Follower) answered(sent core.Time) {
	f.failures, f.retryAt, f.hurried = 0, 0, false
	if sent >= f.provesFrom {
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
	f.hurried = false
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
