package explore

import (
	"fmt"
	"math/rand/v2"
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/explore/agenda"
)

// modelGroup is parkdb's group of the brief, seen by three daemons.
const modelGroup core.GroupID = "parkdb-1"

// The sizes of the model.
const (
	modelBudget = 20
	modelSlots  = 3
	// controlConnections are the home's own connections for probes, one a member.
	controlConnections = memberCount
	daemonCount        = 3
	memberCount        = 3
	minCallers         = 4
	maxCallers         = 24
)

// The times of the model.
const (
	defaultCallTimeout = 200 * time.Millisecond
	openTimeout        = 200 * time.Millisecond
	operationTimeout   = 2500 * time.Millisecond
	defaultPace        = 20 * time.Millisecond
	retryPause         = 30 * time.Millisecond
	// closeLatency is how long the member takes to see a close: the operating
	// system sends it at once, before anything that follows.
	closeLatency = 300 * time.Microsecond
	// brokenAfter is how long a cut connection takes to be found broken.
	brokenAfter = 400 * time.Millisecond
	// settleTime runs the model on without faults, so that logs converge.
	settleTime = 5 * time.Second
)

// world is the model of one run.
type world struct {
	rng      *rand.Rand
	tuning   group.Tuning
	now      core.Time
	until    core.Time
	agenda   agenda.Agenda
	daemons  []*daemon
	members  []*member
	callers  []*caller
	severed  map[[2]int]bool
	lossRate int // in thousandths
	hint     core.DaemonID

	// callerCount and pace are the number of callers and the longest pause
	// between a caller's requests.
	callerCount int
	pace        time.Duration

	writes        int
	callerNumbers uint64
	runs          map[int]int
	durable       map[int]bool
	told          int
	events        int
	operations    []*operation
	counts        map[string]int
	highestServed core.Term
	violations    []Violation
	recorder      func(d *daemon, ev group.Event)
	sink          func(d *daemon)
}

func newWorld(seed uint64, o Options) *world {
	w := &world{
		rng:      rand.New(rand.NewPCG(seed, 0x6c696d706574)),
		tuning:   o.Tuning,
		until:    core.Time(o.Duration),
		severed:  map[[2]int]bool{},
		lossRate: o.LossPerMille,
		runs:     map[int]int{},
		durable:  map[int]bool{},
		counts:   map[string]int{},
	}
	for i := range memberCount {
		m := &member{id: core.MemberID(fmt.Sprintf("m%d", i+1)), term: 2, role: core.RoleReplica, up: true,
			history: []core.TermStart{{Term: 2}}, conns: map[connKey]*modelConn{}}
		w.members = append(w.members, m)
	}
	w.members[0].role = core.RolePrimary
	w.callerCount = minCallers + w.rng.IntN(maxCallers-minCallers+1)
	w.pace = defaultPace
	for i := range daemonCount {
		w.daemons = append(w.daemons, &daemon{world: w, index: i,
			id: core.DaemonID(fmt.Sprintf("d%d", i+1)), zone: core.Zone(fmt.Sprintf("zone-%d", i+1))})
	}
	return w
}

func (w *world) start() {
	for _, d := range w.daemons {
		d.start()
	}
	for i := range w.callerCount {
		w.callerNumbers++
		c := &caller{world: w, id: core.CallerID{Entry: "entry", Number: w.callerNumbers},
			name: core.SessionID(fmt.Sprintf("session-%d", i+1))}
		w.callers = append(w.callers, c)
		w.after(time.Duration(w.rng.IntN(200))*time.Millisecond, c.next)
	}
	w.replicate()
}

// calm sets the load for a short trace.
func (w *world) calm(callers int, pace time.Duration) { w.callerCount, w.pace = callers, pace }

// after schedules an action.
func (w *world) after(delay time.Duration, do func()) {
	w.agenda.Add(w.now.Add(delay), do)
}

// step carries out the next action; false when the run has ended.
func (w *world) step() bool {
	if w.agenda.Len() == 0 || len(w.violations) > 0 {
		return false
	}
	at, do := w.agenda.Next()
	if at > w.until.Add(settleTime) {
		return false
	}
	w.now = at
	do()
	return true
}

