package relays_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/mirror"
	"limpetspan/core/relay"
	"limpetspan/pkg/explore/agenda"
)

func TestRelays(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relays")
}

const (
	// bound is the time within which a change must be in force.
	bound = 6 * time.Second
	// start is when a run begins; 0 means "never" in the follower.
	start = core.Time(time.Hour)
)

// Times and sizes of the model.
const (
	modelLength  = 60 * time.Second
	modelDaemons = 12
	// callTimeout ends a call that is not answered, as the real one does.
	callTimeout = 800 * time.Millisecond
	// maxWatched is exceeded after most cuts from the store.
	maxWatched = 2
	// inTouch is how long a daemon must have run and reached the store before the bound applies to
	// it.
	inTouch = 6 * time.Second
)

// world is a store whose configuration changes, and daemons that follow it. Each daemon's clock has
// its own offset.
type world struct {
	now     core.Time
	agenda  agenda.Agenda
	random  *rand.Rand
	changes []core.Time // the version is their number so far
	daemons []*node
	// dateByArrival dates a proof by the arrival of the answer, which makes it too young. Daemons date
	// it by the sending of the question.
	dateByArrival bool
	// trustRelays omits the daemon's own reads of the store once it has a proof.
	trustRelays bool
	// allWatch makes all daemons watch and ask no other one, as in a small fleet.
	allWatch bool
	// maxWatched is the number of changes that the response of a watch may hold.
	maxWatched int
	// maxPart is the number of changes after which the response of a watch ends; 0 is no limit.
	maxPart int
	// proveParts takes each response of a watch for a proof.
	proveParts bool
	// repeatWatches repeats a watch whose response holds more, as if the store had not answered, and
	// never loads the copy again.
	repeatWatches bool
	broken        []string
}

// node is one daemon.
type node struct {
	w      *world
	id     core.DaemonID
	offset time.Duration
	life   int
	f      *relay.Follower
	// version is the configuration version that it has in force.
	version int
	// told is the proof that was last sent to each peer on its link.
	told map[core.DaemonID]core.Time
	// frozenTill, storeCutTill and relayCutTill are until when it is frozen, cannot reach the store, and
	// cannot reach or be reached by other daemons.
	frozenTill, storeCutTill, relayCutTill core.Time
	// troubledAt is when it last started.
	troubledAt core.Time
}

