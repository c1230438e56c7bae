package membership

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// recordHash hashes the fields that change only on a restart.
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
	m := &member{Daemon: *d, liveIndex: -1, deadIndex: -1, suspectIndex: -1, stateSince: r.now}
	m.addr, _ = netip.ParseAddrPort(d.GossipAddr)
	m.recordHash = recordHash(d)
	m.nameHash = hashName(string(d.ID))
	return m
}

// stateUpdate returns an update of the daemon's state alone.
func (m *member) stateUpdate() DaemonUpdate {
	return DaemonUpdate{
		Daemon: Daemon{ID: m.ID, State: m.State, Incarnation: m.Incarnation},
		Record: m.recordHash,
	}
}

// fullUpdate returns an update with the whole record.
func (m *member) fullUpdate() DaemonUpdate {
	u := DaemonUpdate{Daemon: m.Daemon, Full: true, Record: m.recordHash}
	u.ConfigRevision = 0
	return u
}

// supersedes reports whether an update replaces the member's state. The higher
// incarnation wins, which only the daemon itself can raise. Within an
// incarnation the higher state wins.
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
		r.handleSelfUpdate(u)
		return
	}
	m := r.members[u.ID]
	if m == nil {
		r.addMember(u)
		return
	}
	if u.State == Dead && u.Remembered {
		r.verifyDeath(m, u.Incarnation)
		return
	}
	if !supersedes(u.Incarnation, u.State, m) {
		return
	}
	if !u.Full && u.State != Dead && u.Record != m.recordHash {
		return // for a record that is not known yet; the digests will differ
	}
	m.announceFull = u.Full && u.Record != m.recordHash
	if u.Full && recordHash(&u.Daemon) != m.recordHash {
		r.replaceRecord(m, u)
	}
	r.setState(m, u.State, u.Incarnation)
	r.enqueue(m)
}

// addMember adds a daemon that is not known yet. An update of a death or of a
// state alone is ignored.
func (r *Reducer) addMember(u *DaemonUpdate) {
	if !u.Full || u.State == Dead || len(r.members) >= MaxDaemons {
		return
	}
	d := u.Daemon
	d.ConfigRevision = 0
	state := d.State
	d.State = Dead // in no list until setState
	m := r.newMember(&d)
	if !m.addr.IsValid() {
		return
	}
	r.members[m.ID] = m
	r.digest.daemons.add(m.bucket(), m)
	r.setState(m, state, d.Incarnation)
	m.announceFull = true
	r.enqueue(m)
	r.insertIntoRound(m)
}

// insertIntoRound inserts a new member at a random position of the current
// probe round.
func (r *Reducer) insertIntoRound(m *member) {
	p := &r.probe
	p.order = append(p.order, m)
	rest := len(p.order) - p.position
	i := p.position + r.random.IntN(rest)
	last := len(p.order) - 1
	p.order[i], p.order[last] = p.order[last], p.order[i]
}

// replaceRecord applies the fields that a restart changed.
func (r *Reducer) replaceRecord(m *member, u *DaemonUpdate) {
	addr, err := netip.ParseAddrPort(u.GossipAddr)
	if err != nil {
		return
	}
	state, incarnation := m.State, m.Incarnation
	m.Daemon = u.Daemon
	m.State, m.Incarnation, m.ConfigRevision = state, incarnation, 0
	m.addr = addr
	m.recordHash = recordHash(&m.Daemon)
	r.out.Change.Membership = true
}

// verifyDeath schedules a probe of a daemon that another daemon remembers as
// dead. When two regions reconnect after an hour, each has the other's daemons
// recorded as dead. Accepting that unverified would move all homes away and back.
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

// setState sets a member's state and updates everything derived from it.
func (r *Reducer) setState(m *member, state State, incarnation uint64) {
	before, renewed := m.State, m.Incarnation != incarnation
	m.State, m.Incarnation = state, incarnation
	if before != state || renewed {
		m.stateSince = r.now
	}
	if before == Leaving && state == Dead {
		m.leftPlanned = true
	}
	if state != Dead {
		m.leftPlanned = false
	}
	r.updateLists(m)
	if state == Alive || state == Suspect {
		r.assignment.Add(&m.Daemon)
	} else {
		r.assignment.Remove(m.ID)
	}
	r.updateDigest(m)
	if before != state {
		r.out.Change.Membership = true
	}
	if before == Dead && state != Dead {
		r.discovery.startFastRetries(r.now)
	}
}

// handleSelfUpdate handles an update about this daemon. One that would supersede
// this daemon's own state has to be refuted by a higher incarnation: a suspicion, a
// death, or the state of an earlier run whose clock was ahead.
func (r *Reducer) handleSelfUpdate(u *DaemonUpdate) {
	if !supersedes(u.Incarnation, u.State, r.self) {
		return
	}
	r.isAccused = true
	if u.Full && u.State == Alive && u.Record != r.self.recordHash {
		r.log(LogDuplicateID, r.self)
	}
	r.accusedIncarnation = max(r.accusedIncarnation, u.Incarnation)
}

func (r *Reducer) refute() {
	if r.accusedIncarnation == 0 || r.now < r.refuteAt {
		return
	}
	r.self.Incarnation = max(r.self.Incarnation, r.accusedIncarnation) + 1
	r.accusedIncarnation = 0
	r.log(LogRefuted, r.self)
	r.refuteAt = r.now.Add(refuteInterval)
	r.self.announceFull = false
	r.updateDigest(r.self)
	r.enqueue(r.self)
}

// sweep removes daemons dead for DeadRetention, and expired targets.
func (r *Reducer) sweep() {
	for i := 0; i < len(r.dead.list); {
		m := r.dead.list[i]
		if r.now.Sub(m.stateSince) < r.settings.DeadRetention {
			i++
			continue
		}
		r.removeMember(m)
	}
	for _, t := range r.targets {
		if r.now < t.expires {
			continue
		}
		r.removeTarget(t)
		r.out.Change.Targets = true
	}
}
