package explore

import (
	"fmt"
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
)

// daemon is one reducer with its shell modelled: events wait while it is
// paused, effects become messages.
type daemon struct {
	world *world
	index int
	id    core.DaemonID
	zone  core.Zone
	// life rises with each restart; messages of an earlier life are dropped.
	life    int
	reducer *group.Group
	effects group.Effects
	// skew is the difference of its clock from the model's time.
	skew   time.Duration
	up     bool
	paused bool
	// muted loses what it sends to and hears from other daemons.
	muted bool
	// held are the events that arrived during a pause.
	held     []func()
	wake     int
	running  map[core.RequestID]*operation
	requests core.RequestID
	// places are the members of its connections, open or being opened.
	places map[group.ConnID]core.MemberID
	// control is when the control connection to each member was opened.
	control map[core.MemberID]core.Time
}

// start gives the daemon a new reducer, as a new process would have.
func (d *daemon) start() {
	w := d.world
	d.life++
	d.up, d.paused, d.held = true, false, nil
	d.running = map[core.RequestID]*operation{}
	d.places = map[group.ConnID]core.MemberID{}
	d.control = map[core.MemberID]core.Time{}
	d.reducer = group.New(group.Options{Group: modelGroup, Tuning: w.tuning})
	d.skew = time.Duration(w.rng.IntN(1000)) * time.Second
	configure := w.configure(d)
	d.post(configure)
	d.post(w.candidates())
}

func (d *daemon) clock() core.Time { return d.world.now.Add(d.skew) }

// post hands an event to the reducer, after the pause if there is one.
func (d *daemon) post(ev group.Event) {
	if !d.up {
		return
	}
	if d.paused {
		d.held = append(d.held, func() { d.reduce(ev) })
		return
	}
	d.reduce(ev)
}

// postLater is post after a delay, unless the daemon restarts in between.
func (d *daemon) postLater(delay time.Duration, ev group.Event) {
	life := d.life
	d.world.after(delay, func() {
		if d.life == life {
			d.post(ev)
		}
	})
}

func (d *daemon) reduce(ev group.Event) {
	d.world.events++
	d.world.record(d, ev)
	d.reducer.Reduce(d.clock(), ev, &d.effects)
	d.world.recordEffects(d)
	// The effects are copied because carrying one out may post an event.
	values := make([]group.Effect, len(d.effects.List))
	for i, e := range d.effects.List {
		values[i] = clone(e)
	}
	for _, e := range values {
		d.carryOut(e)
	}
}

// clone copies an effect out of the reducer's reused buffer.
func clone(e group.Effect) group.Effect {
	switch e := e.(type) {
	case *group.Dispatch:
		return copyOf(e)
	case *group.Acknowledge:
		return copyOf(e)
	case *group.Fail:
		return copyOf(e)
	case *group.OpenConn:
		return copyOf(e)
	case *group.CloseConn:
		return copyOf(e)
	case *group.Probe:
		return copyOf(e)
	case *group.Beat:
		return copyOf(e)
	case *group.Log:
		return copyOf(e)
	case *group.WakeAt:
		return copyOf(e)
	}
	return e
}

func copyOf[T any](p *T) *T {
	v := *p
	return &v
}

func (d *daemon) carryOut(e group.Effect) {
	switch e := e.(type) {
	case *group.WakeAt:
		d.setWake(e.At)
	case *group.Probe:
		d.probe(e)
	case *group.Fence:
		d.fence(e)
	case *group.Promote:
		d.promote(e)
	case *group.OpenConn:
		d.openConn(e)
	case *group.CloseConn:
		d.closeConn(e)
	case *group.Dispatch:
		d.dispatch(e)
	case *group.Acknowledge:
		d.acknowledge(e)
	case *group.Fail:
		d.fail(e)
	case *group.AskOpinion:
		d.askOpinion(e)
	case *group.Beat:
		d.beat(e)
	case *group.SendHandover:
		d.handover(e)
	case *group.Drained, *group.Log:
	default:
		panic(fmt.Sprintf("explore: effect %T is not modelled", e))
	}
}

func (d *daemon) setWake(at core.Time) {
	d.wake++
	wake, life := d.wake, d.life
	delay := max(at.Sub(d.clock()), 0)
	d.world.after(delay, func() {
		if d.life == life && d.wake == wake {
			d.post(&group.Tick{})
		}
	})
}

// call models a control call: do runs at the member when the message gets
// there, also when the answer is lost or late; then reply is posted.
func (d *daemon) call(id core.MemberID, timeout time.Duration, do func(m *member) (core.Status, group.Failure), reply func(core.Status, group.Failure) group.Event) {
	w := d.world
	m := w.member(id)
	life, answered := d.life, false
	answer := func(s core.Status, f group.Failure) {
		if !answered && d.life == life {
			answered = true
			d.post(reply(s, f))
		}
	}
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	w.after(timeout, func() { answer(core.Status{}, group.FailureTimeout) })
	if w.cut(d, m) || w.lose() {
		return
	}
	w.after(w.latency(), func() {
		if !m.up {
			w.after(w.latency(), func() { answer(core.Status{}, group.FailureRefused) })
			return
		}
		m.serve(func() {
			s, f := do(m)
			if w.cut(d, m) || w.lose() {
				return
			}
			w.after(w.latency(), func() { answer(s, f) })
		})
	})
}

