package config

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/bench/result"
	"limpetspan/pkg/embedded"
	standinstore "limpetspan/standin/store"
)

const (
	// startTimeout bounds the start of the fleet, freshTimeout that of one
	// daemon with the store down.
	startTimeout = 60 * time.Second
	freshTimeout = 30 * time.Second
	// turns is how often the daemons that are cut off change.
	turns = 4
	// notice is the pause after a cut, longer than a call to the store waits.
	notice = 4 * time.Second
)

// bench is a measurement under way.
type bench struct {
	options Options
	fleet   *embedded.Fleet
	probes  []*probe
	changes int
	report  *Report
	// cut and others are times with daemons cut off.
	cut, others []time.Duration
}

// Measure carries out a measurement.
func Measure(ctx context.Context, o Options) (*Report, error) {
	if err := o.complete(); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	b := &bench{options: o, report: &Report{Head: result.Begin(o.Command), Daemons: o.Daemons, Changes: 2*o.Changes + o.WatcherChanges}}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var err error
	if b.fleet, err = embedded.Start(starting, fleetOf(o)); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	defer b.fleet.Close()
	defer b.closeProbes()
	for _, step := range []func(context.Context) error{b.connect, b.storeUp, b.cutOff, b.watchersCutOff, b.storeDown} {
		if err := step(ctx); err != nil {
			return nil, fmt.Errorf("config: %w", err)
		}
	}
	for _, p := range b.probes {
		b.report.Reverted += p.reverted
	}
	b.report.End()
	return b.report, nil
}

// fleetOf spreads the daemons over the zones of the first users.
func fleetOf(o Options) embedded.Options {
	f := embedded.Kitacycle(embedded.KitacycleLatency)
	places := f.Daemons
	f.Daemons = nil
	for i := range o.Daemons {
		f.Daemons = append(f.Daemons, embedded.Place{ID: fmt.Sprint("d", i+1), Zone: places[i%len(places)].Zone})
	}
	f.StoreLinks, f.Log = true, o.Log
	return f
}

func (b *bench) connect(ctx context.Context) error {
	for _, d := range b.fleet.Daemons() {
		p := &probe{fleet: b.fleet, daemon: d}
		if err := p.connect(ctx); err != nil {
			return err
		}
		b.probes = append(b.probes, p)
	}
	return nil
}

func (b *bench) closeProbes() {
	for _, p := range b.probes {
		p.close()
	}
}

// storeUp changes the configuration with the store up.
func (b *bench) storeUp(ctx context.Context) error {
	before := callsOf(b.fleet.Store)
	var all []time.Duration
	for range b.options.Changes {
		took, err := b.change(ctx)
		if err != nil {
			return err
		}
		for _, d := range took {
			all = append(all, d)
		}
	}
	after := callsOf(b.fleet.Store)
	b.report.StoreUp = timesOf(all)
	b.report.StoreCallsPerChange = float64(after.all-before.all) / float64(b.options.Changes)
	b.report.StoreWritesPerChange = float64(after.writes-before.writes) / float64(b.options.Changes)
	fmt.Fprintf(b.options.Progress, "store up: p99 %.0f ms\n", b.report.StoreUp.P99Ms)
	return nil
}

// cutOff changes the configuration while some daemons are cut off from the
// store. The choice moves on, so that those that watch the store are among
// them as well as those that do not.
func (b *bench) cutOff(ctx context.Context) error {
	for turn := range turns {
		cut := map[*probe]bool{}
		for i := range cutDaemons {
			cut[b.probes[(turn*cutDaemons+i)%len(b.probes)]] = true
		}
		if err := b.during(ctx, cut, b.options.Changes/turns, &b.cut, &b.others); err != nil {
			return err
		}
	}
	b.report.CutOff, b.report.Others = timesOf(b.cut), timesOf(b.others)
	fmt.Fprintf(b.options.Progress, "cut off: p99 %.0f ms\n", b.report.CutOff.P99Ms)
	return nil
}

// watchersCutOff cuts off all daemons that watch the store.
func (b *bench) watchersCutOff(ctx context.Context) error {
	watchers := map[*probe]bool{}
	for _, p := range b.probes {
		if p.daemon.StoreLink.Watches() {
			watchers[p] = true
		}
	}
	var took []time.Duration
	if err := b.during(ctx, watchers, b.options.WatcherChanges, &took, &took); err != nil {
		return err
	}
	b.report.Watchers, b.report.WatchersCutOff = len(watchers), timesOf(took)
	fmt.Fprintf(b.options.Progress, "all %d watchers cut off: p99 %.0f ms\n", len(watchers), b.report.WatchersCutOff.P99Ms)
	return nil
}

