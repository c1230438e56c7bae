package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/policy"
	"limpetspan/pkg/explore/agenda"
)

// Times and sizes of the model.
const (
	// epoch is when a run begins: 0 means "never" inside the reducer.
	epoch = core.Time(10 * time.Second)
	// warmUp is how long daemons have before callers come, rest how long after.
	warmUp = 2 * time.Second
	rest   = 6 * time.Second
	// tick, reportEvery and reportGap are tickInterval, reportInterval and minReportInterval of
	// package proxy.
	tick        = 30 * time.Millisecond
	reportEvery = 900 * time.Millisecond
	reportGap   = 10 * time.Millisecond
	// idleConnRetention is that of package proxy.
	idleConnRetention = 3 * time.Second
	// inZone is the time of one way within a zone.
	inZone = 100 * time.Microsecond
	// storeTakes is what a call to the store takes.
	storeTakes = 5 * time.Millisecond
	// ended is how long callers and members need to notice that a host is gone.
	ended = 20 * time.Millisecond
	// zones is over how many zones daemons and members are spread.
	zones = 3
)

const groupID core.GroupID = "g"

// world is one run.
type world struct {
	p      *Pattern
	policy policy.Set
	random *rand.Rand
	now    core.Time
	agenda agenda.Agenda

	members []*member
	daemons []*daemon
	// promotionLock is the lock as the store holds it, written by holder at writtenAt.
	promotionLock direct.LockRecord
	revision      uint64
	holder        core.DaemonID
	writtenAt     core.Time
	term          core.Term
	// log are the times of all commits of the primary.
	log []core.Time
	// load multiplies the rate of all callers, loads those of single kinds.
	load  float64
	loads map[string]float64
	// off is until when no host has power.
	off    core.Time
	result *Result
}

// Run plays the pattern with these mechanisms.
func Run(p *Pattern, set policy.Set, seed uint64) *Result {
	w := &world{p: p, policy: set, random: rand.New(rand.NewPCG(seed, 1)), now: epoch, term: 1, load: 1, loads: make(map[string]float64), result: newResult(p)}
	for i := range p.Members.Count {
		w.members = append(w.members, &member{w: w, id: core.MemberID(fmt.Sprintf("m%d", i+1)), zone: zone(i), term: 1, primary: i == 0, factor: 1, lag: p.Members.Lag, slots: p.Members.slotsOf(i)})
	}
	for i := range p.Daemons {
		w.daemons = append(w.daemons, &daemon{w: w, id: core.DaemonID(fmt.Sprintf("d%d", i+1)), zone: zone(i)})
	}
	for _, d := range w.daemons {
		d.start()
	}
	for i := range p.Callers {
		w.arrive(&p.Callers[i])
	}
	for i := range p.Events {
		e := &p.Events[i]
		w.after(warmUp+e.At, func() { w.begin(e) })
	}
	end := epoch.Add(warmUp + time.Duration(p.Seconds)*time.Second + rest)
	for w.now < end {
		at, do := w.agenda.Next()
		w.now = at
		do()
	}
	for _, m := range w.members {
		w.result.work = append(w.result.work, m.worked)
		w.result.slots = append(w.result.slots, m.slots)
	}
	return w.result
}

func zone(i int) core.Zone { return core.Zone(fmt.Sprintf("zone-%d", i%zones+1)) }

// after has do happen d from now.
func (w *world) after(d time.Duration, do func()) { w.agenda.Add(w.now.Add(d), do) }

// way is the time of one way between two zones.
func (w *world) way(a, b core.Zone) time.Duration {
	if a == b {
		return inZone
	}
	return w.p.Crossing
}

// draw is a time around the mean: some statements take several times as long.
func (w *world) draw(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.4 + 0.6*w.random.ExpFloat64()))
}

func (w *world) chance(share float64) bool { return w.random.Float64() < share }

func (w *world) member(id core.MemberID) *member {
	for _, m := range w.members {
		if m.id == id {
			return m
		}
	}
	panic("unknown member " + string(id))
}

// loadOf is what multiplies the rate of the kind.
func (w *world) loadOf(kind *Callers) float64 {
	if times, ok := w.loads[kind.Name]; ok {
		return times
	}
	return w.load
}

// begin lets an event go wrong, and ends it.
func (w *world) begin(e *Event) {
	for i, m := range w.members {
		if e.Member >= 0 && e.Member != i {
			continue
		}
		w.hit(e, m)
	}
	switch e.What {
	case eventPower:
		w.powerOff(e.For)
	case eventBurst:
		if e.Callers != "" {
			w.loads[e.Callers] = e.Times
			w.after(e.For, func() { delete(w.loads, e.Callers) })
			return
		}
		w.load = e.Times
		w.after(e.For, func() { w.load = 1 })
	}
}

// hit has the event change a member.
func (w *world) hit(e *Event, m *member) {
	switch e.What {
	case eventSlow:
		m.factor = e.Times
		w.after(e.For, func() { m.factor = 1 })
	case eventDark:
		m.dark = true
		w.after(e.For, func() { m.dark = false })
	case eventLag:
		m.lag = time.Duration(e.Times * float64(w.p.Members.Lag))
		w.after(e.For, func() { m.lag = w.p.Members.Lag })
	case eventLose:
		m.loses = e.Times
		w.after(e.For, func() { m.loses = 0 })
	case eventLeave:
		m.leaving = true
		w.after(e.For, func() { m.leaving = false })
	}
}

// powerOff takes the power from all daemons. Members keep their connections for a while.
func (w *world) powerOff(d time.Duration) {
	w.off = w.now.Add(d)
	for _, x := range w.daemons {
		x.stop()
	}
	for _, m := range w.members {
		dead := m.conns
		w.after(w.p.Members.Linger, func() { m.conns -= dead })
	}
	w.after(d, func() {
		for _, x := range w.daemons {
			w.after(time.Duration(w.random.Int64N(int64(100*time.Millisecond))), x.start)
		}
	})
}

// promote makes the member primary of the next term after Members.Promotion.
func (w *world) promote(m *member) {
	w.after(w.p.Members.Promotion, func() {
		if m.dark || m.primary && m.term == w.term {
			return
		}
		w.term++
		for _, o := range w.members {
			o.fenced = 0
			if !o.dark {
				o.primary, o.term = false, w.term
			}
		}
		m.primary, m.term = true, w.term
	})
}
