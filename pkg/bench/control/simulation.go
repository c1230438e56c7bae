package control

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"limpetspan/core"
	"limpetspan/core/membership"
	"limpetspan/pkg/fleet"
	"limpetspan/pkg/gossip"
	"limpetspan/pkg/gossip/memnet"
)

// simulation is a fleet of control parts in this process.
type simulation struct {
	options *Options
	size    size
	ctx     context.Context
	network *memnet.Network // nil: UDP
	daemons []*daemon
	byID    map[core.DaemonID]*daemon
	groups  []membership.Group
	terms   []core.Term
	// baseHeap is the live heap before the daemons were made.
	baseHeap  float64
	hostCalls atomic.Int64
	blocked   atomic.Pointer[func(from, to netip.AddrPort) bool]
	// changed is called for each change seen by a daemon.
	changed atomic.Pointer[func(*daemon, fleet.Change)]
}

// daemon is one control part.
type daemon struct {
	self    fleet.Daemon
	addr    netip.AddrPort
	service *gossip.Service
	up      bool
	stop    context.CancelFunc
	done    chan error
	// earlier is the traffic of its earlier lives.
	earlier traffic
}

// firstIncarnation is that of the first lives, known to all from the start.
const firstIncarnation = 1

const settleTime = 90 * time.Second

// newSimulation starts a fleet whose daemons know each other and the homes of
// all groups, and waits until their views are equal.
func newSimulation(ctx context.Context, o *Options, sz size) (*simulation, error) {
	s := &simulation{options: o, size: sz, ctx: ctx, byID: map[core.DaemonID]*daemon{}}
	s.baseHeap = liveHeap()
	if o.Memory {
		s.network = memnet.New(1, 0, o.Latency)
	}
	transports := make([]gossip.Transport, sz.daemons)
	for i := range sz.daemons {
		t, err := s.listen(netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			return nil, err
		}
		transports[i] = t
		d := &daemon{self: s.identity(i, t.LocalAddr()), addr: t.LocalAddr()}
		s.daemons = append(s.daemons, d)
		s.byID[d.self.ID] = d
	}
	s.declareGroups()
	prepared, err := s.prepare()
	if err != nil {
		return nil, err
	}
	if err := s.prepareAll(transports, prepared); err != nil {
		return nil, err
	}
	for _, d := range s.daemons {
		s.run(d)
	}
	if _, ok := s.waitAgree(settleTime, s.daemons); !ok {
		return s, fmt.Errorf("the views of %d daemons did not become equal within %s", sz.daemons, settleTime)
	}
	return s, nil
}

func (s *simulation) identity(i int, addr netip.AddrPort) fleet.Daemon {
	zone := i % s.options.Zones
	region := zone * s.options.Regions / s.options.Zones
	return fleet.Daemon{
		ID:           core.DaemonID(fmt.Sprintf("limpetspan-%d-%04d", zone, i)),
		Zone:         core.Zone(fmt.Sprintf("region-%d-zone-%d", region, zone)),
		Region:       core.Region(fmt.Sprintf("region-%d", region)),
		PeerAddr:     fmt.Sprintf("10.%d.%d.%d:7400", zone, i>>8, i&255),
		GossipAddr:   addr.String(),
		OperatorAddr: fmt.Sprintf("10.%d.%d.%d:7401", zone, i>>8, i&255),
		Incarnation:  firstIncarnation,
	}
}

// declareGroups makes groups of three members in three zones of one region.
func (s *simulation) declareGroups() {
	perRegion := max(1, s.options.Zones/s.options.Regions)
	for i := range s.size.groups {
		region := i % s.options.Regions
		g := membership.Group{ID: core.GroupID(fmt.Sprintf("group-%05d", i))}
		for z := range min(3, perRegion) {
			g.Zones = append(g.Zones, core.Zone(fmt.Sprintf("region-%d-zone-%d", region, region*perRegion+z)))
		}
		s.groups = append(s.groups, g)
		s.terms = append(s.terms, 2)
	}
}

// prepare encodes what a daemon learns when it joins.
func (s *simulation) prepare() ([][]byte, error) {
	a := membership.NewAssignment()
	codec := gossip.NewCodec(s.options.Key)
	const perDatagram = 5
	var messages []membership.Message
	add := func() *membership.Message {
		messages = append(messages, membership.Message{Kind: membership.KindEntries, From: "preparation"})
		return &messages[len(messages)-1]
	}
	for i, d := range s.daemons {
		if i%perDatagram == 0 {
			add()
		}
		m := membership.Daemon{
			ID: d.self.ID, Zone: d.self.Zone, Region: d.self.Region, PeerAddr: d.self.PeerAddr,
			GossipAddr: d.self.GossipAddr, OperatorAddr: d.self.OperatorAddr, Incarnation: firstIncarnation,
		}
		a.Add(&m)
		last := &messages[len(messages)-1]
		last.Daemons = append(last.Daemons, membership.DaemonUpdate{Daemon: m, Full: true})
	}
	a.SetGroups(s.groups)
	for i, g := range s.groups {
		if i%perDatagram == 0 {
			add()
		}
		last := &messages[len(messages)-1]
		last.Homes = append(last.Homes, membership.Home{Group: g.ID, Term: 2, Daemon: a.Candidates(nil, g.ID)[0], Primary: primaryOf(g.ID)})
	}
	var prepared [][]byte
	for i := range messages {
		b, err := codec.Encode(nil, &messages[i])
		if err != nil {
			return nil, err
		}
		prepared = append(prepared, b)
	}
	return prepared, nil
}

