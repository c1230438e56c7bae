package promotions

import (
	"math/rand/v2"
	"time"

	"limpetspan/core/direct"
)

// scheduleFault draws the next fault, until the faults end.
func (w *world) scheduleFault() {
	w.after(w.between(0, 2*w.options.FaultEvery), func() {
		if w.now >= w.faultsEnd {
			return
		}
		if w.now >= w.splitTill {
			w.fault()
		}
		w.scheduleFault()
	})
}

// fault lets one thing go wrong; all ends before the faults' end.
func (w *world) fault() {
	d := w.daemons[w.random.IntN(len(w.daemons))]
	m := w.members[w.random.IntN(len(w.members))]
	if w.chance(600) {
		m = w.leader()
	}
	span := min(w.between(200*time.Millisecond, 5*time.Second), w.faultsEnd.Sub(w.now))
	kinds := []func(){
		func() { w.killDaemon(d, min(span, 2*time.Second)) },
		func() { w.freeze(d, span) },
		func() { w.severFrom(d.node(), m.node(), span) },
		func() { w.cutDaemonOff(d, span) },
		func() { w.severFrom(d.node(), storeNode, span) },
		func() { w.cutFromMembers(m, span) },
		func() { w.goDark(m, span) },
		func() { w.crash(m, span) },
		func() { w.leave(m, span) },
		func() { w.startAnew(m) },
		func() { w.island(d, m, span) },
		func() { w.island(d, m, span) },
		func() { w.storeAway(span) },
		func() { w.note("store loses answers for %v", span); w.store.loseTill = w.now.Add(span) },
	}
	w.counts["faults"]++
	kinds[w.random.IntN(len(kinds))]()
}

// The streams of draws tell those of faults that an option adds from the others', whose runs
// stay what they are without it.
const (
	crowdStream   = 2
	restoreStream = 3
	splitStream   = 4
)

// scheduleRestores restores the store at random times from a copy that is up to six seconds old.
func (w *world) scheduleRestores(random *rand.Rand) {
	w.after(time.Duration(random.Int64N(int64(restoreEvery)))+restoreEvery/4, func() {
		if w.now >= w.faultsEnd {
			return
		}
		away := time.Duration(random.Int64N(int64(1500 * time.Millisecond)))
		age := time.Duration(random.Int64N(int64(6 * time.Second)))
		w.note("store away for %v", away)
		w.store.awayTill = max(w.store.awayTill, w.now.Add(away))
		w.after(away, func() {
			w.store.restore(age)
			for _, m := range w.members {
				m.entryBack = max(m.entryBack, w.now.Add(time.Duration(random.Int64N(int64(2*time.Second)))))
			}
		})
		w.scheduleRestores(random)
	})
}

// restoreEvery is the mean pause between restores.
const restoreEvery = 8 * time.Second

// scheduleCrowd lets members refuse connections for commands at random times.
func (w *world) scheduleCrowd(random *rand.Rand) {
	w.after(time.Duration(random.Int64N(int64(2*w.options.FaultEvery))), func() {
		if w.now >= w.faultsEnd {
			return
		}
		m := w.members[random.IntN(len(w.members))]
		span := min(time.Duration(random.Int64N(int64(3*time.Second))), w.faultsEnd.Sub(w.now))
		w.note("%s has no room for orders for %v", m.id, span)
		m.crowdedTill = max(m.crowdedTill, w.now.Add(span))
		w.scheduleCrowd(random)
	})
}

// scheduleSplits lets replicas return behind a partition at random times.
func (w *world) scheduleSplits(random *rand.Rand) {
	longest := maxSplit
	if w.options.Pairs {
		longest += entryTTL + direct.UnlistedGrace
	}
	w.after(time.Duration(random.Int64N(int64(2*splitEvery))), func() {
		if w.faultsEnd.Sub(w.now) < longest {
			return
		}
		w.splitTill = w.now.Add(longest)
		w.split(random)
		w.after(longest, func() { w.scheduleSplits(random) })
	})
}

// Times of a split.
const (
	// splitEvery is the mean pause before a split, maxSplit its longest duration. No other fault begins
	// meanwhile.
	splitEvery = 4 * time.Second
	maxSplit   = 15 * time.Second
	// entryTTL is how long the store keeps the entry of a member that it does not reach.
	entryTTL = 1500 * time.Millisecond
)

// split makes replicas dark, until daemons no longer count them. Shortly before they return, the primary,
// in a pair with the other replica, and some of the daemons are cut off from everything else.
func (w *world) split(random *rand.Rand) {
	dark := entryTTL + direct.UnlistedGrace + time.Duration(random.Int64N(int64(4*time.Second)))
	p := w.leader()
	pair := w.options.Pairs && random.IntN(2) == 0
	with := map[*member]bool{p: true}
	if pair {
		with[w.members[random.IntN(len(w.members))]] = true
	}
	for _, m := range w.members {
		if with[m] {
			continue
		}
		w.note("%s dark for %v", m.id, dark)
		for _, d := range w.daemons {
			w.sever(m.node(), d.node(), dark)
		}
		w.after(entryTTL, func() { m.entryBack = max(m.entryBack, w.now.Add(dark-entryTTL)) })
	}
	beside := 1 + random.IntN(len(w.daemons)-1)
	first := random.IntN(len(w.daemons))
	span := 3*time.Second + time.Duration(random.Int64N(int64(3*time.Second)))
	if pair {
		// The store drops the entries of the two, and other daemons no longer count the replica.
		span += entryTTL + direct.UnlistedGrace
	}
	w.after(dark-time.Duration(random.Int64N(int64(2*time.Second))), func() {
		w.note("%s, %d replicas and %d daemons from %s on alone for %v", p.id, len(with)-1, beside, w.daemons[first].id, span)
		island := make(map[node]bool)
		for _, m := range w.members {
			if !with[m] {
				continue
			}
			island[m.node()] = true
			if pair {
				w.after(entryTTL, func() { m.entryBack = max(m.entryBack, w.now.Add(span-entryTTL)) })
			}
		}
		for i := range beside {
			island[w.daemons[(first+i)%len(w.daemons)].node()] = true
		}
		w.isolate(island, span)
	})
}

