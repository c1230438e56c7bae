package takeover

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/core/takeover"
	"limpetspan/pkg/store"
)

// Defaults of Options.
const (
	DefaultInterval    = 250 * time.Millisecond
	DefaultRetry       = 2 * time.Second
	DefaultStepTimeout = 10 * time.Second
	// stopGrace is how long a daemon that stops goes on with what it holds.
	stopGrace = 3 * time.Second
)

// Options are the parameters of a Worker.
type Options struct {
	Self          core.DaemonID
	Store         store.Store
	Prefix        string
	Configuration Configuration
	Databases     Databases
	Homes         Homes
	// Callers may be nil: the copy then goes at its greatest rate.
	Callers Callers
	// Eligible reports whether this daemon is one of the few that try to work
	// the kind's take-over; nil: it is. Each try costs the store one read.
	Eligible func(kind string) bool
	// Leaving reports whether this daemon is about to stop; nil: it is not. Work
	// is given up then, while the homes and peers that it needs still answer.
	Leaving func() bool
	// Killed ends all work at once, as the end of the process would; nil: never.
	Killed <-chan struct{}
	Tuning takeover.Tuning
	Logger hclog.Logger
	// Interval is how often the callers' latency and the operator's state are
	// looked at, Retry how often a claim is tried.
	Interval, Retry time.Duration
	// StepTimeout bounds each step.
	StepTimeout time.Duration
}

func (o *Options) complete() {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Eligible == nil {
		o.Eligible = func(string) bool { return true }
	}
	if o.Leaving == nil {
		o.Leaving = func() bool { return false }
	}
	if o.Callers == nil {
		o.Callers = noCallers{}
	}
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.Retry == 0 {
		o.Retry = DefaultRetry
	}
	if o.StepTimeout == 0 {
		o.StepTimeout = DefaultStepTimeout
	}
}

// noCallers stands for callers of which nothing is known.
type noCallers struct{}

func (noCallers) Latency(core.GroupID, core.GroupID) time.Duration { return 0 }

// Worker works the take-overs whose leases it gets.
type Worker struct {
	options Options
	mu      sync.Mutex
	// busy are the kinds that have a goroutine here, working those under a claim.
	busy    map[string]bool
	working map[string]*status
}

// NewWorker returns a worker; Run starts it.
func NewWorker(o Options) *Worker {
	o.complete()
	return &Worker{options: o, busy: make(map[string]bool), working: make(map[string]*status)}
}

// Status lists the take-overs worked here, by kind.
func (w *Worker) Status() []Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]Status, 0, len(w.working))
	for _, s := range w.working {
		list = append(list, s.get())
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.Kind, b.Kind) })
	return list
}

// Run works until ctx ends, and returns when everything it began has ended.
func (w *Worker) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		tick := time.NewTicker(w.options.Interval)
		defer tick.Stop()
		for {
			w.startAll(ctx, g)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-tick.C:
			}
		}
	})
	return g.Wait()
}

// startAll gives each take-over that asks for work its goroutine.
func (w *Worker) startAll(ctx context.Context, g *errgroup.Group) {
	for kind, t := range w.options.Configuration.Current().Takeovers {
		if t.State != config.TakeoverRunning && t.State != config.TakeoverRollback || !w.options.Eligible(kind) || !w.begin(kind) {
			continue
		}
		g.Go(func() error {
			defer w.end(kind)
			w.try(ctx, kind)
			return nil
		})
	}
}

func (w *Worker) begin(kind string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[kind] {
		return false
	}
	w.busy[kind] = true
	return true
}

func (w *Worker) end(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.busy, kind)
	delete(w.working, kind)
}

// try works the take-over if its lease is free, and then lets some time pass.
func (w *Worker) try(ctx context.Context, kind string) {
	err := w.claimAndWork(ctx, kind)
	if err != nil && ctx.Err() == nil {
		w.options.Logger.Warn("take-over interrupted", "kind", kind, "error", err)
	}
	pause := time.NewTimer(w.options.Retry)
	defer pause.Stop()
	select {
	case <-ctx.Done():
	case <-pause.C:
	}
}

func (w *Worker) claimAndWork(ctx context.Context, kind string) error {
	name := claimName(w.options.Self)
	c, err := tryClaim(ctx, w.options.Store, w.options.Prefix+"takeover/"+kind, name)
	if err != nil || c == nil {
		return err
	}
	defer func() {
		if !isDone(w.options.Killed) {
			c.release(ctx)
		}
	}()
	t := w.options.Configuration.Current().Takeovers[kind]
	if t == nil {
		return nil
	}
	s := &status{value: Status{Kind: kind, Claim: name, Since: time.Now()}}
	w.mu.Lock()
	w.working[kind] = s
	w.mu.Unlock()
	w.options.Logger.Info("take-over claimed", "kind", kind, "claim", name, "state", string(t.State))
	r := &run{Options: &w.options, claim: c, dir: newDirection(kind, t), logger: w.options.Logger,
		start: time.Now(), status: s, stopping: ctx.Done()}
	return workUnder(ctx, c, w.options.Killed, r.work)
}

// workUnder ends the work when the lease of the claim is lost or the daemon is
// killed, and some time after ctx has ended, within which the run gives up what
// it holds.
func workUnder(ctx context.Context, c *claim, killed <-chan struct{}, work func(context.Context) error) error {
	under, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var g errgroup.Group
	g.Go(func() error {
		defer cancel()
		c.keep(under)
		return nil
	})
	g.Go(func() error {
		select {
		case <-killed:
			cancel()
		case <-under.Done():
		}
		return nil
	})
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(stopGrace, cancel) })
	err := work(under)
	lost := under.Err() != nil
	stop()
	cancel()
	_ = g.Wait()
	if lost && errors.Is(err, context.Canceled) {
		return ErrClaimLost
	}
	return err
}
