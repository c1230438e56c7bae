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
func newSimulation(ctx context.Context, o *Options, sz size, baseHeap float64) (*simulation, error) {
	s := &simulation{options: o, size: sz, ctx: ctx, baseHeap: baseHeap, byID: map[core.DaemonID]*daemon{}}
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
	settings := membership.DefaultSettings()
	settings.Fanout = s.options.Fanout
	service, err := gossip.New(gossip.Options{
		Settings:  settings,
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
		// Another process of the machine took the port meanwhile: the daemon
		// comes back at another one, as on a host that was replaced.
		if t, err = s.listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			return err
		}
		d.addr = t.LocalAddr()
		d.self.GossipAddr = d.addr.String()
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
