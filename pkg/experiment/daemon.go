package experiment

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/admission"
	"limpetspan/core/direct"
	"limpetspan/core/policy"
)

// Times and limits of a daemon, as in package proxy, where holdShare is maxWaitShare.
const (
	dialTimeout  = 400 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	answerMargin = 25 * time.Millisecond
	holdShare    = 0.85
	maxAttempts  = 6
)

// daemon drives the reducer and the queue as package proxy does.
type daemon struct {
	w     *world
	id    core.DaemonID
	zone  core.Zone
	up    bool
	life  int
	g     *direct.Group
	queue *admission.Queue[*statement]
	work  admission.ServiceTimes
	// idle holds, for each idle connection to a member, since when it has been idle; the last one is
	// taken first.
	idle map[core.MemberID][]core.Time
	// busy marks members to which a command is in progress; orders are the commands that wait for it.
	busy   map[core.MemberID]bool
	orders map[core.MemberID][]direct.Effect
	kicked bool
}

// start begins a new incarnation of the daemon, with empty state.
func (d *daemon) start() {
	d.up = true
	d.g = direct.NewGroup(groupID, d.id, d.zone)
	d.g.SetPolicy(d.w.policy)
	d.g.Configure(direct.GroupSpec{ID: groupID, MaxConns: d.w.p.Members.Connections})
	d.g.SetHomes(d.w.p.Daemons, true)
	d.g.SetSharedLoad(d.w.p.SharedLoad)
	d.g.SetPlacement(d.w.p.Placement)
	d.queue, d.work = admission.NewQueue[*statement](d.w.policy), make(admission.ServiceTimes)
	if d.w.p.OverloadControl {
		d.queue.EnableOverloadControl(d.w.p.Limit, func(time.Duration) {})
	}
	d.idle, d.busy = make(map[core.MemberID][]core.Time), make(map[core.MemberID]bool)
	d.orders = make(map[core.MemberID][]direct.Effect)
	d.update(func(at core.Time) []direct.Effect { return d.g.UpdateMembers(at, at, d.w.listed()) })
	d.readLock()
	d.repeat(tick, func() {
		d.closeSurplus()
		d.update(func(at core.Time) []direct.Effect {
			return append(d.g.UpdateMembers(at, at, d.w.listed()), d.g.Tick(at)...)
		})
	})
	d.repeat(reportEvery, d.report)
}

func (d *daemon) stop() {
	d.up = false
	d.life++
}

func (w *world) listed() []direct.Member {
	var list []direct.Member
	for _, m := range w.members {
		list = append(list, direct.Member{ID: m.id, Group: groupID, Addr: string(m.id), Zone: m.zone, Slots: m.slots, Leaving: m.leaving})
	}
	return list
}

// mine returns a function that runs do unless the daemon's current incarnation has ended by then.
func (d *daemon) mine(do func()) func() {
	life := d.life
	return func() {
		if d.up && d.life == life {
			do()
		}
	}
}

func (d *daemon) repeat(every time.Duration, do func()) {
	var again func()
	again = d.mine(func() {
		do()
		d.w.after(every, again)
	})
	d.w.after(time.Duration(d.w.random.Int64N(int64(every))), again)
}

// once returns a function of which the first call counts, and the timeout as well.
func (d *daemon) once(timeout time.Duration, late func()) func(func()) {
	done := false
	first := func(do func()) {
		d.mine(func() {
			if !done {
				done = true
				do()
			}
		})()
	}
	life := d.life
	d.w.after(timeout, func() {
		if d.life == life {
			first(late)
		}
	})
	return first
}

// update runs an event of the reducer, then the statements that can now be placed, then the event's
// effects.
func (d *daemon) update(event func(at core.Time) []direct.Effect) {
	effects := event(d.w.now)
	d.dispatch()
	for _, e := range effects {
		d.effect(e)
	}
}

func (d *daemon) effect(e direct.Effect) {
	switch e.Kind {
	case direct.EffectProbe, direct.EffectFence, direct.EffectUnfence, direct.EffectDemote:
		d.orders[e.Member] = append(d.orders[e.Member], e)
		d.nextOrder(d.w.member(e.Member))
	case direct.EffectClaim:
		d.claim(e)
	case direct.EffectReadLock:
		d.readLock()
	case direct.EffectReleaseLock:
		d.w.after(storeTakes, func() {
			if d.w.revision == e.Token {
				d.w.promotionLock = e.ReleasedRecord(0)
				d.w.revision++
			}
		})
	case direct.EffectPromote:
		d.w.promote(d.w.member(e.Member))
	case direct.EffectReport:
		d.kick()
	}
}

