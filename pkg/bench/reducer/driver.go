package reducer

import (
	"errors"
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
)

const (
	self = core.DaemonID("d1")
	// sessions take turns.
	sessions = 64
	// readsPerWrite and requestsPerReport set the mix.
	requestsPerWrite  = 8
	requestsPerReport = 64
	// step is the time between two events of a request.
	step = 100 * time.Microsecond
	// bringUp bounds the time until the daemon is home, in event time.
	bringUp     = 5 * time.Second
	bringUpStep = 10 * time.Millisecond
	// logStep is the log that one write takes, in bytes.
	logStep = 100
)

// driver drives one reducer with members that answer at once.
type driver struct {
	g       *group.Group
	fx      group.Effects
	now     core.Time
	members map[core.MemberID]*core.Status
	order   []core.MemberID
	primary core.MemberID
	queue   []group.Event

	// Reused, so that the driver itself allocates nothing.
	arrived  group.Arrived
	finished group.Finished
	probed   group.Probed
	names    []core.SessionID
	request  core.RequestID
	events   int
}

func newDriver() *driver {
	d := &driver{g: group.New(group.Options{Group: "parkdb-1"}), now: core.Time(time.Second), members: map[core.MemberID]*core.Status{}}
	configure := &group.Configure{Revision: 1, Self: self, Zone: "sapporo-hall", MaxConnections: 20, Slots: 3, Seed: 1}
	for i, zone := range []core.Zone{"sapporo-hall", "asahikawa", "hakodate"} {
		id := core.MemberID("m" + string(rune('1'+i)))
		configure.Members = append(configure.Members, group.Member{ID: id, Zone: zone})
		d.members[id] = &core.Status{Term: 2, LogTerm: 2, Role: core.RoleReplica, LSN: 1 << 20}
		d.order = append(d.order, id)
	}
	d.primary = d.order[0]
	d.members[d.primary].Role = core.RolePrimary
	for i := range sessions {
		d.names = append(d.names, core.SessionID("gate-"+string(rune('A'+i))))
	}
	d.queue = append(d.queue, configure, &group.Candidates{List: []group.Candidate{{ID: self, Zone: "sapporo-hall"}}})
	return d
}

// start passes time until the daemon is home and has connections.
func (d *driver) start() error {
	for end := d.now.Add(bringUp); d.now < end; d.now = d.now.Add(bringUpStep) {
		d.queue = append(d.queue, &group.Tick{})
		for len(d.queue) > 0 {
			ev := d.queue[0]
			d.queue = d.queue[1:]
			d.reduce(ev)
			for _, e := range d.fx.List {
				d.answer(e)
			}
		}
	}
	if !d.g.Snapshot().Home {
		return errors.New("the reducer is not home of its group")
	}
	return nil
}

func (d *driver) reduce(ev group.Event) {
	d.events++
	d.g.Reduce(d.now, ev, &d.fx)
}

// answer carries an effect out as a healthy group would.
func (d *driver) answer(e group.Effect) {
	switch e := e.(type) {
	case *group.Probe:
		d.queue = append(d.queue, &group.Probed{Member: e.Member, SentAt: d.now, Fresh: e.Fresh, Status: *d.members[e.Member]})
	case *group.Fence:
		s := d.members[e.Member]
		s.Term, s.Role = e.Term, core.RoleFenced
		d.queue = append(d.queue, &group.Fenced{Member: e.Member, Term: e.Term, Status: *s})
	case *group.Promote:
		d.promote(e)
	case *group.OpenConn:
		d.queue = append(d.queue, &group.ConnOpened{Conn: e.Conn, Member: e.Member, Took: 12 * time.Millisecond})
	}
}

// promote makes the member primary and all others its replicas.
func (d *driver) promote(e *group.Promote) {
	d.primary = e.Member
	for id, s := range d.members {
		s.Term, s.LogTerm, s.Role = e.Term, e.Term, core.RoleReplica
		if id == e.Member {
			s.Role = core.RolePrimary
			s.History = append(s.History, core.TermStart{Term: e.Term, Start: s.LSN})
		}
	}
	d.queue = append(d.queue, &group.Promoted{Member: e.Member, Term: e.Term, Status: *d.members[e.Member]})
}

// cycle runs one request.
func (d *driver) cycle(i int) {
	head := d.members[d.primary]
	d.now = d.now.Add(step)
	d.request++
	d.arrived = group.Arrived{
		Request: d.request, Caller: core.CallerID{Entry: self, Number: uint64(i % sessions)},
		Session: d.names[i%sessions], Deadline: d.now.Add(time.Second), Read: i%requestsPerWrite != 0,
	}
	d.reduce(&d.arrived)
	if i%requestsPerWrite == 0 {
		head.LSN += logStep
	}
	d.now = d.now.Add(step)
	d.finished = group.Finished{Request: d.request, TxStatus: 'I', Position: core.Position{Term: head.LogTerm, LSN: head.LSN}}
	d.reduce(&d.finished)
	if i%requestsPerReport == requestsPerReport-1 {
		d.report()
	}
}

// report has every member report; the replicas have all of the log.
func (d *driver) report() {
	head := d.members[d.primary]
	for _, id := range d.order {
		d.members[id].LSN = head.LSN
		d.probed = group.Probed{Member: id, SentAt: d.now, Status: *d.members[id]}
		d.reduce(&d.probed)
	}
}
