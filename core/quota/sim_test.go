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

// The simulated fleet. All daemons receive operations of the same team, at times many times as
// many as its limit allows. Entries with different lists of daemons can do no worse.
const (
	simDaemons  = 4
	simDuration = 60 * time.Second
	simTick     = 10 * time.Millisecond
	simRate     = 40.0
	simBurst    = 120.0
	simWindow   = 5 * time.Second
	team        = core.TeamID("t")
)

// seedsEnv is the environment variable that sets the number of seeds to simulate.
const seedsEnv = "LIMPETSPAN_QUOTA_SEEDS"

var simTolerance = quota.Tolerance{Window: simWindow, Overage: 0.1, Slack: 20}

// longWindowTolerance has a window that is longer than a new era takes to settle, and a smaller
// overage.
var longWindowTolerance = quota.Tolerance{Window: 3 * simWindow, Overage: 0.02, Slack: simTolerance.Slack}

// allowed returns how many operations members may receive in a window of the tolerance.
func allowed(t quota.Tolerance) float64 {
	return (simRate*t.Window.Seconds()+simBurst)*(1+t.Overage) + t.Slack
}

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
)

// simStore models the part of the platform's store that slots use.
type simStore struct {
	revision uint64
	leases   map[uint64]time.Duration // end of each lease
	key      *quota.Owner
	down     bool
	// era counts the restores of the store, keyEra is the era in which the key was written, and
	// settled is the era that a daemon has attested.
	era, keyEra, settled mirror.Era
	// snapshots are earlier states of the store, one per snapshotInterval.
	snapshots []simStore
}

// snapshotInterval is the interval between snapshots of the store.
const snapshotInterval = 50 * time.Millisecond

// snapshot returns a copy of the store's present state.
func (s *simStore) snapshot() simStore {
	c := *s
	c.leases, c.snapshots = maps.Clone(s.leases), nil
	if s.key != nil {
		key := *s.key
		c.key = &key
	}
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
		if s.key != nil && s.key.Lease == lease {
			s.key = nil
		}
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
	count            quota.Counter
	calling          bool
	// last is the last holding, with which a daemon continues under omitLeaseExpiry.
	last     quota.Holding
	heldOnce bool
}

type sim struct {
	r         *rand.Rand
	now       time.Duration
	store     simStore
	daemons   []*simDaemon
	events    []simEvent
	sent      []time.Duration
	omitted   omission
	tolerance quota.Tolerance
	// restores adds restores of the store from snapshots to the faults.
	restores bool
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
	d.up, d.calling, d.count, d.heldOnce = true, false, quota.Counter{}, false
	d.h, d.eras = quota.NewHolder(d.id, d.boot), era.Tracker{}
	s.poll(d, d.boot)
}

// pollInterval is the interval between a daemon's other calls to the store, whose responses name
// the era as well.
const pollInterval = time.Second

// poll makes one of these calls.
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
	slot := quota.SlotOf(team)
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
		if st.key != nil {
			owner := *st.key
			owner.BurstInUse = owner.BurstInUse || st.keyEra != st.era
			owners[slot] = owner
		}
		return func() { d.h.Listed(sent, owners) }
	case quota.Take, quota.Release, quota.RecordBurst, quota.ClearBurst:
		revision := uint64(0)
		if st.key != nil {
			revision = st.key.Revision
		}
		if step.Slots[slot] != revision {
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
			st.key = nil
			return func() { d.h.Released(step.Slots) }
		}
		if _, ok := st.leases[step.Lease]; !ok {
			return func() { d.h.LeaseGone() }
		}
		if step.Kind != quota.Take {
			st.key.Revision, st.key.BurstInUse, st.keyEra = st.revision, step.Kind == quota.RecordBurst, st.era
			recorded := *st.key
			return func() { d.h.BurstRecorded(step.Slots, recorded.Revision, recorded.BurstInUse) }
		}
		taken := quota.Owner{Daemon: d.id, Boot: d.boot, Lease: step.Lease, Revision: st.revision, BurstInUse: true}
		st.key, st.keyEra = &taken, st.era
		return func() { d.h.Taken(d.clock(s), step.Slots, taken.Revision) }
	}
	return failed
}

