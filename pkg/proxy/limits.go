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

// limits counts the operations of the teams of which this daemon holds the slots, and asks
// the store for slots as core/quota decides.
type limits struct {
	p *Proxy
	// inForce says that teams have limits.
	enabled   bool
	tolerance quota.Tolerance
	// wake ends a pause when a slot is wanted.
	requested chan struct{}

	mu       sync.Mutex
	holder   *quota.Holder
	counters map[core.TeamID]*teamCounter
	// changed is closed and replaced when slots were taken or listed.
	slotsChanged chan struct{}
}

// teamCount is one team's operations here.
type teamCounter struct {
	quota.Counter
	limit quota.Limit
	// refusing says that the team is at its limit, since the log has told so.
	atLimit        bool
	deniedAt       core.Time
	served, denied int64
}

func newLimits(p *Proxy) *limits {
	return &limits{
		p: p, enabled: p.settings.LimitsEnabled, tolerance: p.settings.QuotaTolerance, requested: make(chan struct{}, 1), slotsChanged: make(chan struct{}),
		holder: quota.NewHolder(p.settings.Daemon, p.boot), counters: make(map[core.TeamID]*teamCounter),
	}
}

// pay pays for one of the team's operations, to be sent now. wants says whether this daemon
// may take the team's slot to run it.
func (l *limits) reserve(team auth.Team, mayTakeSlot bool) quotaReservation {
	if !l.enabled || !team.Limited {
		return quotaReservation{}
	}
	slot := quota.SlotOf(team.ID)
	l.mu.Lock()
	defer l.mu.Unlock()
	at := now()
	held, ok := l.holder.Holds(at, slot)
	if owner := l.holder.OtherOwner(slot); !ok && owner != "" && l.holder.OwnersAge(at) < maxOwnersAge && l.p.peers.seenRecently(owner) {
		return quotaReservation{slotNotHeld, quota.RetryDelay, owner}
	}
	if ok || mayTakeSlot {
		l.holder.Request(at, slot)
	}
	if !ok {
		l.notify()
		return quotaReservation{slotNotHeld, quota.RetryDelay, l.holder.OtherOwner(slot)}
	}
	c := l.counterFor(at, team)
	ok, needsBurst := c.Take(at, held, c.limit, l.tolerance)
	if ok {
		c.served++
		return quotaReservation{}
	}
	if needsBurst {
		l.holder.RequestBurst(slot)
		l.notify()
		return quotaReservation{result: burstNotRecorded, retryAfter: minOverLimitRetry}
	}
	c.denied++
	return quotaReservation{result: overLimit, retryAfter: l.retryAfter(at, team.ID, c)}
}

// count is the team's count here, with its present limit.
func (l *limits) counterFor(at core.Time, team auth.Team) *teamCounter {
	c := l.counters[team.ID]
	if c == nil {
		c = &teamCounter{}
		l.counters[team.ID] = c
	}
	c.limit = l.tolerance.Limit(team.Rate, team.Burst)
	if c.atLimit && at.Sub(c.deniedAt) > atLimitDuration {
		c.atLimit = false
		l.p.log.Info("team is within its limit again", "team", team.ID, "denied", c.denied)
	}
	return c
}

// Bounds of when callers over their limit are told to come back.
const (
	minOverLimitRetry = 100 * time.Millisecond
	maxOverLimitRetry = 5 * time.Second
	// refusingFor is how long after its last refusal a team counts as at its limit.
	atLimitDuration = 2 * time.Second
	// overLimitShare of a second's tokens are there when the first callers come back, and the
	// same again for those that come after: fewer, and most of them would be refused again.
	retryTokenShare = 0.25
)

// comeBack is when there will be tokens for some of the team's callers, spread out so that
// they do not come in one moment.
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

// TeamUse is what a team has asked of this daemon.
type TeamUsage struct {
	Team           core.TeamID `json:"team"`
	Served, Denied int64
	// Rate and Burst are the limit that the daemon counts by.
	Rate, Burst float64
}

// teamsShown bounds the teams that are published one by one; the rest are summed up.
const maxPublishedTeams = 20

// largest are the n teams that have asked most here, and the sum of the rest without a name.
func (l *limits) busiestTeams(n int) []TeamUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []TeamUsage
	for id, c := range l.counters {
		all = append(all, TeamUsage{id, c.served, c.denied, c.limit.Rate, c.limit.Burst})
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

// await waits until this daemon holds the team's slot and may use its burst, or knows that it
// will not soon, or the deadline: a daemon that the store does not answer would otherwise make late what another
// home can run at once.
func (l *limits) awaitSlot(team auth.Team, burst bool, deadline core.Time) {
	if !l.enabled || !team.Limited {
		return
	}
	slot := quota.SlotOf(team.ID)
	timer := time.NewTimer(until(deadline, 0))
	defer timer.Stop()
	for {
		l.mu.Lock()
		at := now()
		l.holder.Request(at, slot)
		held, holds := l.holder.Holds(at, slot)
		holds = holds && (held.FullBurst || !burst)
		unavailable := l.holder.OtherOwner(slot) != "" || l.holder.StoreFailing()
		changed := l.slotsChanged
		l.mu.Unlock()
		if holds || unavailable {
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

// newEra takes that the store has come back from an older copy, and returns how many slots
// are held until this daemon has taken them again.
func (l *limits) storeRestored(at core.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.NewEra(at)
	l.notify()
	return len(l.holder.Held())
}

func (l *limits) notify() {
	select {
	case l.requested <- struct{}{}:
	default:
	}
}
