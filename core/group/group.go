package group

import (
	"math"
	"time"

	"limpetspan/core"
)

// never is the time of a timer that is not set.
const never core.Time = math.MaxInt64

// minTickDelay is the minimum delay of a requested Tick.
const minTickDelay = 100 * time.Microsecond

// Options are the fixed parameters of a Group.
type Options struct {
	Group  core.GroupID
	Tuning Tuning
}

// Group is the reducer of one database group at one daemon. It must not be used
// by several goroutines at a time. Every Arrived is answered by exactly one
// Acknowledge or Fail; later events about the request are ignored.
type Group struct {
	id     core.GroupID
	tuning Tuning

	// now and effects belong to the Reduce call in progress.
	now     core.Time
	effects *Effects
	// nextTimer is the earliest time at which a timer is due. tickAt is the time
	// of the Tick last requested from the shell.
	nextTimer, tickAt core.Time

	configured bool
	revision   uint64
	self       core.DaemonID
	zone       core.Zone
	maxConns   int
	slots      int
	members    []*member
	candidates []Candidate
	random     random

	phase      phase
	leadership leadership
	ballot     ballot
	knownHome  knownHome
	detect     detector
	drain      drainState

	requests        map[core.RequestID]*request
	deadlines       requestHeap
	writes          requestHeap
	reads           requestHeap
	delayed         []*request
	held            []*request
	freeRequests    []*request
	sessionRequests map[uint64]int

	conns      []*conn
	lastConnID ConnID
	closing    []closingConn
	pins       map[core.CallerID]*conn

	sessions sessionTable
	history  primaryHistory
	retry    retryBudget
	// writesDispatched counts all writes dispatched so far, writesRunning those
	// in progress.
	writesDispatched uint64
	writesRunning    int
	// Until fastProbesUntil, replicas are probed at the fast interval. Until
	// lagProbesUntil, they are probed because reads went to the primary owing to
	// replica lag.
	fastProbesUntil core.Time
	lagProbesUntil  core.Time

	counters Counters
}

// New returns the reducer of a group. Until Configure it refuses all requests.
func New(o Options) *Group {
	g := &Group{
		id:              o.Group,
		tuning:          o.Tuning.withDefaults(),
		nextTimer:       never,
		tickAt:          never,
		requests:        make(map[core.RequestID]*request),
		pins:            make(map[core.CallerID]*conn),
		sessionRequests: make(map[uint64]int),
	}
	g.deadlines.slot, g.writes.slot, g.reads.slot = slotDeadline, slotQueue, slotQueue
	g.sessions.init()
	g.knownHome.claimAt = never
	g.retry.tokens = g.tuning.RetryBurst
	return g
}

// Reduce applies one event. It resets effects first and then fills it with the
// resulting effects. If now goes backwards, the latest time seen is used.
func (g *Group) Reduce(now core.Time, ev Event, effects *Effects) {
	effects.Reset()
	g.now = max(g.now, now)
	g.effects = effects
	g.apply(ev)
	if g.now >= g.nextTimer {
		g.runTimers()
	}
	g.scheduleTick()
	g.effects = nil
}

func (g *Group) apply(ev Event) {
	if !g.configured {
		g.applyUnconfigured(ev)
		return
	}
	switch ev := ev.(type) {
	case *Arrived:
		g.onArrived(ev)
	case *Finished:
		g.onFinished(ev)
	case *Probed:
		g.onProbed(ev)
	case *Tick:
	case *ConnOpened:
		g.onConnOpened(ev)
	case *ConnClosed:
		g.onConnClosed(ev)
	case *Abandoned:
		g.onAbandoned(ev)
	case *HungUp:
		g.onHungUp(ev)
	case *Fenced:
		g.onFenced(ev)
	case *Promoted:
		g.onPromoted(ev)
	case *Opinion:
		g.onOpinion(ev)
	case *HomeNews:
		g.onHomeNews(ev)
	case *HandedOver:
		g.onHandedOver(ev)
	case *Drain:
		g.onDrain(ev)
	case *Candidates:
		g.onCandidates(ev)
	case *Configure:
		g.onConfigure(ev)
	}
}

// applyUnconfigured handles an event that precedes the first Configure.
func (g *Group) applyUnconfigured(ev Event) {
	switch ev := ev.(type) {
	case *Configure:
		g.onConfigure(ev)
	case *Arrived:
		g.failArrival(ev, ReasonNotHome, 0)
	case *Drain:
		g.drain = drainState{requested: true, done: true}
		g.effects.add(&Drained{})
	}
}

// runTimers runs all timers. Each of the calls below schedules its own next run
// with scheduleAt.
func (g *Group) runTimers() {
	g.nextTimer = never
	g.expireDeadlines()
	g.runRetries()
	g.runClaim()
	g.runDetect()
	g.runProbes()
	g.runHeartbeat()
	g.runPool()
	g.runDrain()
	g.dispatchQueued()
}

// scheduleAt makes the timers run no later than t.
func (g *Group) scheduleAt(t core.Time) { g.nextTimer = min(g.nextTimer, t) }

func (g *Group) scheduleIn(d time.Duration) { g.scheduleAt(g.now.Add(d)) }

// scheduleTick requests a Tick unless one that is early enough is already
// requested.
func (g *Group) scheduleTick() {
	if g.nextTimer == never || (g.nextTimer >= g.tickAt && g.tickAt > g.now) {
		return
	}
	g.tickAt = max(g.nextTimer, g.now.Add(minTickDelay))
	g.effects.wakeAt(WakeAt{At: g.tickAt})
}

// random is a splitmix64 generator, which gives the same sequence on every
// machine.
type random struct{ state uint64 }

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// upTo returns a uniformly distributed duration in [0, d).
func (r *random) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(r.next() % uint64(d))
}
