package placement

import (
	"math"
	"time"

	"limpetspan/core"
)

// meanTime is the time constant of a Mean. It is about the interval of the reports: a shorter mean
// is outdated when it is used, a longer one hides what changed since the previous report.
const meanTime = time.Second

// Mean is the time-weighted mean of a number that is observed from time to time.
type Mean struct {
	value float64
	at    core.Time
}

// Observe records that the number has been n since the last observation.
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
	homes map[core.DaemonID]homeLoad
	// reported and ownThen are the sums over homes, ownThen of this home's mean at their reports.
	reported, ownThen float64
}

type homeLoad struct {
	mean, ownThen float64
	at            core.Time
}

// Reported records another home's mean, received at now while this home's mean is own.
func (o *Others) Reported(now core.Time, from core.DaemonID, mean, own float64) {
	if o.homes == nil {
		o.homes = make(map[core.DaemonID]homeLoad)
	}
	o.homes[from] = homeLoad{mean, own, now}
	o.sum()
}

// Expire removes the reports from before the given time.
func (o *Others) Expire(before core.Time) {
	expired := false
	for id, h := range o.homes {
		if h.at < before {
			delete(o.homes, id)
			expired = true
		}
	}
	if expired {
		o.sum()
	}
}

func (o *Others) sum() {
	o.reported, o.ownThen = 0, 0
	for _, h := range o.homes {
		o.reported += h.mean
		o.ownThen += h.ownThen
	}
}

// Homes returns the number of other homes that have reported their load.
func (o *Others) Homes() int { return len(o.homes) }

// Expected returns how many statements of the other homes are expected on the member now, while this
// home's mean is own. Each home is assumed to have changed its load since its report as this one
// has; see the package's comment on herding.
func (o *Others) Expected(own float64) float64 {
	return max(0, o.reported+own*float64(len(o.homes))-o.ownThen)
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
