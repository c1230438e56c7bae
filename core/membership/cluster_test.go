package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"limpetspan/core"
)

// cluster runs reducers in simulated time over a lossy network.
type cluster struct {
	now    core.Time
	random *rand.Rand
	loss   float64
	// cut reports whether a datagram is dropped.
	cut    func(from, to *process) bool
	procs  []*process
	byAddr map[netip.AddrPort]*process
	queue  deliveries
	seq    uint64
	bytes  int
}

type process struct {
	r              *Reducer
	addr           netip.AddrPort
	id             core.DaemonID
	zone           core.Zone
	region         core.Region
	up             bool
	wakeAt         core.Time
	out            Effects
	changes        []Change
	largestMessage int
}

type delivery struct {
	at   core.Time
	seq  uint64
	to   netip.AddrPort
	from *process
	m    Message
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

const testLatency = time.Millisecond

func newCluster(seed uint64, loss float64) *cluster {
	return &cluster{random: rand.New(rand.NewPCG(seed, 1)), loss: loss, byAddr: map[netip.AddrPort]*process{}}
}

// add starts a daemon in the zone and region.
func (c *cluster) add(zone core.Zone, region core.Region) *process {
	i := len(c.procs) + 1
	p := &process{
		addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946),
		id:   core.DaemonID(fmt.Sprintf("d%03d", i)), zone: zone, region: region,
	}
	c.procs = append(c.procs, p)
	c.byAddr[p.addr] = p
	c.start(p)
	return p
}

func (c *cluster) start(p *process) {
	p.r, p.up = New(), true
	c.reduce(p, &Start{
		Self:     Daemon{ID: p.id, Zone: p.zone, Region: p.region, PeerAddr: "p", GossipAddr: p.addr.String(), Incarnation: uint64(c.now)/1e6 + 1},
		Seeds:    []netip.AddrPort{c.procs[0].addr},
		Seed:     c.random.Uint64(),
		Settings: DefaultSettings(),
	})
}

func (c *cluster) reduce(p *process, ev Event) {
	p.out.Reset()
	p.r.Reduce(c.now, ev, &p.out)
	p.wakeAt = max(p.out.WakeAt, c.now+1)
	if !p.out.Change.IsEmpty() {
		ch := p.out.Change
		ch.Homes = append([]core.GroupID(nil), ch.Homes...)
		ch.Candidates = append([]core.GroupID(nil), ch.Candidates...)
		p.changes = append(p.changes, ch)
	}
	for i := range p.out.Sends {
		s := &p.out.Sends[i]
		p.largestMessage = max(p.largestMessage, messageBudget-s.Message.room())
		c.bytes += MaxDatagramBytes - s.Message.room()
		if c.random.Float64() < c.loss {
			continue
		}
		c.seq++
		heap.Push(&c.queue, delivery{at: c.now.Add(testLatency), seq: c.seq, to: s.To, from: p, m: cloneMessage(&s.Message)})
	}
}

func cloneMessage(m *Message) Message {
	n := *m
	n.Buckets = append([]uint32(nil), m.Buckets...)
	n.Pulls = append([]Pull(nil), m.Pulls...)
	n.Daemons = append([]DaemonUpdate(nil), m.Daemons...)
	n.Homes = append([]Home(nil), m.Homes...)
	n.Targets = append([]Target(nil), m.Targets...)
	return n
}

// run advances time until done holds or d has passed, and reports whether done
// holds.
func (c *cluster) run(d time.Duration, done func() bool) bool {
	end := c.now.Add(d)
	for {
		if done != nil && done() {
			return true
		}
		next := end
		var due *process
		for _, p := range c.procs {
			if p.up && p.wakeAt < next {
				next, due = p.wakeAt, p
			}
		}
		if len(c.queue) > 0 && c.queue[0].at <= next {
			v := heap.Pop(&c.queue).(delivery)
			c.now = max(c.now, v.at)
			to := c.byAddr[v.to]
			if to == nil || !to.up || c.cut != nil && c.cut(v.from, to) {
				continue
			}
			c.reduce(to, &Received{From: v.from.addr, Message: &v.m})
			continue
		}
		if due == nil {
			c.now = end
			return done == nil || done()
		}
		c.now = max(c.now, next)
		c.reduce(due, &Tick{})
	}
}

// hasConverged reports whether all running daemons have the same view of n daemons.
func (c *cluster) hasConverged(n int) bool {
	var root uint64
	for _, p := range c.procs {
		if !p.up {
			continue
		}
		if len(p.r.live.list)+1 != n {
			return false
		}
		if root != 0 && p.r.RootDigest() != root {
			return false
		}
		root = p.r.RootDigest()
	}
	return true
}

// addDaemons adds n daemons in three regions with two zones each.
func (c *cluster) addDaemons(n int) {
	for i := range n {
		z := i % 6
		c.add(core.Zone(fmt.Sprintf("z%d", z)), core.Region(fmt.Sprintf("r%d", z/2)))
	}
}
