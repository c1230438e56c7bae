package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/trace"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/core/group"
	"limpetspan/core/membership"
	"limpetspan/pkg/confstore"
	"limpetspan/pkg/entry"
	"limpetspan/pkg/fleet"
	"limpetspan/pkg/front"
	"limpetspan/pkg/gossip"
	"limpetspan/pkg/home"
	"limpetspan/pkg/peer"
	"limpetspan/pkg/settings"
	"limpetspan/pkg/store"
	"limpetspan/pkg/target"
	"limpetspan/pkg/telemetry"
)

const (
	// tracerName names the instrumentation in spans.
	tracerName = "limpetspan"
	// flushTimeout bounds the sending of the last spans.
	flushTimeout = 2 * time.Second
	// requestOverhead is how much a request may be larger than its largest
	// message: a batch holds several.
	requestOverhead = 2
)

func (d *Daemon) openTracing() (err error) {
	d.tracing, err = telemetry.NewProvider(context.Background(), d.settings.Trace, d.settings.Daemon, d.options.Stdout)
	if err != nil {
		return err
	}
	d.onClose(func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		if err := d.tracing.Shutdown(ctx); err != nil {
			d.log.Warn("last spans not sent", "step", "daemon.trace", "error", err)
		}
	})
	return nil
}

// tracer returns nil while spans are off, which spares their cost.
func (d *Daemon) tracer() trace.Tracer {
	if !d.tracing.Enabled() {
		return nil
	}
	return d.tracing.Tracer(tracerName)
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		addr string
		to   *net.Listener
	}{
		{d.settings.Callers.Listen, &d.listeners.callers},
		{d.settings.Peers.Listen, &d.listeners.peers},
		{d.settings.Operator.Listen, &d.listeners.operator},
	} {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return err
		}
		*l.to = ln
		d.onClose(func() { _ = ln.Close() })
	}
	return nil
}

func (d *Daemon) openStore() error {
	if d.options.Store != nil {
		d.store = d.options.Store
		return nil
	}
	client, err := store.NewClient(store.Options{Endpoints: d.settings.Store.Endpoints, Timeout: d.settings.Store.Timeout})
	if err != nil {
		return err
	}
	d.store = client
	d.onClose(client.Close)
	return nil
}

func (d *Daemon) openGossip() error {
	key, err := d.settings.Gossip.Key.Read()
	if err != nil {
		return err
	}
	s := d.settings
	timings := d.options.Gossip
	if timings.ProbeInterval == 0 {
		timings = membership.DefaultSettings()
		timings.ProbeInterval = s.Gossip.Interval
	}
	d.gossip, err = gossip.New(gossip.Options{
		Self: fleet.Daemon{
			ID: d.id, Zone: core.Zone(s.Daemon.Zone), Region: core.Region(s.Daemon.Region),
			PeerAddr:     advertised(s.Peers.Advertise, d.listeners.peers),
			OperatorAddr: advertised("", d.listeners.operator),
			GossipAddr:   s.Gossip.Listen,
		},
		Seeds: s.Gossip.Seeds, Hosts: d.gossipHosts, Key: []byte(key), Settings: timings, Logger: d.log,
	})
	return err
}

// advertised is the address that others are told: the configured one, with the
// bound port in place of port 0.
func advertised(configured string, ln net.Listener) string {
	bound := ln.Addr().(*net.TCPAddr).AddrPort()
	a, err := netip.ParseAddrPort(configured)
	if err != nil {
		return bound.String()
	}
	if a.Port() == 0 {
		a = netip.AddrPortFrom(a.Addr(), bound.Port())
	}
	return a.String()
}

func (d *Daemon) openPeers() error {
	client := peer.ClientOptions{
		DialTimeout: d.settings.Tuning.PeerDialTimeout, IdleTimeout: d.settings.Tuning.PeerIdleTimeout,
		Now: d.now, Log: d.log.Named("peer"),
	}
	server := peer.ServerOptions{
		Handler: homeHandler{d}, Calls: d, MaxRequest: requestOverhead * d.settings.Callers.MaxMessage,
		Now: d.now, Log: d.log.Named("peer"),
	}
	if p := d.settings.Peers; p.TLSCertificate != "" {
		tls, err := peer.LoadTLS(p.TLSCertificate, p.TLSKey, p.TLSCA)
		if err != nil {
			return err
		}
		client.TLS, server.TLS = tls.Client(), tls.Server()
	}
	d.peerClient, d.peerServer = peer.NewClient(client), peer.NewServer(server)
	d.onClose(d.peerClient.Close)
	d.peers = &peers{client: d.peerClient, self: d.id, daemon: d.gossip.Daemon}
	return nil
}

