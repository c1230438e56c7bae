package proxy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/quota"
)

// limits counts the operations of the teams whose slots this daemon holds, and acquires slots
// from the store as core/quota decides.
type limits struct {
	p *Proxy
	// enabled is set if teams have limits.
	enabled bool
	// split is set if each limit is split between the holders of a slot and of its second slot.
	split     bool
	tolerance quota.Tolerance
	// signal ends a pause of run when there is something to do.
	signal chan struct{}

	mu       sync.Mutex
	holder   *quota.Holder
	counters map[core.TeamID]*teamCounter
	// secondCounters count operations against the second parts of split limits.
	secondCounters map[core.TeamID]*teamCounter
	// secondRequestedAt is when second slots were last requested without need.
	secondRequestedAt core.Time
	// slotsChanged is closed and replaced when slots were taken or listed.
	slotsChanged chan struct{}
}

// teamCounter counts one team's operations at this daemon.
type teamCounter struct {
	quota.Counter
	limit quota.Limit
	// atLimit is set from the first denied operation until none has been denied for atLimitDuration.
	// Each change is logged. deniedAt is when an operation was last denied.
	atLimit        bool
	deniedAt       core.Time
	served, denied int64
}

func newLimits(p *Proxy) *limits {
	l := &limits{
		p: p, enabled: p.settings.LimitsEnabled, tolerance: p.settings.QuotaTolerance, signal: make(chan struct{}, 1), slotsChanged: make(chan struct{}),
		counters: make(map[core.TeamID]*teamCounter), secondCounters: make(map[core.TeamID]*teamCounter), secondRequestedAt: now(),
	}
	l.setSplit()
	return l
}

// reserve counts one of the team's operations, which is to be sent now, against the team's limit.
// mayTakeSlot says whether this daemon may take the team's slot to run it. useSecond says that the
// second part of the limit, if this daemon gives it out, may be used although another daemon holds the
// slot: the entry cannot reach that daemon, or has been refused there.
func (l *limits) reserve(team auth.Team, mayTakeSlot, useSecond bool) quotaReservation {
	if !l.enabled || !team.Limited {
		return quotaReservation{}
	}
	slot := quota.SlotOf(team.ID)
	l.mu.Lock()
	defer l.mu.Unlock()
	at := now()
	held, ok := l.holder.Holds(at, slot)
	if !ok && useSecond && l.holdsSecond(at, slot) {
		l.requestLost(at, slot, mayTakeSlot)
		return l.reserveSecond(at, team)
	}
	if owner := l.otherHolder(at, slot); !ok && owner != "" {
		return quotaReservation{result: slotNotHeld, retryAfter: quota.RetryDelay, owner: owner}
	}
	if ok || mayTakeSlot {
		l.holder.Request(at, slot)
	}
	if !ok {
		l.notify()
		if l.holdsSecond(at, slot) {
			return l.reserveSecond(at, team)
		}
		return quotaReservation{result: slotNotHeld, retryAfter: quota.RetryDelay, owner: l.holder.OtherOwner(slot)}
	}
	if l.split {
		if r := l.count(at, held, team, quota.FirstPart); r.result != overLimit || !l.holdsSecond(at, slot) {
			return r
		}
		return l.reserveSecond(at, team)
	}
	return l.count(at, held, team, quota.Whole)
}

// count counts an operation of the team against the part of its limit that the holding stands for.
// The lock is held.
func (l *limits) count(at core.Time, held quota.Holding, team auth.Team, part quota.Part) quotaReservation {
	c := l.counterFor(at, team, part)
	ok, needsBurst := c.Take(at, held, c.limit, l.tolerance.Of(part))
	if ok {
		c.served++
		return quotaReservation{}
	}
	if needsBurst {
		l.holder.RequestBurst(held.Slot)
		l.notify()
		return quotaReservation{result: burstNotRecorded, retryAfter: minOverLimitRetry, slot: held.Slot}
	}
	c.denied++
	return quotaReservation{result: overLimit, retryAfter: l.retryAfter(at, team.ID, c)}
}

// otherHolder returns the other daemon that is known to hold the slot and to be reachable, "" if there is
// none. The lock is held.
func (l *limits) otherHolder(at core.Time, slot quota.Slot) core.DaemonID {
	owner := l.holder.OtherOwner(slot)
	if owner == "" || l.holder.OwnersAge(at) >= maxOwnersAge || !l.p.peers.seenRecently(owner) {
		return ""
	}
	return owner
}

// isCountedElsewhere reports whether the team's operations are counted at another daemon, so that reserve
// would refuse them here.
func (l *limits) isCountedElsewhere(team auth.Team) bool {
	if !l.enabled || !team.Limited {
		return false
	}
	slot := quota.SlotOf(team.ID)
	l.mu.Lock()
	defer l.mu.Unlock()
	at := now()
	_, ok := l.holder.Holds(at, slot)
	return !ok && l.otherHolder(at, slot) != ""
}

