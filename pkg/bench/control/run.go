package control

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"
)

// Measure runs all sizes one after the other.
func Measure(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	r := &Report{
		Command: o.Command, Date: time.Now().UTC().Format(time.RFC3339), Go: runtime.Version(),
		CPUs: runtime.NumCPU(), GOMAXPROCS: runtime.GOMAXPROCS(0), Network: "udp loopback",
		LatencyMS: float64(o.Latency) / float64(time.Millisecond), Signed: len(o.Key) > 0, Fanout: o.Fanout,
		FetchDelayMS: float64(o.FetchDelay) / float64(time.Millisecond),
	}
	if o.Memory {
		r.Network = "memory"
	}
	// Taken once: what is left of an earlier size must not count as the base.
	baseHeap := liveHeap()
	for _, sz := range o.sizes() {
		run, err := measure(ctx, &o, sz, baseHeap)
		if err != nil {
			return r, fmt.Errorf("bench control: %d daemons, %d groups: %w", sz.daemons, sz.groups, err)
		}
		r.Runs = append(r.Runs, *run)
	}
	r.Slopes = fits(r.Runs)
	return r, nil
}

func measure(ctx context.Context, o *Options, sz size, baseHeap float64) (*Run, error) {
	o.progress("%d daemons, %d groups: starting", sz.daemons, sz.groups)
	start := time.Now()
	s, err := newSimulation(ctx, o, sz, baseHeap)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	run := &Run{Daemons: sz.daemons, Groups: sz.groups, Regions: o.Regions, Zones: o.Zones, SetupS: time.Since(start).Seconds()}
	s.sleep(o.Settle)
	for _, name := range Scenarios {
		if !slices.Contains(o.Scenarios, name) || ctx.Err() != nil {
			continue
		}
		o.progress("%d daemons, %d groups: %s", sz.daemons, sz.groups, name)
		if err := s.scenario(name, run); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return run, ctx.Err()
}

func (s *simulation) scenario(name string, run *Run) (err error) {
	switch name {
	case ScenarioSteady:
		run.Steady = s.steady()
	case ScenarioConfig:
		run.Config = s.config()
	case ScenarioRestarts:
		run.Restarts, err = s.restarts()
	case ScenarioZone:
		run.Zone, err = s.zone()
	case ScenarioRegion:
		run.Region = s.region()
	}
	return err
}
