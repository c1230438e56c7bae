package group

import (
	"time"

	"limpetspan/core"
)

// lagModel predicts when a replica will have applied a position. It follows
// one write at a time: how long after the write ended the replica was first
// seen to have it.
type lagModel struct {
	// marker is the write being followed since markedAt; zero: none.
	marker   core.Position
	markedAt core.Time
	// lastSeen is when the replica was last seen without the marker.
	lastSeen core.Time
	// mean and deviation are exponentially weighted, as for a TCP round trip.
	mean, deviation time.Duration
	sampled         bool
}

// Parameters of the lag model.
const (
	lagMeanWeight      = 8
	lagDeviationWeight = 4
	lagDeviations      = 1
	// lagResolution is the widest gap between two reports that still tells
	// when the replica got the write; the middle of the gap is taken.
	lagResolution = 20 * time.Millisecond
)

// restart forgets the write being followed, at the start of a leadership.
func (l *lagModel) clearMarker() { l.marker, l.markedAt, l.lastSeen = core.Position{}, 0, 0 }

// mark begins to follow a write unless another is being followed.
func (l *lagModel) follow(p core.Position, now core.Time) {
	if l.marker.IsZero() {
		l.marker, l.markedAt, l.lastSeen = p, now, now
	}
}

// observe takes a report of the replica's position.
func (l *lagModel) observe(p core.Position, at core.Time) {
	if l.marker.IsZero() {
		return
	}
	if p.Less(l.marker) {
		l.lastSeen = max(l.lastSeen, at)
		if behind := at.Sub(l.markedAt); behind > l.mean {
			l.sample(behind) // It takes at least that long.
		}
		return
	}
	if gap := at.Sub(l.lastSeen); gap <= lagResolution {
		l.sample(max(0, at.Sub(l.markedAt)-gap/2))
	}
	l.clearMarker()
}

func (l *lagModel) sample(d time.Duration) {
	if !l.sampled {
		l.mean, l.deviation, l.sampled = d, d/2, true
		return
	}
	delta := d - l.mean
	l.mean += delta / lagMeanWeight
	l.deviation += (max(delta, -delta) - l.deviation) / lagDeviationWeight
}

// delay is how long after a write the replica is expected to have it, with the
// jitter on the cautious side.
func (l *lagModel) expectedDelay() time.Duration { return l.mean + lagDeviations*l.deviation }

// behind is for how long the replica is known to lack a write.
func (l *lagModel) behind(now core.Time) time.Duration {
	if l.marker.IsZero() || l.lastSeen <= l.markedAt {
		return 0
	}
	return now.Sub(l.markedAt)
}

func (g *Group) observeLag(m *member, at core.Time) { m.lag.observe(m.position, at) }

// markLag begins to follow a write at the replicas that lack it.
func (g *Group) followWrite(p core.Position) {
	for _, m := range g.members {
		if g.isServing(m) && m.position.Less(p) {
			m.lag.follow(p, g.now)
		}
	}
}

// arrival estimates how long from now the replica takes to be seen at p, which
// the primary had reached at.
func (g *Group) expectedWait(m *member, reached core.Time) time.Duration {
	wait := reached.Add(m.lag.expectedDelay()).Sub(g.now)
	return max(wait, 0) + g.tuning.FastProbeInterval
}

// historySize is the number of samples of the primary's position; historyStep
// is their least distance in time, so that they reach back some seconds.
const (
	historySize        = 512
	minHistoryInterval = 10 * time.Millisecond
)

type historySample struct {
	at       core.Time
	position core.Position
}

// primaryHistory tells what the primary's position was over time: at each
// sample's time it was at most the sample's position.
type primaryHistory struct {
	samples [historySize]historySample
	first   int
	count   int
}

func (h *primaryHistory) reset() { h.first, h.count = 0, 0 }

func (h *primaryHistory) sampleAt(i int) *historySample {
	return &h.samples[(h.first+i)%historySize]
}

// add takes the position that the primary reported in answer to a question
// asked at the time.
func (h *primaryHistory) add(at core.Time, p core.Position) {
	if h.count > 0 {
		last := h.sampleAt(h.count - 1)
		if at < last.at || p.Less(last.position) {
			return
		}
		tooClose := h.count > 1 && last.at.Sub(h.sampleAt(h.count-2).at) < minHistoryInterval
		if p == last.position || tooClose {
			*last = historySample{at: at, position: p}
			return
		}
	}
	if h.count == historySize {
		h.first = (h.first + 1) % historySize
		h.count--
	}
	*h.sampleAt(h.count) = historySample{at: at, position: p}
	h.count++
}

// atLeast returns the position of the first sample not before t: whoever has
// applied it lacks nothing that the primary had at t.
func (h *primaryHistory) positionSince(t core.Time) (core.Position, bool) {
	low, high := 0, h.count
	for low < high {
		middle := (low + high) / 2
		if h.sampleAt(middle).at < t {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == h.count {
		return core.Position{}, false
	}
	return h.sampleAt(low).position, true
}

// reached returns when the primary is first known to have been at p or past it.
func (h *primaryHistory) reachedAt(p core.Position, now core.Time) core.Time {
	low, high := 0, h.count
	for low < high {
		middle := (low + high) / 2
		if h.sampleAt(middle).position.Less(p) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == h.count {
		return now
	}
	return h.sampleAt(low).at
}
