package quota_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/era"
	"limpetspan/core/mirror"
	"limpetspan/core/quota"
)

// The simulated fleet. All daemons receive operations of the same team, at times far more than its
// limit allows. This covers the worst case of entries that know different lists of daemons and
// therefore send one team's operations to several daemons.
const (
	simDaemons  = 4
	simDuration = 60 * time.Second
	simTick     = 10 * time.Millisecond
	simRate     = 40.0
	simBurst    = 120.0
	simWindow   = 5 * time.Second
	team        = core.TeamID("t")
)

// teamSlot is the team's slot, which each operation needs.
var teamSlot = quota.SlotOf(team)

// seedsEnv is the environment variable that sets the number of seeds to simulate.
const seedsEnv = "LIMPETSPAN_QUOTA_SEEDS"

var simTolerance = quota.Tolerance{Window: simWindow, Overage: 0.1, Slack: 20}

// longWindowTolerance has a window that is longer than a new era takes to settle, and a smaller
// overage.
var longWindowTolerance = quota.Tolerance{Window: 3 * simWindow, Overage: 0.02, Slack: simTolerance.Slack}

// largeBurst is a burst that is larger than the operations of a window at the rate. A fault of the
// count of one part of a split limit then exceeds the tolerance by itself.
const largeBurst = 300.0

// omission disables one of the mechanisms on which the contract rests.
type omission int

const (
	omitNothing omission = iota
	// omitStartTokens lets a daemon that takes a slot assume that the previous holder used no
	// burst.
	omitStartTokens
	// omitBurstRecord lets a holder use its full burst before the store records it.
	omitBurstRecord
	// omitLeaseExpiry lets a holder continue when its lease has expired.
	omitLeaseExpiry
	// omitSettling lets daemons take slots as soon as a new era begins.
	omitSettling
	// omitEras lets daemons rely on responses that the store sent before it was restored.
	omitEras
	// omitParts lets each holder of a slot or of its second slot give out the whole limit.
	omitParts
)

// simMode selects what a simulated fleet does, besides the faults of all modes.
type simMode struct {
	tolerance quota.Tolerance
	burst     float64
	// restores adds restores of the store from snapshots to the faults.
	restores bool
	// split splits the limits between the holders of slots and of second slots.
	split bool
}

// allowed returns how many operations members may receive in a window of the tolerance.
func (m simMode) allowed() float64 {
	return (simRate*m.tolerance.Window.Seconds()+m.burst)*(1+m.tolerance.Overage) + m.tolerance.Slack
}

// simStore models the part of the platform's store that slots use.
type simStore struct {
	revision uint64
	leases   map[uint64]time.Duration // end of each lease
	keys     map[quota.Slot]simKey
	down     bool
	// era counts the restores of the store, and settled is the era that a daemon has attested.
	era, settled mirror.Era
	// snapshots are earlier states of the store, one per snapshotInterval.
	snapshots []simStore
}

// simKey is the key of a slot, and the era in which it was written.
type simKey struct {
	quota.Owner
	era mirror.Era
}

// snapshotInterval is the interval between snapshots of the store.
const snapshotInterval = 50 * time.Millisecond

// snapshot returns a copy of the store's present state.
func (s *simStore) snapshot() simStore {
	c := *s
	c.leases, c.keys, c.snapshots = maps.Clone(s.leases), maps.Clone(s.keys), nil
	return c
}

// restore restores a snapshot of about the given age and begins a new era.
func (s *simStore) restore(age time.Duration) {
	i := max(0, len(s.snapshots)-1-int(age/snapshotInterval))
	snapshots, next := s.snapshots[:i+1], s.era+1
	*s = snapshots[i].snapshot()
	s.era, s.snapshots, s.down = next, snapshots, false
}

func (s *simStore) expireLeases(now time.Duration) {
	if s.down {
		return
	}
	for lease, end := range s.leases {
		if now < end {
			continue
		}
		delete(s.leases, lease)
		maps.DeleteFunc(s.keys, func(_ quota.Slot, key simKey) bool { return key.Lease == lease })
	}
}