// nextOrder sends the next queued command to the member unless one is in progress.
func (d *daemon) nextOrder(m *member) {
	if d.busy[m.id] || len(d.orders[m.id]) == 0 {
		return
	}
	e := d.orders[m.id][0]
	d.orders[m.id], d.busy[m.id] = d.orders[m.id][1:], true
	sent := d.w.now
	finish := func(event func(at core.Time) []direct.Effect) {
		d.busy[m.id] = false
		d.update(event)
		d.nextOrder(m)
	}
	first := d.once(probeTimeout, func() {
		finish(func(at core.Time) []direct.Effect { return d.g.ProbeFailed(at, sent, m.id, false) })
	})
	d.w.after(d.w.way(d.zone, m.zone), func() {
		if m.dark {
			return
		}
		st := m.order(e)
		d.w.after(d.w.way(d.zone, m.zone), func() {
			first(func() {
				finish(func(at core.Time) []direct.Effect { return d.g.Probed(at, sent, m.id, st) })
				d.kick()
			})
		})
	})
}

// claim takes the promotion lock if it is free.
func (d *daemon) claim(e direct.Effect) {
	sent := d.w.now
	d.w.after(storeTakes, d.mine(func() {
		held := d.w.revision != 0 && !d.w.promotionLock.Released && d.w.holder != d.id && d.w.now.Sub(d.w.writtenAt) < direct.LockTTL
		if held {
			d.update(func(at core.Time) []direct.Effect { return d.g.ClaimRefused(at, "another daemon has the lock") })
			return
		}
		record, taken := d.w.promotionLock.Claim(e, 0)
		d.w.revision++
		d.w.promotionLock, taken.Token = record, d.w.revision
		d.w.holder, d.w.writtenAt = d.id, d.w.now
		d.update(func(at core.Time) []direct.Effect { return d.g.Claimed(at, sent, taken) })
	}))
}

