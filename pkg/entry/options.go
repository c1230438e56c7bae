package entry

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	"limpetspan/core"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/fleet"
)

// Fleet is the part of the view of the fleet by which homes are found.
type Fleet interface {
	Self() fleet.Daemon
	// Home returns the newest news of the group's home.
	Home(group core.GroupID) (fleet.Home, bool)
	// Candidates are the daemons that may be home of the group, best first.
	Candidates(group core.GroupID) []fleet.Daemon
	Daemon(id core.DaemonID) (fleet.Daemon, bool)
}

// Forwarder carries requests to other daemons; package peer has it.
type Forwarder interface {
	Exchange(ctx context.Context, addr string, req *exchange.Request, w exchange.Writer) (exchange.Result, error)
	Cancel(ctx context.Context, addr string, caller core.CallerID, group core.GroupID) error
	Hangup(ctx context.Context, addr string, caller core.CallerID, group core.GroupID) error
}

// The defaults of unset options.
const (
	defaultTimeout         = 30 * time.Second
	defaultRetryRatio      = 0.1
	defaultBackoff         = 10 * time.Millisecond
	defaultSessionInFlight = 1000
	defaultGroupInFlight   = 4000
)

// Options configure an Entry.
type Options struct {
	Fleet Fleet
	// Local serves the requests of groups whose home is here.
	Local  exchange.Handler
	Remote Forwarder
	// Now is the process's monotonic clock.
	Now func() core.Time
	// Random returns a number in [0,1) for jitter; it may be called from any
	// goroutine.
	Random func() float64
	// Tracer makes the spans "entry"; nil: none.
	Tracer trace.Tracer
	Logger hclog.Logger
	// DefaultTimeout is the deadline of requests that have none.
	DefaultTimeout time.Duration
	// RetryRatio is the share of requests that may be repeated reads.
	RetryRatio float64
	// Backoff is the first pause after all candidates were tried; it doubles.
	Backoff time.Duration
	// SessionInFlight and GroupInFlight bound the requests in flight of one
	// session and for one group.
	SessionInFlight int
	GroupInFlight   int
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.DefaultTimeout <= 0 {
		o.DefaultTimeout = defaultTimeout
	}
	if o.RetryRatio <= 0 {
		o.RetryRatio = defaultRetryRatio
	}
	if o.Backoff <= 0 {
		o.Backoff = defaultBackoff
	}
	if o.SessionInFlight <= 0 {
		o.SessionInFlight = defaultSessionInFlight
	}
	if o.GroupInFlight <= 0 {
		o.GroupInFlight = defaultGroupInFlight
	}
	return o
}
