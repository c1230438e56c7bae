package membership

import (
	"math"
	"slices"
	"time"

	"limpetspan/core"
)

// broadcastState is the part of an entry that controls its dissemination.
type broadcastState struct {
	// nameHash is the hash of the entry's name.
	nameHash uint64
	// generation rises with each change; queued copies of older generations are
	// discarded.
	generation uint32
}

func (s *broadcastState) broadcast() *broadcastState { return s }

// cancelBroadcast invalidates the queued copies of the entry.
func (s *broadcastState) cancelBroadcast() { s.generation++ }

// viewEntry is a disseminated entry of the view: *member, *home or *target.
type viewEntry interface {
	broadcast() *broadcastState
	priority() int
	// appendTo appends the update to the message and reports whether it fitted.
	appendTo(m *Message, room int, now core.Time) (used int, ok bool)
}

type queuedUpdate struct {
	entry      viewEntry
	generation uint32
}

// The priorities of updates. Urgent updates are refutations, without which healthy
// daemons would be declared dead during a wave of suspicions, and homes and leaving
// targets, which determine how requests are routed.
const (
	priorityUrgent = iota
	priorityNormal
	priorityCount
)

// updateQueue holds the updates by priority and number of transmissions, so that
// new updates go first and each is discarded at the transmission limit.
type updateQueue struct {
	nextAt core.Time
	levels [priorityCount][][]queuedUpdate
	// tokens is the number of bytes of updates that may be sent, as of tokensAt.
	tokens   float64
	tokensAt core.Time
	// sentBuffers are the scratch buffers of appendPriority.
	sentBuffers [2][]queuedUpdate
}

// enqueue starts or restarts the dissemination of an entry.
func (r *Reducer) enqueue(e viewEntry) {
	s := e.broadcast()
	s.generation++
	if r.catchingUp {
		return
	}
	if !r.hasUpdates() {
		r.queue.nextAt = max(r.queue.nextAt, r.now)
	}
	levels := &r.queue.levels[e.priority()]
	if len(*levels) == 0 {
		*levels = append(*levels, nil)
	}
	(*levels)[0] = append((*levels)[0], queuedUpdate{e, s.generation})
}

func (r *Reducer) hasUpdates() bool {
	if r.config.announceRounds > 0 {
		return true
	}
	for _, levels := range r.queue.levels {
		for _, level := range levels {
			if len(level) > 0 {
				return true
			}
		}
	}
	return false
}

// minTransmissions is how often an update is sent in a small fleet.
const minTransmissions = 8

// maxTransmissions returns how often one daemon sends an update.
func (r *Reducer) maxTransmissions() int {
	return max(minTransmissions, int(math.Ceil(float64(r.settings.RetransmitMultiplier)*r.logSize())))
}

// backlogThreshold is the number of queued updates above which each is sent half
// as often. A few daemons then miss some updates, and fetching these after a
// digest comparison costs less than the omitted transmissions.
const backlogThreshold = 64

// transmitLimit returns maxTransmissions, halved during a backlog.
func (r *Reducer) transmitLimit() int {
	n := 0
	for _, levels := range r.queue.levels {
		for _, level := range levels {
			n += len(level)
		}
	}
	if n > backlogThreshold {
		return (r.maxTransmissions() + 1) / 2
	}
	return r.maxTransmissions()
}

// availableBytes refills the token bucket of updates and returns its content.
func (r *Reducer) availableBytes() int {
	q := &r.queue
	elapsed := max(0, r.now.Sub(q.tokensAt)).Seconds()
	q.tokensAt = r.now
	q.tokens = min(float64(r.settings.UpdateBurstBytes), q.tokens+elapsed*float64(r.settings.UpdateBytesPerSecond))
	return int(q.tokens)
}

// appendUpdates adds queued updates to the message as far as there is room.
func (r *Reducer) appendUpdates(m *Message) {
	allowed := r.availableBytes()
	room := m.room()
	limit := r.transmitLimit()
	left := max(0, min(room, allowed+urgentOverdraftBytes))
	used := left - r.appendPriority(priorityUrgent, limit, m, left)
	left = max(0, min(room-used, allowed-used))
	used += left - r.appendPriority(priorityNormal, limit, m, left)
	r.queue.tokens -= float64(used)
}