// during makes changes while the daemons are cut off, the second half once
// they have noticed, and sorts the times.
func (b *bench) during(ctx context.Context, isCut map[*probe]bool, changes int, cut, others *[]time.Duration) error {
	for p := range isCut {
		p.daemon.StoreLink.Cut()
	}
	defer func() {
		for p := range isCut {
			p.daemon.StoreLink.Restore()
		}
	}()
	for i := range changes {
		if i > 0 && i == changes/2 {
			time.Sleep(notice)
		}
		took, err := b.change(ctx)
		if err != nil {
			return err
		}
		for p, d := range took {
			if isCut[p] {
				*cut = append(*cut, d)
			} else {
				*others = append(*others, d)
			}
		}
	}
	return nil
}

// change makes one change and returns how long each daemon took to follow.
func (b *bench) change(ctx context.Context) (map[*probe]time.Duration, error) {
	b.changes++
	old, version := b.version(b.changes-1), b.version(b.changes)
	err := b.fleet.Change(ctx, "versions in service", func(doc *config.Document) {
		doc.Kinds = map[string]*config.Kind{kind: {Group: b.group(), Versions: []string{version}, Durable: true}}
	})
	if err != nil {
		return nil, err
	}
	accepted := time.Now()
	took := map[*probe]time.Duration{}
	var mu sync.Mutex
	b.each(func(p *probe) {
		seen, err := p.await(ctx, version)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			b.report.Missed++
			fmt.Fprintf(b.options.Progress, "daemon %s missed change %d: %v\n", p.daemon.Place.ID, b.changes, err)
			return
		}
		took[p] = seen.Sub(accepted)
	})
	b.each(func(p *probe) {
		if _, followed := took[p]; !followed {
			return
		}
		if served, err := p.serves(ctx, old); served && err == nil {
			p.reverted++
		}
	})
	return took, ctx.Err()
}

// version is the one that is in service after the n-th change.
func (b *bench) version(n int) string { return fmt.Sprint(1 + n%2) }

func (b *bench) group() core.GroupID { return b.fleet.Options.Groups[0].ID }

func (b *bench) each(do func(*probe)) {
	var g errgroup.Group
	for _, p := range b.probes {
		g.Go(func() error {
			do(p)
			return nil
		})
	}
	_ = g.Wait()
}

// storeDown starts daemons while the store answers nothing.
func (b *bench) storeDown(ctx context.Context) error {
	if err := b.fleet.Store.SetOutage(standinstore.OutageSilent); err != nil {
		return err
	}
	for i := range b.options.Starts {
		took, err := b.fresh(ctx, i)
		if err != nil {
			return err
		}
		b.report.FreshMs = append(b.report.FreshMs, result.Milliseconds(took))
		fmt.Fprintf(b.options.Progress, "a daemon that starts with the store down serves after %v\n", took.Round(time.Millisecond))
	}
	return b.fleet.Store.SetOutage(standinstore.OutageNone)
}

// fresh returns how long a new daemon took to serve under the configuration in
// force, and stops it.
func (b *bench) fresh(ctx context.Context, n int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, freshTimeout)
	defer cancel()
	began := time.Now()
	zone := b.fleet.Options.Daemons[n%len(b.fleet.Options.Daemons)].Zone
	d, err := b.fleet.StartDaemon(embedded.Place{ID: fmt.Sprint("fresh", n+1), Zone: zone})
	if err != nil {
		return 0, err
	}
	if err := b.fleet.WaitReady(ctx); err != nil {
		return 0, err
	}
	p := &probe{fleet: b.fleet, daemon: d}
	defer p.close()
	if _, err := p.await(ctx, b.version(b.changes)); err != nil {
		return 0, fmt.Errorf("daemon %s: %w", d.Place.ID, err)
	}
	took := time.Since(began)
	if served, err := p.serves(ctx, b.version(b.changes-1)); served && err == nil {
		b.report.Reverted++
	}
	return took, b.fleet.Stop(d)
}

// calls are counts of the store's calls.
type calls struct{ all, writes int64 }

func callsOf(s *standinstore.Server) calls {
	var c calls
	for k, n := range s.Counts().Calls {
		c.all += n
		if k.IsWrite() {
			c.writes += n
		}
	}
	return c
}
