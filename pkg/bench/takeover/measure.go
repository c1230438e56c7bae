package takeover

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"limpetspan/core/config"
	"limpetspan/pkg/bench/result"
	standinstore "limpetspan/standin/store"
)

const (
	// warmUp is when callers and pools open their connections.
	warmUp = 2 * time.Second
	// settleTime lets buckets that are held be opened after a pause.
	settleTime = 2 * time.Second
)

// bench is a measurement under way.
type bench struct {
	options Options
	fleet   *fleet
	callers []*caller
	conn    *pgx.Conn
	report  *Report
	// takeover is its declaration at the end.
	takeover              *config.Takeover
	before, during, after *phase
}

// Measure carries out a measurement.
func Measure(ctx context.Context, o Options) (*Report, error) {
	if err := o.complete(); err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	b := &bench{options: o, before: newPhase(), during: newPhase(), after: newPhase(),
		report: &Report{Head: result.Begin(o.Command), Daemons: o.Daemons, Callers: o.Callers, Buckets: o.Buckets, Faults: o.Faults, Records: o.Records}}
	var err error
	if b.fleet, err = startFleet(ctx, o); err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	defer b.fleet.Close()
	for i := range o.Callers {
		b.callers = append(b.callers, newCaller(i, b.fleet, o.Records, o.Callers))
	}
	defer b.closeCallers()
	marker.Store(int64(o.Records))
	if err := b.steps(ctx); err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	b.report.End()
	return b.report, nil
}

func (b *bench) closeCallers() {
	for _, c := range b.callers {
		c.close()
	}
}

func (b *bench) steps(ctx context.Context) error {
	b.say("%d records are in place", b.options.Records)
	calm := func(ctx context.Context) error { return sleep(ctx, b.options.Calm) }
	warming := func(ctx context.Context) error { return sleep(ctx, warmUp) }
	if err := newPhase().during(ctx, b.callers, warming); err != nil {
		return err
	}
	if err := b.before.during(ctx, b.callers, calm); err != nil {
		return err
	}
	b.say("without a take-over: p99 %.1f ms of %d requests", percentileMs(b.before.took, 0.99), len(b.before.took))
	if err := b.during.during(ctx, b.callers, b.takeOver); err != nil {
		return err
	}
	b.say("with it: p99 %.1f ms of %d requests; %v", percentileMs(b.during.took, 0.99), len(b.during.took), sorted(b.during.errors))
	if err := b.after.during(ctx, b.callers, calm); err != nil {
		return err
	}
	if len(b.before.took) == 0 || len(b.during.took) == 0 || len(b.after.took) == 0 {
		return errNoRequests
	}
	b.summarize()
	return b.audit(ctx)
}

// takeOver moves the records and returns when all have moved or time is up.
func (b *bench) takeOver(ctx context.Context) error {
	writes := storeWrites(b.fleet.Store)
	began := time.Now()
	err := b.fleet.Change(ctx, "the take-over starts", func(doc *config.Document) {
		doc.Takeovers = map[string]*config.Takeover{kind: b.fleet.plan()}
	})
	if err != nil {
		return err
	}
	if err := b.await(ctx, began); err != nil {
		return err
	}
	b.report.Seconds = time.Since(began).Seconds()
	b.report.StoreWrites = storeWrites(b.fleet.Store) - writes
	b.report.StoreWritesPS = float64(b.report.StoreWrites) / b.report.Seconds
	if b.report.Complete = b.takeover.State == config.TakeoverComplete; !b.report.Complete {
		b.say("not complete within %v: paused", b.options.Limit)
		return b.pause(ctx)
	}
	return nil
}

// await waits for the end, lets the faults happen and follows the progress.
func (b *bench) await(ctx context.Context, began time.Time) error {
	faults := b.faultsFrom(began)
	for {
		doc := b.fleet.all()[0].Configuration()
		b.takeover = doc.Takeovers[kind]
		if _, work := b.fleet.work(); work.Kind != "" {
			b.note(work)
		}
		if b.takeover != nil && b.takeover.State == config.TakeoverComplete || time.Since(began) > b.options.Limit {
			return faults.finish()
		}
		if err := faults.next(time.Now()); err != nil {
			return err
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

func (b *bench) pause(ctx context.Context) error {
	err := b.fleet.Change(ctx, "time is up", func(doc *config.Document) {
		paused := *doc.Takeovers[kind]
		paused.State = config.TakeoverPaused
		doc.Takeovers = map[string]*config.Takeover{kind: &paused}
	})
	if err != nil {
		return err
	}
	return sleep(ctx, settleTime)
}

func (b *bench) summarize() {
	r := b.report
	without := append(append([]time.Duration(nil), b.before.took...), b.after.took...)
	r.P50WithoutMs, r.P50WithMs = percentileMs(without, 0.5), percentileMs(b.during.took, 0.5)
	r.P99BeforeMs, r.P99AfterMs = percentileMs(b.before.took, 0.99), percentileMs(b.after.took, 0.99)
	r.P99WithoutMs, r.P99WithMs = percentileMs(without, 0.99), percentileMs(b.during.took, 0.99)
	r.P99Ratio = r.P99WithMs / r.P99WithoutMs
	r.MaxWithoutMs, r.MaxWithMs = percentileMs(without, 1), percentileMs(b.during.took, 1)
	r.Requests, r.RequestsPS = len(b.during.took), float64(len(b.during.took))/r.Seconds
	r.PauseSamples, r.PauseP99Ms, r.PauseMaxMs = len(b.during.moved), percentileMs(b.during.moved, 0.99), percentileMs(b.during.moved, 1)
	r.Errors = b.during.errors
	for _, p := range []*phase{b.before, b.during, b.after} {
		r.Stale += int(p.stale.Load())
		r.Missing += int(p.missing.Load())
	}
}

// audit checks the result by a connection of its own.
func (b *bench) audit(ctx context.Context) error {
	doc, err := b.fleet.Editor.Load(ctx)
	if err != nil {
		return err
	}
	b.takeover = doc.Takeovers[kind]
	for i := range b.options.Records {
		if b.moved(keyOf(i)) {
			b.report.Moved++
		}
	}
	b.report.RecordsPS = float64(b.report.Moved) / b.report.Seconds
	if b.conn, err = b.fleet.connect(ctx, 0); err != nil {
		return err
	}
	defer b.conn.Close(ctx)
	return b.check(ctx)
}

func (b *bench) say(format string, args ...any) {
	fmt.Fprintf(b.options.Progress, format+"\n", args...)
}

func storeWrites(s *standinstore.Server) int64 {
	var n int64
	for k, calls := range s.Counts().Calls {
		if k.IsWrite() {
			n += calls
		}
	}
	return n
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