func (d *Daemon) openHomes() error {
	password, err := d.settings.Targets.Password.Read()
	if err != nil {
		return err
	}
	tls, err := targetTLS(d.settings.Targets)
	if err != nil {
		return err
	}
	options := home.Options{
		Self: d.id, Zone: core.Zone(d.settings.Daemon.Zone),
		Dialer: &target.Dialer{
			User: d.settings.Targets.User, Password: password, TLS: tls,
			Zone: core.Zone(d.settings.Daemon.Zone), DialTimeout: d.settings.Targets.ConnectTimeout,
		},
		Peers: d.peers, News: d.homeNews, Logger: d.log.Named("home"), Tracer: d.tracer(), Now: d.now,
		Tuning: d.tuning(), Bucket: d.bucket,
	}
	if d.recorder != nil {
		options.Recorder = d.recorder
	}
	d.homes = home.New(options)
	return nil
}

// tuning is the reducers' tuning.
func (d *Daemon) tuning() group.Tuning {
	t := d.options.Tuning
	s := d.settings.Tuning
	t.LeaseDuration, t.ProbeInterval, t.ProbeTimeout = s.Lease, s.ProbeInterval, s.ProbeTimeout
	t.RetryRatio = s.RetryRatio
	t.DefaultTimeout = d.settings.Callers.DefaultTimeout
	if t.DrainWaitLimit == 0 {
		// Open transactions get half of the stop; the rest is for handing over.
		t.DrainWaitLimit = s.DrainTimeout / 2
	}
	return t
}

// bucket is the bucket of a record key of a kind under take-over.
func (d *Daemon) bucket(kind, key string) int {
	t := d.follower.Current().Takeovers[kind]
	if t == nil || !t.Active() {
		return 0
	}
	return config.Bucket(key, t.Buckets)
}

func (d *Daemon) openConfiguration() error {
	d.follower = confstore.NewFollower(confstore.Options{
		Store: d.store, Prefix: d.settings.Store.Prefix, Peers: d.peers, ShouldWatch: d.gossip.IsWatcher,
		Daemons: func() int { return len(d.gossip.Daemons()) },
		Logger:  d.log.Named("configuration"), Timing: d.options.Config,
	})
	d.entry = entry.New(entry.Options{
		Fleet: d.gossip, Local: homeHandler{d}, Remote: d.peerClient, Now: d.now, Random: rand.Float64,
		Tracer: d.tracer(), Logger: d.log.Named("entry"), DefaultTimeout: d.settings.Callers.DefaultTimeout,
		RetryRatio: d.settings.Tuning.RetryRatio, Backoff: d.settings.Tuning.RetryBackoff,
		SessionInFlight: d.settings.Tuning.SessionInFlight, GroupInFlight: d.settings.Tuning.GroupInFlight,
	})
	return nil
}

func (d *Daemon) openFront() error {
	c := d.settings.Callers
	options := front.Options{
		Handler: d.entry, Daemon: d.id, Users: d.options.Users, Clock: d.now, Logger: d.log.Named("front"),
		CancelElsewhere: d.cancelElsewhere, RequireTLS: c.TLS == settings.TLSRequire,
		MaxConnections: c.MaxConnections, MaxPerUser: c.MaxConnectionsPerUser, MaxPerAddress: c.MaxConnectionsPerAddress,
		Databases: c.Databases, MaxMessage: int(c.MaxMessage), MaxBatch: requestOverhead * int(c.MaxMessage),
		StartupTimeout: c.StartupTimeout, IdleTimeout: c.IdleTimeout, RequestTimeout: c.DefaultTimeout,
	}
	var err error
	if options.Users == nil {
		if options.Users, err = front.LoadUsers(c.UsersFile); err != nil {
			return err
		}
	}
	d.users = options.Users
	if c.TLSCertificate != "" {
		if options.Certificate, err = front.LoadCertificate(c.TLSCertificate, c.TLSKey, d.log); err != nil {
			return err
		}
	}
	if d.front, err = front.New(options); err != nil {
		return err
	}
	// All parts exist, so they can handle changes now.
	d.follower.Subscribe(d.configured)
	d.gossip.Subscribe(d.fleetChanged)
	return nil
}