// request handles one operation of a caller at the daemon.
func (s *sim) request(d *simDaemon) {
	at := d.clock(s)
	slot := quota.SlotOf(team)
	d.h.Request(at, slot)
	held, holds := d.h.Holds(at, slot)
	if holds {
		d.heldOnce, d.last = true, held
	}
	if s.omitted == omitLeaseExpiry && d.heldOnce {
		held, holds = d.last, true
	}
	if s.omitted == omitStartTokens {
		held.PreviousBurstUnused = true
	}
	if s.omitted == omitBurstRecord {
		held.FullBurst = true
	}
	if !holds {
		return
	}
	limit := s.tolerance.Limit(simRate, simBurst)
	ok, needsBurst := d.count.Take(at, held, limit, s.tolerance)
	if ok {
		s.sent = append(s.sent, s.now)
	}
	if needsBurst {
		d.h.RequestBurst(slot)
	}
	if held.FullBurst && at.Sub(held.Since) >= s.tolerance.Window+quota.ReservationTTL && d.count.BurstUnused(at, held, s.tolerance) {
		d.h.ReleaseBurst(slot)
	}
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
	case 6:
		s.store.down = true
		s.after(seconds(2), func() { s.store.restore(seconds(6)) })
	}
}

// run simulates a seed and returns the highest number of operations sent in one window.
func run(seed uint64, omitted omission, tolerance quota.Tolerance, restores bool) (peak int) {
	s := &sim{r: rand.New(rand.NewPCG(seed, 1)), omitted: omitted, tolerance: tolerance, restores: restores, store: simStore{revision: 10, leases: make(map[uint64]time.Duration)}}
	if restores {
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
		if restores && s.now%snapshotInterval == 0 {
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
		for s.sent[i]-s.sent[first] > tolerance.Window {
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

	exceeded := func(seed uint64, omitted omission, tolerance quota.Tolerance, restores bool) (bool, int) {
		peak := run(seed, omitted, tolerance, restores)
		return float64(peak) > allowed(tolerance), peak
	}

	// anySeedExceeds reports whether some seed exceeds the limit under the omission.
	anySeedExceeds := func(omitted omission, tolerance quota.Tolerance, restores bool) bool {
		for seed := range uint64(3000) {
			if yes, _ := exceeded(seed, omitted, tolerance, restores); yes {
				return true
			}
		}
		return false
	}

	// Daemons are killed, lose power, freeze or are partitioned from the store, and the store is
	// down, loses responses or executes calls late, while all daemons together receive more
	// operations than the team's limit allows. Members receive no more than the limit allows in
	// any window.
	DescribeTable("is never exceeded by the fleet, whatever fails", func(tolerance quota.Tolerance, restores bool, used float64) {
		served := 0
		for seed := range seeds {
			yes, peak := exceeded(seed, omitNothing, tolerance, restores)
			Expect(yes).To(BeFalse(), "seed %d: %d operations in a window, %.0f are allowed", seed, peak, allowed(tolerance))
			served += peak
		}
		Expect(float64(served)/float64(seeds)).To(BeNumerically(">", used*simRate*tolerance.Window.Seconds()), "the limit is made use of")
	},
		Entry("while the store keeps all acknowledged writes", simTolerance, false, 1.0),
		Entry("while the store is restored from older copies", simTolerance, true, 0.3),
		Entry("with windows longer than an era takes to settle", longWindowTolerance, true, 0.3),
	)

	It("would be exceeded if each new holder started with a full burst", func() {
		Expect(anySeedExceeds(omitStartTokens, simTolerance, false)).To(BeTrue())
	})

	It("would be exceeded if a holder used its full burst before the store records it", func() {
		Expect(anySeedExceeds(omitBurstRecord, simTolerance, false)).To(BeTrue())
	})

	It("would be exceeded if a holder continued after its lease has expired", func() {
		Expect(anySeedExceeds(omitLeaseExpiry, simTolerance, false)).To(BeTrue())
	})

	It("would be exceeded if a slot could be taken as soon as the store is restored", func() {
		Expect(anySeedExceeds(omitSettling, simTolerance, true)).To(BeTrue())
	})

	It("would be exceeded if daemons did not notice a new era", func() {
		Expect(anySeedExceeds(omitEras, simTolerance, true)).To(BeTrue())
	})
})
