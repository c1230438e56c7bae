package explore

import (
	"limpetspan/core"
	"limpetspan/core/group"
)

// entry is one committed write in a member's log.
type entry struct {
	term core.Term
	id   int
}

// member models one target: its term, role and log, and who is connected.
type member struct {
	id      core.MemberID
	term    core.Term
	role    core.Role
	log     []entry
	history []core.TermStart
	up      bool
	paused  bool
	// isolated cuts the member from the other members.
	isolated bool
	// silentSince is when all connections opened before went silent for good.
	silentSince core.Time
	// waiting are calls that arrived during a pause and are served after it.
	waiting []func()
	conns   map[connKey]*modelConn
}

// connKey names a connection: the daemon's reducer numbers its own.
type connKey struct {
	daemon int
	// life distinguishes the daemon's reducers before and after a restart.
	life int
	conn group.ConnID
}

// modelConn is the member's end of a connection.
type modelConn struct {
	// owner is the caller whose transaction is open; zero if none.
	owner core.CallerID
	// opened is when it was opened; an older one than silentSince is silent.
	opened core.Time
	// pending are the writes of the open transaction.
	pending []int
}

func (m *member) status(connections int) core.Status {
	s := core.Status{
		Term:        m.term,
		Role:        m.role,
		LSN:         core.LSN(len(m.log)),
		History:     append([]core.TermStart(nil), m.history...),
		Connections: connections,
	}
	if len(m.log) > 0 {
		s.LogTerm = m.log[len(m.log)-1].term
	}
	return s
}

func (m *member) position() core.Position { return m.status(0).Position() }

// fence and promote follow the contract of package group.
func (m *member) fence(term core.Term) bool {
	if term <= m.term {
		return false
	}
	m.term, m.role = term, core.RoleFenced
	m.conns = map[connKey]*modelConn{}
	return true
}

func (m *member) promote(term core.Term) bool {
	if term <= m.term {
		return false
	}
	m.term, m.role = term, core.RolePrimary
	m.history = append(m.history, core.TermStart{Term: term, Start: core.LSN(len(m.log))})
	return true
}

// follow copies the next part of the primary's log, as replication would.
func (m *member) follow(primary *member) {
	if primary.term < m.term || (m.role == core.RolePrimary && m.term == primary.term) {
		return
	}
	if m.term < primary.term || m.role == core.RoleFenced {
		m.term, m.role = primary.term, core.RoleReplica
		m.conns = map[connKey]*modelConn{}
	}
	common := 0
	for common < len(m.log) && common < len(primary.log) && m.log[common] == primary.log[common] {
		common++
	}
	m.log = m.log[:common:common]
	if common < len(primary.log) {
		m.log = append(m.log, primary.log[common])
	}
	m.history = append(m.history[:0:0], primary.history...)
}

// has reports whether the log holds the write.
func (m *member) has(id int) bool { return contains(m.log, id) }

func contains(log []entry, id int) bool {
	for _, e := range log {
		if e.id == id {
			return true
		}
	}
	return false
}
