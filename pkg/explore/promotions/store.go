package promotions

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/mirror"
)

// item is the group's promotion lock as the store holds it.
type item struct {
	direct.LockRecord
	revision mirror.Revision
	holder   core.DaemonID
	life     int
	// claim distinguishes the claims of the holder.
	claim int
}

// store holds the promotion lock. It may be unreachable, and its answers may be lost. A write whose
// answer is lost may also take effect later.
type store struct {
	w        *world
	kept     kept
	awayTill core.Time
	loseTill core.Time
	// era is how often it was restored from an older copy; copies are its earlier states, taken every
	// copyEvery.
	era    mirror.Era
	copies []kept
}

// kept is the state of the store that a copy contains.
type kept struct {
	promotionLock item
	revision      mirror.Revision
	// settled is the newest era that a daemon has attested.
	settled mirror.Era
}

// copyEvery is the pause between copies of the store.
const copyEvery = 100 * time.Millisecond

// restore restores the store from a copy of that age.
func (s *store) restore(age time.Duration) {
	i := max(0, len(s.copies)-1-int(age/copyEvery))
	s.kept, s.copies = s.copies[i], s.copies[:i+1]
	s.era++
	s.w.note("store is back from a copy %v old, era %d", age, s.era)
}

// storeTimeout bounds a daemon's call to the store.
const storeTimeout = 800 * time.Millisecond

// get answers a linearizable read with the era in which it was made; ok is false if no answer
// came.
func (s *store) get(d *daemon, answer func(item, mirror.Era, bool)) {
	once := d.timeout(storeTimeout, func() { answer(item{}, 0, false) })
	s.call(d, func() {
		read, era := s.kept, s.era
		s.vouched(d)
		s.reply(d, func() {
			once(func() {
				ok := d.hears(era, read.settled)
				answer(read.promotionLock, era, ok)
			})
		})
	})
}

// vouched records the current era as settled if it has settled for the calling daemon. It stands
// for the record of the era that daemons write to the store.
func (s *store) vouched(d *daemon) {
	if d.eras.Current() == s.era && d.eras.Settled(d.clock()) {
		s.kept.settled = s.era
	}
}

// put writes the promotion lock if its revision is last.
func (s *store) put(d *daemon, last mirror.Revision, next item, answer func(mirror.Position, bool)) {
	once := d.timeout(storeTimeout, func() { answer(mirror.Position{}, false) })
	apply := func() (mirror.Position, bool) {
		if s.kept.promotionLock.revision != last {
			return mirror.Position{}, false
		}
		s.kept.revision++
		next.revision = s.kept.revision
		s.kept.promotionLock = next
		s.w.note("promotion lock %d: %s wants term %d, free %v", next.revision, next.holder, next.Term, next.Released)
		return mirror.Position{Era: s.era, Revision: next.revision}, true
	}
	s.call(d, func() {
		if s.w.now < s.loseTill && s.w.chance(500) {
			s.w.after(s.w.between(0, 3*time.Second), func() { apply() })
			return
		}
		position, ok := apply()
		era, settled := s.era, s.kept.settled
		s.reply(d, func() {
			once(func() {
				heard := d.hears(era, settled)
				answer(position, ok && heard)
			})
		})
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
