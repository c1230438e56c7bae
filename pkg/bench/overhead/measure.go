package overhead

import (
	"context"
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/jackc/pgx/v5"

	"limpetspan/pkg/bench/result"
	"limpetspan/pkg/embedded"
	"limpetspan/standin/target"
)

const (
	startTimeout = 30 * time.Second
	// spareConnections are for probes and for connections that are replaced.
	spareConnections = 16
	// ways are direct, relayed and through the daemon.
	ways = 3
	// warmUp is the length of the first slice of each way, which is not counted.
	warmUp = 500 * time.Millisecond
)

// Measure carries out a measurement.
func Measure(ctx context.Context, o Options) (*Report, error) {
	o.complete()
	report := &Report{Head: result.Begin(o.Command), CPU: cpuMethod}
	for i, callers := range o.Callers {
		f, err := o.measure(ctx, callers, i == len(o.Callers)-1)
		if err != nil {
			return nil, fmt.Errorf("overhead: %d callers: %w", callers, err)
		}
		report.Cases = append(report.Cases, f)
		fmt.Fprintf(o.Progress, "%d callers: ratio %.3f (%.3f to the relay), p50 +%.0f us, p99 +%.0f us, %.1f us of processor time per statement\n",
			callers, f.ThroughputRatio, f.RatioToRelay, f.P50AddedUs, f.P99AddedUs, f.CPUPerStatementUs)
	}
	report.End()
	return report, nil
}

// measure compares the ways for one number of callers. profiled takes the CPU
// profile, if one is asked for.
func (o *Options) measure(ctx context.Context, callers int, profiled bool) (Figure, error) {
	fleet, err := start(ctx, callers)
	if err != nil {
		return Figure{}, err
	}
	defer fleet.Close()
	direct, err := connect(ctx, callers, memberURL(fleet, fleet.Group("group-1").Members()[0].Addr()))
	if err != nil {
		return Figure{}, fmt.Errorf("direct: %w", err)
	}
	defer closeAll(direct)
	proxied, err := connect(ctx, callers, fleet.URL(fleet.Daemons()[0]))
	if err != nil {
		return Figure{}, err
	}
	defer closeAll(proxied)
	relay, err := newRelay(fleet.Group("group-1").Members()[0].Addr())
	if err != nil {
		return Figure{}, err
	}
	defer relay.close()
	relayed, err := connect(ctx, callers, memberURL(fleet, relay.listener.Addr().String()))
	if err != nil {
		return Figure{}, fmt.Errorf("relay: %w", err)
	}
	defer closeAll(relayed)
	for _, conns := range [][]*pgx.Conn{direct, relayed, proxied} {
		if _, err := run(ctx, conns, warmUp); err != nil {
			return Figure{}, err
		}
	}
	var rounds []round
	for range o.Rounds {
		var p round
		if p.direct, err = run(ctx, direct, o.Slice); err != nil {
			return Figure{}, err
		}
		if p.relay, err = run(ctx, relayed, o.Slice); err != nil {
			return Figure{}, err
		}
		if p.proxy, err = o.runProxied(ctx, proxied, profiled && len(rounds) == 0); err != nil {
			return Figure{}, err
		}
		rounds = append(rounds, p)
	}
	return figure(callers, rounds), nil
}

// runProxied runs a slice through the daemon, under the profiler if asked to.
func (o *Options) runProxied(ctx context.Context, conns []*pgx.Conn, profiled bool) (slice, error) {
	if !profiled || o.Profile == "" {
		return run(ctx, conns, o.Slice)
	}
	file, err := os.Create(o.Profile)
	if err != nil {
		return slice{}, err
	}
	defer file.Close()
	if err := pprof.StartCPUProfile(file); err != nil {
		return slice{}, err
	}
	defer pprof.StopCPUProfile()
	return run(ctx, conns, o.Slice)
}

// start runs one daemon before one group of one member that is as fast as it
// can be. Each caller may have a target connection of its own.
func start(ctx context.Context, callers int) (*embedded.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return embedded.Start(ctx, embedded.Options{
		User: "rider", Password: "demo", Database: "park",
		Daemons: []embedded.Place{{ID: "d1", Zone: "zone-1"}},
		Groups: []embedded.GroupOptions{{
			ID: "group-1", Members: []embedded.Place{{ID: "m1", Zone: "zone-1"}},
			// All ways hold their connections at the same time.
			Target: target.Options{Slots: callers, MaxConnections: ways*callers + spareConnections, Cheap: true, Seed: 1},
		}},
	})
}

// memberURL connects to the member at an address; it asks for no password.
func memberURL(f *embedded.Fleet, addr string) string {
	return fmt.Sprintf("postgres://limpetspan@%s/%s?sslmode=disable&application_name=bench", addr, f.Options.Database)
}

func connect(ctx context.Context, n int, url string) ([]*pgx.Conn, error) {
	var all []*pgx.Conn
	for range n {
		conn, err := pgx.Connect(ctx, url)
		if err != nil {
			closeAll(all)
			return nil, err
		}
		all = append(all, conn)
	}
	return all, nil
}

func closeAll(conns []*pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, conn := range conns {
		_ = conn.Close(ctx)
	}
}
