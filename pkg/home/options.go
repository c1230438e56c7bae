package home

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/fleet"
	"limpetspan/pkg/target"
)

// DefaultOnceRetention is how long a must-not-repeat key is remembered.
const DefaultOnceRetention = 7 * 24 * time.Hour

// Options are the parameters of a Manager.
type Options struct {
	Self core.DaemonID
	Zone core.Zone
	// Dialer opens connections to members; its Database is replaced by that
	// of each group which names one.
	Dialer *target.Dialer
	Peers  Peers
	// News announces the home of a group to the whole fleet; may be nil.
	News   func(fleet.Home)
	Logger hclog.Logger
	// Tracer makes the spans "home" and "target"; nil: none.
	Tracer trace.Tracer
	// Now is the monotonic clock; nil: time since the Manager was made.
	Now func() core.Time
	// Recorder keeps traces; may be nil.
	Recorder Recorder
	// Tuning is that of each group's reducer.
	Tuning group.Tuning
	// NewReducer replaces group.New in tests; may be nil.
	NewReducer func(core.GroupID) Reducer
	// OnceRetention is how long must-not-repeat keys are remembered; zero:
	// DefaultOnceRetention.
	OnceRetention time.Duration
	// Bucket returns the bucket of a record key for a kind under take-over; nil:
	// always 0.
	Bucket func(kind, key string) int
}

func (o *Options) complete() {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.News == nil {
		o.News = func(fleet.Home) {}
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() core.Time { return core.Time(time.Since(start)) }
	}
	if o.NewReducer == nil {
		tuning := o.Tuning
		o.NewReducer = func(id core.GroupID) Reducer {
			return group.New(group.Options{Group: id, Tuning: tuning})
		}
	}
	if o.OnceRetention <= 0 {
		o.OnceRetention = DefaultOnceRetention
	}
	if o.Bucket == nil {
		o.Bucket = func(string, string) int { return 0 }
	}
}
