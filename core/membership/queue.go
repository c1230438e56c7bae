package membership

import (
	"math"
	"slices"
	"time"

	"limpetspan/core"
)

// spread is the part of an entry that takes part in the spreading of news.
type spread struct {
	// key is the hash of the entry's name.
	key uint64
	// generation rises with each change; queued copies of older ones are void.
	generation uint32
}

func (s *spread) state() *spread { return s }

// drop voids the queued copies of the entry.
func (s *spread) drop() { s.generation++ }

// entry is a piece of news: *member, *home or *target.
type entry interface {
	state() *spread
	class() int
	// addTo appends the news to the message and reports whether it had room.
	addTo(m *Message, room int, now core.Time) (used int, ok bool)
}

type queued struct {
	entry      entry
	generation uint32
}

// The classes of news. Urgent news goes first: refutations, without which
// healthy daemons would be given up during a storm of suspicions, homes and
// leaving targets, by which requests are routed.
const (
	urgent = iota
	ordinary
	classes
)

// queue holds the news by class and by how often it was sent, so that fresh
// news goes first and each piece ends after its number of repetitions.
type queue struct {
	nextAt core.Time
	levels [classes][][]queued
	// tokens are the bytes of news that may be sent, as of tokensAt.
	tokens   float64
	tokensAt core.Time
	// sent are buffers of fill.
	sent [2][]queued
}

// enqueue (re)starts the spreading of an entry.
func (r *Reducer) enqueue(e entry) {
	s := e.state()
	s.generation++
	if r.catchingUp {
		return
	}
	if !r.hasNews() {
		r.queue.nextAt = max(r.queue.nextAt, r.now)
	}
	levels := &r.queue.levels[e.class()]
	if len(*levels) == 0 {
		*levels = append(*levels, nil)
	}
	(*levels)[0] = append((*levels)[0], queued{e, s.generation})
}

func (r *Reducer) hasNews() bool {
	if r.config.rounds > 0 {
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

// minRepetitions is how often a piece of news is sent in a small fleet.
const minRepetitions = 8

// repetitions is how often one daemon sends a piece of news.
func (r *Reducer) repetitions() int {
	return max(minRepetitions, int(math.Ceil(float64(r.settings.RetransmitMultiplier)*r.logSize())))
}

// stormNews is the number of pieces of news from on which each is repeated half
// as often. A few daemons miss some of it then, which the digests make good for
// less than the repetitions would have cost.
const stormNews = 64

// limit is repetitions, or less when there is much news.
func (r *Reducer) limit() int {
	n := 0
	for _, levels := range r.queue.levels {
		for _, level := range levels {
			n += len(level)
		}
	}
	if n > stormNews {
		return (r.repetitions() + 1) / 2
	}
	return r.repetitions()
}

// allowance returns how many bytes of news may be sent now.
func (r *Reducer) allowance() int {
	q := &r.queue
	elapsed := max(0, r.now.Sub(q.tokensAt)).Seconds()
	q.tokensAt = r.now
	q.tokens = min(float64(r.settings.NewsBurst), q.tokens+elapsed*float64(r.settings.NewsBytesPerSecond))
	return int(q.tokens)
}

// fill adds queued news to the message as far as there is room.
func (r *Reducer) fill(m *Message) {
	allowed := r.allowance()
	room := m.room()
	limit := r.limit()
	left := max(0, min(room, allowed+urgentOverdraft))
	used := left - r.fillClass(urgent, limit, m, left)
	left = max(0, min(room-used, allowed-used))
	used += left - r.fillClass(ordinary, limit, m, left)
	r.queue.tokens -= float64(used)
}

// fillClass adds news of one class and returns the room left. What is sent
// moves up a level, but only after that level was looked at, so that no news
// stands in one message twice.
func (r *Reducer) fillClass(class, limit int, m *Message, room int) int {
	q := &r.queue
	levels := q.levels[class]
	levels = levels[:min(len(levels), limit)]
	var sent []queued
	for i := 0; i < len(levels) || len(sent) > 0; i++ {
		if i == len(levels) {
			levels = append(levels, nil)
		}
		next := q.sent[i%2][:0]
		if room > minNews {
			room, next = r.fillFrom(&levels[i], m, room, next)
		}
		levels[i] = append(levels[i], sent...)
		q.sent[i%2], sent = next, next
		if i+1 >= limit {
			break
		}
	}
	q.levels[class] = levels
	return room
}

// fillFrom adds news of one level, latest first, and appends it to sent.
func (r *Reducer) fillFrom(from *[]queued, m *Message, room int, sent []queued) (int, []queued) {
	level := *from
	misses := 0
	for j := len(level) - 1; j >= 0 && misses < maxMisses && room > minNews; j-- {
		item := level[j]
		if item.generation == item.entry.state().generation {
			used, ok := item.entry.addTo(m, room, r.now)
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

// urgentOverdraft is how many bytes urgent news may go beyond the allowance.
const urgentOverdraft = 16 << 10

// mayGossip reports whether the allowance is enough for a round.
func (r *Reducer) mayGossip() bool {
	need := MaxDatagram
	for _, level := range r.queue.levels[urgent] {
		if len(level) > 0 {
			need -= urgentOverdraft
			break
		}
	}
	return r.allowance() >= need
}

// maxMisses bounds the search for news that still fits into a message.
const maxMisses = 8

// gossipTick sends news to a few random daemons while there is any.
func (r *Reducer) gossipTick() {
	if len(r.live.list) == 0 || !r.hasNews() || r.now < r.queue.nextAt {
		return
	}
	r.queue.nextAt = r.now.Add(r.settings.GossipInterval)
	if r.config.rounds > 0 {
		r.config.rounds--
	} else if !r.mayGossip() {
		return
	}
	for range min(r.settings.Fanout, len(r.live.list)) {
		to := r.live.list[r.random.IntN(len(r.live.list))]
		m := r.message(to.addr, KindNews)
		r.fill(m)
		r.queue.tokens -= sizeHeader
	}
}

func (m *member) class() int {
	if m.State == Alive && !m.whole || m.State == Leaving {
		return urgent
	}
	return ordinary
}

func (*home) class() int { return urgent }

func (*target) class() int { return urgent }

func (m *member) addTo(msg *Message, room int, _ core.Time) (int, bool) {
	u := m.short()
	if m.whole && m.State != Dead && m.State != Suspect {
		u = m.full()
	}
	if u.size() > room {
		return 0, false
	}
	msg.Daemons = append(msg.Daemons, u)
	return u.size(), true
}

func (h *home) addTo(msg *Message, room int, _ core.Time) (int, bool) {
	if h.size() > room {
		return 0, false
	}
	msg.Homes = append(msg.Homes, h.Home)
	return h.size(), true
}

func (t *target) addTo(msg *Message, room int, now core.Time) (int, bool) {
	if t.size() > room {
		return 0, false
	}
	u := t.Target
	u.TTL = max(t.expires.Sub(now), time.Second).Round(time.Second)
	msg.Targets = append(msg.Targets, u)
	return t.size(), true
}
