package takeover

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/core/takeover"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/oncetable"
	"limpetspan/pkg/store"
)

var errStoreSilent = errors.New("takeover: the store has not answered lately, buckets are not held")

// flipError classifies a failed flip. Only ErrUnsettled leaves it open whether
// the buckets have flipped; anything else means that no change was made, and
// the buckets are opened again rather than held until the store is back.
func flipError(err error) error {
	if errors.Is(err, ErrUnsettled) || errors.Is(err, ErrClaimLost) || errors.Is(err, ErrState) {
		return err
	}
	if errors.Is(err, store.ErrUnknown) {
		return errors.Join(ErrUnsettled, err)
	}
	return errors.Join(ErrState, err)
}

// run is the work on one take-over under one claim.
type run struct {
	// paused: the declared state ended the moving of buckets.
	paused bool
	*Options
	claim  *claim
	dir    direction
	logger hclog.Logger
	start  time.Time
	// claimed is the revision that names the claim. It is also the token of
	// its copies: revisions rise and never go back.
	claimed  config.Revision
	token    config.Revision
	pageSize int
	// closing is the number of the batch's closing, closings counts them.
	closing, closings int64
	machine           *takeover.Machine
	// changed is the last document that this run has made.
	changed atomic.Pointer[config.Document]
	status  *status
	// stopping is closed when the daemon stops.
	stopping <-chan struct{}
}

func (r *run) now() core.Time { return core.Time(time.Since(r.start)) }

// failed classifies an error for the machine and logs it.
func (r *run) failed(step string, err error) takeover.Failure {
	f := failureOf(err)
	if f != takeover.FailureNone {
		r.status.note(step, err)
		r.logger.Warn("take-over step failed", "kind", r.dir.kind, "step", step, "error", err)
	}
	return f
}

// work moves the buckets until the take-over's state changes, the claim is
// lost, or nothing is left to do.
func (r *run) work(ctx context.Context) error {
	if err := r.recover(ctx); err != nil {
		return err
	}
	t := r.takeover()
	if buckets := r.dir.remaining(t); len(buckets) > 0 && !r.dir.ended(t) {
		if err := r.moveOrSay(ctx, buckets); err != nil {
			return err
		}
	}
	t = r.takeover()
	// Guard: the take-over may be running again by now, started since a pause
	// ended this run. Taken for blocked it would stand still for blockedRetry,
	// although nothing needs an operator.
	if r.paused || r.dir.ended(t) || r.mustStop() {
		return nil
	}
	if len(r.dir.remaining(t)) > 0 {
		return r.idle(ctx)
	}
	return r.finish(ctx)
}

func (r *run) moveOrSay(ctx context.Context, buckets []int) error {
	if r.dir.canMove() {
		return r.move(ctx, buckets)
	}
	r.failed("rollback", errNoReverse)
	return nil
}

// mustStop reports whether this daemon stops.
func (r *run) mustStop() bool { return isDone(r.stopping) || r.Leaving() }

func isDone(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// idle keeps the claim while only an operator can help. A new claim for each
// try would fill the history of the configuration.
func (r *run) idle(ctx context.Context) error {
	end := time.NewTimer(blockedRetry)
	defer end.Stop()
	tick := time.NewTicker(r.Interval)
	defer tick.Stop()
	for !r.dir.ended(r.takeover()) && !r.Leaving() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.stopping:
			return nil
		case <-end.C:
			return nil
		case <-tick.C:
		}
	}
	return nil
}

// takeover is the take-over in the newest document known here: what this run
// has changed itself may not be in force in the daemon yet.
func (r *run) takeover() *config.Takeover {
	doc := r.Configuration.Current()
	if changed := r.changed.Load(); changed != nil && changed.Revision > doc.Revision {
		doc = changed
	}
	return doc.Takeovers[r.dir.kind]
}

func (r *run) update(ctx context.Context, reason string, edit Edit) (*config.Document, error) {
	doc, err := r.Configuration.Update(ctx, reason, edit)
	for err == nil {
		old := r.changed.Load()
		if old != nil && old.Revision >= doc.Revision || r.changed.CompareAndSwap(old, doc) {
			break
		}
	}
	return doc, err
}

// recover takes over what an earlier claim has left. The order matters: the
// closings are read before the claim is made and undone after it. Whoever made
// them cannot flip any more once the claim is in the configuration, and a
// closing made after that has another number and is not undone.
func (r *run) recover(ctx context.Context) error {
	if err := r.createTables(ctx); err != nil {
		return err
	}
	closed, err := r.query(ctx, r.dir.destination, readClosedSQL, 2, text(r.dir.kind))
	if err != nil {
		return err
	}
	doc, err := r.update(ctx, "take-over: claim", claimEdit(&r.dir, r.claim.name))
	if err != nil {
		return err
	}
	r.claimed, r.token = doc.Revision, doc.Revision
	if err := r.order(ctx, Order{Operation: OperationSettle}); err != nil {
		return err
	}
	if err := r.reopen(ctx, doc, closed); err != nil {
		return err
	}
	return r.assignKeys(ctx)
}