// appendPriority adds updates of one priority and returns the room left. A sent
// update moves up a level, but only after that level has been processed, so that
// no update is added to a message twice.
func (r *Reducer) appendPriority(priority, limit int, m *Message, room int) int {
	q := &r.queue
	levels := q.levels[priority]
	levels = levels[:min(len(levels), limit)]
	var sent []queuedUpdate
	for i := 0; i < len(levels) || len(sent) > 0; i++ {
		if i == len(levels) {
			levels = append(levels, nil)
		}
		next := q.sentBuffers[i%2][:0]
		if room > minUpdateBytes {
			room, next = r.appendLevel(&levels[i], m, room, next)
		}
		levels[i] = append(levels[i], sent...)
		q.sentBuffers[i%2], sent = next, next
		if i+1 >= limit {
			break
		}
	}
	q.levels[priority] = levels
	return room
}

// appendLevel adds updates of one level to the message, latest first, and appends
// them to sent.
func (r *Reducer) appendLevel(from *[]queuedUpdate, m *Message, room int, sent []queuedUpdate) (int, []queuedUpdate) {
	level := *from
	misses := 0
	for j := len(level) - 1; j >= 0 && misses < maxMisses && room > minUpdateBytes; j-- {
		item := level[j]
		if item.generation == item.entry.broadcast().generation {
			used, ok := item.entry.appendTo(m, room, r.now)
			if !ok {
				misses++
				continue
			}
			room -= used
			sent = append(sent, item)
		}
		level = slices.Delete(level, j, j+1)
	}
	*from = level
	return room, sent
}

// urgentOverdraftBytes is how far urgent updates may exceed the available bytes.
const urgentOverdraftBytes = 16 << 10

// canGossip reports whether enough bytes are available for a round.
func (r *Reducer) canGossip() bool {
	need := MaxDatagramBytes
	for _, level := range r.queue.levels[priorityUrgent] {
		if len(level) > 0 {
			need -= urgentOverdraftBytes
			break
		}
	}
	return r.availableBytes() >= need
}

// maxMisses bounds the search for updates that still fit into a message.
const maxMisses = 8

// gossipTick sends updates to a few random daemons while there are any.
func (r *Reducer) gossipTick() {
	if len(r.live.list) == 0 || !r.hasUpdates() || r.now < r.queue.nextAt {
		return
	}
	r.queue.nextAt = r.now.Add(r.settings.GossipInterval)
	if r.config.announceRounds > 0 {
		r.config.announceRounds--
	} else if !r.canGossip() {
		return
	}
	for range min(r.settings.Fanout, len(r.live.list)) {
		to := r.live.list[r.random.IntN(len(r.live.list))]
		m := r.newMessage(to.addr, KindUpdate)
		r.appendUpdates(m)
		r.queue.tokens -= sizeHeader
	}
}

func (m *member) priority() int {
	if m.State == Alive && !m.announceFull || m.State == Leaving {
		return priorityUrgent
	}
	return priorityNormal
}

func (*home) priority() int { return priorityUrgent }

func (*target) priority() int { return priorityUrgent }

func (m *member) appendTo(msg *Message, room int, _ core.Time) (int, bool) {
	u := m.stateUpdate()
	if m.announceFull && m.State != Dead && m.State != Suspect {
		u = m.fullUpdate()
	}
	if u.size() > room {
		return 0, false
	}
	msg.Daemons = append(msg.Daemons, u)
	return u.size(), true
}

func (h *home) appendTo(msg *Message, room int, _ core.Time) (int, bool) {
	if h.size() > room {
		return 0, false
	}
	msg.Homes = append(msg.Homes, h.Home)
	return h.size(), true
}

func (t *target) appendTo(msg *Message, room int, now core.Time) (int, bool) {
	if t.size() > room {
		return 0, false
	}
	u := t.Target
	u.TTL = max(t.expires.Sub(now), time.Second).Round(time.Second)
	msg.Targets = append(msg.Targets, u)
	return t.size(), true
}