// serve runs the call now, or after the member's pause.
func (m *member) serve(do func()) {
	if m.paused {
		m.waiting = append(m.waiting, do)
		return
	}
	do()
}

func (d *daemon) probe(e *group.Probe) {
	sent := d.clock()
	if e.Fresh {
		d.control[e.Member] = d.world.now
	}
	if m := d.world.member(e.Member); d.control[e.Member] < m.silentSince {
		d.postLater(e.Timeout, &group.Probed{Member: e.Member, SentAt: sent, Err: group.FailureTimeout})
		return
	}
	d.call(e.Member, e.Timeout,
		func(m *member) (core.Status, group.Failure) { return m.status(len(m.conns)), group.FailureNone },
		func(s core.Status, f group.Failure) group.Event {
			return &group.Probed{Member: e.Member, SentAt: sent, Fresh: e.Fresh, Status: s, Err: f}
		})
}

func (d *daemon) fence(e *group.Fence) {
	d.call(e.Member, e.Timeout,
		func(m *member) (core.Status, group.Failure) {
			if !m.fence(e.Term) {
				return m.status(len(m.conns)), group.FailureRejected
			}
			return m.status(0), group.FailureNone
		},
		func(s core.Status, f group.Failure) group.Event {
			return &group.Fenced{Member: e.Member, Term: e.Term, Status: s, Err: f}
		})
}

func (d *daemon) promote(e *group.Promote) {
	d.call(e.Member, e.Timeout,
		func(m *member) (core.Status, group.Failure) {
			if !m.promote(e.Term) {
				return m.status(len(m.conns)), group.FailureRejected
			}
			return m.status(len(m.conns)), group.FailureNone
		},
		func(s core.Status, f group.Failure) group.Event {
			return &group.Promoted{Member: e.Member, Term: e.Term, Status: s, Err: f}
		})
}

func (d *daemon) openConn(e *group.OpenConn) {
	began := d.clock()
	key := connKey{d.index, d.life, e.Conn}
	d.places[e.Conn] = e.Member
	// A member that accepts late finds the socket of a given-up attempt closed.
	gaveUp := false
	d.call(e.Member, openTimeout,
		func(m *member) (core.Status, group.Failure) {
			if gaveUp {
				return core.Status{}, group.FailureLost
			}
			if d.world.connectionsOf(d) >= modelBudget-controlConnections {
				d.world.violate("budget", "%s has more connections open than the group's budget of %d", d.id, modelBudget)
			}
			// A dead daemon's connections may linger: a refusal is no violation.
			if d.world.connections() >= modelBudget-controlConnections {
				d.world.counts["connection refused"]++
				return core.Status{}, group.FailureBusy
			}
			m.conns[key] = &modelConn{opened: d.world.now}
			return core.Status{}, group.FailureNone
		},
		func(_ core.Status, f group.Failure) group.Event {
			if f != group.FailureNone {
				gaveUp = true
				delete(d.places, e.Conn)
				// The socket of a failed attempt is closed.
				d.world.after(closeLatency, func() { delete(d.world.member(e.Member).conns, key) })
			}
			return &group.ConnOpened{Conn: e.Conn, Member: e.Member, Took: d.clock().Sub(began), Err: f}
		})
}

// closeConn closes the member's end; the message of a close is not lost,
// because the operating system sends it also for a dead process.
func (d *daemon) closeConn(e *group.CloseConn) {
	m := d.world.member(d.places[e.Conn])
	if m == nil {
		return
	}
	delete(d.places, e.Conn)
	key := connKey{d.index, d.life, e.Conn}
	d.world.after(closeLatency, func() { delete(m.conns, key) })
}

func (d *daemon) askOpinion(e *group.AskOpinion) {
	w := d.world
	peer := w.daemonByID(e.Peer)
	if peer == nil || d.muted || peer.muted || w.lose() {
		return
	}
	w.after(w.latency(), func() {
		if !peer.up || peer.paused {
			return
		}
		peer.call(e.Member, e.Timeout,
			func(m *member) (core.Status, group.Failure) { return m.status(0), group.FailureNone },
			func(s core.Status, f group.Failure) group.Event {
				opinion := &group.Opinion{Member: e.Member, From: peer.id, Zone: peer.zone,
					Reachable: f == group.FailureNone && s.Role == core.RolePrimary}
				d.postLater(w.latency(), opinion)
				return &group.Tick{}
			})
	})
}

func (d *daemon) beat(e *group.Beat) {
	w := d.world
	for _, peer := range w.daemons {
		if peer == d || d.muted || peer.muted || w.lose() {
			continue
		}
		peer.postLater(w.latency(), &group.HomeNews{Home: d.id, Term: e.Term, Primary: e.Primary,
			Direct: !e.Released, Released: e.Released})
	}
	if !e.Released {
		w.hint = d.id
	}
}

func (d *daemon) handover(e *group.SendHandover) {
	w := d.world
	peer := w.daemonByID(e.To)
	if peer == nil || d.muted || peer.muted || w.lose() {
		return
	}
	peer.postLater(w.latency(), &group.HandedOver{From: d.id, Term: e.Term,
		Sessions: append([]group.SessionPosition(nil), e.Sessions...)})
}
