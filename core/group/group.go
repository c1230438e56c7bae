package group

import (
	"math"
	"time"

	"limpetspan/core"
)

// never is the time of a timer that is not set.
const never core.Time = math.MaxInt64

// minWake is the least time to the next Tick that is asked for.
const minTickDelay = 100 * time.Microsecond

// Options are the fixed parameters of a Group.
type Options struct {
	Group  core.GroupID
	Tuning Tuning
}

// Group is the reducer of one database group at one daemon. It is used by one
// goroutine at a time. Every Arrived is answered by exactly one Acknowledge or
// Fail; a request that is known to be over is ignored in later events.
type Group struct {
	id     core.GroupID
	tuning Tuning

	// now and fx are those of the Reduce call in progress.
	now     core.Time
	effects *Effects
	// due is the earliest time at which a timer has something to do, armed
	// what the shell was last asked for.
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
	// writesBegun counts the writes dispatched, writesRunning those that run.
	writesDispatched uint64
	writesRunning    int
	// fastUntil is the time until which probes keep the fast pace,
	// divertedUntil that until which replicas are asked because reads go to the
	// primary for their lag.
	fastProbesUntil core.Time
	lagProbesUntil  core.Time

	counters Counters
}

// New returns the reducer of a group. It does nothing until Configure.
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

// Reduce applies one event and leaves what is to be done in fx, which it
// empties first. now must not go back; if it does, the latest time counts.
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

// applyUnconfigured answers what needs an answer before the group is known.
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

// runTimers does what has fallen due. Each part names its next time by wakeBy.
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

// wakeBy asks for timers to run at t at the latest.
func (g *Group) scheduleAt(t core.Time) { g.nextTimer = min(g.nextTimer, t) }

func (g *Group) scheduleIn(d time.Duration) { g.scheduleAt(g.now.Add(d)) }

// arm asks the shell for a Tick when the one asked for comes too late.
func (g *Group) scheduleTick() {
	if g.nextTimer == never || (g.nextTimer >= g.tickAt && g.tickAt > g.now) {
		return
	}
	g.tickAt = max(g.nextTimer, g.now.Add(minTickDelay))
	g.effects.wakeAt(WakeAt{At: g.tickAt})
}

// random is a splitmix64 generator: small, and the same on every machine.
type random struct{ state uint64 }

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// upTo returns a duration below d, evenly distributed.
func (r *random) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(r.next() % uint64(d))
}
