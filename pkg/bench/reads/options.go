package reads

import (
	"io"
	"time"

	"limpetspan/pkg/bench/profile"
	"limpetspan/standin/target"
)

// Policy is a way to choose who serves a read.
type Policy string

// The policies. All but the first are baselines.
const (
	// Tracked: reads are declared; limpetspan tracks positions and may wait.
	Tracked Policy = "limpetspan"
	// Primary: no read is declared, so the primary serves all. Its times hold
	// the confirmation for which an undeclared statement of a durable group
	// waits; only its share is fit for comparison.
	Primary Policy = "always primary"
	// AfterWrite: a session's reads are declared only when its last write is
	// stickyTime ago.
	AfterWrite Policy = "primary after a write"
	// NoWait: positions are tracked, but a read never waits for a replica.
	NoWait Policy = "tracking without wait"
)

var policies = []Policy{Tracked, Primary, AfterWrite, NoWait}

// stickyTime is how long after a write AfterWrite keeps to the primary.
const stickyTime = 2 * time.Second

// Scenario is a state of the replication.
type Scenario struct {
	Name string `json:"scenario"`
	// Lags of the first and the second replica.
	Lags [2]target.Lag `json:"-"`
}

// scenarios: the brief's lagging replicas. Spikes exceed the age that listings
// accept; a stuck replica applies nothing.
var scenarios = []Scenario{
	{Name: "steady", Lags: [2]target.Lag{steadyLag, steadyLag}},
	{Name: "spikes", Lags: [2]target.Lag{spikeLag, spikeLag}},
	{Name: "one stuck", Lags: [2]target.Lag{steadyLag, {Stuck: true}}},
}

var (
	steadyLag = target.Lag{Fixed: 4 * time.Millisecond, Jitter: 4 * time.Millisecond}
	spikeLag  = target.Lag{Fixed: 4 * time.Millisecond, Jitter: 4 * time.Millisecond,
		Spike: time.Second, SpikeEvery: 3 * time.Second, SpikeLength: time.Second}
)

// The load.
const (
	writers = 4
	buyers  = 12
	// ownReads is how many times a writer reads its bids after each bid.
	ownReads    = 2
	writerPause = 20 * time.Millisecond
	buyerPause  = 5 * time.Millisecond
	tickerPause = 5 * time.Millisecond
	// listingAge is the age that listings accept.
	listingAge = 500 * time.Millisecond
	// serviceTime is how long a statement occupies a slot of a member.
	serviceTime = 500 * time.Microsecond
	// DefaultSlice is how long one policy runs in one scenario and round: one
	// period of the spikes, so that all policies meet as much of them.
	DefaultSlice = 3 * time.Second
	// DefaultRounds is how many times all policies run in turn.
	DefaultRounds = 2
)

// Options of a measurement.
type Options struct {
	Profile profile.Profile
	// Slice is how long a policy runs in a scenario before the next one does.
	Slice time.Duration
	// Rounds is how many slices each policy has in each scenario.
	Rounds  int
	Command string
	// Progress takes a line for each slice; nil: none.
	Progress io.Writer
}

func (o *Options) complete() {
	if o.Slice <= 0 {
		o.Slice = DefaultSlice
	}
	if o.Rounds <= 0 {
		o.Rounds = DefaultRounds
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
}
