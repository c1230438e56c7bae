package promotions

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/era"
	"limpetspan/core/mirror"
)

// Intervals, timeouts and limits of a daemon.
const (
	exchangeTimeout = 400 * time.Millisecond
	reportEvery     = 300 * time.Millisecond
	reportGap       = 10 * time.Millisecond
	observeEvery    = 10 * time.Second
	statementEvery  = 25 * time.Millisecond
	releaseRetry    = time.Second
	releaseTries    = 10
	// ackWait is how long an answer waits for the lease before it is dropped.
	ackWait = 200 * time.Millisecond
)

// daemon drives one reducer as package proxy does.
type daemon struct {
	w  *world
	id core.DaemonID
	// offset is the difference of its clock from the model's.
	offset time.Duration
	life   int
	up     bool
	g      *direct.Group
	// thawAt is when the frozen process runs again; events that arrive before are delayed until then.
	thawAt core.Time
	// orders are the queued commands by member; busy marks the members to which one is in progress.
	orders map[core.MemberID][]direct.Effect
	busy   map[core.MemberID]bool
	// unfencing counts the queued removals of fences, and releases are the promotion locks to release
	// after them.
	unfencing int
	releases  []direct.Effect
	// order is the token of the last promotion request whose call has not been ended.
	order uint64
	// connected holds, by member, the incarnation to which the daemon has a connection.
	connected map[core.MemberID]int
	// stamps are the newest timestamps received from other daemons.
	stamps map[core.DaemonID]stamp
	kicked bool
	eras   era.Tracker
	// seen is the last observed revision of the promotion lock, seenAt when it was first seen.
	seen     mirror.Revision
	seenAt   core.Time
	last     core.Position
	lastAt   core.Time
	lastDone core.Time
	// claims counts its claims.
	claims int
}

// stamp is a time on another daemon's clock, and when it was received on this daemon's clock.
type stamp struct{ theirs, at core.Time }

func newDaemon(w *world, id core.DaemonID) *daemon {
	return &daemon{w: w, id: id, offset: w.between(0, time.Hour)}
}

func (d *daemon) node() node       { return node(d.id) }
func (d *daemon) clock() core.Time { return d.w.now.Add(d.offset) }

// start begins a new incarnation of the daemon, with empty state.
func (d *daemon) start() {
	d.life++
	d.up, d.thawAt = true, 0
	d.g = direct.NewGroup(groupID, d.id, "z")
	d.g.DisableGuards(d.w.options.Disabled)
	spec := direct.GroupSpec{ID: groupID, MaxConns: 60}
	if d.w.options.Sync {
		spec.SyncReplicas = 1
	}
	d.g.Configure(spec)
	d.g.SetHomes(daemonCount, true)
	d.orders, d.busy = make(map[core.MemberID][]direct.Effect), make(map[core.MemberID]bool)
	d.unfencing, d.releases = 0, nil
	d.stamps = make(map[core.DaemonID]stamp)
	d.seen, d.last, d.kicked = 0, core.Position{}, false
	d.eras = era.Tracker{}
	d.connected = make(map[core.MemberID]int)
	d.list()
	d.observe()
	d.repeat(tick, func() {
		d.list()
		d.update(d.g.Tick)
	})
	d.repeat(reportEvery, d.report)
	d.repeat(observeEvery, d.observe)
	d.repeat(statementEvery, d.statement)
}

// list reads the host list, if the store answers.
func (d *daemon) list() {
	if d.w.now < d.w.store.awayTill || !d.w.open(d.node(), storeNode) {
		return
	}
	d.update(func(at core.Time) []direct.Effect { return d.g.UpdateMembers(at, at, d.w.listed()) })
}

func (d *daemon) kill() {
	d.up = false
	d.life++
}

// mine returns a function that runs do once the daemon is not frozen, unless the daemon's current
// incarnation has ended by then.
func (d *daemon) mine(do func()) func() {
	life := d.life
	var run func()
	run = func() {
		switch {
		case !d.up || d.life != life:
		case d.w.now < d.thawAt:
			d.w.after(d.thawAt.Sub(d.w.now), run)
		default:
			do()
		}
	}
	return run
}

