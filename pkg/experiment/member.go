package experiment

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
)

// member is one member of the group.
type member struct {
	w       *world
	id      core.MemberID
	zone    core.Zone
	term    core.Term
	primary bool
	fenced  core.Term
	leaving bool
	// dark members are unresponsive; factor is how much longer work takes; loses is the
	// share of answers that are lost; lag is how late the member applies as a replica.
	dark   bool
	factor float64
	loses  float64
	lag    time.Duration

	conns   int
	running int
	slots   int
	// worked is the time for which the member's slots were in use.
	worked  time.Duration
	waiting []job
}

// job is work that waits for a slot.
type job struct {
	work time.Duration
	done func()
}

// position is the end of the member's log.
func (m *member) position() core.Position {
	n := len(m.w.log)
	if !m.primary {
		for n > 0 && m.w.now.Sub(m.w.log[n-1]) < m.lag {
			n--
		}
	}
	return core.Position{Term: m.w.term, LSN: core.LSN(n + 1)}
}

// submit runs work in a slot; false: the queue is full.
func (m *member) submit(work time.Duration, done func()) bool {
	if m.running >= m.slots && len(m.waiting) >= m.w.p.Members.Queue {
		return false
	}
	m.waiting = append(m.waiting, job{work, done})
	m.next()
	return true
}

// next starts what waits, as far as there are slots.
func (m *member) next() {
	for m.running < m.slots && len(m.waiting) > 0 {
		j := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.running++
		took := time.Duration(m.factor * float64(j.work))
		m.w.after(took, func() {
			m.running--
			m.worked += took
			j.done()
			m.next()
		})
	}
}

// status is the answer to a probe, which takes a slot of its own.
func (m *member) status() direct.Status {
	role := core.RoleReplica
	if m.primary {
		role = core.RolePrimary
	}
	return direct.Status{Role: role, Term: m.term, Position: m.position(), FencedTerm: m.fenced,
		RunningStatements: m.running + len(m.waiting) + 1, Conns: m.conns}
}

// order executes a daemon's command.
func (m *member) order(e direct.Effect) direct.Status {
	m.primary, m.fenced = e.Apply(m.term, m.primary, m.fenced)
	return m.status()
}

// run answers a statement: what became of it and the position after it. Refusals come
// at once; answer is not called if the answer is lost.
func (m *member) run(s *statement, since core.Position, answer func(direct.Outcome, core.Position)) {
	writes := s.writes && !s.begins
	switch {
	case m.dark:
		return
	case (s.needsPrimary || writes) && !m.primary:
		answer(direct.NotPrimary, m.position())
		return
	case m.position().Less(since):
		answer(direct.Lagging, m.position())
		return
	}
	accepted := m.submit(m.w.draw(s.op.kind.Work), func() {
		if writes {
			m.w.log = append(m.w.log, m.w.now)
		}
		if !m.dark && !m.w.chance(m.loses) {
			answer(direct.Succeeded, m.position())
		}
	})
	if !accepted {
		answer(direct.Busy, m.position())
	}
}
