package group

import (
	"testing"
	"time"

	"limpetspan/core"
)

// requestCycle drives one home through the arrival, dispatch, end and
// acknowledgment of requests. It does not allocate memory itself.
type requestCycle struct {
	h        *fakeHome
	arrived  Arrived
	finished Finished
	probed   Probed
	sessions []core.SessionID
	lsn      core.LSN
	events   int
}

func newRequestCycle() *requestCycle {
	n := newNet(1)
	n.run(3 * time.Second)
	c := &requestCycle{h: n.home("A"), lsn: 1 << 20}
	for i := range 64 {
		c.sessions = append(c.sessions, core.SessionID(rune('a'+i)))
	}
	return c
}

func (c *requestCycle) reduce(ev Event) {
	c.events++
	c.h.g.Reduce(c.h.net.now, ev, &c.h.effects)
}

// cycle runs one request. Every eighth request is a write, and the members report
// after every 64 requests.
func (c *requestCycle) cycle(i int) {
	n := c.h.net
	n.now = n.now.Add(100 * time.Microsecond)
	n.nextRequest++
	c.arrived = Arrived{
		Request: n.nextRequest, Caller: core.CallerID{Entry: "A", Number: uint64(i % 64)},
		Session: c.sessions[i%64], Deadline: n.now.Add(time.Second), Read: i%8 != 0,
	}
	c.reduce(&c.arrived)
	if i%8 == 0 {
		c.lsn += 100
	}
	n.now = n.now.Add(100 * time.Microsecond)
	c.finished = Finished{
		Request: n.nextRequest, TxStatus: 'I',
		Position: core.Position{Term: c.h.g.leadership.term, LSN: c.lsn},
	}
	c.reduce(&c.finished)
	if i%64 == 63 {
		c.report()
	}
}

func (c *requestCycle) report() {
	g := c.h.g
	for _, m := range g.members {
		role := core.RoleReplica
		if m == g.leadership.primary {
			role = core.RolePrimary
		}
		c.probed = Probed{
			Member: m.ID, SentAt: c.h.net.now,
			Status: core.Status{Term: g.leadership.term, LogTerm: g.leadership.term, Role: role, LSN: c.lsn},
		}
		c.reduce(&c.probed)
	}
}

func BenchmarkReduce(b *testing.B) {
	c := newRequestCycle()
	for i := range 10_000 {
		c.cycle(i)
	}
	c.events = 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		c.cycle(i)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(c.events), "ns/event")
	b.ReportMetric(float64(c.events)/float64(b.N), "events/op")
}

func TestSteadyStateDoesNotAllocate(t *testing.T) {
	c := newRequestCycle()
	i := 0
	for ; i < 10_000; i++ {
		c.cycle(i)
	}
	allocs := testing.AllocsPerRun(10_000, func() {
		c.cycle(i)
		i++
	})
	if allocs != 0 {
		t.Errorf("a request allocates %v times in the steady state, want 0", allocs)
	}
	if s := c.h.g.Snapshot(); s.Requests > 0 || s.Counters.Failed > 0 || s.Counters.ReadsReplica == 0 {
		t.Errorf("some requests failed, remained open, or no read ran on a replica: %+v", s)
	}
}
