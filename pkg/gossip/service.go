package gossip

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"limpetspan/core"
	"limpetspan/core/membership"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/fleet"
)

// Options are the settings of a Service.
type Options struct {
	// Self is this daemon. GossipAddr may have port 0 or, with a Transport,
	// be empty; it becomes the transport's address. Incarnation must be above
	// that of an earlier life; zero: the wall clock in milliseconds.
	Self fleet.Daemon
	// Weight multiplies the share of homes; 0 counts as 1.
	Weight uint32
	// Seeds are gossip addresses (IP:port) of daemons to contact first.
	Seeds []string
	// Hosts asks the platform's host list for gossip addresses. It is used
	// while no other daemon is known, and seldom otherwise; nil: no list.
	Hosts func(context.Context) ([]netip.AddrPort, error)
	// Key signs all datagrams; empty: unsigned.
	Key []byte
	// Transport moves the datagrams; nil: UDP at Self.GossipAddr.
	Transport Transport
	// Settings of the protocol; zero: the defaults.
	Settings membership.Settings
	// Logger may be nil.
	Logger hclog.Logger
}

// Service keeps the view of the fleet up to date. Create it with New, then Run it.
type Service struct {
	options   Options
	transport Transport
	logger    hclog.Logger
	epoch     time.Time
	stats     counters

	mu      sync.Mutex
	reducer *membership.Reducer
	effects membership.Effects
	encoder *Codec
	buffer  []byte
	timer   *time.Timer
	closed  bool
	change  fleet.Change
	daemons []fleet.Daemon

	// homes and candidates are read for each request, so without the mutex.
	homes      sync.Map // core.GroupID -> fleet.Home
	candidates sync.Map // core.GroupID -> []fleet.Daemon
	targets    atomic.Pointer[map[string]struct{}]

	notify      chan struct{}
	subscribers atomic.Pointer[[]func(fleet.Change)]
}

// New opens the transport and returns a service that does nothing until Run;
// its view can be used before.
func New(o Options) (*Service, error) {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Settings.ProbeInterval == 0 {
		o.Settings = membership.DefaultSettings()
	}
	seeds, err := parseSeeds(o.Seeds)
	if err != nil {
		return nil, err
	}
	if err := checkSelf(&o); err != nil {
		return nil, err
	}
	transport := o.Transport
	if transport == nil {
		if transport, err = ListenUDP(o.Self.GossipAddr); err != nil {
			return nil, errs.Wrap(err, errs.Unavailable, core.OutcomeNotRun, "gossip.listen", o.Self.GossipAddr, "gossip socket")
		}
	}
	o.Self.GossipAddr = advertised(o.Self.GossipAddr, transport.LocalAddr())
	s := &Service{
		options:   o,
		transport: transport,
		logger:    o.Logger.Named("gossip"),
		epoch:     time.Now(),
		reducer:   membership.New(),
		encoder:   NewCodec(o.Key),
		notify:    make(chan struct{}, 1),
	}
	s.targets.Store(&map[string]struct{}{})
	s.subscribers.Store(&[]func(fleet.Change){})
	self := toMember(o.Self)
	self.Weight = o.Weight
	if self.Incarnation == 0 {
		self.Incarnation = uint64(time.Now().UnixMilli())
	}
	s.reduce(&membership.Start{Self: self, Seeds: seeds, Seed: rand.Uint64(), Settings: o.Settings})
	return s, nil
}

func parseSeeds(texts []string) ([]netip.AddrPort, error) {
	var seeds []netip.AddrPort
	for _, t := range texts {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return nil, errs.Wrap(err, errs.BadRequest, core.OutcomeNotRun, "gossip.settings", t, "seed is not IP:port")
		}
		seeds = append(seeds, a)
	}
	return seeds, nil
}

func checkSelf(o *Options) error {
	d := &o.Self
	if d.ID == "" {
		return errs.New(errs.BadRequest, core.OutcomeNotRun, "gossip.settings", "", "daemon id is empty")
	}
	for _, text := range []string{string(d.ID), string(d.Zone), string(d.Region), d.PeerAddr, d.GossipAddr, d.OperatorAddr} {
		if len(text) > membership.MaxNameBytes || !utf8.ValidString(text) {
			return errs.New(errs.BadRequest, core.OutcomeNotRun, "gossip.settings", string(d.ID),
				"%q is no UTF-8 text of at most %d bytes", text, membership.MaxNameBytes)
		}
	}
	if o.Weight > membership.MaxWeight {
		return errs.New(errs.BadRequest, core.OutcomeNotRun, "gossip.settings", string(d.ID),
			"weight %d is above %d", o.Weight, membership.MaxWeight)
	}
	return nil
}

