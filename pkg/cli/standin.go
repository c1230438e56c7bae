package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"limpetspan/core"
	"limpetspan/standin/control"
	standinstore "limpetspan/standin/store"
	"limpetspan/standin/target"
)

// StandinCommand groups the substitutes of the platform.
type StandinCommand struct {
	Store *StandinStoreCommand `arg:"subcommand:store" help:"run a substitute of the platform's key-value service and host list"`
	Group *StandinGroupCommand `arg:"subcommand:group" help:"run a substitute of a database group"`
}

// Examples are shown in the help.
func (*StandinCommand) Examples() string {
	return (&StandinStoreCommand{}).Examples() + "\n" + (&StandinGroupCommand{}).Examples()
}

// Run says that a stand-in has to be named.
func (*StandinCommand) Run(context.Context, *Env) error {
	return Usagef("name a stand-in: see limpetspan standin --help")
}

// standinHeaderTimeout bounds the header of an HTTP request to a stand-in.
const standinHeaderTimeout = 10 * time.Second

// StandinStoreCommand runs the store's stand-in.
type StandinStoreCommand struct {
	Listen  string        `arg:"--listen" default:"127.0.0.1:0" placeholder:"ADDR" help:"address of the key-value service; port 0 takes a free one"`
	Control string        `arg:"--control" default:"127.0.0.1:0" placeholder:"ADDR" help:"address of the fault injection; GET / there lists the faults"`
	HostLag time.Duration `arg:"--host-lag" default:"0s" placeholder:"D" help:"how late changes of the host list appear"`
}

// Examples are shown in the help.
func (*StandinStoreCommand) Examples() string {
	return `limpetspan standin store --listen 127.0.0.1:2379 --control 127.0.0.1:2380
limpetspan standin store --host-lag 5s`
}

// standinStoreReady is the first line on stdout.
type standinStoreReady struct {
	Ready   bool   `json:"ready"`
	Store   string `json:"store"`
	Control string `json:"control"`
}

// Run serves until ctx ends.
func (c *StandinStoreCommand) Run(ctx context.Context, env *Env) error {
	engine := standinstore.NewEngine(standinstore.SystemClock{})
	server, hosts := standinstore.NewServer(engine), standinstore.NewHostList(engine)
	hosts.SetLag(c.HostLag)
	mux := control.New()
	standinstore.Register(mux, server, hosts)

	serving := newHTTPServing(ctx)
	defer serving.close()
	addr, err := serving.serve(c.Listen, server)
	if err != nil {
		return Failedf("listen: %w", err)
	}
	controlAddr, err := serving.serve(c.Control, mux)
	if err != nil {
		return Failedf("listen for fault injection: %w", err)
	}
	if err := env.WriteJSON(standinStoreReady{Ready: true, Store: "http://" + addr, Control: controlAddr}); err != nil {
		return err
	}
	return serving.wait()
}

// StandinGroupCommand runs a database group's stand-in.
type StandinGroupCommand struct {
	ID          string        `arg:"--id" default:"parkdb-1" placeholder:"GROUP" help:"name of the group, part of the fault injection's paths"`
	Members     []string      `arg:"--member,separate" placeholder:"ID=ADDR@ZONE" help:"a member, the first starts as primary; port 0 takes a free one [default: m1, m2 and m3 on free ports]"`
	Control     string        `arg:"--control" default:"127.0.0.1:0" placeholder:"ADDR" help:"address of the fault injection; GET / there lists the faults"`
	Slots       int           `arg:"--slots" default:"3" placeholder:"N" help:"statements that one member runs at a time"`
	Connections int           `arg:"--connections" default:"20" placeholder:"N" help:"connections over all members"`
	ConnectCost time.Duration `arg:"--connect-cost" default:"12ms" placeholder:"D" help:"delay of a new connection"`
	Latency     time.Duration `arg:"--latency" default:"0s" placeholder:"D" help:"one-way network latency"`
	ServiceTime time.Duration `arg:"--service-time" default:"0s" placeholder:"D" help:"time for which each statement takes its slot"`
	Lag         time.Duration `arg:"--lag" default:"0s" placeholder:"D" help:"replication lag"`
	Seed        uint64        `arg:"--seed" default:"1" placeholder:"N" help:"seed of the jitter of the lag"`
	User        string        `arg:"--user" default:"limpetspan" placeholder:"NAME" help:"user that clients must give; no password is asked for"`
	Database    string        `arg:"--database" placeholder:"NAME" help:"database that clients must give [default: any]"`
}

