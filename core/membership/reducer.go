package membership

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"limpetspan/core"
)

// Reducer is one daemon's view of the fleet. It is not safe for concurrent use.
type Reducer struct {
	settings Settings
	random   *rand.Rand
	now      core.Time
	out      *Effects
	started  bool

	self    *member
	members map[core.DaemonID]*member
	// live holds the other daemons that are not dead, dead the remembered dead ones.
	live memberList
	dead memberList
	// suspects are the suspected members of live.
	suspects memberList

	homes   map[core.GroupID]*home
	targets map[string]*target
	// groups are the configured groups, nil before SetGroups.
	groups     map[core.GroupID]struct{}
	assignment *Assignment

	probe     prober
	queue     updateQueue
	digest    digest
	sync      syncer
	discovery discovery
	config    configState

	// accusedIncarnation is the highest incarnation at which another daemon
	// reports a state of this daemon that has to be refuted; zero if none does.
	accusedIncarnation uint64
	// isAccused is set while a message that contains such a state is handled.
	isAccused     bool
	refuteAt      core.Time
	startedAt     core.Time
	flushAt       core.Time
	sweepAt       core.Time
	plannedWakeAt core.Time
	// catchingUp is set while a new daemon applies the entries that it pulled. It
	// does not retransmit them, because all others have them already.
	catchingUp bool
}

// New returns a reducer that waits for Start.
func New() *Reducer {
	return &Reducer{
		members:    map[core.DaemonID]*member{},
		live:       memberList{index: func(m *member) *int { return &m.liveIndex }},
		dead:       memberList{index: func(m *member) *int { return &m.deadIndex }},
		suspects:   memberList{index: func(m *member) *int { return &m.suspectIndex }},
		homes:      map[core.GroupID]*home{},
		targets:    map[string]*target{},
		assignment: NewAssignment(),
	}
}

const (
	// refuteInterval limits how often this daemon raises its incarnation, so that
	// two daemons with the same id do not outbid each other at network speed.
	refuteInterval = 200 * time.Millisecond
	// sweepInterval is the time between two removals of expired entries.
	sweepInterval = time.Minute
)

// Reduce handles one event at the time now and adds the resulting effects to out.
func (r *Reducer) Reduce(now core.Time, ev Event, out *Effects) {
	r.now, r.out = now, out
	if start, ok := ev.(*Start); ok && !r.started {
		r.start(start)
	}
	if !r.started {
		return
	}
	r.compensatePause()
	switch ev := ev.(type) {
	case *Received:
		r.handleMessage(ev.From, ev.Message)
	case *Hosts:
		r.discovery.hostList = append(r.discovery.hostList[:0], ev.Addrs...)
	case *SetGroups:
		r.setGroups(ev.Groups)
	case *AnnounceHome:
		r.applyHome(&ev.Home)
	case *AnnounceConfig:
		r.announceConfig(ev.Revision)
	case *AnnounceTarget:
		r.announceTarget(ev.Addr, ev.Leaving)
	case *Leave:
		r.leave()
	}
	r.tick()
	r.flushAssignment()
	out.Change.Candidates = r.assignment.takeChanged(out.Change.Candidates)
	r.plannedWakeAt = r.nextWake()
	out.WakeAt = r.plannedWakeAt
	r.out = nil
}

func (r *Reducer) start(ev *Start) {
	r.started = true
	r.settings = ev.Settings
	r.random = rand.New(rand.NewPCG(ev.Seed, ev.Seed^0x9E3779B97F4A7C15))
	r.discovery.seeds = append(r.discovery.seeds, ev.Seeds...)
	self := ev.Self
	self.State = Alive
	self.Incarnation = max(self.Incarnation, 1)
	r.self = r.newMember(&self)
	r.members[self.ID] = r.self
	r.digest.daemons.add(r.self.bucket(), r.self)
	r.updateDigest(r.self)
	r.assignment.Add(&r.self.Daemon)
	r.assignment.Flush()
	r.self.announceFull = true
	r.enqueue(r.self)
	r.config.revision = self.ConfigRevision
	r.probe.seq = r.random.Uint64() >> 2
	r.probe.nextAt = r.now.Add(r.jitter(r.settings.ProbeInterval))
	r.sync.nextAt = r.now.Add(r.jitter(r.settings.SyncInterval))
	r.discovery.nextAt = r.now
	r.sweepAt = r.now.Add(sweepInterval)
	r.queue.tokens, r.queue.tokensAt = float64(r.settings.UpdateBurstBytes), r.now
	r.plannedWakeAt = r.now
	r.startedAt = r.now
}