// advertised is the address that others send to: the configured IP with the
// port that was bound, or the transport's own where none is configured.
func advertised(configured string, bound netip.AddrPort) string {
	a, err := netip.ParseAddrPort(configured)
	if err != nil || a.Addr().IsUnspecified() {
		return bound.String()
	}
	return netip.AddrPortFrom(a.Addr(), bound.Port()).String()
}

const (
	// hostsAloneInterval and hostsInterval are the mean times between two looks
	// at the platform's host list while no daemon is known, and otherwise.
	hostsAloneInterval = 2 * time.Second
	hostsInterval      = 10 * time.Minute
	// receiveBuffer is above the largest datagram, so that longer ones are
	// seen as too long.
	receiveBuffer = 2048
)

// Run receives and sends until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	s.startTimer()
	group.Go(func() error { return s.receive(ctx) })
	group.Go(func() error { return s.notifyLoop(ctx) })
	if s.options.Hosts != nil {
		group.Go(func() error { return s.hostsLoop(ctx) })
	}
	group.Go(func() error {
		<-ctx.Done()
		s.stopTimer()
		return s.transport.Close()
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("gossip: %w", err)
	}
	return nil
}

// Take takes in one datagram as if it had just arrived, also before Run: with
// it a bench gives a daemon the view that it would have after hours.
func (s *Service) Take(from netip.AddrPort, b []byte) error {
	var message membership.Message
	if err := NewCodec(s.options.Key).Decode(b, &message); err != nil {
		return err
	}
	s.reduce(&membership.Received{From: from, Message: &message})
	return nil
}

func (s *Service) receive(ctx context.Context) error {
	decoder := NewCodec(s.options.Key)
	buffer := make([]byte, receiveBuffer)
	var message membership.Message
	event := membership.Received{Message: &message}
	for {
		n, from, err := s.transport.Receive(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			s.stats.receiveErrors.Add(1)
			continue // such as an ICMP answer to an earlier datagram
		}
		s.stats.received(n)
		if err := decoder.Decode(buffer[:n], &message); err != nil {
			s.stats.rejected.Add(1)
			continue
		}
		event.From = from
		s.reduce(&event)
	}
}

func (s *Service) hostsLoop(ctx context.Context) error {
	next := time.Now().Add(hostsInterval/2 + rand.N(hostsInterval))
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(hostsAloneInterval/2 + rand.N(hostsAloneInterval)):
		}
		if live, _ := s.Fingerprint(); live > 1 && time.Now().Before(next) {
			continue
		}
		next = time.Now().Add(hostsInterval/2 + rand.N(hostsInterval))
		addrs, err := s.options.Hosts(ctx)
		if err != nil {
			s.logger.Warn("host list not read", "step", "gossip.hosts", "error", err)
			continue
		}
		s.reduce(&membership.Hosts{Addrs: addrs})
	}
}

// reduce runs one event through the reducer and carries out its effects.
func (s *Service) reduce(event membership.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	now := core.Time(time.Since(s.epoch))
	s.effects.Reset()
	s.reducer.Reduce(now, event, &s.effects)
	for i := range s.effects.Sends {
		s.send(&s.effects.Sends[i])
	}
	for _, l := range s.effects.Logs {
		s.stats.decided(l.Message)
		s.logger.Info(l.Message, "daemon", l.Daemon, "zone", l.Zone)
	}
	s.publish(&s.effects.Change)
	if s.timer != nil {
		s.timer.Reset(max(0, s.effects.WakeAt.Sub(now)))
	}
}

func (s *Service) send(out *membership.Send) {
	var err error
	s.buffer, err = s.encoder.Encode(s.buffer[:0], &out.Message)
	if err != nil {
		s.stats.sendErrors.Add(1)
		s.logger.Error("message not encoded", "step", "gossip.encode", "peer", out.To, "error", err)
		return
	}
	if err := s.transport.Send(out.To, s.buffer); err != nil {
		s.stats.sendErrors.Add(1)
		return
	}
	s.stats.sent(len(s.buffer))
}

func (s *Service) startTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(0, func() { s.reduce(&membership.Tick{}) })
}

func (s *Service) stopTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
}