// Examples are shown in the help.
func (*StandinGroupCommand) Examples() string {
	return `limpetspan standin group --id parkdb-1 --database park
limpetspan standin group --id ring-ledger-1 --slots 2 --connections 30 --lag 20ms \
    --member a=127.0.0.1:5441@ring-hall --member b=127.0.0.1:5442@weigh-shed --member c=127.0.0.1:0@ring-office`
}

// defaultMembers are used when none is given.
var defaultMembers = []string{"m1=127.0.0.1:0@sapporo-hall", "m2=127.0.0.1:0@asahikawa", "m3=127.0.0.1:0@hakodate"}

// standinMember is one member of the first line on stdout.
type standinMember struct {
	ID   core.MemberID `json:"id"`
	Addr string        `json:"addr"`
	Zone core.Zone     `json:"zone"`
}

// standinGroupReady is the first line on stdout.
type standinGroupReady struct {
	Ready   bool            `json:"ready"`
	Group   string          `json:"group"`
	Members []standinMember `json:"members"`
	Control string          `json:"control"`
}

// Run serves until ctx ends.
func (c *StandinGroupCommand) Run(ctx context.Context, env *Env) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	group, err := target.NewGroup(options)
	if err != nil {
		return Usagef("%w", err)
	}
	defer group.Close()
	if err := group.Start(ctx); err != nil {
		return Failedf("%w", err)
	}
	mux := control.New()
	group.Faults().Register(mux, "/target/"+c.ID)
	serving := newHTTPServing(ctx)
	defer serving.close()
	ready := standinGroupReady{Ready: true, Group: c.ID}
	if ready.Control, err = serving.serve(c.Control, mux); err != nil {
		return Failedf("listen for fault injection: %w", err)
	}
	for _, m := range group.Members() {
		ready.Members = append(ready.Members, standinMember{ID: m.ID(), Addr: m.Addr(), Zone: m.Zone()})
	}
	if err := env.WriteJSON(ready); err != nil {
		return err
	}
	return serving.wait()
}

func (c *StandinGroupCommand) options() (target.Options, error) {
	o := target.Options{
		Slots: c.Slots, MaxConnections: c.Connections, ConnectCost: c.ConnectCost, Latency: c.Latency,
		ServiceTime: c.ServiceTime, Seed: c.Seed, User: c.User, Database: c.Database,
	}
	if c.Slots < 1 || c.Connections < 1 {
		return o, Usagef("--slots and --connections are above zero")
	}
	members := c.Members
	if len(members) == 0 {
		members = defaultMembers
	}
	for _, text := range members {
		id, place, named := strings.Cut(text, "=")
		addr, zone, placed := strings.Cut(place, "@")
		if _, _, err := net.SplitHostPort(addr); !named || !placed || err != nil {
			return o, Usagef("--member %s: not of the form ID=ADDR@ZONE", text)
		}
		o.Members = append(o.Members, target.MemberOptions{
			ID: core.MemberID(id), Zone: core.Zone(zone), Listen: addr, Lag: target.Lag{Fixed: c.Lag},
		})
	}
	return o, nil
}

// httpServing is a set of HTTP servers that end together.
type httpServing struct {
	parts   *errgroup.Group
	ctx     context.Context
	servers []*http.Server
}

func newHTTPServing(ctx context.Context) *httpServing {
	parts, ctx := errgroup.WithContext(ctx)
	return &httpServing{parts: parts, ctx: ctx}
}

// serve answers at the address and returns the one that was bound.
func (s *httpServing) serve(addr string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: standinHeaderTimeout}
	s.servers = append(s.servers, server)
	s.parts.Go(func() error {
		if err := server.Serve(ln); err != http.ErrServerClosed {
			return fmt.Errorf("serve %s: %w", ln.Addr(), err)
		}
		return nil
	})
	return ln.Addr().String(), nil
}

// wait returns when the context ends or a server fails.
func (s *httpServing) wait() error {
	<-s.ctx.Done()
	s.close()
	return s.parts.Wait()
}

func (s *httpServing) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}