func (d *daemon) repeat(every time.Duration, do func()) {
	var again func()
	again = d.mine(func() {
		do()
		d.w.after(every+d.w.between(0, every/4), again)
	})
	d.w.after(d.w.between(0, every), again)
}

// timeout runs late unless the returned function is called before; only the
// first of the two counts.
func (d *daemon) timeout(after time.Duration, late func()) func(func()) {
	done := false
	once := func(do func()) {
		d.mine(func() {
			if !done {
				done = true
				do()
			}
		})()
	}
	d.w.after(after, func() { once(late) })
	return once
}

// update runs an event of the reducer and its effects.
func (d *daemon) update(event func(at core.Time) []direct.Effect) {
	for _, e := range event(d.clock()) {
		d.effect(e)
	}
}

func (d *daemon) effect(e direct.Effect) {
	switch e.Kind {
	case direct.EffectProbe, direct.EffectFence, direct.EffectUnfence, direct.EffectDemote:
		if e.Kind == direct.EffectUnfence {
			d.unfencing++
		}
		d.orders[e.Member] = append(d.orders[e.Member], e)
		d.nextOrder(e.Member)
	case direct.EffectClaim:
		d.claim(e)
	case direct.EffectReadLock:
		d.readLock()
	case direct.EffectReleaseLock:
		d.releases = append(d.releases, e)
		if d.unfencing == 0 || d.w.options.without(shellOrderExpiry) {
			d.releasePending()
		}
	case direct.EffectPromote:
		d.promote(e)
	case direct.EffectEndPromote:
		d.order = 0
	case direct.EffectReport:
		d.kick()
	case direct.EffectDecision:
		d.w.note("%s: %s term %d: %s", d.id, e.Member, e.Term, e.Reason)
	}
}

// nextOrder sends the next queued command to the member unless one is in progress.
func (d *daemon) nextOrder(id core.MemberID) {
	waiting := d.orders[id]
	if d.busy[id] || len(waiting) == 0 {
		return
	}
	e := waiting[0]
	d.orders[id], d.busy[id] = waiting[1:], true
	m, sent := d.w.member(id), d.clock()
	if e.SendDeadline != 0 && sent > e.SendDeadline && !d.w.options.without(shellOrderExpiry) {
		d.busy[id] = false
		d.orderEnded(e)
		d.nextOrder(id)
		return
	}
	finish := func(event func(at core.Time) []direct.Effect) {
		d.busy[id] = false
		d.orderEnded(e)
		d.update(event)
		d.nextOrder(id)
	}
	once := d.timeout(exchangeTimeout, func() {
		finish(func(at core.Time) []direct.Effect { return d.g.ProbeFailed(at, sent, id, false) })
	})
	d.w.send(d.node(), m.node(), func() {
		if m.down {
			return
		}
		if d.w.now < m.crowdedTill {
			d.w.send(m.node(), d.node(), func() {
				once(func() { finish(func(at core.Time) []direct.Effect { return d.g.ProbeRefused(at, id) }) })
			})
			return
		}
		d.reconnect(m)
		st := m.order(e)
		d.w.send(m.node(), d.node(), func() {
			once(func() {
				finish(func(at core.Time) []direct.Effect { return d.g.Probed(at, sent, id, st) })
				d.kick()
			})
		})
	})
}

// orderEnded releases the promotion locks that waited for the end of the last removal of a fence.
func (d *daemon) orderEnded(e direct.Effect) {
	if e.Kind != direct.EffectUnfence {
		return
	}
	if d.unfencing--; d.unfencing == 0 {
		d.releasePending()
	}
}

func (d *daemon) releasePending() {
	waiting := d.releases
	d.releases = nil
	for _, e := range waiting {
		d.release(e, releaseTries)
	}
}