// latency draws a message's delay: mostly about a millisecond, now and then long.
func (w *world) latency() time.Duration {
	d := time.Duration(300+w.rng.IntN(1500)) * time.Microsecond
	if w.rng.IntN(100) == 0 {
		d += time.Duration(w.rng.IntN(150)) * time.Millisecond
	}
	return d
}

// serviceTime draws a statement's time at the member: short, now and then
// longer than a lease.
func (w *world) serviceTime() time.Duration {
	if w.rng.IntN(100) == 0 {
		return time.Duration(w.rng.IntN(1500)) * time.Millisecond
	}
	return time.Duration(w.rng.IntN(3000)) * time.Microsecond
}

// lose decides whether a control message is lost.
func (w *world) lose() bool {
	return w.now < w.until && w.rng.IntN(1000) < w.lossRate
}

// loseAnswer decides whether the answer of a statement that ran is lost.
func (w *world) loseAnswer() bool {
	return w.now < w.until && w.rng.IntN(1000) < w.lossRate
}

func (w *world) cut(d *daemon, m *member) bool {
	return w.severed[[2]int{d.index, w.memberIndex(m)}]
}

func (w *world) memberIndex(m *member) int {
	for i, n := range w.members {
		if n == m {
			return i
		}
	}
	return -1
}

func (w *world) member(id core.MemberID) *member {
	for _, m := range w.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (w *world) daemonByID(id core.DaemonID) *daemon {
	for _, d := range w.daemons {
		if d.id == id {
			return d
		}
	}
	return nil
}

// pickDaemon is the entry's choice: often the daemon it heard of as home.
func (w *world) pickDaemon() *daemon {
	if d := w.daemonByID(w.hint); d != nil && w.rng.IntN(4) > 0 {
		return d
	}
	return w.daemons[w.rng.IntN(len(w.daemons))]
}

// connections counts the members' open connections, over all members.
func (w *world) connections() int {
	n := 0
	for _, m := range w.members {
		n += len(m.conns)
	}
	return n
}

// primary is the member that leads in the highest term, nil if none.
func (w *world) primary() *member {
	var best *member
	for _, m := range w.members {
		if m.role == core.RolePrimary && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// home is the daemon last heard of as home, if it is up.
func (w *world) home() *daemon {
	d := w.daemonByID(w.hint)
	if d == nil || !d.up {
		return nil
	}
	return d
}

// connectionsOf counts the open connections of the daemon's present life.
func (w *world) connectionsOf(d *daemon) int {
	n := 0
	for _, m := range w.members {
		for k := range m.conns {
			if k.daemon == d.index && k.life == d.life {
				n++
			}
		}
	}
	return n
}

func (w *world) configure(d *daemon) *group.Configure {
	c := &group.Configure{Revision: 1, Self: d.id, Zone: d.zone, MaxConnections: modelBudget, Slots: modelSlots,
		Seed: w.rng.Uint64()}
	for i, m := range w.members {
		c.Members = append(c.Members, group.Member{ID: m.id, Zone: core.Zone(fmt.Sprintf("zone-%d", i+1))})
	}
	return c
}

func (w *world) candidates() *group.Candidates {
	c := &group.Candidates{}
	for _, d := range w.daemons {
		c.List = append(c.List, group.Candidate{ID: d.id, Zone: d.zone})
	}
	return c
}

// replicate lets each replica follow the primary of the highest term it can
// reach, one record at a time.
func (w *world) replicate() {
	for _, m := range w.members {
		if m.up && !m.paused && !m.isolated && w.rng.IntN(3) > 0 {
			if p := w.primaryFor(m); p != nil {
				m.follow(p)
			}
		}
	}
	w.after(time.Duration(1+w.rng.IntN(8))*time.Millisecond, w.replicate)
}

func (w *world) primaryFor(m *member) *member {
	var best *member
	for _, p := range w.members {
		if p == m || !p.up || p.paused || p.isolated || p.role != core.RolePrimary {
			continue
		}
		if best == nil || p.term > best.term {
			best = p
		}
	}
	return best
}
