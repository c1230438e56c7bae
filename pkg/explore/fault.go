package explore

import (
	"maps"
	"slices"
	"time"

	"limpetspan/core/group"
)

// drainTime bounds a planned stop.
const drainTime = time.Second

// fault is one kind of failure that the model injects, with what ends it.
type fault struct {
	name string
	// begin starts the failure and returns what ends it; nil ends by itself.
	begin func(w *world) (end func())
}

var faults = []fault{
	{"daemon crash", crashDaemon},
	{"daemon pause", pauseDaemon},
	{"daemon drain", drainDaemon},
	{"member crash", crashMember},
	{"member pause", pauseMember},
	{"member isolated", isolateMember},
	{"daemon cut from member", cutPair},
	{"primary cut from all daemons", cutPrimary},
	{"home and primary split off", splitHome},
	{"home paused beside a cut replica", pauseBesideReplica},
	{"home unheard by others", muteHome},
	{"connections silent", silenceConnections},
	{"home crash", crashHome},
	{"primary crash", crashPrimary},
	{"primary pause", pausePrimary},
}

// scheduleFaults injects failures, at times two at once, until the run's end.
func (w *world) scheduleFaults(every time.Duration) {
	w.after(every/2+time.Duration(w.rng.Int64N(int64(every))), func() {
		if w.now >= w.until {
			return
		}
		f := faults[w.rng.IntN(len(faults))]
		w.counts[f.name]++
		end := f.begin(w)
		duration := time.Duration(20+w.rng.IntN(2500)) * time.Millisecond
		// A fault never outlives the run's faulty part, so that logs converge.
		duration = min(duration, max(w.until.Sub(w.now), 0))
		if end != nil {
			w.after(duration, end)
		}
		w.scheduleFaults(every)
	})
}

func crashDaemon(w *world) func() {
	return w.crash(w.daemons[w.rng.IntN(len(w.daemons))])
}

func crashHome(w *world) func() {
	d := w.home()
	if d == nil {
		return nil
	}
	return w.crash(d)
}

// crash ends a daemon; the returned function starts it anew.
func (w *world) crash(d *daemon) func() {
	if !d.up {
		return nil
	}
	d.up = false
	// The members learn of the death late: connections linger.
	life := d.life
	for _, m := range w.members {
		w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, func() { m.drop(d.index, life) })
	}
	for _, op := range d.underWay() {
		c := op.caller
		w.after(w.latency(), func() { c.finish(op, false) })
	}
	return d.start
}

// underWay are the requests that run at the daemon, in the order of their numbers:
// each draws from the run's random numbers.
func (d *daemon) underWay() []*operation {
	var list []*operation
	for _, id := range slices.Sorted(maps.Keys(d.running)) {
		list = append(list, d.running[id])
	}
	return list
}

// drop closes the connections of a daemon's life.
func (m *member) drop(daemon, life int) {
	for k := range m.conns {
		if k.daemon == daemon && k.life == life {
			delete(m.conns, k)
		}
	}
}

func pauseDaemon(w *world) func() {
	d := w.daemons[w.rng.IntN(len(w.daemons))]
	if !d.up || d.paused {
		return nil
	}
	return w.pause(d)
}

// pause stops a daemon; the returned function lets it go on with what arrived.
func (w *world) pause(d *daemon) func() {
	d.paused = true
	life := d.life
	return func() {
		if d.life != life {
			return
		}
		d.paused = false
		held := d.held
		d.held = nil
		for _, do := range held {
			do()
		}
	}
}

func crashMember(w *world) func() {
	return w.crashOne(w.members[w.rng.IntN(len(w.members))])
}

func crashPrimary(w *world) func() { return w.crashOne(w.primary()) }

func (w *world) crashOne(m *member) func() {
	if m == nil || !m.up {
		return nil
	}
	m.up, m.conns, m.waiting = false, map[connKey]*modelConn{}, nil
	return func() { m.up = true }
}

func pauseMember(w *world) func() {
	return w.pauseOne(w.members[w.rng.IntN(len(w.members))])
}

