package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"limpetspan/core"
)

// meanTime is the time constant of a Mean. It is about the interval of the reports: a shorter mean
// is outdated when it is used, a longer one hides what changed since the previous report.
const meanTime = time.Second

// Mean is the time-weighted mean of a number that is observed from time to time. Between two
// observations the number counts as the later one shows it, so short changes in between are missed.
type Mean struct {
	value float64
	at    core.Time
}

// Observe records that the number is n now, which stands for the time since the last observation.
func (m *Mean) Observe(now core.Time, n int) {
	if m.at == 0 {
		m.value, m.at = float64(n), now
		return
	}
	if elapsed := float64(now.Sub(m.at)); elapsed > 0 {
		m.value += (float64(n) - m.value) * elapsed / (elapsed + float64(meanTime))
		m.at = now
	}
}

// Value returns the mean.
func (m *Mean) Value() float64 { return m.value }

// Others is the load of one member by the other homes.
type Others struct {
	// homes is sorted by id, so that sums do not depend on the order of reports. It is a list, as it
	// is read for each placement and has few entries.
	homes []homeLoad
}

// homeLoad is another home's mean, received at at while this home's mean was ownThen.
type homeLoad struct {
	id            core.DaemonID
	mean, ownThen float64
	at            core.Time
}

// Reported records another home's mean, received at now while this home's mean is own.
func (o *Others) Reported(now core.Time, from core.DaemonID, mean, own float64) {
	load := homeLoad{from, mean, own, now}
	i, known := slices.BinarySearchFunc(o.homes, from, func(h homeLoad, id core.DaemonID) int { return cmp.Compare(h.id, id) })
	if known {
		o.homes[i] = load
		return
	}
	o.homes = slices.Insert(o.homes, i, load)
}

// Expire removes the reports from before the given time.
func (o *Others) Expire(before core.Time) {
	o.homes = slices.DeleteFunc(o.homes, func(h homeLoad) bool { return h.at < before })
}

// Homes returns the number of other homes that have reported their load.
func (o *Others) Homes() int { return len(o.homes) }

// Expected returns how many statements of the other homes are expected on the member now, while this
// home's mean is own. Each home is assumed to have changed its load since its report as this one
// has, but to have no fewer than none; see the package's comment on herding.
func (o *Others) Expected(own float64) (n float64) {
	for i := range o.homes {
		h := &o.homes[i]
		n += max(0, h.mean+own-h.ownThen)
	}
	return n
}

// Wait is what a further statement on a member is expected to find there.
type Wait struct {
	// Turns is the expected wait for a slot, in service times.
	Turns float64
	// Caused is the expected wait that the statement adds to the statements of others, in service
	// times.
	Caused float64
}

// maxSlots bounds the loop in Expect.
const maxSlots = 64

// Expect returns the expected wait on a member with the given number of slots, on which this home
// has own statements running and the other homes a Poisson-distributed number with the given mean.
func Expect(slots, own int, others float64) Wait {
	slots = min(max(1, slots), maxSlots)
	// free is how many statements of others leave a slot for this one.
	free := slots - 1 - own
	// excess is the mean of the others' number beyond free, none the probability that no slot is free.
	excess, none := others-float64(free), 1.0
	p := math.Exp(-others)
	for k := 0; k <= free; k++ {
		excess += float64(free-k) * p
		none -= p
		p *= others / float64(k+1)
	}
	excess, none = max(0, excess), max(0, none)
	return Wait{Turns: excess / float64(slots), Caused: (others + float64(own)) * none / float64(slots)}
}