// simDaemon is one daemon: a holder, a counter, and at most one call in flight.
type simDaemon struct {
	id               core.DaemonID
	boot             int64
	offset           time.Duration
	up               bool
	frozenUntil      time.Duration
	partitionedUntil time.Duration
	h                *quota.Holder
	eras             era.Tracker
	// parts is indexed by quota.Part.
	parts   [quota.SecondPart + 1]simPart
	calling bool
}

// simPart counts the operations of one part of the team's limit at a daemon.
type simPart struct {
	count quota.Counter
	// last is the last holding, with which a daemon continues under omitLeaseExpiry.
	last     quota.Holding
	heldOnce bool
}

type sim struct {
	r       *rand.Rand
	now     time.Duration
	store   simStore
	daemons []*simDaemon
	events  []simEvent
	sent    []time.Duration
	omitted omission
	simMode
}

type simEvent struct {
	at time.Duration
	do func()
}

func (s *sim) after(d time.Duration, do func()) {
	s.events = append(s.events, simEvent{s.now + d, do})
}

func (d *simDaemon) clock(s *sim) core.Time { return core.Time(s.now + d.offset) }

func (s *sim) start(d *simDaemon) {
	d.boot++
	d.up, d.calling, d.parts = true, false, [quota.SecondPart + 1]simPart{}
	d.h, d.eras = quota.NewHolder(d.id, d.boot), era.Tracker{}
	if s.split {
		d.h = quota.NewSplitHolder(d.id, d.boot)
	}
	s.poll(d, d.boot)
}

// pollInterval is the interval between a daemon's other calls to the store, whose responses name
// the era as well.
const pollInterval = time.Second

// poll makes one of these calls and schedules the next one.
func (s *sim) poll(d *simDaemon, boot int64) {
	if !d.up || d.boot != boot {
		return
	}
	s.after(pollInterval, func() { s.poll(d, boot) })
	if s.store.down || s.now < d.partitionedUntil || s.now < d.frozenUntil {
		return
	}
	answered, settled := s.store.era, s.store.settled
	s.after(time.Duration(1+s.r.IntN(6))*time.Millisecond, func() {
		if d.up && d.boot == boot && s.now >= d.frozenUntil {
			s.observe(d, answered, answered, settled)
		}
	})
}

// observe records the era of a response and the newest attested era. It returns false if the
// response is not to be used: its era has ended, or the call was sent in an earlier one.
func (s *sim) observe(d *simDaemon, called, answered, settled mirror.Era) bool {
	if s.omitted == omitEras {
		return true
	}
	if d.eras.Observe(d.clock(s), answered) {
		d.h.NewEra(d.clock(s))
	}
	d.eras.Attest(settled)
	return answered == d.eras.Current() && (called == answered || called == 0)
}

// call executes a step at the store. The request, its execution and the response may each fail or
// be delayed, and a call that got no response may be executed seconds later.
func (s *sim) call(d *simDaemon, step quota.Step) {
	sent, boot, called := d.clock(s), d.boot, d.eras.Current()
	d.calling = true
	answered := false
	answer := func(report func()) func() {
		return func() {
			if !d.up || d.boot != boot || answered {
				return
			}
			if wait := d.frozenUntil - s.now; wait > 0 {
				s.after(wait, func() {
					if d.up && d.boot == boot && !answered {
						answered, d.calling = true, false
						report()
					}
				})
				return
			}
			answered, d.calling = true, false
			report()
		}
	}
	s.after(800*time.Millisecond, answer(func() {
		if step.Kind == quota.RecordBurst || step.Kind == quota.ClearBurst {
			d.h.BurstRecordFailed(d.clock(s), step.Slots)
			return
		}
		d.h.Failed(d.clock(s))
	}))
	lost := s.r.IntN(12) == 0 || s.now < d.partitionedUntil
	delay := time.Duration(1+s.r.IntN(6)) * time.Millisecond
	if s.r.IntN(25) == 0 {
		delay = time.Duration(s.r.IntN(4000)) * time.Millisecond
	}
	if s.now < d.partitionedUntil && s.r.IntN(2) == 0 {
		return
	}
	s.after(delay, func() {
		if s.store.down {
			return
		}
		report, answered := s.execute(d, step, sent), s.store.era
		if d.eras.Settled(d.clock(s)) && d.eras.Current() == s.store.era {
			s.store.settled = s.store.era
		}
		settled := s.store.settled
		if !lost {
			s.after(time.Duration(1+s.r.IntN(6))*time.Millisecond, answer(func() {
				if s.observe(d, called, answered, settled) {
					report()
				} else {
					d.h.Failed(d.clock(s))
				}
			}))
		}
	})
}

