package target

import (
	"context"
	"slices"
	"time"

	"limpetspan/core"
)

const (
	// applyBatch is how many due records a replica applies at a time.
	applyBatch = 64
	// idlePoll is how long a replica without work waits when no news come.
	idlePoll = time.Second
)

// feed is what a replica sees of its primary.
type feed struct {
	term    core.Term
	history []core.TermStart
	log     []*Record
}

// follow carries the replication to this member until ctx ends.
func (m *Member) follow(ctx context.Context) {
	for ctx.Err() == nil {
		wait := m.replicate()
		if wait <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-m.news:
		case <-m.group.options.Clock.After(wait):
		}
	}
}

// replicate applies what is due and returns how long there is nothing to do.
func (m *Member) replicate() time.Duration {
	m.group.network.RLock()
	defer m.group.network.RUnlock()
	upstream, ok := m.findPrimary()
	if !ok {
		return idlePoll
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed || m.paused != nil || !m.mayFollow(upstream.term) {
		return idlePoll
	}
	if err := m.attach(upstream); err != nil {
		return idlePoll
	}
	return m.applyDue(upstream.log)
}

// findPrimary returns the feed of the reachable primary of the highest term.
func (m *Member) findPrimary() (feed, bool) {
	var best feed
	found := false
	for _, p := range m.group.members {
		if p == m || !m.group.reaches(p, m) {
			continue
		}
		if f, ok := p.offer(); ok && (!found || f.term > best.term) {
			best, found = f, true
		}
	}
	return best, found
}

// offer returns the member's feed if it is a running primary.
func (m *Member) offer() (feed, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.role != core.RolePrimary || m.crashed || m.paused != nil {
		return feed{}, false
	}
	return feed{term: m.term, history: m.history, log: m.log}, true
}

// mayFollow needs mu. A fenced or primary member follows a higher term only.
func (m *Member) mayFollow(term core.Term) bool {
	if m.role == core.RoleReplica {
		return term >= m.term
	}
	return term > m.term
}

// attach makes the member a replica of the feed's term and drops the part of
// its log that the primary doesn't hold. Without the truncation a primary that
// comes back would show writes that the new term has lost. Needs mu.
func (m *Member) attach(f feed) error {
	if m.role == core.RolePrimary {
		m.leadership++
		m.endWork()
	}
	m.term, m.role = f.term, core.RoleReplica
	if !slices.Equal(m.history, f.history) {
		m.history = slices.Clone(f.history)
	}
	common := commonPrefix(m.log, f.log)
	if common == len(m.log) {
		return nil
	}
	if err := m.store.rebuild(m.log[:common]); err != nil {
		return err
	}
	m.log = slices.Clone(m.log[:common])
	m.schema.Add(1)
	return nil
}

// commonPrefix returns how many records two logs share. Records are shared
// between logs and each log that holds one holds all before it, hence the
// last equal record decides.
func commonPrefix(a, b []*Record) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1] != b[n-1] {
		n--
	}
	return n
}

// applyDue applies the records whose lag has passed and returns the time until
// the next one is due. Needs mu.
func (m *Member) applyDue(log []*Record) time.Duration {
	pending := log[len(m.log):]
	if len(pending) == 0 || m.lag.Stuck {
		return idlePoll
	}
	now := m.group.options.Clock.Now()
	due := 0
	for due < len(pending) && due < applyBatch && m.dueIn(pending[due], now) <= 0 {
		due++
	}
	if due == 0 {
		return m.dueIn(pending[0], now)
	}
	if err := m.store.apply(pending[:due]); err != nil {
		return idlePoll
	}
	m.log = append(m.log, pending[:due]...)
	m.store.stale = true
	for _, r := range pending[:due] {
		if changesSchema(r.Statements) {
			m.schema.Add(1)
		}
	}
	return 0
}

// dueIn returns how long it takes until the record is to be applied.
func (m *Member) dueIn(r *Record, now time.Time) time.Duration {
	seed := memberSeed(m.group.options.Seed, m.options.ID)
	lag := m.lag.of(seed, r.LSN, r.At.Sub(m.group.started))
	return r.At.Add(lag).Sub(now)
}
