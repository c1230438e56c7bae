package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Outage is the way in which the service is down.
type Outage string

// The outages.
const (
	OutageNone Outage = ""
	// OutageRefuse: each call gets 503 at once and waiting watches end.
	OutageRefuse Outage = "refuse"
	// OutageDrop: each connection is cut without an answer.
	OutageDrop Outage = "drop"
	// OutageSilent: no call gets an answer until the outage is over, and
	// waiting watches hear nothing.
	OutageSilent Outage = "silent"
)

// Faults are the faults that can be switched on while the service runs.
type Faults interface {
	// SetOutage begins or ends an outage. Calls during it have no effect.
	SetOutage(o Outage) error
	// SetDelay makes each answer of the kinds late by d, which is waited
	// before the call takes effect; no kinds means all.
	SetDelay(d time.Duration, kinds ...Kind)
	// LoseAnswers lets the next n calls of the kinds take effect and cuts
	// their connections without an answer; no kinds means all changes.
	LoseAnswers(n int, kinds ...Kind)
	// SetLimits bounds the rates, in calls per second; zero: no bound.
	SetLimits(writes, reads float64)
	// Restore brings the state of an older revision back, see Engine.Restore.
	Restore(revision int64) error
}

// Errors that the faults answer with.
var (
	errOutage  = errors.New("etcdserver: no leader")
	errLimited = errors.New("etcdserver: too many requests")
	// errCut ends the connection without an answer.
	errCut = errors.New("connection cut")
)

// faults decides the fate of each call.
type faults struct {
	mu     sync.Mutex
	clock  Clock
	outage Outage
	// changed is closed and replaced when the outage changes.
	changed    chan struct{}
	delays     map[Kind]time.Duration
	lose       map[Kind]*int
	limits     [2]*rate.Limiter
	readsLimit float64
	counts     Counts
}

const (
	limitReads = iota
	limitWrites
)

func newFaults(clock Clock) *faults {
	return &faults{clock: clock, changed: make(chan struct{}), delays: make(map[Kind]time.Duration),
		lose: make(map[Kind]*int), counts: Counts{Calls: make(map[Kind]int64)}}
}

// setOutage begins or ends an outage.
func (f *faults) setOutage(o Outage) error {
	if !slices.Contains([]Outage{OutageNone, OutageRefuse, OutageDrop, OutageSilent}, o) {
		return fmt.Errorf("unknown outage %q", o)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = o
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

func (f *faults) setDelay(d time.Duration, kinds []Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(kinds) == 0 {
		kinds = Kinds
	}
	for _, k := range kinds {
		f.delays[k] = d
	}
}

func (f *faults) loseAnswers(n int, kinds []Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range Kinds {
		if slices.Contains(kinds, k) || len(kinds) == 0 && k.changes() {
			f.lose[k] = &n
		}
	}
}

func (f *faults) setLimits(writes, reads float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readsLimit = reads
	f.limits[limitWrites] = newLimiter(writes)
	f.limits[limitReads] = newLimiter(reads)
	f.chargeWatches()
}

// newLimiter allows bursts of a tenth of a second.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// chargeWatches takes one read per second for each waiting watch.
func (f *faults) chargeWatches() {
	if l := f.limits[limitReads]; l != nil {
		l.SetLimitAt(f.clock.Now(), rate.Limit(max(1, f.readsLimit-float64(f.counts.OpenWatches))))
	}
}

// admit counts a call and waits out its delay. A nil error lets it take effect.
func (f *faults) admit(ctx context.Context, k Kind) error {
	delay, err := f.count(k)
	if err != nil {
		return err
	}
	if delay > 0 {
		if err := f.sleep(ctx, delay); err != nil {
			return err
		}
	}
	return f.waitOutage(ctx)
}

func (f *faults) count(k Kind) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Calls[k]++
	limit := f.limits[limitReads]
	if k.IsWrite() {
		f.counts.Writes++
		limit = f.limits[limitWrites]
	} else {
		f.counts.Reads++
	}
	if limit != nil && !limit.AllowN(f.clock.Now(), 1) {
		f.counts.Refused++
		return 0, errLimited
	}
	return f.delays[k], nil
}

func (f *faults) sleep(ctx context.Context, d time.Duration) error {
	done := make(chan struct{})
	stop := f.clock.AfterFunc(d, func() { close(done) })
	defer stop()
	select {
	case <-ctx.Done():
		return errCut
	case <-done:
		return nil
	}
}

// waitOutage returns nil when the service is up.
func (f *faults) waitOutage(ctx context.Context) error {
	for {
		o, changed := f.current()
		switch o {
		case OutageNone:
			return nil
		case OutageRefuse:
			return errOutage
		case OutageDrop:
			return errCut
		}
		select {
		case <-ctx.Done():
			return errCut
		case <-changed:
		}
	}
}

// current returns the outage and a channel that is closed when it changes.
func (f *faults) current() (Outage, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage, f.changed
}

// losesAnswer reports whether this call's answer is to be lost.
func (f *faults) losesAnswer(k Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.lose[k]
	if n == nil || *n == 0 {
		return false
	}
	*n--
	return true
}

func (f *faults) watchOpened(delta int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.OpenWatches += delta
	f.chargeWatches()
}

func (f *faults) snapshot() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.counts
	c.Calls = make(map[Kind]int64, len(f.counts.Calls))
	for k, n := range f.counts.Calls {
		c.Calls[k] = n
	}
	return c
}
