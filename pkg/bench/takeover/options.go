package takeover

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Fault names what happens while the records move.
type Fault string

// The faults.
const (
	// Worker ends the process of the daemon that works the take-over.
	Worker Fault = "worker"
	// Store makes the store silent for some seconds.
	Store Fault = "store"
	// Source and Destination crash the primary of one side.
	Source      Fault = "source"
	Destination Fault = "destination"
)

// Faults are all faults.
var Faults = []Fault{Worker, Store, Source, Destination}

// Defaults of Options.
const (
	DefaultRecords = 200_000
	DefaultDaemons = 4
	DefaultCallers = 8
	DefaultBuckets = 256
	DefaultCalm    = 10 * time.Second
	DefaultLimit   = 60 * time.Second
)

// Options of a measurement; zero fields take the defaults.
type Options struct {
	Records, Daemons, Callers, Buckets int
	// Calm is how long the callers work without a take-over, before and after
	// it; Limit bounds the take-over, which is then paused where it is.
	Calm, Limit time.Duration
	// Faults happen one after the other while the records move.
	Faults []Fault
	// Command is noted in the report.
	Command string
	// Progress takes a line for each step, Log the daemons' log; nil: none.
	Progress, Log io.Writer
}

func (o *Options) complete() error {
	setDefault(&o.Records, DefaultRecords)
	setDefault(&o.Daemons, DefaultDaemons)
	setDefault(&o.Callers, DefaultCallers)
	setDefault(&o.Buckets, DefaultBuckets)
	setDefault(&o.Calm, DefaultCalm)
	setDefault(&o.Limit, DefaultLimit)
	for _, f := range o.Faults {
		if !slices.Contains(Faults, f) {
			return fmt.Errorf("unknown fault %q: one of %v", f, Faults)
		}
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return nil
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
