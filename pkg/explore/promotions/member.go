package promotions

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
)

// entry is a commit in a log.
type entry struct {
	position core.Position
	commit   *commit
	at       core.Time
}

// member is one member of the group.
type member struct {
	w       *world
	id      core.MemberID
	term    core.Term
	primary bool
	fenced  core.Term
	log     []entry
	down    bool
	leaving bool
	// entryBack is when its entry, which the store has lost, is in the host list again.
	entryBack core.Time
	// life is the number of the member's incarnation; listed is the incarnation in the host list,
	// which is updated later.
	life, listed int
	// crowdedTill is until when it refuses connections for commands.
	crowdedTill core.Time
	// reachedAt is since when a replaced primary has been able to reach the current one.
	reachedAt core.Time
}

func newMember(w *world, id core.MemberID) *member {
	return &member{w: w, id: id, term: 1, life: 1, listed: 1}
}

func (m *member) node() node { return node(m.id) }

func (m *member) position() core.Position {
	if len(m.log) == 0 {
		return core.Position{Term: m.term}
	}
	return m.log[len(m.log)-1].position
}

func (m *member) has(c *commit) bool {
	return c.lsn > 0 && len(m.log) >= c.lsn && m.log[c.lsn-1].commit == c
}

// order executes a daemon's command and returns the member's status.
func (m *member) order(e direct.Effect) direct.Status {
	m.primary, m.fenced = e.Apply(m.term, m.primary, m.fenced)
	role := core.RoleReplica
	if m.primary {
		role = core.RolePrimary
	}
	return direct.Status{Role: role, Term: m.term, Position: m.position(), FencedTerm: m.fenced}
}

// write appends a commit. It returns false if the member is not primary.
func (m *member) write(c *commit) bool {
	if !m.primary {
		return false
	}
	c.replaced, c.lsn = m.term < m.w.leadership, len(m.log)+1
	m.log = append(m.log, entry{core.Position{Term: m.term, LSN: core.LSN(c.lsn)}, c, m.w.now})
	return true
}

// onceReplicated has do happen once a replica has received the commit, or at once
// where commits do not wait for one.
func (m *member) onceReplicated(c *commit, do func()) {
	if !m.w.options.Sync {
		do()
		return
	}
	for _, other := range m.w.members {
		if other != m && other.has(c) {
			do()
			return
		}
	}
	if m.has(c) && !m.down {
		m.w.after(tick, func() { m.onceReplicated(c, do) })
	}
}

// restart restarts a crashed member, which keeps its log and loses its fence.
func (m *member) restart() {
	m.down, m.fenced = false, 0
	if m.term < m.w.leadership {
		m.primary = false
	}
}

// startAnew restarts a member under its ID without its log and its state. It is a replica, as it has
// not been promoted.
func (m *member) startAnew() {
	m.down, m.fenced, m.primary, m.log, m.term = false, 0, false, nil, 0
	m.life++
	m.w.logsLost = true
	life := m.life
	m.w.after(m.w.between(0, listDelay), func() { m.listed = max(m.listed, life) })
}

// promote makes the member primary of the next term with the log that it has received. It ends all
// fences, also those of replicas that it cannot reach. Rolled-back commits that reappear are a
// violation unless a member has lost its log: then there may be no better member.
func (w *world) promote(m *member) {
	if m.down {
		return
	}
	w.leadership++
	m.term, m.primary = w.leadership, true
	for _, other := range w.members {
		other.fenced = 0
	}
	for _, c := range w.commits {
		if c.lsn == 0 {
			// It has not run yet. It may run on the new primary.
			continue
		}
		if m.has(c) {
			if c.missed && !w.logsLost {
				w.violate("stale", "the promotion of %s brings back commit %d, which reads have been served without", m.id, c.id)
			}
			continue
		}
		if w.options.Sync && c.acked && !c.lost {
			w.violate("lost", "the promotion of %s loses commit %d, which %s acknowledged", m.id, c.id, c.daemon.id)
		}
		c.lost = true
	}
	w.counts["promotions"]++
	w.note("%s leads in term %d", m.id, m.term)
}

// replicate lets replicas receive from the newest primary that they can reach. Replaced primaries
// become replicas a second after they can reach a newer primary.
func (w *world) replicate() {
	for _, m := range w.members {
		source := w.source(m)
		switch {
		case m.down || m.fenced != 0 || source == nil:
			m.reachedAt = 0
		case m.primary && m.reachedAt == 0:
			m.reachedAt = w.now
		case m.primary && w.now.Sub(m.reachedAt) < time.Second:
		default:
			m.primary, m.reachedAt = false, 0
			m.receive(source)
		}
	}
}

// source is the primary of the newest term from which the member may receive.
func (w *world) source(m *member) *member {
	var best *member
	for _, p := range w.members {
		if p == m || p.down || !p.primary || p.term < m.term || m.primary && p.term == m.term || !w.open(m.node(), p.node()) {
			continue
		}
		if best == nil || p.term > best.term {
			best = p
		}
	}
	return best
}

// receive replaces the member's log by the source's, up to the entries that are old enough to have
// arrived.
func (m *member) receive(source *member) {
	m.term = source.term
	same := 0
	for same < len(m.log) && same < len(source.log) && m.log[same].commit == source.log[same].commit {
		same++
	}
	upTo := same
	for upTo < len(source.log) && m.w.now.Sub(source.log[upTo].at) >= replicationDelay {
		upTo++
	}
	m.log = append(m.log[:same:same], source.log[same:upTo]...)
}
