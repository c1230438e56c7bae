package store

import (
	"slices"
	"time"
)

// MinLease is the shortest time a lease is granted for.
const MinLease = time.Second

// lease is a granted lease and the keys that end with it.
type lease struct {
	id      int64
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// Grant creates a lease; a ttl under MinLease is raised to it.
func (e *Engine) Grant(ttl time.Duration) (id int64, granted time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	l := &lease{id: e.nextLease, ttl: max(ttl, MinLease), keys: make(map[string]bool)}
	e.nextLease++
	l.expires = e.clock.Now().Add(l.ttl)
	e.leases[l.id] = l
	if e.nextExpiry.IsZero() || l.expires.Before(e.nextExpiry) {
		e.armTimer()
	}
	return l.id, l.ttl
}

// KeepAlive renews a lease and returns its time; zero when it is gone.
func (e *Engine) KeepAlive(id int64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	l := e.leases[id]
	if l == nil {
		return 0
	}
	l.expires = e.clock.Now().Add(l.ttl)
	return l.ttl
}

// Revoke ends a lease and removes its keys.
func (e *Engine) Revoke(id int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	l := e.leases[id]
	if l == nil {
		return ErrLeaseNotFound
	}
	e.end(l)
	return nil
}

// end removes the lease and its keys at one revision.
func (e *Engine) end(l *lease) {
	delete(e.leases, l.id)
	keys := make([]string, 0, len(l.keys))
	for k := range l.keys {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	e.commit(e.remove(keys, e.state.revision+1))
}

// expire ends the leases whose TTL has passed. Every call does this first, so
// that no call sees a key of an expired lease.
func (e *Engine) expire() {
	now := e.clock.Now()
	if e.nextExpiry.IsZero() || now.Before(e.nextExpiry) {
		return
	}
	var due []*lease
	for _, l := range e.leases {
		if !l.expires.After(now) {
			due = append(due, l)
		}
	}
	slices.SortFunc(due, func(a, b *lease) int { return int(a.id - b.id) })
	for _, l := range due {
		e.end(l)
	}
	e.armTimer()
}

// armTimer sets the timer that ends leases while no call comes in.
func (e *Engine) armTimer() {
	if e.stopTimer != nil {
		e.stopTimer()
		e.stopTimer = nil
	}
	var first time.Time
	for _, l := range e.leases {
		if first.IsZero() || l.expires.Before(first) {
			first = l.expires
		}
	}
	e.nextExpiry = first
	if first.IsZero() {
		return
	}
	e.stopTimer = e.clock.AfterFunc(first.Sub(e.clock.Now()), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.expire()
	})
}

// attach moves a key from one lease to another; zero is no lease.
func (e *Engine) attach(key string, from, to int64) {
	if l := e.leases[from]; l != nil {
		delete(l.keys, key)
	}
	if l := e.leases[to]; l != nil {
		l.keys[key] = true
	}
}

// restoreLeases attaches the keys of a restored state. A lease that has ended
// meanwhile is granted again under its id, for its keys are back.
func (e *Engine) restoreLeases() {
	now := e.clock.Now()
	for _, l := range e.leases {
		clear(l.keys)
		l.expires = now.Add(l.ttl)
	}
	for _, kv := range e.state.values {
		if kv.Lease == 0 {
			continue
		}
		l := e.leases[kv.Lease]
		if l == nil {
			l = &lease{id: kv.Lease, ttl: MinLease, expires: now.Add(MinLease), keys: make(map[string]bool)}
			e.leases[kv.Lease] = l
		}
		l.keys[kv.Key] = true
	}
	e.armTimer()
}
