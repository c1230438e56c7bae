package group

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

// faultRun injects random faults into a net under load and checks the guarantees
// after each event.
type faultRun struct {
	n      *fakeNet
	random *rand.Rand
	// wrote is the last acknowledged write of each session.
	wrote map[core.SessionID]core.Position
	// durable holds the acknowledged durable writes.
	durable []core.Position
	// open holds the unanswered requests, with the last acknowledged write of
	// their session at arrival.
	open       []openRequest
	violations []string
	// transactions holds the open transactions.
	transactions []transaction
	// departed counts the daemons that stopped for good.
	departed int
}

type transaction struct {
	h      *fakeHome
	caller uint64
	last   core.RequestID
}

type openRequest struct {
	h       *fakeHome
	id      core.RequestID
	arrived *Arrived
	wrote   core.Position
}

// addViolation records a violated guarantee with the time.
func (f *faultRun) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%d ms: %s", f.n.now/core.Time(ms), fmt.Sprintf(format, args...)))
}

// check checks that at most one home serves, that the connections stay within
// the budget, and each request that was answered by the last event.
func (f *faultRun) check() {
	serving, conns := 0, 0
	for _, h := range f.n.homes {
		l := &h.g.leadership
		if h.g.phase == phaseServing && !h.crashed && f.n.now < l.leaseUntil && f.n.now >= l.waitUntil {
			serving++
		}
		conns += len(h.conns)
	}
	if serving > 1 {
		f.addViolation("%d homes serve", serving)
	}
	if conns > 14 {
		f.addViolation("%d open connections:%s", conns, f.connections())
	}
	kept := f.open[:0]
	for _, o := range f.open {
		if !f.checkSettled(o) {
			kept = append(kept, o)
		}
	}
	f.open = kept
}

func (f *faultRun) connections() string {
	text := ""
	for _, h := range f.n.homes {
		count := map[core.MemberID]int{}
		for _, m := range h.conns {
			count[m]++
		}
		s := h.g.Snapshot()
		text += fmt.Sprint(" ", h.id, " ", s.Phase, " term ", s.Term, " counts ", s.Connections, "+", s.Closing, " open ", count)
	}
	return text
}

// checkSettled checks a request and reports whether it is over.
func (f *faultRun) checkSettled(o openRequest) bool {
	if outcome, failed := o.h.fails[o.id]; failed {
		if outcome == core.OutcomeNotRun && f.n.runCount[o.id] > 0 {
			f.addViolation("request %d ran but was reported as not run", o.id)
		}
		return true
	}
	p, ok := o.h.acks[o.id]
	if !ok {
		return o.h.crashed
	}
	if !o.arrived.Read {
		if f.n.runCount[o.id] != 1 && o.h.status[o.id] != 'T' {
			f.addViolation("request %d ran %d times", o.id, f.n.runCount[o.id])
		}
		f.wrote[o.arrived.Session] = p
		if o.arrived.Durable {
			f.durable = append(f.durable, p)
		}
		return true
	}
	member := f.n.member(o.h.servedBy[o.id])
	if saw := o.h.readPositions[o.id]; !isLostAt(member, o.wrote) && saw.LSN < o.wrote.LSN {
		f.addViolation("request %d of %s read %v at %s after a write at %v", o.id, o.arrived.Session, saw, member.id, o.wrote)
	}
	return true
}

// isLostAt reports whether the record at p is missing from a member's log,
// because a later term started before it.
func isLostAt(m *fakeMember, p core.Position) bool {
	for _, h := range m.status.History {
		if h.Term > p.Term && p.LSN > h.Start {
			return true
		}
	}
	return false
}

// sendLoad sends a few requests, most of them to a home and the others to random
// daemons, as roaming callers do.
func (f *faultRun) sendLoad() {
	for range 3 {
		h := f.n.homes[f.random.IntN(len(f.n.homes))]
		for _, other := range f.n.homes {
			if other.g.leadership.term > 0 && f.random.IntN(4) > 0 {
				h = other
			}
		}
		if h.crashed || h.paused {
			continue
		}
		session := core.SessionID(fmt.Sprint("s", f.random.IntN(12)))
		read, durable := f.random.IntN(3) > 0, f.random.IntN(2) == 0
		wrote := f.wrote[session]
		id := h.arrive(func(a *Arrived) {
			a.Session, a.Read, a.Durable = session, read, durable
			a.Deadline = f.n.now.Add(time.Duration(50+f.random.IntN(2000)) * ms)
		})
		f.open = append(f.open, openRequest{h, id, h.arrivals[id], wrote})
	}
}

