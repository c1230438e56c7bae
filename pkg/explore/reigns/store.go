package reigns

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
)

// item is the group's ticket as the store holds it.
type item struct {
	revision uint64
	holder   core.DaemonID
	life     int
	term     core.Term
	highest  core.Term
	free     bool
	pending  bool
	// claim tells one claim of the holder from the next.
	claim int
}

func (t item) seen() direct.TicketSeen {
	return direct.TicketSeen{Term: t.term, Reign: t.free && !t.pending}
}

// next is the ticket that a claim writes after t, and what the claim is told.
func (t item) next(e direct.Effect) (item, direct.Ticket) {
	term := max(e.Term, t.highest+1)
	if e.Repair {
		term = max(e.Term, t.term)
	}
	taken := direct.Ticket{Term: term, Highest: max(term, t.highest)}
	if t.revision != 0 && (!t.free || t.pending) {
		taken.Unresolved = t.term
	}
	return item{term: term, highest: taken.Highest}, taken
}

// store holds the ticket. It may be away, and its answers may be lost, in which
// case a write may also take effect later.
type store struct {
	w        *world
	ticket   item
	revision uint64
	awayTill core.Time
	loseTill core.Time
}

// storeTimeout is when a daemon gives a call up.
const storeTimeout = 800 * time.Millisecond

// get answers a linearizable read; ok is false if no answer came.
func (s *store) get(d *daemon, answer func(item, bool)) {
	once := d.timeout(storeTimeout, func() { answer(item{}, false) })
	s.call(d, func() {
		read := s.ticket
		s.reply(d, func() { once(func() { answer(read, true) }) })
	})
}

// put writes the ticket if its revision is last.
func (s *store) put(d *daemon, last uint64, next item, answer func(uint64, bool)) {
	once := d.timeout(storeTimeout, func() { answer(0, false) })
	apply := func() (uint64, bool) {
		if s.ticket.revision != last {
			return 0, false
		}
		s.revision++
		next.revision = s.revision
		s.ticket = next
		s.w.note("ticket %d: %s wants term %d, free %v", next.revision, next.holder, next.term, next.free)
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