func primaryOf(g core.GroupID) core.MemberID { return core.MemberID(g) + "-member-1" }

func (s *simulation) listen(addr netip.AddrPort) (gossip.Transport, error) {
	if s.network == nil {
		return gossip.ListenUDP(addr.String())
	}
	if addr.Port() == 0 {
		return s.network.Listen(), nil
	}
	return s.network.ListenAt(addr), nil
}

// prepareAll creates all daemons with their views before any of them runs, so
// that none is probed before it can answer.
func (s *simulation) prepareAll(transports []gossip.Transport, prepared [][]byte) error {
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, d := range s.daemons {
		group.Go(func() error {
			if err := s.create(d, transports[i]); err != nil {
				return err
			}
			for _, b := range prepared {
				if err := d.service.Take(d.addr, b); err != nil {
					return err
				}
			}
			d.service.SetGroups(s.groups)
			return nil
		})
	}
	return group.Wait()
}

// create makes the daemon's control part.
func (s *simulation) create(d *daemon, t gossip.Transport) error {
	service, err := gossip.New(gossip.Options{
		Self:      d.self,
		Seeds:     s.seeds(d),
		Key:       s.options.Key,
		Transport: &transport{Transport: t, blocked: &s.blocked},
		Hosts:     s.hostList,
	})
	if err != nil {
		return err
	}
	service.Subscribe(func(c fleet.Change) {
		if f := s.changed.Load(); f != nil {
			(*f)(d, c)
		}
	})
	d.service = service
	return nil
}

// run starts a daemon that was created.
func (s *simulation) run(d *daemon) {
	ctx, cancel := context.WithCancel(s.ctx)
	d.stop, d.up, d.done = cancel, true, make(chan error, 1)
	go func() { d.done <- d.service.Run(ctx) }()
}

// seeds are one daemon of each zone.
func (s *simulation) seeds(d *daemon) []string {
	var seeds []string
	for _, o := range s.daemons[:min(len(s.daemons), s.options.Zones)] {
		if o != d {
			seeds = append(seeds, o.self.GossipAddr)
		}
	}
	return seeds
}

// hostList is the platform's host list: complete, and with the dead.
func (s *simulation) hostList(context.Context) ([]netip.AddrPort, error) {
	s.hostCalls.Add(1)
	addrs := make([]netip.AddrPort, len(s.daemons))
	for i, d := range s.daemons {
		addrs[i] = d.addr
	}
	return addrs, nil
}

// halt ends the daemons' processes without notice.
func (s *simulation) halt(daemons []*daemon) {
	var wait sync.WaitGroup
	for _, d := range daemons {
		if !d.up {
			continue
		}
		d.up = false
		d.stop()
		wait.Go(func() { <-d.done })
	}
	wait.Wait()
}

// restart starts a halted daemon's next life at the same address.
func (s *simulation) restart(d *daemon) error {
	t, err := s.listen(d.addr)
	if err != nil {
		return err
	}
	d.earlier = d.traffic()
	d.self.Incarnation = 0
	if err := s.create(d, t); err != nil {
		return err
	}
	d.service.SetGroups(s.groups)
	s.run(d)
	return nil
}

func (s *simulation) close() { s.halt(s.daemons) }

// up returns the running daemons that f accepts; nil: all of them.
func (s *simulation) up(f func(*daemon) bool) []*daemon {
	var list []*daemon
	for _, d := range s.daemons {
		if d.up && (f == nil || f(d)) {
			list = append(list, d)
		}
	}
	return list
}

// pollInterval is the time between two comparisons of views.
const pollInterval = 100 * time.Millisecond

// wait polls until done holds, and returns how long it took.
func (s *simulation) wait(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := time.Now()
	for !done() {
		if time.Since(start) > limit || s.ctx.Err() != nil {
			return time.Since(start), false
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start), true
}

// waitAgree waits until the views of the daemons are equal and hold exactly them.
func (s *simulation) waitAgree(limit time.Duration, daemons []*daemon) (time.Duration, bool) {
	return s.wait(limit, func() bool { return agree(daemons, len(daemons)) })
}

func agree(daemons []*daemon, live int) bool {
	var first uint64
	for i, d := range daemons {
		n, root := d.service.Fingerprint()
		if i == 0 {
			first = root
		}
		if n != live || root != first {
			return false
		}
	}
	return true
}

func (s *simulation) watchers() int {
	n := 0
	for _, d := range s.up(nil) {
		if d.service.IsWatcher() {
			n++
		}
	}
	return n
}

// moveHomes announces the next home of each group whose home is gone, as the
// group's other candidates do, and returns their number.
func (s *simulation) moveHomes(gone map[core.DaemonID]bool, from *daemon) int {
	moved := 0
	for i, g := range s.groups {
		h, ok := from.service.Home(g.ID)
		if !ok || !gone[h.Daemon] {
			continue
		}
		for _, c := range from.service.Candidates(g.ID) {
			if gone[c.ID] {
				continue
			}
			s.terms[i] = max(s.terms[i], h.Term) + 2
			s.byID[c.ID].service.AnnounceHome(fleet.Home{Group: g.ID, Term: s.terms[i], Daemon: c.ID, Primary: h.Primary})
			moved++
			break
		}
	}
	return moved
}
