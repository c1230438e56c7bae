package reads

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"limpetspan/pkg/bench/result"
)

// noWait as MaxReadWait lets no read wait for a replica.
const noWait = -1

// bench is a measurement under way.
type bench struct {
	options Options
	// tracked serves all policies but NoWait, which needs another tuning.
	tracked, unwaiting *fleet
	ticks              map[*fleet]int64
	tallies            tallies
	broken             []string
	slices             int
}

// Measure carries out a measurement.
func Measure(ctx context.Context, o Options) (*Report, error) {
	o.complete()
	report := &Report{Head: result.Begin(o.Command), Profile: o.Profile.Name}
	b := &bench{options: o, ticks: map[*fleet]int64{}, tallies: tallies{}}
	if err := b.start(ctx); err != nil {
		return nil, fmt.Errorf("reads: %w", err)
	}
	defer b.close()
	for _, s := range scenarios {
		for range o.Rounds {
			for _, p := range policies {
				if err := b.slice(ctx, s, p); err != nil {
					return nil, fmt.Errorf("reads: %s, %s: %w", s.Name, p, err)
				}
			}
		}
	}
	b.tallies.fill(report)
	report.Broken = b.broken
	report.End()
	return report, nil
}

func (b *bench) start(ctx context.Context) error {
	var err error
	if b.tracked, err = startFleet(ctx, b.options.Profile, 0); err != nil {
		return err
	}
	if b.unwaiting, err = startFleet(ctx, b.options.Profile, noWait); err != nil {
		b.tracked.Close()
	}
	return err
}

func (b *bench) close() {
	b.tracked.Close()
	b.unwaiting.Close()
}

// slice runs one policy in one scenario for a while and judges the answers.
func (b *bench) slice(ctx context.Context, s Scenario, p Policy) error {
	f := b.tracked
	if p == NoWait {
		f = b.unwaiting
	}
	if err := f.setLag(s); err != nil {
		return err
	}
	b.slices++
	callers, err := b.callers(ctx, f, p)
	if err != nil {
		return err
	}
	before := f.replicaStatements()
	if err := b.load(ctx, f, callers); err != nil {
		return err
	}
	t := &tally{replica: int(f.replicaStatements() - before)}
	check := newChecker(f.group.Journal().Records())
	for _, c := range callers {
		check.check(c.answers, t)
		t.failed += c.failed
		c.close()
	}
	b.broken = append(b.broken, check.broken...)
	b.tallies.of(s.Name, p).add(t)
	figures := t.figures()
	fmt.Fprintf(b.options.Progress, "%s, %s: %d reads, %.3f by replicas, %d stale, p50 %.1f ms\n",
		s.Name, p, figures.Reads, figures.ReplicaShare, figures.StaleReads, figures.P50Ms)
	return nil
}

// callers returns the writers, then the buyers, connected. Sessions are new in
// each slice.
func (b *bench) callers(ctx context.Context, f *fleet, p Policy) ([]*caller, error) {
	var all []*caller
	for i := range writers + buyers {
		c := &caller{session: fmt.Sprintf("slice %d caller %d", b.slices, i), policy: p, latency: b.options.Profile.CallerLatency, turn: i}
		if err := c.connect(ctx, f); err != nil {
			return nil, err
		}
		all = append(all, c)
	}
	return all, nil
}

// load lets the callers work for a slice.
func (b *bench) load(ctx context.Context, f *fleet, callers []*caller) error {
	ctx, cancel := context.WithTimeout(ctx, b.options.Slice)
	defer cancel()
	var work errgroup.Group
	work.Go(func() error {
		n, err := tick(ctx, f, b.ticks[f])
		b.ticks[f] = n
		return err
	})
	for i, c := range callers {
		work.Go(func() error {
			if i < writers {
				c.write(ctx)
			} else {
				c.browse(ctx)
			}
			return nil
		})
	}
	return work.Wait()
}