// counterFor returns the team's counter for the part, updated to the team's current limit. The lock
// is held.
func (l *limits) counterFor(at core.Time, team auth.Team, part quota.Part) *teamCounter {
	counters := l.counters
	if part == quota.SecondPart {
		counters = l.secondCounters
	}
	c := counters[team.ID]
	if c == nil {
		c = &teamCounter{}
		counters[team.ID] = c
	}
	c.limit = l.tolerance.Limit(team.Rate, team.Burst).Of(part)
	if c.atLimit && at.Sub(c.deniedAt) > atLimitDuration {
		c.atLimit = false
		l.p.log.Info("team is within its limit again", "team", team.ID, "denied", c.denied)
	}
	return c
}

// Bounds of the retry-after time of callers over their team's limit.
const (
	minOverLimitRetry = 100 * time.Millisecond
	maxOverLimitRetry = 5 * time.Second
	// atLimitDuration is how long after its last denied operation a team counts as at its limit.
	atLimitDuration = 2 * time.Second
	// retryTokenShare is the share of a second's tokens that is available when the first callers
	// retry. As many are added before the last ones retry. With fewer tokens most callers would be
	// refused again.
	retryTokenShare = 0.25
)

// retryAfter records that the team is at its limit, and returns the time until there are tokens for
// some of its callers. A random part of up to the same length spreads the callers, so that they do
// not all retry at once. The lock is held.
func (l *limits) retryAfter(at core.Time, team core.TeamID, c *teamCounter) time.Duration {
	if !c.atLimit {
		c.atLimit = true
		l.p.log.Warn("team is at its limit", "team", team, "rate", c.limit.Rate, "burst", c.limit.Burst, "served", c.served)
	}
	c.deniedAt = at
	wait, ok := c.WaitTime(at, max(1, retryTokenShare*c.limit.Rate))
	if !ok {
		return maxOverLimitRetry
	}
	wait = min(maxOverLimitRetry, max(minOverLimitRetry, wait))
	return wait + time.Duration(rand.Float64()*float64(wait))
}

// TeamUsage counts a team's operations at this daemon.
type TeamUsage struct {
	Team           core.TeamID `json:"team"`
	Served, Denied int64
	// Rate and Burst are the limit that the daemon applies.
	Rate, Burst float64
}

// maxPublishedTeams bounds the teams with published counts of their own; the rest are summed up.
const maxPublishedTeams = 20

// busiestTeams returns the n teams with the most operations at this daemon, and the sum of all
// others as an entry without a team.
func (l *limits) busiestTeams(n int) []TeamUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []TeamUsage
	for id, c := range l.counters {
		all = append(all, c.usage(id, l.secondCounters[id]))
	}
	for id, c := range l.secondCounters {
		if l.counters[id] == nil {
			all = append(all, c.usage(id, nil))
		}
	}
	slices.SortFunc(all, func(a, b TeamUsage) int {
		return cmp.Or(cmp.Compare(b.Served+b.Denied, a.Served+a.Denied), cmp.Compare(a.Team, b.Team))
	})
	if len(all) <= n {
		return all
	}
	rest := TeamUsage{}
	for _, usage := range all[n:] {
		rest.Served += usage.Served
		rest.Denied += usage.Denied
	}
	return append(all[:n:n], rest)
}

// awaitReservation waits until this daemon holds the slot of the team, or may use the full burst of
// the part of the limit that the reservation lacked.
func (l *limits) awaitReservation(team auth.Team, r quotaReservation, deadline core.Time) {
	if r.result == burstNotRecorded {
		l.await(r.slot, true, deadline)
		return
	}
	l.awaitSlot(team, false, deadline)
}

// awaitSlot waits until this daemon holds the team's slot and, if burst is set, may use the full
// burst.
func (l *limits) awaitSlot(team auth.Team, burst bool, deadline core.Time) {
	if l.enabled && team.Limited {
		l.await(quota.SlotOf(team.ID), burst, deadline)
	}
}

// await waits until this daemon holds the slot and, if burst is set, may use the full bursts of its
// teams. Without burst, holding the slot's second slot is enough. It returns early if another daemon
// holds the slot or the store does not answer: another home may be able to run the operation at
// once. It waits no longer than until the deadline.
func (l *limits) await(slot quota.Slot, burst bool, deadline core.Time) {
	timer := time.NewTimer(until(deadline, 0))
	defer timer.Stop()
	for {
		l.mu.Lock()
		at := now()
		l.holder.Request(at, slot)
		held, holds := l.holder.Holds(at, slot)
		done := holds && (held.FullBurst || !burst) || !burst && l.holdsSecond(at, slot)
		unavailable := !holds && l.holder.OtherOwner(slot) != "" || l.holder.StoreFailing()
		changed := l.slotsChanged
		l.mu.Unlock()
		if done || unavailable {
			return
		}
		l.notify()
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-l.p.done:
			return
		}
	}
}

// storeRestored handles the restore of the store from an older copy. This daemon takes its slots
// again, and until then holds them under its old lease. storeRestored returns their number.
func (l *limits) storeRestored(at core.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.NewEra(at)
	l.notify()
	return len(l.holder.Held())
}

// notify ends a pause of run.
func (l *limits) notify() {
	select {
	case l.signal <- struct{}{}:
	default:
	}
}
