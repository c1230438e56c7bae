package group

import "limpetspan/core"

// sessionEntry is the last position one session has seen. Two sessions whose
// hashes collide share an entry and its later position, which is safe.
type sessionEntry struct {
	hash      uint64
	name      []byte
	position  core.Position
	updatedAt core.Time
	// pending: what the session saw has no known position yet; only the
	// primary serves it until the primary's next report.
	pending bool
	// lost: a promotion lost what the session saw; it is told once.
	lost       bool
	prev, next *sessionEntry
	list       *sessionList
}

// sessionList is a doubly linked list of entries, the oldest change first.
type sessionList struct{ head, tail *sessionEntry }

func (l *sessionList) push(e *sessionEntry) {
	e.list, e.prev, e.next = l, l.tail, nil
	if l.tail != nil {
		l.tail.next = e
	} else {
		l.head = e
	}
	l.tail = e
}

func (l *sessionList) remove(e *sessionEntry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		l.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		l.tail = e.prev
	}
	e.list, e.prev, e.next = nil, nil, nil
}

// sessionTable holds the positions that some serving replica has not passed,
// so its size is the write rate times the lag. Every session that is not in it
// has seen nothing past floor.
type sessionTable struct {
	byHash map[uint64]*sessionEntry
	live   sessionList
	lost   sessionList // Lost, to be told.
	free   []*sessionEntry
	// pending counts the entries whose position is not known yet.
	pending int
	floor   core.Position
}

func (t *sessionTable) init() { t.byHash = make(map[uint64]*sessionEntry) }

func (t *sessionTable) get(hash uint64) *sessionEntry {
	if hash == 0 || len(t.byHash) == 0 {
		return nil
	}
	return t.byHash[hash]
}

// touch returns the session's entry, new or moved to the end of the list.
func (t *sessionTable) touch(hash uint64, name []byte, now core.Time) *sessionEntry {
	e := t.byHash[hash]
	switch {
	case e == nil:
		e = t.newEntry()
		e.hash, e.name = hash, append(e.name[:0], name...)
		t.byHash[hash] = e
	case e.lost:
		return e
	default:
		t.live.remove(e)
	}
	e.updatedAt = now
	t.live.push(e)
	return e
}

func (t *sessionTable) newEntry() *sessionEntry {
	n := len(t.free)
	if n == 0 {
		return new(sessionEntry)
	}
	e := t.free[n-1]
	t.free = t.free[:n-1]
	return e
}

func (t *sessionTable) remove(e *sessionEntry) {
	if e.pending {
		t.pending--
	}
	e.list.remove(e)
	delete(t.byHash, e.hash)
	*e = sessionEntry{name: e.name[:0]}
	t.free = append(t.free, e)
}

func (t *sessionTable) raise(hash uint64, name []byte, p core.Position, now core.Time) {
	e := t.touch(hash, name, now)
	e.position = e.position.Max(p)
}

// await marks a session whose last position the next report will give.
func (t *sessionTable) markPending(hash uint64, name []byte, now core.Time) {
	e := t.touch(hash, name, now)
	if !e.pending && !e.lost {
		e.pending = true
		t.pending++
	}
}

// resolve gives the pending sessions the primary's position, which was asked
// for after they saw what they saw.
func (t *sessionTable) resolve(sentAt core.Time, p core.Position) {
	if t.pending == 0 {
		return
	}
	for e := t.live.head; e != nil; e = e.next {
		if e.pending && e.updatedAt <= sentAt {
			e.pending = false
			t.pending--
			e.position = e.position.Max(p)
		}
	}
}

// pass raises the floor and forgets the sessions that it covers.
func (t *sessionTable) raiseFloor(floor core.Position) {
	t.floor = t.floor.Max(floor)
	for e := t.live.head; e != nil && !e.pending && !t.floor.Less(e.position); e = t.live.head {
		t.remove(e)
	}
}

// bound evicts the oldest sessions beyond a number; the floor covers them.
func (t *sessionTable) evictOver(limit int) {
	for len(t.byHash) > limit && t.live.head != nil {
		t.floor = t.floor.Max(t.live.head.position)
		t.remove(t.live.head)
	}
}

func (t *sessionTable) clear() {
	for t.live.head != nil {
		t.remove(t.live.head)
	}
	for t.lost.head != nil {
		t.remove(t.lost.head)
	}
	t.floor = core.Position{}
}

// newLeadership marks the sessions that have seen what the leadership does not hold. The
// position at the promotion is the floor of every session that is not known:
// it covers all that any earlier home confirmed and the group kept.
func (t *sessionTable) startLeadership(r *leadership) {
	for e := t.live.head; e != nil; {
		next := e.next
		if e.pending {
			e.pending = false
			t.pending--
		}
		if r.isLost(e.position) {
			t.live.remove(e)
			e.lost = true
			t.lost.push(e)
		}
		e = next
	}
	t.floor = r.start
}