// compensatePause prevents this daemon from suspecting healthy daemons after it was
// paused itself. After the pause the replies to its probes are unread and every
// deadline has passed, so it would declare the others dead. It drops the
// outstanding probes and extends the suspicion timeouts by the length of the pause.
func (r *Reducer) compensatePause() {
	late := r.now.Sub(r.plannedWakeAt)
	if late < r.settings.ProbeInterval {
		return
	}
	r.probe.pending = r.probe.pending[:0]
	for _, m := range r.suspects.list {
		m.stateSince = m.stateSince.Add(late)
	}
}

// tick runs the actions that are due.
func (r *Reducer) tick() {
	r.refute()
	r.probeTick()
	r.syncTick()
	r.discoveryTick()
	r.gossipTick()
	if r.now >= r.sweepAt {
		r.sweepAt = r.now.Add(sweepInterval)
		r.sweep()
	}
}

// flushInterval is the time over which changes of daemons are collected before
// the candidates are updated. The first change after a pause is applied at once.
const flushInterval = time.Second

func (r *Reducer) flushAssignment() {
	if !r.assignment.HasPendingChanges() || r.now < r.flushAt {
		return
	}
	r.flushAt = r.now.Add(flushInterval)
	r.assignment.Flush()
}

func (r *Reducer) nextWake() core.Time {
	at := min(r.probe.nextAt, r.sync.wakeAt(), r.discovery.nextAt, r.sweepAt)
	for i := range r.probe.pending {
		at = min(at, r.probe.pending[i].wakeAt())
	}
	if len(r.live.list) > 0 && r.hasUpdates() {
		at = min(at, r.queue.nextAt)
	}
	if r.accusedIncarnation > 0 {
		at = min(at, r.refuteAt)
	}
	if r.assignment.HasPendingChanges() {
		at = min(at, r.flushAt)
	}
	return at
}

// jitter returns a random duration of at most d.
func (r *Reducer) jitter(d time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(d) + 1))
}

// logSize returns the decimal logarithm of the fleet size, at least 1.
func (r *Reducer) logSize() float64 {
	return max(1, math.Log10(float64(len(r.live.list)+1)))
}

// handleMessage handles one message.
func (r *Reducer) handleMessage(from netip.AddrPort, m *Message) {
	if m.From == r.self.ID || !validName(string(m.From)) {
		return // a message of this daemon, or one without a valid sender
	}
	r.isAccused = false
	r.catchingUp = m.Kind == KindEntries && !r.sync.synced
	for i := range m.Daemons {
		r.applyDaemon(&m.Daemons[i])
	}
	for i := range m.Homes {
		r.applyHome(&m.Homes[i])
	}
	for i := range m.Targets {
		r.applyTarget(&m.Targets[i])
	}
	r.catchingUp = false
	r.handleConfigRevision(m)
	r.refute() // before the reply, which then carries the new incarnation
	switch m.Kind {
	case KindPing:
		r.handlePing(from, m)
	case KindAck:
		r.handleAck(m)
	case KindPingRequest:
		r.handlePingRequest(from, m)
	case KindDigest:
		r.handleDigest(from, m)
	case KindDigestMatch:
		r.handleDigestMatch(m)
	case KindPull:
		r.handlePull(from, m)
	}
	if m.WantRecord {
		r.sendRecord(from)
	}
}

// newMessage returns a new message of the kind to the address.
func (r *Reducer) newMessage(to netip.AddrPort, kind Kind) *Message {
	m := r.out.send(to)
	m.Kind = kind
	m.From = r.self.ID
	m.ConfigRevision = r.config.revision
	return m
}

func (r *Reducer) sendRecord(to netip.AddrPort) {
	m := r.newMessage(to, KindUpdate)
	m.Daemons = append(m.Daemons, r.self.fullUpdate())
	r.appendUpdates(m)
}

func (r *Reducer) log(message string, m *member) {
	r.out.Logs = append(r.out.Logs, Log{Message: message, Daemon: m.ID, Zone: m.Zone})
}

// leave announces that this daemon is shutting down.
func (r *Reducer) leave() {
	if r.self.State == Leaving {
		return
	}
	r.self.State = Leaving
	r.self.Incarnation++
	r.self.announceFull = false
	r.assignment.Remove(r.self.ID)
	r.updateDigest(r.self)
	r.enqueue(r.self)
	r.queue.nextAt = r.now
	r.out.Change.Membership = true
}