func (w *world) after(d time.Duration, do func()) {
	w.agenda.Add(w.now.Add(d), do)
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// newest returns the store's version at the time.
func (w *world) newest(at core.Time) int {
	n := 0
	for _, changed := range w.changes {
		if changed <= at {
			n++
		}
	}
	return n
}

func (d *node) clock() core.Time { return d.w.now.Add(d.offset) }

// later runs do after the delay and once the daemon is not frozen, unless the daemon's current
// incarnation has ended by then.
func (d *node) later(after time.Duration, do func()) {
	life := d.life
	var run func()
	run = func() {
		switch {
		case d.life != life:
		case d.w.now < d.frozenTill:
			d.w.after(d.frozenTill.Sub(d.w.now), run)
		default:
			do()
		}
	}
	d.w.after(after, run)
}

// start begins a new incarnation of the daemon, with empty state.
func (d *node) start() {
	d.life++
	d.version, d.told = 0, make(map[core.DaemonID]core.Time)
	d.f = relay.NewFollower(d.id, bound, d.clock())
	d.step()
}

// look reads the list of daemons, which shows the daemons that watch the store.
func (d *node) look() {
	if d.w.now < d.storeCutTill {
		d.later(callTimeout, func() { d.f.StoreFailed(d.clock()); d.step() })
		return
	}
	d.later(d.w.between(2*time.Millisecond, 40*time.Millisecond), func() {
		var relays []core.DaemonID
		watches := false
		for _, o := range d.w.daemons[:4] {
			watches = watches || o == d
			if o != d {
				relays = append(relays, o.id)
			}
		}
		d.f.DaemonsListed()
		if d.w.allWatch {
			watches, relays = true, nil
		}
		d.f.SetFleet(d.clock(), watches, relays)
		d.step()
	})
}

// step executes the follower's next step, which calls step again when it ends.
func (d *node) step() {
	s := d.f.Next(d.clock())
	if d.w.trustRelays && s.Kind == relay.Load && d.f.Proof() != 0 {
		s = relay.Step{Kind: relay.Ask, Peer: "d0", Wait: time.Second, Timeout: 1400 * time.Millisecond}
	}
	if d.w.repeatWatches && s.Kind == relay.Load && d.f.Proof() != 0 {
		s = relay.Step{Kind: relay.Watch}
	}
	switch s.Kind {
	case relay.Pause:
		d.later(min(s.Wait, 500*time.Millisecond), d.step)
	case relay.ListDaemons:
		d.look()
	case relay.Load:
		d.load()
	case relay.Watch:
		d.watch(s.Wait)
	case relay.Check:
		d.check()
	case relay.Ask:
		d.ask(s)
	}
}

func (d *node) accept(version int) {
	d.version = max(d.version, version)
	d.f.Reached(mirror.Position{Revision: mirror.Revision(d.version)})
}

// check reads the position of the store, as of a time within the call.
func (d *node) check() {
	sent, way := d.clock(), d.w.between(time.Millisecond, 20*time.Millisecond)
	if d.w.now < d.storeCutTill {
		d.later(callTimeout, func() { d.f.StoreFailed(d.clock()); d.step() })
		return
	}
	d.w.after(way, func() {
		position := mirror.Position{Revision: mirror.Revision(d.w.newest(d.w.now))}
		d.later(way, func() { d.f.Checked(sent, position); d.step() })
	})
}

// load reads the store. The result is as of a time within the call.
func (d *node) load() {
	sent, way := d.clock(), d.w.between(time.Millisecond, 20*time.Millisecond)
	if d.w.now < d.storeCutTill {
		d.later(callTimeout, func() { d.f.StoreFailed(d.clock()); d.step() })
		return
	}
	d.w.after(way, func() {
		version := d.w.newest(d.w.now)
		d.later(way, func() { d.accept(version); d.f.Loaded(sent); d.step() })
	})
}

// watch waits for a change of the store. A cut that begins meanwhile holds back the answer.
func (d *node) watch(wait time.Duration) {
	sent := d.clock()
	began, had := d.w.now, d.version
	life := d.life
	if d.w.now < d.storeCutTill {
		d.later(wait+callTimeout, func() { d.f.StoreFailed(d.clock()); d.step() })
		return
	}
	var look func()
	look = func() {
		version := d.w.newest(d.w.now)
		switch {
		case d.life != life:
		case d.w.now < d.storeCutTill:
			d.later(max(0, wait+callTimeout-d.w.now.Sub(began)), func() { d.f.StoreFailed(d.clock()); d.step() })
		case version-had > d.w.maxWatched && d.w.repeatWatches:
			d.later(d.w.between(time.Millisecond, 20*time.Millisecond), func() { d.f.StoreFailed(d.clock()); d.step() })
		case version-had > d.w.maxWatched && d.w.maxPart == 0:
			d.later(d.w.between(time.Millisecond, 20*time.Millisecond), func() { d.f.WatchUnusable(d.clock()); d.step() })
		case version > had || d.w.now.Sub(began) >= wait:
			if d.w.maxPart != 0 {
				version = min(version, had+d.w.maxPart)
			}
			d.later(d.w.between(time.Millisecond, 20*time.Millisecond), func() { d.watched(sent, had, version) })
		default:
			d.w.after(10*time.Millisecond, look)
		}
	}
	look()
}

// watched handles the changes between two versions.
func (d *node) watched(sent core.Time, had, version int) {
	d.accept(version)
	d.f.Watched(d.clock(), sent, version-had)
	if d.w.proveParts {
		d.f.Loaded(sent)
	}
	d.step()
}

// ask asks another daemon, which answers once it has a newer proof than the one it sent last, a version
// that this daemon lacks, or when the wait ends.
func (d *node) ask(s relay.Step) {
	sent, began, had := d.clock(), d.w.now, d.version
	var peer *node
	for _, o := range d.w.daemons {
		if o.id == s.Peer {
			peer = o
		}
	}
	answered := false
	life := d.life
	d.later(s.Timeout, func() {
		if !answered {
			answered = true
			d.f.RelayFailed(d.clock(), s.Peer)
			delete(peer.told, d.id)
			d.step()
		}
	})
	peer.later(d.w.between(time.Millisecond, 30*time.Millisecond), func() {
		arrived := peer.clock()
		var look func()
		look = func() {
			proof := peer.f.Proof()
			cut := d.w.now < d.relayCutTill || d.w.now < peer.relayCutTill
			switch {
			case answered || d.life != life || cut:
			case proof > peer.told[d.id] || proof != 0 && peer.version > had || d.w.now.Sub(began) >= s.Wait:
				peer.told[d.id] = proof
				offset, version := proof.Sub(arrived), peer.version
				d.later(d.w.between(time.Millisecond, 300*time.Millisecond), func() {
					if answered {
						return
					}
					answered = true
					if proof == 0 {
						d.f.RelayFailed(d.clock(), s.Peer)
					} else {
						d.accept(version)
						d.f.RelayAnswered(d.clock(), s.Peer, d.date(sent, offset), version > had)
					}
					d.step()
				})
			default:
				peer.later(10*time.Millisecond, look)
			}
		}
		look()
	})
}

func (d *node) date(sent core.Time, offset time.Duration) core.Time {
	if d.w.dateByArrival {
		return d.clock().Add(offset)
	}
	return min(d.clock(), sent.Add(offset))
}

// check checks each daemon's proof and the bound.
func (w *world) check() {
	for _, d := range w.daemons {
		if proof := d.f.Proof(); proof != 0 && d.version < w.newest(proof.Add(-d.offset)) {
			w.broken = append(w.broken, fmt.Sprintf("%v: %s has version %d, and a proof for a newer one", w.now.Sub(start), d.id, d.version))
		}
		touched := w.now.Sub(max(start, d.troubledAt, d.frozenTill, d.storeCutTill)) >= inTouch
		if owed := w.newest(w.now.Add(-bound)); touched && d.version < owed {
			w.broken = append(w.broken, fmt.Sprintf("%v: %s has version %d and should have %d", w.now.Sub(start), d.id, d.version, owed))
		}
	}
}

// trouble injects a fault at one daemon, at relays more often than at others, or at all relays.
func (w *world) trouble() {
	d := w.daemons[w.random.IntN(len(w.daemons))]
	if w.random.IntN(2) == 0 {
		d = w.daemons[w.random.IntN(4)]
	}
	till := w.now.Add(w.between(time.Second, 12*time.Second))
	switch w.random.IntN(5) {
	case 0:
		d.frozenTill = max(d.frozenTill, till)
	case 1:
		d.storeCutTill = max(d.storeCutTill, till)
	case 2:
		// The daemon still reaches the store, so the bound continues to apply to it.
		d.relayCutTill = max(d.relayCutTill, till)
	case 3:
		d.troubledAt = w.now
		d.start()
	case 4:
		for _, o := range w.daemons[:4] {
			o.storeCutTill = max(o.storeCutTill, till)
		}
	}
	w.after(w.between(500*time.Millisecond, 4*time.Second), w.trouble)
}

func (w *world) change() {
	w.changes = append(w.changes, w.now)
	w.after(w.between(50*time.Millisecond, 5*time.Second), w.change)
}

// play runs the model with the seed and returns the violations.
func play(seed uint64, arm func(w *world)) []string {
	w := &world{now: start, random: rand.New(rand.NewPCG(seed, 1)), maxWatched: maxWatched}
	arm(w)
	for i := range modelDaemons {
		w.daemons = append(w.daemons, &node{w: w, id: core.DaemonID(fmt.Sprintf("d%d", i)), offset: w.between(0, time.Hour)})
	}
	for _, d := range w.daemons {
		d.troubledAt = start
		d.start()
	}
	w.after(3*time.Second, w.trouble)
	w.after(time.Second, w.change)
	var checks func()
	checks = func() { w.check(); w.after(50*time.Millisecond, checks) }
	checks()
	for w.agenda.Len() > 0 && w.now < start.Add(modelLength) && len(w.broken) == 0 {
		at, do := w.agenda.Next()
		w.now = at
		do()
	}
	return w.broken
}

// Daemons are frozen, killed and cut off from the store or from each other, relays more often than
// others, while the configuration changes in quick succession. The tests guard against a daemon that
// uses an old configuration beyond the bound, because the relay that it follows lags and does not
// report it.
var _ = Describe("an accepted configuration, in the model", func() {
	const days = 300

	It("is in force within the bound at every daemon in touch, and no proof is too young", func() {
		for seed := range uint64(days) {
			Expect(play(seed, func(w *world) { w.allWatch = seed%3 == 0 })).To(BeEmpty(), "seed %d", seed)
			Expect(play(seed, func(w *world) { w.allWatch, w.maxPart = seed%3 == 0, 1+int(seed%2) })).To(BeEmpty(), "seed %d, watches in parts", seed)
		}
	})

	broken := func(arm func(w *world)) int {
		n := 0
		for seed := range uint64(days) {
			if len(play(seed, arm)) > 0 {
				n++
			}
		}
		return n
	}

	It("would not be without the daemon's own read at the end of its budget", func() {
		Expect(broken(func(w *world) { w.trustRelays = true })).To(BeNumerically(">", 0))
	})

	It("would not be if a watch whose response is too long were repeated and nothing else tried", func() {
		Expect(broken(func(w *world) { w.allWatch, w.repeatWatches = true, true })).To(BeNumerically(">", 0))
	})

	It("would not be if a watch that returns a part of the changes were a proof", func() {
		Expect(broken(func(w *world) { w.maxPart, w.proveParts = 1, true })).To(BeNumerically(">", 0))
	})

	It("would not be were answers dated by their arrival", func() {
		Expect(broken(func(w *world) { w.dateByArrival = true })).To(BeNumerically(">", 0))
	})
})
