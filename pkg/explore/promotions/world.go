package promotions

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/pkg/explore"
	"limpetspan/pkg/explore/agenda"
)

// groupID is the one group of the model.
const groupID core.GroupID = "g"

// Sizes and times of the model.
const (
	daemonCount = 4
	memberCount = 3
	// epoch is when a run begins: 0 means "never" inside the reducer.
	epoch = core.Time(10 * time.Second)
	// settleFor bounds the time from the last fault until the group accepts writes again. In that time
	// the promotion lock of a killed holder expires, a promotion without effect times out, and the next
	// promotion takes effect.
	settleFor = 15 * time.Second
	// tick is the interval at which daemons check their deadlines and replicas receive.
	tick = 20 * time.Millisecond
	// held is how long a sender waits for data that a cut delays before it drops the connection.
	held = 400 * time.Millisecond
	// orderHeld is the same for a promotion request.
	orderHeld = 700 * time.Millisecond
	// listDelay bounds the time until daemons see a new incarnation of a member.
	listDelay = 1500 * time.Millisecond
	// replicationDelay is the replica lag.
	replicationDelay = 20 * time.Millisecond
)

// node names an end of a path: a daemon, a member or the store.
type node string

const storeNode node = "store"

// world is one run.
type world struct {
	options Options
	seed    uint64
	random  *rand.Rand
	now     core.Time
	agenda  agenda.Agenda
	members []*member
	daemons []*daemon
	store   store
	// cut holds, by path, until when nothing passes.
	cut map[[2]node]core.Time
	// leadership is the term of the newest promotion that has taken effect.
	leadership core.Term
	// logsLost is set once a member has restarted without its log.
	logsLost bool
	// commits are all that were ever written, by identity.
	commits []*commit
	// highestToken is the highest fencing token of all promotion requests.
	highestToken uint64
	faultsEnd    core.Time
	// splitTill is when the current split has ended.
	splitTill  core.Time
	violations []explore.Violation
	counts     map[string]int
	trace      func(string)
}

// commit is one write.
type commit struct {
	id int
	// lsn is its place in the logs that have it, from 1; 0: it has not run.
	lsn int
	// replaced is set if its member had been replaced as primary when it wrote the commit.
	replaced bool
	acked    bool
	ackedAt  core.Time
	daemon   *daemon
	// life identifies the session: each incarnation of a daemon has one.
	life int
	// lost is set if a promotion rolled it back, missed if afterwards a read that should have seen it
	// was served without it.
	lost, missed bool
}

func newWorld(seed uint64, o Options) *world {
	w := &world{
		options: o, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: epoch, cut: make(map[[2]node]core.Time),
		counts: make(map[string]int), leadership: 1, faultsEnd: epoch.Add(o.Duration), trace: o.Trace,
	}
	w.store.w = w
	for i := range memberCount {
		w.members = append(w.members, newMember(w, core.MemberID(fmt.Sprintf("m%d", i+1))))
	}
	w.members[0].primary = true
	for i := range daemonCount {
		w.daemons = append(w.daemons, newDaemon(w, core.DaemonID(fmt.Sprintf("d%d", i+1))))
	}
	return w
}

func (w *world) violate(promise, format string, args ...any) {
	v := explore.Violation{Promise: promise, At: w.now.Sub(epoch), Detail: fmt.Sprintf(format, args...)}
	w.violations = append(w.violations, v)
	w.note("VIOLATION %s: %s", v.Promise, v.Detail)
}

func (w *world) note(format string, args ...any) {
	if w.trace != nil {
		w.trace(fmt.Sprintf("%8.3f ", w.now.Sub(epoch).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// after has do happen d from now.
func (w *world) after(d time.Duration, do func()) {
	w.agenda.Add(w.now.Add(d), do)
}

// every repeats do until the run ends.
func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

// between draws a duration.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

func (w *world) chance(perMille int) bool { return w.random.IntN(1000) < perMille }

// path orders the two ends of a path.
func path(a, b node) [2]node {
	if b < a {
		a, b = b, a
	}
	return [2]node{a, b}
}

func (w *world) open(a, b node) bool { return w.now >= w.cut[path(a, b)] }

func (w *world) sever(a, b node, d time.Duration) {
	p := path(a, b)
	w.cut[p] = max(w.cut[p], w.now.Add(d))
}

// send carries a message over a connection. A cut holds it up, and it arrives
// after the cut's end unless its sender has given the connection up by then.
func (w *world) send(from, to node, arrive func()) {
	limit := w.now.Add(held)
	w.deliver(from, to, func() bool { return w.now < limit }, w.delay(), arrive)
}

// deliver carries a message as long as waits returns true while a cut holds it up.
func (w *world) deliver(from, to node, waits func() bool, delay time.Duration, arrive func()) {
	w.after(delay, func() {
		switch {
		case w.open(from, to):
			arrive()
		case waits():
			w.deliver(from, to, waits, tick, arrive)
		}
	})
}

// delay is the time of a message under way: mostly short, at times a queue.
func (w *world) delay() time.Duration {
	if w.chance(30) {
		return w.between(10*time.Millisecond, 200*time.Millisecond)
	}
	return w.between(time.Millisecond, 6*time.Millisecond)
}

func (w *world) member(id core.MemberID) *member {
	i := slices.IndexFunc(w.members, func(m *member) bool { return m.id == id })
	return w.members[i]
}

// listed are the host list's entries.
func (w *world) listed() []direct.Member {
	var list []direct.Member
	for _, m := range w.members {
		if w.now < m.entryBack {
			continue
		}
		list = append(list, direct.Member{ID: m.id, Group: groupID, Addr: string(m.id), Zone: "z", Slots: 3, Leaving: m.leaving, Started: int64(m.listed)})
	}
	return list
}

// run plays the run to its end or to the first violation.
func (w *world) run() {
	for _, d := range w.daemons {
		d.start()
	}
	w.every(tick, w.replicate)
	w.scheduleFault()
	if w.options.Restores {
		w.every(copyEvery, func() { w.store.copies = append(w.store.copies, w.store.kept) })
		w.scheduleRestores(rand.New(rand.NewPCG(w.seed, restoreStream)))
	}
	if w.options.Crowded {
		w.scheduleCrowd(rand.New(rand.NewPCG(w.seed, crowdStream)))
	}
	if w.options.Splits {
		w.scheduleSplits(rand.New(rand.NewPCG(w.seed, splitStream)))
	}
	end := w.faultsEnd.Add(settleFor)
	for len(w.violations) == 0 && w.now < end {
		at, do := w.agenda.Next()
		w.now = at
		do()
		w.counts["events"]++
	}
	if len(w.violations) == 0 {
		w.checkEnd()
	}
}