// reconnect reports the daemon's connection to the member as broken if it led to an earlier
// incarnation of the member.
func (d *daemon) reconnect(m *member) {
	if life, ok := d.connected[m.id]; ok && life != m.life {
		d.mine(func() { d.g.ConnBroken(d.clock(), m.id) })()
	}
	d.connected[m.id] = m.life
}

// hears handles the era of an answer and the newest era that a daemon has attested. It returns
// false if the answer is of an earlier era than the current one.
func (d *daemon) hears(e, settled mirror.Era) bool {
	if d.eras.Observe(d.clock(), e) {
		d.seen = 0
		d.update(d.g.StoreRestored)
		d.w.after(era.SettleDuration, d.mine(d.observe))
	}
	d.eras.Attest(settled)
	return e == d.eras.Current()
}

// settled says whether claims and reads of promotion locks count.
func (d *daemon) settled() bool {
	return d.eras.Settled(d.clock()) || d.w.options.without(shellSettled)
}

// claim takes the promotion lock if it is free.
func (d *daemon) claim(e direct.Effect) {
	sent := d.clock()
	refuse := func(why string) {
		d.update(func(at core.Time) []direct.Effect { return d.g.ClaimRefused(at, why) })
	}
	if d.eras.Current() != 0 && !d.settled() {
		refuse("the store's era has not settled")
		return
	}
	d.w.store.get(d, func(t item, era mirror.Era, ok bool) {
		switch {
		case !ok || !d.settled():
			refuse("store")
		case !d.free(t, era):
			refuse("another daemon has the promotion lock")
		default:
			d.takeLock(sent, t, era, e, refuse)
		}
	})
}

// takeLock claims the group by replacing the record t of the promotion lock.
func (d *daemon) takeLock(sent core.Time, t item, era mirror.Era, e direct.Effect, refuse func(why string)) {
	before := t.LockRecord
	if d.w.options.without(shellLostLocks) {
		before.Era = era
	}
	record, taken := before.Claim(e, era)
	d.claims++
	next := item{LockRecord: record, holder: d.id, life: d.life, claim: d.claims}
	d.w.store.put(d, t.revision, next, func(position mirror.Position, ok bool) {
		if !ok || position.Era != era {
			d.withdraw(t, next, releaseTries)
			refuse("store")
			return
		}
		token, err := position.Token()
		if err != nil || d.w.options.without(shellEraToken) {
			token = uint64(position.Revision)
		}
		taken.Token = token
		d.update(func(at core.Time) []direct.Effect { return d.g.Claimed(at, sent, taken) })
	})
}

// release releases the promotion lock and retries if the store does not answer. The write has no
// effect once the promotion lock has changed.
func (d *daemon) release(e direct.Effect, tries int) {
	taken := mirror.TokenPosition(e.Token)
	if d.eras.Current() != taken.Era {
		return
	}
	d.w.store.put(d, taken.Revision, item{LockRecord: e.ReleasedRecord(taken.Era), holder: d.id, life: d.life}, func(_ mirror.Position, ok bool) {
		if !ok && tries > 1 {
			d.w.after(releaseRetry, d.mine(func() { d.release(e, tries-1) }))
		}
	})
}

// withdraw reverts a claim whose write was not confirmed.
func (d *daemon) withdraw(before, claim item, tries int) {
	again := func() {
		if tries > 1 {
			d.w.after(releaseRetry, d.mine(func() { d.withdraw(before, claim, tries-1) }))
		}
	}
	d.w.store.get(d, func(t item, era mirror.Era, ok bool) {
		ours := t.holder == claim.holder && t.life == claim.life && t.claim == claim.claim
		switch {
		case !ok:
			again()
		case t.revision == before.revision && era == claim.Era || ours:
			back := item{LockRecord: before.RevertClaim(claim.LockRecord), holder: d.id, life: d.life}
			d.w.store.put(d, t.revision, back, func(_ mirror.Position, ok bool) {
				if !ok {
					again()
				}
			})
		}
	})
}

