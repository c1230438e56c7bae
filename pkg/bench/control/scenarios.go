package control

import (
	"sync"
	"time"

	"limpetspan/core"
	"limpetspan/pkg/fleet"
)

func (s *simulation) sleep(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

// steady measures a fleet in which nothing happens.
func (s *simulation) steady() *Usage {
	m := s.meter()
	s.sleep(time.Duration(s.options.Seconds) * time.Second)
	u := m.usage()
	return &u
}

// changesPerSecond is the rate of configuration changes in the bench.
const changesPerSecond = 2

// arrivals notes when each daemon has each revision in force.
type arrivals struct {
	mu     sync.Mutex
	starts []time.Time // by change
	first  uint64
	has    map[*daemon]uint64
	reach  []time.Duration
	last   []time.Duration
}

// begin records that d is the first to have the revision.
func (a *arrivals) begin(d *daemon, r uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts = append(a.starts, time.Now())
	a.last = append(a.last, 0)
	a.noteLocked(d, r, d)
}

// note records that d has all revisions up to r now.
func (a *arrivals) note(d *daemon, r uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.noteLocked(d, r, nil)
}

// noteLocked leaves out the origin of the revision, which took no time.
func (a *arrivals) noteLocked(d *daemon, r uint64, origin *daemon) bool {
	now := time.Now()
	old := a.has[d]
	if r <= old {
		return false
	}
	for v := old + 1; v <= r; v++ {
		if v == r && origin == d {
			break
		}
		took := now.Sub(a.starts[v-a.first])
		a.reach = append(a.reach, took)
		a.last[v-a.first] = max(a.last[v-a.first], took)
	}
	a.has[d] = r
	return true
}

// config announces revisions, each at another daemon, and lets each daemon
// that is offered one fetch it and announce it in turn.
func (s *simulation) config() *Config {
	const first = 1
	a := &arrivals{first: first, has: map[*daemon]uint64{}}
	fetch := func(d *daemon, c fleet.Change) {
		if c.ConfigRevision == 0 {
			return
		}
		time.AfterFunc(s.options.FetchDelay, func() {
			if a.note(d, c.ConfigRevision) {
				d.service.AnnounceConfig(c.ConfigRevision)
			}
		})
	}
	s.changed.Store(&fetch)
	m := s.meter()
	changes := s.options.Seconds * changesPerSecond
	for i := range changes {
		d := s.daemons[i*len(s.daemons)/changes]
		a.begin(d, uint64(first+i))
		d.service.AnnounceConfig(uint64(first + i))
		s.sleep(time.Second / changesPerSecond)
	}
	u := m.usage()
	count := func() int {
		a.mu.Lock()
		defer a.mu.Unlock()
		missed := 0
		for _, d := range s.daemons {
			if a.has[d] != uint64(first+changes-1) {
				missed++
			}
		}
		return missed
	}
	s.wait(30*time.Second, func() bool { return count() == 0 })
	missed := count()
	s.changed.Store(nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	return &Config{
		Usage: u, Changes: changes, Scale: changesPerSecond * secondsPerDay / planChangesPerDay,
		Reach: quantiles(a.reach), All: quantiles(a.last), Missed: missed,
	}
}

// leaveTime is how long a stopping daemon still runs.
const leaveTime = time.Second

// restarts restarts one daemon a second in a planned way.
func (s *simulation) restarts() (*Restarts, error) {
	m := s.meter()
	r := &Restarts{Restarts: s.options.Seconds, Scale: secondsPerDay / planRestartsPerDay}
	watch := s.watchJoins()
	for i := range s.options.Seconds {
		d := s.daemons[(i*7919+13)%len(s.daemons)]
		d.service.Leave()
		s.moveHomes(map[core.DaemonID]bool{d.self.ID: true}, d)
		s.sleep(leaveTime)
		s.halt([]*daemon{d})
		if err := s.restart(d); err != nil {
			return nil, err
		}
		watch.begin(d)
	}
	r.Usage = m.usage()
	took, ok := s.waitAgree(time.Minute, s.daemons)
	r.AgreeS, r.Agreed = took.Seconds(), ok
	r.Joined = quantiles(watch.end())
	return r, nil
}

// joins measures how long started daemons take to know all others.
type joins struct {
	fleet *simulation
	mu    sync.Mutex
	open  map[*daemon]time.Time
	took  []time.Duration
	stop  chan struct{}
	done  chan struct{}
}

func (s *simulation) watchJoins() *joins {
	j := &joins{fleet: s, open: map[*daemon]time.Time{}, stop: make(chan struct{}), done: make(chan struct{})}
	go j.loop()
	return j
}

func (j *joins) begin(daemons ...*daemon) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, d := range daemons {
		j.open[d] = time.Now()
	}
}

func (j *joins) loop() {
	defer close(j.done)
	for {
		select {
		case <-j.stop:
			return
		case <-time.After(pollInterval):
		}
		j.mu.Lock()
		for d, start := range j.open {
			// One other may be between two lives at this moment.
			if live, _ := d.service.Fingerprint(); live >= len(j.fleet.daemons)-1 {
				j.took = append(j.took, time.Since(start))
				delete(j.open, d)
			}
		}
		j.mu.Unlock()
	}
}

func (j *joins) end() []time.Duration {
	close(j.stop)
	<-j.done
	return j.took
}

const (
	detectLimit = 90 * time.Second
	returnLimit = 90 * time.Second
)

// zone takes one zone away without notice and brings it back at once.
func (s *simulation) zone() (*Zone, error) {
	zone := s.daemons[len(s.daemons)/2].self.Zone
	lost := s.up(func(d *daemon) bool { return d.self.Zone == zone })
	rest := s.up(func(d *daemon) bool { return d.self.Zone != zone })
	gone := map[core.DaemonID]bool{}
	for _, d := range lost {
		gone[d.self.ID] = true
	}
	z := &Zone{Lost: len(lost)}
	before := s.candidateLists(rest[0])
	m := s.meter()
	s.halt(lost)
	s.moveHomes(gone, rest[0])
	took, ok := s.wait(detectLimit, func() bool { return complete(rest, len(rest)) })
	z.DetectS, z.Detected = took.Seconds(), ok
	more, ok := s.wait(detectLimit, func() bool { return agree(rest, len(rest)) })
	z.EqualS, z.Equal = (took + more).Seconds(), ok
	z.LossUsage = m.usage()
	z.MovedGroups = differences(before, s.candidateLists(rest[0]))
	z.MovedPercent = 100 * float64(z.MovedGroups) / float64(len(s.groups))
	return z, s.returnZone(z, lost)
}

func (s *simulation) returnZone(z *Zone, lost []*daemon) error {
	m := s.meter()
	peak := s.hostCallPeak()
	watch := s.watchJoins()
	for _, d := range lost {
		if err := s.restart(d); err != nil {
			return err
		}
	}
	watch.begin(lost...)
	took, ok := s.wait(returnLimit, func() bool { return complete(s.daemons, len(s.daemons)) })
	z.BackS, z.Back = took.Seconds(), ok
	more, ok := s.waitAgree(returnLimit, s.daemons)
	z.AgreeS, z.Agreed = (took + more).Seconds(), ok
	z.ReturnUsage = m.usage()
	z.Joined = quantiles(watch.end())
	total, _ := m.traffic(lost)
	z.ReturnedBytesPerS = float64(total.bytes()) / z.ReturnUsage.Seconds / float64(len(lost))
	z.HostListCalls = int(s.hostCalls.Load() - m.hosts)
	z.HostListCallsPerS = z.ReturnUsage.StoreCallsPerS
	z.PeakHostListCallsPS = peak()
	return nil
}

// hostCallPeak watches the calls of the host list until the returned function
// is called, which gives the most in one second.
func (s *simulation) hostCallPeak() func() int {
	stop, peak := make(chan struct{}), make(chan int)
	go func() {
		most, last := int64(0), s.hostCalls.Load()
		for {
			select {
			case <-stop:
				peak <- int(max(most, s.hostCalls.Load()-last))
				return
			case <-time.After(time.Second):
				now := s.hostCalls.Load()
				most, last = max(most, now-last), now
			}
		}
	}()
	return func() int {
		close(stop)
		return <-peak
	}
}

func (s *simulation) candidateLists(d *daemon) map[core.GroupID][]fleet.Daemon {
	lists := map[core.GroupID][]fleet.Daemon{}
	for _, g := range s.groups {
		lists[g.ID] = d.service.Candidates(g.ID)
	}
	return lists
}

func differences(a, b map[core.GroupID][]fleet.Daemon) int {
	n := 0
	for g, list := range a {
		for i, d := range list {
			if i >= len(b[g]) || b[g][i].ID != d.ID {
				n++
				break
			}
		}
	}
	return n
}
