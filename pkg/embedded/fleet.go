package embedded

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/confstore"
	"limpetspan/pkg/daemon"
	"limpetspan/pkg/front"
	"limpetspan/pkg/settings"
	"limpetspan/pkg/store"
	"limpetspan/standin/control"
	standinstore "limpetspan/standin/store"
	"limpetspan/standin/target"
)

// Fleet is a running fleet.
type Fleet struct {
	Options Options
	// Store is the platform store's stand-in with its faults.
	Store *standinstore.Server
	// Editor changes the configuration as an operator would.
	Editor *confstore.Editor
	// StoreURL and ControlAddr are HTTP addresses on loopback.
	StoreURL    string
	ControlAddr string

	groups map[core.GroupID]*target.Group
	// keyFile holds the key of the fleet's datagrams.
	keyFile string
	daemons []*Daemon
	client  *store.Client
	servers []*http.Server
	parts   errgroup.Group
}

// Daemon is a running daemon of the fleet.
type Daemon struct {
	*daemon.Daemon
	Place Place
	// StoreLink is nil unless Options.StoreLinks is set.
	StoreLink *StoreLink

	cancel context.CancelFunc
	// Done is closed when Run has returned, Err is its result then.
	Done chan struct{}
	Err  error
}

// Start brings the whole fleet up and returns when every daemon is ready to
// serve every group, or ctx ends.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{Options: o, groups: map[core.GroupID]*target.Group{}}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.keyFile, err = writeKey(); err != nil {
		return err
	}
	mux := control.New()
	if err := f.startStore(mux); err != nil {
		return err
	}
	for _, g := range f.Options.Groups {
		if err := f.startGroup(ctx, g, mux); err != nil {
			return err
		}
	}
	addr, err := f.serve(mux)
	if err != nil {
		return err
	}
	f.ControlAddr = addr
	if err := f.declare(ctx); err != nil {
		return err
	}
	for _, place := range f.Options.Daemons {
		if _, err := f.StartDaemon(place); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

func (f *Fleet) startStore(mux *control.Mux) error {
	engine := standinstore.NewEngine(standinstore.SystemClock{})
	f.Store = standinstore.NewServer(engine)
	standinstore.Register(mux, f.Store, standinstore.NewHostList(engine))
	addr, err := f.serve(f.Store)
	if err != nil {
		return err
	}
	f.StoreURL = "http://" + addr
	f.client, err = store.NewClient(store.Options{Endpoints: []string{f.StoreURL}})
	if err != nil {
		return err
	}
	f.Editor = confstore.NewEditor(f.client, settings.Default().Store.Prefix)
	return nil
}

// serve answers HTTP on a free port of loopback.
func (f *Fleet) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	f.servers = append(f.servers, server)
	f.parts.Go(func() error {
		_ = server.Serve(ln)
		return nil
	})
	return ln.Addr().String(), nil
}

func (f *Fleet) startGroup(ctx context.Context, o GroupOptions, mux *control.Mux) error {
	t := o.Target
	t.User, t.Database = targetUser, f.Options.Database
	for _, m := range o.Members {
		t.Members = append(t.Members, target.MemberOptions{ID: core.MemberID(m.ID), Zone: m.Zone})
	}
	g, err := target.NewGroup(t)
	if err != nil {
		return err
	}
	f.groups[o.ID] = g
	// ctx bounds the start; the group runs until Close. Bound to ctx, all
	// members would stop listening when a caller's start timeout ran out.
	if err := g.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	g.Faults().Register(mux, "/target/"+string(o.ID))
	return nil
}

// declare writes the first configuration.
func (f *Fleet) declare(ctx context.Context) error {
	return f.Change(ctx, "first configuration", func(doc *config.Document) {
		doc.Groups = map[core.GroupID]*config.Group{}
		for i, g := range f.Options.Groups {
			if i == 0 {
				doc.DefaultGroup = g.ID
			}
			doc.Groups[g.ID] = f.Declared(g.ID)
		}
	})
}

// Declared is the configuration of a group as it was started.
func (f *Fleet) Declared(id core.GroupID) *config.Group {
	for _, o := range f.Options.Groups {
		if o.ID != id {
			continue
		}
		slots, connections := o.Target.Slots, o.Target.MaxConnections
		if slots == 0 {
			slots = target.DefaultSlots
		}
		if connections == 0 {
			connections = target.DefaultMaxConnections
		}
		declared := &config.Group{MaxConnections: connections, Slots: slots, Database: f.Options.Database, Durable: o.Durable}
		for _, m := range f.groups[id].Members() {
			declared.Members = append(declared.Members, config.Member{ID: m.ID(), Addr: m.Addr(), Zone: m.Zone()})
		}
		return declared
	}
	return nil
}

