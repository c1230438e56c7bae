package group

import (
	"container/heap"
	"time"

	"limpetspan/core"
)

const ms = time.Millisecond

// fakeMember simulates a target: as primary it applies writes, as replica it
// copies the primary's log after lag, and it implements fence and promote.
type fakeMember struct {
	id                core.MemberID
	status            core.Status
	down              bool          // refuses connections, as after a crash
	paused            bool          // accepts connections and never answers
	controlConnHangs  bool          // its open control connections never answer
	applyStopped      bool          // applies nothing
	peersUnreachable  bool          // exchanges nothing with the other members
	lag               time.Duration // replication lag
	connsExhausted    bool          // has no free connection
	probesRefused     bool          // has no free connection for a probe
	losePromoteAnswer bool          // the answer of the next promote is lost
	unreachableFrom   map[core.DaemonID]bool
}

// fakeHome is a daemon that drives one Group against the fake members.
type fakeHome struct {
	id             core.DaemonID
	g              *Group
	effects        Effects
	net            *fakeNet
	crashed        bool
	paused         bool
	heartbeatsLost bool // receives no heartbeats of other daemons
	conns          map[ConnID]core.MemberID
	running        map[core.RequestID]Dispatch
	acks           map[core.RequestID]core.Position
	ackedAt        map[core.RequestID]core.Time
	fails          map[core.RequestID]core.Outcome
	reasons        map[core.RequestID]Reason
	lastFail       map[core.RequestID]*Fail
	servedBy       map[core.RequestID]core.MemberID
	readPositions  map[core.RequestID]core.Position // the position that each read has seen
	logs           []string
	drained        bool
	maxOpen        int
	// silentConns: statements on connections with numbers up to this one are never answered.
	silentConns   ConnID
	opinionsAsked int
	tickNo        int
	arrivals      map[core.RequestID]*Arrived
	ranOn         map[core.RequestID]ConnID
	// nextStatus is the transaction status after a statement, unless status names
	// another one for the request. nextResult is the result of the next statement,
	// alwaysResult that of every statement.
	nextStatus byte
	status     map[core.RequestID]byte
	// open holds the callers of open transactions. interleaved counts the statements
	// that ran on the connection of another caller's transaction.
	open         map[ConnID]core.CallerID
	interleaved  int
	nextResult   Result
	alwaysResult Result
}

type fakeEvent struct {
	at  core.Time
	seq int
	run func()
}

// fakeQueue is a heap of events, ordered by time.
type fakeQueue []fakeEvent

func (q fakeQueue) Len() int { return len(q) }
func (q fakeQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q fakeQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fakeQueue) Push(x any)   { *q = append(*q, x.(fakeEvent)) }
func (q *fakeQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// fakeNet holds the event queue, the members and the daemons.
type fakeNet struct {
	now         core.Time
	eventNo     int
	queue       fakeQueue
	events      int
	check       func() // is called after each event
	runCount    map[core.RequestID]int
	members     []*fakeMember
	homes       []*fakeHome
	nextRequest core.RequestID
	tuning      Tuning
	rtt         time.Duration
	// omitPositions: Finished events carry no position.
	omitPositions bool
	// writeNothing: statements write nothing.
	writeNothing bool
}

func newNet(daemons int, change ...func(*Tuning)) *fakeNet {
	n := &fakeNet{now: core.Time(time.Second), rtt: ms, runCount: map[core.RequestID]int{}}
	for _, f := range change {
		f(&n.tuning)
	}
	for _, id := range []core.MemberID{"a", "b", "c"} {
		n.members = append(n.members, &fakeMember{id: id, lag: 5 * ms, unreachableFrom: map[core.DaemonID]bool{}})
	}
	var list []Candidate
	for i := range daemons {
		id := core.DaemonID(rune('A' + i))
		list = append(list, Candidate{ID: id, Zone: core.Zone("z" + string(id))})
	}
	for _, c := range list {
		h := n.addHome(c)
		h.send(&Candidates{List: list})
	}
	n.after(5*ms, n.replicate)
	return n
}

func (n *fakeNet) addHome(c Candidate) *fakeHome {
	h := &fakeHome{
		id: c.ID, net: n, g: New(Options{Group: "park", Tuning: n.tuning}),
		conns: map[ConnID]core.MemberID{}, running: map[core.RequestID]Dispatch{},
		acks: map[core.RequestID]core.Position{}, ackedAt: map[core.RequestID]core.Time{},
		fails: map[core.RequestID]core.Outcome{}, reasons: map[core.RequestID]Reason{},
		lastFail: map[core.RequestID]*Fail{}, servedBy: map[core.RequestID]core.MemberID{},
		readPositions: map[core.RequestID]core.Position{}, arrivals: map[core.RequestID]*Arrived{},
		ranOn: map[core.RequestID]ConnID{}, nextStatus: 'I',
		status: map[core.RequestID]byte{}, open: map[ConnID]core.CallerID{},
	}
	n.homes = append(n.homes, h)
	h.send(n.configure(h, 1))
	return h
}

func (n *fakeNet) configure(h *fakeHome, revision uint64) *Configure {
	c := &Configure{
		Revision: revision, Self: h.id, Zone: core.Zone("z" + string(h.id)),
		MaxConnections: 20, Slots: 3, Seed: uint64(h.id[0]),
	}
	for i, m := range n.members {
		c.Members = append(c.Members, Member{ID: m.id, Zone: core.Zone("z" + string(rune('A'+i)))})
	}
	return c
}

func (n *fakeNet) after(d time.Duration, f func()) {
	n.eventNo++
	heap.Push(&n.queue, fakeEvent{n.now.Add(d), n.eventNo, f})
}

// run advances the time by d and runs the events that fall due.
func (n *fakeNet) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 {
		if n.queue[0].at > end {
			break
		}
		e := heap.Pop(&n.queue).(fakeEvent)
		n.now = e.at
		n.events++
		e.run()
	}
	n.now = end
}