// isolate cuts the nodes of the island from all others.
func (w *world) isolate(island map[node]bool, span time.Duration) {
	all := []node{storeNode}
	for _, d := range w.daemons {
		all = append(all, d.node())
	}
	for _, m := range w.members {
		all = append(all, m.node())
	}
	for i, a := range all {
		for _, b := range all[:i] {
			if island[a] != island[b] {
				w.sever(a, b, span)
			}
		}
	}
}

// leader is the primary of the newest term in the model.
func (w *world) leader() *member {
	for _, m := range w.members {
		if m.primary && m.term == w.leadership {
			return m
		}
	}
	return w.members[0]
}

func (w *world) severFrom(a, b node, span time.Duration) {
	w.note("cut %s from %s for %v", a, b, span)
	w.sever(a, b, span)
}

func (w *world) killDaemon(d *daemon, span time.Duration) {
	if !d.up {
		return
	}
	w.note("kill %s for %v", d.id, span)
	d.kill()
	w.after(span, d.start)
}

func (w *world) freeze(d *daemon, span time.Duration) {
	w.note("freeze %s for %v", d.id, span)
	d.thawAt = max(d.thawAt, w.now.Add(span))
}

// cutDaemonOff cuts the daemon from all members.
func (w *world) cutDaemonOff(d *daemon, span time.Duration) {
	w.note("cut %s from all members for %v", d.id, span)
	for _, m := range w.members {
		w.sever(d.node(), m.node(), span)
	}
}

// island leaves one daemon alone with a member, and often with one more: it hears
// nothing of the other daemons, the store and the rest of the group, nor they of it.
func (w *world) island(d *daemon, m *member, span time.Duration) {
	w.note("%s alone with %s for %v", d.id, m.id, span)
	w.sever(d.node(), storeNode, span)
	if w.chance(400) {
		w.leave(m, span)
	}
	for _, other := range w.daemons {
		if other != d {
			w.sever(d.node(), other.node(), span)
			w.sever(other.node(), m.node(), span)
		}
	}
	shared := w.members[w.random.IntN(len(w.members))]
	for _, other := range w.members {
		if other == m {
			continue
		}
		w.sever(m.node(), other.node(), span)
		if other != shared {
			w.sever(d.node(), other.node(), span)
		}
	}
	if w.chance(500) {
		return
	}
	for _, other := range w.daemons {
		if other != d {
			w.sever(other.node(), shared.node(), span)
		}
	}
}

// cutFromMembers cuts the member from the others of its group.
func (w *world) cutFromMembers(m *member, span time.Duration) {
	w.note("cut %s from the other members for %v", m.id, span)
	for _, other := range w.members {
		if other != m {
			w.sever(m.node(), other.node(), span)
		}
	}
}

// goDark cuts the member off from all daemons, and often from its group.
func (w *world) goDark(m *member, span time.Duration) {
	w.note("%s dark for %v", m.id, span)
	for _, d := range w.daemons {
		w.sever(m.node(), d.node(), span)
	}
	if w.chance(500) {
		w.cutFromMembers(m, span)
	}
}

func (w *world) crash(m *member, span time.Duration) {
	if m.down {
		return
	}
	w.note("%s crashes for %v", m.id, span)
	m.down = true
	w.after(span, func() {
		w.note("%s is back", m.id)
		m.restart()
	})
}

// startAnew crashes the member, which restarts soon under its ID without its log. It does nothing if
// commits wait for a replica: with the log of one member gone, the loss of another loses acknowledged
// commits, whichever member is promoted.
func (w *world) startAnew(m *member) {
	if m.down || w.options.Sync {
		return
	}
	span := w.between(20*time.Millisecond, 800*time.Millisecond)
	w.note("%s crashes and starts anew in %v", m.id, span)
	m.down = true
	w.after(span, func() {
		w.note("%s has started anew", m.id)
		m.startAnew()
	})
}

// storeAway makes the store unreachable. Entries of members may expire meanwhile; they reappear
// within two seconds of its return.
func (w *world) storeAway(span time.Duration) {
	w.note("store away for %v", span)
	w.store.awayTill = w.now.Add(span)
	if w.chance(500) {
		return
	}
	for _, m := range w.members {
		m.entryBack = w.store.awayTill.Add(w.between(0, 2*time.Second))
		w.note("entry of %s is back in %v", m.id, m.entryBack.Sub(w.now))
	}
}

// leave announces that the member is leaving, and withdraws that after the span.
func (w *world) leave(m *member, span time.Duration) {
	w.note("%s leaves for %v", m.id, span)
	m.leaving = true
	w.after(span, func() { m.leaving = false })
}

// checkEnd checks that the group takes writes again and that no fence is left.
func (w *world) checkEnd() {
	for _, d := range w.daemons {
		if w.now.Sub(d.lastDone) > 2*time.Second {
			w.violate("progress", "%s has had no commit for %v after all faults had ended", d.id, w.now.Sub(d.lastDone))
		}
	}
	for _, m := range w.members {
		if m.fenced != 0 {
			w.violate("progress", "%s is still fenced for term %d", m.id, m.fenced)
		}
	}
}