// Change edits the declared configuration as an operator would.
func (f *Fleet) Change(ctx context.Context, reason string, edit func(*config.Document)) error {
	meta := confstore.Meta{Author: "embedded", Reason: reason}
	_, err := f.Editor.Update(ctx, nil, meta, func(doc *config.Document) (*config.Document, error) {
		next := *doc
		edit(&next)
		return &next, nil
	})
	return err
}

// StartDaemon starts one more daemon.
func (f *Fleet) StartDaemon(place Place) (*Daemon, error) {
	users := front.NewUsers()
	if err := users.Set(f.Options.User, f.Options.Password); err != nil {
		return nil, err
	}
	logs := f.Options.Log
	if logs == nil {
		logs = io.Discard
	}
	configured := f.settings(place)
	link, err := f.linkStore(configured)
	if err != nil {
		return nil, err
	}
	d, err := daemon.New(configured, daemon.Options{Users: users, Stdout: io.Discard, Stderr: logs,
		Tuning: f.Options.Tuning, Gossip: f.Options.Gossip, Config: f.Options.Config})
	if err != nil {
		return nil, fmt.Errorf("daemon %s: %w", place.ID, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	running := &Daemon{Daemon: d, Place: place, StoreLink: link, cancel: cancel, Done: make(chan struct{})}
	f.daemons = append(f.daemons, running)
	go func() {
		running.Err = d.Run(ctx)
		close(running.Done)
	}()
	return running, nil
}

func (f *Fleet) settings(place Place) *settings.Settings {
	s := settings.Default()
	s.Daemon = settings.Daemon{ID: place.ID, Zone: string(place.Zone), Region: "loopback"}
	s.Callers.Listen, s.Peers.Listen = "127.0.0.1:0", "127.0.0.1:0"
	s.Gossip.Listen, s.Operator.Listen = "127.0.0.1:0", "127.0.0.1:0"
	s.Store.Endpoints = []string{f.StoreURL}
	s.Targets.User = targetUser
	s.Gossip.Key.File = f.keyFile
	if f.Options.LogLevel != "" {
		s.Log.Level = f.Options.LogLevel
	}
	for _, d := range f.daemons {
		s.Gossip.Seeds = append(s.Gossip.Seeds, d.Addrs().Gossip)
	}
	return s
}

// linkStore gives a daemon a path to the store of its own, if that is asked for.
func (f *Fleet) linkStore(s *settings.Settings) (*StoreLink, error) {
	if !f.Options.StoreLinks {
		return nil, nil
	}
	link := newStoreLink(f.Store)
	addr, err := f.serve(link)
	if err != nil {
		return nil, err
	}
	s.Store.Endpoints = []string{"http://" + addr}
	return link, nil
}

// Daemons are the daemons that were started and not stopped.
func (f *Fleet) Daemons() []*Daemon { return f.daemons }

// Group is a database group's stand-in.
func (f *Fleet) Group(id core.GroupID) *target.Group { return f.groups[id] }

// URL is the connection string of a daemon's callers.
func (f *Fleet) URL(d *Daemon) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", f.Options.User, f.Options.Password, d.Addrs().Callers, f.Options.Database)
}

// Stop stops a daemon in the planned way and waits for it.
func (f *Fleet) Stop(d *Daemon) error {
	d.cancel()
	return f.forget(d)
}

// Kill ends a daemon as a crash of its process would and waits for it.
func (f *Fleet) Kill(d *Daemon) error {
	d.Kill()
	return f.forget(d)
}

// forget waits for a daemon's end.
func (f *Fleet) forget(d *Daemon) error {
	<-d.Done
	for i, other := range f.daemons {
		if other == d {
			f.daemons = append(f.daemons[:i:i], f.daemons[i+1:]...)
			break
		}
	}
	return d.Err
}

// Close ends the fleet.
func (f *Fleet) Close() {
	for _, d := range f.daemons {
		d.cancel()
	}
	for _, d := range f.daemons {
		<-d.Done
	}
	for _, g := range f.groups {
		g.Close()
	}
	if f.client != nil {
		f.client.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	_ = f.parts.Wait()
	if f.keyFile != "" {
		_ = os.Remove(f.keyFile)
	}
}
