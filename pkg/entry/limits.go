package entry

import (
	"hash/maphash"
	"sync"
	"time"

	"limpetspan/core"
	"limpetspan/pkg/errs"
)

const (
	stepLimit = "entry.limit"
	// shedRetryAfter is when a shed caller is to come back.
	shedRetryAfter = 100 * time.Millisecond
	// limitShards spreads the counts over several locks.
	limitShards = 64
)

// sessionLimit bounds what is in flight for each session, so that one session
// on many connections cannot take a group's share from the other callers. What
// is beyond the bound is refused at once.
type sessionLimit struct {
	max    int
	seed   maphash.Seed
	shards [limitShards]struct {
		mu     sync.Mutex
		counts map[core.SessionID]int
	}
}

func newSessionLimit(limit int) *sessionLimit {
	l := &sessionLimit{max: limit, seed: maphash.MakeSeed()}
	for i := range l.shards {
		l.shards[i].counts = make(map[core.SessionID]int)
	}
	return l
}

// acquire counts a request in, or refuses it.
func (l *sessionLimit) acquire(id core.SessionID) error {
	shard := &l.shards[maphash.String(l.seed, string(id))%limitShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.counts[id] >= l.max {
		return shed("session", string(id), l.max)
	}
	shard.counts[id]++
	return nil
}

// release counts a request out.
func (l *sessionLimit) release(id core.SessionID) {
	shard := &l.shards[maphash.String(l.seed, string(id))%limitShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.counts[id]--
	if shard.counts[id] <= 0 {
		delete(shard.counts, id)
	}
}

func shed(what, name string, limit int) *errs.Error {
	return errs.New(errs.Overloaded, core.OutcomeNotRun, stepLimit, "",
		"%s %q has %d requests in flight at this daemon", what, name, limit).WithRetryAfter(shedRetryAfter)
}
