package suite

import (
	"context"
	"io"
	"time"

	"limpetspan/pkg/bench/failover"
	"limpetspan/pkg/bench/home"
	"limpetspan/pkg/bench/idle"
	"limpetspan/pkg/bench/overhead"
	"limpetspan/pkg/bench/profile"
	"limpetspan/pkg/bench/reads"
	"limpetspan/pkg/bench/reducer"
)

// Sizes of the short form.
const (
	shortRuns        = 10
	shortSlice       = reads.DefaultSlice
	shortOverhead    = 500 * time.Millisecond
	shortRounds      = 3
	shortConnections = 2000
	shortWindow      = 4 * time.Second
	shortCycles      = 50_000
)

// report is what a bench gives.
type report interface{ Plot(file string) error }

// bench is one bench of the suite; its name is that of the files.
type bench struct {
	name string
	run  func(ctx context.Context, progress io.Writer, command string) (report, error)
}

// benches in the order in which they run, one at a time.
var benches = []bench{
	{"reducer", func(_ context.Context, _ io.Writer, command string) (report, error) {
		return reducer.Measure(reducer.Options{Cycles: shortCycles, Command: command})
	}},
	{"failover-kitacycle", failoverOf(profile.Kitacycle)},
	{"failover-auction", failoverOf(profile.Auction)},
	{"reads-auction", readsOf(profile.Auction)},
	{"reads-kitacycle", readsOf(profile.Kitacycle)},
	{"overhead", func(ctx context.Context, progress io.Writer, command string) (report, error) {
		return overhead.Measure(ctx, overhead.Options{Slice: shortOverhead, Rounds: shortRounds, Command: command, Progress: progress})
	}},
	{"idle", func(ctx context.Context, progress io.Writer, command string) (report, error) {
		return idle.Measure(ctx, idle.Options{Connections: shortConnections, Command: command, Progress: progress})
	}},
	{"home", func(ctx context.Context, progress io.Writer, command string) (report, error) {
		return home.Measure(ctx, home.Options{Window: shortWindow, Command: command, Progress: progress})
	}},
}

func failoverOf(name string) func(context.Context, io.Writer, string) (report, error) {
	return func(ctx context.Context, progress io.Writer, command string) (report, error) {
		p, err := profile.Named(name)
		if err != nil {
			return nil, err
		}
		return failover.Measure(ctx, failover.Options{Profile: p, Runs: shortRuns, Command: command, Progress: progress})
	}
}

func readsOf(name string) func(context.Context, io.Writer, string) (report, error) {
	return func(ctx context.Context, progress io.Writer, command string) (report, error) {
		p, err := profile.Named(name)
		if err != nil {
			return nil, err
		}
		return reads.Measure(ctx, reads.Options{Profile: p, Slice: shortSlice, Rounds: 1, Command: command, Progress: progress})
	}
}
