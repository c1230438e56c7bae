package failover

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"limpetspan/pkg/bench/result"
)

const (
	// startTimeout bounds the start of the fleet.
	startTimeout = 30 * time.Second
	// gapBound is the longest gap that is waited for.
	gapBound = 30 * time.Second
	// allCallersBound is the longest wait for the last of the callers.
	allCallersBound = 15 * time.Second
	// wholeBound is how long the group may take to be whole after the fault.
	wholeBound = 45 * time.Second
	// calm is the pause between the end of one run and the next fault, and
	// pauseRest how long a paused primary sleeps beyond the gap.
	calm      = time.Second
	pauseRest = 500 * time.Millisecond
)

// bench is a measurement under way.
type bench struct {
	options Options
	fleet   *fleet
	ledger  *ledger
}

// Measure carries out a measurement.
func Measure(ctx context.Context, o Options) (*Report, error) {
	if err := o.complete(); err != nil {
		return nil, fmt.Errorf("failover: %w", err)
	}
	report := &Report{Head: result.Begin(o.Command), Profile: o.Profile.Name, Callers: o.Callers}
	fleetOptions := o.Profile.Fleet
	fleetOptions.Log, fleetOptions.LogLevel = o.Log, o.LogLevel
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := startFleet(starting, fleetOptions)
	if err != nil {
		return nil, fmt.Errorf("failover: %w", err)
	}
	defer f.Close()
	b := &bench{options: o, fleet: f, ledger: &ledger{}}
	if err := b.createTable(ctx); err != nil {
		return nil, fmt.Errorf("failover: create table: %w", err)
	}
	runs, err := b.runAll(ctx, report)
	if err != nil {
		return nil, fmt.Errorf("failover: %w", err)
	}
	report.summarize(runs, o.Faults)
	b.ledger.fill(report)
	report.Stalls = stalls(b.ledger.since(0), runs)
	if err := b.check(ctx, report); err != nil {
		return nil, err
	}
	report.End()
	return report, nil
}

func (b *bench) createTable(ctx context.Context) error {
	return exec(ctx, b.fleet.url(0), createSQL)
}

// runAll starts the callers, carries out the runs and lets the callers end.
func (b *bench) runAll(ctx context.Context, report *Report) ([]run, error) {
	writing, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	defer callers.Wait()
	defer stop()
	for i := range b.options.Callers {
		c := &caller{number: i, once: i%2 == 0, latency: b.options.Profile.CallerLatency, fleet: b.fleet, ledger: b.ledger}
		callers.Go(func() { c.run(writing) })
	}
	time.Sleep(calm)
	var runs []run
	for i := range b.options.Runs {
		fault := b.options.Faults[i%len(b.options.Faults)]
		r, whole, err := b.run(ctx, fault)
		if err != nil {
			return nil, fmt.Errorf("run %d, %s: %w", i, fault, err)
		}
		runs = append(runs, r)
		fmt.Fprintf(b.options.Progress, "run %d, %s: gap %v, all callers %v\n", i, fault, r.gap, r.allCallers)
		if !whole {
			report.NotWhole++
			fmt.Fprintf(b.options.Progress, "run %d, %s: the group is not whole after %v: %s\n", i, fault, wholeBound, b.describe())
			break
		}
	}
	return runs, nil
}

// run injects one fault, takes the gap and waits for the whole group.
func (b *bench) run(ctx context.Context, fault Fault) (run, bool, error) {
	place, began := b.ledger.place(), time.Now()
	heal, err := b.fleet.inject(fault)
	if err != nil {
		return run{}, false, err
	}
	again := func(callers int) func() bool {
		return func() bool { return len(b.firstAfter(place, began)) >= callers }
	}
	served := poll(ctx, gapBound, again(1))
	if fault == Pause {
		time.Sleep(pauseRest)
	}
	poll(ctx, allCallersBound, again(b.options.Callers))
	if err := heal(); err != nil {
		return run{}, false, fmt.Errorf("heal: %w", err)
	}
	r := run{fault: fault, began: began, gap: time.Since(began)}
	if first := b.firstAfter(place, began); len(first) > 0 {
		r.gap, r.allCallers = slices.Min(first), slices.Max(first)
	}
	whole := served && b.wholeAgain(ctx)
	time.Sleep(calm)
	return r, whole, ctx.Err()
}

// wholeAgain waits until all members follow the primary and every daemon serves.
func (b *bench) wholeAgain(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, wholeBound)
	defer cancel()
	if !poll(ctx, wholeBound, b.fleet.whole) {
		fmt.Fprintln(b.options.Progress, "not all members follow the primary")
		return false
	}
	if err := b.fleet.WaitReady(ctx); err != nil {
		fmt.Fprintln(b.options.Progress, err)
		return false
	}
	return true
}

// firstAfter returns how long after began each caller was first told that a
// write which was committed after began is acknowledged.
func (b *bench) firstAfter(place int, began time.Time) []time.Duration {
	late := map[string]bool{}
	for _, r := range b.fleet.group.Journal().Records() {
		if !r.At.After(began) {
			continue
		}
		for _, s := range r.Statements {
			if id, ok := idOf(s); ok {
				late[id] = true
			}
		}
	}
	first := map[int]time.Duration{}
	for _, ack := range b.ledger.since(place) {
		if _, seen := first[ack.caller]; !seen && late[ack.id] {
			first[ack.caller] = ack.at.Sub(began) + b.options.Profile.CallerLatency
		}
	}
	var all []time.Duration
	for _, d := range first {
		all = append(all, d)
	}
	return all
}

// check compares what callers were told with what the group holds at the end.
func (b *bench) check(ctx context.Context, report *Report) error {
	if !poll(ctx, wholeBound, b.fleet.whole) {
		report.NotWhole++
	}
	primary := b.fleet.primary()
	if primary == nil {
		return fmt.Errorf("failover: no primary at the end: %s", b.describe())
	}
	report.Check = check(b.ledger.since(0), b.fleet.group.Journal().Records(), primary.Log())
	return nil
}

// describe tells the state of the members.
func (b *bench) describe() string {
	text := ""
	for _, m := range b.fleet.group.Members() {
		s := m.Status()
		text += fmt.Sprintf("%s %s term %d log %d/%d; ", m.ID(), s.Role, s.Term, s.LogTerm, s.LSN)
	}
	return text
}
