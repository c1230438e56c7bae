package promotions

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
)

// item is the group's promotion lock as the store holds it.
type item struct {
	direct.LockRecord
	revision uint64
	holder   core.DaemonID
	life     int
	// claim tells one claim of the holder from the next.
	claim int
}

// store holds the promotion lock. It may be away, and its answers may be lost, in which
// case a write may also take effect later.
type store struct {
	w             *world
	promotionLock item
	revision      uint64
	awayTill      core.Time
	loseTill      core.Time
}

// storeTimeout is when a daemon gives a call up.
const storeTimeout = 800 * time.Millisecond

// get answers a linearizable read; ok is false if no answer came.
func (s *store) get(d *daemon, answer func(item, bool)) {
	once := d.timeout(storeTimeout, func() { answer(item{}, false) })
	s.call(d, func() {
		read := s.promotionLock
		s.reply(d, func() { once(func() { answer(read, true) }) })
	})
}

// put writes the promotion lock if its revision is last.
func (s *store) put(d *daemon, last uint64, next item, answer func(uint64, bool)) {
	once := d.timeout(storeTimeout, func() { answer(0, false) })
	apply := func() (uint64, bool) {
		if s.promotionLock.revision != last {
			return 0, false
		}
		s.revision++
		next.revision = s.revision
		s.promotionLock = next
		s.w.note("promotion lock %d: %s wants term %d, free %v", next.revision, next.holder, next.Term, next.Free)
		return next.revision, true
	}
	s.call(d, func() {
		if s.w.now < s.loseTill && s.w.chance(500) {
			s.w.after(s.w.between(0, 3*time.Second), func() { apply() })
			return
		}
		revision, ok := apply()
		s.reply(d, func() { once(func() { answer(revision, ok) }) })
	})
}

func (s *store) call(d *daemon, do func()) {
	s.w.send(d.node(), storeNode, func() {
		if s.w.now >= s.awayTill {
			do()
		}
	})
}

func (s *store) reply(d *daemon, do func()) {
	if s.w.now < s.loseTill && s.w.chance(500) {
		return
	}
	s.w.send(storeNode, d.node(), do)
}
