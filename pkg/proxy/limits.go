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
	inForce bool
	rule    quota.Tolerance
	// wake ends a pause when a slot is wanted.
	wake chan struct{}

	mu     sync.Mutex
	holder *quota.Holder
	counts map[core.TeamID]*teamCount
	// changed is closed and replaced when slots were taken or listed.
	changed chan struct{}
}

// teamCount is one team's operations here.
type teamCount struct {
	quota.Counter
	limit quota.Limit
	// refusing says that the team is at its limit, since the log has told so.
	refusing       bool
	refusedAt      core.Time
	served, denied int64
}

func newLimits(p *Proxy) *limits {
	return &limits{
		p: p, inForce: p.settings.LimitsEnabled, rule: p.settings.QuotaTolerance, wake: make(chan struct{}, 1), changed: make(chan struct{}),
		holder: quota.NewHolder(p.settings.Daemon, p.boot), counts: make(map[core.TeamID]*teamCount),
	}
}

// pay pays for one of the team's operations, to be sent now. wants says whether this daemon
// may take the team's slot to run it.
func (l *limits) pay(team auth.Team, wants bool) receipt {
	if !l.inForce || !team.Limited {
		return receipt{}
	}
	slot := quota.SlotOf(team.ID)
	l.mu.Lock()
	defer l.mu.Unlock()
	at := now()
	held, ok := l.holder.Holds(at, slot)
	if owner := l.holder.OtherOwner(slot); !ok && owner != "" && l.holder.OwnersAge(at) < ownerKnownFor && l.p.peers.seenRecently(owner) {
		return receipt{countedElsewhere, quota.RetryDelay, owner}
	}
	if ok || wants {
		l.holder.Request(at, slot)
	}
	if !ok {
		l.wakeUp()
		return receipt{countedElsewhere, quota.RetryDelay, l.holder.OtherOwner(slot)}
	}
	c := l.count(at, team)
	ok, wantOpen := c.Take(at, held, c.limit, l.rule)
	if ok {
		c.served++
		return receipt{}
	}
	if wantOpen {
		l.holder.RequestBurst(slot)
		l.wakeUp()
		return receipt{result: burstUntold, comeBack: leastOverLimit}
	}
	c.denied++
	return receipt{result: overLimit, comeBack: l.comeBack(at, team.ID, c)}
}

// count is the team's count here, with its present limit.
func (l *limits) count(at core.Time, team auth.Team) *teamCount {
	c := l.counts[team.ID]
	if c == nil {
		c = &teamCount{}
		l.counts[team.ID] = c
	}
	c.limit = l.rule.Limit(team.Rate, team.Burst)
	if c.refusing && at.Sub(c.refusedAt) > refusingFor {
		c.refusing = false
		l.p.log.Info("team is within its limit again", "team", team.ID, "denied", c.denied)
	}
	return c
}

// Bounds of when callers over their limit are told to come back.
const (
	leastOverLimit = 100 * time.Millisecond
	mostOverLimit  = 5 * time.Second
	// refusingFor is how long after its last refusal a team counts as at its limit.
	refusingFor = 2 * time.Second
	// overLimitShare of a second's tokens are there when the first callers come back, and the
	// same again for those that come after: fewer, and most of them would be refused again.
	overLimitShare = 0.25
)

// comeBack is when there will be tokens for some of the team's callers, spread out so that
// they do not come in one moment.
func (l *limits) comeBack(at core.Time, team core.TeamID, c *teamCount) time.Duration {
	if !c.refusing {
		c.refusing = true
		l.p.log.Warn("team is at its limit", "team", team, "rate", c.limit.Rate, "burst", c.limit.Burst, "served", c.served)
	}
	c.refusedAt = at
	wait, ok := c.WaitTime(at, max(1, overLimitShare*c.limit.Rate))
	if !ok {
		return mostOverLimit
	}
	wait = min(mostOverLimit, max(leastOverLimit, wait))
	return wait + time.Duration(rand.Float64()*float64(wait))
}

// TeamUse is what a team has asked of this daemon.
type TeamUse struct {
	Team           core.TeamID `json:"team"`
	Served, Denied int64
	// Rate and Burst are the limit that the daemon counts by.
	Rate, Burst float64
}

// teamsShown bounds the teams that are published one by one; the rest are summed up.
const teamsShown = 20

// largest are the n teams that have asked most here, and the sum of the rest without a name.
func (l *limits) largest(n int) []TeamUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []TeamUse
	for id, c := range l.counts {
		all = append(all, TeamUse{id, c.served, c.denied, c.limit.Rate, c.limit.Burst})
	}
	slices.SortFunc(all, func(a, b TeamUse) int {
		return cmp.Or(cmp.Compare(b.Served+b.Denied, a.Served+a.Denied), cmp.Compare(a.Team, b.Team))
	})
	if len(all) <= n {
		return all
	}
	rest := TeamUse{}
	for _, u := range all[n:] {
		rest.Served += u.Served
		rest.Denied += u.Denied
	}
	return append(all[:n:n], rest)
}

// await waits until this daemon holds the team's slot and may use its burst, or knows that it
// will not soon, or the deadline: a daemon that the store does not answer would otherwise make late what another
// home can run at once.
func (l *limits) await(team auth.Team, burst bool, deadline core.Time) {
	if !l.inForce || !team.Limited {
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
		hopeless := l.holder.OtherOwner(slot) != "" || l.holder.StoreFailing()
		changed := l.changed
		l.mu.Unlock()
		if holds || hopeless {
			return
		}
		l.wakeUp()
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
func (l *limits) newEra(at core.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.NewEra(at)
	l.wakeUp()
	return len(l.holder.Held())
}

func (l *limits) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
