package takeover

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"golang.org/x/sync/errgroup"

	"limpetspan/pkg/bench/result"
)

// phase is what the callers saw in one part of the measurement.
type phase struct {
	mu sync.Mutex
	// took are all requests, moved those whose record moved under them: their
	// time is the pause of a key that a caller sees.
	took, moved []time.Duration
	errors      map[string]int

	stale, missing atomic.Int64
}

func newPhase() *phase { return &phase{errors: map[string]int{}} }

func (p *phase) done(took time.Duration, moved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.took = append(p.took, took)
	if moved {
		p.moved = append(p.moved, took)
	}
}

// fail counts an error by SQLSTATE, outcome and step.
func (p *phase) fail(err error) {
	name := "connection: " + lastPart(err)
	if e, ok := errors.AsType[*pgconn.PgError](err); ok {
		name = e.Code
		for _, f := range strings.Fields(e.Detail) {
			if strings.HasPrefix(f, "outcome=") || strings.HasPrefix(f, "step=") {
				name += " " + f
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.errors[name]++
}

// lastPart is the end of an error's text, without the addresses before it.
func lastPart(err error) string {
	text := err.Error()
	return strings.TrimSpace(text[strings.LastIndex(text, ":")+1:])
}

// during runs the callers while do runs.
func (p *phase) during(ctx context.Context, callers []*caller, do func(context.Context) error) error {
	working, stop := context.WithCancel(ctx)
	defer stop()
	var g errgroup.Group
	for _, c := range callers {
		g.Go(func() error {
			c.run(working, p)
			return nil
		})
	}
	err := do(ctx)
	stop()
	return errors.Join(err, g.Wait())
}

func percentileMs(list []time.Duration, q float64) float64 {
	return result.Milliseconds(result.Percentile(list, q))
}
