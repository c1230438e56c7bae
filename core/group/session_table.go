package group

import "limpetspan/core"

// sessionEntry is the last position that a session has seen. Two sessions with
// the same hash share an entry and its later position, which is safe.
type sessionEntry struct {
	hash      uint64
	sessionID []byte
	position  core.Position
	updatedAt core.Time
	// pending: the position that the session has seen is not known yet. Only the
	// primary serves the session until the primary's next report.
	pending bool
	// lost: a promotion lost data that the session has seen. The session's next
	// request fails once with ReasonWriteLost.
	lost       bool
	prev, next *sessionEntry
	list       *sessionList
}

// sessionList is a doubly linked list of entries, least recently changed first.
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

// sessionTable holds the session positions that some serving replica has not
// reached yet, so its size is about the write rate times the replica lag. A
// session that is not in the table has seen nothing past floor.
type sessionTable struct {
	byHash map[uint64]*sessionEntry
	live   sessionList
	lost   sessionList // Entries marked lost, not reported to the session yet.
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

// touch returns the session's entry, which is created or moved to the end of the
// list. A lost entry is returned unchanged.
func (t *sessionTable) touch(hash uint64, sessionID []byte, now core.Time) *sessionEntry {
	e := t.byHash[hash]
	switch {
	case e == nil:
		e = t.newEntry()
		e.hash, e.sessionID = hash, append(e.sessionID[:0], sessionID...)
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
	*e = sessionEntry{sessionID: e.sessionID[:0]}
	t.free = append(t.free, e)
}

// raise records that the session has seen p.
func (t *sessionTable) raise(hash uint64, sessionID []byte, p core.Position, now core.Time) {
	e := t.touch(hash, sessionID, now)
	e.position = e.position.Max(p)
}

// markPending marks a session whose position will be taken from the primary's
// next report.
func (t *sessionTable) markPending(hash uint64, sessionID []byte, now core.Time) {
	e := t.touch(hash, sessionID, now)
	if !e.pending && !e.lost {
		e.pending = true
		t.pending++
	}
}

// resolve applies the primary's position p, requested at sentAt, to the sessions
// that became pending no later than sentAt.
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

// raiseFloor raises the floor and evicts the sessions that it covers, oldest
// first, up to the first one that it does not cover.
func (t *sessionTable) raiseFloor(floor core.Position) {
	t.floor = t.floor.Max(floor)
	for e := t.live.head; e != nil && !e.pending && !t.floor.Less(e.position); e = t.live.head {
		t.remove(e)
	}
}

// evictOver evicts the oldest sessions until at most limit remain and raises the
// floor to cover them.
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

// startLeadership marks the sessions that have seen positions that are not in
// the new leadership's log. The position at the promotion becomes the floor of
// all unknown sessions: it covers every write that an earlier home acknowledged
// and the group kept.
func (t *sessionTable) startLeadership(l *leadership) {
	for e := t.live.head; e != nil; {
		next := e.next
		if e.pending {
			e.pending = false
			t.pending--
		}
		if l.isLost(e.position) {
			t.live.remove(e)
			e.lost = true
			t.lost.push(e)
		}
		e = next
	}
	t.floor = l.start
}