func (d *daemon) free(t item, era mirror.Era) bool {
	if t.revision == 0 || t.Era != era || t.Released || t.holder == d.id && t.life == d.life || d.w.options.without(shellLockLife) {
		return true
	}
	d.noteLock(t)
	return d.clock().Sub(d.seenAt) >= direct.LockTTL
}

func (d *daemon) noteLock(t item) {
	if d.seen != t.revision {
		d.seen, d.seenAt = t.revision, d.clock()
	}
}

func (d *daemon) observe() {
	sent := d.clock()
	d.w.store.get(d, func(t item, _ mirror.Era, ok bool) {
		if !ok {
			d.w.after(500*time.Millisecond, d.mine(d.observe))
			return
		}
		d.noteLock(t)
		d.tellLock(sent, t)
	})
}

func (d *daemon) readLock() {
	sent := d.clock()
	d.w.store.get(d, func(t item, _ mirror.Era, ok bool) {
		if ok && d.clock().Sub(sent) < direct.LockReadInterval {
			d.tellLock(sent, t)
		}
	})
}

// tellLock passes a read of the promotion lock to the reducer if the era has settled.
func (d *daemon) tellLock(sent core.Time, t item) {
	if d.settled() {
		d.update(func(at core.Time) []direct.Effect { return d.g.LockRead(at, sent, t.StateIn(d.eras.Current())) })
	}
}

// promote sends the promotion request, unless it could arrive after that of the next holder of the
// promotion lock.
func (d *daemon) promote(e direct.Effect) {
	if d.clock() >= e.SendDeadline && !d.w.options.without(shellSendWindow) {
		d.update(func(at core.Time) []direct.Effect { return d.g.PromoteRefused(at, "the promotion lock ran out") })
		return
	}
	limit := d.w.now.Add(orderHeld)
	d.order = e.Token
	waits := func() bool {
		return d.w.options.without(shellOrderReset) || d.w.now < limit && d.order == e.Token
	}
	// The promotion endpoint is cut off whenever the store is.
	d.w.deliver(d.node(), storeNode, waits, d.w.delay(), func() { d.w.ordered(d, e) })
}

// ordered handles a promotion request as the platform does.
func (w *world) ordered(d *daemon, e direct.Effect) {
	m := w.member(e.Member)
	w.note("%s orders %s for term %d, token %d", d.id, m.id, e.Term, e.Token)
	if e.Token < w.highestToken {
		w.violate("token", "%s orders with token %d after %d", d.id, e.Token, w.highestToken)
	}
	w.highestToken = max(w.highestToken, e.Token)
	switch {
	case m.down:
		d.mine(func() {
			d.update(func(at core.Time) []direct.Effect { return d.g.PromoteRefused(at, "not running") })
		})()
	case m.primary && m.term == w.leadership:
	default:
		w.after(w.between(direct.MinPromoteDuration, time.Second), func() { w.promote(m) })
	}
}

func (d *daemon) kick() {
	if d.kicked {
		return
	}
	d.kicked = true
	d.w.after(reportGap, d.mine(func() {
		d.kicked = false
		d.report()
	}))
}

// report sends a report to each other daemon. A datagram on a path that is cut is lost.
func (d *daemon) report() {
	r := d.g.Report(d.clock())
	for _, to := range d.w.daemons {
		if to == d || !to.up || !d.w.open(d.node(), to.node()) || d.w.chance(10) {
			continue
		}
		mine, echo := d.clock(), d.stamps[to.id]
		age := mine.Sub(echo.at)
		d.w.after(d.w.delay(), to.mine(func() {
			to.stamps[d.id] = stamp{mine, to.clock()}
			var sent core.Time
			if echo.theirs != 0 {
				sent = min(echo.theirs.Add(age), to.clock())
			}
			to.update(func(at core.Time) []direct.Effect { return to.g.PeerReported(at, sent, d.id, r) })
		}))
	}
}
