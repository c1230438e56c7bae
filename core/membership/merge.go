package membership

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// recordHash covers the fields that only a restart changes.
func recordHash(d *Daemon) uint32 {
	var h xxhash.Digest
	h.Reset()
	for _, s := range [...]string{string(d.ID), string(d.Zone), string(d.Region), d.PeerAddr, d.GossipAddr, d.OperatorAddr} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0, byte(d.Weight)})
	}
	return uint32(h.Sum64())
}

func (r *Reducer) newMember(d *Daemon) *member {
	m := &member{Daemon: *d, liveAt: -1, deadAt: -1, suspectAt: -1, since: r.now}
	m.addr, _ = netip.ParseAddrPort(d.GossipAddr)
	m.record = recordHash(d)
	m.key = hashName(string(d.ID))
	return m
}

// short is the news of the daemon's state alone.
func (m *member) short() DaemonUpdate {
	return DaemonUpdate{
		Daemon: Daemon{ID: m.ID, State: m.State, Incarnation: m.Incarnation},
		Record: m.record,
	}
}

// full is the whole record.
func (m *member) full() DaemonUpdate {
	u := DaemonUpdate{Daemon: m.Daemon, Full: true, Record: m.record}
	u.ConfigRevision = 0
	return u
}

// supersedes orders news of one daemon: a higher incarnation, which only the
// daemon itself can reach, and within it the worse state.
func supersedes(incarnation uint64, state State, m *member) bool {
	if incarnation != m.Incarnation {
		return incarnation > m.Incarnation
	}
	return state > m.State
}

func (r *Reducer) applyDaemon(u *DaemonUpdate) {
	if !u.valid() {
		return
	}
	if u.ID == r.self.ID {
		r.claimed(u)
		return
	}
	m := r.members[u.ID]
	if m == nil {
		r.admit(u)
		return
	}
	if u.State == Dead && u.Remembered {
		r.verifyDeath(m, u.Incarnation)
		return
	}
	if !supersedes(u.Incarnation, u.State, m) {
		return
	}
	if !u.Full && u.State != Dead && u.Record != m.record {
		return // of a record that is not here yet: the digest will differ
	}
	m.whole = u.Full && u.Record != m.record
	if u.Full && recordHash(&u.Daemon) != m.record {
		r.replaceRecord(m, u)
	}
	r.setState(m, u.State, u.Incarnation)
	r.enqueue(m)
}

// admit takes in a daemon not known before. News of a death or of a state
// alone is worth nothing then.
func (r *Reducer) admit(u *DaemonUpdate) {
	if !u.Full || u.State == Dead || len(r.members) >= MaxDaemons {
		return
	}
	d := u.Daemon
	d.ConfigRevision = 0
	state := d.State
	d.State = Dead // of no list yet
	m := r.newMember(&d)
	if !m.addr.IsValid() {
		return
	}
	r.members[m.ID] = m
	r.digest.daemons.add(m.bucket(), m)
	r.setState(m, state, d.Incarnation)
	m.whole = true
	r.enqueue(m)
	r.insertProbe(m)
}

// insertProbe puts a new member at a random place of the present round.
func (r *Reducer) insertProbe(m *member) {
	p := &r.probe
	p.order = append(p.order, m)
	rest := len(p.order) - p.at
	i := p.at + r.random.IntN(rest)
	last := len(p.order) - 1
	p.order[i], p.order[last] = p.order[last], p.order[i]
}

// replaceRecord takes over what a restart changed.
func (r *Reducer) replaceRecord(m *member, u *DaemonUpdate) {
	addr, err := netip.ParseAddrPort(u.GossipAddr)
	if err != nil {
		return
	}
	state, incarnation := m.State, m.Incarnation
	m.Daemon = u.Daemon
	m.State, m.Incarnation, m.ConfigRevision = state, incarnation, 0
	m.addr = addr
	m.record = recordHash(&m.Daemon)
	r.out.Change.Membership = true
}

// verifyDeath probes a daemon that another one remembers as dead. When two
// regions meet again after an hour each has the other's daemons as dead; were
// that believed, all homes would move and move back.
func (r *Reducer) verifyDeath(m *member, incarnation uint64) {
	if m.State != Alive && m.State != Leaving || incarnation < m.Incarnation || len(r.probe.verify) >= maxVerify {
		return
	}
	for _, v := range r.probe.verify {
		if v.member == m {
			return
		}
	}
	r.probe.verify = append(r.probe.verify, verification{m, incarnation})
}

// setState moves a member to a state and keeps every list in step.
func (r *Reducer) setState(m *member, state State, incarnation uint64) {
	before, renewed := m.State, m.Incarnation != incarnation
	m.State, m.Incarnation = state, incarnation
	if before != state || renewed {
		m.since = r.now
	}
	if before == Leaving && state == Dead {
		m.left = true
	}
	if state != Dead {
		m.left = false
	}
	r.place(m)
	if state == Alive || state == Suspect {
		r.assignment.Add(&m.Daemon)
	} else {
		r.assignment.Remove(m.ID)
	}
	r.recount(m)
	if before != state {
		r.out.Change.Membership = true
	}
	if before == Dead && state != Dead {
		r.contact.returned(r.now)
	}
}

// claimed handles news of this daemon itself. What would supersede its own
// word has to be refuted by a higher incarnation: a suspicion, a death, or
// the word of an earlier life whose clock was ahead.
func (r *Reducer) claimed(u *DaemonUpdate) {
	if !supersedes(u.Incarnation, u.State, r.self) {
		return
	}
	r.accused = true
	if u.Full && u.State == Alive && u.Record != r.self.record {
		r.log(LogSameID, r.self)
	}
	r.claim = max(r.claim, u.Incarnation)
}

func (r *Reducer) refute() {
	if r.claim == 0 || r.now < r.refuteAt {
		return
	}
	r.self.Incarnation = max(r.self.Incarnation, r.claim) + 1
	r.claim = 0
	r.log(LogRefuted, r.self)
	r.refuteAt = r.now.Add(refuteInterval)
	r.self.whole = false
	r.recount(r.self)
	r.enqueue(r.self)
}

// sweep forgets the long dead and expired news.
func (r *Reducer) sweep() {
	for i := 0; i < len(r.dead.list); {
		m := r.dead.list[i]
		if r.now.Sub(m.since) < r.settings.DeadRetention {
			i++
			continue
		}
		r.forgetMember(m)
	}
	for _, t := range r.targets {
		if r.now < t.expires {
			continue
		}
		r.forgetTarget(t)
		r.out.Change.Targets = true
	}
}