// execute executes the step at the store and returns a function that reports the response to the
// daemon.
func (s *sim) execute(d *simDaemon, step quota.Step, sent core.Time) func() {
	st := &s.store
	failed := func() { d.h.Failed(d.clock(s)) }
	switch step.Kind {
	case quota.Grant:
		st.revision++
		lease := st.revision
		st.leases[lease] = s.now + quota.LeaseTTL
		return func() { d.h.Granted(sent, lease, quota.LeaseTTL) }
	case quota.Renew:
		if _, ok := st.leases[step.Lease]; !ok {
			return func() { d.h.LeaseGone() }
		}
		st.leases[step.Lease] = s.now + quota.LeaseTTL
		return func() { d.h.Renewed(sent, quota.LeaseTTL) }
	case quota.List:
		owners := make(map[quota.Slot]quota.Owner)
		for slot, key := range st.keys {
			key.BurstInUse = key.BurstInUse || key.era != st.era
			owners[slot] = key.Owner
		}
		return func() { d.h.Listed(sent, owners) }
	case quota.Take, quota.Release, quota.RecordBurst, quota.ClearBurst:
		for slot, revision := range step.Slots {
			if st.keys[slot].Revision == revision {
				continue
			}
			switch step.Kind {
			case quota.Release:
				return func() { d.h.Released(step.Slots) }
			case quota.Take:
				return func() { d.h.Conflict(d.clock(s)) }
			}
			return func() { d.h.BurstRecordFailed(d.clock(s), step.Slots) }
		}
		st.revision++
		if step.Kind == quota.Release {
			maps.DeleteFunc(st.keys, func(slot quota.Slot, _ simKey) bool { _, ok := step.Slots[slot]; return ok })
			return func() { d.h.Released(step.Slots) }
		}
		if _, ok := st.leases[step.Lease]; !ok {
			return func() { d.h.LeaseGone() }
		}
		revision := st.revision
		for slot := range step.Slots {
			st.keys[slot] = simKey{quota.Owner{Daemon: d.id, Boot: d.boot, Lease: step.Lease, Revision: revision, BurstInUse: step.Kind != quota.ClearBurst, Split: s.split}, st.era}
		}
		if step.Kind != quota.Take {
			return func() { d.h.BurstRecorded(step.Slots, revision, step.Kind == quota.RecordBurst) }
		}
		return func() { d.h.Taken(d.clock(s), step.Slots, revision) }
	}
	return failed
}

// request handles one operation of a caller at the daemon. A daemon that does not hold the slot
// requests its second slot; now and then the slot's holder does as well.
func (s *sim) request(d *simDaemon) {
	at := d.clock(s)
	slot := teamSlot
	d.h.Request(at, slot)
	if !s.split {
		s.count(d, slot, quota.Whole)
		return
	}
	if _, holds := d.h.Holds(at, slot); !holds || s.r.IntN(400) == 0 {
		d.h.Request(at, slot.Second())
	}
	if !s.count(d, slot, quota.FirstPart) {
		s.count(d, slot.Second(), quota.SecondPart)
	}
}