func pausePrimary(w *world) func() { return w.pauseOne(w.primary()) }

func (w *world) pauseOne(m *member) func() {
	if m == nil || m.paused {
		return nil
	}
	m.paused = true
	return func() {
		m.paused = false
		waiting := m.waiting
		m.waiting = nil
		for _, do := range waiting {
			do()
		}
	}
}

func isolateMember(w *world) func() {
	return w.isolate(w.members[w.rng.IntN(len(w.members))])
}

func cutPair(w *world) func() {
	return w.sever(w.daemons[w.rng.IntN(len(w.daemons))], w.members[w.rng.IntN(len(w.members))])
}

func cutPrimary(w *world) func() {
	m := w.primary()
	if m == nil {
		return nil
	}
	var ends []func()
	for _, d := range w.daemons {
		ends = append(ends, w.sever(d, m))
	}
	return all(ends)
}

// drainDaemon stops a daemon in the planned way and starts a new one later.
func drainDaemon(w *world) func() {
	return w.drain(w.daemons[w.rng.IntN(len(w.daemons))])
}

func (w *world) drain(d *daemon) func() {
	if !d.up || d.paused {
		return nil
	}
	d.post(&group.Drain{Deadline: d.clock().Add(drainTime)})
	life := d.life
	return func() {
		if d.life != life || !d.up {
			return
		}
		for _, m := range w.members {
			m.drop(d.index, life)
		}
		for _, op := range d.underWay() {
			op.caller.finish(op, false)
		}
		d.start()
	}
}

// splitHome leaves the home and its primary on one side and everything else
// on the other, so that two homes could serve at once.
func splitHome(w *world) func() {
	d, m := w.home(), w.primary()
	if d == nil || m == nil {
		return nil
	}
	ends := []func(){w.isolate(m), w.mute(d)}
	for _, other := range w.daemons {
		if other != d {
			ends = append(ends, w.sever(other, m))
		}
	}
	for _, other := range w.members {
		if other != m {
			ends = append(ends, w.sever(d, other))
		}
	}
	return all(ends)
}

// pauseBesideReplica pauses the home while one replica is reached by nobody
// else: the home wakes up to a member that knows nothing of a new home.
func pauseBesideReplica(w *world) func() {
	d := w.home()
	if d == nil || d.paused {
		return nil
	}
	m := w.members[w.rng.IntN(len(w.members))]
	ends := []func(){w.isolate(m), w.pause(d)}
	for _, other := range w.daemons {
		if other != d {
			ends = append(ends, w.sever(other, m))
		}
	}
	// The home wakes up a while before the replica is reached again.
	return func() {
		ends[1]()
		w.after(300*time.Millisecond, all(append(ends[:1:1], ends[2:]...)))
	}
}

// muteHome loses the home's messages to other daemons, and cuts them from the
// primary, so that they claim while the home's lease still holds.
func muteHome(w *world) func() {
	d, m := w.home(), w.primary()
	if d == nil || m == nil {
		return nil
	}
	ends := []func(){w.mute(d)}
	for _, other := range w.daemons {
		if other != d {
			ends = append(ends, w.sever(other, m))
		}
	}
	return all(ends)
}

func all(ends []func()) func() {
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

func (w *world) isolate(m *member) func() {
	m.isolated = true
	return func() { m.isolated = false }
}

func (w *world) mute(d *daemon) func() {
	d.muted = true
	return func() { d.muted = false }
}

func (w *world) sever(d *daemon, m *member) func() {
	pair := [2]int{d.index, w.memberIndex(m)}
	w.severed[pair] = true
	return func() { delete(w.severed, pair) }
}

// silenceConnections lets the open connections of a member go silent for good,
// while new ones work.
func silenceConnections(w *world) func() {
	m := w.primary()
	if m == nil || w.rng.IntN(3) == 0 {
		m = w.members[w.rng.IntN(len(w.members))]
	}
	m.silentSince = w.now
	return nil
}