// runTransactions begins transactions and continues those whose last statement
// has ended.
func (f *faultRun) runTransactions() {
	if h := f.n.homes[f.random.IntN(3)]; f.random.IntN(20) == 0 && h.isHome() && !h.crashed && !h.paused {
		f.n.nextRequest++
		t := transaction{h: h, caller: uint64(f.n.nextRequest)}
		f.statement(&t, false, 'T')
		f.transactions = append(f.transactions, t)
	}
	kept := f.transactions[:0]
	for _, t := range f.transactions {
		_, failed := t.h.fails[t.last]
		_, done := t.h.acks[t.last]
		switch {
		case failed || t.h.crashed:
			t.h.send(&HungUp{Caller: core.CallerID{Entry: t.h.id, Number: t.caller}})
			continue
		case done && !t.h.paused && f.random.IntN(8) == 0:
			f.statement(&t, true, 'I')
			continue
		case done && !t.h.paused && f.random.IntN(3) == 0:
			f.statement(&t, true, 'T')
		}
		kept = append(kept, t)
	}
	f.transactions = kept
}

func (f *faultRun) statement(t *transaction, inside bool, status byte) {
	t.last = t.h.arrive(func(a *Arrived) {
		a.Caller.Number, a.InTransaction, a.Session = t.caller, inside, "t"
		t.h.status[a.Request] = status
	})
	f.open = append(f.open, openRequest{t.h, t.last, t.h.arrivals[t.last], core.Position{}})
}

// stopDaemon stops a daemon for good, by a drain or a crash. It does so at most
// once in a run, so that two daemons remain.
func (f *faultRun) stopDaemon(h *fakeHome, planned bool) {
	if f.departed > 0 || h.paused {
		return
	}
	f.departed++
	if planned {
		h.send(&Drain{Deadline: f.n.now.Add(3 * time.Second)})
		return
	}
	h.crashed = true
	clear(h.conns)
}

// injectFault injects one random fault and removes it after a random time.
func (f *faultRun) injectFault() {
	m := f.n.members[f.random.IntN(3)]
	h := f.n.homes[f.random.IntN(len(f.n.homes))]
	heal := func() {}
	switch f.random.IntN(11) {
	case 0:
		m.down = true
		f.n.breakConns(m.id)
		heal = func() { m.down = false }
	case 1:
		m.paused = true
		heal = func() { m.paused = false }
	case 2:
		m.controlConnHangs = true
		heal = func() { m.controlConnHangs = false }
	case 3:
		m.applyStopped = true
		heal = func() { m.applyStopped = false }
	case 4:
		m.unreachableFrom[h.id] = true
		heal = func() { m.unreachableFrom[h.id] = false }
	case 5:
		h.paused = true
		heal = func() { h.paused = false }
	case 6:
		h.heartbeatsLost = true
		heal = func() { h.heartbeatsLost = false }
	case 7:
		m.losePromoteAnswer = true
	case 8:
		m.status.Leaving = true
		heal = func() { m.status.Leaving = false }
	case 9:
		f.stopDaemon(h, false)
	case 10:
		f.stopDaemon(h, true)
	}
	f.n.after(time.Duration(20+f.random.IntN(3000))*ms, heal)
}

// runFaults returns the violations of a run with the given seed.
func runFaults(seed uint64, change ...func(*Tuning)) []string {
	f := &faultRun{
		n: newNet(3, change...), random: rand.New(rand.NewPCG(seed, 1)),
		wrote: map[core.SessionID]core.Position{},
	}
	f.n.check = f.check
	f.n.run(2 * time.Second)
	for i := range 2000 {
		f.sendLoad()
		f.runTransactions()
		if i%80 == 0 {
			f.injectFault()
		}
		f.n.run(5 * ms)
	}
	f.n.run(12 * time.Second)
	f.finish()
	return f.violations
}

// finish checks the state after all faults have been removed.
func (f *faultRun) finish() {
	for _, h := range f.n.homes {
		if h.interleaved > 0 {
			f.addViolation("%d interleaved statements", h.interleaved)
		}
	}
	if len(f.open) > 0 {
		f.addViolation("%d requests have no answer, such as %d", len(f.open), f.open[0].id)
	}
	serving := 0
	for _, h := range f.n.homes {
		if h.isHome() && !h.crashed {
			serving++
			w := h.write()
			f.n.run(100 * ms)
			if _, ok := h.acks[w]; !ok {
				f.addViolation("the home does not serve: %v", h.reasons[w])
			}
		}
	}
	if serving != 1 {
		f.addViolation("%d homes serve after the faults", serving)
	}
	for _, p := range f.durable {
		if isLostAt(f.n.primary(), p) {
			f.addViolation("the durable write at %v is lost", p)
		}
	}
}

var _ = ginkgo.Describe("random faults", func() {
	ginkgo.It("violate no guarantee", func() {
		// Under load, members and daemons crash, pause, are cut off from each
		// other and recover, in any order and at the same time.
		for seed := range uint64(12) {
			Expect(runFaults(seed)).To(BeEmpty(), "seed %d", seed)
		}
	})
})