// count counts an operation against the part of the team's limit that the slot stands for, and
// reports whether it was sent.
func (s *sim) count(d *simDaemon, slot quota.Slot, part quota.Part) bool {
	at, p := d.clock(s), &d.parts[part]
	held, holds := d.h.Holds(at, slot)
	if holds {
		p.heldOnce, p.last = true, held
	}
	if s.omitted == omitLeaseExpiry && p.heldOnce {
		held, holds = p.last, true
	}
	if s.omitted == omitStartTokens {
		held.PreviousBurstUnused = true
	}
	if s.omitted == omitBurstRecord {
		held.FullBurst = true
	}
	if !holds {
		return false
	}
	if s.omitted == omitParts {
		part = quota.Whole
	}
	limit, tolerance := s.tolerance.Limit(simRate, s.burst).Of(part), s.tolerance.Of(part)
	ok, needsBurst := p.count.Take(at, held, limit, tolerance)
	if ok {
		s.sent = append(s.sent, s.now)
	}
	if needsBurst {
		d.h.RequestBurst(slot)
	}
	if held.FullBurst && at.Sub(held.Since) >= s.tolerance.Window+quota.ReservationTTL && p.count.BurstUnused(at, held, tolerance) {
		d.h.ReleaseBurst(slot)
	}
	return ok
}

// demand returns the number of operations that a daemon receives in a tick. Phases in which each
// daemon receives ten times the team's rate alternate with phases in which the whole fleet receives
// a quarter of it, so that holders release their bursts.
func (s *sim) demand() int {
	if s.now/(7*time.Second)%3 == 0 {
		return 4
	}
	if s.r.IntN(40) == 0 {
		return 1
	}
	return 0
}

func (s *sim) injectFault() {
	d := s.daemons[s.r.IntN(len(s.daemons))]
	seconds := func(limit int) time.Duration { return time.Duration(s.r.IntN(limit*1000)) * time.Millisecond }
	kinds := 6
	if s.restores {
		kinds = 7
	}
	switch s.r.IntN(kinds) {
	case 0:
		d.up = false
		s.after(seconds(3), func() { s.start(d) })
	case 1:
		d.frozenUntil = s.now + seconds(6)
	case 2:
		d.partitionedUntil = s.now + seconds(12)
	case 3:
		s.store.down = true
		s.after(seconds(9), func() { s.store.down = false })
	case 4:
		for _, d := range s.daemons {
			d.up = false
			s.after(time.Second+seconds(1), func() { s.start(d) })
		}
	case 5:
		d.h.Release(quota.SlotOf(team))
		if s.split && s.r.IntN(2) == 0 {
			d.h.Release(quota.SlotOf(team).Second())
		}
	case 6:
		s.store.down = true
		s.after(seconds(2), func() { s.store.restore(seconds(6)) })
	}
}

