package home_test

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
)

// fakeReducer is the least reducer that the shell's tests need: it opens conns
// connections to the first member, gives each request one, and ends requests at
// their deadline. It holds every write and acknowledges it at once, and repeats
// reads that were lost.
type fakeReducer struct {
	conns   int
	member  core.MemberID
	idle    []group.ConnID
	last    group.ConnID
	queue   []core.RequestID
	calls   map[core.RequestID]*fakeCall
	pins    map[core.CallerID]group.ConnID
	results []group.Result
	// probed takes the results of probes; the reducer asks for as many as it holds, one after the other.
	probed chan group.Probed
}

type fakeCall struct {
	arrived group.Arrived
	conn    group.ConnID
}

func newFakeReducer(conns int) *fakeReducer {
	return &fakeReducer{conns: conns, calls: make(map[core.RequestID]*fakeCall), pins: make(map[core.CallerID]group.ConnID)}
}

func (f *fakeReducer) Snapshot() group.Snapshot { return group.Snapshot{} }

func (f *fakeReducer) Reduce(now core.Time, ev group.Event, fx *group.Effects) {
	fx.Reset()
	switch e := ev.(type) {
	case *group.Configure:
		f.member = e.Members[0].ID
		f.open(fx, f.conns)
		f.probe(fx)
	case *group.Probed:
		f.probed <- *e
		f.probe(fx)
	case *group.ConnOpened:
		if e.Err == group.FailureNone {
			f.idle = append(f.idle, e.Conn)
		}
	case *group.ConnClosed:
		f.forget(e.Conn)
		f.open(fx, 1)
	case *group.Arrived:
		f.arrive(e, fx)
	case *group.Finished:
		f.finish(e, fx)
	case *group.Abandoned:
		f.end(e.Request, group.ReasonCancelled, fx)
	case *group.HungUp:
		if conn, ok := f.pins[e.Caller]; ok {
			delete(f.pins, e.Caller)
			f.add(fx, &group.CloseConn{Conn: conn})
		}
	case *group.Drain:
		f.add(fx, &group.Drained{})
	}
	f.expire(now, fx)
	f.pump(fx)
}

func (f *fakeReducer) add(fx *group.Effects, e group.Effect) { fx.List = append(fx.List, e) }

func (f *fakeReducer) probe(fx *group.Effects) {
	if len(f.probed) < cap(f.probed) {
		f.add(fx, &group.Probe{Member: f.member, Timeout: waitLimit})
	}
}

func (f *fakeReducer) open(fx *group.Effects, n int) {
	for range n {
		f.last++
		f.add(fx, &group.OpenConn{Conn: f.last, Member: f.member})
	}
}

func (f *fakeReducer) forget(conn group.ConnID) {
	for i, c := range f.idle {
		if c == conn {
			f.idle = append(f.idle[:i], f.idle[i+1:]...)
			return
		}
	}
}

func (f *fakeReducer) arrive(e *group.Arrived, fx *group.Effects) {
	f.calls[e.Request] = &fakeCall{arrived: *e}
	f.queue = append(f.queue, e.Request)
	f.add(fx, &group.WakeAt{At: e.Deadline})
}

func (f *fakeReducer) finish(e *group.Finished, fx *group.Effects) {
	c := f.calls[e.Request]
	f.results = append(f.results, e.Result)
	delete(f.pins, c.arrived.Caller)
	switch e.Result {
	case group.ResultOK:
		if e.TxStatus == 'I' {
			f.idle = append(f.idle, c.conn)
		} else {
			f.pins[c.arrived.Caller] = c.conn
		}
		delete(f.calls, e.Request)
		f.add(fx, &group.Acknowledge{Request: e.Request, Position: e.Position})
	case group.ResultLost, group.ResultNotSent:
		if e.Result == group.ResultLost && !c.arrived.Read {
			f.end(e.Request, group.ReasonConnectionLost, fx)
			return
		}
		f.queue = append(f.queue, e.Request)
		c.conn = 0
	default:
		f.end(e.Request, group.ReasonConnectionLost, fx)
	}
}

func (f *fakeReducer) end(id core.RequestID, reason group.Reason, fx *group.Effects) {
	c := f.calls[id]
	if c == nil {
		return
	}
	delete(f.calls, id)
	outcome := core.OutcomeNotRun
	if c.conn != 0 {
		outcome = core.OutcomeUnknown
	}
	f.add(fx, &group.Fail{Request: id, Reason: reason, Outcome: outcome, Step: "fake"})
}

func (f *fakeReducer) expire(now core.Time, fx *group.Effects) {
	next := core.Time(0)
	for id, c := range f.calls {
		if c.arrived.Deadline <= now {
			f.end(id, group.ReasonDeadline, fx)
		} else if next == 0 || c.arrived.Deadline < next {
			next = c.arrived.Deadline
		}
	}
	if next != 0 {
		f.add(fx, &group.WakeAt{At: next})
	}
}

func (f *fakeReducer) pump(fx *group.Effects) {
	for len(f.queue) > 0 {
		c := f.calls[f.queue[0]]
		if c == nil {
			f.queue = f.queue[1:]
			continue
		}
		conn, pinned := f.pins[c.arrived.Caller]
		if !pinned {
			if len(f.idle) == 0 {
				return
			}
			conn, f.idle = f.idle[0], f.idle[1:]
		}
		c.conn = conn
		f.queue = f.queue[1:]
		f.add(fx, &group.Dispatch{
			Request: c.arrived.Request, Conn: conn, Member: f.member,
			WantPosition: !c.arrived.Read, Hold: !c.arrived.Read,
		})
	}
}

// within is the deadline d from now on the Manager's clock.
func within(now core.Time, d time.Duration) core.Time { return now.Add(d) }
