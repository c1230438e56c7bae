package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"limpetspan/core"
)

// Parameters of the learned service times.
const (
	// A new measurement has the weight 1/memberWeight in a member's mean, so that a member that has
	// become slow is known after a few answers, and 1/groupWeight in the group's.
	memberWeight = 8
	groupWeight  = 64
	// effectiveCount is the number of independent measurements whose mean varies as much as an
	// exponential mean with the weight 1/memberWeight.
	effectiveCount = 2*memberWeight - 1
	// significance is how many standard errors a member's mean must differ from the group's to count
	// as different; two correspond to a confidence of 95 %.
	significance = 2.0
	// retention is the age of a member's last measurement at which half of its difference from the
	// group still counts. Probes show only that a member answers, not how fast it runs statements, so
	// a read must try it again within seconds.
	retention = 2 * time.Second
	// maxTurns bounds the wait that is taken out of a measured time. The expected wait comes from what
	// other homes report; if that is too high, at most half of the measured time counts as wait, and a
	// slow member still counts as slow.
	maxTurns = 1.0
	// defaultTime is assumed before the first measurement.
	defaultTime = 15 * time.Millisecond
	// coldCount is the number of answers of a member before it counts as warm. While it is cold, its
	// caches are empty and connections to it have to be opened.
	coldCount = memberWeight
)

// Times are the service times of statements on one member, by kind.
type Times struct {
	kinds   map[string]*memberTime
	answers int
}

type memberTime struct {
	mean, variance float64
	at             core.Time
}

// GroupTimes are the service times of statements on all members of a group.
type GroupTimes struct {
	kinds map[string]*groupTime
	// all is the mean over all kinds, by number of statements.
	all groupTime
}

// groupTime is a mean over the first groupWeight measurements, and an exponential one from then on.
type groupTime struct {
	mean    float64
	answers int
}

func (t *groupTime) observe(x float64) {
	t.answers++
	t.mean += (x - t.mean) / float64(min(t.answers, groupWeight))
}

// Observe records that a statement of the kind took that long on the member. The wait for a slot that
// was expected when it was placed is not part of its service time.
func (t *Times) Observe(now core.Time, group *GroupTimes, kind string, took time.Duration, wait Wait) {
	x := float64(took) / (1 + min(wait.Turns, maxTurns))
	group.observe(kind, x)
	t.answers++
	if t.kinds == nil {
		t.kinds = make(map[string]*memberTime)
	}
	m := t.kinds[kind]
	if m == nil {
		// A member's first answer does not say how much its answers vary; it starts as the group.
		mean := group.mean(kind)
		m = &memberTime{mean: mean, variance: mean * mean, at: now}
		t.kinds[kind] = m
	}
	// A difference that no longer counts must not return with the next answer.
	mean := group.mean(kind)
	m.mean = mean + (m.mean-mean)*m.freshness(now)
	delta := x - m.mean
	m.mean += delta / memberWeight
	m.variance += (delta*delta*(1-1.0/memberWeight) - m.variance) / memberWeight
	m.at = now
}

func (g *GroupTimes) observe(kind string, x float64) {
	if g.kinds == nil {
		g.kinds = make(map[string]*groupTime)
	}
	t := g.kinds[kind]
	if t == nil {
		t = &groupTime{}
		g.kinds[kind] = t
	}
	t.observe(x)
	g.all.observe(x)
}

// mean returns the mean service time of the kind.
func (g *GroupTimes) mean(kind string) float64 {
	if t := g.kinds[kind]; t != nil {
		return t.mean
	}
	return float64(defaultTime)
}

// Of returns the expected service time of a statement of the kind on the member.
func (t *Times) Of(now core.Time, group *GroupTimes, kind string) time.Duration {
	mean := group.mean(kind)
	expected := mean
	if m := t.kinds[kind]; m != nil {
		expected += m.difference(mean) * m.freshness(now)
	}
	if cold := coldCount - t.answers; cold > 0 && group.all.answers > 2*coldCount {
		expected += mean * float64(cold) / coldCount
	}
	return time.Duration(expected)
}

// freshness returns the share of the member's difference from the group that still counts.
func (m *memberTime) freshness(now core.Time) float64 {
	return math.Exp2(-float64(now.Sub(m.at)) / float64(retention))
}

// difference returns by how much the member's mean certainly differs from the group's.
func (m *memberTime) difference(group float64) float64 {
	d := m.mean - group
	certain := max(0, math.Abs(d)-significance*math.Sqrt(m.variance/effectiveCount))
	return math.Copysign(certain, d)
}

// Kinds returns the kinds with measurements, sorted.
func (g *GroupTimes) Kinds() []string { return slices.Sorted(maps.Keys(g.kinds)) }

// Mean returns the mean service time of the group's statements.
func (g *GroupTimes) Mean() time.Duration {
	if g.all.answers == 0 {
		return defaultTime
	}
	return time.Duration(g.all.mean)
}