// run simulates a seed and returns the highest number of operations sent in one window.
func run(seed uint64, omitted omission, mode simMode) (peak int) {
	s := &sim{r: rand.New(rand.NewPCG(seed, 1)), omitted: omitted, simMode: mode, store: simStore{revision: 10, leases: make(map[uint64]time.Duration), keys: make(map[quota.Slot]simKey)}}
	if s.restores {
		// The first era that the store names, attested at the fleet's first start.
		s.store.era, s.store.settled = 1, 1
	}
	for i := range simDaemons {
		d := &simDaemon{id: core.DaemonID(fmt.Sprintf("d%d", i)), offset: time.Duration(i+1) * time.Hour}
		s.daemons = append(s.daemons, d)
		s.start(d)
	}
	for ; s.now < simDuration; s.now += simTick {
		for i := 0; i < len(s.events); i++ {
			if e := s.events[i]; e.at <= s.now {
				s.events = slices.Delete(s.events, i, i+1)
				i--
				e.do()
			}
		}
		s.store.expireLeases(s.now)
		if s.restores && s.now%snapshotInterval == 0 {
			s.store.snapshots = append(s.store.snapshots, s.store.snapshot())
		}
		if s.r.IntN(120) == 0 {
			s.injectFault()
		}
		for _, d := range s.daemons {
			if !d.up || s.now < d.frozenUntil {
				continue
			}
			for range s.demand() {
				s.request(d)
			}
			if d.calling {
				continue
			}
			if step := d.h.Next(d.clock(s), omitted == omitSettling || omitted == omitEras || d.eras.Settled(d.clock(s))); step.Kind != quota.Pause {
				s.call(d, step)
			}
		}
	}
	for i, first := 0, 0; i < len(s.sent); i++ {
		for s.sent[i]-s.sent[first] > s.tolerance.Window {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

var _ = Describe("a team's limit", func() {
	seeds := uint64(300)
	if n, err := strconv.ParseUint(os.Getenv(seedsEnv), 10, 64); err == nil {
		seeds = n
	}

	exceeded := func(seed uint64, omitted omission, mode simMode) (bool, int) {
		peak := run(seed, omitted, mode)
		return float64(peak) > mode.allowed(), peak
	}

	// anySeedExceeds reports whether some of 3000 seeds exceeds the limit under the omission. It tries
	// first, a seed that did when the test was written, before all others.
	anySeedExceeds := func(omitted omission, mode simMode, first uint64) bool {
		const searched = 3000
		for i := range uint64(searched) {
			if yes, _ := exceeded((first+i)%searched, omitted, mode); yes {
				return true
			}
		}
		return false
	}

	// Daemons are killed, lose power, freeze or are partitioned from the store, and the store is
	// down, loses responses or executes calls late, while all daemons together receive more
	// operations than the team's limit allows. Members receive no more than the limit allows in
	// any window.
	DescribeTable("is never exceeded by the fleet, whatever fails", func(used float64, modes ...simMode) {
		served, windows := 0, 0.0
		for seed := range seeds {
			mode := modes[seed%uint64(len(modes))]
			yes, peak := exceeded(seed, omitNothing, mode)
			Expect(yes).To(BeFalse(), "seed %d: %d operations in a window, %.0f are allowed", seed, peak, mode.allowed())
			served += peak
			windows += mode.tolerance.Window.Seconds()
		}
		Expect(float64(served)).To(BeNumerically(">", used*simRate*windows), "operations in the busiest window of a seed, on average")
	},
		Entry("while the store keeps all acknowledged writes", 1.0, simMode{tolerance: simTolerance, burst: simBurst}),
		Entry("while the store is restored from older copies", 0.3, simMode{tolerance: simTolerance, burst: simBurst, restores: true}),
		Entry("with windows longer than an era takes to settle", 0.3, simMode{tolerance: longWindowTolerance, burst: simBurst, restores: true}),
		Entry("with split limits, with small and large bursts by turns", 1.0,
			simMode{tolerance: simTolerance, burst: simBurst, split: true},
			simMode{tolerance: simTolerance, burst: largeBurst, split: true}),
		Entry("with split limits, while the store is restored from older copies, with short and long windows by turns", 0.3,
			simMode{tolerance: simTolerance, burst: simBurst, restores: true, split: true},
			simMode{tolerance: longWindowTolerance, burst: simBurst, restores: true, split: true}),
	)

	DescribeTable("would be exceeded", func(burst float64, split bool) {
		kind := 0
		if split {
			kind = 1
		}
		for _, guard := range []struct {
			without  string
			omitted  omission
			restores bool
			// first is the first seed to try without and with split limits.
			first [2]uint64
		}{
			{"a nearly empty bucket of each new holder", omitStartTokens, false, [2]uint64{3, 5}},
			{"the store's record of a full burst before its use", omitBurstRecord, false, [2]uint64{408, 1371}},
			{"the end of a holding with its lease", omitLeaseExpiry, false, [2]uint64{12, 13}},
			{"waiting until a restored store is settled", omitSettling, true, [2]uint64{3, 76}},
			{"noticing a new era", omitEras, true, [2]uint64{36, 177}},
		} {
			Expect(anySeedExceeds(guard.omitted, simMode{tolerance: simTolerance, burst: burst, restores: guard.restores, split: split}, guard.first[kind])).To(BeTrue(), "without %s", guard.without)
		}
	},
		Entry("without one of the guards", simBurst, false),
		Entry("without one of the guards of split limits", largeBurst, true),
	)

	It("would be exceeded if both holders of a split limit gave out the whole limit", func() {
		Expect(anySeedExceeds(omitParts, simMode{tolerance: simTolerance, burst: simBurst, split: true}, 0)).To(BeTrue())
	})
})