func (n *fakeNet) member(id core.MemberID) *fakeMember {
	for _, m := range n.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (n *fakeNet) home(id core.DaemonID) *fakeHome {
	for _, h := range n.homes {
		if h.id == id {
			return h
		}
	}
	return nil
}

// primary returns the primary of the highest term.
func (n *fakeNet) primary() *fakeMember {
	var best *fakeMember
	for _, m := range n.members {
		if m.status.Role == core.RolePrimary && (best == nil || best.status.Term < m.status.Term) {
			best = m
		}
	}
	return best
}

// replicate attaches the members that are not above the primary's term to the
// primary and copies its log to them.
func (n *fakeNet) replicate() {
	if p := n.primary(); p != nil && !p.down && !p.paused && !p.peersUnreachable {
		for _, m := range n.members {
			if m == p || m.down || m.paused || m.applyStopped || m.peersUnreachable || m.status.Term > p.status.Term {
				continue
			}
			m.status.Term, m.status.Role = p.status.Term, core.RoleReplica
			s := p.status
			n.after(m.lag, func() {
				if m.status.Term == s.Term && m.status.Role == core.RoleReplica && !m.applyStopped {
					m.status.LSN, m.status.LogTerm, m.status.History = s.LSN, s.LogTerm, s.History
				}
			})
		}
	}
	n.after(ms, n.replicate)
}

// breakConns breaks all work connections to a member, as a fence or a crash does.
func (n *fakeNet) breakConns(id core.MemberID) {
	for _, h := range n.homes {
		for c := ConnID(1); c <= h.g.lastConnID; c++ {
			if h.conns[c] == id {
				delete(h.conns, c)
				h.deliverAfter(n.rtt, func() Event { return &ConnClosed{Conn: c} })
			}
		}
	}
}

func (h *fakeHome) send(ev Event) {
	if h.crashed {
		return
	}
	h.g.Reduce(h.net.now, ev, &h.effects)
	if h.net.check != nil {
		h.net.check()
	}
	for _, e := range h.effects.List {
		h.execute(e)
	}
}

// deliverAfter makes an event after half of d and delivers it after d, or when
// the pause of the daemon ends.
func (h *fakeHome) deliverAfter(d time.Duration, make func() Event) {
	h.net.after(d/2, func() {
		ev := make()
		if ev != nil {
			h.net.after(d/2, func() { h.deliver(ev) })
		}
	})
}

func (h *fakeHome) deliver(ev Event) {
	if h.paused {
		h.net.after(ms, func() { h.deliver(ev) })
		return
	}
	h.send(ev)
}

// call simulates a call to a member, which is refused, times out or is answered.
func (h *fakeHome) call(id core.MemberID, onControlConn bool, timeout time.Duration, do func(m *fakeMember, err Failure) Event) {
	m := h.net.member(id)
	switch {
	case m == nil || m.down && !m.unreachableFrom[h.id]:
		h.deliverAfter(h.net.rtt, func() Event { return do(m, FailureRefused) })
	case m.paused || m.unreachableFrom[h.id] || onControlConn && m.controlConnHangs:
		h.net.after(timeout, func() { h.deliver(do(m, FailureTimeout)) })
	default:
		h.deliverAfter(h.net.rtt, func() Event { return do(m, FailureNone) })
	}
}

func (h *fakeHome) execute(e Effect) {
	switch e := e.(type) {
	case *WakeAt:
		h.tickNo++
		no, at := h.tickNo, e.At
		h.net.after(max(0, at.Sub(h.net.now)), func() {
			if no == h.tickNo {
				h.deliver(&Tick{})
			}
		})
	case *Probe:
		v, sent := *e, h.net.now
		h.call(v.Member, !v.Fresh, v.Timeout, func(m *fakeMember, err Failure) Event {
			if err == FailureNone && m.probesRefused {
				err = FailureBusy
			}
			return &Probed{Member: v.Member, SentAt: sent, Fresh: v.Fresh, Status: h.net.statusOf(m), Err: err}
		})
	case *Fence:
		v := *e
		h.call(v.Member, false, v.Timeout, func(m *fakeMember, err Failure) Event {
			if err = m.fence(v.Term, err); err == FailureNone {
				h.net.breakConns(m.id)
			}
			return &Fenced{Member: v.Member, Term: v.Term, Status: h.net.statusOf(m), Err: err}
		})
	case *Promote:
		v := *e
		h.call(v.Member, false, v.Timeout, func(m *fakeMember, err Failure) Event {
			err = m.promote(v.Term, err)
			return &Promoted{Member: v.Member, Term: v.Term, Status: h.net.statusOf(m), Err: err}
		})
	case *OpenConn:
		v := *e
		h.conns[v.Conn] = v.Member
		h.maxOpen = max(h.maxOpen, len(h.conns))
		h.call(v.Member, false, 300*ms, func(m *fakeMember, err Failure) Event {
			if err == FailureNone && m.connsExhausted {
				err = FailureBusy
			}
			if err != FailureNone {
				delete(h.conns, v.Conn)
			}
			return &ConnOpened{Conn: v.Conn, Member: v.Member, Took: 12 * ms, Err: err}
		})
	case *CloseConn:
		delete(h.conns, e.Conn)
		id := e.Conn
		h.deliverAfter(0, func() Event { return &ConnClosed{Conn: id} })
	case *Dispatch:
		h.runStatement(*e)
	case *Acknowledge:
		h.acks[e.Request], h.ackedAt[e.Request] = e.Position, h.net.now
	case *Fail:
		v := *e
		h.fails[e.Request], h.reasons[e.Request], h.lastFail[e.Request] = e.Outcome, e.Reason, &v
		if d, ok := h.running[e.Request]; ok {
			delete(h.conns, d.Conn)
		}
		delete(h.running, e.Request)
	case *Beat:
		v := *e
		for _, other := range h.net.homes {
			if other != h && !other.heartbeatsLost {
				other := other
				h.net.after(h.net.rtt, func() {
					other.deliver(&HomeNews{Home: h.id, Term: v.Term, Primary: v.Primary, Direct: true, Released: v.Released})
				})
			}
		}
	case *SendHandover:
		v := *e
		h.net.after(h.net.rtt, func() {
			h.net.home(v.To).deliver(&HandedOver{From: h.id, Term: v.Term, Sessions: v.Sessions})
		})
	case *AskOpinion:
		h.opinionsAsked++
		v := *e
		peer := h.net.home(v.Peer)
		if peer == nil || peer.crashed || peer.paused {
			return
		}
		peer.call(v.Member, false, v.Timeout, func(_ *fakeMember, err Failure) Event {
			h.net.after(h.net.rtt, func() {
				h.deliver(&Opinion{Member: v.Member, From: peer.id, Zone: peer.g.zone, Reachable: err == FailureNone})
			})
			return &Tick{}
		})
	case *Log:
		h.logs = append(h.logs, e.Message+": "+e.Detail)
	case *Drained:
		h.drained = true
	}
}

// runStatement runs a statement of 1 ms at the member.
func (h *fakeHome) runStatement(d Dispatch) {
	m, a := h.net.member(d.Member), h.arrivals[d.Request]
	h.running[d.Request] = d
	h.servedBy[d.Request], h.ranOn[d.Request] = d.Member, d.Conn
	if m.paused || m.unreachableFrom[h.id] || d.Conn <= h.silentConns {
		return
	}
	h.net.after(ms, func() {
		if h.running[d.Request] != d {
			return
		}
		f := &Finished{Request: d.Request, TxStatus: h.nextStatus, Result: max(h.nextResult, h.alwaysResult)}
		if s, ok := h.status[d.Request]; ok {
			f.TxStatus = s
		}
		h.nextResult = ResultOK
		switch {
		case f.Result != ResultOK:
			delete(h.conns, d.Conn)
		case m.paused:
			return
		case m.down, h.conns[d.Conn] == "":
			f.Result = ResultLost
		case a.Read:
			h.readPositions[d.Request] = m.status.Position()
		case m.status.Role != core.RolePrimary:
			f.Result = ResultReadOnly
		case f.TxStatus != 'I':
			h.trackTransaction(d.Conn, a.Caller, f.TxStatus)
		default:
			h.trackTransaction(d.Conn, a.Caller, f.TxStatus)
			h.net.runCount[d.Request]++
			if !h.net.writeNothing {
				m.status.LSN += 10
				m.status.LogTerm = m.status.Term
			}
		}
		if !h.net.omitPositions {
			f.Position = m.status.Position()
		}
		h.net.after(h.net.rtt, func() {
			if h.running[d.Request] == d {
				delete(h.running, d.Request)
				h.deliver(f)
			}
		})
	})
}

// trackTransaction records a statement inside a transaction, or the end of the
// transaction.
func (h *fakeHome) trackTransaction(c ConnID, caller core.CallerID, status byte) {
	if owner, ok := h.open[c]; ok && owner != caller {
		h.interleaved++
	}
	if status == 'I' {
		delete(h.open, c)
	} else {
		h.open[c] = caller
	}
}

// arrive sends a request with a deadline of 2 s and returns its ID.
func (h *fakeHome) arrive(change func(*Arrived)) core.RequestID {
	h.net.nextRequest++
	a := &Arrived{
		Request: h.net.nextRequest, Caller: core.CallerID{Entry: h.id, Number: uint64(h.net.nextRequest)},
		Session: "s", Deadline: h.net.now.Add(2 * time.Second),
	}
	if change != nil {
		change(a)
	}
	h.arrivals[a.Request] = a
	h.deliver(a)
	return a.Request
}

func (h *fakeHome) write() core.RequestID { return h.arrive(nil) }

func (h *fakeHome) read(session core.SessionID) core.RequestID {
	return h.arrive(func(a *Arrived) { a.Read, a.Session = true, session })
}

func (h *fakeHome) isHome() bool { return h.g.mayServe() }

func (n *fakeNet) statusOf(m *fakeMember) core.Status {
	if m == nil {
		return core.Status{}
	}
	s := m.status
	for _, h := range n.homes {
		for _, id := range h.conns {
			if id == m.id {
				s.Connections++
			}
		}
	}
	return s
}

func (m *fakeMember) fence(t core.Term, err Failure) Failure {
	if err != FailureNone {
		return err
	}
	if t <= m.status.Term {
		return FailureRejected
	}
	m.status.Term, m.status.Role = t, core.RoleFenced
	return FailureNone
}

func (m *fakeMember) promote(t core.Term, err Failure) Failure {
	if err != FailureNone {
		return err
	}
	if t <= m.status.Term {
		return FailureRejected
	}
	m.status.Term, m.status.Role = t, core.RolePrimary
	h := append([]core.TermStart(nil), m.status.History...)
	m.status.History = append(h, core.TermStart{Term: t, Start: m.status.LSN})
	if m.losePromoteAnswer {
		m.losePromoteAnswer = false
		return FailureLost
	}
	return FailureNone
}