func (d *daemon) readLock() {
	sent := d.w.now
	d.w.after(storeTakes, d.mine(func() {
		seen := d.w.promotionLock.StateIn(0)
		d.update(func(at core.Time) []direct.Effect { return d.g.LockRead(at, sent, seen) })
	}))
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

// report sends a report to each other daemon.
func (d *daemon) report() {
	r, sent := d.g.Report(d.w.now), d.w.now
	for _, to := range d.w.daemons {
		if to == d || !to.up {
			continue
		}
		d.w.after(d.w.way(d.zone, to.zone), to.mine(func() {
			to.update(func(at core.Time) []direct.Effect { return to.g.PeerReported(at, sent, d.id, r) })
		}))
	}
}

// forecast returns when the statement, which has just arrived, would get a place.
func (d *daemon) forecast(s *statement) (admission.Forecast, bool) {
	if !d.queue.HasOverloadControl() || s.waits > 0 || s.attempts > 0 {
		return admission.Forecast{}, false
	}
	s.wait.Promised = admission.IsKept(d.w.now, s.op.due)
	if s.wait.Promised {
		d.w.result.kept++
	}
	return d.queue.Forecast(d.w.now, &s.wait, d.places()), true
}

// places are the statements that the daemon runs.
func (d *daemon) places() admission.Places {
	primary, all := d.g.InUse()
	return admission.Places{Primary: primary, All: all}
}

// refuse refuses a statement because of load.
func (d *daemon) refuse(s *statement) {
	if d.queue.HasOverloadControl() {
		places := d.places()
		f := d.queue.Forecast(d.w.now, &s.wait, places)
		promise := d.queue.Promise(d.w.now, &s.wait, f, places, s.op.kind.Timeout, d.w.random.Float64())
		s.op.after, s.op.due, s.op.refusedBy = promise.After, promise.Due, d
		if promise.Due != 0 {
			d.w.result.promised++
		}
	}
	s.refused()
}

// acquire places the statement, queues it, or refuses it if it cannot be served in time.
func (d *daemon) acquire(s *statement) {
	if s.waits == 0 && s.attempts == 0 {
		s.wait.ServiceTime = d.work.Of(s.op.kind.Name)
	}
	if d.try(s) {
		d.queue.ObserveArrival(d.w.now, &s.wait)
		return
	}
	wait := s.holdUntil.Sub(d.w.now)
	if wait <= 0 || admission.OutageExceedsWait(d.g.OutageDuration(d.w.now, s.need), wait) {
		s.refused()
		return
	}
	s.wait.ServiceTime, s.wait.Value = d.work.Of(s.op.kind.Name), s
	if f, ok := d.forecast(s); ok && f.TooLate {
		d.w.result.byForecast++
		d.refuse(s)
		return
	}
	d.queue.ObserveArrival(d.w.now, &s.wait)
	d.queue.Add(d.w.now, &s.wait)
	s.waits++
	waits := s.waits
	d.w.after(wait, d.mine(func() {
		if s.waits == waits && s.waiting {
			s.waiting = false
			d.queue.Expire(d.w.now, &s.wait)
			d.refuse(s)
		}
	}))
	s.waiting = true
}

// dispatch places queued statements as connections become free.
func (d *daemon) dispatch() {
	refused := d.queue.Serve(d.w.now, func(o *admission.Waiter[*statement]) bool {
		if !d.try(o.Value) {
			return false
		}
		o.Value.waiting = false
		return true
	})
	for _, o := range refused {
		o.Value.waiting = false
		d.refuse(o.Value)
	}
}

// try places the statement now if that is possible.
func (d *daemon) try(s *statement) bool {
	place, ok := d.g.Place(d.w.now, s.need)
	if !ok {
		return false
	}
	m := d.w.member(place.Member)
	if place.Dial {
		d.g.ConnOpened(m.id)
		d.dial(s, place, m)
		return true
	}
	d.idle[m.id] = d.idle[m.id][:len(d.idle[m.id])-1]
	d.g.ConnTaken(m.id, "")
	d.w.after(0, d.mine(func() { d.exchange(s, place, m) }))
	return true
}

// dial opens a connection for the statement.
func (d *daemon) dial(s *statement, place direct.Placement, m *member) {
	sent := d.w.now
	d.w.result.dials++
	fail := func(o direct.Outcome) {
		d.update(func(at core.Time) []direct.Effect {
			d.g.ConnClosed(m.id)
			return d.g.ConnFailed(at, sent, m.id, o)
		})
		d.acquire(s)
	}
	first := d.once(dialTimeout, func() { fail(direct.NotSent) })
	d.w.after(2*d.w.way(d.zone, m.zone), func() {
		switch {
		case m.dark:
		case m.conns >= d.w.p.Members.Connections:
			d.w.result.resets++
			first(func() { fail(direct.ConnectionLimit) })
		default:
			m.conns++
			life := d.life
			opened := m.submit(d.w.p.Members.Handshake, func() {
				if d.life != life {
					return
				}
				first(func() { d.exchange(s, place, m) })
			})
			if !opened {
				m.conns--
				first(func() { fail(direct.Busy) })
			}
		}
	})
}

// exchange runs the statement on the connection that it holds.
func (d *daemon) exchange(s *statement, place direct.Placement, m *member) {
	if place.Primary && !d.g.HasLease(d.w.now) {
		d.settled(s, place, m, direct.NotPrimary)
		return
	}
	sent := d.w.now
	limit := s.deadline.Sub(d.w.now)
	if !s.writes && d.w.policy.Has(policy.AnswerTimeouts) {
		limit = min(limit, place.AnswerTimeout)
	}
	since := place.MinPosition
	if s.writes && !s.begins {
		since = core.Position{}
	}
	if d.zone != m.zone {
		d.w.result.crossings++
	}
	d.w.result.statements++
	first := d.once(max(time.Millisecond, limit), func() { d.lost(s, m, sent) })
	d.w.after(d.w.way(d.zone, m.zone), func() {
		m.run(s, since, func(o direct.Outcome, p core.Position) {
			d.w.after(d.w.way(d.zone, m.zone), func() { first(func() { d.answered(s, place, m, sent, o, p) }) })
		})
	})
}

// answered handles the member's answer.
func (d *daemon) answered(s *statement, place direct.Placement, m *member, sent core.Time, o direct.Outcome, p core.Position) {
	if o == direct.Succeeded {
		if !s.writes && !s.op.transaction {
			d.g.RecordService(d.w.now, &place, s.op.kind.Name, d.w.now.Sub(sent))
		}
		d.work.Observe(s.op.kind.Name, d.w.now.Sub(sent))
		d.g.RecordLatency(m.id, d.w.now.Sub(sent), s.op.kind.Aim)
	}
	d.update(func(at core.Time) []direct.Effect { return d.g.StatementAnswered(at, sent, m.id, p, o) })
	d.settled(s, place, m, o)
}

// settled continues after an answer. The statement holds its connection until here.
func (d *daemon) settled(s *statement, place direct.Placement, m *member, o direct.Outcome) {
	if o == direct.Succeeded {
		s.succeeded(d, place, m)
		return
	}
	d.release(m)
	s.attempts++
	if s.attempts >= maxAttempts || d.w.now >= s.deadline {
		s.refused()
		return
	}
	if !place.Primary && o != direct.Busy {
		s.need.Exclude = append(s.need.Exclude, m.id)
	}
	d.acquire(s)
}

// lost ends a connection on which no answer came.
func (d *daemon) lost(s *statement, m *member, sent core.Time) {
	m.conns--
	d.update(func(at core.Time) []direct.Effect {
		d.g.ConnClosed(m.id)
		return d.g.StatementUnanswered(at, sent, m.id, false)
	})
	if s.writes && !s.begins {
		s.unknown()
		return
	}
	s.need.Exclude = append(s.need.Exclude, m.id)
	s.attempts++
	if s.attempts >= maxAttempts || d.w.now >= s.deadline {
		s.refused()
		return
	}
	d.acquire(s)
}

// release returns a connection to the pool.
func (d *daemon) release(m *member) {
	d.idle[m.id] = append(d.idle[m.id], d.w.now)
	d.g.ConnIdle(m.id, "")
	d.dispatch()
}

// closeSurplus closes connections that have been idle for idleConnRetention and exceed the number that
// is guaranteed to the daemon.
func (d *daemon) closeSurplus() {
	for _, m := range d.w.members {
		list := d.idle[m.id]
		for len(list) > d.g.GuaranteedConns(m.id) && d.w.now.Sub(list[0]) > idleConnRetention {
			list = list[1:]
			m.conns--
			d.g.ConnTaken(m.id, "")
			d.g.ConnClosed(m.id)
		}
		d.idle[m.id] = list
	}
}
