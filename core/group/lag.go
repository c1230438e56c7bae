package group

import (
	"time"

	"limpetspan/core"
)

// lagModel predicts when a replica will have applied a position. It follows one
// write at a time and measures how long after the end of the write the replica
// first reports to have it.
type lagModel struct {
	// marker is the position of the write followed since markedAt; zero: none.
	marker   core.Position
	markedAt core.Time
	// lastSeen is when the replica last reported a position before the marker.
	lastSeen core.Time
	// mean and deviation are exponentially weighted, as in TCP's estimate of the
	// round-trip time.
	mean, deviation time.Duration
	sampled         bool
}

// Parameters of the lag model. lagMeanWeight and lagDeviationWeight are the
// inverse weights of a new sample.
const (
	lagMeanWeight      = 8
	lagDeviationWeight = 4
	lagDeviations      = 1
	// lagResolution is the longest gap between the last report without the write
	// and the first report with it that still gives a sample. The sample assumes
	// that the replica applied the write in the middle of the gap.
	lagResolution = 20 * time.Millisecond
)

// clearMarker stops following the write. The mean and deviation are kept.
func (l *lagModel) clearMarker() { l.marker, l.markedAt, l.lastSeen = core.Position{}, 0, 0 }

// follow begins to follow a write unless another one is being followed.
func (l *lagModel) follow(p core.Position, now core.Time) {
	if l.marker.IsZero() {
		l.marker, l.markedAt, l.lastSeen = p, now, now
	}
}

// observe records that the replica reported p at the given time.
func (l *lagModel) observe(p core.Position, at core.Time) {
	if l.marker.IsZero() {
		return
	}
	if p.Less(l.marker) {
		l.lastSeen = max(l.lastSeen, at)
		if behind := at.Sub(l.markedAt); behind > l.mean {
			l.sample(behind) // The lag is at least this long.
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

// expectedDelay returns how long after a write the replica is expected to have
// it: the mean plus lagDeviations deviations.
func (l *lagModel) expectedDelay() time.Duration { return l.mean + lagDeviations*l.deviation }

// behind returns for how long the replica has been known to lack a write.
func (l *lagModel) behind(now core.Time) time.Duration {
	if l.marker.IsZero() || l.lastSeen <= l.markedAt {
		return 0
	}
	return now.Sub(l.markedAt)
}

func (g *Group) observeLag(m *member, at core.Time) { m.lag.observe(m.position, at) }

// followWrite makes the lag models of the replicas that lack p follow it.
func (g *Group) followWrite(p core.Position) {
	for _, m := range g.members {
		if g.isServing(m) && m.position.Less(p) {
			m.lag.follow(p, g.now)
		}
	}
}

// expectedWait estimates how long from now the replica will take to report a
// position that the primary reached at the given time.
func (g *Group) expectedWait(m *member, reached core.Time) time.Duration {
	wait := reached.Add(m.lag.expectedDelay()).Sub(g.now)
	return max(wait, 0) + g.tuning.FastProbeInterval
}

// historySize is the number of samples of the primary's position.
// minHistoryInterval is the minimum time between two samples, so a full history
// covers at least 5 s.
const (
	historySize        = 512
	minHistoryInterval = 10 * time.Millisecond
)

type historySample struct {
	at       core.Time
	position core.Position
}

// primaryHistory records the primary's position over time. At the time of each
// sample the primary had reached at most the sample's position.
type primaryHistory struct {
	samples [historySize]historySample
	first   int
	count   int
}

func (h *primaryHistory) reset() { h.first, h.count = 0, 0 }

func (h *primaryHistory) sampleAt(i int) *historySample {
	return &h.samples[(h.first+i)%historySize]
}

// add records the position that the primary reported in answer to a request
// sent at the given time.
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

// positionSince returns the position of the first sample at or after t, if there
// is one. A replica that has applied it has everything that the primary had at t.
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

// reachedAt returns the time of the first sample at or past p, or now if there
// is none.
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