func (r *run) createTables(ctx context.Context) error {
	if err := r.Databases.Apply(ctx, r.dir.source, withOnceTable(createSealSQL)); err != nil {
		return err
	}
	return r.Databases.Apply(ctx, r.dir.destination, withOnceTable(createCopySQL))
}

// withOnceTable makes the table of sql and that of the must-not-repeat keys.
func withOnceTable(sql string) []Statement {
	list := []Statement{statement(sql)}
	for _, create := range oncetable.Create {
		list = append(list, statement(create))
	}
	return list
}

// reopen undoes the closings of buckets that have not flipped.
func (r *run) reopen(ctx context.Context, doc *config.Document, closed []Row) error {
	remaining := make(map[int]bool)
	for _, b := range r.dir.remaining(doc.Takeovers[r.dir.kind]) {
		remaining[b] = true
	}
	var list []Statement
	for _, row := range closed {
		if remaining[int(row[0].integer())] {
			list = append(list, statement(reopenSQL, text(r.dir.kind), row[0], row[1]))
		}
	}
	if len(list) == 0 {
		return nil
	}
	return r.Databases.Apply(ctx, r.dir.destination, list)
}

// finish ends the take-over when all buckets have moved.
func (r *run) finish(ctx context.Context) error {
	_, err := r.update(ctx, "take-over: finished", finishEdit(&r.dir, r.claim.name))
	if errors.Is(err, ErrState) {
		return nil
	}
	return err
}

// move drives the machine.
func (r *run) move(ctx context.Context, buckets []int) error {
	r.machine = takeover.New(r.Tuning)
	r.pageSize = r.Tuning.PageSize
	if r.pageSize == 0 {
		r.pageSize = takeover.DefaultTuning().PageSize
	}
	// An effect that cannot deliver its result any more must not stay behind.
	g, ctx := errgroup.WithContext(ctx)
	events := make(chan takeover.Event)
	g.Go(func() error { return r.drive(ctx, g, events, buckets) })
	return g.Wait()
}

func (r *run) drive(ctx context.Context, g *errgroup.Group, events chan takeover.Event, buckets []int) error {
	tick := time.NewTicker(r.Interval)
	defer tick.Stop()
	effects := r.machine.Reduce(&takeover.Started{Now: r.now(), Claim: r.claim.name, Buckets: buckets, Clear: r.dir.clear != ""})
	stopping := r.stopping
	for {
		for _, e := range effects {
			switch e := e.(type) {
			case *takeover.Finished:
				r.status.progress(r.machine.Progress())
				if e.Lost {
					return ErrClaimLost
				}
				return nil
			case *takeover.Blocked:
				r.logger.Error("take-over bucket blocked", "kind", r.dir.kind, "bucket", e.Bucket, "reason", e.Reason)
			default:
				g.Go(func() error { return r.carryOut(ctx, e, events) })
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stopping:
			stopping = nil
			effects = r.machine.Reduce(&takeover.Stopped{})
		case e := <-events:
			effects = r.machine.Reduce(e)
		case <-tick.C:
			effects = r.machine.Reduce(r.sample())
			r.status.progress(r.machine.Progress())
			if stopping != nil && (r.dir.ended(r.takeover()) || r.Leaving()) {
				stopping, r.paused = nil, true
				effects = r.machine.Reduce(&takeover.Stopped{})
			}
		}
	}
}

func (r *run) sample() *takeover.Latency {
	return &takeover.Latency{Now: r.now(), Latency: r.Callers.Latency(r.dir.source, r.dir.destination)}
}

// carryOut waits as the effect asks, performs it and delivers the result.
func (r *run) carryOut(ctx context.Context, e takeover.Effect, events chan<- takeover.Event) error {
	if wait := takeover.WaitOf(e); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
	step, cancel := context.WithTimeout(ctx, r.StepTimeout)
	defer cancel()
	event := r.perform(step, e)
	select {
	case events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// blockedRetry is how long a take-over waits for an operator before it is tried
// again.
const blockedRetry = time.Minute

var errNoReverse = errs.New(errs.BadRequest, core.OutcomeNotRun, "takeover.rollback", "",
	"buckets have flipped and the take-over declares no reverse statements")
